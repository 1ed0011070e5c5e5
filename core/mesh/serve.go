package mesh

import (
	"net/http"
	"time"

	"wagtailyoke/core/admit"
	"wagtailyoke/core/event"
	"wagtailyoke/core/table"
	"wagtailyoke/core/world"
)

// Incoming is a request as it came in on this VM.
type Incoming struct {
	// Call holds id, method, path, host, header and body.
	Call world.Call
	// PathOnly is the path without the query.
	PathOnly string
	// Key is the caller's key; HasKey tells an empty one from none.
	Key    string
	HasKey bool
	// Timeout is how long the caller waits, 0 if it did not say.
	Timeout time.Duration
}

// Waits that refusals suggest.
const (
	// notReadyWait is about the time that a node needs to find its table.
	notReadyWait = 500 * time.Millisecond
	// busyWait is how long an overload of a service lasts at least.
	busyWait = 500 * time.Millisecond
	// spreadWait is the span over which refused callers are spread, so that they do
	// not return together.
	spreadWait = 700 * time.Millisecond
)

// Serve takes a request of a caller or of this VM's upstream. done is called once, unless
// the request is cancelled.
func (n *Node) Serve(in Incoming, done func(*world.Reply)) (cancel func()) {
	t := n.table.Load()
	if t == nil {
		return n.refuse(in, done, http.StatusServiceUnavailable, world.CodeNotReady, notReadyWait)
	}
	route := t.Match(in.Call.Host, in.PathOnly)
	if route == nil {
		return n.refuse(in, done, http.StatusNotFound, world.CodeUnknownRoute, 0)
	}
	customer, ok := customerOf(t.Table, route, in)
	if !ok {
		return n.refuse(in, done, http.StatusUnauthorized, world.CodeUnknownKey, 0)
	}
	if n.takesNothing(customer == nil) {
		return n.refuse(in, done, http.StatusServiceUnavailable, world.CodeStopping, backTime)
	}
	f := n.newFlight(t, in, route, customer, done)
	if customer == nil && t.HasCustomers() {
		now := n.Clock.Now()
		f.join(n.active.called(route.ID, now, now+in.Timeout))
		if !f.isBanned() {
			f.begin()
		}
		return f.cancel
	}
	if f.isBanned() {
		return f.cancel
	}
	if customer == nil {
		n.beginUnlessOverloaded(f)
		return f.cancel
	}
	n.gate.TakeToken(customer.ID, func(admitted bool, wait time.Duration) {
		if !admitted {
			f.finish(world.Refuse(http.StatusTooManyRequests, world.CodeOverRate, world.RunNo, wait))
			return
		}
		n.Metrics.Admitted(customer.ID)
		if !n.beginUnlessOverloaded(f) {
			n.gate.ReturnToken(customer.ID)
		}
	})
	return f.cancel
}

func (n *Node) beginUnlessOverloaded(f *flight) bool {
	if n.isOverloaded(f) {
		f.finish(world.Refuse(http.StatusServiceUnavailable, world.CodePressure, world.RunNo, n.comeBack()))
		return false
	}
	f.begin()
	return true
}

// isOverloaded decides whether a caller's request is refused before any work, by the level
// of the most loaded service that it would reach. A caller that was refused before is
// let in earlier.
func (n *Node) isOverloaded(f *flight) bool {
	grade, fingerprint := f.call.Grade, f.call.Fingerprint
	caller := n.returns.Lookup(grade, fingerprint, 1-f.call.Draw)
	levels := n.levelsOf(f.call.Route)
	for _, l := range levels {
		n.needs.note(f.begun, l.service)
	}
	highest := highestBut(levels, "")
	share := admit.AdmittedShare(grade, highest.level)
	isLetIn := caller.IsAdmitted(share)
	for _, l := range levels {
		// What another service keeps out does not come to this one whatever it admits.
		if caller.IsAdmitted(admit.AdmittedShare(grade, highestBut(levels, l.service).level)) {
			n.offers.Count(l.service, grade, isLetIn)
		}
	}
	if isLetIn {
		return false
	}
	n.returns.AddRefused(fingerprint)
	f.log(event.PressureShed, event.Field{Name: "admissionLevel", Value: highest.level}, event.Field{Name: "loaded", Value: highest.service},
		event.Field{Name: "grade", Value: grade}, event.Field{Name: "isBack", Value: caller.IsRetry})
	return true
}

// customerOf finds the customer of a request. It returns false if the request needs a
// known key and has none.
func customerOf(t *table.Table, route *table.Route, in Incoming) (*table.Customer, bool) {
	if !t.HasCustomers() {
		return nil, true
	}
	if in.HasKey {
		if c := t.CustomerOf(in.Key); c != nil {
			return c, true
		}
	}
	return nil, route.IsPublic
}

func (n *Node) refuse(in Incoming, done func(*world.Reply), status int, code world.Code, wait time.Duration) (cancel func()) {
	n.Metrics.Refused(code)
	fields := []event.Field{
		{Name: "id", Value: in.Call.ID}, {Name: "path", Value: in.PathOnly}, {Name: "code", Value: code},
		{Name: "retryAfterMs", Value: wait.Milliseconds()}, {Name: "tableVersion", Value: n.tableVersion()},
	}
	n.Events.Log(event.Refused, fields...)
	done(world.Refuse(status, code, world.RunNo, wait))
	return func() {}
}

// comeBack is when a refused caller may find room, spread so that callers that were
// refused together do not return together.
func (n *Node) comeBack() time.Duration {
	return busyWait + time.Duration(n.draw()*float64(spreadWait))
}
