// Package route selects the endpoint for a call. It takes the less loaded of two
// random endpoints and prefers those of its own failure domain.
//
// # Usage
//
//	p := route.NewPicker(clock, random, ownDomain)
//	p.Update(endpoints)
//	e, ok := p.Pick(service, tried)
//	... p.Done(e.Node, outcome)
package route

import (
	"math/rand"
	"slices"
	"sort"
	"sync"
	"time"

	"wagtailyoke/core/timer"
	"wagtailyoke/core/world"
)

// Endpoint is a node and the upstream behind it.
type Endpoint struct {
	Node    world.NodeID
	Domain  world.DomainID
	Service world.ServiceID
	Peer    world.Address
	Public  world.Address
	// IsReady is false while the upstream starts, drains or is not running.
	IsReady bool
	// Incarnation changes when the node restarts.
	Incarnation uint64
}

// Outcome is the result of a call, as far as it concerns the endpoint.
type Outcome struct {
	// Failed means that the node or its upstream failed.
	Failed bool
	// Load and Limit come from the reply. Limit 0 means that the reply carried no report.
	Load     int
	Limit    int
	Draining bool
}

// Endpoint selection settings.
const (
	// unknownLimit is the limit assumed for an endpoint that has not reported one.
	unknownLimit = 4
	// spillThreshold is the ratio of load to limit from which endpoints in other
	// failure domains are considered.
	spillThreshold = 1.0
	// spillScoreRatio is the maximum ratio of a remote endpoint's score to the best
	// local score at which the remote endpoint is chosen.
	spillScoreRatio = 0.6
	// failuresToExclude is the number of consecutive failures that exclude an endpoint.
	failuresToExclude  = 3
	excludeDuration    = time.Second
	maxExcludeDuration = 8 * time.Second
	// reportTTL is how long a reported load is used.
	reportTTL = time.Second
	// drainTTL is how long a drain reported by a reply takes precedence over the
	// roster, which may still list the endpoint as ready.
	drainTTL = 3 * time.Second
)

type endpointState struct {
	Endpoint
	inFlight      int
	load          int
	limit         int
	reportedAt    time.Duration
	failures      int
	excludedUntil time.Duration
	// drainedUntil is when a reported drain stops taking precedence over the roster.
	drainedUntil time.Duration
}

// Picker selects endpoints for all services.
type Picker struct {
	clock  timer.Service
	domain world.DomainID

	mu       sync.Mutex
	random   *rand.Rand
	services map[world.ServiceID]*endpointGroup
	nodes    map[world.NodeID]*endpointState
}

// NewPicker returns a Picker without endpoints.
func NewPicker(clock timer.Service, random *rand.Rand, domain world.DomainID) *Picker {
	return &Picker{
		clock:    clock,
		domain:   domain,
		random:   random,
		services: map[world.ServiceID]*endpointGroup{},
		nodes:    map[world.NodeID]*endpointState{},
	}
}

// Update replaces the endpoint list. The load and failure state of an endpoint is
// retained if its incarnation is unchanged.
func (p *Picker) Update(endpoints []Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	nodes := make(map[world.NodeID]*endpointState, len(endpoints))
	services := map[world.ServiceID]*endpointGroup{}
	sorted := append([]Endpoint(nil), endpoints...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Node < sorted[j].Node })
	for _, e := range sorted {
		s := p.nodes[e.Node]
		if s == nil || s.Incarnation != e.Incarnation {
			s = &endpointState{}
		}
		s.Endpoint = e
		nodes[e.Node] = s
		g := services[e.Service]
		if g == nil {
			g = &endpointGroup{}
			services[e.Service] = g
		}
		if e.Domain == p.domain {
			g.local = append(g.local, s)
		} else {
			g.remote = append(g.remote, s)
		}
	}
	p.nodes, p.services = nodes, services
}

// Pick selects an endpoint that is not in tried and counts one more call in flight to
// it. It returns false if there is no such endpoint.
func (p *Picker) Pick(service world.ServiceID, tried []world.NodeID) (Endpoint, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.services[service]
	if g == nil {
		return Endpoint{}, false
	}
	best := p.choose(g, tried)
	if best == nil {
		return Endpoint{}, false
	}
	best.inFlight++
	return best.Endpoint, true
}

// endpointGroup is the endpoints of one service, split by whether they are in the
// picker's failure domain.
type endpointGroup struct {
	local, remote []*endpointState
}

func (p *Picker) choose(g *endpointGroup, tried []world.NodeID) *endpointState {
	best := p.twoChoices(g.local, tried)
	if best == nil {
		return p.twoChoices(g.remote, tried)
	}
	if p.score(best) < spillThreshold {
		return best
	}
	other := p.twoChoices(g.remote, tried)
	if other != nil && p.score(other) < spillScoreRatio*p.score(best) {
		return other
	}
	return best
}

func (p *Picker) twoChoices(list []*endpointState, tried []world.NodeID) *endpointState {
	a := p.randomEndpoint(list, tried)
	b := p.randomEndpoint(list, tried)
	if a != nil && p.score(b) < p.score(a) {
		return b
	}
	return a
}

// randomEndpoint returns a random endpoint that is ready and not in tried. It returns
// an excluded endpoint only if there is no other.
func (p *Picker) randomEndpoint(list []*endpointState, tried []world.NodeID) *endpointState {
	if len(list) == 0 {
		return nil
	}
	now := p.clock.Now()
	start := p.random.Intn(len(list))
	var excluded *endpointState
	for i := range list {
		s := list[(start+i)%len(list)]
		if !s.IsReady || now < s.drainedUntil || slices.Contains(tried, s.Node) {
			continue
		}
		if now >= s.excludedUntil {
			return s
		}
		if excluded == nil {
			excluded = s
		}
	}
	return excluded
}

// score returns the load of an endpoint relative to its limit.
func (p *Picker) score(s *endpointState) float64 {
	limit, load := unknownLimit, 0
	if s.limit > 0 {
		limit = s.limit
	}
	if p.clock.Now()-s.reportedAt < reportTTL {
		load = s.load
	}
	return float64(max(load, s.inFlight)+1) / float64(limit)
}

// Done records the outcome of a call that Pick counted as in flight.
func (p *Picker) Done(node world.NodeID, o Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.nodes[node]
	if s == nil {
		return
	}
	s.inFlight = max(0, s.inFlight-1)
	if o.Limit > 0 {
		s.load, s.limit, s.reportedAt = o.Load, o.Limit, p.clock.Now()
	}
	if o.Draining {
		s.drainedUntil = p.clock.Now() + drainTTL
	}
	if !o.Failed {
		s.failures = 0
		return
	}
	s.failures++
	if s.failures >= failuresToExclude {
		backoff := excludeDuration << min(s.failures-failuresToExclude, 3)
		s.excludedUntil = p.clock.Now() + min(backoff, maxExcludeDuration)
	}
}

// IsExcluded reports whether an endpoint is currently excluded because of failures.
func (p *Picker) IsExcluded(node world.NodeID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.nodes[node]
	return s != nil && p.clock.Now() < s.excludedUntil
}

// PublicAddress returns the public address of a ready node in a failure domain, if
// one is known.
func (p *Picker) PublicAddress(domain world.DomainID) (world.Address, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best := ""
	for _, s := range p.nodes {
		if s.Domain == domain && s.IsReady && s.Public != "" && (best == "" || string(s.Public) < best) {
			best = string(s.Public)
		}
	}
	return world.Address(best), best != ""
}
