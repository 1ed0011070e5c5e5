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

// fleet plays nodes that retry whenever they may, and counts calls and retries of all.
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
		a := NewLimiter(f.clock, ratio, slack, window)
		a.SetNodeCount(nodes)
		f.nodes = append(f.nodes, a)
	}
	return f
}

// play sends calls for a while, at a rate a second.
func (f *fleet) play(d time.Duration, rate int, isBad bool) {
	if rate == 0 {
		f.clock.Run(f.clock.Now() + d)
		f.tell()
		return
	}
	for i, end := 0, f.clock.Now()+d; f.clock.Now() < end; i++ {
		f.clock.Run(f.clock.Now() + time.Second/time.Duration(rate))
		if i%(rate/4+1) == 0 {
			f.tell()
		}
		a := f.nodes[i%len(f.nodes)]
		a.CountCall("gate")
		f.calls = append(f.calls, f.clock.Now())
		for isBad && a.Allow("gate", f.urgency) {
			f.retries = append(f.retries, f.clock.Now())
		}
	}
}

// tell tells the nodes the calls of the last second, which are half a second old.
func (f *fleet) tell() {
	at := f.clock.Now() - 500*time.Millisecond
	rates := map[world.ServiceID]float64{"gate": countIn(f.calls, at-time.Second, at)}
	for _, a := range f.nodes {
		a.SetCallRates(rates)
	}
}

func countIn(times []time.Duration, after, upTo time.Duration) float64 {
	first := sort.Search(len(times), func(i int) bool { return times[i] > after })
	last := sort.Search(len(times), func(i int) bool { return times[i] > upTo })
	return float64(last - first)
}

// worst returns the largest excess of the retries in a window over what its calls, or those
// of the one before it or half before it, allow.
func (f *fleet) worst() float64 {
	worst := -slack
	for _, end := range f.retries {
		calls := 0.0
		for _, ago := range []time.Duration{0, window / 2, window} {
			calls = max(calls, countIn(f.calls, end-ago-window, end-ago))
		}
		worst = max(worst, countIn(f.retries, end-window, end)-ratio*calls-slack)
	}
	return worst
}

// TestAllowancesStayWithinTheBudgetOfAllNodes plays any load, with times at which each call
// is retried as often as may be.
func TestAllowancesStayWithinTheBudgetOfAllNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 12).Draw(t, "nodes"))
		for range rapid.IntRange(1, 6).Draw(t, "phases") {
			f.play(time.Duration(rapid.IntRange(1, 15).Draw(t, "seconds"))*time.Second,
				rapid.SampledFrom([]int{0, 1, 20, 400}).Draw(t, "rate"), rapid.Bool().Draw(t, "isBad"))
		}
		if excess := f.worst(); excess > 0 {
			t.Fatalf("%.0f retries too many in a window", excess)
		}
	})
}

// TestTroubleFindsAStock expects that a service that is in trouble for some seconds gets
// most of what a window allows.
func TestTroubleFindsAStock(t *testing.T) {
	c := qt.New(t)
	f := newFleet(12)
	f.play(20*time.Second, 400, false)
	f.play(5*time.Second, 400, true)
	c.Assert(float64(len(f.retries)) > 0.5*ratio*400*window.Seconds(), qt.IsTrue, qt.Commentf("%d retries", len(f.retries)))
}

// TestLessImportantCallsLeaveRetriesToOthers expects that they stop before the stock is
// spent, and retry single failures.
func TestLessImportantCallsLeaveRetriesToOthers(t *testing.T) {
	c := qt.New(t)
	f := newFleet(12)
	f.play(20*time.Second, 400, false)
	f.urgency = 0
	f.play(time.Second, 400, true)
	few := len(f.retries)
	c.Assert(few > 0, qt.IsTrue)
	f.urgency = 1
	f.play(time.Second, 400, true)
	c.Assert(len(f.retries) > 3*few, qt.IsTrue, qt.Commentf("%d, then %d", few, len(f.retries)))
}

// restart starts the process of a node anew. It hears of the others a little later.
func (f *fleet) restart(i int) {
	f.nodes[i] = NewLimiter(f.clock, ratio, slack, window)
	a, n := f.nodes[i], len(f.nodes)
	f.clock.After(250*time.Millisecond, func() { a.SetNodeCount(n) })
}

// TestAllowancesStayWithinTheBudgetThroughRestarts: what a process has spent before it ended
// counts on.
func TestAllowancesStayWithinTheBudgetThroughRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 12).Draw(t, "nodes"))
		for range rapid.IntRange(1, 30).Draw(t, "phases") {
			f.play(time.Duration(rapid.IntRange(200, 6000).Draw(t, "ms"))*time.Millisecond,
				rapid.SampledFrom([]int{0, 1, 20, 100, 400}).Draw(t, "rate"), rapid.Bool().Draw(t, "isBad"))
			if rapid.Bool().Draw(t, "restart") {
				for i := range rapid.IntRange(0, len(f.nodes)).Draw(t, "restarted") {
					f.restart(i)
				}
			}
		}
		if excess := f.worst(); excess > 0 {
			t.Fatalf("%.0f retries too many in a window", excess)
		}
	})
}
