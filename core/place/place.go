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
	// timeLeftFraction is the part of the time left that an endpoint may usually need without
	// counting as slow: the rest covers the longer calls.
	timeLeftFraction = 0.4
	// otherDomainFactor is how much worse an endpoint of another failure domain counts.
	otherDomainFactor = 1.5
	// ownVMFactor is how much better the upstream of this VM counts: there is no hop.
	ownVMFactor = 0.9
	// scoreExponent is the power by which a worse score makes a choice less likely.
	scoreExponent = 8
	// slownessWeight is the weight of a new sample in the measured slowness.
	slownessWeight = 0.1
	// failureWeight is the weight of a new sample in the share of failures.
	failureWeight = 0.15
	// failurePenalty is how much worse an endpoint counts for failing always.
	failurePenalty = 6
	// minSlowness and mostSlowness bound the measured slowness.
	minSlowness = 0.2
	maxSlowness = 20
	// busyThreshold is the share of the limit in use from which calls will wait or slow down.
	busyThreshold = 0.6
	// fullLoadFactor is how much worse an endpoint counts when its limit is in use whole.
	fullLoadFactor = 1.5
	// overloadPenalty is the same for each further limit's worth of calls.
	overloadPenalty = 4
	// failuresToExclude is the number of failures in a row that exclude an endpoint.
	failuresToExclude = 3
	minExclusion      = 500 * time.Millisecond
	maxExclusion      = 4 * time.Second
	// drainingTTL is how long a reported leave outweighs the records, which lag.
	drainingTTL = 2 * time.Second
	// historyTimeConstant is the time constant at which an unused endpoint's slowness and
	// failures are forgiven, so that it is tried again.
	historyTimeConstant = 4 * time.Second
	// loadTTL is how long what an endpoint told of its load counts: calls last some tenths
	// of a second.
	loadTTL = time.Second
	// defaultLimit is the concurrency limit of an endpoint that has not told one.
	defaultLimit = 16
)

type endpointState struct {
	Endpoint
	inFlight    int
	slowness    float64
	failureRate float64
	updatedAt   time.Duration
	// load was told at an instant, by the endpoint's node or its failure domain's relay.
	load, limit         int
	loadAt              time.Duration
	consecutiveFailures int
	excludedUntil       time.Duration
	drainingUntil       time.Duration
}

// Picker keeps the endpoints of all services.
type Picker struct {
	clock  timer.Service
	domain world.DomainID
	node   world.NodeID

	mu       sync.Mutex
	random   *rand.Rand
	nodes    map[world.NodeID]*endpointState
	services map[world.ServiceID][]*endpointState
	// usualLatency is the usualLatency time of each route, over all endpoints.
	usualLatency map[world.RouteID]float64
	// utilization are the parts of the slots of services in use, by failure domain.
	utilization map[world.DomainID]map[world.ServiceID]float64
}

// New returns a picker without endpoints for a node in a failure domain.
func New(clock timer.Service, random *rand.Rand, domain world.DomainID, node world.NodeID) *Picker {
	return &Picker{
		clock:        clock,
		domain:       domain,
		node:         node,
		random:       random,
		nodes:        map[world.NodeID]*endpointState{},
		services:     map[world.ServiceID][]*endpointState{},
		usualLatency: map[world.RouteID]float64{},
	}
}

// Update replaces the endpoints; what is known of those that stay is kept.
func (p *Picker) Update(endpoints []Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	nodes := make(map[world.NodeID]*endpointState, len(endpoints))
	services := map[world.ServiceID][]*endpointState{}
	for _, e := range endpoints {
		s := p.nodes[e.Node]
		if s == nil || s.Incarnation != e.Incarnation || s.Instance != e.Instance {
			s = &endpointState{slowness: 1, updatedAt: p.clock.Now(), loadAt: -loadTTL}
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
func (p *Picker) SetLoads(loads map[world.NodeID]int, utilization map[world.DomainID]map[world.ServiceID]float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for node, load := range loads {
		if s := p.nodes[node]; s != nil {
			s.load, s.loadAt = load, now
		}
	}
	p.utilization = utilization
}

// loadLocked is the number of calls at an endpoint. One that has told nothing lately is taken to
// be as busy as others of its service in its failure domain.
func (p *Picker) loadLocked(s *endpointState) int {
	if p.clock.Now()-s.loadAt < loadTTL {
		return s.load
	}
	return int(p.utilization[s.Domain][s.Service] * float64(s.limit))
}

// Pick chooses an endpoint that is not among the tried ones and counts a call in
// flight to it. It returns false if no endpoint is left.
func (p *Picker) Pick(criteria Criteria) (Endpoint, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.candidatesLocked(criteria.Service, criteria.Tried)
	if len(list) == 0 {
		return Endpoint{}, false
	}
	best := p.selectLocked(list, criteria)
	best.inFlight++
	return best.Endpoint, true
}

// candidatesLocked returns the endpoints that may be tried. Those that are excluded are left out unless
// nothing else is left, those that are silent unless even no excluded one is: in a failure domain that
// is cut off, endpoints fail by the calls that they make, and those outside do not answer at all.
func (p *Picker) candidatesLocked(service world.ServiceID, tried []world.NodeID) []*endpointState {
	now := p.clock.Now()
	var healthy, excluded, unreachable []*endpointState
	for _, s := range p.services[service] {
		switch {
		case slices.Contains(tried, s.Node) || now < s.drainingUntil:
		case s.IsUnreachable:
			unreachable = append(unreachable, s)
		case now < s.excludedUntil:
			excluded = append(excluded, s)
		default:
			healthy = append(healthy, s)
		}
	}
	for _, list := range [][]*endpointState{healthy, excluded} {
		if len(list) > 0 {
			return list
		}
	}
	return unreachable
}

// selectLocked draws an endpoint at random, a better one much more likely. A firm choice of
// the best would send the calls of all nodes to the same one at once.
func (p *Picker) selectLocked(list []*endpointState, criteria Criteria) *endpointState {
	best := math.Inf(1)
	scores := make([]float64, len(list))
	for i, s := range list {
		scores[i] = p.scoreLocked(s, criteria)
		best = min(best, scores[i])
	}
	sum := 0.0
	for i := range scores {
		scores[i] = math.Pow(best/scores[i], scoreExponent)
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
func (p *Picker) scoreLocked(s *endpointState, criteria Criteria) float64 {
	idle := p.clock.Now() - s.updatedAt
	weight := timer.Fading(idle, historyTimeConstant)
	score := 1 + (s.slowness-1)*weight
	if usual, ok := p.usualLatency[criteria.Route]; ok && criteria.TimeLeft > 0 {
		if allowed := timeLeftFraction * criteria.TimeLeft.Seconds() / usual; allowed > 1 {
			score = max(1, score/allowed)
		}
	}
	score *= 1 + failurePenalty*s.failureRate*weight
	score *= loadFactor(max(p.loadLocked(s), s.inFlight)+1, s.limit)
	switch {
	case s.Node == p.node:
		score *= ownVMFactor
	case s.Domain != p.domain:
		score *= otherDomainFactor
	}
	return score
}

// loadFactor is the factor by which calls in flight lengthen the next one.
func loadFactor(load, limit int) float64 {
	if limit <= 0 {
		limit = defaultLimit
	}
	use := float64(load) / float64(limit)
	if use <= busyThreshold {
		return 1
	}
	if use <= 1 {
		return 1 + (fullLoadFactor-1)*(use-busyThreshold)/(1-busyThreshold)
	}
	return fullLoadFactor + overloadPenalty*(use-1)
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
		s.load, s.limit, s.loadAt = o.Load, o.Limit, now
	}
	if o.IsDraining {
		s.drainingUntil = now + drainingTTL
		return
	}
	if o.IsRefused {
		return
	}
	p.recordLocked(s, o, now)
}

func (p *Picker) recordLocked(s *endpointState, o Outcome, now time.Duration) {
	weight := timer.Fading(now-s.updatedAt, historyTimeConstant)
	s.slowness = 1 + (s.slowness-1)*weight
	s.failureRate *= weight
	s.updatedAt = now
	if o.Failed {
		s.failureRate += failureWeight * (1 - s.failureRate)
		s.consecutiveFailures++
		if s.consecutiveFailures >= failuresToExclude {
			s.excludedUntil = now + min(minExclusion<<min(s.consecutiveFailures-failuresToExclude, 3), maxExclusion)
		}
		return
	}
	s.failureRate -= failureWeight * s.failureRate
	s.consecutiveFailures = 0
	if o.Latency <= 0 {
		return
	}
	latency := o.Latency.Seconds()
	usual, ok := p.usualLatency[o.Route]
	if !ok {
		p.usualLatency[o.Route] = latency
		return
	}
	p.usualLatency[o.Route] = usual + slownessWeight/4*(latency-usual)
	sample := min(max(latency/max(usual, 1e-4), minSlowness), maxSlowness)
	s.slowness += slownessWeight * (sample - s.slowness)
}
