package retry

import (
	"sort"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"wagtailyoke/core/timer"
	"wagtailyoke/core/world"
)

// fleet simulates nodes that retry as often as they are allowed to, and records the calls and
// retries of all nodes.
type fleet struct {
	clock          *timer.Virtual
	nodes          []*Limiter
	calls, retries []time.Duration
	urgency        float64
}

const (
	ratio, slack = 0.2, 47.0
	window       = 10 * time.Second
)

func newFleet(nodes int) *fleet {
	f := &fleet{clock: timer.NewVirtual(), urgency: 1}
	for range nodes {
		l := NewLimiter(f.clock, ratio, slack, window)
		l.SetNodeCount(nodes)
		f.nodes = append(f.nodes, l)
	}
	return f
}

// run sends calls for a duration, at a rate per second.
func (f *fleet) run(d time.Duration, rate int, isFailing bool) {
	if rate == 0 {
		f.clock.Run(f.clock.Now() + d)
		f.updateRates()
		return
	}
	for i, end := 0, f.clock.Now()+d; f.clock.Now() < end; i++ {
		f.clock.Run(f.clock.Now() + time.Second/time.Duration(rate))
		if i%(rate/4+1) == 0 {
			f.updateRates()
		}
		l := f.nodes[i%len(f.nodes)]
		l.CountCall("gate")
		f.calls = append(f.calls, f.clock.Now())
		for isFailing && l.Allow("gate", f.urgency) {
			f.retries = append(f.retries, f.clock.Now())
		}
	}
}

// updateRates gives the nodes the calls of the last second, delayed by half a second.
func (f *fleet) updateRates() {
	at := f.clock.Now() - 500*time.Millisecond
	rates := map[world.ServiceID]float64{"gate": countIn(f.calls, at-time.Second, at)}
	for _, l := range f.nodes {
		l.SetCallRates(rates)
	}
}

func countIn(times []time.Duration, after, upTo time.Duration) float64 {
	first := sort.Search(len(times), func(i int) bool { return times[i] > after })
	last := sort.Search(len(times), func(i int) bool { return times[i] > upTo })
	return float64(last - first)
}

// maxExcess returns the largest excess of the retries in a window over what the calls of that
// window, of the one half a window earlier or of the one before it allow.
func (f *fleet) maxExcess() float64 {
	highest := -slack
	for _, end := range f.retries {
		calls := 0.0
		for _, ago := range []time.Duration{0, window / 2, window} {
			calls = max(calls, countIn(f.calls, end-ago-window, end-ago))
		}
		highest = max(highest, countIn(f.retries, end-window, end)-ratio*calls-slack)
	}
	return highest
}

// TestLimitersStayWithinBudgetOfAllNodes simulates any load, with phases in which each call is
// retried as often as possible.
func TestLimitersStayWithinBudgetOfAllNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 12).Draw(t, "nodes"))
		for range rapid.IntRange(1, 6).Draw(t, "phases") {
			f.run(time.Duration(rapid.IntRange(1, 15).Draw(t, "seconds"))*time.Second,
				rapid.SampledFrom([]int{0, 1, 20, 400}).Draw(t, "rate"), rapid.Bool().Draw(t, "isBad"))
		}
		if excess := f.maxExcess(); excess > 0 {
			t.Fatalf("retries in a window exceed the budget by %.0f", excess)
		}
	})
}

// TestSavedRetriesAreAvailableInOutage checks that a service that fails for some seconds gets most
// of the retries that a window allows.
func TestSavedRetriesAreAvailableInOutage(t *testing.T) {
	c := qt.New(t)
	f := newFleet(12)
	f.run(20*time.Second, 400, false)
	f.run(5*time.Second, 400, true)
	c.Assert(float64(len(f.retries)) > 0.5*ratio*400*window.Seconds(), qt.IsTrue, qt.Commentf("%d retries", len(f.retries)))
}

// TestLessImportantCallsReserveRetriesForOthers checks that less important calls stop retrying
// before the saved retries are spent, but may still retry single failures.
func TestLessImportantCallsReserveRetriesForOthers(t *testing.T) {
	c := qt.New(t)
	f := newFleet(12)
	f.run(20*time.Second, 400, false)
	f.urgency = 0
	f.run(time.Second, 400, true)
	few := len(f.retries)
	c.Assert(few > 0, qt.IsTrue)
	f.urgency = 1
	f.run(time.Second, 400, true)
	c.Assert(len(f.retries) > 3*few, qt.IsTrue, qt.Commentf("%d retries of unimportant calls, then %d in total", few, len(f.retries)))
}

// restart starts a new process of a node. It learns the number of nodes 250 ms later.
func (f *fleet) restart(i int) {
	f.nodes[i] = NewLimiter(f.clock, ratio, slack, window)
	l, n := f.nodes[i], len(f.nodes)
	f.clock.After(250*time.Millisecond, func() { l.SetNodeCount(n) })
}

// TestLimitersStayWithinBudgetAcrossRestarts checks that the retries that a process spent before
// its end still count in the window.
func TestLimitersStayWithinBudgetAcrossRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 12).Draw(t, "nodes"))
		for range rapid.IntRange(1, 30).Draw(t, "phases") {
			f.run(time.Duration(rapid.IntRange(200, 6000).Draw(t, "ms"))*time.Millisecond,
				rapid.SampledFrom([]int{0, 1, 20, 100, 400}).Draw(t, "rate"), rapid.Bool().Draw(t, "isBad"))
			if rapid.Bool().Draw(t, "restart") {
				for i := range rapid.IntRange(0, len(f.nodes)).Draw(t, "restarted") {
					f.restart(i)
				}
			}
		}
		if excess := f.maxExcess(); excess > 0 {
			t.Fatalf("retries in a window exceed the budget by %.0f", excess)
		}
	})
}
