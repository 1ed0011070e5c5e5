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

// suspectPoll is how often a suspect looks whether it may run.
const suspectPoll = 20 * time.Millisecond

// quarantineLimits stop a request at the second upstream that it crashes. Each suspect waits
// for its turn: a caller learns from its answer whether it may send a request again.
var quarantineLimits = once.Limits{Suspect: 1, Ban: 2}

// quarantines returns what is known of requests that crash upstreams.
func (n *Node) quarantines() []*wire.Quarantine {
	all, _ := n.quarantine.Export(0)
	return all
}

// enter queues the call. A suspect waits first until no other one runs here: with
// two at once it would be open which one crashed the upstream.
func (r *run) enter() {
	n := r.n
	switch n.quarantine.Status(r.call.Fingerprint) {
	case once.StatusBanned:
		r.finish(quarantined())
	case once.StatusSuspect:
		r.enterAlone()
	default:
		r.setWaiting(false)
		n.queue.Enter(r.ticket)
	}
}

func (r *run) enterAlone() {
	n := r.n
	if n.Clock.Now() >= r.call.Deadline {
		r.finish(world.Refuse(http.StatusGatewayTimeout, world.CodeDeadline, world.RunNo, n.comeBack(time.Second)))
		return
	}
	if !n.quarantine.Acquire(r.call.Fingerprint) {
		r.setWaiting(true)
		n.Clock.After(suspectPoll, r.reenter)
		return
	}
	r.isSuspect = true
	r.setWaiting(false)
	n.queue.Enter(r.ticket)
}

// reenter tries again unless the caller has gone.
func (r *run) reenter() {
	if r.isWaiting() {
		r.enter()
	}
}

func (r *run) setWaiting(waiting bool) {
	r.mu.Lock()
	r.waiting = waiting
	r.mu.Unlock()
}

func (r *run) isWaiting() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.waiting && !r.over
}

// upstreamBroke looks whether the upstream died when a connection to it broke.
func (n *Node) upstreamBroke(r *run, err error) {
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

// probed ends a look at the upstream. The calls of its life that has ended count for
// one crash, however late their connections break.
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

// probePeriod is how often a dead upstream is probed.
const probePeriod = 250 * time.Millisecond

func (n *Node) upstreamDied(fingerprints []uint64) {
	n.Events.Log(event.UpstreamDown, event.Field{Name: "calls", Value: len(fingerprints)})
	if len(fingerprints) > 0 {
		n.Events.Log(event.UpstreamSuspected, event.Field{Name: "calls", Value: len(fingerprints)})
		n.quarantine.RecordCrash(n.drawID(), fingerprints)
		n.spreadQuarantine()
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
