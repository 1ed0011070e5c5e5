package graph_test

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"wagtailyoke/core/graph"
	"wagtailyoke/core/table"
	"wagtailyoke/core/world"
)

func TestEdgesNeedSignificantEvidence(t *testing.T) {
	c := qt.New(t)
	l := graph.NewLearner()
	c.Assert(graph.InferEdges(l.Evidence()), qt.HasLen, 0)
	for i := range 1000 {
		l.AddExecution("view")
		l.AddEvidence(graph.SameDeadline, "view", "hold", 1)
		l.AddEvidence(graph.EndedAtReply, "view", "map", 1)
		l.AddEvidence(graph.EndedAtReply, "view", "map", 1)
		if i%20 == 0 {
			l.AddEvidence(graph.EndedAtReply, "view", "seldom", 1)
		}
		// Observed as often where it can only be a coincidence.
		l.AddEvidence(graph.EndedAtReply, "view", "beside", 1)
		l.AddEvidence(graph.EndedAtReply, "view", "beside", -1)
	}
	expectEdges(c, l, "view>hold", "view>map")
	c.Assert(l.IsKnownCall("view", "map"), qt.IsTrue)
	c.Assert(l.IsKnownCall("map", "view"), qt.IsFalse)
	perRun := graph.InferEdges(l.Evidence())[1].CallsPerExecution
	c.Assert(math.Abs(perRun-2) < 0.05, qt.IsTrue, qt.Commentf("%v", perRun))
}

func TestEdgesChangeAfterRelease(t *testing.T) {
	c := qt.New(t)
	l := graph.NewLearner()
	simulate := func(child world.RouteID) {
		for range 2000 {
			l.AddExecution("view")
			l.AddEvidence(graph.EndedAtReply, "view", child, 1)
		}
	}
	simulate("old")
	expectEdges(c, l, "view>old")
	simulate("new")
	expectEdges(c, l, "view>new")
}

func expectEdges(c *qt.C, l *graph.Learner, want ...string) {
	c.Helper()
	var got []string
	for _, e := range graph.InferEdges(l.Evidence()) {
		got = append(got, string(e.Route+">"+e.Child))
	}
	c.Assert(got, qt.DeepEquals, want)
}

func TestReachUsesCurrentRoutingTable(t *testing.T) {
	c := qt.New(t)
	edges := []graph.Edge{{Route: "a", Child: "b"}, {Route: "b", Child: "c"}, {Route: "c", Child: "a"}, {Route: "c", Child: "gone"}}
	routes := []*table.Route{
		{ID: "a", Services: []table.WeightedService{{Service: "one", Weight: 1}, {Service: "off", Weight: 0}}},
		{ID: "b", Services: []table.WeightedService{{Service: "two", Weight: 1}}},
		{ID: "c", Services: []table.WeightedService{{Service: "three", Weight: 1}}},
		{ID: "d", Services: []table.WeightedService{{Service: "two", Weight: 1}}},
	}
	r := graph.NewReach(routes, edges)
	c.Assert(r.Services("a"), qt.DeepEquals, []world.ServiceID{"one", "three", "two"})
	c.Assert(r.Services("d"), qt.DeepEquals, []world.ServiceID{"two"})
	c.Assert(r.Services("unknown"), qt.HasLen, 0)
	// Edges to a route that moves lead to its new service.
	routes[1].Services = []table.WeightedService{{Service: "elsewhere", Weight: 1}}
	c.Assert(graph.NewReach(routes, edges).Services("a"), qt.DeepEquals, []world.ServiceID{"elsewhere", "one", "three"})
}
