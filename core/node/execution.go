package node

import (
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"wagtailyoke/core/admit"
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
		n.fill(refusal)
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

// fill adds the load and state of this node to a reply.
func (n *Node) fill(r *world.Reply) {
	r.Level = max(r.Level, n.queue.Level())
	r.Load = n.queue.Load()
	r.Limit = n.limiter.Limit()
	r.Draining = r.Draining || n.state() != wire.NodeState_NODE_STATE_READY
}

func (r *execution) shed(code world.Code) {
	r.finish(world.Refuse(http.StatusServiceUnavailable, code, world.RunNo, r.n.retryAfter(time.Second)))
}

// start hands the call to the upstream.
func (r *execution) start() {
	n := r.n
	left := r.call.Deadline - n.Clock.Now()
	if left <= 0 {
		r.leave(admit.Sample{Ignore: true})
		r.finish(world.Refuse(http.StatusGatewayTimeout, world.CodeDeadline, world.RunNo, n.retryAfter(time.Second)))
		return
	}
	if n.state() != wire.NodeState_NODE_STATE_READY {
		// The upstream began to drain while the call was queued.
		r.leave(admit.Sample{Ignore: true})
		r.finish(world.Refuse(http.StatusServiceUnavailable, world.CodeDraining, world.RunNo, time.Second))
		return
	}
	r.token = n.Tokens()
	n.mu.Lock()
	r.generation = n.generation
	n.tokens[r.token] = r
	n.inFlight[r] = true
	n.mu.Unlock()
	r.mu.Lock()
	if r.over {
		// The call was cancelled after it left the queue.
		r.mu.Unlock()
		n.forget(r)
		r.leave(admit.Sample{Ignore: true})
		return
	}
	r.started = true
	r.startAt = n.Clock.Now()
	r.deadline = n.Clock.After(left, r.expire)
	r.mu.Unlock()
	cancel := n.Upstream.Do(r.call, r.token, r.answered)
	r.mu.Lock()
	r.cancelUp = cancel
	isOver := r.over
	r.mu.Unlock()
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

func (r *execution) leave(s admit.Sample) {
	r.n.queue.Leave(r.ticket, s)
}

func (r *execution) expire() {
	r.end(world.Refuse(http.StatusGatewayTimeout, world.CodeDeadline, world.RunMaybe, r.n.retryAfter(time.Second)), admit.Sample{Ignore: true}, false)
}

// cancel cancels the call because its caller no longer waits for it.
func (r *execution) cancel() {
	if r.isWaiting() || r.n.queue.Cancel(r.ticket) {
		r.finish(world.Refuse(http.StatusServiceUnavailable, world.CodeCancelled, world.RunNo, 0))
		return
	}
	r.end(world.Refuse(http.StatusServiceUnavailable, world.CodeCancelled, world.RunMaybe, 0), admit.Sample{Ignore: true}, false)
}

// answered processes the upstream's answer.
func (r *execution) answered(reply *world.Reply, err error) {
	if err != nil {
		if !r.isOver() {
			r.n.handleBrokenConnection(r, err)
		}
		r.end(r.brokenReply(err), admit.Sample{Ignore: true}, false)
		return
	}
	sample := admit.Sample{Route: r.call.Route, OwnTime: r.ownTime()}
	if reply.Status == http.StatusServiceUnavailable && reply.Header.Get("Retry-After") != "" {
		sample.Shed = true
		shed := world.Refuse(http.StatusServiceUnavailable, world.CodeUpstreamShed, world.RunMaybe, r.n.retryAfter(time.Second))
		r.end(shed, sample, true)
		return
	}
	r.end(reply, sample, true)
}

// isOver reports whether the call has been cancelled or answered.
func (r *execution) isOver() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.over
}

// brokenReply returns the reply for a failed connection. If the connection was never
// made, the call has not run.
func (r *execution) brokenReply(err error) *world.Reply {
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
func (r *execution) ownTime() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.n.Clock.Now()
	children := r.childTime
	if r.children > 0 {
		children += now - r.childSince
	}
	return now - r.startAt - children
}

// end releases the slot of a started call and answers it.
func (r *execution) end(reply *world.Reply, s admit.Sample, completed bool) {
	r.mu.Lock()
	if r.over || !r.started {
		r.over = true
		r.mu.Unlock()
		return
	}
	r.over = true
	cancel, stop := r.cancelUp, r.deadline
	reply.Final = reply.Final || r.childFailed && !reply.IsSuccess()
	reply.Level = max(reply.Level, r.childLevel)
	r.mu.Unlock()
	stop()
	if cancel != nil && !completed {
		cancel()
	}
	r.n.forget(r)
	if r.isSuspect {
		r.n.quarantine.Release(r.call.Fingerprint)
		if reply.IsSuccess() {
			r.n.quarantine.RecordCompletion(r.call.Fingerprint)
		}
	}
	r.leave(s)
	r.deliver(reply)
}

// finish answers a call that never started.
func (r *execution) finish(reply *world.Reply) {
	r.mu.Lock()
	if r.over {
		r.mu.Unlock()
		return
	}
	r.over = true
	r.mu.Unlock()
	if r.isSuspect {
		r.n.quarantine.Release(r.call.Fingerprint)
	}
	r.deliver(reply)
}

func (r *execution) deliver(reply *world.Reply) {
	if reply.IsRefusal() {
		r.n.Metrics.Refused(reply.Code)
	}
	reply.BudgetLeft = r.budget.Close()
	r.n.fill(reply)
	r.done(reply)
}

func (r *execution) childStarted() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.children == 0 {
		r.childSince = r.n.Clock.Now()
	}
	r.children++
}

func (r *execution) childEnded(reply *world.Reply) {
	r.budget.Return(reply.BudgetLeft)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.children--
	if r.children == 0 {
		r.childTime += r.n.Clock.Now() - r.childSince
	}
	r.childLevel = max(r.childLevel, reply.Level)
	if !reply.IsSuccess() {
		r.childFailed = true
	}
}
