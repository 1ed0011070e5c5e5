package retry

import (
	"sync"
	"time"

	"wagtailyoke/core/timer"
	"wagtailyoke/core/world"
)

// Limiter bound the retries of one node to each service, so that those of all nodes
// stay within a ratio of the calls and a slack besides, in any window.
//
// A node earns a part of the ratio with each call that it sends. With time it earns its
// part of the slack, and an even part of the ratio of the calls of all nodes: most nodes
// send few calls of their own to a service that others call ten times for each request.
// What it has not spent it may keep as long as the calls that earned it are no older than
// a window: trouble then finds a stock. Callers' own repeats and the repeats of services
// above are not seen here; the parts leave room for them.
//
// The stock answers a service whose endpoints refuse half of their calls: a request that
// needs eight of them needs ten retries, and there are not enough for all requests. So the
// less important a call is, the more of the stock it must leave to others.
type Limiter struct {
	clock  timer.Service
	ratio  float64
	slack  float64
	window time.Duration

	mu     sync.Mutex
	nodes  int
	tokens map[world.ServiceID]*allowance
	// rates are the calls a second of all nodes.
	rates map[world.ServiceID]float64
}

type allowance struct {
	tokens float64
	at     time.Duration
	// sent counts the calls of each part of the last window; total is their sum.
	sent  [windowParts]float64
	total float64
	// part is the number of the current part since the clock's start.
	part int64
}

const (
	// ownPart is the part of the ratio that a node earns with its own calls, evenPart
	// the part that all nodes share evenly, and slackPart the used part of the slack. The
	// rest covers calls of runs that were themselves retries.
	ownPart   = 0.25
	evenPart  = 0.25
	slackPart = 0.4
	// leastSize is the least number of retries that a node can save up.
	leastSize = 2
	// windowParts is the number of parts in which the calls of a window are counted.
	windowParts = 10
	// mostLeft is the part of the stock that the least important calls leave to others.
	mostLeft = 0.8
)

// NewLimiter returns allowances without any retries.
func NewLimiter(clock timer.Service, ratio, slack float64, window time.Duration) *Limiter {
	return &Limiter{clock: clock, ratio: ratio, slack: slack, window: window, nodes: 1, tokens: map[world.ServiceID]*allowance{}}
}

// SetNodeCount sets the number of nodes that share the slack.
func (a *Limiter) SetNodeCount(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.nodes = max(n, 1)
}

// SetCallRates sets the calls a second that each service gets from all nodes.
func (a *Limiter) SetCallRates(rates map[world.ServiceID]float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for service := range a.tokens {
		a.ofLocked(service)
	}
	a.rates = rates
}

// ofLocked returns a service's allowance as it is now, and its size.
func (a *Limiter) ofLocked(service world.ServiceID) (w *allowance, size float64) {
	now := a.clock.Now()
	w = a.tokens[service]
	share := slackPart*a.slack/float64(a.nodes) + evenPart*a.ratio*a.rates[service]*a.window.Seconds()/float64(a.nodes)
	if w == nil {
		// The process before this one may have spent its part a moment ago.
		w = &allowance{at: now}
		a.tokens[service] = w
	}
	if a.window > 0 {
		w.tokens += share * (now - w.at).Seconds() / a.window.Seconds()
		w.turn(int64(now / (a.window / windowParts)))
	}
	w.at = now
	size = max(leastSize, share) + ownPart*a.ratio*w.total
	w.tokens = min(w.tokens, size)
	return w, size
}

// turn drops the parts of the window that are over.
func (w *allowance) turn(part int64) {
	for range min(part-w.part, windowParts) {
		w.part++
		oldest := &w.sent[w.part%windowParts]
		w.total -= *oldest
		*oldest = 0
	}
	w.part = part
}

// CountCall counts a call to a service.
func (a *Limiter) CountCall(service world.ServiceID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	w, _ := a.ofLocked(service)
	w.tokens += ownPart * a.ratio
	w.sent[w.part%windowParts]++
	w.total++
}

// Allow takes one retry to a service if there is one for a call of the urgency, from 0 for
// the least to 1 for the most important calls.
func (a *Limiter) Allow(service world.ServiceID, urgency float64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	w, size := a.ofLocked(service)
	if w.tokens < max(1, mostLeft*(1-urgency)*size) {
		return false
	}
	w.tokens--
	return true
}
