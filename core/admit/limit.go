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
//	q.Leave(sample) // once for each started ticket
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
	// Start is the limit after a cold start, in calls.
	Start float64
	// Least and Most bound the limit.
	Least float64
	Most  float64
	// Tolerance is the latency inflation, as a factor, that is not yet queueing.
	Tolerance float64
	// Decrease is the factor applied to the limit in a window with queueing.
	Decrease float64
	// Window is the time between decisions.
	Window time.Duration
	// Drift is the factor by which a baseline may rise in a window.
	Drift float64
}

func (o LimitOptions) withDefaults() LimitOptions {
	setDefault(&o.Start, 8)
	setDefault(&o.Least, 2)
	setDefault(&o.Most, 2000)
	setDefault(&o.Tolerance, 1.6)
	setDefault(&o.Decrease, 0.9)
	setDefault(&o.Drift, 1.03)
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
	// Own is the time in the upstream less the time of its child calls.
	Own time.Duration
	// Shed means that the upstream refused the call as overloaded.
	Shed bool
	// Ignore means that the call says nothing about latency: it was cancelled or failed.
	Ignore bool
}

// minSamples is the number of samples needed for a decision.
const minSamples = 5

// Limiter adapts a concurrency limit to an upstream. It grows fast until the
// first sign of queueing, then by small steps, and falls by a factor.
type Limiter struct {
	clock   timer.Service
	options LimitOptions

	mu        sync.Mutex
	limit     float64
	slowStart bool
	baselines map[world.RouteID]float64
	window    window
}

type window struct {
	start     time.Duration
	samples   int
	inflation float64
	sums      map[world.RouteID]*mean
	shed      bool
	saturated bool
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
	l.limit = l.options.Start
	l.slowStart = true
	l.baselines = map[world.RouteID]float64{}
	l.openWindow()
}

// Limit returns the number of calls that may run at once.
func (l *Limiter) Limit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.limit)
}

// Observe takes in a sample. inFlight is the number of calls that ran with it.
func (l *Limiter) Observe(s Sample, inFlight int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if float64(inFlight) >= l.limit-1 {
		l.window.saturated = true
	}
	if s.Shed {
		l.window.shed = true
	}
	if !s.Ignore && !s.Shed {
		l.addLocked(s)
	}
	if l.clock.Now()-l.window.start >= l.options.Window && (l.window.samples >= minSamples || l.window.shed) {
		l.decideLocked()
	}
}

func (l *Limiter) addLocked(s Sample) {
	seconds := math.Max(s.Own.Seconds(), 1e-5)
	base, ok := l.baselines[s.Route]
	if !ok {
		base = seconds
		l.baselines[s.Route] = base
	}
	l.window.samples++
	l.window.inflation += seconds / base
	m := l.window.sums[s.Route]
	if m == nil {
		m = &mean{}
		l.window.sums[s.Route] = m
	}
	m.sum += seconds
	m.n++
}

func (l *Limiter) decideLocked() {
	inflation := 1.0
	if l.window.samples > 0 {
		inflation = l.window.inflation / float64(l.window.samples)
	}
	switch {
	case l.window.shed || inflation > l.options.Tolerance:
		l.limit *= l.options.Decrease
		l.slowStart = false
	case l.window.saturated && l.slowStart:
		l.limit *= 1.5
	case l.window.saturated:
		l.limit += math.Max(1, math.Sqrt(l.limit)/2)
	}
	l.limit = math.Min(math.Max(l.limit, l.options.Least), l.options.Most)
	l.learnLocked()
	l.openWindow()
}

// learnLocked moves each baseline to the window's mean when that is lower, and
// lets it rise slowly otherwise. Without the rise, an upstream that became slower
// for good would be throttled down to the least limit.
func (l *Limiter) learnLocked() {
	for route, m := range l.window.sums {
		if m.n < minSamples {
			continue
		}
		average := m.sum / float64(m.n)
		l.baselines[route] = math.Min(average, l.baselines[route]*l.options.Drift)
	}
}

func (l *Limiter) openWindow() {
	l.window = window{start: l.clock.Now(), sums: map[world.RouteID]*mean{}}
}
