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

// timeoutOf returns how long a call may take.
func timeoutOf(route *intent.Route, in Incoming) time.Duration {
	if in.Timeout > 0 {
		return min(route.Timeout(), in.Timeout)
	}
	return route.Timeout()
}

func (n *Node) newProxiedRequest(in Incoming, route *intent.Route, customer world.CustomerID, class world.Importance, budget *retry.Budget, done func(*world.Reply)) *proxiedRequest {
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
			Deadline:   n.Clock.Now() + timeoutOf(route, in),
			Idempotent: route.Idempotent,
			Method:     in.Method,
			Path:       in.Path,
			Header:     in.Header,
			Body:       in.Body,
		},
	}
}

// begin obtains the idempotency record, if the call has a key, and starts the first attempt.
func (p *proxiedRequest) begin() {
	stop := p.n.Clock.After(p.call.Deadline-p.n.Clock.Now(), p.expire)
	p.mu.Lock()
	p.deadline = stop
	p.mu.Unlock()
	if p.call.HasKey() {
		p.obtainRecord()
		return
	}
	p.attempt()
}

func (p *proxiedRequest) expire() {
	p.finish(world.Refuse(http.StatusGatewayTimeout, world.CodeDeadline, p.runSoFar(), p.n.retryAfter(time.Second)))
}

func (p *proxiedRequest) runSoFar() world.Run {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mayHaveRun || p.pending {
		return world.RunMaybe
	}
	return world.RunNo
}

// cancel cancels the call because its caller has disconnected. A call with an
// idempotency key continues, so that a resend of the caller gets its answer.
func (p *proxiedRequest) cancel() {
	if p.call.HasKey() {
		return
	}
	p.finish(world.Refuse(http.StatusServiceUnavailable, world.CodeCancelled, p.runSoFar(), 0))
}

func (p *proxiedRequest) isOver() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.over
}

// attempt sends the call to an endpoint.
func (p *proxiedRequest) attempt() {
	n := p.n
	p.mu.Lock()
	if p.over {
		p.mu.Unlock()
		return
	}
	tried := append([]world.NodeID(nil), p.tried...)
	p.mu.Unlock()
	target, ok := n.chooseTarget(&p.call, p.isPublic, tried)
	if !ok {
		p.finish(p.noEndpoint())
		return
	}
	c := p.call
	lent := p.budget.Split()
	c.Budget = lent
	p.mu.Lock()
	p.tried = append(p.tried, target.Node)
	p.attempts++
	p.pending = true
	attempt := p.attempts
	p.mu.Unlock()
	ended := func(r *world.Reply, err error) { p.handleAttemptReply(target, lent, r, err) }
	var cancel func()
	if target.Node == n.Info.Name {
		cancel = n.admit(&c, func(r *world.Reply) { ended(r, nil) })
	} else {
		cancel = n.Links.Forward(target.Peer, &c, ended)
	}
	p.setCancel(attempt, cancel)
}

func (p *proxiedRequest) noEndpoint() *world.Reply {
	return world.Refuse(http.StatusServiceUnavailable, world.CodeNoEndpoint, p.runSoFar(), p.n.retryAfter(time.Second))
}

// setCancel stores the cancel function of an attempt, unless the attempt has ended
// already. It cancels the attempt if the request is over.
func (p *proxiedRequest) setCancel(attempt int, cancel func()) {
	p.mu.Lock()
	isCurrent := p.attempts == attempt && p.pending
	isOver := p.over
	if isCurrent && !isOver {
		p.cancelAttempt = cancel
	}
	p.mu.Unlock()
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
func (p *proxiedRequest) handleAttemptReply(target route.Endpoint, lent int, r *world.Reply, err error) {
	if err != nil {
		r = brokenAttempt(err)
		if errors.Is(err, world.ErrNotSent) {
			r.BudgetLeft = lent
		}
	}
	p.n.Checks.That(r.BudgetLeft <= lent, invar.BudgetBounded, "request %s: %d retries came back of %d", p.call.ID, r.BudgetLeft, lent)
	p.budget.Return(r.BudgetLeft)
	p.n.picker.Done(target.Node, route.Outcome{
		// A cancelled call ends with the same error as a broken connection.
		Failed:   isEndpointFault(r) && !p.isOver(),
		Load:     r.Load,
		Limit:    r.Limit,
		Draining: r.Draining,
	})
	p.n.routeLevels.Report(p.call.Route, r.Level)
	p.mu.Lock()
	if p.over {
		p.mu.Unlock()
		return
	}
	p.cancelAttempt = nil
	p.pending = false
	if r.Run != world.RunNo {
		p.mayHaveRun = true
	}
	p.mu.Unlock()
	if p.shouldRetry(r) {
		p.n.Metrics.Retried(reasonOf(r))
		p.attempt()
		return
	}
	p.finish(r)
}

func brokenAttempt(err error) *world.Reply {
	run := world.RunMaybe
	if errors.Is(err, world.ErrNotSent) {
		run = world.RunNo
	}
	return world.Refuse(http.StatusBadGateway, world.CodeUnreachable, run, time.Second)
}

// finish answers the call once and settles its idempotency record.
func (p *proxiedRequest) finish(r *world.Reply) {
	p.mu.Lock()
	if p.over {
		p.mu.Unlock()
		return
	}
	p.over = true
	cancel, stop, owner := p.cancelAttempt, p.deadline, p.owner
	if r.Run == world.RunNo && p.mayHaveRun {
		copied := *r
		copied.Run = world.RunMaybe
		r = &copied
	}
	p.mu.Unlock()
	if stop != nil {
		stop()
	}
	if cancel != nil {
		cancel()
	}
	if owner != "" {
		p.settleRecord(owner, r)
	}
	p.count(r)
	final := *r
	final.BudgetLeft = p.budget.Close()
	p.n.mu.Lock()
	p.n.proxiedRequests--
	p.n.mu.Unlock()
	p.done(&final)
}

func (p *proxiedRequest) count(r *world.Reply) {
	if r.IsRefusal() {
		p.n.Metrics.Refused(r.Code)
		return
	}
	p.n.Metrics.Served(p.call.Route)
	if r.IsSuccess() {
		p.n.buckets.of(p.call.Service).RecordSuccess()
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
