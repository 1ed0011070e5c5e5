package admit

import (
	"sync"
	"time"

	"wagtailyoke/core/timer"
	"wagtailyoke/core/world"
)

// RetryTracker remembers requests that were refused for lack of capacity. A caller that retries
// after its Retry-After is admitted before new callers: it has waited already, and most callers
// retry only once.
type RetryTracker struct {
	clock timer.Service

	mu sync.Mutex
	// current and previous are two generations, so that old requests expire without a scan.
	current, previous map[uint64]struct{}
	rotatedAt         time.Duration
	// retryShares is the share of requests that are retries, by grade.
	retryShares map[world.Grade]float64
}

const (
	// minRetention is the minimum time that a request is remembered. It is longer than any
	// Retry-After that is sent.
	minRetention = 4 * time.Second
	// maxGenerationSize bounds the number of requests remembered in one generation.
	maxGenerationSize = 4096
	// retryFactor is how much likelier a retry is admitted than a new request. With a higher
	// factor, retries would fill the capacity and every caller would have to try twice.
	retryFactor = 2
	// retryShareWeight is the weight of a new sample in the share of retries.
	retryShareWeight = 0.02
)

// NewRetryTracker returns a tracker without requests.
func NewRetryTracker(clock timer.Service) *RetryTracker {
	return &RetryTracker{clock: clock, current: map[uint64]struct{}{}, previous: map[uint64]struct{}{}, rotatedAt: clock.Now(), retryShares: map[world.Grade]float64{}}
}

// Candidate is a request for which a share of its grade may be admitted.
type Candidate struct {
	// IsRetry means that the request was refused before.
	IsRetry bool
	// retryShare is the share of retries in the grade.
	retryShare float64
	// tieBreaker is uniform in [0, 1). The lowest are admitted first.
	tieBreaker float64
}

// Lookup returns the candidate for a request with a fingerprint, and forgets the fingerprint.
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

// AddRefused remembers a refused request by its fingerprint.
func (r *RetryTracker) AddRefused(fingerprint uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotateLocked()
	if len(r.current) < maxGenerationSize {
		r.current[fingerprint] = struct{}{}
	}
}

// IsAdmitted reports whether the candidate is within the admitted share of its grade. A candidate
// that is admitted at one share is admitted at any larger one, too.
func (c Candidate) IsAdmitted(share float64) bool {
	newAdmitted, retriesAdmitted := splitShare(share, c.retryShare)
	if c.IsRetry {
		return c.tieBreaker < retriesAdmitted
	}
	return c.tieBreaker < newAdmitted
}

// splitShare returns the shares of new requests and of retries to admit, such that together they
// make up the given share of the grade.
func splitShare(share, retryShare float64) (newAdmitted, retriesAdmitted float64) {
	newAdmitted = share / (1 + (retryFactor-1)*retryShare)
	if retriesAdmitted = retryFactor * newAdmitted; retriesAdmitted <= 1 {
		return newAdmitted, retriesAdmitted
	}
	if retryShare >= 1 {
		return 1, 1
	}
	return min((share-retryShare)/(1-retryShare), 1), 1
}

// removeLocked forgets a request and reports whether it had been refused before.
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
