package fleet_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
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

func withSequence(r *wire.FleetRecord, sequence uint64) *wire.FleetRecord {
	r = proto.Clone(r).(*wire.FleetRecord)
	r.Sequence = sequence
	return r
}

func TestNewestRecordWins(t *testing.T) {
	c := qt.New(t)
	v := newView(timer.NewVirtual(), "a", "d", 1)
	for _, test := range []struct {
		incarnation, sequence uint64
		changed               bool
	}{{2, 5, true}, {2, 5, false}, {2, 4, false}, {1, 99, false}, {3, 1, true}, {2, 100, false}, {3, 2, true}} {
		got := v.MergeRecords([]*wire.FleetRecord{withSequence(record("b", "d", test.incarnation), test.sequence)})
		c.Assert(got, qt.Equals, test.changed, qt.Commentf("%+v", test))
	}
	c.Assert(v.IncarnationOf("b"), qt.Equals, uint64(3))
}

// TestIncarnationRisesAboveKnown expects that a node whose wall clock stepped back takes a higher
// incarnation than the one that other nodes know.
func TestIncarnationRisesAboveKnown(t *testing.T) {
	c := qt.New(t)
	v := newView(timer.NewVirtual(), "a", "d", 100)
	v.MergeRecords([]*wire.FleetRecord{withSequence(record("a", "d", 500), 7)})
	c.Assert(v.Self().GetIncarnation(), qt.Equals, uint64(501))
}

func TestInvalidRecordsAreIgnored(t *testing.T) {
	c := qt.New(t)
	v := newView(timer.NewVirtual(), "a", "d", 1)
	v.MergeRecords([]*wire.FleetRecord{{Node: "", PeerAddress: "x"}, {Node: "b"}, nil})
	c.Assert(v.Nodes(), qt.HasLen, 1)
}

func TestRelayIsFirstRespondingNode(t *testing.T) {
	c := qt.New(t)
	clock := timer.NewVirtual()
	v := newView(clock, "c", "d", 1)
	v.MergeRecords([]*wire.FleetRecord{record("a", "d", 1), record("b", "d", 1), record("x", "other", 1)})
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

// TestFirstNodesOfThisBuildWatchBesideOldRelays expects two nodes that follow the store's eras to watch it while one of
// the two relays that do so is of an older build.
func TestFirstNodesOfThisBuildWatchBesideOldRelays(t *testing.T) {
	c := qt.New(t)
	domains := map[string]string{"a": "d1", "b": "d1", "c": "d2", "d": "d2", "e": "d3"}
	watchers := func(old ...string) (names string) {
		var records []*wire.FleetRecord
		for name, domain := range domains {
			r := record(name, domain, 1)
			r.Sequence, r.FollowsEras = 1, !slices.Contains(old, name)
			records = append(records, r)
		}
		for _, name := range slices.Sorted(maps.Keys(domains)) {
			v := newView(timer.NewVirtual(), name, domains[name], 1)
			v.MergeRecords(records)
			if v.IsStoreWatcher() && !slices.Contains(old, name) {
				names += name
			}
		}
		return names
	}
	for old, want := range map[string]string{"": "ac", "e": "ac", "a": "bc", "ac": "bd", "ab": "cd", "abc": "de", "abce": "d", "abcd": "e"} {
		c.Check(watchers(strings.Split(old, "")...), qt.Equals, want, qt.Commentf("nodes of the older build: %s", old))
	}
}

// TestFailedNodeDoesNotDelayExchange expects that retries of a relay candidate that does not answer
// leave the exchange with the present relay as it is.
func TestFailedNodeDoesNotDelayExchange(t *testing.T) {
	c := qt.New(t)
	clock := timer.NewVirtual()
	v := newView(clock, "c", "d", 1)
	v.MergeRecords([]*wire.FleetRecord{record("a", "d", 1), record("b", "d", 1)})
	for range 40 {
		clock.Run(clock.Now() + period)
		targets := v.Targets()
		c.Assert(targets[0] == "b" || clock.Now() <= period, qt.IsTrue, qt.Commentf("after %v: %v", clock.Now(), targets))
		if slices.Contains(targets, "a") {
			v.MarkFailed("a")
		}
	}
}

// TestChangeReachesAllNodes simulates exchanges between the nodes of some failure domains, some of
// which are lost, and expects that all nodes know a change a few periods after the last loss.
func TestChangeReachesAllNodes(t *testing.T) {
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
					t.Fatalf("%s does not have the changed record of %s", name, changed)
				}
			}
		}
	})
}

func TestUnreachableNodesAreRemovedOrReported(t *testing.T) {
	c := qt.New(t)
	clock := timer.NewVirtual()
	v := newView(clock, "a", "d", 1)
	v.SetListing([]*wire.FleetRecord{record("listed", "d", 1)})
	v.MergeRecords([]*wire.FleetRecord{record("unlisted", "d", 1)})
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
