package retry

import (
	"sync"
	"time"

	"wagtailyoke/core/timer"
	"wagtailyoke/core/world"
)

// Allowances bound the retries of one node to each service, so that those of all nodes
// stay within a ratio of the calls and a slack besides, in any window.
//
// A node earns a part of the ratio with each call that it sends, and its part of the
// slack with time. Callers' own repeats and the repeats of services above are not seen
// here; the parts leave room for them.
type Allowances struct {
	clock  timer.Service
	ratio  float64
	slack  float64
	window time.Duration

	mu     sync.Mutex
	nodes  int
	tokens map[world.ServiceID]*allowance
}

type allowance struct {
	tokens float64
	at     time.Duration
}

const (
	// ratioPart and slackPart are the parts of ratio and slack that nodes spend; the
	// rest covers calls of runs that were themselves retries.
	ratioPart = 0.5
	slackPart = 0.4
	// leastSize is the least number of retries that a node can save up.
	leastSize = 2
)

// NewAllowances returns allowances of a node that knows no others.
func NewAllowances(clock timer.Service, ratio, slack float64, window time.Duration) *Allowances {
	return &Allowances{clock: clock, ratio: ratio, slack: slack, window: window, nodes: 1, tokens: map[world.ServiceID]*allowance{}}
}

// SetNodes sets the number of nodes that share the slack.
func (a *Allowances) SetNodes(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.nodes = max(n, 1)
}

func (a *Allowances) ofLocked(service world.ServiceID) *allowance {
	now := a.clock.Now()
	w := a.tokens[service]
	share := slackPart * a.slack / float64(a.nodes)
	if w == nil {
		w = &allowance{tokens: min(share, leastSize), at: now}
		a.tokens[service] = w
	}
	if a.window > 0 {
		w.tokens += share * (now - w.at).Seconds() / a.window.Seconds()
	}
	w.at = now
	w.tokens = min(w.tokens, max(leastSize, share))
	return w
}

// Sent counts a call to a service.
func (a *Allowances) Sent(service world.ServiceID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ofLocked(service).tokens += ratioPart * a.ratio
}

// Spend takes one retry to a service if there is one.
func (a *Allowances) Spend(service world.ServiceID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	w := a.ofLocked(service)
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}
