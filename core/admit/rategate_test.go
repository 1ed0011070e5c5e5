package admit

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"wagtailyoke/core/timer"
)

// TestRateGateKeepsEachLimit expects that the calls between any two moments are no more than the limits of
// that time allow, and those that had added up.
func TestRateGateKeepsEachLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := timer.NewVirtual()
		gate := NewRateGate(clock)
		allowed, largest := 0.0, 0.0
		gate.SetLimit(0)
		limit, sent := 0.0, 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 4).Draw(t, "changes") == 0 {
				limit = rapid.Float64Range(0, 60).Draw(t, "limit")
				gate.SetLimit(limit)
			}
			d := time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond
			clock.Run(clock.Now() + d)
			allowed += max(limit, minCallRate) * d.Seconds()
			largest = max(largest, limit*rateBurst.Seconds(), 1)
			for gate.WaitFor(0) == 0 {
				gate.Take()
				sent++
			}
			if float64(sent) > allowed+largest {
				t.Fatalf("%d calls sent, %.1f allowed and %.1f added up", sent, allowed, largest)
			}
		}
	})
}

func TestRateGateOpensAsItSays(t *testing.T) {
	c := qt.New(t)
	clock := timer.NewVirtual()
	gate := NewRateGate(clock)
	c.Assert(gate.WaitFor(100), qt.Equals, time.Duration(0))
	gate.SetLimit(10)
	c.Assert(gate.WaitFor(0), qt.Equals, 100*time.Millisecond)
	c.Assert(gate.WaitFor(4), qt.Equals, 500*time.Millisecond)
	clock.Run(clock.Now() + 100*time.Millisecond)
	c.Assert(gate.WaitFor(0), qt.Equals, time.Duration(0))
}

// TestRateGateBelievesTheUpstreamFirst expects a limit that another node knows to count only until the
// upstream has answered.
func TestRateGateBelievesTheUpstreamFirst(t *testing.T) {
	c := qt.New(t)
	clock := timer.NewVirtual()
	gate := NewRateGate(clock)
	c.Assert(gate.Suggest(5), qt.IsTrue)
	c.Assert(gate.Lift(clock.Now()), qt.IsTrue)
	c.Assert(gate.Suggest(5), qt.IsFalse)
	gate.Reset()
	c.Assert(gate.Suggest(5), qt.IsTrue)
	gate.SetLimit(7)
	c.Assert(gate.Suggest(5), qt.IsFalse)
	limit, ok := gate.Limit()
	c.Assert(ok && limit == 7, qt.IsTrue)
}

// TestRateGateIgnoresOldAnswers expects that the answer to a call from before the limit does not lift it.
func TestRateGateIgnoresOldAnswers(t *testing.T) {
	c := qt.New(t)
	clock := timer.NewVirtual()
	gate := NewRateGate(clock)
	sent := clock.Now()
	clock.Run(clock.Now() + time.Second)
	gate.SetLimit(5)
	c.Assert(gate.Lift(sent), qt.IsFalse)
	c.Assert(gate.Lift(clock.Now()), qt.IsTrue)
}
