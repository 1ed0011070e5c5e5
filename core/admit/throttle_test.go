package admit

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wagtailyoke/core/timer"
	"wagtailyoke/core/world"
)

// throttleTest simulates a service with 100 slots and 3 grades. Each admitted request makes one
// call of one second to it.
type throttleTest struct {
	c         *qt.C
	clock     *timer.Virtual
	throttle  *Throttle
	slots     int
	carryOver [3]float64
	// isGraphUnknown means that entry nodes do not know yet that their requests reach the service.
	isGraphUnknown bool
}

func newThrottleTest(c *qt.C) *throttleTest {
	clock := timer.NewVirtual()
	throttle := NewThrottle(clock)
	throttle.SetGrades(3)
	return &throttleTest{c: c, clock: clock, throttle: throttle, slots: 100}
}

// sendRequests offers requests per second by grade. Calls arrive 300 ms after their requests were
// admitted at the level of that time.
func (p *throttleTest) sendRequests(d time.Duration, requested [3]float64) (level float64) {
	const step, delay = 50 * time.Millisecond, 300 * time.Millisecond
	for end := p.clock.Now() + d; p.clock.Now() < end; p.clock.Run(p.clock.Now() + step) {
		level = p.throttle.Value(QueueState{Slots: float64(p.slots), Share: 1, Spread: 1})
		rates := make([]RequestRates, len(requested))
		for g, rate := range requested {
			admitted := rate * AdmittedShare(world.Grade(g), level)
			rates[g] = RequestRates{Requested: rate, Admitted: admitted}
			p.carryOver[g] += admitted * step.Seconds()
			for ; p.carryOver[g] >= 1; p.carryOver[g]-- {
				p.clock.After(delay, func() { p.throttle.CountArrival(world.Grade(g), time.Second) })
			}
		}
		if p.isGraphUnknown {
			rates = []RequestRates{{Requested: 1, Admitted: 1}}
		}
		p.throttle.SetRequestRates(rates)
	}
	return level
}

func expectLevel(c *qt.C, got, want float64) {
	c.Helper()
	c.Assert(math.Abs(got-want) < 0.1, qt.IsTrue, qt.Commentf("level %.2f, want %.2f", got, want))
}

func TestThrottleAdmitsWhatFits(t *testing.T) {
	for name, test := range map[string]struct {
		requested [3]float64
		want      float64
	}{
		"room for all":                         {[3]float64{30, 30, 30}, 0},
		"lowest grade in part":                 {[3]float64{60, 30, 30}, 0.5},
		"lowest grade not at all":              {[3]float64{300, 30, 60}, 1},
		"two grades":                           {[3]float64{100, 100, 50}, 1.6},
		"highest grade in part":                {[3]float64{50, 50, 200}, 2.55},
		"highest grade never refused entirely": {[3]float64{0, 0, 100000}, 2.8},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := newThrottleTest(c)
			p.sendRequests(3*time.Second, [3]float64{20, 10, 10})
			expectLevel(c, p.sendRequests(10*time.Second, test.requested), test.want)
		})
	}
}

// TestThrottleFollowsASurge checks that the level settles soon after a change of demand and does
// not oscillate afterwards.
func TestThrottleFollowsASurge(t *testing.T) {
	c := qt.New(t)
	p := newThrottleTest(c)
	p.sendRequests(5*time.Second, [3]float64{30, 20, 20})
	surge := [3]float64{150, 20, 20}
	p.sendRequests(2*time.Second, surge)
	for range 20 {
		expectLevel(c, p.sendRequests(500*time.Millisecond, surge), 1-50.0/150)
	}
	p.sendRequests(2*time.Second, [3]float64{30, 20, 20})
	expectLevel(c, p.sendRequests(time.Second, [3]float64{30, 20, 20}), 0)
}

// TestThrottleRelearnsRequestCost starts with entry nodes that do not know the call graph, as after
// a loss of all nodes. Once they do, the cost of a request must be learned from counted requests
// only.
func TestThrottleRelearnsRequestCost(t *testing.T) {
	c := qt.New(t)
	p := newThrottleTest(c)
	requested := [3]float64{30, 20, 20}
	p.isGraphUnknown = true
	p.sendRequests(3*time.Second, requested)
	p.isGraphUnknown = false
	for range 20 {
		expectLevel(c, p.sendRequests(250*time.Millisecond, requested), 0)
	}
}

func TestThrottleUsesSpareSlotsOfOtherEndpoints(t *testing.T) {
	c := qt.New(t)
	p := newThrottleTest(c)
	p.throttle.SetOtherEndpoints([]float64{10, 10, 10}, 200)
	expectLevel(c, p.sendRequests(5*time.Second, [3]float64{100, 50, 50}), 0)
	p.throttle.SetOtherEndpoints([]float64{200, 0, 0}, 200)
	c.Assert(p.sendRequests(5*time.Second, [3]float64{100, 50, 50}) > 0.2, qt.IsTrue)
}

func TestThrottleFollowsUpstreamShedding(t *testing.T) {
	c := qt.New(t)
	p := newThrottleTest(c)
	requested := [3]float64{40, 20, 20}
	expectLevel(c, p.sendRequests(5*time.Second, requested), 0)
	for range 40 {
		p.throttle.CountShed()
		p.throttle.CountShed()
		p.sendRequests(100*time.Millisecond, requested)
	}
	c.Assert(p.sendRequests(100*time.Millisecond, requested) > 0.5, qt.IsTrue)
	expectLevel(c, p.sendRequests(30*time.Second, requested), 0)
}

func TestBacklogCountsForItsGrade(t *testing.T) {
	c := qt.New(t)
	p := newThrottleTest(c)
	p.sendRequests(5*time.Second, [3]float64{30, 20, 20})
	level := p.throttle.Value(QueueState{Slots: float64(p.slots), Share: 1, Spread: 1, Backlog: []float64{60, 0, 0}})
	c.Assert(level > 0.1 && level <= 1, qt.IsTrue, qt.Commentf("%.2f", level))
}
