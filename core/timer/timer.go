// Package timer provides the time service that all decisions use. Parts never
// read the clock of the machine: they ask a Service, which is real in a process
// and virtual in a test.
//
// # Usage
//
//	clock := timer.NewReal()
//	stop := clock.After(50*time.Millisecond, func() { ... })
//	defer stop()
//
// In tests, NewVirtual returns a clock that moves only when Run is called and
// that calls subscribers in a fixed order.
package timer

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Stop cancels a subscription. It may be called more than once.
type Stop func()

// Service tells the time and calls subscribers later.
type Service interface {
	// Now is a monotonic instant. Its origin is arbitrary.
	Now() time.Duration
	// Wall is the wall-clock time. It may step.
	Wall() time.Time
	// After calls f once, d after now, on a goroutine of the service.
	After(d time.Duration, f func()) Stop
}

// Every calls f repeatedly with the given period until stopped.
func Every(s Service, period time.Duration, f func()) Stop {
	e := &repeater{service: s, period: period, f: f}
	e.schedule()
	return e.stop
}

// real is the service on the machine's clocks. The monotonic clock stands still while the machine
// is suspended, so what was said to be fresh before would pass for fresh after: a clock that goes
// on all the while tells how long that was.
type real struct {
	origin time.Time
	// running and whole are the monotonic clock and the one that counts suspended time.
	running, whole func() time.Duration
	// suspended is the time, in nanoseconds, by which whole has run ahead of running.
	suspended atomic.Int64
	// ahead is by how much whole was ahead of running at the start.
	ahead time.Duration
}

const (
	// suspendCheck is the time between two looks for suspended time: what is done in between after
	// a suspension is done by the old time.
	suspendCheck = 100 * time.Millisecond
	// leastSuspended is the difference of the clocks that counts: reading both takes some time.
	leastSuspended = 20 * time.Millisecond
)

// NewReal returns a service on the machine's clocks.
func NewReal() Service {
	origin := time.Now()
	r := newReal(origin, func() time.Duration { return time.Since(origin) }, bootTime)
	Every(r, suspendCheck, r.lookForSuspension)
	return r
}

func newReal(origin time.Time, running, whole func() time.Duration) *real {
	r := &real{origin: origin, running: running, whole: whole}
	r.ahead = whole() - running()
	return r
}

// bootTime reads the clock that also counts the time in which the machine is suspended. A machine
// without one never seems to have been suspended.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

func (r *real) lookForSuspension() {
	if gap := r.whole() - r.running() - r.ahead; gap-time.Duration(r.suspended.Load()) >= leastSuspended {
		r.suspended.Store(int64(gap))
	}
}

func (r *real) Now() time.Duration { return r.running() + time.Duration(r.suspended.Load()) }

func (r *real) Wall() time.Time { return time.Now() }

func (r *real) After(d time.Duration, f func()) Stop {
	t := time.AfterFunc(d, f)
	return func() { t.Stop() }
}
