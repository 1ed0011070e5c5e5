package node

import (
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"wagtailyoke/core/admit"
	"wagtailyoke/core/event"
	"wagtailyoke/core/once"
	"wagtailyoke/core/retry"
	"wagtailyoke/core/timer"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// execution is a call at the node of its endpoint: in the wait queue, then in the upstream.
type execution struct {
	n      *Node
	call   *world.Call
	done   func(*world.Reply)
	ticket *admit.Ticket
	budget *retry.Budget
	token  string
	// isSuspect means that this call holds the quarantine's permit for its fingerprint.
	isSuspect  bool
	generation uint64

	mu   sync.Mutex
	over bool
	// waiting means that a suspect waits for the quarantine's permit.
	waiting  bool
	started  bool
	startAt  time.Duration
	cancelUp func()
	deadline timer.Stop
	// children counts the child calls in flight; childTime is the total time during
	// which there was at least one.
	children    int
	childSince  time.Duration
	childTime   time.Duration
	childLevel  float64
	childFailed bool
}

// admit checks a call and queues it for this node's upstream.
func (n *Node) admit(c *world.Call, done func(*world.Reply)) (cancel func()) {
	if refusal := n.checkTarget(c); refusal != nil {
		n.Metrics.Refused(refusal.Code)
		refusal.BudgetLeft = c.Budget
		n.addNodeStatus(refusal)
		done(refusal)
		return func() {}
	}
	r := &execution{n: n, call: c, done: done, budget: retry.NewBudget(c.Budget)}
	r.ticket = &admit.Ticket{
		Importance: c.Importance,
		Customer:   c.Customer,
		Weight:     n.weightOf(c.Customer),
		Deadline:   c.Deadline,
		Start:      r.start,
		Shed:       r.shed,
	}
	r.enter()
	return r.cancel
}

func (n *Node) weightOf(customer world.CustomerID) float64 {
	cfg := n.config.Load()
	if cfg == nil {
		return 1
	}
	c, ok := cfg.Customer(customer)
	if !ok {
		return 1
	}
	return c.Contract.Rate
}

func (n *Node) checkTarget(c *world.Call) *world.Reply {
	if n.quarantine.Status(c.Fingerprint) == once.StatusBanned {
		return quarantined()
	}
	if n.state() != wire.NodeState_NODE_STATE_READY {
		r := world.Refuse(http.StatusServiceUnavailable, world.CodeDraining, world.RunNo, time.Second)
		r.Draining = true
		return r
	}
	if c.HasKey() && c.Home != "" && c.Epoch < n.leaders.epochOf(c.Home) {
		return world.Refuse(http.StatusServiceUnavailable, world.CodeStaleEpoch, world.RunNo, time.Second)
	}
	return nil
}

// addNodeStatus adds the load and state of this node to a reply.
func (n *Node) addNodeStatus(r *world.Reply) {
	r.Level = max(r.Level, n.queue.Level())
	r.Load = n.queue.Load()
	r.Limit = n.limiter.Limit()
	r.Draining = r.Draining || n.state() != wire.NodeState_NODE_STATE_READY
}

func (e *execution) shed(code world.Code) {
	delay := max(time.Second, e.n.rateGate.WaitFor(e.n.queue.Load()))
	e.finish(world.Refuse(http.StatusServiceUnavailable, code, world.RunNo, e.n.retryAfter(delay)))
}

// start hands the call to the upstream.
func (e *execution) start() {
	n := e.n
	left := e.call.Deadline - n.Clock.Now()
	if left <= 0 {
		e.leave(admit.Sample{Ignore: true})
		e.finish(world.Refuse(http.StatusGatewayTimeout, world.CodeDeadline, world.RunNo, n.retryAfter(time.Second)))
		return
	}
	if n.state() != wire.NodeState_NODE_STATE_READY {
		// The upstream began to drain while the call was queued.
		e.leave(admit.Sample{Ignore: true})
		e.finish(world.Refuse(http.StatusServiceUnavailable, world.CodeDraining, world.RunNo, time.Second))
		return
	}
	e.token = n.Tokens()
	n.mu.Lock()
	e.generation = n.generation
	n.tokens[e.token] = e
	n.inFlight[e] = true
	n.mu.Unlock()
	e.mu.Lock()
	if e.over {
		// The call was cancelled after it left the queue.
		e.mu.Unlock()
		n.forget(e)
		e.leave(admit.Sample{Ignore: true})
		return
	}
	e.started = true
	e.startAt = n.Clock.Now()
	e.deadline = n.Clock.After(left, e.expire)
	e.mu.Unlock()
	cancel := n.Upstream.Do(e.call, e.token, e.answered)
	e.mu.Lock()
	e.cancelUp = cancel
	isOver := e.over
	e.mu.Unlock()
	if isOver {
		cancel()
	}
}

func (n *Node) forget(r *execution) {
	n.mu.Lock()
	delete(n.tokens, r.token)
	delete(n.inFlight, r)
	n.mu.Unlock()
}

func (e *execution) leave(s admit.Sample) {
	e.n.queue.Leave(e.ticket, s)
}

func (e *execution) expire() {
	e.end(world.Refuse(http.StatusGatewayTimeout, world.CodeDeadline, world.RunMaybe, e.n.retryAfter(time.Second)), admit.Sample{Ignore: true}, false)
}

// cancel cancels the call because its caller no longer waits for it.
func (e *execution) cancel() {
	if e.isWaiting() || e.n.queue.Cancel(e.ticket) {
		e.finish(world.Refuse(http.StatusServiceUnavailable, world.CodeCancelled, world.RunNo, 0))
		return
	}
	e.end(world.Refuse(http.StatusServiceUnavailable, world.CodeCancelled, world.RunMaybe, 0), admit.Sample{Ignore: true}, false)
}

// answered processes the upstream's answer.
func (e *execution) answered(reply *world.Reply, err error) {
	if err != nil {
		if !e.isOver() {
			e.n.handleBrokenConnection(e, err)
			if !errors.Is(err, world.ErrNotSent) {
				e.n.Events.Log(event.AnswerBroken, event.Field{Name: "id", Value: e.call.ID}, event.Field{Name: "route", Value: e.call.Route},
					event.Field{Name: "error", Value: err.Error()})
			}
		}
		e.end(e.brokenReply(err), admit.Sample{Ignore: true}, false)
		return
	}
	e.handleNotice(reply)
	sample := admit.Sample{Route: e.call.Route, OwnTime: e.ownTime()}
	if reply.Status == http.StatusServiceUnavailable && reply.Header.Get("Retry-After") != "" {
		sample.Shed = true
		delay := max(time.Second, world.ParseRetryAfter(reply.Header.Get("Retry-After")))
		shed := world.Refuse(http.StatusServiceUnavailable, world.CodeUpstreamShed, world.RunMaybe, e.n.retryAfter(delay))
		e.end(shed, sample, true)
		return
	}
	e.end(reply, sample, true)
}

// handleNotice applies what the upstream says about itself in its answer, unless it has restarted since.
func (e *execution) handleNotice(reply *world.Reply) {
	n := e.n
	n.mu.Lock()
	isCurrent := e.generation == n.generation
	n.mu.Unlock()
	if reply.Notice == nil || !isCurrent {
		return
	}
	if reply.Notice.IsLeaving {
		n.UpstreamAnnounced(wire.NodeState_NODE_STATE_DRAINING)
	}
	switch {
	case reply.Notice.HasCallLimit:
		if n.rateGate.SetLimit(reply.Notice.CallLimit) {
			n.Events.Log(event.UpstreamLimited, event.Field{Name: "limit", Value: reply.Notice.CallLimit})
		}
	case n.rateGate.Lift(e.startAt):
		n.Events.Log(event.UpstreamUnlimited)
		n.queue.Recheck()
	}
}

// isOver reports whether the call has been cancelled or answered.
func (e *execution) isOver() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.over
}

// brokenReply returns the reply for a failed connection. If the connection was never
// made, the call has not run.
func (e *execution) brokenReply(err error) *world.Reply {
	if errors.Is(err, world.ErrNotSent) {
		return world.Refuse(http.StatusBadGateway, world.CodeUnreachable, world.RunNo, time.Second)
	}
	// Final, because the call may have crashed the upstream. The caller may send it
	// again; by then the quarantine knows whether an upstream crashed.
	failed := world.Refuse(http.StatusBadGateway, world.CodeUpstreamFailed, world.RunMaybe, time.Second)
	failed.Final = true
	return failed
}

// ownTime returns the time in the upstream without the time of its child calls.
func (e *execution) ownTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.n.Clock.Now()
	children := e.childTime
	if e.children > 0 {
		children += now - e.childSince
	}
	return now - e.startAt - children
}

// end releases the slot of a started call and answers it.
func (e *execution) end(reply *world.Reply, s admit.Sample, completed bool) {
	e.mu.Lock()
	if e.over || !e.started {
		e.over = true
		e.mu.Unlock()
		return
	}
	e.over = true
	cancel, stop := e.cancelUp, e.deadline
	reply.Final = reply.Final || e.childFailed && !reply.IsSuccess()
	reply.Level = max(reply.Level, e.childLevel)
	e.mu.Unlock()
	stop()
	if cancel != nil && !completed {
		cancel()
	}
	e.n.forget(e)
	if e.isSuspect {
		e.n.quarantine.Release(e.call.Fingerprint)
		if reply.IsSuccess() {
			e.n.quarantine.RecordCompletion(e.call.Fingerprint)
		}
	}
	e.leave(s)
	e.deliver(reply)
}

// finish answers a call that never started.
func (e *execution) finish(reply *world.Reply) {
	e.mu.Lock()
	if e.over {
		e.mu.Unlock()
		return
	}
	e.over = true
	e.mu.Unlock()
	if e.isSuspect {
		e.n.quarantine.Release(e.call.Fingerprint)
	}
	e.deliver(reply)
}

func (e *execution) deliver(reply *world.Reply) {
	if reply.IsRefusal() {
		e.n.Metrics.Refused(reply.Code)
	}
	reply.BudgetLeft = e.budget.Close()
	e.n.addNodeStatus(reply)
	e.done(reply)
}

func (e *execution) childStarted() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.children == 0 {
		e.childSince = e.n.Clock.Now()
	}
	e.children++
}

func (e *execution) childEnded(reply *world.Reply) {
	e.budget.Return(reply.BudgetLeft)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.children--
	if e.children == 0 {
		e.childTime += e.n.Clock.Now() - e.childSince
	}
	e.childLevel = max(e.childLevel, reply.Level)
	if !reply.IsSuccess() {
		e.childFailed = true
	}
}
