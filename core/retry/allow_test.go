package retry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wagtailyoke/core/timer"
)

// TestAllowancesStayWithinTheBudgetOfAllNodes plays nodes that would repeat every call and
// counts the retries of all of them in each window.
func TestAllowancesStayWithinTheBudgetOfAllNodes(t *testing.T) {
	c := qt.New(t)
	const (
		ratio, slack = 0.2, 47.0
		window       = 10 * time.Second
		nodes        = 12
		callsPerS    = 200
	)
	clock := timer.NewVirtual()
	var all []*Allowances
	for range nodes {
		a := NewAllowances(clock, ratio, slack, window)
		a.SetNodes(nodes)
		all = append(all, a)
	}
	var retries []time.Duration
	for i := range callsPerS * 40 {
		clock.Run(time.Duration(i) * time.Second / callsPerS)
		a := all[i%nodes]
		a.Sent("gate")
		for a.Spend("gate") {
			retries = append(retries, clock.Now())
		}
	}
	first, most := 0, 0
	for i, at := range retries {
		for at-retries[first] > window {
			first++
		}
		most = max(most, i-first+1)
	}
	allowed := ratio*callsPerS*window.Seconds() + slack
	c.Assert(float64(most) <= allowed, qt.IsTrue, qt.Commentf("%d retries in a window, allowed %.0f", most, allowed))
	c.Assert(most > 50, qt.IsTrue)
}
