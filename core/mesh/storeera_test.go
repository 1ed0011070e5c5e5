package mesh_test

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"wagtailyoke/core/mesh"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// storeAway is how long the store is away before it comes back from a copy.
const storeAway = 300 * time.Millisecond

// storeReturns takes the store away for a moment and brings it back from a copy.
func (s *site) storeReturns(copied storeState) {
	s.store.setDown(true)
	s.run(storeAway)
	s.store.returnFrom(copied)
	s.store.setDown(false)
}

// offerAll sends client requests to random nodes while the test runs on, for a time.
func (s *site) offerAll(d time.Duration, rates map[string]float64) {
	for _, id := range slices.Sorted(maps.Keys(rates)) {
		s.offer(id, rates[id], s.clock.Now()+d, &outcome{})
	}
}

// raiseRevision makes changes in the store that a return from an earlier copy undoes.
func (s *site) raiseRevision(changes int) {
	for range changes {
		s.store.change(mesh.KindNode, mesh.Object{Name: "gone", IsDeleted: true})
	}
}

func (s *site) expectEvacuated(domains ...string) {
	s.c.Helper()
	for _, v := range s.nodes {
		got := s.evacuatedAt(v)
		s.c.Assert(slices.Equal(got, domains), qt.IsTrue, qt.Commentf("evacuated at %s: %v, expected %v", v.name, got, domains))
	}
}

func (s *site) callsIn(domain world.DomainID) (calls int) {
	for _, v := range s.nodesOf(domain) {
		calls += v.up.calls
	}
	return calls
}

// TestEvacuationsFollowTheReturnedStore guards against evacuations that are ignored because the store, back from a
// copy, gives them revisions below those of the ones that the nodes know.
func TestEvacuationsFollowTheReturnedStore(t *testing.T) {
	c := qt.New(t)
	s := newColdSite(c, 71)
	s.run(3 * time.Second)
	s.offerAll(time.Minute, scaleRates(coldSiteRates, 0.3))
	copied := s.store.clone()
	s.raiseRevision(8)
	s.evacuate("d1")
	s.run(2 * time.Second)
	s.storeReturns(copied)
	s.store.change(mesh.KindEvacuation, mesh.Object{Name: "d1", Value: []byte("{}")})
	s.run(3 * time.Second)
	s.takeBack("d1")
	s.run(time.Second)
	s.evacuate("d2")
	s.run(evacuateWithin)
	s.expectEvacuated("d2")
	calls := s.callsIn("d2")
	s.run(5 * time.Second)
	c.Assert(s.callsIn("d2"), qt.Equals, calls)
	s.takeBack("d2")
	s.run(3 * time.Second)
	s.expectEvacuated()
	s.expectNoColdExcess()
}

// TestLostEvacuationHolds guards against a failure domain that is used again between the store's return and the
// operators' writing again. Nodes restart meanwhile, one of the domain and one that watches the store.
func TestLostEvacuationHolds(t *testing.T) {
	for _, returns := range []int{1, 2} {
		c := qt.New(t)
		s := newColdSite(c, 72)
		s.run(3 * time.Second)
		s.offerAll(time.Minute, scaleRates(coldSiteRates, 0.3))
		copied := s.store.clone()
		s.raiseRevision(8)
		s.evacuate("d1")
		s.run(3 * time.Second)
		calls := s.callsIn("d1")
		for range returns {
			s.storeReturns(copied)
			s.run(2 * time.Second)
		}
		s.restartAfter(s.relays()["d0"], restartDelay)
		s.restartAfter(s.nodesOf("d1")[1].name, restartDelay)
		s.run(3 * time.Second)
		s.expectEvacuated("d1")
		s.evacuate("d1")
		s.run(3 * time.Second)
		c.Assert(s.callsIn("d1"), qt.Equals, calls)
		s.takeBack("d1")
		s.run(3 * time.Second)
		s.expectEvacuated()
		s.run(4 * time.Second)
		c.Assert(s.callsIn("d1") > calls, qt.IsTrue)
		s.expectNoColdExcess()
	}
}

// TestEvacuationTakenBackInTheLostSpan expects that an order which the store's return brings back is followed until the
// operators take it back again.
func TestEvacuationTakenBackInTheLostSpan(t *testing.T) {
	c := qt.New(t)
	s := newColdSite(c, 73)
	s.run(3 * time.Second)
	s.offerAll(time.Minute, scaleRates(coldSiteRates, 0.3))
	s.evacuate("d1")
	s.run(2 * time.Second)
	copied := s.store.clone()
	s.raiseRevision(8)
	s.takeBack("d1")
	s.run(2 * time.Second)
	s.expectEvacuated()
	s.storeReturns(copied)
	s.run(3 * time.Second)
	s.expectEvacuated("d1")
	s.takeBack("d1")
	s.run(3 * time.Second)
	s.expectEvacuated()
}

func (s *site) tableVersionAt(v *vm) uint64 {
	return v.node.HandleExchange(&wire.ExchangeRequest{}).GetTableVersion()
}

func (s *site) expectTable(version uint64) {
	s.c.Helper()
	for _, v := range s.nodes {
		s.c.Assert(s.tableVersionAt(v), qt.Equals, version, qt.Commentf("at %s", v.name))
	}
}

// configWithin is the time within which a configuration must be in force.
const configWithin = 2500 * time.Millisecond

// TestTableUnderAReusedRevisionIsInstalled guards against a change that is never seen because the store, back from a
// copy, gives it the revision from which the nodes watch. Relays of an older build miss it, whatever the others do.
func TestTableUnderAReusedRevisionIsInstalled(t *testing.T) {
	for run := range 8 {
		lost, oldRelays := run/2, run%2 == 1
		t.Run(fmt.Sprintf("lost=%d,oldRelays=%v", lost, oldRelays), func(t *testing.T) {
			s := newTestSite(qt.New(t), 74)
			for _, name := range s.relays() {
				s.vmNamed(name).ignoresEras = oldRelays
			}
			s.run(4 * time.Second)
			copied := s.store.clone()
			s.raiseRevision(lost)
			s.run(2 * time.Second)
			s.store.setDown(true)
			s.run(120 * time.Millisecond)
			s.store.returnFrom(copied)
			s.store.writeTable(2)
			s.store.setDown(false)
			s.run(configWithin)
			s.expectTable(2)
		})
	}
}

// TestTableStaysWhileTheStoreHoldsAnOlderOne expects that no node goes back to the configuration that the store holds
// after its return, nor one that starts meanwhile, and that the next one is followed.
func TestTableStaysWhileTheStoreHoldsAnOlderOne(t *testing.T) {
	c := qt.New(t)
	s := newTestSite(c, 75)
	s.run(4 * time.Second)
	copied := s.store.clone()
	s.store.writeTable(2)
	s.run(2 * time.Second)
	s.storeReturns(copied)
	s.run(time.Second)
	s.restartAfter(s.relays()["d0"], restartDelay)
	s.restartAfter(s.nodesOf("d1")[1].name, restartDelay)
	s.run(2 * time.Second)
	s.expectTable(2)
	s.storeReturns(copied)
	s.store.writeTable(2)
	s.run(2 * time.Second)
	s.store.writeTable(3)
	s.run(configWithin)
	s.expectTable(3)
}

// TestDepartureOutlivesTheStoresReturn guards against a departure that no node writes again after the store has come
// back from a copy without it: once all processes are killed, a late heartbeat brings the upstream back.
func TestDepartureOutlivesTheStoresReturn(t *testing.T) {
	tests := []struct {
		name string
		// during runs once the store is back, before all processes are killed.
		during  func(s *site, v *vm, copied storeState)
		returns int
		// killedAfter is the time from the store's last return to the kill.
		killedAfter time.Duration
	}{
		{name: "killed soon", killedAfter: time.Second},
		{name: "killed later", killedAfter: 4 * time.Second},
		{name: "two returns", returns: 1, killedAfter: time.Second},
		{name: "node is down", killedAfter: 2 * time.Second, during: func(_ *site, v *vm, _ storeState) { v.kill() }},
		{name: "domain is cut off", killedAfter: 2 * time.Second, during: func(s *site, v *vm, _ storeState) { s.cutOff(v.domain) }},
		{name: "watchers are killed first", killedAfter: 4 * time.Second, during: func(s *site, _ *vm, _ storeState) {
			for _, name := range s.relays() {
				s.restartAfter(name, restartDelay)
			}
		}},
		{name: "store turns the node away", killedAfter: 2 * time.Second, during: func(s *site, v *vm, _ storeState) { s.refuse(v.name) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newTestSite(c, 76)
			v := s.vmNamed("gate-1")
			s.run(4 * time.Second)
			s.offerAll(20*time.Second, map[string]float64{"view": 20, "bin": 20})
			copied := s.store.clone()
			late, acknowledged := v.lateHeartbeat(), false
			v.leave(false, func(ok bool) { acknowledged = ok })
			s.run(time.Second)
			c.Assert(acknowledged, qt.IsTrue)
			for range 1 + test.returns {
				s.storeReturns(copied)
				s.run(test.killedAfter / 4)
			}
			if test.during != nil {
				test.during(s, v, copied)
			}
			s.run(test.killedAfter * 3 / 4)
			for _, w := range s.nodes {
				s.restartAfter(w.name, restartDelay)
			}
			s.cut, s.store.refuses = map[[2]int]bool{}, map[world.NodeID]bool{}
			s.run(2 * time.Second)
			late()
			s.run(6 * time.Second)
			expectUpstream(c, v, false)
		})
	}
}

// TestLateAnswerOfAnEarlierEraStoresNothing guards against a departure that counts as stored because the answer to its
// write arrives after the store has come back from a copy without it. No other node knows the departure.
func TestLateAnswerOfAnEarlierEraStoresNothing(t *testing.T) {
	c := qt.New(t)
	s := newTestSite(c, 83)
	v := s.vmNamed("gate-1")
	s.run(4 * time.Second)
	s.isolate(v)
	s.run(2 * time.Second)
	copied := s.store.clone()
	s.store.writeAnswerDelay = 2 * time.Second
	v.leave(false, func(bool) {})
	s.run(100 * time.Millisecond)
	s.store.writeAnswerDelay = 0
	c.Assert(s.store.kinds[mesh.KindDeparture], qt.HasLen, 1)
	s.storeReturns(copied)
	s.run(time.Second)
	c.Assert(s.store.kinds[mesh.KindDeparture], qt.HasLen, 0)
	s.run(3 * time.Second)
	c.Assert(s.store.kinds[mesh.KindDeparture], qt.HasLen, 1)
}

// TestBanOutlivesTheStoresReturn guards against a ban that no node writes again after the store has come back from a
// copy without it: once all processes are killed, the request crashes further upstreams.
func TestBanOutlivesTheStoresReturn(t *testing.T) {
	for returns := range 2 {
		s := newTestSite(qt.New(t), 77)
		s.run(3 * time.Second)
		copied := s.store.clone()
		path := s.ban("view")
		for range 1 + returns {
			s.storeReturns(copied)
			s.run(time.Second)
		}
		before := len(s.crashes[path])
		s.restartAll(restartDelay)
		s.everyRandomNode(300*time.Millisecond, 10*time.Second, func(v *vm) { s.askCrashing(v, "view") })
		s.c.Assert(len(s.crashes[path]), qt.Equals, before)
	}
}

// TestGraphIsWrittenAfterTheStoresReturn expects the call graph in the store again, for a loss of all nodes.
func TestGraphIsWrittenAfterTheStoresReturn(t *testing.T) {
	c := qt.New(t)
	s := newTestSite(c, 79)
	s.run(time.Second)
	copied := s.store.clone()
	s.load(8*time.Second, usualRates, map[string]*outcome{})
	c.Assert(string(s.store.kinds[mesh.KindNode]["graph"].Value), qt.Contains, "hold")
	s.storeReturns(copied)
	s.run(4 * time.Second)
	c.Assert(string(s.store.kinds[mesh.KindNode]["graph"].Value), qt.Contains, "hold")
}

// TestEntriesAreWrittenAfterTheStoresReturn expects the entries of nodes that the store has lost within two seconds,
// also those of failure domains that do not watch the store and the watchers' own.
func TestEntriesAreWrittenAfterTheStoresReturn(t *testing.T) {
	c := qt.New(t)
	s := newTestSite(c, 80)
	s.run(4 * time.Second)
	want := s.entries()
	copied := s.store.clone()
	for _, domain := range []world.DomainID{"d0", "d2"} {
		delete(copied.kinds[mesh.KindNode], string(s.relays()[domain]))
		delete(copied.kinds[mesh.KindNode], string(s.nodesOf(domain)[2].name))
	}
	s.raiseRevision(8)
	s.run(10 * time.Second)
	s.storeReturns(copied)
	s.run(2 * time.Second)
	c.Assert(s.entries(), qt.Equals, want)
}

// TestNodesBesideOldBuildsFollowTheReturnedStore guards against nodes that leave the store to relays of an older build,
// which miss that it has come back from a copy, and against orders that these pass on.
func TestNodesBesideOldBuildsFollowTheReturnedStore(t *testing.T) {
	c := qt.New(t)
	s := newColdSite(c, 81)
	old := func(v *vm) bool { return v.name == s.relays()[v.domain] || v.name == "book-0" }
	for _, v := range s.nodes {
		v.ignoresEras = old(v)
	}
	s.run(3 * time.Second)
	copied := s.store.clone()
	s.raiseRevision(8)
	s.store.change(mesh.KindEvacuation, mesh.Object{Name: "d1", Value: []byte("{}")})
	s.run(2 * time.Second)
	s.expectEvacuated("d1")
	s.store.setDown(true)
	s.run(storeAway)
	s.store.returnFrom(copied)
	s.store.writeTable(2)
	s.store.change(mesh.KindEvacuation, mesh.Object{Name: "d1", Value: []byte("{}")})
	s.store.setDown(false)
	s.run(3 * time.Second)
	s.store.change(mesh.KindEvacuation, mesh.Object{Name: "d1", IsDeleted: true})
	s.store.change(mesh.KindEvacuation, mesh.Object{Name: "d2", Value: []byte("{}")})
	s.store.writeTable(3)
	s.run(evacuateWithin)
	for _, v := range s.nodes {
		if !old(v) {
			c.Check(s.evacuatedAt(v), qt.DeepEquals, []string{"d2"}, qt.Commentf("at %s", v.name))
		}
	}
	s.expectTable(3)
}

// operators are what operators have ordered in a simulated site. They write it again after the store has come back from a
// copy.
type operators struct {
	site      *site
	version   int
	evacuated map[world.DomainID]bool
	// isWritingAgain means that the operators have not repeated their lost orders yet.
	isWritingAgain bool
}

func (o *operators) nextTable() {
	o.version++
	o.site.store.writeTable(o.version)
}

func (o *operators) toggle(domain world.DomainID) {
	o.evacuated[domain] = !o.evacuated[domain]
	if o.evacuated[domain] {
		o.site.evacuate(domain)
	} else {
		o.site.takeBack(domain)
	}
}

// writeAgain writes all orders that the store does not hold.
func (o *operators) writeAgain() {
	s := o.site
	for _, domain := range slices.Sorted(maps.Keys(o.evacuated)) {
		_, isHeld := s.store.kinds[mesh.KindEvacuation][string(domain)]
		if isHeld != o.evacuated[domain] {
			s.store.change(mesh.KindEvacuation, mesh.Object{Name: string(domain), Value: []byte("{}"), IsDeleted: isHeld})
		}
	}
	if string(s.store.kinds[mesh.KindTable]["main"].Value) != fmt.Sprint(o.version) {
		s.store.writeTable(o.version)
	}
	o.isWritingAgain = false
}

// TestReturnsUnderFaults draws returns of the store from copies of several ages, orders of operators, leaves with late
// heartbeats, restarts and cuts. The upstreams check the rules. After the last fault all nodes follow the store.
func TestReturnsUnderFaults(t *testing.T) {
	c := qt.New(t)
	rapid.Check(t, func(t *rapid.T) {
		s := newColdSite(c, rapid.Int64Range(1, 1<<40).Draw(t, "seed"))
		random := rand.New(rand.NewSource(rapid.Int64Range(1, 1<<40).Draw(t, "faults")))
		o := &operators{site: s, version: 1, evacuated: map[world.DomainID]bool{}}
		s.run(4 * time.Second)
		s.offerAll(time.Minute, scaleRates(coldSiteRates, 0.1))
		copies := []storeState{s.store.clone()}
		for range rapid.IntRange(2, 10).Draw(t, "steps") {
			v := s.nodes[random.Intn(len(s.nodes))]
			switch random.Intn(7) {
			case 0:
				if !o.isWritingAgain {
					o.toggle(v.domain)
				}
			case 1:
				if !o.isWritingAgain {
					o.nextTable()
				}
			case 2, 3:
				s.store.setDown(true)
				s.run(time.Duration(50+random.Intn(900)) * time.Millisecond)
				s.store.returnFrom(copies[random.Intn(len(copies))])
				s.store.setDown(false)
				o.isWritingAgain = true
				s.clock.After(time.Duration(random.Intn(2500))*time.Millisecond, o.writeAgain)
			case 4:
				if !v.up.isLeaving && !v.isDead {
					late := v.lateHeartbeat()
					v.leave(random.Intn(2) == 0, func(bool) {})
					s.clock.After(time.Duration(random.Intn(5000))*time.Millisecond, late)
				}
			case 5:
				if !v.isDead {
					s.restartAfter(v.name, time.Duration(300+random.Intn(2000))*time.Millisecond)
				}
			case 6:
				s.cutOff(v.domain)
				s.clock.After(2*time.Second, func() { s.cut = map[[2]int]bool{} })
			}
			s.run(time.Duration(random.Intn(3000)) * time.Millisecond)
			if copies = append(copies, s.store.clone()); len(copies) > 3 {
				copies = copies[1:]
			}
		}
		s.run(4 * time.Second)
		o.writeAgain()
		s.run(evacuateWithin)
		s.expectTable(uint64(o.version))
		var want []string
		for _, domain := range slices.Sorted(maps.Keys(o.evacuated)) {
			if o.evacuated[domain] {
				want = append(want, string(domain))
			}
		}
		s.expectEvacuated(want...)
		for _, v := range s.nodes {
			if !v.up.isLeaving && !v.isDead && !o.evacuated[v.domain] {
				expectUpstream(c, v, true)
			}
		}
	})
}
