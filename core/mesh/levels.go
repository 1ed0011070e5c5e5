package mesh

import (
	"math"
	"slices"
	"sync"
	"time"

	"wagtailyoke/core/admit"
	"wagtailyoke/core/event"
	"wagtailyoke/core/fleet"
	"wagtailyoke/core/graph"
	"wagtailyoke/core/table"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// serviceLoads holds the load of the services that requests entering at this node may reach: the sums
// of all services, and the services that a request on a route reaches.
//
// Admission levels are distributed by the exchange between nodes. They are therefore equally recent for
// a route on which nothing is admitted. If levels came with replies, each node would have to admit some
// requests to find out whether a service still sheds, and those requests would be shed.
type serviceLoads struct {
	mu    sync.Mutex
	sums  fleet.ServiceSums
	reach *graph.Reach
	// table and edges are the inputs from which reach was computed.
	table *table.Table
	edges []graph.Edge
}

// setSums sets the loads that other nodes report, by service.
func (l *serviceLoads) setSums(sums fleet.ServiceSums) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sums = sums
}

// setGraph sets the call graph.
func (l *serviceLoads) setGraph(t *table.Table, edges []graph.Edge) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t == l.table && slices.EqualFunc(edges, l.edges, isSameEdge) {
		return
	}
	l.table, l.edges = t, edges
	l.reach = graph.NewReach(t.Routes, edges)
}

func isSameEdge(a, b graph.Edge) bool { return a.Route == b.Route && a.Child == b.Child }

func (l *serviceLoads) sumOf(service world.ServiceID) fleet.ServiceSum {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sums.Of(service)
}

func (l *serviceLoads) reachableServices(route world.RouteID) []world.ServiceID {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reach == nil {
		return nil
	}
	return l.reach.Services(route)
}

// serviceLevel returns the admission level of a service: the mean over its endpoints. With the levels
// of single endpoints, a request that calls several of them would be subject to the highest one, which
// is above the level that the service as a whole needs.
func (n *Node) serviceLevel(service world.ServiceID) float64 {
	sum := n.serviceLoads.sumOf(service)
	if service == n.callerService() {
		slots := n.usableSlots()
		sum.WeightedLevels += n.queue.Level() * slots
		sum.Slots += slots
	}
	return sum.Level()
}

// reachedLevel is the admission level of a service that a request reaches.
type reachedLevel struct {
	service world.ServiceID
	level   float64
}

// levelLogInterval is the time between log lines that explain the own service's admission level.
const levelLogInterval = time.Second

// logLevel logs why requests that reach the own service are refused where they enter.
func (n *Node) logLevel() {
	level, now := n.queue.Level(), n.Clock.Now()
	if level == 0 || now < n.nextLevelLog {
		return
	}
	n.nextLevelLog = now + levelLogInterval
	inputs := n.queue.LevelInputs()
	n.Events.Log(event.LevelRaised, event.Field{Name: "admissionLevel", Value: level},
		event.Field{Name: "slots", Value: n.serviceLoads.sumOf(n.callerService()).Slots + n.usableSlots()}, event.Field{Name: "usable", Value: inputs.UsableShare},
		event.Field{Name: "need", Value: roundToTenths(inputs.SlotDemand)}, event.Field{Name: "asked", Value: roundToTenths(inputs.RequestedRate)},
		event.Field{Name: "letIn", Value: roundToTenths(inputs.AdmittedRate)}, event.Field{Name: "offered", Value: roundToTenths(inputs.RequestedSlots)})
}

// roundToTenths rounds a list for a log line.
func roundToTenths(list []float64) []float64 {
	rounded := make([]float64, 0, len(list))
	for _, x := range list {
		rounded = append(rounded, math.Round(10*x)/10)
	}
	return rounded
}

// levelsOf returns the levels of the services that a request on a route reaches.
func (n *Node) levelsOf(route world.RouteID) []reachedLevel {
	services := n.serviceLoads.reachableServices(route)
	levels := make([]reachedLevel, 0, len(services))
	for _, service := range services {
		levels = append(levels, reachedLevel{service: service, level: n.serviceLevel(service)})
	}
	return levels
}

// highestExcept returns the highest level, ignoring that of one service.
func highestExcept(levels []reachedLevel, service world.ServiceID) reachedLevel {
	var highest reachedLevel
	for _, l := range levels {
		if l.service != service && l.level > highest.level {
			highest = l
		}
	}
	return highest
}

// applyGraph updates the call graph with the calls that executions at all upstreams make.
func (n *Node) applyGraph(nodes []fleet.Node) {
	peers := 0
	for _, node := range nodes {
		if node.Record.GetService() == string(n.callerService()) {
			peers++
		}
	}
	n.graph.SetNodeCount(peers)
	t := n.table.Load()
	if t == nil {
		return
	}
	edges := graphEdges(n.view.Edges())
	n.graph.SetKnownEdges(edges)
	n.serviceLoads.setGraph(t.Table, edges)
}

// inferGraph infers at a relay which calls executions make, from the evidence of all nodes.
func (n *Node) inferGraph() {
	if !n.view.IsRelay() {
		return
	}
	var list []graph.Evidence
	executions := map[string]float64{}
	for _, w := range n.view.Evidence() {
		e := graph.Evidence{Route: world.RouteID(w.GetRoute()), Child: world.RouteID(w.GetChild()), Executions: float64(w.GetRuns())}
		for k := range min(len(w.GetSums()), len(w.GetVariances()), int(graph.EvidenceKindCount)) {
			e.Sums[k], e.Variances[k] = float64(w.GetSums()[k]), float64(w.GetVariances()[k])
		}
		list = append(list, e)
		executions[w.GetRoute()] = max(executions[w.GetRoute()], e.Executions)
	}
	edges := graph.InferEdges(list)
	for _, stored := range graphEdges(n.graphStore.storedEdges()) {
		isInferred := slices.ContainsFunc(edges, func(other graph.Edge) bool { return isSameEdge(stored, other) })
		if !isInferred && executions[string(stored.Route)] < minLearnedExecutions {
			edges = append(edges, stored)
		}
	}
	graph.SortEdges(edges)
	n.view.SetEdges(wireEdges(edges))
}

// minLearnedExecutions is the number of executions on a route, over all nodes, from which the learned
// calls replace the stored ones: by then there is some evidence for each call.
const minLearnedExecutions = 100

func wireEvidence(list []graph.Evidence) []*wire.CallEvidence {
	var all []*wire.CallEvidence
	for _, e := range list {
		w := &wire.CallEvidence{Route: string(e.Route), Child: string(e.Child), Runs: float32(e.Executions)}
		for k := range graph.EvidenceKindCount {
			w.Sums, w.Variances = append(w.Sums, float32(e.Sums[k])), append(w.Variances, float32(e.Variances[k]))
		}
		all = append(all, w)
	}
	return all
}

const (
	// offerReportUtilization is the fraction of a service's slots in use from which nodes report the
	// load offered to it. A service with more free capacity needs no admission level.
	offerReportUtilization = 0.3
	// offerApplyUtilization is the fraction from which all nodes will have reported their offered
	// load, which lets the service take the sum of the reports as the total.
	offerApplyUtilization = 0.4
)

// wireOfferedLoad returns the load offered at this node, for the services that may need it.
func (n *Node) wireOfferedLoad() []*wire.ServiceOffer {
	var list []*wire.ServiceOffer
	for _, service := range n.offeredLoad.Services() {
		if n.utilizationOf(service) < offerReportUtilization && n.serviceLevel(service) == 0 {
			continue
		}
		offer := &wire.ServiceOffer{Service: string(service)}
		for _, rate := range n.offeredLoad.Rates(service) {
			offer.Asked = append(offer.Asked, float32(rate.Requested))
			offer.LetIn = append(offer.LetIn, float32(rate.Admitted))
		}
		list = append(list, offer)
	}
	return list
}

// utilizationOf returns the fraction of a service's slots that its calls need.
func (n *Node) utilizationOf(service world.ServiceID) float64 {
	sum := n.serviceLoads.sumOf(service)
	need, slots := fleet.Total(sum.SlotDemand), sum.Slots
	if service == n.callerService() {
		need, slots = need+fleet.Total(n.queue.SlotDemand()), slots+n.usableSlots()
	}
	if slots == 0 {
		return 0
	}
	return need / slots
}

// applyOfferedLoad passes to the wait queue the load that is offered to the own service, as reported
// by other nodes and counted by this one.
func (n *Node) applyOfferedLoad(others fleet.ServiceSum) {
	service := n.callerService()
	if n.utilizationOf(service) < offerApplyUtilization && n.queue.Level() == 0 {
		n.queue.SetRequestRates(nil)
		return
	}
	var rates []admit.RequestRates
	for g := range min(len(others.Requested), len(others.Admitted)) {
		rates = addRates(rates, g, admit.RequestRates{Requested: others.Requested[g], Admitted: others.Admitted[g]})
	}
	for g, rate := range n.offeredLoad.Rates(service) {
		rates = addRates(rates, g, rate)
	}
	n.queue.SetRequestRates(rates)
}

func addRates(sum []admit.RequestRates, grade int, rates admit.RequestRates) []admit.RequestRates {
	for len(sum) <= grade {
		sum = append(sum, admit.RequestRates{})
	}
	sum[grade].Requested += rates.Requested
	sum[grade].Admitted += rates.Admitted
	return sum
}

func graphEdges(list []*wire.CallEdge) []graph.Edge {
	edges := make([]graph.Edge, 0, len(list))
	for _, e := range list {
		edges = append(edges, graph.Edge{Route: world.RouteID(e.GetRoute()), Child: world.RouteID(e.GetChild())})
	}
	return edges
}

func wireEdges(edges []graph.Edge) []*wire.CallEdge {
	var list []*wire.CallEdge
	for _, e := range edges {
		list = append(list, &wire.CallEdge{Route: string(e.Route), Child: string(e.Child)})
	}
	return list
}
