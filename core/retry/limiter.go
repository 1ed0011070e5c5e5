package retry

import (
	"sync"
	"time"

	"wagtailyoke/core/timer"
	"wagtailyoke/core/world"
)

// Limiter bounds the retries of one node to each service. Together, the limiters of all nodes
// keep the retries in any window within a ratio of the calls plus a fixed slack.
//
// A node earns a fraction of the ratio with each call that it sends. Over time it also earns
// its part of the slack and an equal part of the ratio of the calls of all nodes, because most
// nodes send few calls themselves to a service that others call ten times per request.
// Unspent retries are saved as long as the calls that earned them are no older than the
// window, and are available when a service starts to fail. Repeats by clients and by calling
// services are not visible here; the fractions leave room for them.
//
// The saved retries do not suffice for a service whose endpoints refuse half of their calls: a
// request that needs eight such calls needs ten retries. The less important a call is, the
// more of the saved retries it must therefore leave to other calls.
type Limiter struct {
	clock  timer.Service
	ratio  float64
	slack  float64
	window time.Duration

	mu        sync.Mutex
	nodeCount int
	buckets   map[world.ServiceID]*serviceBucket
	// callRates are the calls per second from all nodes.
	callRates map[world.ServiceID]float64
}

type serviceBucket struct {
	tokens    float64
	updatedAt time.Duration
	// calls counts the calls in each slot of the last window; totalCalls is their sum.
	calls      [windowSlots]float64
	totalCalls float64
	// slot is the number of the current slot since the clock's start.
	slot int64
}

const (
	// ownCallFraction is the fraction of the ratio that a node earns with its own calls,
	// sharedCallFraction the fraction that all nodes share equally, and slackFraction the used
	// fraction of the slack. The rest covers calls of executions that were themselves retries.
	ownCallFraction    = 0.25
	sharedCallFraction = 0.25
	slackFraction      = 0.4
	// minSize is the least number of retries that a node can save.
	minSize = 2
	// windowSlots is the number of slots in which the calls of a window are counted.
	windowSlots = 10
	// maxReservedFraction is the fraction of the saved retries that the least important calls
	// must leave to others.
	maxReservedFraction = 0.8
)

// NewLimiter returns a limiter without any saved retries.
func NewLimiter(clock timer.Service, ratio, slack float64, window time.Duration) *Limiter {
	return &Limiter{clock: clock, ratio: ratio, slack: slack, window: window, nodeCount: 1, buckets: map[world.ServiceID]*serviceBucket{}}
}

// SetNodeCount sets the number of nodes that share the ratio and the slack.
func (l *Limiter) SetNodeCount(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nodeCount = max(n, 1)
}

// SetCallRates sets the calls per second that each service gets from all nodes.
func (l *Limiter) SetCallRates(rates map[world.ServiceID]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// Credit the time up to now at the previous rates.
	for service := range l.buckets {
		l.bucketLocked(service)
	}
	l.callRates = rates
}

// bucketLocked returns a service's bucket, refilled up to now, and its size.
func (l *Limiter) bucketLocked(service world.ServiceID) (w *serviceBucket, size float64) {
	now := l.clock.Now()
	w = l.buckets[service]
	share := slackFraction*l.slack/float64(l.nodeCount) + sharedCallFraction*l.ratio*l.callRates[service]*l.window.Seconds()/float64(l.nodeCount)
	if w == nil {
		// A process that ran here before a restart may have just spent its retries.
		w = &serviceBucket{updatedAt: now}
		l.buckets[service] = w
	}
	if l.window > 0 {
		w.tokens += share * (now - w.updatedAt).Seconds() / l.window.Seconds()
		w.advance(int64(now / (l.window / windowSlots)))
	}
	w.updatedAt = now
	size = max(minSize, share) + ownCallFraction*l.ratio*w.totalCalls
	w.tokens = min(w.tokens, size)
	return w, size
}

// advance drops the slots that have left the window.
func (w *serviceBucket) advance(slot int64) {
	for range min(slot-w.slot, windowSlots) {
		w.slot++
		oldest := &w.calls[w.slot%windowSlots]
		w.totalCalls -= *oldest
		*oldest = 0
	}
	w.slot = slot
}

// CountCall counts a call to a service.
func (l *Limiter) CountCall(service world.ServiceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w, _ := l.bucketLocked(service)
	w.tokens += ownCallFraction * l.ratio
	w.calls[w.slot%windowSlots]++
	w.totalCalls++
}

// Allow takes one retry to a service if one is available to a call of this urgency, from 0 for
// the least important calls to 1 for the most important ones.
func (l *Limiter) Allow(service world.ServiceID, urgency float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	w, size := l.bucketLocked(service)
	if w.tokens < max(1, maxReservedFraction*(1-urgency)*size) {
		return false
	}
	w.tokens--
	return true
}
