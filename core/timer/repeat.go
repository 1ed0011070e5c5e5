package timer

import (
	"sync"
	"time"
)

// repeater calls f periodically. It sets the next timer only after f has returned, so that
// calls of a slow f never overlap.
type repeater struct {
	service Service
	period  time.Duration
	f       func()

	mu      sync.Mutex
	current Stop
	stopped bool
}

func (e *repeater) schedule() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped {
		return
	}
	e.current = e.service.After(e.period, e.fire)
}

func (e *repeater) fire() {
	e.mu.Lock()
	stopped := e.stopped
	e.mu.Unlock()
	if stopped {
		return
	}
	e.f()
	e.schedule()
}

func (e *repeater) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopped = true
	if e.current != nil {
		e.current()
	}
}
