package mesh

import (
	"sync"
	"time"

	"wagtailyoke/core/world"
)

// active holds the runs that the own upstream is at.
//
// A call that the upstream makes does not name the run that it is made for, but its
// deadline tells: either it ends at the run's deadline, which this node gave to the
// millisecond, or it has a limit of its own that counts from the start of the run. Such a
// limit is the same for all calls on a route, so it is learned from those calls.
type active struct {
	mu     sync.Mutex
	runs   map[*run]struct{}
	limits map[world.RouteID]*ownLimit
}

// deadlineMatch is how far the end of a call may lie from where its run puts it: two
// roundings to a millisecond, and the way to the upstream and back.
const deadlineMatch = 4 * time.Millisecond

func (a *active) add(r *run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.runs == nil {
		a.runs, a.limits = map[*run]struct{}{}, map[world.RouteID]*ownLimit{}
	}
	a.runs[r] = struct{}{}
}

func (a *active) remove(r *run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.runs, r)
}

// parentOf returns the run that a call on a route with the given end is made for, nil if
// none fits.
func (a *active) parentOf(route world.RouteID, expiry time.Duration) *run {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r := a.nearestLocked(func(r *run) time.Duration { return r.expiry - expiry }); r != nil {
		return r
	}
	l := a.limits[route]
	if l == nil {
		if a.limits == nil {
			return nil
		}
		l = &ownLimit{votes: map[time.Duration]float64{}}
		a.limits[route] = l
	}
	l.calls++
	for r := range a.runs {
		l.vote(expiry - r.begun)
	}
	limit, ok := l.best()
	if !ok {
		return nil
	}
	return a.nearestLocked(func(r *run) time.Duration { return r.begun + limit - expiry })
}

func (a *active) nearestLocked(off func(*run) time.Duration) *run {
	var best *run
	distance := deadlineMatch + 1
	for r := range a.runs {
		d := off(r).Abs()
		if d < distance || d == distance && best != nil && r.call.ID < best.call.ID {
			best, distance = r, d
		}
	}
	return best
}

// ownLimit learns the limit that calls on a route have from the start of their run: each
// call votes for the limit that each run would give it. Only the true one recurs.
type ownLimit struct {
	votes map[time.Duration]float64
	calls float64
}

const (
	// limitStep is the width of a vote.
	limitStep = 2 * time.Millisecond
	// mostLimit bounds what is learned.
	mostLimit = 30 * time.Second
	// leastVoters is the number of calls from which the votes count, mostVoters that
	// at which older ones begin to fade.
	leastVoters = 20
	mostVoters  = 400
	// clearMajority is the part of the calls that must agree.
	clearMajority = 0.4
)

func (l *ownLimit) vote(limit time.Duration) {
	if limit <= 0 || limit > mostLimit {
		return
	}
	l.votes[limit/limitStep]++
}

func (l *ownLimit) best() (limit time.Duration, ok bool) {
	if l.calls < leastVoters {
		return 0, false
	}
	if l.calls > mostVoters {
		l.fade()
	}
	most := 0.0
	for at := range l.votes {
		// A limit near the edge of a step votes in two of them.
		count := l.votes[at] + l.votes[at+1]
		if count > most || count == most && at < limit/limitStep {
			most, limit = count, (at+1)*limitStep
		}
	}
	return limit, most >= clearMajority*l.calls
}

func (l *ownLimit) fade() {
	l.calls /= 2
	for at := range l.votes {
		l.votes[at] /= 2
		if l.votes[at] < 1 {
			delete(l.votes, at)
		}
	}
}

// noteChild takes in the reply to a call that the run made.
func (r *run) noteChild(reply *world.Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.childLevel = max(r.childLevel, reply.Level)
	if !reply.IsSuccess() {
		r.childFailed = true
	}
}
