package node_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wagtailyoke/core/world"
)

// Bounds of the calls to an upstream that names a limit, as in the mesh.
const (
	limitBindsAfter = 3 * time.Second
	limitWindow     = 4 * time.Second
	limitOverage    = 1.5
	limitSlack      = 5
)

// mostCalls returns the largest number of calls in a limitWindow from a time on.
func (u *upstream) mostCalls(from time.Duration) int {
	most := 0
	for i, first := range u.starts {
		n := 0
		for _, at := range u.starts[i:] {
			if first >= from && at-first <= limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

func TestCallLimitOfUpstreamIsKept(t *testing.T) {
	c := qt.New(t)
	const limit = 2.5
	f := newCalm(6, 3, 4)
	f.generateLoad(60, 15*time.Second)
	f.run(3 * time.Second)
	usual := f.vms[0].up.mostCalls(0)
	for _, v := range f.vms[:6] {
		v.up.notice = world.UpstreamNotice{HasCallLimit: true, CallLimit: limit}
	}
	since := f.clock.Now()
	f.run(15 * time.Second)
	expectClean(t, 6, f)
	c.Assert(usual > limitOverage*limit*4+limitSlack, qt.IsTrue, qt.Commentf("%d calls in 3 s before the limit", usual))
	for _, v := range f.vms[:6] {
		most := v.up.mostCalls(since + limitBindsAfter)
		c.Check(float64(most) <= limitOverage*limit*limitWindow.Seconds()+limitSlack, qt.IsTrue, qt.Commentf("%s got %d calls in %v", v.info.Name, most, limitWindow))
	}
}

func TestUpstreamThatSaysItLeavesGetsNoCalls(t *testing.T) {
	c := qt.New(t)
	f := newCalm(7, 3, 4)
	f.generateLoad(60, 10*time.Second)
	f.run(2 * time.Second)
	for _, v := range f.vms[:6] {
		v.up.notice.IsLeaving = true
	}
	f.run(time.Second)
	var calls []int
	for _, v := range f.vms[:6] {
		calls = append(calls, len(v.up.starts))
	}
	f.run(10 * time.Second)
	expectClean(t, 7, f)
	for i, v := range f.vms[:6] {
		c.Check(len(v.up.starts), qt.Equals, calls[i], qt.Commentf("%s", v.info.Name))
	}
}
