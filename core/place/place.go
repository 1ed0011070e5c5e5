// Package place selects the endpoint that runs a call.
//
// # Usage
//
//	p := place.New(clock, random, domain, node)
//	p.Update(endpoints)
//	e, ok := p.Pick(place.Criteria{Service: service, Route: route, TimeLeft: left, Tried: tried})
//	p.Done(e.Node, place.Outcome{Latency: ..., Load: ..., Limit: ...})
//
// The endpoints of a service differ in speed by a factor of up to three, and each failure domain
// has one or a few of them. Traffic between domains has a cost per byte and adds latency, so
// endpoints of the picker's own domain are preferred. An endpoint that is loaded, failing, or too
// slow for the call's target latency loses calls to others before callers notice.
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

// Endpoint is an upstream and the node in front of it.
type Endpoint struct {
	Node   world.NodeID
	Domain world.DomainID
	// Region is the region of the failure domain, empty if it is not known.
	Region      world.RegionID
	Service     world.ServiceID
	Peer        world.Address
	Instance    world.InstanceID
	Incarnation uint64
	// IsUnreachable means that no update from the node has arrived for a while.
	IsUnreachable bool
	// Limit is the number of calls that the upstream runs concurrently.
	Limit int
	// UsableShare is the fraction of Limit that calls can use while the upstream is cold or names a call
	// limit, 0 if they can use all of it.
	UsableShare float64
	// StartedUnixMs is the start of the upstream's process, in Unix milliseconds.
	StartedUnixMs int64
	// FollowsNotices means that the node applies what the upstream says about itself in its answers.
	FollowsNotices bool
}

// Outcome is the result of a call, as far as it concerns the endpoint.
type Outcome struct {
	// Latency is the time from sending the call to its answer, 0 if it says nothing about the
	// endpoint.
	Latency time.Duration
	Route   world.RouteID
	// Failed means that the endpoint gave no usable answer.
	Failed bool
	// IsRefused means that the endpoint's node refused the call before it ran.
	IsRefused bool
	// IsDraining means that the upstream accepts no more calls.
	IsDraining bool
	// Load and Limit are the number of calls at the node and its concurrency limit. Limit is 0 if
	// the answer did not report them.
	Load  int
	Limit int
}

// Criteria describes a call that needs an endpoint.
type Criteria struct {
	Service world.ServiceID
	Route   world.RouteID
	// TimeLeft is the time within which the answer is of full use, 0 if that is unknown.
	TimeLeft time.Duration
	// Tried lists the nodes that must not be selected again.
	Tried []world.NodeID
	// Homes are lists of regions. The endpoint must be in a region of each.
	Homes [][]world.RegionID
}

func (c *Criteria) allowsRegion(region world.RegionID) bool {
	for _, homes := range c.Homes {
		if !slices.Contains(homes, region) {
			return false
		}
	}
	return true
}

const (
	// timeLeftFraction is the fraction of Criteria.TimeLeft that an endpoint's usual latency may
	// reach before the endpoint counts as slow. The rest is headroom for calls that take longer.
	timeLeftFraction = 0.4
	// otherDomainFactor multiplies the score of an endpoint in another failure domain.
	otherDomainFactor = 1.5
	// ownVMFactor multiplies the score of the upstream on this VM, which needs no network hop.
	ownVMFactor = 0.9
	// scoreExponent is the power by which a higher score makes a selection less likely.
	scoreExponent = 8
	// slownessWeight is the weight of a new sample in the measured slowness.
	slownessWeight = 0.1
	// failureWeight is the weight of a new sample in the failure rate.
	failureWeight = 0.15
	// failurePenalty is what a failure rate of 1 adds to the factor on the score.
	failurePenalty = 6
	// minSlowness and maxSlowness bound the slowness of one sample.
	minSlowness = 0.2
	maxSlowness = 20
	// busyThreshold is the utilization of the limit from which calls start to wait or slow down.
	busyThreshold = 0.6
	// fullLoadFactor multiplies the score of an endpoint whose limit is fully used.
	fullLoadFactor = 1.5
	// overloadPenalty is added to that factor for each further limit's worth of calls.
	overloadPenalty = 4
	// failuresToExclude is the number of consecutive failures that exclude an endpoint.
	failuresToExclude = 3
	// minExclusion and maxExclusion bound the time of an exclusion, which doubles with each further
	// failure.
	minExclusion = 500 * time.Millisecond
	maxExclusion = 4 * time.Second
	// drainingTTL is how long a draining reply overrides the endpoint records, which lag behind.
	drainingTTL = 2 * time.Second
	// historyTimeConstant is the time constant at which the slowness and failures of an unused
	// endpoint decay, so that it is tried again.
	historyTimeConstant = 4 * time.Second
	// loadTTL is how long a reported load is valid. Calls last some tenths of a second.
	loadTTL = time.Second
	// defaultLimit is the concurrency limit of an endpoint that has not reported one.
	defaultLimit = 16
)

// endpointState is an endpoint with its measured performance.
type endpointState struct {
	Endpoint
	inFlight int
	// slowness is the latency relative to the usual one of the route.
	slowness    float64
	failureRate float64
	// updatedAt is when slowness and failureRate were last updated.
	updatedAt time.Duration
	// load was reported at loadAt, by the endpoint's node or by the relay of its failure domain.
	load, limit         int
	loadAt              time.Duration
	consecutiveFailures int
	excludedUntil       time.Duration
	drainingUntil       time.Duration
}

// Picker selects among the endpoints of all services.
type Picker struct {
	clock  timer.Service
	domain world.DomainID
	node   world.NodeID

	mu       sync.Mutex
	random   *rand.Rand
	nodes    map[world.NodeID]*endpointState
	services map[world.ServiceID][]*endpointState
	// usualLatency is the mean latency of each route over all endpoints, in seconds.
	usualLatency map[world.RouteID]float64
	// utilization is the fraction of a service's slots that is in use, by failure domain.
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

// Update replaces the endpoints. Endpoints that stay keep their measured performance.
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

// SetLoads sets the number of calls at endpoints, by node, and the fraction of the slots of each
// service that is in use, by failure domain.
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

// loadLocked returns the number of calls at an endpoint. Without a recent report, the endpoint is
// assumed to be as busy as its service is in its failure domain.
func (p *Picker) loadLocked(s *endpointState) int {
	if p.clock.Now()-s.loadAt < loadTTL {
		return s.load
	}
	return int(p.utilization[s.Domain][s.Service] * float64(s.limit))
}

// Pick selects an endpoint that has not been tried and counts a call in flight to it. It returns
// false if no endpoint is left.
func (p *Picker) Pick(criteria Criteria) (Endpoint, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.candidatesLocked(criteria)
	if len(list) == 0 {
		return Endpoint{}, false
	}
	best := p.selectLocked(list, criteria)
	best.inFlight++
	return best.Endpoint, true
}

// candidatesLocked returns the endpoints to select from: the healthy ones, else the excluded ones,
// else the unreachable ones. Excluded endpoints come before unreachable ones because, in an
// isolated failure domain, endpoints fail only through the calls that they make, while those
// outside do not answer at all.
func (p *Picker) candidatesLocked(criteria Criteria) []*endpointState {
	now := p.clock.Now()
	var healthy, excluded, unreachable []*endpointState
	for _, s := range p.services[criteria.Service] {
		switch {
		case slices.Contains(criteria.Tried, s.Node) || now < s.drainingUntil || !criteria.allowsRegion(s.Region):
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

// selectLocked selects an endpoint at random, with a strong preference for lower scores. If the
// best one were always selected, the calls of all nodes would go to the same endpoint at once.
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
		if share := list[i].UsableShare; share > 0 {
			// Calls in excess of what a cold or limited endpoint accepts would be refused there.
			scores[i] *= share
		}
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

// scoreLocked returns the expected latency of a call, relative to the usual latency of the route
// or, where that is longer, to the time that the call may take. The lowest score is the best.
func (p *Picker) scoreLocked(s *endpointState, criteria Criteria) float64 {
	idle := p.clock.Now() - s.updatedAt
	weight := timer.DecayFactor(idle, historyTimeConstant)
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

// loadFactor returns the factor by which the calls at an endpoint lengthen the next one.
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

// Done ends a call in flight and records its outcome.
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

// recordLocked updates the slowness, failure rate and exclusion of an endpoint.
func (p *Picker) recordLocked(s *endpointState, o Outcome, now time.Duration) {
	weight := timer.DecayFactor(now-s.updatedAt, historyTimeConstant)
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
