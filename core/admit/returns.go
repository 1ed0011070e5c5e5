package admit

import (
	"sync"
	"time"

	"wagtailyoke/core/timer"
	"wagtailyoke/core/world"
)

// RetryTracker remembers requests that were refused for lack of room. A caller that comes back
// when it was told to is let in before new ones: it has waited already, and most callers
// come back only once.
type RetryTracker struct {
	clock timer.Service

	mu sync.Mutex
	// young and old are two generations, so that forgetting costs nothing.
	young, old map[uint64]struct{}
	turned     time.Duration
	// back is the share of callers that come back, by grade.
	back map[world.Grade]float64
}

const (
	// returnTime is how long a request is remembered at least: longer than any
	// Retry-After that is given.
	returnTime = 4 * time.Second
	// mostReturns bounds the requests that are remembered in one generation.
	mostReturns = 4096
	// backOdds is how much likelier a caller is let in that comes back. More would make
	// all callers wait for a second try, as those who come back would fill the room.
	backOdds = 2
	// backWeight is the weight of a new sample in the share of those who come back.
	backWeight = 0.02
)

// NewRetryTracker returns a memory of no requests.
func NewRetryTracker(clock timer.Service) *RetryTracker {
	return &RetryTracker{clock: clock, young: map[uint64]struct{}{}, old: map[uint64]struct{}{}, turned: clock.Now(), back: map[world.Grade]float64{}}
}

// Candidate is what is known of a caller when a share of its grade is to be let in.
type Candidate struct {
	// IsRetry means that it was refused before.
	IsRetry bool
	// backShare is the share of such callers in its grade.
	backShare float64
	// draw is uniform in [0, 1).
	draw float64
}

// Lookup looks a request up by its fingerprint, and forgets it.
func (r *RetryTracker) Lookup(grade world.Grade, fingerprint uint64, draw float64) Candidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.turnLocked()
	isBack := r.forgetLocked(fingerprint)
	sample := 0.0
	if isBack {
		sample = 1
	}
	r.back[grade] += backWeight * (sample - r.back[grade])
	return Candidate{IsRetry: isBack, backShare: r.back[grade], draw: draw}
}

// AddRefused remembers a request by its fingerprint.
func (r *RetryTracker) AddRefused(fingerprint uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.turnLocked()
	if len(r.young) < mostReturns {
		r.young[fingerprint] = struct{}{}
	}
}

// IsAdmitted reports whether the caller is among the share of its grade that is let in. It is
// among any larger share, too.
func (c Candidate) IsAdmitted(share float64) bool {
	fresh, back := splitShare(share, c.backShare)
	if c.IsRetry {
		return c.draw < back
	}
	return c.draw < fresh
}

// splitShare returns the shares of new callers and of those who come back that are let in,
// so that a share of both together is.
func splitShare(share, backShare float64) (fresh, back float64) {
	fresh = share / (1 + (backOdds-1)*backShare)
	if back = backOdds * fresh; back <= 1 {
		return fresh, back
	}
	if backShare >= 1 {
		return 1, 1
	}
	return min((share-backShare)/(1-backShare), 1), 1
}

// forgetLocked reports whether a request was refused before, and forgets it.
func (r *RetryTracker) forgetLocked(fingerprint uint64) bool {
	_, isYoung := r.young[fingerprint]
	_, isOld := r.old[fingerprint]
	delete(r.young, fingerprint)
	delete(r.old, fingerprint)
	return isYoung || isOld
}

func (r *RetryTracker) turnLocked() {
	now := r.clock.Now()
	if now-r.turned < returnTime {
		return
	}
	if now-r.turned >= 2*returnTime {
		clear(r.young)
	}
	r.old, r.young = r.young, map[uint64]struct{}{}
	r.turned = now
}
