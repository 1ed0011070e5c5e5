package mesh_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wagtailyoke/core/wire"
)

// TestTableOfUnknownAgeIsNotCalledNew starts nodes while the store is down. They must not report to
// others that their table, or its absence, was up to date at their start.
func TestTableOfUnknownAgeIsNotCalledNew(t *testing.T) {
	c := qt.New(t)
	s := newTestSite(c, 41)
	s.store.setDown(true)
	s.run(time.Second)
	for _, v := range s.nodes {
		age := time.Duration(v.node.HandleExchange(&wire.ExchangeRequest{}).GetTableAgeMs()) * time.Millisecond
		c.Assert(age >= time.Minute, qt.IsTrue, qt.Commentf("%s reports a table age of %v", v.name, age))
	}
	s.store.setDown(false)
	s.run(4 * time.Second)
	for _, v := range s.nodes {
		age := time.Duration(v.node.HandleExchange(&wire.ExchangeRequest{}).GetTableAgeMs()) * time.Millisecond
		c.Assert(age <= 2*time.Second, qt.IsTrue, qt.Commentf("%s reports a table age of %v", v.name, age))
	}
}

// TestNodeThatStartsInAnIsolatedDomainJoins restarts a node while its failure domain reaches neither the
// others nor the store. It must find the nodes of its domain, and they must find its upstream.
func TestNodeThatStartsInAnIsolatedDomainJoins(t *testing.T) {
	c := qt.New(t)
	s := newTestSite(c, 42)
	s.run(4 * time.Second)
	s.load(2*time.Second, usualRates, map[string]*outcome{})
	for _, v := range s.nodes {
		if v.domain != "d0" {
			continue
		}
		s.store.refuses[v.name] = true
		for _, other := range s.nodes {
			s.cut[[2]int{v.index, other.index}] = s.cut[[2]int{v.index, other.index}] || other.domain != "d0"
		}
	}
	gate := s.vmNamed("gate-0")
	gate.kill()
	s.run(500 * time.Millisecond)
	gate.start()
	s.run(3500 * time.Millisecond)
	c.Assert(gate.node.IsReady(), qt.IsTrue)
	got := &outcome{}
	for range 20 {
		s.ask(s.vmNamed("desk-0"), s.route("bin"), key, got)
		s.run(100 * time.Millisecond)
	}
	s.run(2 * time.Second)
	c.Assert(got.served, qt.Equals, got.asked, qt.Commentf("%+v", *got))
}
