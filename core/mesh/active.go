package mesh

import (
	"sync"
	"sync/atomic"
	"time"

	"wagtailyoke/core/graph"
	"wagtailyoke/core/world"
)

// active holds the runs that the own upstream is at, to tell which of them a call of the
// upstream is made for. The call does not name its run, but two things tell.
//
// Its deadline: calls end with their run, whose deadline this node gave to the millisecond,
// unless calls on the route have a shorter limit.
//
// Its time: once a run has the reply to a call, it makes the next call or ends. So calls
// form chains, and the end of a run tells which chain was its own, and so at which age it
// made its first call. A new chain is given to the run that is nearest to that age.
type active struct {
	graph *graph.Learner

	mu   sync.Mutex
	runs map[*run]struct{}
	// ends tells of each route whether calls on it end with their runs.
	ends map[world.RouteID]*callEnds
	// replies are the last replies to calls, oldest first.
	replies []*lastReply
	// ages are the usual ages of runs at the start of a chain.
	ages map[firstCall]time.Duration
}

// firstCall is the route of a run and that of its first call.
type firstCall struct {
	run, call world.RouteID
}

// callEnds counts the calls on a route, and those that ended with a run, beyond chance.
type callEnds struct {
	fit, seen float64
}

func (e *callEnds) withRun() bool { return e.fit >= endsWithRun*e.seen }

// chain is a sequence of calls of one run, each made once the reply to the last one had
// come.
type chain struct {
	parent *run
	begun  time.Duration
	routes []world.RouteID
	// isBacked means that a retry was spent for the chain.
	isBacked atomic.Bool
}

// lastReply is the reply to the last call of a chain so far.
type lastReply struct {
	at    time.Duration
	chain *chain
	// isGood means that the call succeeded.
	isGood bool
	// isUsed means that another call or the end of a run followed.
	isUsed bool
}

const (
	// deadlineMatch is how far the end of a call may lie from that of its run: two
	// roundings to a millisecond, and the way to the upstream and back.
	deadlineMatch = 2 * time.Millisecond
	// endsWithRun is the part of the calls on a route that must end with their run for
	// the deadline to be believed before the time.
	endsWithRun = 0.5
	// mostSeen is the number of calls from which older ones fade.
	mostSeen = 200
	// promptly is the time within which a run goes on after a reply: the way to the
	// upstream and back.
	promptly = time.Millisecond
	// ageWeight is the weight of a new sample in the usual age at the first call.
	ageWeight = 0.1
	// chances is the number of times that the same evidence is looked for where only
	// chance brings it about, chanceShift the time between them.
	chances     = 4
	chanceShift = 5 * time.Millisecond
	// replyTime is how long replies are kept for that.
	replyTime = (chances+1)*chanceShift + promptly
)

func newActive(learner *graph.Learner) *active {
	return &active{graph: learner, runs: map[*run]struct{}{}, ends: map[world.RouteID]*callEnds{}, ages: map[firstCall]time.Duration{}}
}

func (a *active) add(r *run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runs[r] = struct{}{}
}

// remove takes out a run that ends, and learns which calls it has made. It reports whether
// the run ended as soon as a call had failed.
func (a *active) remove(r *run, now time.Duration) (callFailed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.runs, r)
	a.graph.AddExecution(r.call.Route)
	a.forgetLocked(now)
	for shift := range chances + 1 {
		weight := -1.0 / chances
		if shift == 0 {
			weight = 1
		}
		after := now - time.Duration(shift)*chanceShift - promptly
		for _, reply := range a.replies {
			if reply.isUsed || reply.at < after || reply.at > after+promptly {
				continue
			}
			callFailed = callFailed || shift == 0 && !reply.isGood
			for _, route := range reply.chain.routes {
				a.graph.AddEvidence(graph.EndedAtReply, r.call.Route, route, weight)
			}
		}
	}
	a.learnAgeLocked(r, now)
	return callFailed
}

// learnAgeLocked learns at which age a run that ends made its first call, if only one chain
// can be its own.
func (a *active) learnAgeLocked(r *run, now time.Duration) {
	var last *lastReply
	for _, reply := range a.replies {
		if reply.isUsed || now-reply.at > promptly || reply.chain.begun < r.begun {
			continue
		}
		if last != nil {
			return
		}
		last = reply
	}
	if last == nil {
		return
	}
	last.isUsed = true
	key := firstCall{run: r.call.Route, call: last.chain.routes[0]}
	age := last.chain.begun - r.begun
	old, ok := a.ages[key]
	if !ok {
		old = age
	}
	a.ages[key] = old + time.Duration(ageWeight*float64(age-old))
}

func (a *active) forgetLocked(now time.Duration) {
	old := 0
	for old < len(a.replies) && now-a.replies[old].at > replyTime {
		old++
	}
	a.replies = a.replies[old:]
}

// called returns the chain of a call on a route with the given end.
func (a *active) called(route world.RouteID, now, expiry time.Duration) *chain {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.forgetLocked(now)
	ends := a.endsLocked(route, expiry)
	fitting := a.fittingLocked(route, expiry)
	isSure := fitting != nil && ends.withRun()
	c := a.goesOnLocked(now, fitting, isSure)
	if c == nil {
		c = &chain{parent: fitting, begun: now}
		if !isSure {
			if due := a.dueLocked(route, now); due != nil {
				c.parent = due
			}
		}
	}
	c.routes = append(c.routes, route)
	if c.parent != nil {
		c.parent.hasCalled = true
	}
	return c
}

// goesOnLocked returns the chain that a call goes on with. If the call's run is known for
// sure, it must be the chain's.
func (a *active) goesOnLocked(now time.Duration, parent *run, isSure bool) *chain {
	for _, reply := range a.replies {
		if reply.isUsed || now-reply.at > promptly || isSure && reply.chain.parent != parent {
			continue
		}
		reply.isUsed = true
		return reply.chain
	}
	return nil
}

// replied takes in that the upstream has the reply to the last call of a chain.
func (a *active) replied(c *chain, now time.Duration, isGood bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.replies = append(a.replies, &lastReply{at: now, chain: c, isGood: isGood})
}

// endsLocked counts whether a call ends with a run.
func (a *active) endsLocked(route world.RouteID, expiry time.Duration) *callEnds {
	e := a.ends[route]
	if e == nil {
		e = &callEnds{}
		a.ends[route] = e
	}
	weights := map[world.RouteID]float64{}
	for r := range a.runs {
		early := (expiry - r.expiry).Abs()
		if early <= deadlineMatch {
			weights[r.call.Route]++
		}
		for shift := range chances {
			if (early - time.Duration(shift+2)*chanceShift).Abs() <= deadlineMatch {
				// Both sides of the deadline count here.
				weights[r.call.Route] -= 0.5 / chances
			}
		}
	}
	for caller, weight := range weights {
		e.fit += weight
		a.graph.AddEvidence(graph.SameDeadline, caller, route, weight)
	}
	e.seen++
	if e.seen >= mostSeen {
		e.seen /= 2
		e.fit /= 2
	}
	return e
}

// fittingLocked returns the run with the call's end, one that is known to make such calls
// if there is one.
func (a *active) fittingLocked(route world.RouteID, expiry time.Duration) (best *run) {
	var distance time.Duration
	isCaller := false
	for r := range a.runs {
		d := (r.expiry - expiry).Abs()
		if d > deadlineMatch {
			continue
		}
		calls := a.graph.IsKnownCall(r.call.Route, route)
		if best == nil || calls && !isCaller || calls == isCaller && r.isBefore(best, d, distance) {
			best, distance, isCaller = r, d, calls
		}
	}
	return best
}

// isBefore orders runs by a time, and those of the same one by id.
func (r *run) isBefore(other *run, at, otherAt time.Duration) bool {
	return at < otherAt || at == otherAt && r.call.ID < other.call.ID
}

// dueLocked returns the run that is nearest to the age at which such runs make their first
// call.
func (a *active) dueLocked(route world.RouteID, now time.Duration) *run {
	var best *run
	var distance time.Duration
	for r := range a.runs {
		if r.hasCalled || !a.graph.IsKnownCall(r.call.Route, route) {
			continue
		}
		d := (now - r.begun - a.ages[firstCall{run: r.call.Route, call: route}]).Abs()
		if best == nil || r.isBefore(best, d, distance) {
			best, distance = r, d
		}
	}
	return best
}
