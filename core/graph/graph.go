// Package graph learns which services a request reaches.
//
// # Usage
//
//	l := graph.NewLearner()
//	l.Ran(route)                       // at the node of a service, for each run
//	l.Saw(graph.SameEnd, route, child, 1)
//	edges := l.Edges()                 // told to the other nodes
//
//	r := graph.NewReach(table.Routes, edges)
//	services := r.Services(route)      // where a request enters
//
// No node sees a whole request: each sees the runs of its own upstream and the calls that
// they make. These edges, from one node of each service, make up the graph, so that the
// node where a request enters knows which services it will load. Edges lead from route to
// route; the routing table says which services those lead to, so a route that moves takes
// its edges along.
package graph

import (
	"cmp"
	"math"
	"slices"
	"sync"

	"wagtailyoke/core/table"
	"wagtailyoke/core/world"
)

// Edge is a call that runs on a route make.
type Edge struct {
	Route, Child world.RouteID
	// PerRun is the number of such calls in a run that is known for sure, in the mean.
	PerRun float64
}

const (
	// mostRuns is the number of runs on a route from which older ones fade: a release
	// that changes the calls shows after some hundred runs. Time alone fades nothing, as
	// a route of which nothing is let in keeps its calls.
	mostRuns = 400
	// leastRuns is the number of runs from which the calls on a route are told.
	leastRuns = 10
	// leastPerRun is the mean number of calls below which an edge is not told: a service
	// that one request in ten reaches is no reason to refuse the other nine.
	leastPerRun = 0.2
	// certainty is the number of standard deviations by which calls must exceed what
	// chance explains.
	certainty = 5
)

// Learner sums the evidence for the calls that the runs of one upstream make. Each piece
// of evidence may be chance, so each is weighed against the same one where only chance
// can bring it about, which counts with a negative weight.
type Learner struct {
	mu    sync.Mutex
	runs  map[world.RouteID]float64
	pairs map[pair]*[kindCount]evidence
}

type pair struct {
	route, child world.RouteID
}

// Kind is a kind of evidence.
type Kind uint8

// Kinds of evidence.
const (
	// SameEnd means that a call has the deadline of a run.
	SameEnd Kind = iota
	// LastReply means that a run ended as soon as the reply to a call was there.
	LastReply
	kindCount
)

// evidence is a sum of weights, and its variance.
type evidence struct {
	sum, variance float64
}

// NewLearner returns a learner that has seen nothing.
func NewLearner() *Learner {
	return &Learner{runs: map[world.RouteID]float64{}, pairs: map[pair]*[kindCount]evidence{}}
}

// Ran counts a run.
func (l *Learner) Ran(route world.RouteID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[route]++
	if l.runs[route] < mostRuns {
		return
	}
	l.runs[route] /= 2
	for p, kinds := range l.pairs {
		if p.route != route {
			continue
		}
		for k := range kinds {
			kinds[k].sum /= 2
			kinds[k].variance /= 2
		}
	}
}

// Saw takes in evidence that a run on a route made a call on a child route.
func (l *Learner) Saw(kind Kind, route, child world.RouteID, weight float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := pair{route: route, child: child}
	kinds := l.pairs[p]
	if kinds == nil {
		kinds = &[kindCount]evidence{}
		l.pairs[p] = kinds
	}
	kinds[kind].sum += weight
	kinds[kind].variance += weight * weight
}

// Calls reports whether runs on a route are known to make calls on a child route.
func (l *Learner) Calls(route, child world.RouteID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	kinds := l.pairs[pair{route: route, child: child}]
	return kinds != nil && perRun(kinds, l.runs[route]) > 0
}

// perRun is the number of calls in a run that the best evidence shows, 0 as long as none
// is sure.
func perRun(kinds *[kindCount]evidence, runs float64) float64 {
	if runs < leastRuns {
		return 0
	}
	most := 0.0
	for _, e := range kinds {
		if e.sum >= certainty*math.Sqrt(e.variance) {
			most = max(most, e.sum/runs)
		}
	}
	if most < leastPerRun {
		return 0
	}
	return most
}

// Edges returns what was learned, in a fixed order.
func (l *Learner) Edges() []Edge {
	l.mu.Lock()
	defer l.mu.Unlock()
	var edges []Edge
	for p, kinds := range l.pairs {
		if n := perRun(kinds, l.runs[p.route]); n > 0 {
			edges = append(edges, Edge{Route: p.route, Child: p.child, PerRun: n})
		}
	}
	Sort(edges)
	return edges
}

// Sort puts edges in a fixed order.
func Sort(edges []Edge) { slices.SortFunc(edges, compare) }

func compare(a, b Edge) int {
	return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Child, b.Child))
}

// Reach tells which services a request on a route loads.
type Reach struct {
	services map[world.RouteID][]world.ServiceID
}

// NewReach follows the edges from each route of a routing table.
func NewReach(routes []*table.Route, edges []Edge) *Reach {
	byID := make(map[world.RouteID]*table.Route, len(routes))
	for _, r := range routes {
		byID[r.ID] = r
	}
	children := map[world.RouteID][]world.RouteID{}
	for _, e := range edges {
		children[e.Route] = append(children[e.Route], e.Child)
	}
	reach := &Reach{services: make(map[world.RouteID][]world.ServiceID, len(routes))}
	for _, r := range routes {
		seen := map[world.RouteID]bool{}
		services := map[world.ServiceID]bool{}
		follow(r.ID, byID, children, seen, services)
		for s := range services {
			reach.services[r.ID] = append(reach.services[r.ID], s)
		}
		slices.Sort(reach.services[r.ID])
	}
	return reach
}

func follow(id world.RouteID, routes map[world.RouteID]*table.Route, children map[world.RouteID][]world.RouteID, seen map[world.RouteID]bool, services map[world.ServiceID]bool) {
	route := routes[id]
	if route == nil || seen[id] {
		return
	}
	seen[id] = true
	for _, part := range route.Parts {
		if part.Weight > 0 {
			services[part.Service] = true
		}
	}
	for _, child := range children[id] {
		follow(child, routes, children, seen, services)
	}
}

// Services returns the services that a request on a route reaches, those of the route
// itself included. The caller must not change them.
func (r *Reach) Services(route world.RouteID) []world.ServiceID { return r.services[route] }
