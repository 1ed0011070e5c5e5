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

// execution is a call at the node of its endpoint, first in the wait queue and then in the upstream.
type execution struct {
	n      *Node
	call   *world.Call
	done   func(*world.Reply)
	waiter *admit.Waiter
	// arrivedAt is when the call arrived at this node.
	arrivedAt time.Duration

	mu             sync.Mutex
	ended          bool
	started        bool
	cancelUpstream func()
	stopDeadline   timer.Stop
	// startedAt is when the call was sent to the upstream. upstreamDeadline is the deadline that
	// the upstream was given.
	startedAt, upstreamDeadline time.Duration
	// holdsSuspectSlot means that the quarantine allows this execution to be the only suspect in
	// the upstream.
	holdsSuspectSlot bool
	// generation is the upstream process that executes the call. It is guarded by crashDetector.mu.
	generation uint64
	// hasMadeCall means that the execution has made a call. It is guarded by callMatcher.mu.
	hasMadeCall bool
}

// ServePeer handles a call that another node forwards to this VM's upstream.
func (n *Node) ServePeer(c *world.Call, done func(*world.Reply)) (cancel func()) {
	if _, isLeaving := n.stopState(); isLeaving {
		refusal := world.Refuse(http.StatusServiceUnavailable, world.CodeDraining, world.RunNo, 0)
		refusal.Draining = true
		done(refusal)
		return func() {}
	}
	return n.execute(c, done)
}

// execute queues a call for this node's upstream and executes it.
func (n *Node) execute(c *world.Call, done func(*world.Reply)) (cancel func()) {
	e := &execution{n: n, call: c, done: done, arrivedAt: n.Clock.Now()}
	n.mu.Lock()
	n.executionCount++
	n.mu.Unlock()
	if code := n.upstreamTracker.refusalCode(c.Service, n.Clock.Now()); code != world.CodeNone {
		e.finish(world.Refuse(http.StatusServiceUnavailable, code, world.RunNo, 0))
		return func() {}
	}
	n.applySuggestedLimit(c.CallLimit)
	e.waiter = &admit.Waiter{
		Route:      c.Route,
		Grade:      c.Grade,
		TieBreaker: c.TieBreaker,
		Deadline:   c.Deadline,
		Start:      e.start,
		Drop:       e.drop,
	}
	e.enqueue()
	return e.cancel
}

func (e *execution) drop(code world.Code) {
	running, waiting, limit := e.n.queue.Counts()
	e.n.Events.Log(event.CallNotAdmitted, event.Field{Name: "id", Value: e.call.ID}, event.Field{Name: "route", Value: e.call.Route},
		event.Field{Name: "code", Value: code}, event.Field{Name: "grade", Value: e.call.Grade}, event.Field{Name: "running", Value: running},
		event.Field{Name: "waiting", Value: waiting}, event.Field{Name: "limit", Value: limit})
	e.finish(world.Refuse(http.StatusServiceUnavailable, code, world.RunNo, e.n.rateGate.WaitFor(waiting)))
}

// start sends the call to the upstream.
func (e *execution) start() {
	n := e.n
	instance, code := n.upstreamTracker.instanceFor(e.call.Service)
	remaining := e.call.Deadline - n.Clock.Now()
	if code == world.CodeNone && remaining <= 0 {
		code = world.CodeDeadline
	}
	if code != world.CodeNone {
		// The upstream started draining or the deadline passed while the call was queued.
		n.queue.Leave(e.waiter, false)
		e.drop(code)
		return
	}
	e.mu.Lock()
	if e.ended {
		e.mu.Unlock()
		n.queue.Leave(e.waiter, false)
		return
	}
	e.started = true
	e.startedAt = n.Clock.Now()
	e.upstreamDeadline = e.startedAt + remaining.Truncate(time.Millisecond)
	e.stopDeadline = n.Clock.After(remaining, e.expire)
	e.mu.Unlock()
	n.Metrics.ObserveDuration(PhaseQueue, e.call.Route, e.startedAt-e.arrivedAt)
	n.callMeter.countCall()
	n.callMatcher.executionStarted(e)
	n.crashDetector.executionStarted(e)
	cancel := n.Upstream.Do(e.call, instance, func(reply *world.Reply, err error) { e.handleAnswer(instance, reply, err) })
	e.mu.Lock()
	e.cancelUpstream = cancel
	hasEnded := e.ended
	e.mu.Unlock()
	if hasEnded {
		cancel()
	}
}

// handleAnswer processes the upstream's answer.
func (e *execution) handleAnswer(instance world.InstanceID, reply *world.Reply, err error) {
	if err != nil {
		run := world.RunMaybe
		if errors.Is(err, world.ErrNotSent) {
			run = world.RunNo
			e.handleConnectFailure(err)
		} else if !e.hasEnded() {
			e.logBrokenAnswer(instance, err)
		}
		if e.end(world.Refuse(http.StatusBadGateway, world.CodeUpstreamFailed, run, 0), false) {
			e.n.probeUpstream(e.generation)
		}
		return
	}
	e.n.upstreamTracker.connectSucceeded()
	e.n.coldGate.CountAnswer()
	if reply.Code == world.CodeStaleInstance {
		e.n.upstreamTracker.markReplaced(instance)
	}
	e.n.handleNotice(instance, reply, e)
	if reply.Code == world.CodeUpstreamShed {
		e.n.queue.CountShed()
	}
	if reply.Rest != nil {
		reply.Rest = &watchedBody{ReadCloser: reply.Rest, failed: func(err error) { e.logBrokenAnswer(instance, err) }}
	}
	e.end(reply, reply.IsSuccess())
}

func (e *execution) logBrokenAnswer(instance world.InstanceID, err error) {
	e.n.Events.Log(event.AnswerBroken, event.Field{Name: "id", Value: e.call.ID}, event.Field{Name: "route", Value: e.call.Route},
		event.Field{Name: "instance", Value: instance}, event.Field{Name: "error", Value: err.Error()})
}

func (e *execution) hasEnded() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ended
}

// handleConnectFailure stops sending calls to the upstream for a short time after a failed connection.
func (e *execution) handleConnectFailure(err error) {
	if e.hasEnded() {
		return
	}
	e.n.suspectRestart()
	if e.n.upstreamTracker.connectFailed(e.n.Clock.Now()) {
		e.n.Events.Log(event.UpstreamDown, event.Field{Name: "error", Value: err.Error()})
	}
}

func (e *execution) expire() {
	e.end(world.Refuse(http.StatusGatewayTimeout, world.CodeDeadline, world.RunMaybe, 0), false)
}

// cancel abandons the call because its caller no longer waits for it.
func (e *execution) cancel() {
	if e.n.queue.Cancel(e.waiter) {
		e.finish(world.Refuse(http.StatusServiceUnavailable, world.CodeCancelled, world.RunNo, 0))
		return
	}
	e.end(world.Refuse(http.StatusServiceUnavailable, world.CodeCancelled, world.RunMaybe, 0), false)
}

// end releases the slot of a started call and answers the call. It reports whether the call had not
// ended before. isSample makes its duration a sample of the route's latency.
func (e *execution) end(reply *world.Reply, isSample bool) bool {
	e.mu.Lock()
	if e.ended {
		e.mu.Unlock()
		closeBody(reply)
		return false
	}
	e.ended = true
	if !e.started {
		// Cancelled after it left the wait queue and before it was sent to the upstream: start
		// checks ended.
		e.mu.Unlock()
		e.deliver(reply)
		return true
	}
	cancel, stop := e.cancelUpstream, e.stopDeadline
	e.mu.Unlock()
	stop()
	if cancel != nil && reply.Rest == nil {
		cancel()
	}
	if e.n.callMatcher.executionEnded(e, e.n.Clock.Now()) && !reply.IsSuccess() {
		// A call of the execution has failed. Another attempt would repeat the same work and fail
		// for the same reason.
		reply.Final = true
	}
	e.n.crashDetector.executionEnded(e, reply.Run != world.RunMaybe, e.n.Clock.Now())
	if reply.IsSuccess() {
		e.n.quarantine.RecordCompletion(e.call.Fingerprint)
	}
	e.n.Metrics.ObserveDuration(PhaseUpstream, e.call.Route, e.n.Clock.Now()-e.startedAt)
	e.n.queue.Leave(e.waiter, isSample)
	e.deliver(reply)
	return true
}

// finish answers a call that was never sent to the upstream.
func (e *execution) finish(reply *world.Reply) {
	e.mu.Lock()
	if e.ended {
		e.mu.Unlock()
		return
	}
	e.ended = true
	e.mu.Unlock()
	e.deliver(reply)
}

func (e *execution) deliver(reply *world.Reply) {
	n := e.n
	if e.holdsSuspectSlot {
		n.quarantine.Release(e.call.Fingerprint)
	}
	running, waiting, _ := n.queue.Counts()
	reply.Load, reply.Limit = running+waiting, n.queue.UsableLimit()
	_, code := n.upstreamTracker.instanceFor(e.call.Service)
	reply.Draining = reply.Draining || code != world.CodeNone
	endWithBody(reply, e.done, func() {
		n.mu.Lock()
		n.executionCount--
		n.mu.Unlock()
		n.endIfIdle()
	})
}
