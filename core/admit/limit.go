// Package admit decides at the node of an upstream which calls it runs now,
// which wait and which are shed.
//
// A Limiter finds how many calls the upstream handles at once. A Queue holds the
// calls beyond that limit, ordered by importance and then by customer, and sheds
// from the bottom. A Pressure tells entry nodes what would be shed deeper, so
// that they refuse it before any work is done.
//
// # Usage
//
//	q := admit.NewQueue(clock, limiter, checks, options)
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

// LimitOptions tunes a Limiter. The zero value takes the defaults.
type LimitOptions struct {
	// Initial is the limit after a cold start, in calls.
	Initial float64
	// Min and Most bound the limit.
	Min float64
	Max float64
	// Tolerance is the latency inflation, as a factor, that is not yet queueing.
	Tolerance float64
	// Decrease is the factor applied to the limit in a window with queueing.
	Decrease float64
	// Window is the least time between decisions.
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

// Sample is what the end of one call tells about its upstream.
type Sample struct {
	Route world.RouteID
	// OwnTime is the time in the upstream less the time of its child calls.
	OwnTime time.Duration
	// Shed means that the upstream refused the call as overloaded.
	Shed bool
	// Ignore means that the call says nothing about latency: it was cancelled or failed.
	Ignore bool
}

// Tuning of a Limiter.
const (
	// minSamples is the number of samples for a decision; in slow start fewer do.
	minSamples       = 30
	slowStartSamples = 12
	// slowStartGrowth is the factor of growth until the first sign of queueing.
	slowStartGrowth = 1.7
	// growth is the factor of growth afterwards.
	growth = 1.05
	// busyShare is the share of the limit in use from which latency is taken as
	// queueing; below idleShare it cannot come from queueing.
	busyShare = 0.8
	idleShare = 0.5
	// baselineWeight is the weight of a window that is faster than the baseline.
	baselineWeight = 0.3
	// fasterShare is the share of the baseline below which the upstream has become
	// faster for good, and the baseline follows at once.
	fasterShare = 0.6
)

// Limiter adapts a concurrency limit to an upstream. It grows fast until the first
// sign of queueing, then by small steps, and falls by a factor.
//
// Latency alone cannot tell an upstream that queues from one that became slower.
// So each fall is a test: if throughput stays, the upstream was queueing; if it
// falls with the limit, the upstream is slower, its latency is the new baseline and
// the limit is restored.
type Limiter struct {
	clock   timer.Service
	options LimitOptions

	mu        sync.Mutex
	limit     float64
	slowStart bool
	baselines map[world.RouteID]float64
	window    window
	test      *fall
}

// fall is a decrease whose effect on throughput is awaited.
type fall struct {
	limit      float64
	throughput float64
}

// window collects the calls that started in it: those that started earlier still
// show the limit before.
type window struct {
	start     time.Duration
	ended     int
	samples   int
	inflation float64
	sums      map[world.RouteID]*mean
	shed      bool
	peak      int
}

type mean struct {
	sum float64
	n   int
}

// NewLimiter returns a limiter in slow start.
func NewLimiter(clock timer.Service, options LimitOptions) *Limiter {
	l := &Limiter{clock: clock, options: options.withDefaults()}
	l.Reset()
	return l
}

// Reset starts over, as after a cold start of the upstream.
func (l *Limiter) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = l.options.Initial
	l.slowStart = true
	l.baselines = map[world.RouteID]float64{}
	l.test = nil
	l.openWindow()
}

// Limit returns the number of calls that may run at once.
func (l *Limiter) Limit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.limit)
}

// Observe takes in a sample. started is when the call was admitted, inFlight the
// number of calls that ran with it.
func (l *Limiter) Observe(s Sample, started time.Duration, inFlight int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := &l.window
	w.peak = max(w.peak, inFlight)
	if s.Shed {
		w.shed = true
	}
	if !s.Ignore && !s.Shed {
		w.ended++
		if started >= w.start {
			l.addLocked(s)
		}
	}
	elapsed := l.clock.Now() - w.start
	if elapsed >= l.options.Window && (w.samples >= l.samplesNeeded() || w.shed) {
		l.decideLocked(elapsed)
	}
}

func (l *Limiter) samplesNeeded() int {
	if l.slowStart {
		return slowStartSamples
	}
	return minSamples
}

func (l *Limiter) addLocked(s Sample) {
	seconds := math.Max(s.OwnTime.Seconds(), 1e-5)
	l.window.samples++
	if base, ok := l.baselines[s.Route]; ok {
		l.window.inflation += seconds / base
	} else {
		l.window.inflation++
	}
	m := l.window.sums[s.Route]
	if m == nil {
		m = &mean{}
		l.window.sums[s.Route] = m
	}
	m.sum += seconds
	m.n++
}

func (l *Limiter) decideLocked(elapsed time.Duration) {
	w := &l.window
	inflation := 1.0
	if w.samples > 0 {
		inflation = w.inflation / float64(w.samples)
	}
	throughput := float64(w.ended) / elapsed.Seconds()
	isSaturated := float64(w.peak) >= l.limit-1
	isIdle := float64(w.peak) < idleShare*l.limit
	switch {
	case w.shed:
		l.fallLocked()
		l.test = nil
	case l.test != nil && isSaturated && l.isSlower(throughput):
		l.limit = l.test.limit
		l.test = nil
		l.rebaseLocked()
	case inflation > l.options.Tolerance && isIdle:
		l.rebaseLocked()
	case inflation > l.options.Tolerance && float64(w.peak) >= busyShare*l.limit:
		before := fall{limit: l.limit, throughput: throughput}
		l.fallLocked()
		l.test = &before
	case isSaturated:
		l.test = nil
		l.growLocked()
	}
	l.learnLocked()
	l.openWindow()
}

// isSlower reports whether throughput fell with the limit, by more than half as
// much: that much is beyond the noise of one window.
func (l *Limiter) isSlower(throughput float64) bool {
	expected := l.test.throughput * (1 + l.limit/l.test.limit) / 2
	return throughput < expected
}

func (l *Limiter) fallLocked() {
	l.limit = math.Max(l.limit*l.options.Decrease, l.options.Min)
	l.slowStart = false
}

func (l *Limiter) growLocked() {
	if l.slowStart {
		l.limit *= slowStartGrowth
	} else {
		l.limit = math.Max(l.limit+1, l.limit*growth)
	}
	l.limit = math.Min(l.limit, l.options.Max)
}

// rebaseLocked takes the window's latency as the new baseline.
func (l *Limiter) rebaseLocked() {
	for route, m := range l.window.sums {
		l.baselines[route] = m.sum / float64(m.n)
	}
}

// learnLocked moves baselines down with windows that were faster. One that is far
// below is followed at once, others slowly, since the least of many noisy windows
// would be too low.
func (l *Limiter) learnLocked() {
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
	l.window = window{start: l.clock.Now(), sums: map[world.RouteID]*mean{}}
}
