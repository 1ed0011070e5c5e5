// Package route chooses the endpoint for a call: two random choices by load, own
// failure domain first.
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

// Endpoint is a node with the upstream behind it.
type Endpoint struct {
	Node    world.NodeID
	Domain  world.DomainID
	Service world.ServiceID
	Peer    world.Address
	Public  world.Address
	// IsReady is false while the upstream starts, drains or is gone.
	IsReady bool
	// Incarnation changes when the node restarts.
	Incarnation uint64
}

// Outcome is what a call showed about its endpoint.
type Outcome struct {
	// Failed means that the node or its upstream did not work.
	Failed bool
	// Load and Limit were reported with the reply; Limit 0 means no report.
	Load     int
	Limit    int
	Draining bool
}

// Tuning of endpoint choice.
const (
	// unknownLimit is the assumed limit of an endpoint that has not reported one.
	unknownLimit = 4
	// spillScore is the load per limit above which other failure domains are tried.
	spillScore = 1.0
	// spillGain is how much better the other domain's endpoint has to be.
	spillGain = 0.6
	// failuresToExclude is the number of failures in a row that exclude an endpoint.
	failuresToExclude = 3
	excludeTime       = time.Second
	maxExcludeTime    = 8 * time.Second
	// reportLife is how long a reported load counts.
	reportLife = time.Second
	// drainLife is how long a drain that a reply reported outweighs the roster,
	// which may still list the endpoint as ready.
	drainLife = 3 * time.Second
)

type state struct {
	Endpoint
	inFlight int
	load     int
	limit    int
	reported time.Duration
	failures int
	excluded time.Duration
	// drainedUntil is when a reported drain ends to outweigh the roster.
	drainedUntil time.Duration
}

// Picker keeps the endpoints of all services.
type Picker struct {
	clock  timer.Service
	domain world.DomainID

	mu       sync.Mutex
	random   *rand.Rand
	services map[world.ServiceID]*group
	nodes    map[world.NodeID]*state
}

// NewPicker returns a picker without endpoints.
func NewPicker(clock timer.Service, random *rand.Rand, domain world.DomainID) *Picker {
	return &Picker{
		clock:    clock,
		domain:   domain,
		random:   random,
		services: map[world.ServiceID]*group{},
		nodes:    map[world.NodeID]*state{},
	}
}

// Update replaces the endpoints; what is known of those that stay is kept.
func (p *Picker) Update(endpoints []Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	nodes := make(map[world.NodeID]*state, len(endpoints))
	services := map[world.ServiceID]*group{}
	sorted := append([]Endpoint(nil), endpoints...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Node < sorted[j].Node })
	for _, e := range sorted {
		s := p.nodes[e.Node]
		if s == nil || s.Incarnation != e.Incarnation {
			s = &state{}
		}
		s.Endpoint = e
		nodes[e.Node] = s
		g := services[e.Service]
		if g == nil {
			g = &group{}
			services[e.Service] = g
		}
		if e.Domain == p.domain {
			g.near = append(g.near, s)
		} else {
			g.far = append(g.far, s)
		}
	}
	p.nodes, p.services = nodes, services
}

// Pick chooses an endpoint that is not among the tried ones and counts a call in
// flight to it. It returns false if no endpoint is left.
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

// group is the endpoints of one service, by whether they share the picker's domain.
type group struct {
	near, far []*state
}

func (p *Picker) choose(g *group, tried []world.NodeID) *state {
	best := p.twoChoices(g.near, tried)
	if best == nil {
		return p.twoChoices(g.far, tried)
	}
	if p.score(best) < spillScore {
		return best
	}
	other := p.twoChoices(g.far, tried)
	if other != nil && p.score(other) < spillGain*p.score(best) {
		return other
	}
	return best
}

func (p *Picker) twoChoices(list []*state, tried []world.NodeID) *state {
	a := p.draw(list, tried)
	b := p.draw(list, tried)
	if a != nil && p.score(b) < p.score(a) {
		return b
	}
	return a
}

// draw returns a random endpoint. Excluded ones are left out, unless no other is left.
func (p *Picker) draw(list []*state, tried []world.NodeID) *state {
	if len(list) == 0 {
		return nil
	}
	now := p.clock.Now()
	start := p.random.Intn(len(list))
	var excluded *state
	for i := range list {
		s := list[(start+i)%len(list)]
		if !s.IsReady || now < s.drainedUntil || slices.Contains(tried, s.Node) {
			continue
		}
		if now >= s.excluded {
			return s
		}
		if excluded == nil {
			excluded = s
		}
	}
	return excluded
}

// score is the load of an endpoint relative to its limit.
func (p *Picker) score(s *state) float64 {
	limit, load := unknownLimit, 0
	if s.limit > 0 {
		limit = s.limit
	}
	if p.clock.Now()-s.reported < reportLife {
		load = s.load
	}
	return float64(max(load, s.inFlight)+1) / float64(limit)
}

// Done ends a call in flight.
func (p *Picker) Done(node world.NodeID, o Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.nodes[node]
	if s == nil {
		return
	}
	s.inFlight = max(0, s.inFlight-1)
	if o.Limit > 0 {
		s.load, s.limit, s.reported = o.Load, o.Limit, p.clock.Now()
	}
	if o.Draining {
		s.drainedUntil = p.clock.Now() + drainLife
	}
	if !o.Failed {
		s.failures = 0
		return
	}
	s.failures++
	if s.failures >= failuresToExclude {
		backoff := excludeTime << min(s.failures-failuresToExclude, 3)
		s.excluded = p.clock.Now() + min(backoff, maxExcludeTime)
	}
}

// IsExcluded reports whether an endpoint is left out because it failed.
func (p *Picker) IsExcluded(node world.NodeID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.nodes[node]
	return s != nil && p.clock.Now() < s.excluded
}

// PublicAddress returns a public address in a failure domain, if one is known.
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
