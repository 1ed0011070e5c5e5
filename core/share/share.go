// Package share keeps customers within their rate and burst over a fleet without a
// leader. Each node tells the others what it is asked for in each customer's name, and
// takes the part of the rate that its own demand has in the sum.
//
// # Usage
//
//	g := share.New(clock, tolerance)
//	g.Install(table.Customers)
//	ok, wait := g.Take(customer)
//	g.Measure()                       // once each period, before Demands
//	record.Demands = g.Demands()
//	g.Learn(node, record.GetDemands())
//
// The parts add up to the whole as long as the nodes agree on the demands. While demand
// moves they disagree for the time that news takes to spread; a node that cannot be
// reached keeps its last demand, so that a cut fleet does not serve a rate twice.
package share

import (
	"math"
	"sort"
	"sync"
	"time"

	"wagtailyoke/core/table"
	"wagtailyoke/core/timer"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

const (
	// demandTime is the time constant of the measured demand: long against the time
	// that news takes to spread, short against the window in which rates are judged.
	demandTime = 1500 * time.Millisecond
	// evenPart is the part of a rate that is split evenly, so that a first request
	// finds a token anywhere.
	evenPart = 0.05
	// tolerancePart is the part of the tolerance that nodes use: it makes up for tokens
	// that lie at a node while another one needs them.
	tolerancePart = 0.7
	// leastWait is the least time after which a refused caller is asked to return.
	leastWait = 250 * time.Millisecond
	// mostWait bounds it.
	mostWait = 3 * time.Second
)

// Tolerance is how far the requests of all nodes in a window may exceed rate and burst.
type Tolerance struct {
	Window time.Duration
	// Overage is of the requests that rate and burst allow in the window.
	Overage float64
	// Slack is a number of requests besides.
	Slack float64
}

// Gate admits requests at one node.
type Gate struct {
	clock     timer.Service
	tolerance Tolerance

	mu        sync.Mutex
	customers map[world.CustomerID]*account
	peers     map[world.NodeID]map[world.CustomerID]float64
	measured  time.Duration
}

// account is one customer at this node.
type account struct {
	rate, burst float64
	isLimited   bool
	// part is this node's part of rate and burst.
	part   float64
	tokens float64
	at     time.Duration
	// asked counts requests since the last measurement; demand is in requests per second.
	asked  float64
	demand float64
}

// New returns a gate that knows no customers.
func New(clock timer.Service, tolerance Tolerance) *Gate {
	return &Gate{
		clock:     clock,
		tolerance: tolerance,
		customers: map[world.CustomerID]*account{},
		peers:     map[world.NodeID]map[world.CustomerID]float64{},
		measured:  clock.Now(),
	}
}

// Install takes over the customers of a table.
func (g *Gate) Install(customers []*table.Customer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	known := make(map[world.CustomerID]*account, len(customers))
	for _, c := range customers {
		a := g.customers[c.ID]
		if a == nil {
			// A new account starts empty: before a restart its tokens may have been spent.
			a = &account{at: now}
		}
		a.earn(now)
		a.rate, a.burst, a.isLimited = g.stretch(c)
		known[c.ID] = a
	}
	g.customers = known
	g.divideLocked()
}

// stretch returns rate and burst with the used part of the tolerance.
func (g *Gate) stretch(c *table.Customer) (rate, burst float64, isLimited bool) {
	factor := 1 + tolerancePart*g.tolerance.Overage
	rate, burst = c.Rate*factor, c.Burst*factor
	if g.tolerance.Window > 0 {
		rate += tolerancePart * g.tolerance.Slack / g.tolerance.Window.Seconds()
	}
	return rate, burst, c.IsLimited()
}

// Learn takes in what another node is asked for.
func (g *Gate) Learn(node world.NodeID, demands []*wire.Demand) {
	rates := make(map[world.CustomerID]float64, len(demands))
	for _, d := range demands {
		if rate := d.GetRate(); rate >= 0 && !math.IsInf(rate, 0) && !math.IsNaN(rate) {
			rates[world.CustomerID(d.GetCustomer())] = rate
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.peers[node] = rates
}

// Forget drops a node that is gone for good.
func (g *Gate) Forget(node world.NodeID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.peers, node)
}

// Measure updates the demands and parts.
func (g *Gate) Measure() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	elapsed := now - g.measured
	if elapsed <= 0 {
		return
	}
	g.measured = now
	weight := 1 - math.Exp(-elapsed.Seconds()/demandTime.Seconds())
	for _, a := range g.customers {
		a.earn(now)
		a.demand += weight * (a.asked/elapsed.Seconds() - a.demand)
		a.asked = 0
	}
	g.divideLocked()
}

// divideLocked gives each account its part: evenly for a small share of the rate, by
// demand for the rest.
func (g *Gate) divideLocked() {
	nodes := float64(len(g.peers) + 1)
	for id, a := range g.customers {
		if !a.isLimited {
			continue
		}
		// The even share counts as demand that every node has.
		even := evenPart * a.rate / nodes
		sum := a.demand + nodes*even
		for _, rates := range g.peers {
			sum += rates[id]
		}
		a.part = (a.demand + even) / sum
		a.tokens = min(a.tokens, a.room())
	}
}

// room is how many tokens the account holds at most. Less than one would never admit.
func (a *account) room() float64 { return max(1, a.part*a.burst) }

func (a *account) earn(now time.Duration) {
	a.tokens = min(a.room(), a.tokens+a.part*a.rate*(now-a.at).Seconds())
	a.at = now
}

// Take spends a token of a customer. Without one it returns when one is likely.
func (g *Gate) Take(customer world.CustomerID) (ok bool, wait time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.customers[customer]
	if a == nil {
		return false, leastWait
	}
	a.asked++
	if !a.isLimited {
		return true, 0
	}
	a.earn(g.clock.Now())
	if a.tokens >= 1 {
		a.tokens--
		return true, 0
	}
	earning := a.part * a.rate
	seconds := (1 - a.tokens) / max(earning, 1e-6)
	return false, min(max(time.Duration(seconds*float64(time.Second)), leastWait), mostWait)
}

// Demands returns the own demands, by customer.
func (g *Gate) Demands() []*wire.Demand {
	g.mu.Lock()
	defer g.mu.Unlock()
	var demands []*wire.Demand
	for id, a := range g.customers {
		if a.isLimited && a.demand > negligible {
			demands = append(demands, &wire.Demand{Customer: string(id), Rate: a.demand})
		}
	}
	sort.Slice(demands, func(i, j int) bool { return demands[i].GetCustomer() < demands[j].GetCustomer() })
	return demands
}

// negligible is the demand, in requests per second, below which a node reports none.
const negligible = 0.01
