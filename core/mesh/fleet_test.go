package mesh_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"wagtailyoke/core/mesh"
	"wagtailyoke/core/table"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// control counts the messages of the exchange that a node sends and gets.
type control struct {
	messages, bytes, records int
}

func (c *control) count(req *wire.ExchangeRequest, reply *wire.ExchangeReply) {
	c.messages++
	c.bytes += proto.Size(req) + proto.Size(reply)
	c.records += len(req.GetRecords()) + len(reply.GetRecords())
}

// newFleet is a site of four services, with nodes of each in every failure domain.
func newFleet(c *qt.C, seed int64, domains, perDomain int) *site {
	const services = 4
	var list []service
	var routes []*table.Route
	jobs := map[world.RouteID]job{}
	for i := range services {
		name := fmt.Sprintf("s%d", i)
		svc := service{name: world.ServiceID(name), slots: 20}
		for range domains * perDomain / services {
			svc.speeds = append(svc.speeds, 1)
		}
		list = append(list, svc)
		routes = append(routes, route(name, i, 2*time.Second, time.Second, name, true, true))
		jobs[world.RouteID(name)] = job{work: 20 * time.Millisecond}
	}
	return newSite(c, seed, domains, list, routes, nil, jobs)
}

// Bounds of what the exchange costs a node that is not a relay, from the target's figures: 3 KB
// a second, in four exchanges a second.
const (
	maxControlMessages = 4.0
	maxControlBytes    = 3000.0
)

// measureControl plays a time and returns the cost of each node a second. The relays' part goes by
// the size of their failure domain, not by that of the fleet.
func (s *site) measureControl(d time.Duration, rates map[string]float64) (ordinary, relay control) {
	for _, v := range s.nodes {
		v.control = control{}
	}
	s.load(d, rates, map[string]*outcome{})
	relays := s.relays()
	for _, v := range s.nodes {
		most := &ordinary
		if relays[v.domain] == v.name {
			most = &relay
		}
		most.messages = max(most.messages, int(float64(v.control.messages)/d.Seconds()))
		most.bytes = max(most.bytes, int(float64(v.control.bytes)/d.Seconds()))
		most.records = max(most.records, v.control.records)
	}
	return ordinary, relay
}

// relays returns the relay of each failure domain of a calm site.
func (s *site) relays() map[world.DomainID]world.NodeID {
	first := map[world.DomainID]world.NodeID{}
	for _, v := range s.nodes {
		if name, ok := first[v.domain]; !ok || v.name < name {
			first[v.domain] = v.name
		}
	}
	return first
}

// TestControlCostsTheSameInALargeFleet plays whole nodes, 20 in a failure domain, in fleets of 100
// and 300, with requests at all of them.
func TestControlCostsTheSameInALargeFleet(t *testing.T) {
	c := qt.New(t)
	for _, domains := range []int{5, 15} {
		s := newFleet(c, 31, domains, 20)
		s.run(4 * time.Second)
		rates := map[string]float64{}
		for _, r := range s.table.Routes {
			rates[string(r.ID)] = float64(len(s.nodes))
		}
		s.load(3*time.Second, rates, map[string]*outcome{})
		ordinary, relay := s.measureControl(4*time.Second, rates)
		c.Logf("%d nodes: ordinary %+v, relay %+v", len(s.nodes), ordinary, relay)
		c.Assert(float64(ordinary.messages) <= maxControlMessages+0.5, qt.IsTrue, qt.Commentf("%d nodes: %+v", len(s.nodes), ordinary))
		c.Assert(float64(ordinary.bytes) <= maxControlBytes, qt.IsTrue, qt.Commentf("%d nodes: %+v", len(s.nodes), ordinary))
	}
}

// TestControlStaysBoundedThroughTrouble kills the relays of a fleet of 100 nodes in turn, cuts a failure
// domain off, and restarts all nodes of another one. What nodes have to be told again comes on top, but
// stays within twice the calm bound over the whole time.
func TestControlStaysBoundedThroughTrouble(t *testing.T) {
	c := qt.New(t)
	s := newFleet(c, 32, 5, 20)
	s.run(4 * time.Second)
	rates := map[string]float64{}
	for _, r := range s.table.Routes {
		rates[string(r.ID)] = float64(len(s.nodes))
	}
	s.load(3*time.Second, rates, map[string]*outcome{})
	relays := s.relays()
	s.clock.After(time.Second, func() { s.restartAfter(relays["d0"], 2*time.Second) })
	s.clock.After(3*time.Second, func() { s.restartAfter(relays["d1"], time.Second) })
	s.clock.After(5*time.Second, func() { s.cutOff("d2") })
	s.clock.After(8*time.Second, func() { s.cut = map[[2]int]bool{} })
	s.clock.After(10*time.Second, func() {
		for _, v := range s.nodes {
			if v.domain == "d3" {
				s.restartAfter(v.name, 500*time.Millisecond)
			}
		}
	})
	const seconds = 16
	s.measureControl(seconds*time.Second, rates)
	// Two nodes of each failure domain have been its relay, or may have been.
	var bytes []int
	for _, v := range s.nodes {
		bytes = append(bytes, v.control.bytes/seconds)
	}
	slices.Sort(bytes)
	busiest := bytes[len(bytes)-2*len(relays)-1]
	c.Logf("%d bytes a second at the busiest node that was no relay", busiest)
	c.Assert(float64(busiest) <= 2*maxControlBytes, qt.IsTrue, qt.Commentf("%v", bytes))
	for _, v := range s.nodes {
		reply := v.node.HandleExchange(&wire.ExchangeRequest{})
		c.Assert(reply.GetRecords(), qt.HasLen, len(s.nodes), qt.Commentf("at %s", v.name))
	}
}

// restartAfter kills a node and starts it again after a time.
func (s *site) restartAfter(name world.NodeID, d time.Duration) {
	v := s.vmNamed(name)
	v.kill()
	s.clock.After(d, v.start)
}

// cutOff cuts a failure domain off from the others.
func (s *site) cutOff(domain world.DomainID) {
	for _, a := range s.nodes {
		for _, b := range s.nodes {
			if a.domain == domain && b.domain != domain {
				s.cut[[2]int{a.index, b.index}] = true
			}
		}
	}
}

// maxCallsPerStart is what a start may cost at the store: the table, the other nodes at a cheap
// price, and the own entry if it is not there.
const maxCallsPerStart = 2.2

// maxCallsPerFirstStart is the same where no other node is listed yet, so that they are read again.
const maxCallsPerFirstStart = 3.2

// TestStoreCallsGrowWithStartsNotWithNodes restarts nodes of a fleet of 100 one after the other,
// by a kill or by a stop, then all at once. Two relays follow the store, whatever the fleet's size.
func TestStoreCallsGrowWithStartsNotWithNodes(t *testing.T) {
	c := qt.New(t)
	s := newFleet(c, 33, 5, 20)
	s.run(4 * time.Second)
	first := s.store.cost
	c.Assert(first <= maxCallsPerFirstStart*float64(len(s.nodes))+4*maxWatchCost, qt.IsTrue, qt.Commentf("%v for the first starts", first))
	follow := s.costOf(func() { s.run(20 * time.Second) })
	c.Assert(follow <= 20*maxWatchCost+1, qt.IsTrue, qt.Commentf("%v in 20 calm seconds", follow))
	const starts = 20
	restarts := s.costOf(func() {
		for i, v := range s.nodes[:starts] {
			if i%2 == 0 {
				v.node.Stop(func() {})
				s.run(400 * time.Millisecond)
			}
			v.kill()
			s.run(200 * time.Millisecond)
			v.start()
			s.run(time.Second - s.clock.Now()%time.Second)
		}
	})
	c.Assert(restarts <= follow+maxCallsPerStart*starts, qt.IsTrue, qt.Commentf("%v for %d restarts, %v without", restarts, starts, follow))
	all := s.costOf(func() {
		for _, v := range s.nodes {
			v.kill()
		}
		s.run(500 * time.Millisecond)
		for _, v := range s.nodes {
			v.start()
		}
		s.run(4 * time.Second)
	})
	c.Assert(all <= follow+maxCallsPerStart*float64(len(s.nodes)), qt.IsTrue, qt.Commentf("%v for a restart of all", all))
	s.expectAllKnown()
}

// TestOutageCostsFewCalls takes the store away for 20 s. All nodes have their tables from before, and
// learn from their relays when it is back.
func TestOutageCostsFewCalls(t *testing.T) {
	c := qt.New(t)
	s := newFleet(c, 34, 5, 20)
	s.run(4 * time.Second)
	s.store.setDown(true)
	const outage = 20
	price := s.costOf(func() { s.run(outage * time.Second) })
	// A try in three seconds at each node in the mean, a few before it is as patient, and the relays'.
	c.Assert(price <= float64(len(s.nodes))*(outage/3.0+4)+5*outage*4, qt.IsTrue, qt.Commentf("%v in an outage of %d s", price, outage))
	s.store.setDown(false)
	s.store.writeTable(2)
	s.run(2 * time.Second)
	for _, v := range s.nodes {
		c.Assert(v.node.HandleTable().GetVersion(), qt.Equals, uint64(2), qt.Commentf("%s", v.name))
	}
}

// TestNodeCutOffAloneCostsFewCalls cuts one node off from everything for 20 s. It has the new table two
// seconds after it is back.
func TestNodeCutOffAloneCostsFewCalls(t *testing.T) {
	c := qt.New(t)
	s := newFleet(c, 35, 3, 8)
	s.run(4 * time.Second)
	alone := s.nodes[len(s.nodes)-1]
	for _, other := range s.nodes {
		s.cut[[2]int{alone.index, other.index}] = other != alone
	}
	s.store.refuses[alone.name] = true
	const away = 20
	price := s.costOf(func() { s.run(away * time.Second) })
	// A try in 1.5 s in the mean for each of two kinds of objects, and some before it is as patient.
	c.Assert(price <= away*maxWatchCost+2*(away/1.5+5), qt.IsTrue, qt.Commentf("%v in %d s", price, away))
	s.store.writeTable(2)
	s.cut, s.store.refuses = map[[2]int]bool{}, map[world.NodeID]bool{}
	s.run(2 * time.Second)
	c.Assert(alone.node.HandleTable().GetVersion(), qt.Equals, uint64(2))
}

// maxWatchCost is what it costs a second to follow the store: two relays with a watch of the
// table each 0.8 s and one of the entries each 8 s, and the other relays with a cheap list.
const maxWatchCost = 2*(1/0.8+1/8.0) + 3*0.1/8

func (s *site) costOf(f func()) float64 {
	before := s.store.cost
	f()
	return s.store.cost - before
}

// expectAllKnown expects that the store leads to all nodes.
func (s *site) expectAllKnown() {
	for _, v := range s.nodes {
		o, ok := s.store.kinds[mesh.KindNode][string(v.name)]
		s.c.Assert(ok, qt.IsTrue, qt.Commentf("the store does not list %s", v.name))
		e, err := mesh.DecodeEntry(o.Name, o.Value)
		s.c.Assert(err, qt.IsNil)
		s.c.Assert(e.Peer, qt.Equals, string(v.address()))
	}
}
