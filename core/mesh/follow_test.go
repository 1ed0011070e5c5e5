package mesh_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"wagtailyoke/core/mesh"
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

// TestOddEntriesNameNoNode expects entries of other writers to be rejected: numbers that are too large, and
// addresses that cannot be called.
func TestOddEntriesNameNoNode(t *testing.T) {
	c := qt.New(t)
	entry := func(peer, incarnation string) []byte {
		return []byte(fmt.Sprintf(`{"node":"n","domain":"d","service":"s","peer":%q,"incarnation":%s}`, peer, incarnation))
	}
	_, err := mesh.DecodeEntry("n", entry("10.0.0.1:7000", "1790000000000"))
	c.Assert(err, qt.IsNil)
	for _, odd := range [][]byte{
		entry("10.0.0.1:99999", "1790000000000"), entry("10.0.0.1:0", "1790000000000"), entry("10.0.0.1:-1", "1790000000000"),
		entry("10.0.0.1", "1790000000000"), entry(":7000", "1790000000000"), entry("10.0.0.1:http", "1790000000000"),
		entry("10.0.0.1:7000", "18446744073709551615"), entry("10.0.0.1:7000", "1e300"), entry("10.0.0.1:7000", "-1"),
		entry("10.0.0.1:7000", "1.5"), entry("10.0.0.1:7000", `"1"`), []byte("null"), []byte("[]"), []byte("{"),
	} {
		_, err := mesh.DecodeEntry("n", odd)
		c.Check(errors.Is(err, mesh.ErrMalformedEntry), qt.IsTrue, qt.Commentf("%s: %v", odd, err))
	}
}

// TestNodeOutlivesOddEntryInItsPlace replaces a node's entry by one with the highest incarnation and a wrong
// port, as another writer may. The node must write its entry again and stay known to the others.
func TestNodeOutlivesOddEntryInItsPlace(t *testing.T) {
	c := qt.New(t)
	s := newTestSite(c, 19)
	s.run(4 * time.Second)
	odd := `{"node":"book-1","domain":"d1","service":"book","peer":"book-1:99999","incarnation":18446744073709551615}`
	s.store.change(mesh.KindNode, mesh.Object{Name: "book-1", Value: []byte(odd)})
	s.run(5 * time.Second)
	c.Assert(s.entries(), qt.Contains, "book-1")
	e, err := mesh.DecodeEntry("book-1", s.store.kinds[mesh.KindNode]["book-1"].Value)
	c.Assert(err, qt.IsNil)
	c.Assert(e.Peer, qt.Equals, string(s.vmNamed("book-1").address()))
	before := s.callsByUpstream()["book-1"]
	got := map[string]*outcome{}
	s.load(5*time.Second, usualRates, got)
	s.run(5 * time.Second)
	c.Assert(s.callsByUpstream()["book-1"] > before, qt.IsTrue)
	expectServed(c, got, map[string]float64{"view": 0.97, "reserve": 0.97})
}
