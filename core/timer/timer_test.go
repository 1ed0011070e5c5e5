package timer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSuspendedTimeCounts simulates a suspension of the machine, during which the monotonic
// clock stops. Now must include the suspended time, or stale data would count as fresh.
func TestSuspendedTimeCounts(t *testing.T) {
	c := qt.New(t)
	monotonic, boot := time.Second, time.Hour
	r := newReal(time.Now(), func() time.Duration { return monotonic }, func() time.Duration { return boot })
	advance := func(d time.Duration) { monotonic, boot = monotonic+d, boot+d }
	before := r.Now()
	advance(time.Second)
	r.detectSuspension()
	c.Assert(r.Now()-before, qt.Equals, time.Second)
	boot += 4 * time.Second
	advance(10 * time.Millisecond)
	r.detectSuspension()
	c.Assert(r.Now()-before, qt.Equals, 5*time.Second+10*time.Millisecond)
	// A small difference from reading the clocks one after the other is not a suspension, and
	// Now never goes back.
	boot -= 3 * time.Millisecond
	r.detectSuspension()
	c.Assert(r.Now()-before, qt.Equals, 5*time.Second+10*time.Millisecond)
	boot += time.Second
	r.detectSuspension()
	c.Assert(r.Now()-before > 5900*time.Millisecond, qt.IsTrue)
}

// TestRealClockRuns checks that Now advances on the machine's clocks and that no suspension is
// detected without one.
func TestRealClockRuns(t *testing.T) {
	c := qt.New(t)
	r := NewReal().(*real)
	before := r.Now()
	time.Sleep(3 * suspensionCheckInterval)
	c.Assert(r.Now()-before >= 3*suspensionCheckInterval, qt.IsTrue)
	c.Assert(time.Duration(r.suspended.Load()) < minSuspension, qt.IsTrue)
}
