package admit

import (
	"sync"
	"time"

	"wagtailyoke/core/timer"
)

// RateGate limits the rate of calls to an upstream that has named a limit, for as long as it names one.
//
// All calls to an upstream pass the gate of its own node, so the limit holds over all nodes without any
// communication.
type RateGate struct {
	clock timer.Service
	// minRate is the rate in calls per second at which the gate stays open.
	minRate float64

	mu        sync.Mutex
	isLimited bool
	// limit is in calls per second. limitedSince is when the upstream first named one.
	limit        float64
	limitedSince time.Duration
	// hasHeard means that the upstream has answered since the gate was created or reset.
	hasHeard bool
	// tokens is the number of calls that may be sent at refilledAt.
	tokens     float64
	refilledAt time.Duration
}

const (
	// rateBurst is the time over which calls that were not sent add up.
	rateBurst = 250 * time.Millisecond
	// minCallRate is the rate in calls per second that an upstream receives at the least. Only answers say
	// that the limit has ended, so one that takes no calls still receives one from time to time.
	minCallRate = 0.25
)

// NewRateGate returns a gate without a limit.
func NewRateGate(clock timer.Service) *RateGate { return &RateGate{clock: clock, minRate: minCallRate} }

// NewSharedRateGate returns a gate without a limit that is one of several for the same upstream.
func NewSharedRateGate(clock timer.Service) *RateGate { return &RateGate{clock: clock} }

// SetSharedLimit sets this gate's share of a limit in calls per second.
func (g *RateGate) SetSharedLimit(limit float64, gates int) {
	g.SetLimit(max(limit, minCallRate) / float64(gates))
}

// SetLimit sets the limit in calls per second, as an answer names it. It reports whether there was none.
func (g *RateGate) SetLimit(limit float64) (isFirst bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hasHeard = true
	return g.setLimitLocked(limit)
}

func (g *RateGate) setLimitLocked(limit float64) (isFirst bool) {
	isFirst = !g.isLimited
	if isFirst {
		g.tokens, g.refilledAt, g.limitedSince = 0, g.clock.Now(), g.clock.Now()
	}
	g.refillLocked()
	g.isLimited, g.limit = true, limit
	return isFirst
}

// Suggest sets a limit that another node knows, unless the upstream has answered here and so has said itself
// whether it has one. It reports whether the limit is set.
func (g *RateGate) Suggest(limit float64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.hasHeard && g.setLimitLocked(limit)
}

// Lift removes the limit, because the answer to a call that was sent at a time does not name one. An answer
// to a call from before the limit may have been made before it as well. Lift reports whether there was a
// limit that it removed.
func (g *RateGate) Lift(sentAt time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isLimited && sentAt < g.limitedSince {
		return false
	}
	g.hasHeard = true
	wasLimited := g.isLimited
	g.isLimited = false
	return wasLimited
}

// Reset forgets what the upstream said, because another process has started.
func (g *RateGate) Reset() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isLimited, g.hasHeard = false, false
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

// Rate returns the calls per second that the gate lets pass. It returns false if there is no limit.
func (g *RateGate) Rate() (rate float64, ok bool) {
	limit, ok := g.Limit()
	return max(limit, g.minRate), ok
}

func (g *RateGate) refillLocked() {
	rate := max(g.limit, g.minRate)
	now := g.clock.Now()
	g.tokens = min(g.tokens+rate*(now-g.refilledAt).Seconds(), max(rate*rateBurst.Seconds(), 1))
	g.refilledAt = now
}

// WaitFor returns the time until a call may be sent if others are sent before it.
func (g *RateGate) WaitFor(others int) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.isLimited {
		return 0
	}
	g.refillLocked()
	missing := float64(others) + 1 - g.tokens
	if missing <= 0 {
		return 0
	}
	// At least a nanosecond, because a wait of 0 means that the call may be sent.
	return max(time.Duration(missing/max(g.limit, g.minRate)*float64(time.Second)), 1)
}

// Take counts a call that is sent.
func (g *RateGate) Take() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.isLimited {
		return
	}
	g.refillLocked()
	g.tokens--
}
