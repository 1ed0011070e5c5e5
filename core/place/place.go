// Package place chooses the endpoint that is to run a call.
//
// # Usage
//
//	p := place.New(clock, random, domain, node)
//	p.Update(endpoints)
//	e, ok := p.Pick(place.Want{Service: service, Route: route, Left: left, Tried: tried})
//	p.Done(e.Node, place.Outcome{Took: ..., Load: ..., Limit: ...})
//
// The load that it answers: endpoints of one service that differ in speed by a factor of
// three, of which each failure domain has one or a few. Bytes between domains cost and
// take time, so the own domain comes first; but an endpoint that is loaded or failing, or
// too slow for the call's target latency, loses its calls to others before callers notice.
package place

import (
	"math"
	"math/rand"
	"slices"
	"sort"
	"sync"
	"time"

	"wagtailyoke/core/timer"
	"wagtailyoke/core/world"
)

// Endpoint is an upstream with the node that leads to it.
type Endpoint struct {
	Node        world.NodeID
	Domain      world.DomainID
	Service     world.ServiceID
	Peer        world.Address
	Instance    world.InstanceID
	Incarnation uint64
	// IsUnreachable means that the node was not heard of for a while.
	IsUnreachable bool
	// Limit is how many calls the upstream runs at once.
	Limit int
}

// Outcome is what the end of a call tells about its endpoint.
type Outcome struct {
	// Latency is the time from sending to the answer, 0 if that says nothing.
	Latency time.Duration
	Route   world.RouteID
	// Failed means that the endpoint did not answer well.
	Failed bool
	// IsRefused means that the endpoint's node refused the call before it ran.
	IsRefused bool
	// IsDraining means that the upstream takes no more calls.
	IsDraining bool
	// Load and Limit are the node's calls in flight and concurrency limit, if it said so.
	Load  int
	Limit int
}

// Criteria is a call that needs an endpoint.
type Criteria struct {
	Service world.ServiceID
	Route   world.RouteID
	// TimeLeft is the time within which the answer is of full use, 0 if that is not known.
	TimeLeft time.Duration
	// Tried are the nodes that are not to be asked again.
	Tried []world.NodeID
}

const (
	// comfort is the part of the time left that an endpoint may usually need without
	// counting as slow: the rest covers the longer calls.
	comfort = 0.4
	// farPenalty is how much worse an endpoint of another failure domain counts.
	farPenalty = 1.5
	// ownBonus is how much better the upstream of this VM counts: there is no hop.
	ownBonus = 0.9
	// sharpness is the power by which a worse score makes a choice less likely.
	sharpness = 8
	// slowWeight is the weight of a new sample in the measured slowness.
	slowWeight = 0.1
	// failWeight is the weight of a new sample in the share of failures.
	failWeight = 0.15
	// failPenalty is how much worse an endpoint counts for failing always.
	failPenalty = 6
	// leastSlowness and mostSlowness bound the measured slowness.
	leastSlowness = 0.2
	mostSlowness  = 20
	// busyFrom is the share of the limit in use from which calls will wait or slow down.
	busyFrom = 0.6
	// busyPenalty is how much worse an endpoint counts when its limit is in use whole.
	busyPenalty = 1.5
	// queuePenalty is the same for each further limit's worth of calls.
	queuePenalty = 4
	// failuresToExclude is the number of failures in a row that exclude an endpoint.
	failuresToExclude = 3
	leastExclusion    = 500 * time.Millisecond
	mostExclusion     = 4 * time.Second
	// leavingTime is how long a reported leave outweighs the records, which lag.
	leavingTime = 2 * time.Second
	// forgetSlow is the time constant at which an unused endpoint's slowness and
	// failures are forgiven, so that it is tried again.
	forgetSlow = 4 * time.Second
	// loadTime is how long what an endpoint told of its load counts: calls last some tenths
	// of a second.
	loadTime = time.Second
	// defaultLimit is the concurrency limit of an endpoint that has not told one.
	defaultLimit = 16
)

type state struct {
	Endpoint
	inFlight int
	slowness float64
	failing  float64
	touched  time.Duration
	// load was told at an instant, by the endpoint's node or its failure domain's relay.
	load, limit int
	told        time.Duration
	failures    int
	excluded    time.Duration
	leaving     time.Duration
}

// Picker keeps the endpoints of all services.
type Picker struct {
	clock  timer.Service
	domain world.DomainID
	node   world.NodeID

	mu       sync.Mutex
	random   *rand.Rand
	nodes    map[world.NodeID]*state
	services map[world.ServiceID][]*state
	// usual is the usual time of each route, over all endpoints.
	usual map[world.RouteID]float64
	// uses are the parts of the slots of services in use, by failure domain.
	uses map[world.DomainID]map[world.ServiceID]float64
}

// New returns a picker without endpoints for a node in a failure domain.
func New(clock timer.Service, random *rand.Rand, domain world.DomainID, node world.NodeID) *Picker {
	return &Picker{
		clock:    clock,
		domain:   domain,
		node:     node,
		random:   random,
		nodes:    map[world.NodeID]*state{},
		services: map[world.ServiceID][]*state{},
		usual:    map[world.RouteID]float64{},
	}
}

// Update replaces the endpoints; what is known of those that stay is kept.
func (p *Picker) Update(endpoints []Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	nodes := make(map[world.NodeID]*state, len(endpoints))
	services := map[world.ServiceID][]*state{}
	for _, e := range endpoints {
		s := p.nodes[e.Node]
		if s == nil || s.Incarnation != e.Incarnation || s.Instance != e.Instance {
			s = &state{slowness: 1, touched: p.clock.Now(), told: -loadTime}
		}
		s.Endpoint, s.limit = e, e.Limit
		nodes[e.Node] = s
		services[e.Service] = append(services[e.Service], s)
	}
	for _, list := range services {
		sort.Slice(list, func(i, j int) bool { return list[i].Node < list[j].Node })
	}
	p.nodes, p.services = nodes, services
}

// SetLoads takes in the calls at endpoints, by node, and the parts of the slots of services that
// are in use, by failure domain.
func (p *Picker) SetLoads(loads map[world.NodeID]int, uses map[world.DomainID]map[world.ServiceID]float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for node, load := range loads {
		if s := p.nodes[node]; s != nil {
			s.load, s.told = load, now
		}
	}
	p.uses = uses
}

// loadLocked is the number of calls at an endpoint. One that has told nothing lately is taken to
// be as busy as others of its service in its failure domain.
func (p *Picker) loadLocked(s *state) int {
	if p.clock.Now()-s.told < loadTime {
		return s.load
	}
	return int(p.uses[s.Domain][s.Service] * float64(s.limit))
}

// Pick chooses an endpoint that is not among the tried ones and counts a call in
// flight to it. It returns false if no endpoint is left.
func (p *Picker) Pick(want Criteria) (Endpoint, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.usableLocked(want.Service, want.Tried)
	if len(list) == 0 {
		return Endpoint{}, false
	}
	best := p.drawLocked(list, want)
	best.inFlight++
	return best.Endpoint, true
}

// usableLocked returns the endpoints that may be tried. Those that are excluded are left out unless
// nothing else is left, those that are silent unless even no excluded one is: in a failure domain that
// is cut off, endpoints fail by the calls that they make, and those outside do not answer at all.
func (p *Picker) usableLocked(service world.ServiceID, tried []world.NodeID) []*state {
	now := p.clock.Now()
	var good, excluded, silent []*state
	for _, s := range p.services[service] {
		switch {
		case slices.Contains(tried, s.Node) || now < s.leaving:
		case s.IsUnreachable:
			silent = append(silent, s)
		case now < s.excluded:
			excluded = append(excluded, s)
		default:
			good = append(good, s)
		}
	}
	for _, list := range [][]*state{good, excluded} {
		if len(list) > 0 {
			return list
		}
	}
	return silent
}

// drawLocked draws an endpoint at random, a better one much more likely. A firm choice of
// the best would send the calls of all nodes to the same one at once.
func (p *Picker) drawLocked(list []*state, want Criteria) *state {
	best := math.Inf(1)
	scores := make([]float64, len(list))
	for i, s := range list {
		scores[i] = p.scoreLocked(s, want)
		best = min(best, scores[i])
	}
	sum := 0.0
	for i := range scores {
		scores[i] = math.Pow(best/scores[i], sharpness)
		sum += scores[i]
	}
	at := p.random.Float64() * sum
	for i, s := range list {
		if at < scores[i] {
			return s
		}
		at -= scores[i]
	}
	return list[len(list)-1]
}

// scoreLocked is the expected time of a call, relative to the usual one or, where that is
// longer, to the time that it may take.
func (p *Picker) scoreLocked(s *state, want Criteria) float64 {
	idle := p.clock.Now() - s.touched
	fresh := timer.Fading(idle, forgetSlow)
	score := 1 + (s.slowness-1)*fresh
	if usual, ok := p.usual[want.Route]; ok && want.TimeLeft > 0 {
		if most := comfort * want.TimeLeft.Seconds() / usual; most > 1 {
			score = max(1, score/most)
		}
	}
	score *= 1 + failPenalty*s.failing*fresh
	score *= crowding(max(p.loadLocked(s), s.inFlight)+1, s.limit)
	switch {
	case s.Node == p.node:
		score *= ownBonus
	case s.Domain != p.domain:
		score *= farPenalty
	}
	return score
}

// crowding is the factor by which calls in flight lengthen the next one.
func crowding(load, limit int) float64 {
	if limit <= 0 {
		limit = defaultLimit
	}
	use := float64(load) / float64(limit)
	if use <= busyFrom {
		return 1
	}
	if use <= 1 {
		return 1 + (busyPenalty-1)*(use-busyFrom)/(1-busyFrom)
	}
	return busyPenalty + queuePenalty*(use-1)
}

// Done ends a call in flight.
func (p *Picker) Done(node world.NodeID, o Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.nodes[node]
	if s == nil {
		return
	}
	now := p.clock.Now()
	s.inFlight = max(0, s.inFlight-1)
	if o.Limit > 0 {
		s.load, s.limit, s.told = o.Load, o.Limit, now
	}
	if o.IsDraining {
		s.leaving = now + leavingTime
		return
	}
	if o.IsRefused {
		return
	}
	p.judgeLocked(s, o, now)
}

func (p *Picker) judgeLocked(s *state, o Outcome, now time.Duration) {
	fresh := timer.Fading(now-s.touched, forgetSlow)
	s.slowness = 1 + (s.slowness-1)*fresh
	s.failing *= fresh
	s.touched = now
	if o.Failed {
		s.failing += failWeight * (1 - s.failing)
		s.failures++
		if s.failures >= failuresToExclude {
			s.excluded = now + min(leastExclusion<<min(s.failures-failuresToExclude, 3), mostExclusion)
		}
		return
	}
	s.failing -= failWeight * s.failing
	s.failures = 0
	if o.Latency <= 0 {
		return
	}
	took := o.Latency.Seconds()
	usual, ok := p.usual[o.Route]
	if !ok {
		p.usual[o.Route] = took
		return
	}
	p.usual[o.Route] = usual + slowWeight/4*(took-usual)
	sample := min(max(took/max(usual, 1e-4), leastSlowness), mostSlowness)
	s.slowness += slowWeight * (sample - s.slowness)
}
