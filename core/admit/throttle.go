package admit

import (
	"sync"
	"time"

	"wagtailyoke/core/timer"
)

// Throttle is the admission level of a line. Its whole part is the grade that is refused
// in part at the entry, its fraction the refused share; grades below are refused whole.
//
// It answers an overload of a service that each request calls several times. Where one
// call in fifty is shed, a request with ten calls fails one time in five, after most of
// its work. So the level follows waiting, which comes before shedding, and falls slowly:
// what is refused at the entry costs nothing, what is shed deeper was worked for.
type Throttle struct {
	clock timer.Service

	mu     sync.Mutex
	value  float64
	most   float64
	start  time.Duration
	waited time.Duration
	// used is the sum of the parts of the slots that were in use when calls started.
	used  float64
	calls int
	shed  int
}

const (
	// throttleWindow is the time between two steps of the level.
	throttleWindow = 100 * time.Millisecond
	// targetWait is the mean wait in line at which the level stands still: a chain of
	// ten calls then waits a fifth of a second.
	targetWait = 20 * time.Millisecond
	// throttleRise is the step of the level in a window with more waiting, shedRise
	// what is added when all calls are shed.
	throttleRise = 0.01
	shedRise     = 0.1
	// throttleFall is the step in a window with little waiting.
	throttleFall = 0.01
	// freeFall is the step in a window in which less than freeUse of the slots were in
	// use: two grades are gone in three to four seconds.
	freeFall = 0.06
	freeUse  = 0.5
	// alwaysPassing is the part of the highest grade that is never refused.
	alwaysPassing = 0.2
	// idleWait is the mean wait below which the level falls.
	idleWait = targetWait / 3
)

// NewThrottle returns a level of 0.
func NewThrottle(clock timer.Service) *Throttle {
	return &Throttle{clock: clock, start: clock.Now()}
}

// SetGrades sets the number of grades. A part of the highest one always passes, so that
// a service that has recovered is noticed.
func (t *Throttle) SetGrades(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.most = max(0, float64(n)-alwaysPassing)
}

// Waited counts a call that started after a wait in line, with the part of the slots in
// use.
func (t *Throttle) Waited(d time.Duration, use float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.roll()
	t.waited += d
	t.used += use
	t.calls++
}

// Shed counts a call that was shed for lack of room.
func (t *Throttle) Shed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.roll()
	t.shed++
}

// Value returns the level.
func (t *Throttle) Value() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.roll()
	return t.value
}

func (t *Throttle) roll() {
	elapsed := t.clock.Now() - t.start
	if elapsed < throttleWindow {
		return
	}
	windows := float64(elapsed / throttleWindow)
	mean := time.Duration(0)
	if t.calls > 0 {
		mean = t.waited / time.Duration(t.calls)
	}
	switch {
	case t.shed > 0 || mean > targetWait:
		share := float64(t.shed) / float64(t.shed+t.calls)
		t.value += throttleRise + shedRise*share
		windows--
		t.value -= windows * throttleFall
	case t.isFree():
		t.value -= windows * freeFall
	case mean < idleWait:
		t.value -= windows * throttleFall
	}
	t.value = min(max(t.value, 0), t.most)
	t.start = t.clock.Now()
	t.waited, t.used, t.calls, t.shed = 0, 0, 0, 0
}

// isFree reports whether slots were free all the time: the overload is over.
func (t *Throttle) isFree() bool {
	return t.calls == 0 || t.used/float64(t.calls) < freeUse
}
