package mesh

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"wagtailyoke/core/event"
	"wagtailyoke/core/once"
	"wagtailyoke/core/place"
	"wagtailyoke/core/table"
	"wagtailyoke/core/timer"
	"wagtailyoke/core/world"
)

// flight carries one request over its attempts.
type flight struct {
	n     *Node
	call  world.Call
	route *table.Route
	done  func(*world.Reply)

	mu   sync.Mutex
	over bool
	// chain is what the call is a part of, if the own upstream makes it.
	chain *chain
	// begun is when the request came, goneAt when its caller no longer waits.
	begun, goneAt time.Duration
	// tried are the nodes that were asked, reached counts those whose upstream may
	// have seen the request.
	tried   []world.NodeID
	reached int
	// sheds counts the upstreams' own refusals, roundSheds those before this round.
	sheds, roundSheds int
	// isKnown means that the request had been in flight at the end of an upstream before,
	// isBroken that an upstream broke under it now.
	isKnown, isBroken bool
	// mayRun means that an attempt has run or may still run.
	mayRun   bool
	pending  bool
	attempt  int
	cancelUp func()
	deadline timer.Stop
}

const (
	// mostRefusals is how many nodes may refuse a request before it is given up.
	// Further ones would be asked in vain: a service is seldom full in part.
	mostRefusals = 3
	// mostSheds is how many refusals of upstreams themselves are taken before a request
	// is given up. An upstream that refuses half of its calls takes the next one as
	// likely, so several tries serve nearly all of what the retry allowance has room for.
	mostSheds = 8
	// shedPause is the time after which upstreams are asked anew that have all refused.
	shedPause = 10 * time.Millisecond
	// mostNested is the urgency of the most important calls that runs make.
	mostNested = 0.9
	// backed is the urgency of the calls of a run for which a retry was spent already.
	backed = 0.97
	// streamTime is how long an answer may take if its caller does not say how long it waits.
	streamTime = time.Minute
	// leastLeft is the time that must be left for another attempt.
	leastLeft = 20 * time.Millisecond
	// answerMargin is kept back from the time that is handed on, so that the answer of
	// the last node arrives before the caller's deadline.
	answerMargin = 5 * time.Millisecond
)

// join makes the call a part of the run that it is made for, if that is known: it is as
// important as the request that the run serves.
func (f *flight) join(c *chain) {
	f.chain = c
	if c.parent != nil {
		f.call.Grade, f.call.Draw = c.parent.call.Grade, c.parent.call.Draw
		f.call.Customer = ""
	}
}

func (n *Node) newFlight(t *installed, in Incoming, route *table.Route, customer *table.Customer, done func(*world.Reply)) *flight {
	now := n.Clock.Now()
	wait := route.Timeout
	if in.Timeout > 0 {
		wait = min(wait, in.Timeout)
	}
	f := &flight{n: n, route: route, done: done, call: in.Call, begun: now, goneAt: now + in.Timeout}
	if in.Timeout == 0 {
		f.goneAt = now + max(streamTime, route.Timeout)
	}
	c := &f.call
	c.Route = route.ID
	c.Idempotent = route.Idempotent
	c.Grade, c.Draw = t.GradeOf(route, customer), n.draw()
	c.Deadline = now + wait
	c.Caller = n.callerService()
	if route.Target > 0 {
		c.Target = now + route.Target
	}
	if customer != nil {
		c.Customer = customer.ID
	}
	c.Fingerprint = fingerprintOf(c)
	n.splitMu.Lock()
	c.Service = n.splitter.Next(route, n.draw)
	n.splitMu.Unlock()
	n.needs.note(now, c.Service)
	n.mu.Lock()
	n.flights++
	n.mu.Unlock()
	return f
}

func (f *flight) begin() {
	f.mu.Lock()
	isOver := f.over
	f.mu.Unlock()
	if isOver {
		return
	}
	stop := f.n.Clock.After(f.call.Deadline-f.n.Clock.Now(), f.expire)
	f.mu.Lock()
	f.deadline = stop
	f.isKnown = f.n.quarantine.Status(f.call.Fingerprint) != once.StatusClear
	f.mu.Unlock()
	f.n.budgets.CountCall(f.call.Service)
	f.next()
}

// next sends the request to another endpoint.
func (f *flight) next() {
	n := f.n
	f.mu.Lock()
	if f.over {
		f.mu.Unlock()
		return
	}
	tried := append([]world.NodeID(nil), f.tried...)
	f.mu.Unlock()
	target, ok := n.picker.Pick(place.Criteria{Service: f.call.Service, Route: f.call.Route, TimeLeft: f.timeLeft(), Tried: tried})
	if !ok && f.askAnew() {
		return
	}
	if !ok {
		f.finish(f.refusal(world.CodeNoEndpoint))
		return
	}
	f.mu.Lock()
	f.tried = append(f.tried, target.Node)
	f.attempt++
	f.pending = true
	attempt := f.attempt
	f.mu.Unlock()
	c := f.call
	c.Deadline -= answerMargin
	sent := n.Clock.Now()
	ended := func(r *world.Reply, err error) { f.answered(target, sent, r, err) }
	var cancel func()
	if target.Node == n.Info.Name {
		cancel = n.admit(&c, func(r *world.Reply) { ended(r, nil) })
	} else {
		cancel = n.Links.Forward(target.Peer, &c, ended)
	}
	f.setCancel(attempt, cancel)
}

// timeLeft is the time within which the answer is of full use, 0 if there is no such time
// any more.
func (f *flight) timeLeft() time.Duration {
	if f.call.Target == 0 {
		return 0
	}
	return max(f.call.Target-f.n.Clock.Now(), 0)
}

// askAnew starts another round once all endpoints were tried and some have refused the
// request themselves.
func (f *flight) askAnew() bool {
	f.mu.Lock()
	isShed := f.sheds > f.roundSheds
	f.roundSheds = f.sheds
	if isShed {
		f.tried = nil
	}
	f.mu.Unlock()
	if isShed {
		f.n.Clock.After(shedPause, f.next)
	}
	return isShed
}

// setCancel keeps the way to give up an attempt, unless it has ended already.
func (f *flight) setCancel(attempt int, cancel func()) {
	f.mu.Lock()
	isCurrent := f.attempt == attempt && f.pending
	isOver := f.over
	if isCurrent && !isOver {
		f.cancelUp = cancel
	}
	f.mu.Unlock()
	if isCurrent && isOver {
		cancel()
	}
}

// answered takes in the end of an attempt.
func (f *flight) answered(target place.Endpoint, sent time.Duration, r *world.Reply, err error) {
	if err != nil {
		r = brokenAttempt(err)
	}
	f.mu.Lock()
	isOver := f.over
	if !isOver {
		f.cancelUp = nil
		f.pending = false
		if r.Run != world.RunNo {
			f.mayRun = true
			f.reached++
		}
		if r.Code == world.CodeUpstreamShed {
			f.sheds++
		}
	}
	mayCrash := f.mayCrashLocked(r)
	f.mu.Unlock()
	f.n.picker.Done(target.Node, f.outcome(sent, r, isOver))
	if isOver {
		closeRest(r)
		return
	}
	if !mayCrash && f.mayRetry(r) {
		f.n.Metrics.Retried(reasonOf(r))
		f.log(event.Retried, event.Field{Name: "code", Value: reasonOf(r)}, event.Field{Name: "from", Value: target.Node})
		closeRest(r)
		f.next()
		return
	}
	f.finish(f.final(r))
}

// mayCrashLocked reports whether the request is likely to be what broke its upstream: it is
// not the first one. Who sends it again is the caller.
func (f *flight) mayCrashLocked(r *world.Reply) bool {
	if r.Code != world.CodeUpstreamFailed || r.Run != world.RunMaybe {
		return false
	}
	wasKnown := f.isKnown || f.isBroken
	f.isBroken = true
	return wasKnown
}

func closeRest(r *world.Reply) {
	if r.Rest != nil {
		_ = r.Rest.Close()
	}
}

func brokenAttempt(err error) *world.Reply {
	run := world.RunMaybe
	if errors.Is(err, world.ErrNotSent) {
		run = world.RunNo
	}
	return world.Refuse(http.StatusBadGateway, world.CodeUnreachable, run, 0)
}

// outcome is what an attempt tells about its endpoint.
func (f *flight) outcome(sent time.Duration, r *world.Reply, isOver bool) place.Outcome {
	o := place.Outcome{Route: f.call.Route, Load: r.Load, Limit: r.Limit, IsDraining: r.Draining}
	switch {
	case isOver:
		// A call that was given up here says nothing about its endpoint.
		o.IsRefused = true
	case r.Code == world.CodeQueueFull || r.Code == world.CodeQueueTimeout:
		o.IsRefused = true
	case r.Code != world.CodeNone || r.Status >= http.StatusInternalServerError:
		o.Failed = true
	default:
		o.Latency = f.n.Clock.Now() - sent
	}
	return o
}

// mayRetry decides whether the request is sent to another endpoint.
func (f *flight) mayRetry(r *world.Reply) bool {
	if r.IsSuccess() || f.call.Rest != nil || r.Final {
		return false
	}
	if r.Code == world.CodeNone && r.Status < http.StatusInternalServerError {
		return false
	}
	f.mu.Lock()
	tries, reached, mayRun, sheds := len(f.tried), f.reached, f.mayRun, f.sheds
	f.mu.Unlock()
	if f.call.Deadline-f.n.Clock.Now() < leastLeft {
		return false
	}
	if r.Run == world.RunNo && r.Code != world.CodeUpstreamShed {
		// No upstream saw the request, so another one costs no repeat.
		return tries < mostRefusals
	}
	if mayRun && !f.call.Idempotent {
		return false
	}
	if sheds >= mostSheds || reached >= f.route.MaxAttempts {
		return false
	}
	isBacked := f.n.budgets.Allow(f.call.Service, f.urgency())
	if f.chain != nil && isBacked {
		f.chain.isBacked.Store(true)
	}
	return isBacked
}

// urgency tells how much of the retry allowance the call may spend, from 0 to 1. A retry of a
// caller's request serves it; one of a call that its run needs serves it only if all its
// other calls succeed too.
func (f *flight) urgency() float64 {
	place := 1.0
	if t := f.n.table.Load(); t != nil && t.Grades > 0 {
		place = (float64(f.call.Grade) + f.call.Draw) / float64(t.Grades)
	}
	switch {
	case f.chain == nil:
		return mostNested + (1-mostNested)*place
	case f.chain.isBacked.Load():
		// What was spent for the run so far would else be lost.
		return backed
	default:
		return mostNested * place
	}
}

func reasonOf(r *world.Reply) world.Code {
	if r.Code != world.CodeNone {
		return r.Code
	}
	return world.CodeUpstreamFailed
}

// final is the answer to the caller after the last attempt.
func (f *flight) final(r *world.Reply) *world.Reply {
	if !r.IsRefusal() {
		return r
	}
	f.mu.Lock()
	mayRun := f.mayRun
	f.mu.Unlock()
	if r.Run == world.RunNo && !mayRun {
		return f.refusal(r.Code)
	}
	status := http.StatusBadGateway
	if r.Status == http.StatusGatewayTimeout {
		status = r.Status
	}
	return world.Refuse(status, r.Code, world.RunMaybe, 0)
}

// refusal is the answer to a request that no upstream has run or will run.
func (f *flight) refusal(code world.Code) *world.Reply {
	f.mu.Lock()
	mayRun := f.mayRun
	f.mu.Unlock()
	if mayRun {
		return world.Refuse(http.StatusBadGateway, code, world.RunMaybe, 0)
	}
	return world.Refuse(http.StatusServiceUnavailable, code, world.RunNo, f.n.comeBack())
}

// expire answers a request whose time is over.
func (f *flight) expire() {
	f.mu.Lock()
	run := world.RunNo
	if f.mayRun || f.pending {
		run = world.RunMaybe
	}
	f.mu.Unlock()
	f.finish(world.Refuse(http.StatusGatewayTimeout, world.CodeDeadline, run, 0))
}

// cancel gives the request up because its caller has gone.
func (f *flight) cancel() {
	f.log(event.Cancelled)
	f.finish(world.Refuse(http.StatusServiceUnavailable, world.CodeCancelled, world.RunMaybe, 0))
}

// finish answers the request, once.
func (f *flight) finish(r *world.Reply) {
	f.mu.Lock()
	if f.over {
		f.mu.Unlock()
		closeRest(r)
		return
	}
	f.over = true
	cancel, stop := f.cancelUp, f.deadline
	f.mu.Unlock()
	if f.chain != nil {
		f.n.active.replied(f.chain, f.n.Clock.Now(), r.IsSuccess())
	}
	if stop != nil {
		stop()
	}
	if cancel != nil {
		cancel()
	}
	f.count(r)
	f.boundRest(r)
	f.done(r)
	f.n.flightEnded()
}

// boundRest ends what follows of an answer once its caller has gone: an upstream in trouble may
// send bytes without end. The time of the route does not bound it, since the answer has begun.
func (f *flight) boundRest(r *world.Reply) {
	if r.Rest == nil {
		return
	}
	rest := r.Rest
	stop := f.n.Clock.After(f.goneAt-f.n.Clock.Now(), func() {
		f.log(event.AnswerCut)
		_ = rest.Close()
	})
	r.Rest = &boundedRest{ReadCloser: rest, stop: stop}
}

// boundedRest is the rest of an answer that is closed when its time is over.
type boundedRest struct {
	io.ReadCloser
	stop timer.Stop
}

// Close implements io.Closer.
func (b *boundedRest) Close() error {
	b.stop()
	return b.ReadCloser.Close()
}

func (f *flight) count(r *world.Reply) {
	if !r.IsRefusal() {
		f.n.Metrics.Served(f.call.Route)
		f.n.Metrics.ObserveDuration(PhaseTotal, f.call.Route, f.n.Clock.Now()-f.begun)
		return
	}
	f.n.Metrics.Refused(r.Code)
	switch {
	case r.Code == world.CodeCancelled:
	case r.Run == world.RunNo:
		f.log(event.Refused, event.Field{Name: "code", Value: r.Code}, event.Field{Name: "retryAfterMs", Value: r.RetryAfter.Milliseconds()})
	default:
		f.log(event.Failed, event.Field{Name: "code", Value: r.Code}, event.Field{Name: "status", Value: r.Status})
	}
}

// log writes an event of this request, with what was decided for it so far.
func (f *flight) log(number event.Number, fields ...event.Field) {
	f.mu.Lock()
	tried := append([]world.NodeID(nil), f.tried...)
	f.mu.Unlock()
	f.n.Events.Log(number, append(fields,
		event.Field{Name: "id", Value: f.call.ID}, event.Field{Name: "route", Value: f.call.Route},
		event.Field{Name: "customer", Value: f.call.Customer}, event.Field{Name: "service", Value: f.call.Service},
		event.Field{Name: "fingerprint", Value: formatFingerprint(f.call.Fingerprint)}, event.Field{Name: "tried", Value: tried}, event.Field{Name: "tableVersion", Value: f.n.tableVersion()},
		event.Field{Name: "leftMs", Value: (f.call.Deadline - f.n.Clock.Now()).Milliseconds()})...)
}

func (n *Node) flightEnded() {
	n.mu.Lock()
	n.flights--
	n.mu.Unlock()
	n.noteIdle()
}
