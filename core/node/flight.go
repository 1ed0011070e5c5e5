package node

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"wagtailyoke/core/intent"
	"wagtailyoke/core/invar"
	"wagtailyoke/core/once"
	"wagtailyoke/core/quota"
	"wagtailyoke/core/retry"
	"wagtailyoke/core/route"
	"wagtailyoke/core/timer"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// flight carries one call over its attempts at this node.
type flight struct {
	n        *Node
	call     world.Call
	budget   *retry.Budget
	done     func(*world.Reply)
	isPublic bool

	mu    sync.Mutex
	over  bool
	tried []world.NodeID
	// mayHaveRun is set once an ended attempt may have reached an upstream.
	mayHaveRun bool
	// attempts counts the attempts; pending means that the last one has not ended.
	attempts int
	pending  bool
	// owner names the idempotency record that this flight has made.
	owner string
	// leaderTries counts the searches for the home's leader.
	leaderTries int
	cancelHop   func()
	deadline    timer.Stop
}

func (n *Node) newFlight(in Incoming, route *intent.Route, customer world.CustomerID, class world.Importance, budget *retry.Budget, done func(*world.Reply)) *flight {
	timeout := route.Timeout()
	if in.Timeout > 0 {
		timeout = min(timeout, in.Timeout)
	}
	id := in.ID
	if id == "" {
		id = world.RequestID(fmt.Sprintf("%016x", n.drawID()))
	}
	n.mu.Lock()
	n.flights++
	n.mu.Unlock()
	return &flight{
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

// begin obtains the idempotency record, if the call needs one, and runs the call.
func (f *flight) begin() {
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

func (f *flight) expire() {
	f.finish(world.Refuse(http.StatusGatewayTimeout, world.CodeDeadline, f.runSoFar(), f.n.comeBack(time.Second)))
}

func (f *flight) runSoFar() world.Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.mayHaveRun || f.pending {
		return world.RunMaybe
	}
	return world.RunNo
}

// cancel gives the call up because its caller has gone. A call with an
// idempotency record runs on, so that the caller's resend finds its answer.
func (f *flight) cancel() {
	if f.call.HasKey() {
		return
	}
	f.finish(world.Refuse(http.StatusServiceUnavailable, world.CodeCancelled, f.runSoFar(), 0))
}

// obtainRecord asks the leader of the key's home failure domain.
func (f *flight) obtainRecord() {
	n := f.n
	if f.isOver() {
		return
	}
	home := quota.Home(f.call.Customer, f.call.Route, f.call.Key, n.config.Load().Domains)
	f.call.Home = home
	leader, ok := n.beats.leaderOf(home)
	if !ok {
		f.awaitLeader()
		return
	}
	f.owner = fmt.Sprintf("%s/%d/%016x", n.Info.Name, n.Info.Incarnation, n.drawID())
	req := &wire.BeginRequest{
		Key:         f.recordKey(),
		BodyDigest:  bodyDigest(&f.call),
		RemainingMs: (f.call.Deadline - n.Clock.Now()).Milliseconds(),
		Owner:       f.owner,
	}
	timeout := min(beginTimeout, f.call.Deadline-n.Clock.Now())
	n.control(world.Address(leader.GetPeerAddress()), req, timeout, f.judged)
}

// A handover leaves a failure domain without a leader for some tens of ms.
const (
	leaderTries = 4
	leaderPause = 40 * time.Millisecond
	// beginTimeout is how long a leader may take for its verdict.
	beginTimeout = 400 * time.Millisecond
	// runningPause is the time between questions for the answer of a call that runs.
	runningPause = 40 * time.Millisecond
)

// awaitLeader asks again for a record that no leader has judged yet.
func (f *flight) awaitLeader() {
	f.leaderTries++
	if f.leaderTries > leaderTries || f.n.Clock.Now()+leaderPause >= f.call.Deadline {
		f.finish(f.homeUnreachable(f.call.Home))
		return
	}
	f.n.Clock.After(leaderPause, f.obtainRecord)
}

func (f *flight) recordKey() *wire.RecordKey {
	return &wire.RecordKey{Customer: string(f.call.Customer), Route: string(f.call.Route), Key: f.call.Key}
}

// homeUnreachable names an entry node in the home's failure domain: the caller may
// reach what this node cannot.
func (f *flight) homeUnreachable(home world.DomainID) *world.Reply {
	r := world.Refuse(http.StatusServiceUnavailable, world.CodeHomeUnreachable, world.RunNo, f.n.comeBack(time.Second))
	r.Elsewhere, _ = f.n.picker.PublicOf(home)
	return r
}

// judged takes in the home leader's verdict.
func (f *flight) judged(m proto.Message, err error) {
	reply, ok := m.(*wire.BeginReply)
	if err != nil || !ok {
		// The record may have been made although its answer was lost. This
		// attempt has sent nothing, so the record is taken back.
		f.finish(f.homeUnreachable(f.call.Home))
		return
	}
	f.call.Epoch = world.Epoch(reply.GetEpoch())
	if reply.GetVerdict() == wire.Verdict_VERDICT_RUN {
		f.attempt()
		return
	}
	f.forgetOwner()
	switch reply.GetVerdict() {
	case wire.Verdict_VERDICT_ANSWERED:
		f.finish(replyOf(reply.GetAnswer()))
	case wire.Verdict_VERDICT_KEY_INVALID:
		f.finish(world.Refuse(http.StatusBadRequest, world.CodeKeyInvalid, world.RunNo, 0))
	case wire.Verdict_VERDICT_KEY_REUSED:
		f.finish(world.Refuse(http.StatusUnprocessableEntity, world.CodeKeyReused, world.RunMaybe, 0))
	case wire.Verdict_VERDICT_NOT_LEADER:
		f.n.beats.forgetLeader(f.call.Home, f.call.Epoch)
		f.awaitLeader()
	case wire.Verdict_VERDICT_RUNNING:
		f.n.Clock.After(runningPause, f.obtainRecord)
	default:
		f.finish(world.Refuse(http.StatusConflict, world.CodeMayHaveRun, world.RunMaybe, 0))
	}
}

func (f *flight) isOver() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.over
}

func (f *flight) forgetOwner() {
	f.mu.Lock()
	f.owner = ""
	f.mu.Unlock()
}

// attempt sends the call to an endpoint.
func (f *flight) attempt() {
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
	lent := f.budget.Lend()
	c.Budget = lent
	f.mu.Lock()
	f.tried = append(f.tried, target.Node)
	f.attempts++
	f.pending = true
	attempt := f.attempts
	f.mu.Unlock()
	ended := func(r *world.Reply, err error) { f.answered(target, lent, r, err) }
	var cancel func()
	if target.Node == n.Info.Name {
		cancel = n.admit(&c, func(r *world.Reply) { ended(r, nil) })
	} else {
		cancel = n.Links.Forward(target.Peer, &c, ended)
	}
	f.setCancel(attempt, cancel)
}

func (f *flight) noEndpoint() *world.Reply {
	return world.Refuse(http.StatusServiceUnavailable, world.CodeNoEndpoint, f.runSoFar(), f.n.comeBack(time.Second))
}

// setCancel keeps the way to give up an attempt, unless it has ended already.
func (f *flight) setCancel(attempt int, cancel func()) {
	f.mu.Lock()
	isCurrent := f.attempts == attempt && f.pending
	isOver := f.over
	if isCurrent && !isOver {
		f.cancelHop = cancel
	}
	f.mu.Unlock()
	if isCurrent && isOver {
		cancel()
	}
}

// chooseTarget prefers this node's own upstream for callers' calls while it has
// room: one node in the path instead of two.
func (n *Node) chooseTarget(c *world.Call, isPublic bool, tried []world.NodeID) (route.Endpoint, bool) {
	isOwn := c.Service == n.Info.Service && len(tried) == 0
	if isPublic && isOwn && n.state() == wire.NodeState_NODE_STATE_READY && n.queue.HasRoom() {
		return n.ownEndpoint(), true
	}
	if e, ok := n.picker.Pick(c.Service, tried); ok {
		return e, true
	}
	if isOwn && n.state() == wire.NodeState_NODE_STATE_READY {
		return n.ownEndpoint(), true
	}
	return route.Endpoint{}, false
}

func (n *Node) ownEndpoint() route.Endpoint {
	return route.Endpoint{Node: n.Info.Name, Domain: n.Info.Domain, Service: n.Info.Service, Peer: n.Info.Peer}
}

// answered takes in the end of an attempt.
func (f *flight) answered(target route.Endpoint, lent int, r *world.Reply, err error) {
	if err != nil {
		r = brokenAttempt(err)
		if errors.Is(err, ErrNotSent) {
			r.BudgetLeft = lent
		}
	}
	f.n.Checks.That(r.BudgetLeft <= lent, invar.BudgetBounded, "request %s: %d retries came back of %d", f.call.ID, r.BudgetLeft, lent)
	f.budget.Return(r.BudgetLeft)
	f.n.picker.Done(target.Node, route.Outcome{
		Failed:   isEndpointFault(r),
		Load:     r.Load,
		Limit:    r.Limit,
		Draining: r.Draining,
	})
	f.n.pressure.Report(f.call.Route, r.Level)
	f.mu.Lock()
	if f.over {
		f.mu.Unlock()
		return
	}
	f.cancelHop = nil
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
	if errors.Is(err, ErrNotSent) {
		run = world.RunNo
	}
	return world.Refuse(http.StatusBadGateway, world.CodeUnreachable, run, time.Second)
}

func isEndpointFault(r *world.Reply) bool {
	switch r.Code {
	case world.CodeUnreachable, world.CodeUpstreamFailed, world.CodeAnswerCut:
		return true
	case world.CodeNone:
		return r.Status == http.StatusInternalServerError || r.Status == http.StatusBadGateway
	default:
		return false
	}
}

func reasonOf(r *world.Reply) world.Code {
	if r.Code == world.CodeNone {
		return world.CodeUpstreamFailed
	}
	return r.Code
}

// shouldRetry spends a retry if the failure is worth one and repeating is safe.
func (f *flight) shouldRetry(r *world.Reply) bool {
	if r.Final || !isRetryable(r) {
		return false
	}
	if !f.call.Idempotent && r.Run != world.RunNo {
		return false
	}
	if f.n.quarantine.Standing(f.call.Fingerprint) != once.StandingClear {
		return false
	}
	if f.n.Clock.Now() >= f.call.Deadline {
		return false
	}
	if isFreeRetry(r) && len(f.tried) <= freeRetries {
		return true
	}
	return f.n.buckets.of(f.call.Service).Spend() && f.budget.Spend()
}

// freeRetries bounds the moves to another endpoint that cost no retry.
const freeRetries = 1

// isFreeRetry: an endpoint that leaves did no work for the call, and sending it on
// is routing rather than a repetition.
func isFreeRetry(r *world.Reply) bool { return r.Code == world.CodeDraining && r.Run == world.RunNo }

func isRetryable(r *world.Reply) bool {
	switch r.Code {
	case world.CodeUnreachable, world.CodeDraining, world.CodeQueueFull, world.CodeUpstreamFailed,
		world.CodeUpstreamShed, world.CodeAnswerCut, world.CodeStaleEpoch:
		return true
	case world.CodeNone:
		return r.Status == http.StatusBadGateway || r.Status == http.StatusServiceUnavailable
	default:
		return false
	}
}

// finish answers the call, once, and settles its idempotency record.
func (f *flight) finish(r *world.Reply) {
	f.mu.Lock()
	if f.over {
		f.mu.Unlock()
		return
	}
	f.over = true
	cancel, stop, owner := f.cancelHop, f.deadline, f.owner
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
	f.n.flights--
	f.n.mu.Unlock()
	f.done(&final)
}

func (f *flight) count(r *world.Reply) {
	if r.IsRefusal() {
		f.n.Metrics.Refused(r.Code)
		return
	}
	f.n.Metrics.Served(f.call.Route)
	if r.IsSuccess() {
		f.n.buckets.of(f.call.Service).Succeed()
	}
}

// settleRecord stores the answer at the home leader, or takes the record back when
// nothing can have run.
func (f *flight) settleRecord(owner string, r *world.Reply) {
	req := &wire.FinishRequest{Key: f.recordKey(), Epoch: uint64(f.call.Epoch), Owner: owner}
	if r.IsRefusal() && r.Run == world.RunNo {
		req.NotRun = true
	} else {
		req.Answer = answerOf(r)
	}
	f.n.deliver(f.call.Home, req, finishTries)
}

// Delivery of record settlements.
const (
	finishTries   = 40
	finishTimeout = 500 * time.Millisecond
	finishPause   = 250 * time.Millisecond
)

// deliver sends a settlement to the leader of a failure domain until it answers.
func (n *Node) deliver(home world.DomainID, req *wire.FinishRequest, tries int) {
	again := func() {
		if tries > 1 {
			n.Clock.After(finishPause, func() { n.deliver(home, req, tries-1) })
		}
	}
	leader, ok := n.beats.leaderOf(home)
	if !ok {
		again()
		return
	}
	n.control(world.Address(leader.GetPeerAddress()), req, finishTimeout, func(m proto.Message, err error) {
		reply, ok := m.(*wire.FinishReply)
		if err != nil || !ok || !reply.GetStored() {
			again()
		}
	})
}

func sortedNames(h http.Header) []string {
	names := make([]string, 0, len(h))
	for name := range h {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
