package evac_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"wagtailyoke/core/era"
	"wagtailyoke/core/evac"
	"wagtailyoke/core/timer"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

func at(e era.Era, number uint64) era.Revision { return era.Revision{Era: e, Number: number} }

func names(domains []world.DomainID) string { return fmt.Sprint(domains) }

func expectDomains(c *qt.C, s *evac.Set, want string) {
	c.Helper()
	domains, _ := s.Domains()
	c.Assert(names(domains), qt.Equals, want)
}

// TestOrdersFollowTheEra guards against orders that outlive the store's history: after a return from a copy, lower
// revisions must count, and what the store has lost must hold until the operators have written it again.
func TestOrdersFollowTheEra(t *testing.T) {
	tests := []struct {
		name string
		play func(s *evac.Set, clock *timer.Virtual)
		want string
	}{
		{"lower revision of a new era", func(s *evac.Set, _ *timer.Virtual) {
			s.List(at(2, 40), nil)
			s.Apply(at(2, 41), []evac.Change{{Domain: "a", IsEvacuated: true}})
			s.Apply(at(2, 42), []evac.Change{{Domain: "a"}, {Domain: "b", IsEvacuated: true}})
		}, "[b]"},
		{"lost and not written again yet", func(s *evac.Set, _ *timer.Virtual) { s.List(at(2, 40), nil) }, "[a]"},
		{"lost, written again and taken back", func(s *evac.Set, _ *timer.Virtual) {
			s.List(at(2, 40), nil)
			s.Apply(at(2, 42), []evac.Change{{Domain: "a", IsEvacuated: true}, {Domain: "a"}})
		}, "[]"},
		{"lost, written again and seen in a list only", func(s *evac.Set, _ *timer.Virtual) {
			s.List(at(2, 40), nil)
			s.List(at(2, 41), []world.DomainID{"a"})
			s.List(at(2, 42), nil)
		}, "[]"},
		{"lost and never written again", func(s *evac.Set, clock *timer.Virtual) {
			s.List(at(2, 40), nil)
			clock.Run(clock.Now() + evac.HoldTime)
			s.Expire()
		}, "[]"},
		{"taken back in the lost span", func(s *evac.Set, _ *timer.Virtual) {
			s.Apply(at(1, 51), []evac.Change{{Domain: "a"}})
			s.List(at(2, 40), []world.DomainID{"a"})
			s.Apply(at(2, 41), []evac.Change{{Domain: "a"}})
		}, "[]"},
		{"ordered and taken back in the lost span", func(s *evac.Set, _ *timer.Virtual) {
			s.Apply(at(1, 51), []evac.Change{{Domain: "a"}, {Domain: "b", IsEvacuated: true}, {Domain: "b"}})
			s.List(at(2, 40), nil)
		}, "[]"},
		{"two returns in a row", func(s *evac.Set, _ *timer.Virtual) {
			s.List(at(2, 40), nil)
			s.Apply(at(2, 41), []evac.Change{{Domain: "b", IsEvacuated: true}})
			s.List(at(3, 40), nil)
		}, "[a b]"},
		{"a return that was not seen", func(s *evac.Set, _ *timer.Virtual) { s.List(at(3, 10), nil) }, "[a]"},
		{"late list of the older era", func(s *evac.Set, _ *timer.Virtual) {
			s.List(at(2, 40), []world.DomainID{"b"})
			s.List(at(1, 60), nil)
			s.Apply(at(1, 61), []evac.Change{{Domain: "b"}})
		}, "[a b]"},
		{"older node's orders", func(s *evac.Set, _ *timer.Virtual) {
			s.List(at(2, 40), []world.DomainID{"a"})
			_, err := s.Merge(&wire.Evacuations{Revision: 900, Domains: []string{"c"}})
			if !errors.Is(err, evac.ErrNoEra) {
				panic("orders without an era were taken")
			}
		}, "[a]"},
		{"first met through another node", func(s *evac.Set, _ *timer.Virtual) {
			_, _ = s.Merge(&wire.Evacuations{Era: 2, Revision: 40, Domains: []string{"b"}, Confirmed: []string{"b"}})
		}, "[a b]"},
		{"another node knows that it was written again and taken back", func(s *evac.Set, _ *timer.Virtual) {
			s.List(at(2, 40), nil)
			_, _ = s.Merge(&wire.Evacuations{Era: 2, Revision: 45, Confirmed: []string{"a"}})
		}, "[]"},
		{"another node knew later orders of the older era", func(s *evac.Set, _ *timer.Virtual) {
			s.List(at(2, 40), nil)
			_, _ = s.Merge(&wire.Evacuations{Era: 2, Revision: 40, Domains: []string{"c"}, Lost: &wire.LostEvacuations{
				Era: 1, Revision: 60, Domains: []string{"c"}, RemainingMs: 1000,
			}})
		}, "[c]"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			clock := timer.NewVirtual()
			s := evac.NewSet(clock)
			s.List(at(1, 50), []world.DomainID{"a"})
			expectDomains(c, s, "[a]")
			test.play(s, clock)
			expectDomains(c, s, test.want)
		})
	}
}

// TestOrdersOfStoresWithoutEras expects that sets of a store that names no era are ordered by revision alone.
func TestOrdersOfStoresWithoutEras(t *testing.T) {
	c := qt.New(t)
	s := evac.NewSet(timer.NewVirtual())
	s.List(at(0, 50), []world.DomainID{"a"})
	_, err := s.Merge(&wire.Evacuations{Revision: 49})
	c.Assert(err, qt.IsNil)
	expectDomains(c, s, "[a]")
	_, err = s.Merge(&wire.Evacuations{Revision: 51, Domains: []string{"b"}})
	c.Assert(err, qt.IsNil)
	expectDomains(c, s, "[b]")
	// The first era that is named is no return from a copy.
	s.List(at(4, 10), nil)
	expectDomains(c, s, "[]")
}

// TestNodesAgreeAfterReturns draws orders, returns from a copy, reads and exchanges between nodes, some of which
// start anew. Once the operators have written again and each node has heard all others, all know what the
// store holds. An evacuation that operators have in force holds at each node that knew it.
func TestNodesAgreeAfterReturns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := timer.NewVirtual()
		domains := []world.DomainID{"a", "b", "c"}
		type storeState struct {
			number uint64
			held   map[world.DomainID]bool
		}
		clone := func(s storeState) storeState {
			held := map[world.DomainID]bool{}
			for d := range s.held {
				held[d] = true
			}
			return storeState{s.number, held}
		}
		held := func(s storeState) (list []world.DomainID) {
			for _, d := range domains {
				if s.held[d] {
					list = append(list, d)
				}
			}
			return list
		}
		present, e := storeState{1, map[world.DomainID]bool{}}, era.Era(1)
		ordered := map[world.DomainID]bool{}
		var copied storeState
		nodes := make([]*evac.Set, 4)
		for i := range nodes {
			nodes[i] = evac.NewSet(clock)
		}
		set := func(d world.DomainID, isEvacuated bool) {
			if present.held[d] != isEvacuated {
				present.number++
			}
			if isEvacuated {
				present.held[d] = true
			} else {
				delete(present.held, d)
			}
		}
		copied = clone(present)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			d := rapid.SampledFrom(domains).Draw(t, "domain")
			i, j := rapid.IntRange(0, 3).Draw(t, "node"), rapid.IntRange(0, 3).Draw(t, "other")
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1:
				ordered[d] = !ordered[d]
				set(d, ordered[d])
			case 2:
				copied = clone(present)
			case 3:
				// The node that reads first passes the state of before on, as the drill takes a moment.
				nodes[0].List(at(e, present.number), held(present))
				for _, n := range nodes[1:] {
					_, _ = n.Merge(nodes[0].Export())
				}
				present, e = clone(copied), e+1
				nodes[i].List(at(e, present.number), held(present))
				for k, n := range nodes {
					for _, d := range domains {
						if ordered[d] && !n.Contains(d) {
							t.Fatalf("node %d uses %s before the operators could write its evacuation again", k, d)
						}
					}
				}
				for _, d := range domains {
					set(d, ordered[d])
				}
			case 4, 5:
				nodes[i].List(at(e, present.number), held(present))
			case 6:
				if w := nodes[j].Export(); w != nil {
					_, _ = nodes[i].Merge(w)
				}
			case 7:
				nodes[i] = evac.NewSet(clock)
			}
		}
		for _, n := range nodes {
			n.List(at(e, present.number), held(present))
		}
		clock.Run(clock.Now() + evac.HoldTime)
		for range nodes {
			for _, n := range nodes {
				n.Expire()
				for _, other := range nodes {
					_, _ = n.Merge(other.Export())
				}
			}
		}
		for i, n := range nodes {
			got, lost := n.Domains()
			if names(got) != names(held(present)) || len(lost) > 0 {
				t.Fatalf("node %d has %v evacuated, the store %v; lost %v", i, got, held(present), lost)
			}
		}
	})
}
