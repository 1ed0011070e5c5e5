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

// Timing of heartbeats.
const (
	heartbeatTimeout = 400 * time.Millisecond
	// minHeartbeatGap is the minimum time between heartbeats that request tokens.
	minHeartbeatGap = 4 * time.Millisecond
	// leaderLostAfter is the time without a reply after which a node contacts the
	// leaders of other failure domains.
	leaderLostAfter = 700 * time.Millisecond
)

// heartbeats is the state of the heartbeats that a node sends.
type heartbeats struct {
	n *Node

	mu          sync.Mutex
	localTokens map[world.DomainID]*quota.LocalTokens
	// ack is the stamp of the own leader's last reply, in epoch ackEpoch.
	ack      int64
	ackEpoch uint64
	// leaderLastSeen is when the own leader last replied.
	leaderLastSeen time.Duration
	lastSent       time.Duration
	scheduled      bool
	lost           bool
	seed           int
	// period is the time between regular heartbeats, as set by the leader.
	period  time.Duration
	regular timer.Stop
}

func (b *heartbeats) init(n *Node) {
	b.n = n
	b.localTokens = map[world.DomainID]*quota.LocalTokens{}
	b.leaderLastSeen = n.Clock.Now()
	b.period = n.Options.HeartbeatInterval
	n.rateLimiter.SetTokenSources(b.tokensFrom(n.Info.Domain))
}

// ledgerBits is the number of bits for the ledger numbers of one incarnation of a node.
const ledgerBits = 20

// tokensFrom returns the local tokens that a failure domain's leader granted.
func (b *heartbeats) tokensFrom(domain world.DomainID) *quota.LocalTokens {
	s := b.localTokens[domain]
	if s == nil {
		s = quota.NewLocalTokens(b.n.Clock, b.n.Options.TokenLease, b.n.Info.Incarnation<<ledgerBits|1)
		b.localTokens[domain] = s
	}
	return s
}

func (b *heartbeats) closeLocalTokens() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.localTokens {
		s.Close()
	}
}

// requestHeartbeat sends a heartbeat as soon as minHeartbeatGap allows, for example to
// request tokens.
func (n *Node) requestHeartbeat() {
	b := &n.heartbeats
	b.mu.Lock()
	if b.scheduled {
		b.mu.Unlock()
		return
	}
	b.scheduled = true
	wait := max(0, b.lastSent+minHeartbeatGap-n.Clock.Now())
	b.mu.Unlock()
	n.Clock.After(wait, n.sendHeartbeat)
}

// sendRegularHeartbeats sends a heartbeat and schedules the next one.
func (n *Node) sendRegularHeartbeats() {
	n.sendHeartbeat()
	b := &n.heartbeats
	b.mu.Lock()
	b.regular = n.Clock.After(b.period, n.sendRegularHeartbeats)
	b.mu.Unlock()
}

// stopHeartbeats stops the regular heartbeats.
func (n *Node) stopHeartbeats() {
	b := &n.heartbeats
	b.mu.Lock()
	defer b.mu.Unlock()
	b.regular()
}

// Above maxNodesAtBaseInterval nodes, heartbeats of a failure domain are further apart,
// which bounds the load of its leader. With maxHeartbeatInterval, one heartbeat can get
// lost before the lease of the tokens ends or the node counts as gone.
const (
	maxNodesAtBaseInterval = 50
	maxHeartbeatInterval   = 500 * time.Millisecond
)

func heartbeatInterval(base time.Duration, nodes int) time.Duration {
	if nodes <= maxNodesAtBaseInterval {
		return base
	}
	return min(max(base, maxHeartbeatInterval), base*time.Duration(nodes)/maxNodesAtBaseInterval)
}

// sendHeartbeat sends one heartbeat to the own leader, and also to other leaders while
// the own leader does not answer.
func (n *Node) sendHeartbeat() {
	b := &n.heartbeats
	now := n.Clock.Now()
	b.mu.Lock()
	b.scheduled = false
	b.lastSent = now
	isLost := now-b.leaderLastSeen > leaderLostAfter
	newlyLost := isLost && !b.lost
	b.lost = isLost
	b.mu.Unlock()
	if newlyLost {
		n.Events.Log(event.LeaderUnreachable)
	}
	n.sendHeartbeatToLeader(n.Info.Domain)
	if isLost {
		n.sendHeartbeatToOtherDomains()
	}
}

// sendHeartbeatToOtherDomains asks the leaders of the other failure domains for tokens
// and updates, and one of the seed addresses for updates.
func (n *Node) sendHeartbeatToOtherDomains() {
	for _, l := range n.leaders.all() {
		if domain := world.DomainID(l.GetDomain()); domain != n.Info.Domain {
			n.sendHeartbeatToLeader(domain)
		}
	}
	if len(n.Options.Seeds) == 0 {
		return
	}
	b := &n.heartbeats
	b.mu.Lock()
	b.seed = (b.seed + 1) % len(n.Options.Seeds)
	seed := n.Options.Seeds[b.seed]
	b.mu.Unlock()
	n.sendHeartbeatTo(seed, noDomain, true)
}

// noDomain marks a heartbeat that only asks for updates. It requests no tokens and
// carries no ledger number.
const noDomain world.DomainID = ""

func (n *Node) sendHeartbeatToLeader(domain world.DomainID) {
	leader, ok := n.leaders.of(domain)
	if !ok {
		return
	}
	n.sendHeartbeatTo(world.Address(leader.GetPeerAddress()), domain, domain != n.Info.Domain)
}

func (n *Node) sendHeartbeatTo(to world.Address, domain world.DomainID, guest bool) {
	req, stock := n.newBeat(domain, guest)
	sent := n.Clock.Now()
	n.control(to, req, heartbeatTimeout, func(m proto.Message, err error) {
		reply, ok := m.(*wire.BeatReply)
		if err != nil || !ok {
			return
		}
		n.handleHeartbeatReply(domain, to, stock, reply, sent)
	})
}

func (n *Node) newBeat(domain world.DomainID, guest bool) (*wire.BeatRequest, *quota.LocalTokens) {
	b := &n.heartbeats
	b.mu.Lock()
	req := &wire.BeatRequest{Epoch: b.ackEpoch, Ack: b.ack, Guest: guest}
	var stock *quota.LocalTokens
	if domain != noDomain {
		stock = b.tokensFrom(domain)
	}
	b.mu.Unlock()
	req.Node = n.nodeInfo()
	req.ConfigVersion = uint64(n.configVersion())
	req.Marks = n.roster.Marks()
	req.Quarantines = n.quarantines()
	req.FloorShare = n.reservedShare.Size()
	if stock != nil {
		req.Book, req.Usages = stock.ReportUsage(n.rateLimiter.WaitingCounts())
	}
	return req, stock
}

func (n *Node) handleHeartbeatReply(domain world.DomainID, from world.Address, stock *quota.LocalTokens, reply *wire.BeatReply, sent time.Duration) {
	if !n.applyUpdates(domain, from, reply, sent) || stock == nil {
		return
	}
	stock.ApplyReply(reply, sent)
	if domain == n.Info.Domain {
		n.handleOwnLeaderReply(reply)
	}
	n.updateTokenSources()
	n.rateLimiter.AdmitWaiting()
	if len(n.rateLimiter.WaitingCounts()) > 0 {
		n.requestHeartbeat()
	}
}

// applyUpdates applies the parts that every heartbeat reply carries, and reports
// whether the sender leads the failure domain.
func (n *Node) applyUpdates(domain world.DomainID, from world.Address, reply *wire.BeatReply, sent time.Duration) bool {
	n.leaders.learn(reply.GetLeaders()...)
	n.followConfigVersion(reply, from, sent)
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

func (n *Node) handleOwnLeaderReply(reply *wire.BeatReply) {
	b := &n.heartbeats
	n.term.RecordHolderReply(world.Epoch(reply.GetEpoch()))
	b.mu.Lock()
	wasForgotten := n.Clock.Now()-b.leaderLastSeen > roster.ForgetAfter
	b.leaderLastSeen = n.Clock.Now()
	if reply.GetEpoch() > b.ackEpoch || reply.GetEpoch() == b.ackEpoch && reply.GetStamp() > b.ack {
		b.ack, b.ackEpoch = reply.GetStamp(), reply.GetEpoch()
		if reply.GetBeatMs() > 0 {
			b.period = time.Duration(reply.GetBeatMs()) * time.Millisecond
		}
		if reply.GetIsSettled() {
			n.reservedShare.HandleLeaderReply(reply.GetFloorShare())
		}
	}
	b.mu.Unlock()
	if wasForgotten {
		n.announce()
	}
}

// updateTokenSources lets the rate limiter spend all local tokens with a valid lease,
// those of the own failure domain first.
func (n *Node) updateTokenSources() {
	b := &n.heartbeats
	b.mu.Lock()
	sources := []*quota.LocalTokens{b.tokensFrom(n.Info.Domain)}
	domains := make([]world.DomainID, 0, len(b.localTokens))
	for domain := range b.localTokens {
		domains = append(domains, domain)
	}
	sort.Slice(domains, func(i, j int) bool { return domains[i] < domains[j] })
	for _, domain := range domains {
		if domain != n.Info.Domain && b.localTokens[domain].HasValidLease() {
			sources = append(sources, b.localTokens[domain])
		}
	}
	b.mu.Unlock()
	n.rateLimiter.SetTokenSources(sources...)
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

// control sends a control message, or handles it directly if it is for this node.
func (n *Node) control(to world.Address, req proto.Message, timeout time.Duration, done func(proto.Message, error)) {
	if to == n.Info.Peer {
		n.HandleControl(req, func(m proto.Message) { done(m, nil) })
		return
	}
	n.Links.Control(to, req, timeout, done)
}

// QueryContact asks a member of the term when it was last in contact with the leader.
func (n *Node) QueryContact(to world.Address, req *wire.TestifyRequest, done func(*wire.TestifyReply, error)) {
	n.control(to, req, n.Options.Term.RoundTimeout, func(m proto.Message, err error) {
		reply, ok := m.(*wire.TestifyReply)
		if !ok && err == nil {
			err = world.ErrBroken
		}
		done(reply, err)
	})
}

// HandleControl handles a control message. done is called once.
func (n *Node) HandleControl(req proto.Message, done func(proto.Message)) {
	switch m := req.(type) {
	case *wire.BeatRequest:
		done(n.handleHeartbeat(m))
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

// TermSeen records the leader that the platform's term record names.
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
