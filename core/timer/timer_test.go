package timer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSuspendedTimeCounts suspends the machine: its monotonic clock stands still, and what was fresh
// before must not pass for fresh after.
func TestSuspendedTimeCounts(t *testing.T) {
	c := qt.New(t)
	running, whole := time.Second, time.Hour
	r := newReal(time.Now(), func() time.Duration { return running }, func() time.Duration { return whole })
	pass := func(d time.Duration) { running, whole = running+d, whole+d }
	before := r.Now()
	pass(time.Second)
	r.lookForSuspension()
	c.Assert(r.Now()-before, qt.Equals, time.Second)
	whole += 4 * time.Second
	pass(10 * time.Millisecond)
	r.lookForSuspension()
	c.Assert(r.Now()-before, qt.Equals, 5*time.Second+10*time.Millisecond)
	// Reading the clocks one after the other is no suspension, and time never runs back.
	whole -= 3 * time.Millisecond
	r.lookForSuspension()
	c.Assert(r.Now()-before, qt.Equals, 5*time.Second+10*time.Millisecond)
	whole += time.Second
	r.lookForSuspension()
	c.Assert(r.Now()-before > 5900*time.Millisecond, qt.IsTrue)
}

// TestRealClockRuns looks for a suspension on the machine's own clocks.
func TestRealClockRuns(t *testing.T) {
	c := qt.New(t)
	r := NewReal().(*real)
	before := r.Now()
	time.Sleep(3 * suspendCheck)
	c.Assert(r.Now()-before >= 3*suspendCheck, qt.IsTrue)
	c.Assert(time.Duration(r.suspended.Load()) < leastSuspended, qt.IsTrue)
}
