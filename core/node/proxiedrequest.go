package node

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	"wagtailyoke/core/intent"
	"wagtailyoke/core/invar"
	"wagtailyoke/core/retry"
	"wagtailyoke/core/route"
	"wagtailyoke/core/timer"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// proxiedRequest is a call at the node where it entered, over all its attempts.
type proxiedRequest struct {
	n        *Node
	call     world.Call
	budget   *retry.Budget
	done     func(*world.Reply)
	isPublic bool

	mu    sync.Mutex
	over  bool
	tried []world.NodeID
	// mayHaveRun means that a finished attempt may have reached an upstream.
	mayHaveRun bool
	// attempts counts the attempts; pending means that the last one is in progress.
	attempts int
	pending  bool
	// owner identifies this request as the creator of its idempotency record.
	owner string
	// leaderTries counts the attempts to reach the leader of the home domain.
	leaderTries   int
	cancelAttempt func()
	deadline      timer.Stop
}

func (n *Node) newProxiedRequest(in Incoming, route *intent.Route, customer world.CustomerID, class world.Importance, budget *retry.Budget, done func(*world.Reply)) *proxiedRequest {
	timeout := route.Timeout()
	if in.Timeout > 0 {
		timeout = min(timeout, in.Timeout)
	}
	id := in.ID
	if id == "" {
		id = world.RequestID(fmt.Sprintf("%016x", n.randomID()))
	}
	n.mu.Lock()
	n.proxiedRequests++
	n.mu.Unlock()
	return &proxiedRequest{
		n:      n,
		budget: budget,
		done:   done,
		call: world.Call{
			ID:         id,
			Customer:   customer,
			Service:    route.Service,
			Route:      route.ID,
			Importance: class,
			Deadline:   n.Clock.Now() + timeout,
			Idempotent: route.Idempotent,
			Method:     in.Method,
			Path:       in.Path,
			Header:     in.Header,
			Body:       in.Body,
		},
	}
}

// begin obtains the idempotency record, if the call has a key, and starts the first attempt.
func (f *proxiedRequest) begin() {
	stop := f.n.Clock.After(f.call.Deadline-f.n.Clock.Now(), f.expire)
	f.mu.Lock()
	f.deadline = stop
	f.mu.Unlock()
	if f.call.HasKey() {
		f.obtainRecord()
		return
	}
	f.attempt()
}

func (f *proxiedRequest) expire() {
	f.finish(world.Refuse(http.StatusGatewayTimeout, world.CodeDeadline, f.runSoFar(), f.n.retryAfter(time.Second)))
}

func (f *proxiedRequest) runSoFar() world.Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.mayHaveRun || f.pending {
		return world.RunMaybe
	}
	return world.RunNo
}

// cancel cancels the call because its caller has disconnected. A call with an
// idempotency key continues, so that a resend of the caller gets its answer.
func (f *proxiedRequest) cancel() {
	if f.call.HasKey() {
		return
	}
	f.finish(world.Refuse(http.StatusServiceUnavailable, world.CodeCancelled, f.runSoFar(), 0))
}

func (f *proxiedRequest) isOver() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.over
}

// attempt sends the call to an endpoint.
func (f *proxiedRequest) attempt() {
	n := f.n
	f.mu.Lock()
	if f.over {
		f.mu.Unlock()
		return
	}
	tried := append([]world.NodeID(nil), f.tried...)
	f.mu.Unlock()
	target, ok := n.chooseTarget(&f.call, f.isPublic, tried)
	if !ok {
		f.finish(f.noEndpoint())
		return
	}
	c := f.call
	lent := f.budget.Split()
	c.Budget = lent
	f.mu.Lock()
	f.tried = append(f.tried, target.Node)
	f.attempts++
	f.pending = true
	attempt := f.attempts
	f.mu.Unlock()
	ended := func(r *world.Reply, err error) { f.handleAttemptReply(target, lent, r, err) }
	var cancel func()
	if target.Node == n.Info.Name {
		cancel = n.admit(&c, func(r *world.Reply) { ended(r, nil) })
	} else {
		cancel = n.Links.Forward(target.Peer, &c, ended)
	}
	f.setCancel(attempt, cancel)
}

func (f *proxiedRequest) noEndpoint() *world.Reply {
	return world.Refuse(http.StatusServiceUnavailable, world.CodeNoEndpoint, f.runSoFar(), f.n.retryAfter(time.Second))
}

// setCancel stores the cancel function of an attempt, unless the attempt has ended
// already. It cancels the attempt if the request is over.
func (f *proxiedRequest) setCancel(attempt int, cancel func()) {
	f.mu.Lock()
	isCurrent := f.attempts == attempt && f.pending
	isOver := f.over
	if isCurrent && !isOver {
		f.cancelAttempt = cancel
	}
	f.mu.Unlock()
	if isCurrent && isOver {
		cancel()
	}
}

// chooseTarget selects an endpoint. For callers' calls it prefers this node's own
// upstream while that has free capacity, which saves a hop to another node.
func (n *Node) chooseTarget(c *world.Call, isPublic bool, tried []world.NodeID) (route.Endpoint, bool) {
	isOwn := c.Service == n.Info.Service && len(tried) == 0
	isUsable := isOwn && n.state() == wire.NodeState_NODE_STATE_READY
	if isPublic && isUsable && n.queue.HasRoom() && !n.picker.IsExcluded(n.Info.Name) {
		return n.ownEndpoint(), true
	}
	if e, ok := n.picker.Pick(c.Service, tried); ok {
		return e, true
	}
	if isUsable {
		return n.ownEndpoint(), true
	}
	return route.Endpoint{}, false
}

func (n *Node) ownEndpoint() route.Endpoint {
	return route.Endpoint{Node: n.Info.Name, Domain: n.Info.Domain, Service: n.Info.Service, Peer: n.Info.Peer}
}

// handleAttemptReply processes the result of an attempt and retries it or finishes.
func (f *proxiedRequest) handleAttemptReply(target route.Endpoint, lent int, r *world.Reply, err error) {
	if err != nil {
		r = brokenAttempt(err)
		if errors.Is(err, world.ErrNotSent) {
			r.BudgetLeft = lent
		}
	}
	f.n.Checks.That(r.BudgetLeft <= lent, invar.BudgetBounded, "request %s: %d retries came back of %d", f.call.ID, r.BudgetLeft, lent)
	f.budget.Return(r.BudgetLeft)
	f.n.picker.Done(target.Node, route.Outcome{
		// A cancelled call ends with the same error as a broken connection.
		Failed:   isEndpointFault(r) && !f.isOver(),
		Load:     r.Load,
		Limit:    r.Limit,
		Draining: r.Draining,
	})
	f.n.routeLevels.Report(f.call.Route, r.Level)
	f.mu.Lock()
	if f.over {
		f.mu.Unlock()
		return
	}
	f.cancelAttempt = nil
	f.pending = false
	if r.Run != world.RunNo {
		f.mayHaveRun = true
	}
	f.mu.Unlock()
	if f.shouldRetry(r) {
		f.n.Metrics.Retried(reasonOf(r))
		f.attempt()
		return
	}
	f.finish(r)
}

func brokenAttempt(err error) *world.Reply {
	run := world.RunMaybe
	if errors.Is(err, world.ErrNotSent) {
		run = world.RunNo
	}
	return world.Refuse(http.StatusBadGateway, world.CodeUnreachable, run, time.Second)
}

// finish answers the call once and settles its idempotency record.
func (f *proxiedRequest) finish(r *world.Reply) {
	f.mu.Lock()
	if f.over {
		f.mu.Unlock()
		return
	}
	f.over = true
	cancel, stop, owner := f.cancelAttempt, f.deadline, f.owner
	if r.Run == world.RunNo && f.mayHaveRun {
		copied := *r
		copied.Run = world.RunMaybe
		r = &copied
	}
	f.mu.Unlock()
	if stop != nil {
		stop()
	}
	if cancel != nil {
		cancel()
	}
	if owner != "" {
		f.settleRecord(owner, r)
	}
	f.count(r)
	final := *r
	final.BudgetLeft = f.budget.Close()
	f.n.mu.Lock()
	f.n.proxiedRequests--
	f.n.mu.Unlock()
	f.done(&final)
}

func (f *proxiedRequest) count(r *world.Reply) {
	if r.IsRefusal() {
		f.n.Metrics.Refused(r.Code)
		return
	}
	f.n.Metrics.Served(f.call.Route)
	if r.IsSuccess() {
		f.n.buckets.of(f.call.Service).RecordSuccess()
	}
}

func sortedNames(h http.Header) []string {
	names := make([]string, 0, len(h))
	for name := range h {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
