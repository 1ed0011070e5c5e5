package admit

import (
	"sync"
	"time"

	"wagtailyoke/core/timer"
)

// ColdLimits bound the calls to an upstream that has just started. The zero value sets no bound.
type ColdLimits struct {
	// MaxCallsPerSecond is the number of calls that a cold upstream may receive in any second.
	MaxCallsPerSecond int
	// Duration is how long an upstream stays cold after its start.
	Duration time.Duration
}

// ColdGate spaces the calls to an upstream while it is cold: a process that has just started accepts
// only a few calls per second and crashes if it receives its usual share. Without the gate, upstreams
// that return together after a crash, a release or an evacuation would crash again under the load that
// waited for them.
//
// All calls to an upstream pass the gate of its own node, so the bound holds over all nodes without any
// communication. An upstream is cold for as long as it says. Until it has said something, for example
// after its connections were refused, its state is unverified and it counts as cold.
type ColdGate struct {
	clock timer.Service

	mu     sync.Mutex
	limits ColdLimits
	// coldUntil is when the upstream becomes warm, as far as that is verified.
	coldUntil time.Duration
	// isUnverified means that another process may have started. verification counts how often that
	// began. answeredAt is when the upstream has first answered a call since, if hasAnswered is set.
	isUnverified bool
	verification uint64
	hasAnswered  bool
	answeredAt   time.Duration
	// nextCallAt is the earliest time of the next call while the upstream is cold.
	nextCallAt time.Duration
}

// coldWindow is the time over which the gate spreads the calls that are allowed in a second. It is
// longer than a second because a call may be delayed between the gate and the upstream.
const coldWindow = 1150 * time.Millisecond

// coldMargin is added to the time for which an upstream says that it is cold: it rounds the time to
// milliseconds, and the calls that have waited for its end are sent at once.
const coldMargin = 20 * time.Millisecond

// NewColdGate returns a gate for an upstream whose state is unverified. It is open until SetLimits. The
// previous process of the node may have sent calls in the last second.
func NewColdGate(clock timer.Service) *ColdGate {
	return &ColdGate{clock: clock, isUnverified: true, nextCallAt: clock.Now() + time.Second}
}

// SetLimits changes the limits.
func (g *ColdGate) SetLimits(l ColdLimits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits = l
}

// HasLimits reports whether the gate has limits to apply.
func (g *ColdGate) HasLimits() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limits != ColdLimits{}
}

// SetCold records how much longer the upstream is cold, as it says itself.
func (g *ColdGate) SetCold(remaining time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setColdLocked(remaining)
}

func (g *ColdGate) setColdLocked(remaining time.Duration) {
	if remaining > 0 {
		remaining += coldMargin
	}
	g.coldUntil, g.isUnverified, g.hasAnswered = g.clock.Now()+remaining, false, false
}

// Unverify records that another process may have started.
func (g *ColdGate) Unverify() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isUnverified, g.hasAnswered = true, false
	g.verification++
}

// Verification identifies the current period without a verified state. It returns false if the state is
// verified.
func (g *ColdGate) Verification() (id uint64, isUnverified bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.verification, g.isUnverified
}

// Verify records what the upstream said when it was asked after the given verification had begun. It
// returns false if the state has become unverified again since.
func (g *ColdGate) Verify(id uint64, remaining time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if id != g.verification {
		return false
	}
	g.setColdLocked(remaining)
	return true
}

// CountAnswer records that the upstream has answered a call. It has therefore started, and is warm after
// ColdLimits.Duration even if it does not say so.
func (g *ColdGate) CountAnswer() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isUnverified && !g.hasAnswered {
		g.hasAnswered, g.answeredAt = true, g.clock.Now()
	}
}

// IsCold reports whether the upstream is cold, or may be.
func (g *ColdGate) IsCold() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isColdLocked()
}

func (g *ColdGate) isColdLocked() bool { return g.isColdAtLocked(g.clock.Now()) }

// isColdAtLocked reports whether the upstream will be cold at a time, as far as is known now.
func (g *ColdGate) isColdAtLocked(at time.Duration) bool {
	switch {
	case g.limits == (ColdLimits{}):
		return false
	case g.isUnverified:
		return !g.hasAnswered || at < g.answeredAt+g.limits.Duration
	default:
		return at < g.coldUntil
	}
}

// Interval returns the time between two calls, 0 if the upstream is not cold.
func (g *ColdGate) Interval() time.Duration { return g.IntervalIn(0) }

// IntervalIn returns the time between two calls after a delay, 0 if the upstream is not cold then.
func (g *ColdGate) IntervalIn(delay time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.isColdAtLocked(g.clock.Now() + delay) {
		return 0
	}
	return g.intervalLocked()
}

// intervalLocked spaces the calls so that a window contains as many as are allowed, including those at
// both of its ends.
func (g *ColdGate) intervalLocked() time.Duration {
	return coldWindow / time.Duration(max(g.limits.MaxCallsPerSecond-1, 1))
}

// CountHealthCheck counts a health check, which is sent without waiting for its turn.
func (g *ColdGate) CountHealthCheck() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nextCallAt = max(g.nextCallAt, g.clock.Now()) + g.intervalLocked()
}

// Take reports whether a call may be sent now, and counts it. Otherwise it returns the time until the
// next call may be sent.
func (g *ColdGate) Take() (ok bool, wait time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.isColdLocked() {
		return true, 0
	}
	now := g.clock.Now()
	if now < g.nextCallAt {
		return false, g.nextCallAt - now
	}
	g.nextCallAt = now + g.intervalLocked()
	return true, 0
}
