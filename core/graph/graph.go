// Package graph learns which services a request reaches.
//
// # Usage
//
//	l := graph.NewLearner()
//	l.Ran(route)                       // at the node of a service, for each run
//	l.Saw(graph.SameEnd, route, child, 1)
//	evidence := l.Evidence()           // told to the relay
//	edges := graph.Decide(evidence)    // at the relay, of what it was told, added up
//	l.SetKnown(edges)                  // at all nodes
//
//	r := graph.NewReach(table.Routes, edges)
//	services := r.Services(route)      // where a request enters
//
// No node sees a whole request: each sees the runs of its own upstream and the calls that
// they make, and in a large fleet few of them. So evidence is added up over all nodes, which
// takes as many runs together as a single node would need. The edges make up the graph, so
// that the node where a request enters knows which services it will load. Edges lead from
// route to route; the routing table says which services those lead to, so a route that moves
// takes its edges along.
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
	// CallsPerExecution is the number of such calls in a run that is known for sure, in the mean.
	CallsPerExecution float64
}

const (
	// mostRuns is the number of runs on a route, over the nodes of its service, from which
	// older ones fade: a release that changes the calls shows after some hundred runs. Time
	// alone fades nothing, as a route of which nothing is let in keeps its calls.
	mostRuns = 1200
	// leastFading is the least number of them at one node.
	leastFading = 40
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
	pairs map[pair]*[EvidenceKindCount]evidence
	// known are the calls that all nodes together have learned, nodes is their number.
	known map[pair]bool
	nodes int
}

type pair struct {
	route, child world.RouteID
}

// EvidenceKind is a kind of evidence.
type EvidenceKind uint8

// Kinds of evidence.
const (
	// SameDeadline means that a call has the deadline of a run.
	SameDeadline EvidenceKind = iota
	// EndedAtReply means that a run ended as soon as the reply to a call was there.
	EndedAtReply
	// EvidenceKindCount is the number of kinds.
	EvidenceKindCount
)

// evidence is a sum of weights, and its variance.
type evidence struct {
	sum, variance float64
}

// NewLearner returns a learner that has seen nothing.
func NewLearner() *Learner {
	return &Learner{runs: map[world.RouteID]float64{}, pairs: map[pair]*[EvidenceKindCount]evidence{}, nodes: 1}
}

// AddExecution counts a run.
func (l *Learner) AddExecution(route world.RouteID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[route]++
	if l.runs[route] < max(mostRuns/float64(l.nodes), leastFading) {
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

// AddEvidence takes in evidence that a run on a route made a call on a child route.
func (l *Learner) AddEvidence(kind EvidenceKind, route, child world.RouteID, weight float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := pair{route: route, child: child}
	kinds := l.pairs[p]
	if kinds == nil {
		kinds = &[EvidenceKindCount]evidence{}
		l.pairs[p] = kinds
	}
	kinds[kind].sum += weight
	kinds[kind].variance += weight * weight
}

// IsKnownCall reports whether runs on a route are known to make calls on a child route.
func (l *Learner) IsKnownCall(route, child world.RouteID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := pair{route: route, child: child}
	if l.known[p] {
		return true
	}
	kinds := l.pairs[p]
	return kinds != nil && perRun(kinds, l.runs[route]) > 0
}

// SetNodeCount sets the number of nodes of the service.
func (l *Learner) SetNodeCount(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nodes = max(n, 1)
}

// SetKnownEdges takes in what all nodes together have learned.
func (l *Learner) SetKnownEdges(edges []Edge) {
	known := make(map[pair]bool, len(edges))
	for _, e := range edges {
		known[pair{route: e.Route, child: e.Child}] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.known = known
}

// perRun is the number of calls in a run that the best evidence shows, 0 as long as none
// is sure.
func perRun(kinds *[EvidenceKindCount]evidence, runs float64) float64 {
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

// Evidence is what speaks for it that runs on a route make calls on another one: a sum of weights
// and its variance, by kind.
type Evidence struct {
	Route, Child    world.RouteID
	Executions      float64
	Sums, Variances [EvidenceKindCount]float64
}

// Evidence returns what was seen, in a fixed order.
func (l *Learner) Evidence() []Evidence {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]Evidence, 0, len(l.pairs))
	for p, kinds := range l.pairs {
		e := Evidence{Route: p.route, Child: p.child, Executions: l.runs[p.route]}
		for k := range kinds {
			e.Sums[k], e.Variances[k] = kinds[k].sum, kinds[k].variance
		}
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b Evidence) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Child, b.Child))
	})
	return list
}

// InferEdges returns the calls that evidence shows, in a fixed order.
func InferEdges(list []Evidence) []Edge {
	var edges []Edge
	for _, e := range list {
		var kinds [EvidenceKindCount]evidence
		for k := range kinds {
			kinds[k] = evidence{sum: e.Sums[k], variance: e.Variances[k]}
		}
		if n := perRun(&kinds, e.Executions); n > 0 {
			edges = append(edges, Edge{Route: e.Route, Child: e.Child, CallsPerExecution: n})
		}
	}
	SortEdges(edges)
	return edges
}

// SortEdges puts edges in a fixed order.
func SortEdges(edges []Edge) { slices.SortFunc(edges, compare) }

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
