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

import "time"

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

type real struct {
	origin time.Time
}

// NewReal returns a service on the machine's clocks.
func NewReal() Service { return &real{origin: time.Now()} }

func (r *real) Now() time.Duration { return time.Since(r.origin) }

func (r *real) Wall() time.Time { return time.Now() }

func (r *real) After(d time.Duration, f func()) Stop {
	t := time.AfterFunc(d, f)
	return func() { t.Stop() }
}
