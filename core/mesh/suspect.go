package mesh

import (
	"net/http"
	"time"

	"wagtailyoke/core/once"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// quarantineLimits ignore requests that were in flight at only one end of an upstream. Most of them
// did not cause it: there are as many as the upstream has slots, and as suspects they would wait for
// each other.
var quarantineLimits = once.Limits{Suspect: 2, Ban: 3}

// Sources of information about crashing requests, as shown in logs.
const (
	banSourceUpstream = "ownUpstream"
	banSourceNode     = "node"
	banSourceStore    = "platform"
)

// suspectPollInterval is how often a suspect checks whether it may execute.
const suspectPollInterval = 20 * time.Millisecond

// enqueue puts the call into the wait queue. A suspect first waits until no other suspect executes
// here: with two at once, it would be unclear which one ended the upstream.
func (e *execution) enqueue() {
	n := e.n
	switch n.quarantine.Status(e.call.Fingerprint) {
	case once.StatusBanned:
		e.finish(n.quarantineRefusal(e.call))
		return
	case once.StatusSuspect:
		if !e.acquireSuspectSlot() {
			return
		}
	}
	n.queue.Enter(e.waiter)
}

// acquireSuspectSlot reports whether the execution is now the only suspect. If it is not, it tries
// again later.
func (e *execution) acquireSuspectSlot() bool {
	n := e.n
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		return false
	}
	e.holdsSuspectSlot = n.quarantine.Acquire(e.call.Fingerprint)
	if !e.holdsSuspectSlot {
		n.Clock.After(suspectPollInterval, e.retryEnqueue)
	}
	return e.holdsSuspectSlot
}

func (e *execution) retryEnqueue() {
	switch {
	case e.hasEnded():
	case e.n.Clock.Now() >= e.call.Deadline:
		e.drop(world.CodeQueueTimeout)
	default:
		e.enqueue()
	}
}

// quarantineRefusal returns the refusal of a request that has ended upstreams. It is final because any
// other node would refuse the request as well.
func (n *Node) quarantineRefusal(c *world.Call) *world.Reply {
	n.quarantine.RecordRefusal(c.Fingerprint)
	r := world.Refuse(http.StatusServiceUnavailable, world.CodeQuarantined, world.RunNo, once.QuarantineTTL)
	r.Final = true
	return r
}

// refuseIfBanned refuses the request if it is known to end upstreams. It reports whether it did.
func (p *proxiedRequest) refuseIfBanned() bool {
	if p.n.quarantine.Status(p.call.Fingerprint) != once.StatusBanned {
		return false
	}
	p.finish(p.n.quarantineRefusal(&p.call))
	return true
}

// mergeQuarantines merges another node's information about crashing requests. A relay passes it on.
func (n *Node) mergeQuarantines(list []*wire.Quarantine) {
	if len(list) == 0 || !n.quarantine.Merge(list) {
		return
	}
	n.logNewBans(banSourceNode)
	if n.view.IsRelay() {
		n.exchangeSoon()
	}
}
