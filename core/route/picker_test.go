package route_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wagtailyoke/core/route"
	"wagtailyoke/core/timer"
	"wagtailyoke/core/world"
)

func endpoints(domains, perDomain int) []route.Endpoint {
	var all []route.Endpoint
	for d := range domains {
		for i := range perDomain {
			all = append(all, route.Endpoint{
				Node: world.NodeID(fmt.Sprintf("d%d-%d", d, i)), Domain: world.DomainID(fmt.Sprintf("d%d", d)), Service: "s", IsReady: true,
			})
		}
	}
	return all
}

func newPicker(domains, perDomain int) (*timer.Virtual, *route.Picker) {
	clock := timer.NewVirtual()
	clock.Run(time.Minute)
	p := route.NewPicker(clock, rand.New(rand.NewSource(1)), "d0")
	p.Update(endpoints(domains, perDomain))
	return clock, p
}

// countPicks makes n calls that end with the given outcome and counts them by the
// failure domain that was chosen.
func countPicks(p *route.Picker, n int, outcome func(route.Endpoint) route.Outcome) map[world.DomainID]int {
	counts := map[world.DomainID]int{}
	for range n {
		e, ok := p.Pick("s", nil)
		if !ok {
			continue
		}
		counts[e.Domain]++
		p.Done(e.Node, outcome(e))
	}
	return counts
}

func TestOwnDomainFirst(t *testing.T) {
	_, p := newPicker(3, 4)
	counts := countPicks(p, 1000, func(route.Endpoint) route.Outcome { return route.Outcome{Load: 5, Limit: 20} })
	qt.New(t).Assert(counts["d0"], qt.Equals, 1000)
}

func TestSpillOver(t *testing.T) {
	c := qt.New(t)
	_, p := newPicker(3, 4)
	counts := countPicks(p, 1000, func(e route.Endpoint) route.Outcome {
		if e.Domain == "d0" {
			return route.Outcome{Load: 60, Limit: 20}
		}
		return route.Outcome{Load: 2, Limit: 20}
	})
	c.Assert(counts["d0"] < 100, qt.IsTrue, qt.Commentf("%v", counts))
}

// TestFailingEndpoint checks that a failing endpoint is excluded, and that excluded
// endpoints are still used when all of them fail.
func TestFailingEndpoint(t *testing.T) {
	c := qt.New(t)
	clock, p := newPicker(1, 4)
	failing := 0
	for range 1000 {
		e, ok := p.Pick("s", nil)
		c.Assert(ok, qt.IsTrue)
		isBad := e.Node == "d0-0"
		if isBad {
			failing++
		}
		p.Done(e.Node, route.Outcome{Failed: isBad, Load: 1, Limit: 20})
		clock.Run(clock.Now() + time.Millisecond)
	}
	c.Assert(failing < 10, qt.IsTrue, qt.Commentf("%d calls went to the failing endpoint", failing))
	for range 100 {
		e, ok := p.Pick("s", nil)
		c.Assert(ok, qt.IsTrue)
		p.Done(e.Node, route.Outcome{Failed: true})
	}
}

func TestDrainReportOverridesRoster(t *testing.T) {
	c := qt.New(t)
	clock, p := newPicker(1, 1)
	p.Done("d0-0", route.Outcome{Draining: true})
	p.Update(endpoints(1, 1))
	_, ok := p.Pick("s", nil)
	c.Assert(ok, qt.IsFalse)
	clock.Run(clock.Now() + 4*time.Second)
	_, ok = p.Pick("s", nil)
	c.Assert(ok, qt.IsTrue)
}

// BenchmarkPick selects among the endpoints of one service in a large fleet.
func BenchmarkPick(b *testing.B) {
	for _, perDomain := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("endpoints=%d", 19*perDomain), func(b *testing.B) {
			_, p := newPicker(19, perDomain)
			b.ReportAllocs()
			for b.Loop() {
				e, _ := p.Pick("s", nil)
				p.Done(e.Node, route.Outcome{Load: 3, Limit: 20})
			}
		})
	}
}
