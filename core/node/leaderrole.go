package node

import (
	"sync"
	"time"

	"wagtailyoke/core/event"
	"wagtailyoke/core/intent"
	"wagtailyoke/core/once"
	"wagtailyoke/core/quota"
	"wagtailyoke/core/store"
	"wagtailyoke/core/term"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// role is the state of a node while it leads its failure domain.
type role struct {
	epoch   world.Epoch
	ledger  *quota.Ledger
	records *once.Records

	mu sync.Mutex
	// confirmed is the configuration version that is in force at each other leader.
	confirmed map[world.DomainID]world.ConfigVersion
	contacted map[world.DomainID]time.Duration
	lastBeat  time.Duration
	lastSweep time.Duration
	// versions is the configuration version of each node of the failure domain.
	versions map[world.NodeID]world.ConfigVersion
	// nodes is the number of nodes of the failure domain.
	nodes int

	// rosterVersion and members cache the roster. Only the tick uses them.
	rosterVersion uint64
	members       []term.Member
}

// Timing of the leader's tasks.
const (
	leaderBeat = 250 * time.Millisecond
	// borrowBeat is the time between heartbeats to leaders that lend tokens.
	borrowBeat = 25 * time.Millisecond
	// leaderSearch is the interval at which the platform is asked for the leader of a
	// failure domain that does not reply.
	leaderSearch = time.Second
	sweepPeriod  = 5 * time.Second
	// roleRetry is the interval at which a new leader retries to read the configuration.
	roleRetry = 500 * time.Millisecond
)

// TermWon starts the leader's role, with the newest configuration: an older contract
// than the one that the predecessor confirmed could grant too much.
func (n *Node) TermWon(r term.Record, handover *wire.HandoverRequest) {
	n.Events.Log(event.TermWon, event.Field{Name: "epoch", Value: r.Epoch}, event.Field{Name: "handover", Value: handover != nil})
	n.leaders.learn(leaderOf(r))
	n.roster.StartEpoch(r.Epoch)
	n.startRole(r, handover)
}

// startRole begins the role once this node has the newest configuration: the
// predecessor's after a handover, otherwise the platform's.
func (n *Node) startRole(r term.Record, handover *wire.HandoverRequest) {
	if !n.term.IsHolding() || n.isStaleEpoch(r.Epoch) {
		return
	}
	if handover != nil && n.configVersion() >= world.ConfigVersion(handover.GetConfigVersion()) {
		n.beginRole(r, handover)
		return
	}
	if handover != nil {
		n.fetchFrom(world.Address(handover.GetFromAddress()))
	}
	n.Platform.Get(intent.ObjectKey, func(o store.Object, err error) {
		if err == nil {
			n.installObject(o)
		}
		isNewest := err == nil && n.config.Load() != nil
		if !isNewest || n.isStaleEpoch(r.Epoch) {
			n.Clock.After(roleRetry, func() { n.startRole(r, handover) })
			return
		}
		n.beginRole(r, handover)
	})
}

func (n *Node) beginRole(r term.Record, handover *wire.HandoverRequest) {
	n.role.Store(n.newRole(r, handover))
	n.watchConfig(r.Epoch)
	n.persistQuarantine(r.Epoch)
	n.announceLeader(leaderOf(r))
	n.sendHeartbeat()
}

func (n *Node) isStaleEpoch(epoch world.Epoch) bool { return n.term.Epoch() > epoch }

func (n *Node) newRole(r term.Record, handover *wire.HandoverRequest) *role {
	cfg := n.config.Load()
	window := cfg.RecordWindow()
	records := once.Term{Domain: n.Info.Domain, Epoch: r.Epoch}
	isFirst := r.Epoch == 1
	switch {
	case handover != nil:
		if handover.GetFreshAfterUnixMs() > 0 {
			records.FreshAfter = time.UnixMilli(handover.GetFreshAfterUnixMs())
		}
		records.UnsettledUntil = n.Clock.Now() + time.Duration(handover.GetUnsettledMs())*time.Millisecond
	case !isFirst:
		records.FreshAfter = n.Clock.Wall().Add(once.MaxClockSkew)
		records.UnsettledUntil = n.Clock.Now() + window
	}
	created := &role{
		epoch:     r.Epoch,
		ledger:    quota.NewLedger(n.Clock, n.Checks, n.Info.Domain, n.Options.TokenLease, isFirst || handover != nil),
		records:   once.NewRecords(n.Clock, records, window),
		confirmed: map[world.DomainID]world.ConfigVersion{},
		contacted: map[world.DomainID]time.Duration{},
		versions:  map[world.NodeID]world.ConfigVersion{},
		lastBeat:  n.Clock.Now() - leaderBeat,
	}
	for _, domain := range cfg.Domains {
		if domain != n.Info.Domain {
			created.ledger.AddLender(domain, uint64(r.Epoch)<<ledgerBits|1)
		}
	}
	created.ledger.ApplyConfig(cfg, 0)
	if handover != nil {
		created.records.Load(handover, intent.MaxRouteTimeout)
		created.ledger.LoadHandover(handover)
		created.ledger.LoadReservedShares(reservedSharesOf(handover))
	} else {
		created.ledger.LoadReservedShares(r.ReservedShares)
	}
	return created
}

// TermRenewed lets the ledger assign the reserved shares that are now persisted in the
// term's object.
func (n *Node) TermRenewed(r term.Record) {
	if current := n.role.Load(); current != nil && current.epoch == r.Epoch {
		current.ledger.CommitReservedShares(r.ReservedShares)
	}
}

// TermLost ends the leader's role.
func (n *Node) TermLost(epoch world.Epoch) {
	n.Events.Log(event.TermLost, event.Field{Name: "epoch", Value: epoch})
	n.role.Store(nil)
}

// validRole returns the role if the term is valid now, otherwise nil.
func (n *Node) validRole() *role {
	r := n.role.Load()
	if r == nil || !n.term.IsValid() {
		return nil
	}
	return r
}

// runLeaderTasks runs the leader's periodic tasks.
func (n *Node) runLeaderTasks() {
	r := n.validRole()
	if r == nil {
		return
	}
	n.leaders.learn(&wire.Leader{
		Domain:      string(n.Info.Domain),
		Epoch:       uint64(r.epoch),
		Node:        string(n.Info.Name),
		PeerAddress: string(n.Info.Peer),
	})
	r.ledger.ConfirmVersion(n.minConfirmedVersion(r))
	for _, node := range n.roster.Sweep() {
		// A node that was only isolated announces itself again when it reconnects.
		n.Platform.Delete(AnnouncementKey(node), func(error) {})
	}
	if version := n.roster.Version(); version != r.rosterVersion {
		r.rosterVersion = version
		r.members = n.members()
		r.setSize(len(r.members))
		n.updatePicker()
	}
	n.term.SetContent(r.members, r.ledger.ReservedShares())
	now := n.Clock.Now()
	if now-r.lastSweep > sweepPeriod {
		r.lastSweep = now
		r.records.Sweep()
	}
	n.sendHeartbeatsToLeaders(r, now)
	for _, domain := range n.otherDomains() {
		n.searchLeader(r, domain, now)
	}
	if r.ledger.HasUnmetDemand() {
		n.borrow(r)
	}
}

// members returns the nodes of this failure domain in the roster.
func (n *Node) members() []term.Member {
	var members []term.Member
	for _, info := range n.roster.Nodes() {
		if info.GetDomain() == string(n.Info.Domain) {
			members = append(members, term.Member{Node: world.NodeID(info.GetName()), Peer: world.Address(info.GetPeerAddress())})
		}
	}
	if len(members) == 0 {
		members = []term.Member{{Node: n.Info.Name, Peer: n.Info.Peer}}
	}
	return members
}

// handleHeartbeat handles a heartbeat of a node or of another leader.
func (n *Node) handleHeartbeat(req *wire.BeatRequest) *wire.BeatReply {
	reply := &wire.BeatReply{
		Leaders:       n.leaders.all(),
		ConfigVersion: uint64(n.configVersion()),
		ConfigAgeMs:   n.configAge().Milliseconds(),
		Epoch:         uint64(n.leaders.epochOf(n.Info.Domain)),
	}
	n.quarantine.Merge(req.GetQuarantines())
	n.fetchNewerConfig(req)
	r := n.validRole()
	if r == nil {
		return reply
	}
	// The stamp is taken first: it must not be later than the grants in the reply.
	reply.Stamp = int64(n.Clock.Now())
	if !req.GetGuest() {
		n.recordMember(r, req)
		n.assignReservedShare(r, req, reply)
	}
	n.recordLeader(r, req)
	reply.IsLeader = true
	reply.BeatMs = heartbeatInterval(n.Options.HeartbeatInterval, r.size()).Milliseconds()
	reply.Epoch = uint64(r.epoch)
	reply.Quarantines = n.quarantines()
	reply.Deltas = n.roster.Deltas(req.GetMarks())
	isLeader := req.GetNode().GetName() == leaderGrantee(world.DomainID(req.GetNode().GetDomain()))
	r.ledger.HandleUsages(req.GetNode().GetName(), isLeader, req.GetBook(), req.GetUsages(), reply)
	if r.ledger.HasUnmetDemand() {
		n.borrow(r)
	}
	return reply
}

// recordMember records a heartbeat of a node of this failure domain.
func (n *Node) recordMember(r *role, req *wire.BeatRequest) {
	info := req.GetNode()
	if info.GetDomain() != string(n.Info.Domain) {
		return
	}
	n.roster.Upsert(info)
	if world.Epoch(req.GetEpoch()) == r.epoch {
		n.term.RecordContact(world.NodeID(info.GetName()), time.Duration(req.GetAck()))
	}
	r.mu.Lock()
	r.versions[world.NodeID(info.GetName())] = world.ConfigVersion(req.GetConfigVersion())
	r.mu.Unlock()
}

// assignReservedShare assigns a node its reserved share. Replies before the ledger is
// settled do not make the node release the share it has.
func (n *Node) assignReservedShare(r *role, req *wire.BeatRequest, reply *wire.BeatReply) {
	info := req.GetNode()
	if info.GetDomain() != string(n.Info.Domain) || !r.ledger.IsSettled() {
		return
	}
	acked := time.Duration(0)
	if world.Epoch(req.GetEpoch()) == r.epoch {
		acked = time.Duration(req.GetAck())
	}
	reply.FloorShare = r.ledger.AssignReservedShare(world.NodeID(info.GetName()), info.GetIncarnation(), req.GetFloorShare(), acked)
	reply.IsSettled = true
}

func (r *role) size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.nodes
}

func (r *role) setSize(nodes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nodes = nodes
}

func (n *Node) handleBegin(req *wire.BeginRequest) *wire.BeginReply {
	r := n.validRole()
	if r == nil {
		return &wire.BeginReply{Verdict: wire.Verdict_VERDICT_NOT_LEADER, Epoch: uint64(n.leaders.epochOf(n.Info.Domain))}
	}
	return r.records.Begin(req)
}

func (n *Node) handleFinish(req *wire.FinishRequest) *wire.FinishReply {
	r := n.validRole()
	if r == nil {
		return &wire.FinishReply{}
	}
	r.records.Finish(req)
	return &wire.FinishReply{Stored: true}
}
