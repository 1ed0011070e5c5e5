package node

import (
	"time"

	"google.golang.org/protobuf/proto"

	"wagtailyoke/core/store"
	"wagtailyoke/core/term"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// sendHeartbeatsToLeaders sends heartbeats to the leaders of the other failure domains.
func (n *Node) sendHeartbeatsToLeaders(r *role, now time.Duration) {
	r.mu.Lock()
	isDue := now-r.lastBeat >= leaderBeat
	if isDue {
		r.lastBeat = now
	}
	r.mu.Unlock()
	if !isDue {
		return
	}
	for _, domain := range n.otherDomains() {
		n.exchangeWithLeader(r, domain)
	}
}

func (n *Node) otherDomains() []world.DomainID {
	var others []world.DomainID
	for _, domain := range n.config.Load().Domains {
		if domain != n.Info.Domain {
			others = append(others, domain)
		}
	}
	return others
}

// borrow asks the other leaders for tokens that nodes wait for.
func (n *Node) borrow(r *role) {
	now := n.Clock.Now()
	r.mu.Lock()
	if now-r.lastBeat < borrowBeat {
		r.mu.Unlock()
		return
	}
	r.lastBeat = now
	r.mu.Unlock()
	for _, domain := range n.otherDomains() {
		n.exchangeWithLeader(r, domain)
	}
}

func (n *Node) exchangeWithLeader(r *role, domain world.DomainID) {
	leader, ok := n.leaders.of(domain)
	if !ok {
		return
	}
	req := &wire.BeatRequest{
		Node:          n.nodeInfo(),
		Guest:         true,
		ConfigVersion: uint64(n.configVersion()),
		Marks:         n.roster.Marks(),
		Quarantines:   n.quarantines(),
	}
	req.Node.Name = leaderGrantee(n.Info.Domain)
	req.Book, req.Usages = r.ledger.BorrowRequest(domain, len(n.otherDomains()))
	sent := n.Clock.Now()
	to := world.Address(leader.GetPeerAddress())
	n.control(to, req, heartbeatTimeout, func(m proto.Message, err error) {
		reply, ok := m.(*wire.BeatReply)
		if err != nil || !ok || n.role.Load() != r {
			return
		}
		n.leaderAnswered(r, domain, to, reply, sent)
	})
}

// leaderGrantee returns the name under which a leader is a grantee of another leader.
func leaderGrantee(domain world.DomainID) string { return "leader:" + string(domain) }

func (n *Node) leaderAnswered(r *role, domain world.DomainID, from world.Address, reply *wire.BeatReply, sent time.Duration) {
	if !n.applyUpdates(domain, from, reply, sent) {
		return
	}
	r.ledger.ApplyLenderReply(domain, reply, sent)
	r.mu.Lock()
	r.contacted[domain] = n.Clock.Now()
	r.mu.Unlock()
	r.recordConfirmed(domain, world.ConfigVersion(reply.GetConfigVersion()))
}

// recordConfirmed records a leader's configuration version.
func (r *role) recordConfirmed(domain world.DomainID, version world.ConfigVersion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmed[domain] = max(r.confirmed[domain], version)
}

// minConfirmedVersion returns the newest version that every leader has in force.
func (n *Node) minConfirmedVersion(r *role) world.ConfigVersion {
	version := n.configVersion()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, other := range n.otherDomains() {
		version = min(version, r.confirmed[other])
	}
	return version
}

// searchLeader asks the platform for the leader of a failure domain whose known leader
// does not reply.
func (n *Node) searchLeader(r *role, domain world.DomainID, now time.Duration) {
	r.mu.Lock()
	isSilent := now-r.contacted[domain] >= leaderSearch
	if isSilent {
		r.contacted[domain] = now
	}
	r.mu.Unlock()
	if !isSilent {
		return
	}
	n.Platform.Get(term.ObjectKey(domain), func(o store.Object, err error) {
		if err != nil {
			return
		}
		if record, err := term.ParseRecord(o.Value); err == nil {
			n.leaders.learn(leaderOf(record))
		}
	})
}

// recordLeader records a heartbeat of another failure domain's leader.
func (n *Node) recordLeader(r *role, req *wire.BeatRequest) {
	domain := world.DomainID(req.GetNode().GetDomain())
	if req.GetNode().GetName() == leaderGrantee(domain) && domain != n.Info.Domain {
		r.recordConfirmed(domain, world.ConfigVersion(req.GetConfigVersion()))
	}
}
