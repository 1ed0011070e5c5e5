package node

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"wagtailyoke/core/event"
	"wagtailyoke/core/once"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// suspectPoll is the interval at which a suspect checks whether it may run.
const suspectPoll = 20 * time.Millisecond

// quarantineLimits ban a request after the second upstream that it crashes. Suspects wait
// and run one at a time instead of being refused, because a caller needs the answer to
// know whether it may send the request again.
var quarantineLimits = once.Limits{Suspect: 1, Ban: 2}

// quarantines returns the quarantine's entries.
func (n *Node) quarantines() []*wire.Quarantine {
	all, _ := n.quarantine.Export(0)
	return all
}

// enter queues the call. A suspect first waits until no other suspect runs here: with
// two at once it would be unclear which one crashed the upstream.
func (e *execution) enter() {
	n := e.n
	switch n.quarantine.Status(e.call.Fingerprint) {
	case once.StatusBanned:
		e.finish(quarantined())
	case once.StatusSuspect:
		e.enterAsSuspect()
	default:
		e.setWaiting(false)
		n.queue.Enter(e.ticket)
	}
}

func (e *execution) enterAsSuspect() {
	n := e.n
	if n.Clock.Now() >= e.call.Deadline {
		e.finish(world.Refuse(http.StatusGatewayTimeout, world.CodeDeadline, world.RunNo, n.retryAfter(time.Second)))
		return
	}
	if !n.quarantine.Acquire(e.call.Fingerprint) {
		e.setWaiting(true)
		n.Clock.After(suspectPoll, e.reenter)
		return
	}
	e.isSuspect = true
	e.setWaiting(false)
	n.queue.Enter(e.ticket)
}

// reenter calls enter again unless the call has been cancelled.
func (e *execution) reenter() {
	if e.isWaiting() {
		e.enter()
	}
}

func (e *execution) setWaiting(waiting bool) {
	e.mu.Lock()
	e.waiting = waiting
	e.mu.Unlock()
}

func (e *execution) isWaiting() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.waiting && !e.over
}

// handleBrokenConnection probes the upstream after a connection to it broke, to find out
// whether the upstream crashed.
func (n *Node) handleBrokenConnection(r *execution, err error) {
	n.mu.Lock()
	if r.generation != n.generation || n.probing {
		n.mu.Unlock()
		return
	}
	n.probing = true
	if errors.Is(err, world.ErrNotSent) {
		delete(n.inFlight, r)
	}
	var fingerprints []uint64
	for other := range n.inFlight {
		fingerprints = append(fingerprints, other.call.Fingerprint)
	}
	n.mu.Unlock()
	n.Upstream.Probe(func(alive bool) { n.probed(alive, fingerprints) })
}

// probed processes the result of a probe. All calls in flight in the process that ended
// count for one crash, no matter how late their connections break.
func (n *Node) probed(alive bool, fingerprints []uint64) {
	n.mu.Lock()
	n.probing = false
	if !alive {
		n.generation++
	}
	n.mu.Unlock()
	if !alive {
		n.upstreamDied(fingerprints)
	}
}

// probePeriod is the interval at which a crashed upstream is probed.
const probePeriod = 250 * time.Millisecond

func (n *Node) upstreamDied(fingerprints []uint64) {
	n.Events.Log(event.UpstreamDown, event.Field{Name: "calls", Value: len(fingerprints)})
	if len(fingerprints) > 0 {
		n.Events.Log(event.UpstreamSuspected, event.Field{Name: "calls", Value: len(fingerprints)})
		n.quarantine.RecordCrash(n.randomID(), fingerprints)
		n.announceQuarantine()
	}
	n.UpstreamAnnounced(wire.NodeState_NODE_STATE_STARTING)
	n.Clock.After(probePeriod, n.probeUpstream)
}

func (n *Node) probeUpstream() {
	if n.state() != wire.NodeState_NODE_STATE_STARTING {
		return
	}
	n.Upstream.Probe(func(alive bool) {
		if alive {
			n.UpstreamAnnounced(wire.NodeState_NODE_STATE_READY)
			return
		}
		n.Clock.After(probePeriod, n.probeUpstream)
	})
}
