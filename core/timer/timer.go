// Package timer provides the clock and timers that all other packages use. They never read
// the machine's clock directly but through a Service, which is real in a process and virtual
// in a test.
//
// # Usage
//
//	clock := timer.NewReal()
//	stop := clock.After(50*time.Millisecond, func() { ... })
//	defer stop()
//
// For tests, NewVirtual returns a clock that advances only when Run is called and that calls
// callbacks in a fixed order.
package timer

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Stop cancels a timer. It may be called more than once.
type Stop func()

// Service provides the current time and timers.
type Service interface {
	// Now returns a monotonic instant. Its origin is arbitrary.
	Now() time.Duration
	// Wall returns the wall-clock time, which may jump in either direction.
	Wall() time.Time
	// After calls f once, after the duration d, on a goroutine of the service.
	After(d time.Duration, f func()) Stop
}

// Every calls f repeatedly with the given period until stopped.
func Every(s Service, period time.Duration, f func()) Stop {
	e := &repeater{service: s, period: period, f: f}
	e.schedule()
	return e.stop
}

// real is the Service on the machine's clocks. The monotonic clock stops while the machine is
// suspended, so data that was fresh before a suspension would still count as fresh afterwards.
// The boot clock, which does not stop, is used to add the suspended time.
type real struct {
	origin time.Time
	// monotonicClock excludes suspended time; bootClock includes it.
	monotonicClock, bootClock func() time.Duration
	// suspended is the suspended time since the start, in nanoseconds.
	suspended atomic.Int64
	// initialOffset is the difference between bootClock and monotonicClock at the start.
	initialOffset time.Duration
}

const (
	// suspensionCheckInterval is the interval between two checks for suspended time. After a
	// suspension, Now excludes the suspended time until the next check.
	suspensionCheckInterval = 100 * time.Millisecond
	// minSuspension is the smallest increase of the clocks' difference that counts as a
	// suspension. Smaller ones can arise because the two clocks are read one after the other.
	minSuspension = 20 * time.Millisecond
)

// NewReal returns a Service on the machine's clocks.
func NewReal() Service {
	origin := time.Now()
	r := newReal(origin, func() time.Duration { return time.Since(origin) }, bootTime)
	Every(r, suspensionCheckInterval, r.detectSuspension)
	return r
}

func newReal(origin time.Time, monotonicClock, bootClock func() time.Duration) *real {
	r := &real{origin: origin, monotonicClock: monotonicClock, bootClock: bootClock}
	r.initialOffset = bootClock() - monotonicClock()
	return r
}

// bootTime returns the time since boot including the time the machine was suspended. Without
// such a clock it returns 0, and suspensions are not detected.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

func (r *real) detectSuspension() {
	if gap := r.bootClock() - r.monotonicClock() - r.initialOffset; gap-time.Duration(r.suspended.Load()) >= minSuspension {
		r.suspended.Store(int64(gap))
	}
}

func (r *real) Now() time.Duration { return r.monotonicClock() + time.Duration(r.suspended.Load()) }

func (r *real) Wall() time.Time { return time.Now() }

func (r *real) After(d time.Duration, f func()) Stop {
	t := time.AfterFunc(d, f)
	return func() { t.Stop() }
}
