package mesh

import (
	"net/http"
	"time"

	"wagtailyoke/core/admit"
	"wagtailyoke/core/event"
	"wagtailyoke/core/table"
	"wagtailyoke/core/world"
)

// Incoming is a request received on this VM.
type Incoming struct {
	// Call holds the ID, method, path, host, header and body.
	Call world.Call
	// PathOnly is the path without the query.
	PathOnly string
	// Key is the caller's API key. HasKey distinguishes an empty key from a missing one.
	Key    string
	HasKey bool
	// Timeout is how long the caller waits, 0 if it did not say.
	Timeout time.Duration
}

// Retry delays that refusals suggest to callers.
const (
	// notReadyRetryAfter is roughly the time that a starting node needs to get its routing table.
	notReadyRetryAfter = 500 * time.Millisecond
	// overloadRetryAfter is the minimum duration of a service overload.
	overloadRetryAfter = 500 * time.Millisecond
	// overloadRetryAfterSpread is the interval over which the retries of refused callers are spread
	// at random, to prevent them from returning at the same time.
	overloadRetryAfterSpread = 700 * time.Millisecond
)

// Serve handles a request of a caller or of this VM's upstream. done is called once, unless the
// request is cancelled.
func (n *Node) Serve(in Incoming, done func(*world.Reply)) (cancel func()) {
	t := n.table.Load()
	if t == nil {
		return n.refuse(in, done, http.StatusServiceUnavailable, world.CodeNotReady, notReadyRetryAfter)
	}
	route := t.Match(in.Call.Host, in.PathOnly)
	if route == nil {
		return n.refuse(in, done, http.StatusNotFound, world.CodeUnknownRoute, 0)
	}
	customer, ok := customerOf(t.Table, route, in)
	if !ok {
		return n.refuse(in, done, http.StatusUnauthorized, world.CodeUnknownKey, 0)
	}
	if n.refusesNewRequests(customer == nil, timeoutOf(route, in)) {
		return n.refuse(in, done, http.StatusServiceUnavailable, world.CodeStopping, restartRetryAfter)
	}
	req := n.newProxiedRequest(t, in, route, customer, done)
	if customer == nil && t.HasCustomers() {
		now := n.Clock.Now()
		req.joinSequence(n.callMatcher.matchCall(route.ID, now, now+in.Timeout))
		if !req.refuseIfBanned() {
			req.start()
		}
		return req.cancel
	}
	if req.refuseIfBanned() {
		return req.cancel
	}
	if customer == nil {
		n.startUnlessOverloaded(req)
		return req.cancel
	}
	n.limiter.TakeToken(customer.ID, func(admitted bool, retryAfter time.Duration) {
		if !admitted {
			req.finish(world.Refuse(http.StatusTooManyRequests, world.CodeOverRate, world.RunNo, retryAfter))
			return
		}
		n.Metrics.Admitted(customer.ID)
		if !n.startUnlessOverloaded(req) {
			n.limiter.ReturnToken(customer.ID)
		}
	})
	return req.cancel
}

func (n *Node) startUnlessOverloaded(req *proxiedRequest) bool {
	if n.isOverloaded(req) {
		req.finish(world.Refuse(http.StatusServiceUnavailable, world.CodePressure, world.RunNo, n.overloadRetryDelay()))
		return false
	}
	req.start()
	return true
}

// isOverloaded decides whether a caller's request is refused before any work is done, from the
// admission level of the most loaded service that it would reach. A caller that was refused before is
// admitted at a higher level than others.
func (n *Node) isOverloaded(req *proxiedRequest) bool {
	grade, fingerprint := req.call.Grade, req.call.Fingerprint
	caller := n.returningCallers.Lookup(grade, fingerprint, 1-req.call.TieBreaker)
	levels := n.levelsOf(req.call.Route)
	for _, l := range levels {
		n.usedServices.markUsed(req.arrivedAt, l.service)
	}
	highest := highestExcept(levels, "")
	admittedFraction := admit.AdmittedShare(grade, highest.level)
	isAdmitted := caller.IsAdmitted(admittedFraction)
	for _, l := range levels {
		// Requests that another service's level rejects do not reach this service, whatever its
		// own level is. They are not part of its offered load.
		if caller.IsAdmitted(admit.AdmittedShare(grade, highestExcept(levels, l.service).level)) {
			n.offeredLoad.Count(l.service, grade, isAdmitted)
		}
	}
	if isAdmitted {
		return false
	}
	n.returningCallers.AddRefused(fingerprint)
	req.log(event.PressureShed, event.Field{Name: "admissionLevel", Value: highest.level}, event.Field{Name: "loaded", Value: highest.service},
		event.Field{Name: "grade", Value: grade}, event.Field{Name: "isBack", Value: caller.IsRetry})
	return true
}

// customerOf returns the customer of a request. It returns false if the route requires a known key
// and the request has none.
func customerOf(t *table.Table, route *table.Route, in Incoming) (*table.Customer, bool) {
	if !t.HasCustomers() {
		return nil, true
	}
	if in.HasKey {
		if c := t.CustomerOf(in.Key); c != nil {
			return c, true
		}
	}
	return nil, route.Public
}

func (n *Node) refuse(in Incoming, done func(*world.Reply), status int, code world.Code, retryAfter time.Duration) (cancel func()) {
	n.Metrics.Refused(code)
	fields := []event.Field{
		{Name: "id", Value: in.Call.ID}, {Name: "path", Value: in.PathOnly}, {Name: "code", Value: code},
		{Name: "retryAfterMs", Value: retryAfter.Milliseconds()}, {Name: "tableVersion", Value: n.tableVersion()},
	}
	n.Events.Log(event.Refused, fields...)
	done(world.Refuse(status, code, world.RunNo, retryAfter))
	return func() {}
}

// overloadRetryDelay returns the delay after which a refused caller should retry. It is randomized to
// prevent callers that were refused together from returning together.
func (n *Node) overloadRetryDelay() time.Duration { return n.retryDelay(0) }

// retryDelay returns overloadRetryDelay for a service that takes no further call for a time.
func (n *Node) retryDelay(minDelay time.Duration) time.Duration {
	return max(minDelay, overloadRetryAfter) + time.Duration(n.randomFloat()*float64(overloadRetryAfterSpread))
}
