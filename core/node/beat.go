package node

import (
	"encoding/json"
	"sort"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"wagtailyoke/core/event"
	"wagtailyoke/core/quota"
	"wagtailyoke/core/roster"
	"wagtailyoke/core/route"
	"wagtailyoke/core/term"
	"wagtailyoke/core/timer"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// Heartbeat tuning.
const (
	beatTimeout = 400 * time.Millisecond
	// urgentGap is the least time between heartbeats that are sent for tokens.
	urgentGap = 4 * time.Millisecond
	// leaderLostAfter is the silence after which a node turns to another leader.
	leaderLostAfter = 700 * time.Millisecond
)

// beats is a node's side of the heartbeats.
type beats struct {
	n *Node

	mu     sync.Mutex
	stocks map[world.DomainID]*quota.LocalTokens
	// ack is the stamp of the own leader's last reply, of epoch ackEpoch.
	ack      int64
	ackEpoch uint64
	// ownHeard is when the own leader last answered.
	ownHeard  time.Duration
	lastSent  time.Duration
	scheduled bool
	lost      bool
	seed      int
	// period is the time between regular heartbeats, as the leader wants it.
	period  time.Duration
	regular timer.Stop
}

func (b *beats) init(n *Node) {
	b.n = n
	b.stocks = map[world.DomainID]*quota.LocalTokens{}
	b.ownHeard = n.Clock.Now()
	b.period = n.Options.Beat
	n.gate.SetTokenSources(b.stock(n.Info.Domain))
}

// bookBits leaves room for books within one life of a node.
const bookBits = 20

// stock returns the stock of a failure domain's tokens.
func (b *beats) stock(domain world.DomainID) *quota.LocalTokens {
	s := b.stocks[domain]
	if s == nil {
		s = quota.NewLocalTokens(b.n.Clock, b.n.Options.TokenLease, b.n.Info.Incarnation<<bookBits|1)
		b.stocks[domain] = s
	}
	return s
}

func (b *beats) closeStocks() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.stocks {
		s.Close()
	}
}

// beatSoon sends a heartbeat for tokens, at most one in urgentGap.
func (n *Node) beatSoon() {
	b := &n.beats
	b.mu.Lock()
	if b.scheduled {
		b.mu.Unlock()
		return
	}
	b.scheduled = true
	wait := max(0, b.lastSent+urgentGap-n.Clock.Now())
	b.mu.Unlock()
	n.Clock.After(wait, n.beat)
}

// beatRegularly sends a heartbeat and subscribes to the next one.
func (n *Node) beatRegularly() {
	n.beat()
	b := &n.beats
	b.mu.Lock()
	b.regular = n.Clock.After(b.period, n.beatRegularly)
	b.mu.Unlock()
}

// stopBeats ends the regular heartbeats.
func (n *Node) stopBeats() {
	b := &n.beats
	b.mu.Lock()
	defer b.mu.Unlock()
	b.regular()
}

// Heartbeats of a large failure domain are further apart, so that its leader's work
// does not grow with the nodes beyond nodesPerBeat. The longest period leaves room
// for a lost heartbeat within the tokens' lease and before a node counts as gone.
const (
	nodesPerBeat = 50
	longestBeat  = 500 * time.Millisecond
)

func beatPeriod(shortest time.Duration, nodes int) time.Duration {
	if nodes <= nodesPerBeat {
		return shortest
	}
	return min(max(shortest, longestBeat), shortest*time.Duration(nodes)/nodesPerBeat)
}

// beat sends one heartbeat to the own leader, or to another one while the own
// leader does not answer.
func (n *Node) beat() {
	b := &n.beats
	now := n.Clock.Now()
	b.mu.Lock()
	b.scheduled = false
	b.lastSent = now
	isLost := now-b.ownHeard > leaderLostAfter
	newlyLost := isLost && !b.lost
	b.lost = isLost
	b.mu.Unlock()
	if newlyLost {
		n.Events.Log(event.LeaderUnreachable)
	}
	n.beatTo(n.Info.Domain)
	if isLost {
		n.beatElsewhere()
	}
}

// beatElsewhere asks another failure domain's leader for tokens and news.
func (n *Node) beatElsewhere() {
	for _, l := range n.leaders.all() {
		if domain := world.DomainID(l.GetDomain()); domain != n.Info.Domain {
			n.beatTo(domain)
		}
	}
	if len(n.Options.Seeds) == 0 {
		return
	}
	b := &n.beats
	b.mu.Lock()
	b.seed = (b.seed + 1) % len(n.Options.Seeds)
	seed := n.Options.Seeds[b.seed]
	b.mu.Unlock()
	n.sendBeat(seed, noDomain, true)
}

// noDomain marks a heartbeat that only asks for news: it names no grantor, so it
// carries no book.
const noDomain world.DomainID = ""

func (n *Node) beatTo(domain world.DomainID) {
	leader, ok := n.leaders.of(domain)
	if !ok {
		return
	}
	n.sendBeat(world.Address(leader.GetPeerAddress()), domain, domain != n.Info.Domain)
}

func (n *Node) sendBeat(to world.Address, domain world.DomainID, guest bool) {
	req, stock := n.newBeat(domain, guest)
	sent := n.Clock.Now()
	n.control(to, req, beatTimeout, func(m proto.Message, err error) {
		reply, ok := m.(*wire.BeatReply)
		if err != nil || !ok {
			return
		}
		n.beatAnswered(domain, to, stock, reply, sent)
	})
}

func (n *Node) newBeat(domain world.DomainID, guest bool) (*wire.BeatRequest, *quota.LocalTokens) {
	b := &n.beats
	b.mu.Lock()
	req := &wire.BeatRequest{Epoch: b.ackEpoch, Ack: b.ack, Guest: guest}
	var stock *quota.LocalTokens
	if domain != noDomain {
		stock = b.stock(domain)
	}
	b.mu.Unlock()
	req.Node = n.nodeInfo()
	req.ConfigVersion = uint64(n.configVersion())
	req.Marks = n.roster.Marks()
	req.Quarantines = n.quarantines()
	req.FloorShare = n.floor.Size()
	if stock != nil {
		req.Book, req.Usages = stock.ReportUsage(n.gate.WaitingCounts())
	}
	return req, stock
}

func (n *Node) beatAnswered(domain world.DomainID, from world.Address, stock *quota.LocalTokens, reply *wire.BeatReply, sent time.Duration) {
	if !n.takeNews(domain, from, reply, sent) || stock == nil {
		return
	}
	stock.ApplyReply(reply, sent)
	if domain == n.Info.Domain {
		n.ownLeaderAnswered(reply)
	}
	n.useStocks()
	n.gate.AdmitWaiting()
	if len(n.gate.WaitingCounts()) > 0 {
		n.beatSoon()
	}
}

// takeNews takes in what every heartbeat's answer carries, and reports whether the
// sender leads the failure domain.
func (n *Node) takeNews(domain world.DomainID, from world.Address, reply *wire.BeatReply, sent time.Duration) bool {
	n.leaders.learn(reply.GetLeaders()...)
	n.noteConfig(reply, from, sent)
	n.quarantine.Merge(reply.GetQuarantines())
	if !reply.GetIsLeader() {
		n.leaders.forget(domain, world.Epoch(reply.GetEpoch()))
		return false
	}
	if n.roster.Apply(reply.GetDeltas()) {
		n.updatePicker()
	}
	return true
}

func (n *Node) ownLeaderAnswered(reply *wire.BeatReply) {
	b := &n.beats
	n.term.RecordHolderReply(world.Epoch(reply.GetEpoch()))
	b.mu.Lock()
	wasForgotten := n.Clock.Now()-b.ownHeard > roster.ForgetAfter
	b.ownHeard = n.Clock.Now()
	if reply.GetEpoch() > b.ackEpoch || reply.GetEpoch() == b.ackEpoch && reply.GetStamp() > b.ack {
		b.ack, b.ackEpoch = reply.GetStamp(), reply.GetEpoch()
		if reply.GetBeatMs() > 0 {
			b.period = time.Duration(reply.GetBeatMs()) * time.Millisecond
		}
		if reply.GetIsSettled() {
			n.floor.HandleLeaderReply(reply.GetFloorShare())
		}
	}
	b.mu.Unlock()
	if wasForgotten {
		n.announce()
	}
}

// useStocks makes the gate spend from all stocks whose lease runs, own one first.
func (n *Node) useStocks() {
	b := &n.beats
	b.mu.Lock()
	stocks := []*quota.LocalTokens{b.stock(n.Info.Domain)}
	domains := make([]world.DomainID, 0, len(b.stocks))
	for domain := range b.stocks {
		domains = append(domains, domain)
	}
	sort.Slice(domains, func(i, j int) bool { return domains[i] < domains[j] })
	for _, domain := range domains {
		if domain != n.Info.Domain && b.stocks[domain].HasValidLease() {
			stocks = append(stocks, b.stocks[domain])
		}
	}
	b.mu.Unlock()
	n.gate.SetTokenSources(stocks...)
}

func (n *Node) updatePicker() {
	nodes := n.roster.Nodes()
	endpoints := make([]route.Endpoint, 0, len(nodes))
	for _, info := range nodes {
		isReady := info.GetState() == wire.NodeState_NODE_STATE_READY
		endpoints = append(endpoints, route.Endpoint{
			Node:        world.NodeID(info.GetName()),
			Domain:      world.DomainID(info.GetDomain()),
			Service:     world.ServiceID(info.GetService()),
			Peer:        world.Address(info.GetPeerAddress()),
			Public:      world.Address(info.GetPublicAddress()),
			IsReady:     isReady,
			Incarnation: info.GetIncarnation(),
		})
	}
	n.picker.Update(endpoints)
}

// control sends a control message, or serves it here if it is for this node.
func (n *Node) control(to world.Address, req proto.Message, timeout time.Duration, done func(proto.Message, error)) {
	if to == n.Info.Peer {
		n.HandleControl(req, func(m proto.Message) { done(m, nil) })
		return
	}
	n.Links.Control(to, req, timeout, done)
}

// QueryContact lets the term question its members.
func (n *Node) QueryContact(to world.Address, req *wire.TestifyRequest, done func(*wire.TestifyReply, error)) {
	n.control(to, req, n.Options.Term.RoundTimeout, func(m proto.Message, err error) {
		reply, ok := m.(*wire.TestifyReply)
		if !ok && err == nil {
			err = world.ErrBroken
		}
		done(reply, err)
	})
}

// HandleControl serves a control message. done is called once.
func (n *Node) HandleControl(req proto.Message, done func(proto.Message)) {
	switch m := req.(type) {
	case *wire.BeatRequest:
		done(n.handleBeat(m))
	case *wire.ConfigRequest:
		done(n.handleConfig())
	case *wire.TestifyRequest:
		done(n.term.AnswerContactQuery(m))
	case *wire.BeginRequest:
		done(n.handleBegin(m))
	case *wire.FinishRequest:
		done(n.handleFinish(m))
	case *wire.PrepareRequest:
		done(n.handlePrepare())
	case *wire.HandoverRequest:
		n.handleHandover(m, done)
	case *wire.Notice:
		n.handleNotice(m)
		done(&wire.NoticeReply{})
	}
}

// TermSeen takes in the leader that the platform names.
func (n *Node) TermSeen(r term.Record) { n.leaders.learn(leaderOf(r)) }

func leaderOf(r term.Record) *wire.Leader {
	return &wire.Leader{
		Domain:      string(r.Domain),
		Epoch:       uint64(r.Epoch),
		Node:        string(r.Holder.Node),
		PeerAddress: string(r.Holder.Peer),
	}
}

func encodeInfo(info *wire.NodeInfo) ([]byte, error) { return json.Marshal(info) }
