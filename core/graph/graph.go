// Package graph learns the call graph: which services the requests on a route reach.
//
// # Usage
//
//	l := graph.NewLearner()
//	l.AddExecution(route)               // at the node of a service, for each execution of a call
//	l.AddEvidence(graph.SameDeadline, route, child, 1)
//	evidence := l.Evidence()            // sent to the relay
//	edges := graph.InferEdges(evidence) // at the relay, from the summed evidence of all nodes
//	l.SetKnownEdges(edges)              // at all nodes
//
//	r := graph.NewReach(table.Routes, edges)
//	services := r.Services(route)       // at the node where a request enters
//
// No node sees all calls of a request. Each sees the executions at its own upstream and the calls that
// they make, and in a large fleet only few of them. Evidence is therefore added up over all nodes; the
// number of executions needed in total is then the same as for a single node. The inferred edges make up
// the graph, from which the node where a request enters knows the services it will load. Edges lead from
// route to route, and the routing table maps routes to services, so edges stay valid when a route moves
// to another service.
package graph

import (
	"cmp"
	"math"
	"slices"
	"sync"

	"wagtailyoke/core/table"
	"wagtailyoke/core/world"
)

// Edge is a call on route Child made by executions on route Route.
type Edge struct {
	Route, Child world.RouteID
	// CallsPerExecution is the mean number of such calls per execution that the evidence shows.
	CallsPerExecution float64
}

const (
	// decayExecutions is the count of executions on a route, over all nodes of its service, at which the
	// count and the evidence are halved. A release that changes the calls therefore shows after some hundred
	// executions. Evidence does not decay with time, as a route whose requests are all refused must keep
	// its calls.
	decayExecutions = 1200
	// minDecayExecutions is the minimum of each node's part of decayExecutions.
	minDecayExecutions = 40
	// minExecutions is the number of executions on a route from which its calls are inferred.
	minExecutions = 10
	// minCallsPerExecution is the mean number of calls below which no edge is inferred: a service that
	// one request in ten reaches is no reason to refuse the other nine.
	minCallsPerExecution = 0.2
	// minStandardDeviations is the number of standard deviations by which the evidence for a call must
	// exceed what chance explains.
	minStandardDeviations = 5
)

// Learner sums the evidence for the calls that the executions of one upstream make. Any single observation
// may be a coincidence. To correct for this, observations of the same kind that can only be coincidences are
// added with a negative weight.
type Learner struct {
	mu         sync.Mutex
	executions map[world.RouteID]float64
	pairs      map[routePair]*[EvidenceKindCount]weightSum
	// knownCalls are the calls inferred from the evidence of all nodes, nodeCount is the number of nodes
	// of the service.
	knownCalls map[routePair]bool
	nodeCount  int
}

type routePair struct {
	route, child world.RouteID
}

// EvidenceKind is a kind of evidence.
type EvidenceKind uint8

// Kinds of evidence.
const (
	// SameDeadline means that a call has the same deadline as an execution.
	SameDeadline EvidenceKind = iota
	// EndedAtReply means that an execution ended as soon as the reply to a call was received.
	EndedAtReply
	// EvidenceKindCount is the number of kinds.
	EvidenceKindCount
)

// weightSum is a sum of weights and its variance.
type weightSum struct {
	sum, variance float64
}

// NewLearner returns a learner without evidence.
func NewLearner() *Learner {
	return &Learner{executions: map[world.RouteID]float64{}, pairs: map[routePair]*[EvidenceKindCount]weightSum{}, nodeCount: 1}
}

// AddExecution counts an execution on a route, and halves the route's count and evidence when the count is large
// enough.
func (l *Learner) AddExecution(route world.RouteID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions[route]++
	if l.executions[route] < max(decayExecutions/float64(l.nodeCount), minDecayExecutions) {
		return
	}
	l.executions[route] /= 2
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

// AddEvidence adds evidence that an execution on a route made a call on a child route.
func (l *Learner) AddEvidence(kind EvidenceKind, route, child world.RouteID, weight float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := routePair{route: route, child: child}
	kinds := l.pairs[p]
	if kinds == nil {
		kinds = &[EvidenceKindCount]weightSum{}
		l.pairs[p] = kinds
	}
	kinds[kind].sum += weight
	kinds[kind].variance += weight * weight
}

// IsKnownCall reports whether executions on a route are known to make calls on a child route, from the
// evidence of all nodes or of this one.
func (l *Learner) IsKnownCall(route, child world.RouteID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := routePair{route: route, child: child}
	if l.knownCalls[p] {
		return true
	}
	kinds := l.pairs[p]
	return kinds != nil && callsPerExecution(kinds, l.executions[route]) > 0
}

// SetNodeCount sets the number of nodes of the service.
func (l *Learner) SetNodeCount(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nodeCount = max(n, 1)
}

// SetKnownEdges sets the edges that were inferred from the evidence of all nodes.
func (l *Learner) SetKnownEdges(edges []Edge) {
	known := make(map[routePair]bool, len(edges))
	for _, e := range edges {
		known[routePair{route: e.Route, child: e.Child}] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.knownCalls = known
}

// callsPerExecution returns the number of calls per execution by the kind of evidence that shows the most,
// or 0 if no kind is significant.
func callsPerExecution(kinds *[EvidenceKindCount]weightSum, executions float64) float64 {
	if executions < minExecutions {
		return 0
	}
	best := 0.0
	for _, e := range kinds {
		if e.sum >= minStandardDeviations*math.Sqrt(e.variance) {
			best = max(best, e.sum/executions)
		}
	}
	if best < minCallsPerExecution {
		return 0
	}
	return best
}

// Evidence holds what indicates that executions on a route make calls on a child route: a sum of weights and
// its variance, by kind of evidence.
type Evidence struct {
	Route, Child    world.RouteID
	Executions      float64
	Sums, Variances [EvidenceKindCount]float64
}

// Evidence returns the evidence of this node, sorted by route and child.
func (l *Learner) Evidence() []Evidence {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]Evidence, 0, len(l.pairs))
	for p, kinds := range l.pairs {
		e := Evidence{Route: p.route, Child: p.child, Executions: l.executions[p.route]}
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

// InferEdges returns the calls that evidence shows, sorted by route and child.
func InferEdges(list []Evidence) []Edge {
	var edges []Edge
	for _, e := range list {
		var kinds [EvidenceKindCount]weightSum
		for k := range kinds {
			kinds[k] = weightSum{sum: e.Sums[k], variance: e.Variances[k]}
		}
		if n := callsPerExecution(&kinds, e.Executions); n > 0 {
			edges = append(edges, Edge{Route: e.Route, Child: e.Child, CallsPerExecution: n})
		}
	}
	SortEdges(edges)
	return edges
}

// SortEdges sorts edges by route and child.
func SortEdges(edges []Edge) { slices.SortFunc(edges, compareEdges) }

func compareEdges(a, b Edge) int {
	return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Child, b.Child))
}

// Reach holds the services that requests on each route load.
type Reach struct {
	services map[world.RouteID][]world.ServiceID
}

// NewReach computes the reached services for each route of a routing table by following the edges.
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
		collectServices(r.ID, byID, children, seen, services)
		for s := range services {
			reach.services[r.ID] = append(reach.services[r.ID], s)
		}
		slices.Sort(reach.services[r.ID])
	}
	return reach
}

// collectServices adds to services those that a route and its calls reach. seen holds the visited routes.
func collectServices(id world.RouteID, routes map[world.RouteID]*table.Route, children map[world.RouteID][]world.RouteID, seen map[world.RouteID]bool, services map[world.ServiceID]bool) {
	route := routes[id]
	if route == nil || seen[id] {
		return
	}
	seen[id] = true
	for _, part := range route.Services {
		if part.Weight > 0 {
			services[part.Service] = true
		}
	}
	for _, child := range children[id] {
		collectServices(child, routes, children, seen, services)
	}
}

// Services returns the services that a request on a route reaches, including those of the route itself.
// The caller must not modify the result.
func (r *Reach) Services(route world.RouteID) []world.ServiceID { return r.services[route] }
