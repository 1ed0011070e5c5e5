package fleet_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"wagtailyoke/core/fleet"
	"wagtailyoke/core/timer"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

const period = 250 * time.Millisecond

func record(name, domain string, incarnation uint64) *wire.FleetRecord {
	return &wire.FleetRecord{Node: name, Domain: domain, Service: "s", PeerAddress: "peer:" + name, Incarnation: incarnation}
}

func newView(clock timer.Service, name, domain string, incarnation uint64) *fleet.View {
	return fleet.New(clock, record(name, domain, incarnation), fleet.Options{Period: period, ForgetAfter: 8 * time.Second})
}

func sequenced(r *wire.FleetRecord, sequence uint64) *wire.FleetRecord {
	r = proto.Clone(r).(*wire.FleetRecord)
	r.Sequence = sequence
	return r
}

func TestNewestRecordWins(t *testing.T) {
	c := qt.New(t)
	v := newView(timer.NewVirtual(), "a", "d", 1)
	for _, test := range []struct {
		incarnation, sequence uint64
		isNews                bool
	}{{2, 5, true}, {2, 5, false}, {2, 4, false}, {1, 99, false}, {3, 1, true}, {2, 100, false}, {3, 2, true}} {
		got := v.Take([]*wire.FleetRecord{sequenced(record("b", "d", test.incarnation), test.sequence)})
		c.Assert(got, qt.Equals, test.isNews, qt.Commentf("%+v", test))
	}
	c.Assert(v.IncarnationOf("b"), qt.Equals, uint64(3))
}

// TestNodeOutlivesItsPast expects that a node whose clock stepped back takes a higher
// incarnation than others remember.
func TestNodeOutlivesItsPast(t *testing.T) {
	c := qt.New(t)
	v := newView(timer.NewVirtual(), "a", "d", 100)
	v.Take([]*wire.FleetRecord{sequenced(record("a", "d", 500), 7)})
	c.Assert(v.Self().GetIncarnation(), qt.Equals, uint64(501))
}

func TestUnreadableRecordsNameNoNode(t *testing.T) {
	c := qt.New(t)
	v := newView(timer.NewVirtual(), "a", "d", 1)
	v.Take([]*wire.FleetRecord{{Node: "", PeerAddress: "x"}, {Node: "b"}, nil})
	c.Assert(v.Nodes(), qt.HasLen, 1)
}

func TestRelayIsTheFirstThatAnswers(t *testing.T) {
	c := qt.New(t)
	clock := timer.NewVirtual()
	v := newView(clock, "c", "d", 1)
	v.Take([]*wire.FleetRecord{record("a", "d", 1), record("b", "d", 1), record("x", "other", 1)})
	c.Assert(v.Targets(), qt.DeepEquals, []world.NodeID{"a"})
	clock.Run(period)
	v.MarkFailed("a")
	c.Assert(v.Targets(), qt.DeepEquals, []world.NodeID{"b"})
	v.MarkFailed("b")
	c.Assert(v.IsRelay(), qt.IsTrue)
	c.Assert(v.Targets(), qt.DeepEquals, []world.NodeID{"x"})
	clock.Run(10 * period)
	c.Assert(v.IsRelay(), qt.IsTrue)
	c.Assert(v.Targets(), qt.DeepEquals, []world.NodeID{"a", "x"})
	v.HandleReply("a", &wire.ExchangeRequest{}, &wire.ExchangeReply{})
	c.Assert(v.IsRelay(), qt.IsFalse)
	c.Assert(v.Targets(), qt.DeepEquals, []world.NodeID{"a"})
}

// TestNodeThatIsGoneDelaysNoNews expects that the search for a relay that does not answer leaves
// the exchange with the present one as it is.
func TestNodeThatIsGoneDelaysNoNews(t *testing.T) {
	c := qt.New(t)
	clock := timer.NewVirtual()
	v := newView(clock, "c", "d", 1)
	v.Take([]*wire.FleetRecord{record("a", "d", 1), record("b", "d", 1)})
	for range 40 {
		clock.Run(clock.Now() + period)
		targets := v.Targets()
		c.Assert(targets[0] == "b" || clock.Now() <= period, qt.IsTrue, qt.Commentf("after %v: %v", clock.Now(), targets))
		if slices.Contains(targets, "a") {
			v.MarkFailed("a")
		}
	}
}

// TestNewsReachesAllNodes plays exchanges between nodes of some domains, some of which are
// lost, and expects that a change is known everywhere some periods after the last loss.
func TestNewsReachesAllNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := timer.NewVirtual()
		domains := rapid.IntRange(1, 4).Draw(t, "domains")
		n := rapid.IntRange(2, 12).Draw(t, "nodes")
		views := map[world.NodeID]*fleet.View{}
		var names []world.NodeID
		var all []*wire.FleetRecord
		for i := range n {
			r := record(fmt.Sprintf("n%02d", i), fmt.Sprint("d", i%domains), 1)
			all = append(all, r)
			names = append(names, world.NodeID(r.Node))
			views[world.NodeID(r.Node)] = newView(clock, r.Node, r.Domain, 1)
		}
		for _, v := range views {
			v.SetListing(all)
		}
		exchange := func(lossOf100 int) {
			clock.Run(clock.Now() + period)
			for _, name := range names {
				views[name].SetSelf(func(*wire.FleetRecord) {})
				for _, to := range views[name].Targets() {
					req := views[name].BuildRequest(to, nil)
					if rapid.IntRange(0, 99).Draw(t, "loss") < lossOf100 {
						views[name].MarkFailed(to)
						continue
					}
					views[name].HandleReply(to, req, views[to].HandleRequest(req))
				}
			}
		}
		for range rapid.IntRange(0, 6).Draw(t, "lossy") {
			exchange(40)
		}
		changed := names[rapid.IntRange(0, n-1).Draw(t, "changed")]
		views[changed].SetSelf(func(r *wire.FleetRecord) { r.Limit = 77 })
		for range 8 {
			exchange(0)
		}
		for _, name := range names {
			for _, node := range views[name].Nodes() {
				if node.Record.GetNode() == string(changed) && node.Record.GetLimit() != 77 {
					t.Fatalf("%s does not know of the change at %s", name, changed)
				}
			}
		}
	})
}

func TestSilentNodesAreForgottenOrReported(t *testing.T) {
	c := qt.New(t)
	clock := timer.NewVirtual()
	v := newView(clock, "a", "d", 1)
	v.SetListing([]*wire.FleetRecord{record("listed", "d", 1)})
	v.Take([]*wire.FleetRecord{record("unlisted", "d", 1)})
	clock.Run(2 * time.Second)
	for _, node := range v.Nodes() {
		c.Assert(node.IsUnreachable, qt.Equals, node.Record.GetNode() != "a")
	}
	c.Assert(v.Sweep(), qt.HasLen, 0)
	clock.Run(9 * time.Second)
	abandoned := v.Sweep()
	c.Assert(abandoned, qt.HasLen, 1)
	c.Assert(abandoned[0].GetNode(), qt.Equals, "listed")
	c.Assert(v.Nodes(), qt.HasLen, 2)
}
