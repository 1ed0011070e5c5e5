package admit

import (
	"sync"
	"time"

	"wagtailyoke/core/timer"
)

// Returns remembers requests that were refused for lack of room. A caller that comes back
// when it was told to is let in before new ones: it has waited already, and most callers
// come back only once.
type Returns struct {
	clock timer.Service

	mu sync.Mutex
	// young and old are two generations, so that forgetting costs nothing.
	young, old map[uint64]struct{}
	turned     time.Duration
}

const (
	// returnTime is how long a request is remembered at least: longer than any
	// Retry-After that is given.
	returnTime = 4 * time.Second
	// mostReturns bounds the requests that are remembered in one generation.
	mostReturns = 4096
)

// NewReturns returns a memory of no requests.
func NewReturns(clock timer.Service) *Returns {
	return &Returns{clock: clock, young: map[uint64]struct{}{}, old: map[uint64]struct{}{}, turned: clock.Now()}
}

// Refused remembers a request by its fingerprint.
func (r *Returns) Refused(fingerprint uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.turnLocked()
	if len(r.young) < mostReturns {
		r.young[fingerprint] = struct{}{}
	}
}

// IsBack reports whether a request was refused before, and forgets it.
func (r *Returns) IsBack(fingerprint uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.turnLocked()
	_, isYoung := r.young[fingerprint]
	_, isOld := r.old[fingerprint]
	delete(r.young, fingerprint)
	delete(r.old, fingerprint)
	return isYoung || isOld
}

func (r *Returns) turnLocked() {
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
