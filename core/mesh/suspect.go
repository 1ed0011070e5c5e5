package mesh

import (
	"net/http"
	"time"

	"wagtailyoke/core/once"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// quarantineLimits leave requests that were in flight at one end of an upstream alone: most
// are bystanders, as many as the upstream has slots, and would wait for each other.
var quarantineLimits = once.Limits{Suspect: 2, Ban: 3}

// Sources of what is known of crashing requests.
const (
	foundHere  = "ownUpstream"
	toldByNode = "node"
	heldBefore = "platform"
)

// suspectPoll is how often a suspect looks whether it may run.
const suspectPoll = 20 * time.Millisecond

// enter puts the call in line. A suspect waits first until no other one runs here: with two
// at once it would be open which one ended the upstream.
func (r *run) enter() {
	n := r.n
	switch n.quarantine.Status(r.call.Fingerprint) {
	case once.StatusBanned:
		r.finish(n.quarantined(r.call))
		return
	case once.StatusSuspect:
		if !r.enterAlone() {
			return
		}
	}
	n.line.Enter(r.waiter)
}

// enterAlone reports whether the run is the only suspect now. Else it tries again later.
func (r *run) enterAlone() bool {
	n := r.n
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.over {
		return false
	}
	r.isSuspect = n.quarantine.Acquire(r.call.Fingerprint)
	if !r.isSuspect {
		n.Clock.After(suspectPoll, r.reenter)
	}
	return r.isSuspect
}

func (r *run) reenter() {
	switch {
	case r.isOver():
	case r.n.Clock.Now() >= r.call.Deadline:
		r.drop(world.CodeQueueTimeout)
	default:
		r.enter()
	}
}

// quarantined refuses a request that has ended upstreams. Another node would refuse it too.
func (n *Node) quarantined(c *world.Call) *world.Reply {
	n.quarantine.RecordRefusal(c.Fingerprint)
	r := world.Refuse(http.StatusServiceUnavailable, world.CodeQuarantined, world.RunNo, once.QuarantineTTL)
	r.Final = true
	return r
}

// isBanned refuses the request if it is known to end upstreams.
func (f *flight) isBanned() bool {
	if f.n.quarantine.Status(f.call.Fingerprint) != once.StatusBanned {
		return false
	}
	f.finish(f.n.quarantined(&f.call))
	return true
}

// told says which version of this node's quarantine another one has, and the other way round.
type told struct {
	sent, got   uint64
	incarnation uint64
}

// noteTold takes in the part of an exchange that tells of crashing requests.
func (n *Node) noteTold(name world.NodeID, known told, reply *wire.ExchangeReply) {
	if reply.GetIncarnation() != known.incarnation {
		// Another process answered than the one that was told before.
		known.sent, known.incarnation = 0, reply.GetIncarnation()
	}
	known.got = reply.GetQuarantineVersion()
	s := &n.news
	s.mu.Lock()
	s.told[name] = known
	s.mu.Unlock()
	n.takeQuarantines(reply.GetQuarantines())
}

// takeQuarantines takes in what another node tells of crashing requests. A relay passes it on.
func (n *Node) takeQuarantines(list []*wire.Quarantine) {
	if len(list) == 0 || !n.quarantine.Merge(list) {
		return
	}
	n.noteBans(toldByNode)
	if n.view.IsRelay() {
		n.exchangeSoon()
	}
}

// answerQuarantines takes in what an exchange tells of crashing requests, and answers in kind.
func (n *Node) answerQuarantines(req *wire.ExchangeRequest, reply *wire.ExchangeReply) {
	n.takeQuarantines(req.GetQuarantines())
	since := req.GetQuarantineSince()
	if req.GetQuarantineIncarnation() != reply.GetIncarnation() {
		since = 0
	}
	reply.Quarantines, reply.QuarantineVersion = n.quarantine.Export(since)
}
