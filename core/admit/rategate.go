package admit

import (
	"sync"
	"time"

	"wagtailyoke/core/timer"
)

// RateGate holds the call limit that an upstream names.
type RateGate struct {
	clock timer.Service

	mu        sync.Mutex
	isLimited bool
	// limit is in calls per second. limitedSince is when the upstream first named one.
	limit        float64
	limitedSince time.Duration
}

// NewRateGate returns a gate without a limit.
func NewRateGate(clock timer.Service) *RateGate { return &RateGate{clock: clock} }

// SetLimit sets the limit in calls per second. It reports whether there was none.
func (g *RateGate) SetLimit(limit float64) (isFirst bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	isFirst = !g.isLimited
	if isFirst {
		g.limitedSince = g.clock.Now()
	}
	g.isLimited, g.limit = true, limit
	return isFirst
}

// Lift removes the limit, because the answer to a call that was sent at a time does not name one. An answer
// to a call from before the limit may have been made before it as well. Lift reports whether there was a
// limit that it removed.
func (g *RateGate) Lift(sentAt time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.isLimited || sentAt < g.limitedSince {
		return false
	}
	g.isLimited = false
	return true
}

// Limit returns the limit in calls per second. It returns false if there is none.
func (g *RateGate) Limit() (limit float64, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.isLimited {
		return 0, false
	}
	return g.limit, true
}
