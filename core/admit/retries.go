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
	// current and previous are two generations, so that forgetting costs nothing.
	current, previous map[uint64]struct{}
	rotatedAt         time.Duration
	// retryShares is the share of callers that come retryShares, by grade.
	retryShares map[world.Grade]float64
}

const (
	// minRetention is how long a request is remembered at least: longer than any
	// Retry-After that is given.
	minRetention = 4 * time.Second
	// maxGenerationSize bounds the requests that are remembered in one generation.
	maxGenerationSize = 4096
	// retryFactor is how much likelier a caller is let in that comes back. More would make
	// all callers wait for a second try, as those who come back would fill the room.
	retryFactor = 2
	// retryShareWeight is the weight of a new sample in the share of those who come back.
	retryShareWeight = 0.02
)

// NewRetryTracker returns a memory of no requests.
func NewRetryTracker(clock timer.Service) *RetryTracker {
	return &RetryTracker{clock: clock, current: map[uint64]struct{}{}, previous: map[uint64]struct{}{}, rotatedAt: clock.Now(), retryShares: map[world.Grade]float64{}}
}

// Candidate is what is known of a caller when a share of its grade is to be let in.
type Candidate struct {
	// IsRetry means that it was refused before.
	IsRetry bool
	// retryShare is the share of such callers in its grade.
	retryShare float64
	// tieBreaker is uniform in [0, 1).
	tieBreaker float64
}

// Lookup looks a request up by its fingerprint, and forgets it.
func (r *RetryTracker) Lookup(grade world.Grade, fingerprint uint64, tieBreaker float64) Candidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotateLocked()
	isRetry := r.removeLocked(fingerprint)
	sample := 0.0
	if isRetry {
		sample = 1
	}
	r.retryShares[grade] += retryShareWeight * (sample - r.retryShares[grade])
	return Candidate{IsRetry: isRetry, retryShare: r.retryShares[grade], tieBreaker: tieBreaker}
}

// AddRefused remembers a request by its fingerprint.
func (r *RetryTracker) AddRefused(fingerprint uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotateLocked()
	if len(r.current) < maxGenerationSize {
		r.current[fingerprint] = struct{}{}
	}
}

// IsAdmitted reports whether the caller is among the share of its grade that is let in. It is
// among any larger share, too.
func (c Candidate) IsAdmitted(share float64) bool {
	fresh, back := splitShare(share, c.retryShare)
	if c.IsRetry {
		return c.tieBreaker < back
	}
	return c.tieBreaker < fresh
}

// splitShare returns the shares of new callers and of those who come back that are let in,
// so that a share of both together is.
func splitShare(share, backShare float64) (fresh, back float64) {
	fresh = share / (1 + (retryFactor-1)*backShare)
	if back = retryFactor * fresh; back <= 1 {
		return fresh, back
	}
	if backShare >= 1 {
		return 1, 1
	}
	return min((share-backShare)/(1-backShare), 1), 1
}

// removeLocked reports whether a request was refused before, and forgets it.
func (r *RetryTracker) removeLocked(fingerprint uint64) bool {
	_, inCurrent := r.current[fingerprint]
	_, inPrevious := r.previous[fingerprint]
	delete(r.current, fingerprint)
	delete(r.previous, fingerprint)
	return inCurrent || inPrevious
}

func (r *RetryTracker) rotateLocked() {
	now := r.clock.Now()
	if now-r.rotatedAt < minRetention {
		return
	}
	if now-r.rotatedAt >= 2*minRetention {
		clear(r.current)
	}
	r.previous, r.current = r.current, map[uint64]struct{}{}
	r.rotatedAt = now
}
