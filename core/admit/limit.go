// Package admit decides, at the node of an upstream, which calls run now, which wait and which are
// shed. At the nodes where requests enter, it decides which of them are refused before any work is
// done.
//
// Two queues admit calls to an upstream. A WaitQueue serves an upstream with a known number of
// slots and orders waiting calls by grade; its Throttle computes an admission level from the slots
// that the calls of each grade need. A FairQueue serves an upstream whose capacity is unknown: a
// Limiter finds how many calls it handles concurrently, and waiting calls start by importance, with
// fair shares among the customers of each importance. Its Level follows from the calls that it sheds.
//
// Entry nodes count requests in OfferedLoad, admit the share given by AdmittedShare and prefer
// the retries that a RetryTracker recognizes. RouteLevels holds the levels that replies report.
//
// # Usage
//
//	q := admit.NewFairQueue(clock, limiter, checks, options)
//	q.Enter(&admit.Ticket{Importance: ..., Start: run, Shed: refuse})
//	q.Leave(ticket, sample) // once for each started ticket
package admit

import (
	"math"
	"sync"
	"time"

	"wagtailyoke/core/timer"
	"wagtailyoke/core/world"
)

// LimitOptions configures a Limiter. Zero fields take their defaults.
type LimitOptions struct {
	// Initial is the limit after a cold start, in calls.
	Initial float64
	// Min and Max bound the limit.
	Min float64
	Max float64
	// Tolerance is the factor of latency inflation up to which no queueing is assumed.
	Tolerance float64
	// Decrease is the factor applied to the limit in a window with queueing.
	Decrease float64
	// Window is the minimum time between changes of the limit.
	Window time.Duration
}

func (o LimitOptions) withDefaults() LimitOptions {
	setDefault(&o.Initial, 16)
	setDefault(&o.Min, 2)
	setDefault(&o.Max, 2000)
	setDefault(&o.Tolerance, 1.3)
	setDefault(&o.Decrease, 0.75)
	if o.Window == 0 {
		o.Window = 100 * time.Millisecond
	}
	return o
}

func setDefault(v *float64, d float64) {
	if *v == 0 {
		*v = d
	}
}

// Sample is the result of one call, as far as it concerns the upstream's capacity.
type Sample struct {
	Route world.RouteID
	// OwnTime is the time in the upstream less the time of its child calls.
	OwnTime time.Duration
	// Shed means that the upstream refused the call as overloaded.
	Shed bool
	// Ignore means that the latency is not usable because the call was cancelled or failed.
	Ignore bool
}

// Constants of a Limiter.
const (
	// minSamples is the number of samples needed to change the limit. During slow start,
	// slowStartSamples are enough.
	minSamples       = 30
	slowStartSamples = 12
	// slowStartGrowth is the growth factor of the limit until the first sign of queueing.
	slowStartGrowth = 1.7
	// growth is the growth factor afterwards.
	growth = 1.05
	// busyShare is the share of the limit in use from which latency inflation is attributed to
	// queueing. Below idleShare, queueing cannot be its cause.
	busyShare = 0.8
	idleShare = 0.5
	// baselineWeight is the weight of a window that is faster than the baseline.
	baselineWeight = 0.3
	// fasterShare is the fraction of the baseline below which the upstream has become faster for
	// good, so that the baseline follows at once.
	fasterShare = 0.6
)

// Limiter adapts a concurrency limit to an upstream. The limit grows fast until the first sign of
// queueing, then in small steps, and is decreased by a factor.
//
// Latency alone cannot distinguish an upstream that queues calls from one that became slower, so
// each decrease is a test. If throughput stays the same, the upstream was queueing. If throughput
// falls with the limit, the upstream is slower: its latency becomes the new baseline and the limit
// is restored.
type Limiter struct {
	clock   timer.Service
	options LimitOptions

	mu        sync.Mutex
	limit     float64
	slowStart bool
	baselines map[world.RouteID]float64
	window    window
	test      *decreaseTest
}

// decreaseTest is the state before a decrease whose effect on throughput is not known yet.
type decreaseTest struct {
	limit      float64
	throughput float64
}

// window collects samples of calls that started in it. Calls that started earlier still show the
// effect of the previous limit.
type window struct {
	start        time.Duration
	completed    int
	samples      int
	inflation    float64
	sums         map[world.RouteID]*latencySum
	shed         bool
	peakInFlight int
}

// latencySum sums the latencies of a route, in seconds.
type latencySum struct {
	sum float64
	n   int
}

// NewLimiter returns a limiter in slow start.
func NewLimiter(clock timer.Service, options LimitOptions) *Limiter {
	l := &Limiter{clock: clock, options: options.withDefaults()}
	l.Reset()
	return l
}

// Reset returns to slow start, as after a cold start of the upstream.
func (l *Limiter) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = l.options.Initial
	l.slowStart = true
	l.baselines = map[world.RouteID]float64{}
	l.test = nil
	l.openWindow()
}

// Limit returns the number of calls that may run concurrently.
func (l *Limiter) Limit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.limit)
}

// Observe records a sample. started is when the call was admitted, inFlight is the number of calls
// that ran at the same time.
func (l *Limiter) Observe(s Sample, started time.Duration, inFlight int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := &l.window
	w.peakInFlight = max(w.peakInFlight, inFlight)
	if s.Shed {
		w.shed = true
	}
	if !s.Ignore && !s.Shed {
		w.completed++
		if started >= w.start {
			l.addSampleLocked(s)
		}
	}
	elapsed := l.clock.Now() - w.start
	if elapsed >= l.options.Window && (w.samples >= l.minSamplesLocked() || w.shed) {
		l.adjustLocked(elapsed)
	}
}

func (l *Limiter) minSamplesLocked() int {
	if l.slowStart {
		return slowStartSamples
	}
	return minSamples
}

func (l *Limiter) addSampleLocked(s Sample) {
	seconds := math.Max(s.OwnTime.Seconds(), 1e-5)
	l.window.samples++
	if base, ok := l.baselines[s.Route]; ok {
		l.window.inflation += seconds / base
	} else {
		l.window.inflation++
	}
	m := l.window.sums[s.Route]
	if m == nil {
		m = &latencySum{}
		l.window.sums[s.Route] = m
	}
	m.sum += seconds
	m.n++
}

func (l *Limiter) adjustLocked(elapsed time.Duration) {
	w := &l.window
	inflation := 1.0
	if w.samples > 0 {
		inflation = w.inflation / float64(w.samples)
	}
	throughput := float64(w.completed) / elapsed.Seconds()
	isSaturated := float64(w.peakInFlight) >= l.limit-1
	isIdle := float64(w.peakInFlight) < idleShare*l.limit
	switch {
	case w.shed:
		l.decreaseLocked()
		l.test = nil
	case l.test != nil && isSaturated && l.throughputFell(throughput):
		l.limit = l.test.limit
		l.test = nil
		l.resetBaselinesLocked()
	case inflation > l.options.Tolerance && isIdle:
		l.resetBaselinesLocked()
	case inflation > l.options.Tolerance && float64(w.peakInFlight) >= busyShare*l.limit:
		before := decreaseTest{limit: l.limit, throughput: throughput}
		l.decreaseLocked()
		l.test = &before
	case isSaturated:
		l.test = nil
		l.increaseLocked()
	}
	l.lowerBaselinesLocked()
	l.openWindow()
}

// throughputFell reports whether throughput fell by more than half as much as the limit did. Such a
// fall is beyond the noise of one window.
func (l *Limiter) throughputFell(throughput float64) bool {
	expected := l.test.throughput * (1 + l.limit/l.test.limit) / 2
	return throughput < expected
}

func (l *Limiter) decreaseLocked() {
	l.limit = math.Max(l.limit*l.options.Decrease, l.options.Min)
	l.slowStart = false
}

func (l *Limiter) increaseLocked() {
	if l.slowStart {
		l.limit *= slowStartGrowth
	} else {
		l.limit = math.Max(l.limit+1, l.limit*growth)
	}
	l.limit = math.Min(l.limit, l.options.Max)
}

// resetBaselinesLocked makes the window's latency the new baseline.
func (l *Limiter) resetBaselinesLocked() {
	for route, m := range l.window.sums {
		l.baselines[route] = m.sum / float64(m.n)
	}
}

// lowerBaselinesLocked lowers the baselines of routes that were faster in the window. A latency far
// below the baseline is adopted at once, others slowly, because the minimum of many noisy windows
// would be too low.
func (l *Limiter) lowerBaselinesLocked() {
	for route, m := range l.window.sums {
		average := m.sum / float64(m.n)
		base, ok := l.baselines[route]
		switch {
		case !ok || average < fasterShare*base && m.n >= slowStartSamples:
			l.baselines[route] = average
		case average < base && m.n >= slowStartSamples:
			l.baselines[route] += baselineWeight * (average - base)
		}
	}
}

func (l *Limiter) openWindow() {
	l.window = window{start: l.clock.Now(), sums: map[world.RouteID]*latencySum{}}
}
