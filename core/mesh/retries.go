package mesh

import (
	"net/http"
	"time"

	"wagtailyoke/core/place"
	"wagtailyoke/core/world"
)

const (
	// maxRefusals is the number of nodes that may refuse a request before it fails. More attempts
	// are unlikely to succeed: a service is seldom full at only some of its nodes.
	maxRefusals = 3
	// maxUpstreamSheds is the number of refusals by upstreams themselves before a request fails. An
	// upstream that refuses half of its calls accepts the next one with the same probability, which
	// lets several attempts serve nearly all requests that the retry budget has room for.
	maxUpstreamSheds = 8
	// newRoundDelay is the delay before endpoints are tried again that have all refused.
	newRoundDelay = 10 * time.Millisecond
	// maxNestedUrgency is the urgency of the most important calls made by executions.
	maxNestedUrgency = 0.9
	// retriedSequenceUrgency is the urgency of calls of an execution for which a retry was already
	// spent.
	retriedSequenceUrgency = 0.97
	// minAttemptTime is the minimum time before the deadline for starting another attempt.
	minAttemptTime = 20 * time.Millisecond
)

// startNewRound tries all endpoints again if some of them have refused the request themselves since
// the last round.
func (p *proxiedRequest) startNewRound() bool {
	p.mu.Lock()
	wasShed := p.upstreamSheds > p.shedsBeforeRound
	p.shedsBeforeRound = p.upstreamSheds
	if wasShed {
		p.tried = nil
	}
	p.mu.Unlock()
	if wasShed {
		p.n.Clock.After(newRoundDelay, p.sendNextAttempt)
	}
	return wasShed
}

// isLikelyCrasherLocked reports whether the request probably crashes upstreams: this is not the first
// upstream to fail while executing it. The request is not retried here; whether to send it again is
// up to the caller.
func (p *proxiedRequest) isLikelyCrasherLocked(r *world.Reply) bool {
	if r.Code != world.CodeUpstreamFailed || r.Run != world.RunMaybe {
		return false
	}
	wasKnown := p.wasSuspect || p.hasBrokenUpstream
	p.hasBrokenUpstream = true
	return wasKnown
}

// attemptOutcome returns what the endpoint selection learns from an attempt.
func (p *proxiedRequest) attemptOutcome(sent time.Duration, r *world.Reply, isFinished bool) place.Outcome {
	o := place.Outcome{Route: p.call.Route, Load: r.Load, Limit: r.Limit, IsDraining: r.Draining}
	switch {
	case isFinished:
		// A cancelled call says nothing about its endpoint.
		o.IsRefused = true
	case r.Code == world.CodeQueueFull || r.Code == world.CodeQueueTimeout:
		o.IsRefused = true
	case r.Code != world.CodeNone || r.Status >= http.StatusInternalServerError:
		o.Failed = true
	default:
		o.Latency = p.n.Clock.Now() - sent
	}
	return o
}

// mayRetry decides whether the request is sent to another endpoint.
func (p *proxiedRequest) mayRetry(r *world.Reply) bool {
	if r.IsSuccess() || p.call.Rest != nil || r.Final {
		return false
	}
	if r.Code == world.CodeNone && r.Status < http.StatusInternalServerError {
		return false
	}
	p.mu.Lock()
	attempts, executedCount, maybeExecuted, sheds := len(p.tried), p.maybeExecutedCount, p.maybeExecuted, p.upstreamSheds
	p.mu.Unlock()
	if p.call.Deadline-p.n.Clock.Now() < minAttemptTime {
		return false
	}
	if r.Run == world.RunNo && r.Code != world.CodeUpstreamShed {
		// No upstream has seen the request: another attempt repeats no work.
		return attempts < maxRefusals
	}
	if maybeExecuted && !p.call.Idempotent {
		return false
	}
	if sheds >= maxUpstreamSheds || executedCount >= p.route.MaxAttempts {
		return false
	}
	isGranted := p.n.retryBudgets.Allow(p.call.Service, p.retryUrgency())
	if p.sequence != nil && isGranted {
		p.sequence.hasSpentRetry.Store(true)
	}
	return isGranted
}

// retryUrgency returns how much of the retry budget the call may spend, from 0 to 1. A retry of a
// caller's request is enough to serve it. A retry of a call made by an execution helps only if all
// other calls of that execution succeed as well.
func (p *proxiedRequest) retryUrgency() float64 {
	importance := 1.0
	if t := p.n.table.Load(); t != nil && t.Grades > 0 {
		importance = (float64(p.call.Grade) + p.call.TieBreaker) / float64(t.Grades)
	}
	switch {
	case p.sequence == nil:
		return maxNestedUrgency + (1-maxNestedUrgency)*importance
	case p.sequence.hasSpentRetry.Load():
		// A failure now would waste the retries already spent for the execution.
		return retriedSequenceUrgency
	default:
		return maxNestedUrgency * importance
	}
}

func retryReason(r *world.Reply) world.Code {
	if r.Code != world.CodeNone {
		return r.Code
	}
	return world.CodeUpstreamFailed
}
