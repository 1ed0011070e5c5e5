package mesh

import (
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"wagtailyoke/core/admit"
	"wagtailyoke/core/event"
	"wagtailyoke/core/timer"
	"wagtailyoke/core/world"
)

// run is one call at the node of its endpoint: in line, then in the upstream.
type run struct {
	n      *Node
	call   *world.Call
	done   func(*world.Reply)
	waiter *admit.Waiter
	// entered is when the call came to this node.
	entered time.Duration

	mu       sync.Mutex
	over     bool
	started  bool
	cancelUp func()
	deadline timer.Stop
	// begun is when the call went to the upstream, expiry when the upstream takes its
	// time for over.
	begun, expiry time.Duration
	// isSuspect means that the quarantine lets this run be at the upstream as the only
	// suspect.
	isSuspect bool
	// life is the upstream's process that the run is in. It is guarded by lives.
	life uint64
	// hasCalled means that the run made a call. It is guarded by active.
	hasCalled bool
}

// ServePeer takes a call that another node forwards to this VM's upstream.
func (n *Node) ServePeer(c *world.Call, done func(*world.Reply)) (cancel func()) {
	if _, isLeaving := n.isStopping(); isLeaving {
		refusal := world.Refuse(http.StatusServiceUnavailable, world.CodeDraining, world.RunNo, 0)
		refusal.Draining = true
		done(refusal)
		return func() {}
	}
	return n.admit(c, done)
}

// admit takes a call to this node's upstream.
func (n *Node) admit(c *world.Call, done func(*world.Reply)) (cancel func()) {
	r := &run{n: n, call: c, done: done, entered: n.Clock.Now()}
	n.mu.Lock()
	n.runs++
	n.mu.Unlock()
	if code := n.upstream.refusal(c.Service, n.Clock.Now()); code != world.CodeNone {
		r.finish(world.Refuse(http.StatusServiceUnavailable, code, world.RunNo, 0))
		return func() {}
	}
	r.waiter = &admit.Waiter{
		Route:      c.Route,
		Grade:      c.Grade,
		TieBreaker: c.Draw,
		Deadline:   c.Deadline,
		Start:      r.start,
		Drop:       r.drop,
	}
	r.enter()
	return r.cancel
}

func (r *run) drop(code world.Code) {
	running, waiting, limit := r.n.line.Counts()
	r.n.Events.Log(event.LineDropped, event.Field{Name: "id", Value: r.call.ID}, event.Field{Name: "route", Value: r.call.Route},
		event.Field{Name: "code", Value: code}, event.Field{Name: "grade", Value: r.call.Grade}, event.Field{Name: "running", Value: running},
		event.Field{Name: "waiting", Value: waiting}, event.Field{Name: "limit", Value: limit})
	r.finish(world.Refuse(http.StatusServiceUnavailable, code, world.RunNo, 0))
}

// start hands the call to the upstream.
func (r *run) start() {
	n := r.n
	instance, code := n.upstream.current(r.call.Service)
	left := r.call.Deadline - n.Clock.Now()
	if code == world.CodeNone && left <= 0 {
		code = world.CodeDeadline
	}
	if code != world.CodeNone {
		// The upstream began to leave, or the time ended, while the call was in line.
		n.line.Leave(r.waiter, false)
		r.drop(code)
		return
	}
	r.mu.Lock()
	if r.over {
		r.mu.Unlock()
		n.line.Leave(r.waiter, false)
		return
	}
	r.started = true
	r.begun = n.Clock.Now()
	r.expiry = r.begun + left.Truncate(time.Millisecond)
	r.deadline = n.Clock.After(left, r.expire)
	r.mu.Unlock()
	n.Metrics.ObserveDuration(PhaseQueue, r.call.Route, r.begun-r.entered)
	n.active.add(r)
	n.lives.begin(r)
	cancel := n.Upstream.Do(r.call, instance, func(reply *world.Reply, err error) { r.answered(instance, reply, err) })
	r.mu.Lock()
	r.cancelUp = cancel
	isOver := r.over
	r.mu.Unlock()
	if isOver {
		cancel()
	}
}

// answered takes in the upstream's answer.
func (r *run) answered(instance world.InstanceID, reply *world.Reply, err error) {
	if err != nil {
		run := world.RunMaybe
		if errors.Is(err, world.ErrNotSent) {
			run = world.RunNo
			r.noteDown(err)
		}
		if r.end(world.Refuse(http.StatusBadGateway, world.CodeUpstreamFailed, run, 0), false) {
			r.n.lookAtUpstream(r.life)
		}
		return
	}
	r.n.upstream.answers()
	if reply.Code == world.CodeStaleInstance {
		r.n.upstream.gone(instance)
	}
	if reply.Code == world.CodeUpstreamShed {
		r.n.line.CountShed()
	}
	r.end(reply, reply.IsSuccess())
}

func (r *run) isOver() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.over
}

// noteDown makes calls go elsewhere for a moment when the upstream takes no connection.
func (r *run) noteDown(err error) {
	if !r.isOver() && r.n.upstream.tookNoConnection(r.n.Clock.Now()) {
		r.n.Events.Log(event.UpstreamDown, event.Field{Name: "error", Value: err.Error()})
	}
}

func (r *run) expire() {
	r.end(world.Refuse(http.StatusGatewayTimeout, world.CodeDeadline, world.RunMaybe, 0), false)
}

// cancel gives the call up because nobody waits for it.
func (r *run) cancel() {
	if r.n.line.Cancel(r.waiter) {
		r.finish(world.Refuse(http.StatusServiceUnavailable, world.CodeCancelled, world.RunNo, 0))
		return
	}
	r.end(world.Refuse(http.StatusServiceUnavailable, world.CodeCancelled, world.RunMaybe, 0), false)
}

// end gives back the slot of a started call and answers it. It reports whether the call
// had not ended before.
func (r *run) end(reply *world.Reply, isSample bool) bool {
	r.mu.Lock()
	if r.over {
		r.mu.Unlock()
		closeRest(reply)
		return false
	}
	r.over = true
	if !r.started {
		// Cancelled between the line and the upstream: start sees that it is over.
		r.mu.Unlock()
		r.deliver(reply)
		return true
	}
	cancel, stop := r.cancelUp, r.deadline
	r.mu.Unlock()
	stop()
	if cancel != nil && reply.Rest == nil {
		cancel()
	}
	if r.n.active.remove(r, r.n.Clock.Now()) && !reply.IsSuccess() {
		// Another run would fail for the same reason, after the same work.
		reply.Final = true
	}
	r.n.lives.ended(r, reply.Run != world.RunMaybe, r.n.Clock.Now())
	if reply.IsSuccess() {
		r.n.quarantine.RecordCompletion(r.call.Fingerprint)
	}
	r.n.Metrics.ObserveDuration(PhaseUpstream, r.call.Route, r.n.Clock.Now()-r.begun)
	r.n.line.Leave(r.waiter, isSample)
	r.deliver(reply)
	return true
}

// finish answers a call that never started.
func (r *run) finish(reply *world.Reply) {
	r.mu.Lock()
	if r.over {
		r.mu.Unlock()
		return
	}
	r.over = true
	r.mu.Unlock()
	r.deliver(reply)
}

func (r *run) deliver(reply *world.Reply) {
	n := r.n
	if r.isSuspect {
		n.quarantine.Release(r.call.Fingerprint)
	}
	running, waiting, limit := n.line.Counts()
	reply.Load, reply.Limit = running+waiting, limit
	_, code := n.upstream.current(r.call.Service)
	reply.Draining = reply.Draining || code != world.CodeNone
	r.done(reply)
	n.mu.Lock()
	n.runs--
	n.mu.Unlock()
	n.noteIdle()
}
