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

// pressures is what an entry knows about the load below it: the sums of all services, and
// which of them a request on a route reaches.
//
// The levels come with the exchange, so they are as fresh for a route of which nothing is let
// in as for any other: if they came with replies, each entry would have to let some requests in
// to see whether a service still sheds, and those would be shed.
type pressures struct {
	mu    sync.Mutex
	sums  fleet.ServiceSums
	reach *graph.Reach
	// table and edges are what reach was made from.
	table *table.Table
	edges []graph.Edge
}

// setSums takes in what the other nodes tell, by service.
func (p *pressures) setSums(sums fleet.ServiceSums) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sums = sums
}

// setGraph takes in the call graph.
func (p *pressures) setGraph(t *table.Table, edges []graph.Edge) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t == p.table && slices.EqualFunc(edges, p.edges, isSameCall) {
		return
	}
	p.table, p.edges = t, edges
	p.reach = graph.NewReach(t.Routes, edges)
}

func isSameCall(a, b graph.Edge) bool { return a.Route == b.Route && a.Child == b.Child }

func (p *pressures) of(service world.ServiceID) fleet.ServiceSum {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sums.Of(service)
}

func (p *pressures) reached(route world.RouteID) []world.ServiceID {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reach == nil {
		return nil
	}
	return p.reach.Services(route)
}

// serviceLevel is the admission level of a service: the mean over its endpoints. A request
// that calls several of them would else meet the highest level, which is above what the
// service as a whole needs.
func (n *Node) serviceLevel(service world.ServiceID) float64 {
	sum := n.pressures.of(service)
	if service == n.callerService() {
		_, _, limit := n.line.Counts()
		sum.WeightedLevels += n.line.Level() * float64(limit)
		sum.Slots += float64(limit)
	}
	return sum.Level()
}

// reachedLevel is the admission level of a service that a request reaches.
type reachedLevel struct {
	service world.ServiceID
	level   float64
}

// levelLogged is the time between two log lines that explain the own service's admission level.
const levelLogged = time.Second

// showLevel logs why requests that reach the own service are refused at the entries.
func (n *Node) showLevel() {
	level, now := n.line.Level(), n.Clock.Now()
	if level == 0 || now < n.levelLogDue {
		return
	}
	n.levelLogDue = now + levelLogged
	_, _, limit := n.line.Counts()
	b := n.line.LevelInputs()
	n.Events.Log(event.LevelRaised, event.Field{Name: "admissionLevel", Value: level},
		event.Field{Name: "slots", Value: n.pressures.of(n.callerService()).Slots + float64(limit)}, event.Field{Name: "usable", Value: b.UsableShare},
		event.Field{Name: "need", Value: tenths(b.SlotDemand)}, event.Field{Name: "asked", Value: tenths(b.RequestedRate)},
		event.Field{Name: "letIn", Value: tenths(b.AdmittedRate)}, event.Field{Name: "offered", Value: tenths(b.RequestedSlots)})
}

// tenths rounds a list for a log line.
func tenths(list []float64) []float64 {
	short := make([]float64, 0, len(list))
	for _, x := range list {
		short = append(short, math.Round(10*x)/10)
	}
	return short
}

// levelsOf returns the levels of the services that a request on a route reaches.
func (n *Node) levelsOf(route world.RouteID) []reachedLevel {
	services := n.pressures.reached(route)
	levels := make([]reachedLevel, 0, len(services))
	for _, service := range services {
		levels = append(levels, reachedLevel{service: service, level: n.serviceLevel(service)})
	}
	return levels
}

// highestBut returns the highest level but that of one service.
func highestBut(levels []reachedLevel, service world.ServiceID) reachedLevel {
	var highest reachedLevel
	for _, l := range levels {
		if l.service != service && l.level > highest.level {
			highest = l
		}
	}
	return highest
}

// learnGraph takes in the calls that the runs of all upstreams make.
func (n *Node) learnGraph(nodes []fleet.Node) {
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
	n.pressures.setGraph(t.Table, edges)
}

// decideGraph decides at a relay, from what all nodes tell, which calls runs make.
func (n *Node) decideGraph() {
	if !n.view.IsRelay() {
		return
	}
	var list []graph.Evidence
	runs := map[string]float64{}
	for _, w := range n.view.Evidence() {
		e := graph.Evidence{Route: world.RouteID(w.GetRoute()), Child: world.RouteID(w.GetChild()), Executions: float64(w.GetRuns())}
		for k := range min(len(w.GetSums()), len(w.GetVariances()), int(graph.EvidenceKindCount)) {
			e.Sums[k], e.Variances[k] = float64(w.GetSums()[k]), float64(w.GetVariances()[k])
		}
		list = append(list, e)
		runs[w.GetRoute()] = max(runs[w.GetRoute()], e.Executions)
	}
	edges := graph.InferEdges(list)
	for _, kept := range graphEdges(n.recall.edges()) {
		isDecided := slices.ContainsFunc(edges, func(other graph.Edge) bool { return isSameCall(kept, other) })
		if !isDecided && runs[string(kept.Route)] < recallRuns {
			edges = append(edges, kept)
		}
	}
	graph.SortEdges(edges)
	n.view.SetEdges(wireEdges(edges))
}

// recallRuns is the number of runs on a route, over all nodes, from which what they show counts
// instead of what the store has kept: some of the evidence for each call is there by then.
const recallRuns = 100

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
	// tellUse is the part of a service's slots in use from which entries tell what they
	// are asked for: a service with more room needs no admission level.
	tellUse = 0.3
	// heedUse is the part from which all entries will have told it, so that the service
	// can take what it was told for the whole.
	heedUse = 0.4
)

// wireOffers returns what this node is asked for, for the services that may need it.
func (n *Node) wireOffers() []*wire.ServiceOffer {
	var list []*wire.ServiceOffer
	for _, service := range n.offers.Services() {
		if n.useOf(service) < tellUse && n.serviceLevel(service) == 0 {
			continue
		}
		o := &wire.ServiceOffer{Service: string(service)}
		for _, rate := range n.offers.Rates(service) {
			o.Asked = append(o.Asked, float32(rate.Requested))
			o.LetIn = append(o.LetIn, float32(rate.Admitted))
		}
		list = append(list, o)
	}
	return list
}

// useOf is the part of a service's slots that the calls need.
func (n *Node) useOf(service world.ServiceID) float64 {
	sum := n.pressures.of(service)
	need, slots := fleet.Total(sum.SlotDemand), sum.Slots
	if service == n.callerService() {
		_, _, limit := n.line.Counts()
		need, slots = need+fleet.Total(n.line.SlotDemand()), slots+float64(limit)
	}
	if slots == 0 {
		return 0
	}
	return need / slots
}

// heedOffers takes in what other entries were asked for that reaches the own service, and
// what this one was.
func (n *Node) heedOffers(others fleet.ServiceSum) {
	service := n.callerService()
	if n.useOf(service) < heedUse && n.line.Level() == 0 {
		n.line.SetRequestRates(nil)
		return
	}
	var offers []admit.RequestRates
	for g := range min(len(others.Requested), len(others.Admitted)) {
		offers = addOffer(offers, g, admit.RequestRates{Requested: others.Requested[g], Admitted: others.Admitted[g]})
	}
	for g, o := range n.offers.Rates(service) {
		offers = addOffer(offers, g, o)
	}
	n.line.SetRequestRates(offers)
}

func addOffer(sum []admit.RequestRates, grade int, o admit.RequestRates) []admit.RequestRates {
	for len(sum) <= grade {
		sum = append(sum, admit.RequestRates{})
	}
	sum[grade].Requested += o.Requested
	sum[grade].Admitted += o.Admitted
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
