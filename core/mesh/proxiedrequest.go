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

// proxiedRequest is a request at the node where it entered, over all its attempts.
type proxiedRequest struct {
	n     *Node
	call  world.Call
	route *table.Route
	done  func(*world.Reply)
	// homes restricts the regions in which the request may run, see place.Criteria.
	homes [][]world.RegionID

	mu       sync.Mutex
	finished bool
	// sequence is the call sequence that the request belongs to if the local upstream made it.
	sequence *callSequence
	// arrivedAt is when the request arrived, callerDeadline when its caller stops waiting.
	arrivedAt, callerDeadline time.Duration
	// tried lists the nodes that the request was sent to. maybeExecutedCount counts the attempts
	// that may have reached the upstream.
	tried              []world.NodeID
	maybeExecutedCount int
	// upstreamSheds counts refusals by upstreams themselves, shedsBeforeRound those before the
	// current round.
	upstreamSheds, shedsBeforeRound int
	// wasSuspect means that the request had been in flight at the end of an upstream before it
	// arrived. hasBrokenUpstream means that an upstream has failed while executing it since.
	wasSuspect, hasBrokenUpstream bool
	// maybeExecuted means that an attempt was executed or may still be.
	maybeExecuted    bool
	isAttemptPending bool
	attemptNumber    int
	cancelAttempt    func()
	stopDeadline     timer.Stop
}

const (
	// defaultStreamTimeout bounds an answer whose caller does not say how long it waits.
	defaultStreamTimeout = time.Minute
	// answerMargin is subtracted from the deadline that is passed on, to let the answer of the last
	// node arrive before the caller's deadline.
	answerMargin = 5 * time.Millisecond
)

// joinSequence makes the call part of a call sequence. If the execution that made the call is known,
// the call inherits the importance of the request that this execution serves.
func (p *proxiedRequest) joinSequence(sequence *callSequence) {
	p.sequence = sequence
	if sequence.parent != nil {
		p.call.Grade, p.call.TieBreaker = sequence.parent.call.Grade, sequence.parent.call.TieBreaker
		p.call.Customer = ""
	}
}

// timeoutOf returns how long a request may take.
func timeoutOf(route *table.Route, in Incoming) time.Duration {
	if in.Timeout > 0 {
		return min(route.Timeout, in.Timeout)
	}
	return route.Timeout
}

func (n *Node) newProxiedRequest(t *installedTable, in Incoming, route *table.Route, customer *table.Customer, done func(*world.Reply)) *proxiedRequest {
	now := n.Clock.Now()
	req := &proxiedRequest{n: n, route: route, done: done, homes: table.HomesOf(route, customer), call: in.Call, arrivedAt: now, callerDeadline: now + in.Timeout}
	if in.Timeout == 0 {
		req.callerDeadline = now + max(defaultStreamTimeout, route.Timeout)
	}
	c := &req.call
	c.Route = route.ID
	c.Idempotent = route.Idempotent
	c.Grade, c.TieBreaker = t.GradeOf(route, customer), n.randomFloat()
	c.Deadline = now + timeoutOf(route, in)
	c.Caller = n.callerService()
	if route.TargetLatency > 0 {
		c.Target = now + route.TargetLatency
	}
	if customer != nil {
		c.Customer = customer.ID
	}
	c.Fingerprint = fingerprintOf(c)
	n.splitMu.Lock()
	c.Service = n.splitter.Next(route, n.randomFloat)
	n.splitMu.Unlock()
	n.usedServices.markUsed(now, c.Service)
	n.mu.Lock()
	n.requestCount++
	n.mu.Unlock()
	return req
}

func (p *proxiedRequest) start() {
	p.mu.Lock()
	isFinished := p.finished
	p.mu.Unlock()
	if isFinished {
		return
	}
	stop := p.n.Clock.After(p.call.Deadline-p.n.Clock.Now(), p.expire)
	p.mu.Lock()
	p.stopDeadline = stop
	p.wasSuspect = p.n.quarantine.Status(p.call.Fingerprint) != once.StatusClear
	p.mu.Unlock()
	p.n.retryBudgets.CountCall(p.call.Service)
	p.sendNextAttempt()
}

// sendNextAttempt sends the request to another endpoint.
func (p *proxiedRequest) sendNextAttempt() {
	n := p.n
	p.mu.Lock()
	if p.finished {
		p.mu.Unlock()
		return
	}
	tried := append([]world.NodeID(nil), p.tried...)
	p.mu.Unlock()
	tried = append(tried, n.noticeBoard.blocked(p.call.Service)...)
	target, ok := n.picker.Pick(place.Criteria{Service: p.call.Service, Route: p.call.Route, TimeLeft: p.timeToTarget(), Tried: tried, Homes: p.homes})
	if !ok && p.startNewRound() {
		return
	}
	if !ok {
		p.finish(p.refusalReply(world.CodeNoEndpoint, 0))
		return
	}
	p.mu.Lock()
	p.tried = append(p.tried, target.Node)
	p.attemptNumber++
	p.isAttemptPending = true
	attempt := p.attemptNumber
	p.mu.Unlock()
	c := p.call
	c.Deadline -= answerMargin
	c.CallLimit = n.noticeBoard.countCall(target)
	sent := n.Clock.Now()
	handleResult := func(r *world.Reply, err error) { p.handleReply(target, sent, r, err) }
	var cancel func()
	if target.Node == n.Info.Name {
		cancel = n.execute(&c, func(r *world.Reply) { handleResult(r, nil) })
	} else {
		cancel = n.Links.Forward(target.Peer, &c, handleResult)
	}
	p.setCancelAttempt(attempt, cancel)
}

// timeToTarget returns the time until the route's target latency is exceeded, 0 if the route has no
// target or it has passed.
func (p *proxiedRequest) timeToTarget() time.Duration {
	if p.call.Target == 0 {
		return 0
	}
	return max(p.call.Target-p.n.Clock.Now(), 0)
}

// setCancelAttempt stores the function that cancels an attempt, unless the attempt has ended already.
func (p *proxiedRequest) setCancelAttempt(attempt int, cancel func()) {
	p.mu.Lock()
	isCurrent := p.attemptNumber == attempt && p.isAttemptPending
	isFinished := p.finished
	if isCurrent && !isFinished {
		p.cancelAttempt = cancel
	}
	p.mu.Unlock()
	if isCurrent && isFinished {
		cancel()
	}
}

// handleReply processes the result of an attempt.
func (p *proxiedRequest) handleReply(target place.Endpoint, sent time.Duration, r *world.Reply, err error) {
	if err != nil {
		r = replyForError(err)
	}
	p.mu.Lock()
	isFinished := p.finished
	if !isFinished {
		p.cancelAttempt = nil
		p.isAttemptPending = false
		if r.Run != world.RunNo {
			p.maybeExecuted = true
			p.maybeExecutedCount++
		}
		if r.Code == world.CodeUpstreamShed {
			p.upstreamSheds++
		}
	}
	isLikelyCrasher := p.isLikelyCrasherLocked(r)
	p.mu.Unlock()
	if r.Notice != nil && !r.IsRefusal() {
		p.n.noticeBoard.record(target, *r.Notice, sent)
	}
	p.n.picker.Done(target.Node, p.attemptOutcome(sent, r, isFinished))
	if isFinished {
		closeBody(r)
		return
	}
	if !isLikelyCrasher && p.mayRetry(r) {
		p.n.Metrics.Retried(retryReason(r))
		p.log(event.Retried, event.Field{Name: "code", Value: retryReason(r)}, event.Field{Name: "from", Value: target.Node})
		closeBody(r)
		p.sendNextAttempt()
		return
	}
	p.finish(p.finalReply(r))
}

func closeBody(r *world.Reply) {
	if r.Rest != nil {
		_ = r.Rest.Close()
	}
}

func replyForError(err error) *world.Reply {
	run := world.RunMaybe
	if errors.Is(err, world.ErrNotSent) {
		run = world.RunNo
	}
	return world.Refuse(http.StatusBadGateway, world.CodeUnreachable, run, 0)
}

// finalReply returns the answer to the caller after the last attempt.
func (p *proxiedRequest) finalReply(r *world.Reply) *world.Reply {
	if !r.IsRefusal() {
		return r
	}
	p.mu.Lock()
	maybeExecuted := p.maybeExecuted
	p.mu.Unlock()
	if r.Run == world.RunNo && !maybeExecuted {
		return p.refusalReply(r.Code, r.RetryAfter)
	}
	status := http.StatusBadGateway
	if r.Status == http.StatusGatewayTimeout {
		status = r.Status
	}
	return world.Refuse(status, r.Code, world.RunMaybe, 0)
}

// refusalReply returns the answer to a request that is not sent to further endpoints. minDelay is how long
// the last of them takes no further call.
func (p *proxiedRequest) refusalReply(code world.Code, minDelay time.Duration) *world.Reply {
	p.mu.Lock()
	maybeExecuted := p.maybeExecuted
	p.mu.Unlock()
	if maybeExecuted {
		return world.Refuse(http.StatusBadGateway, code, world.RunMaybe, 0)
	}
	return world.Refuse(http.StatusServiceUnavailable, code, world.RunNo, p.n.retryDelay(minDelay))
}

// expire answers a request whose deadline has passed.
func (p *proxiedRequest) expire() {
	p.mu.Lock()
	run := world.RunNo
	if p.maybeExecuted || p.isAttemptPending {
		run = world.RunMaybe
	}
	p.mu.Unlock()
	p.finish(world.Refuse(http.StatusGatewayTimeout, world.CodeDeadline, run, 0))
}

// cancel abandons the request because its caller has gone.
func (p *proxiedRequest) cancel() {
	p.log(event.Cancelled)
	p.finish(world.Refuse(http.StatusServiceUnavailable, world.CodeCancelled, world.RunMaybe, 0))
}

// finish answers the request, once.
func (p *proxiedRequest) finish(r *world.Reply) {
	p.mu.Lock()
	if p.finished {
		p.mu.Unlock()
		closeBody(r)
		return
	}
	p.finished = true
	cancel, stop := p.cancelAttempt, p.stopDeadline
	p.mu.Unlock()
	if p.sequence != nil {
		p.n.callMatcher.callReplied(p.sequence, p.n.Clock.Now(), r.IsSuccess())
	}
	if stop != nil {
		stop()
	}
	if cancel != nil {
		cancel()
	}
	p.recordMetrics(r)
	endWithBody(r, func(r *world.Reply) {
		p.limitBodyTime(r)
		p.done(r)
	}, p.n.requestEnded)
}

// limitBodyTime closes a streamed answer body once its caller has stopped waiting: a faulty upstream
// may send bytes without end. The route's timeout does not apply because the answer has started.
func (p *proxiedRequest) limitBodyTime(r *world.Reply) {
	if r.Rest == nil {
		return
	}
	body := r.Rest
	stop := p.n.Clock.After(p.callerDeadline-p.n.Clock.Now(), func() {
		p.log(event.AnswerCut)
		_ = body.Close()
	})
	r.Rest = &timeLimitedBody{ReadCloser: body, stop: stop}
}

// timeLimitedBody is the remaining body of an answer, which is closed when its time is over.
type timeLimitedBody struct {
	io.ReadCloser
	stop timer.Stop
}

// Close implements io.Closer.
func (b *timeLimitedBody) Close() error {
	b.stop()
	return b.ReadCloser.Close()
}

func (p *proxiedRequest) recordMetrics(r *world.Reply) {
	if !r.IsRefusal() {
		p.n.Metrics.Served(p.call.Route)
		p.n.Metrics.ObserveDuration(PhaseTotal, p.call.Route, p.n.Clock.Now()-p.arrivedAt)
		return
	}
	p.n.Metrics.Refused(r.Code)
	switch {
	case r.Code == world.CodeCancelled:
	case r.Run == world.RunNo:
		p.log(event.Refused, event.Field{Name: "code", Value: r.Code}, event.Field{Name: "retryAfterMs", Value: r.RetryAfter.Milliseconds()})
	default:
		p.log(event.Failed, event.Field{Name: "code", Value: r.Code}, event.Field{Name: "status", Value: r.Status})
	}
}

// log writes an event about this request with its current state.
func (p *proxiedRequest) log(number event.Number, fields ...event.Field) {
	p.mu.Lock()
	tried := append([]world.NodeID(nil), p.tried...)
	p.mu.Unlock()
	p.n.Events.Log(number, append(fields,
		event.Field{Name: "id", Value: p.call.ID}, event.Field{Name: "route", Value: p.call.Route},
		event.Field{Name: "customer", Value: p.call.Customer}, event.Field{Name: "service", Value: p.call.Service},
		event.Field{Name: "fingerprint", Value: formatFingerprint(p.call.Fingerprint)}, event.Field{Name: "tried", Value: tried}, event.Field{Name: "tableVersion", Value: p.n.tableVersion()},
		event.Field{Name: "leftMs", Value: (p.call.Deadline - p.n.Clock.Now()).Milliseconds()})...)
}

func (n *Node) requestEnded() {
	n.mu.Lock()
	n.requestCount--
	n.mu.Unlock()
	n.endIfIdle()
}
