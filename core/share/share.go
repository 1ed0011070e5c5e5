// Package share keeps customers within their rate and burst over a fleet without a
// leader. Each customer has a home, the node that all nodes find by the same hash; its
// pool holds the customer's tokens, and the other nodes ask it for them.
//
// # Usage
//
//	g := share.New(clock, self, tolerance, asker)
//	g.Install(table.Customers)
//	g.SetPeers(peers)                       // who else there is
//	g.Take(customer, func(ok bool, wait time.Duration) { ... })
//	g.Measure()                             // once each period
//	reply := g.Grant(request)               // at the home
//
// One pool keeps the burst whole: split over the nodes beforehand, a small customer would
// find its token at another node more often than not.
//
// When nodes lose each other, each side goes on with the part of the rate that its nodes
// have in the fleet: the pools on both sides add up to one rate. A node that does not
// reach a home earns its own part alone.
package share

import (
	"hash/fnv"
	"math"
	"slices"
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
	// overagePart and slackPart are the parts of the tolerance that are used: the rest
	// covers what both sides of a cut admit until they notice it.
	overagePart = 0.3
	slackPart   = 0.25
	// liveTime is the age of the last news of a node from which its part of the rate
	// counts as spent by itself: longer than news takes to spread.
	liveTime = 800 * time.Millisecond
	// homeTime is the age from which a node is no home any more. It is longer, since a
	// new home starts with an empty pool.
	homeTime = 1250 * time.Millisecond
	// newsTime is how long the news that a node stops takes to spread: an exchange.
	newsTime = 250 * time.Millisecond
	// atOncePart is the part of a pool that is handed over at once. The news takes half of its
	// time in the mean, in which the rest is asked for.
	atOncePart = 0.7
	// mostAlone is the number of tokens that a node without a home saves up.
	mostAlone = 1
	// askTimeout bounds the wait for the home: longer than a way between failure
	// domains and back, far shorter than any deadline.
	askTimeout = 80 * time.Millisecond
	// homeLost is how long a home that did not answer is not asked again.
	homeLost = 300 * time.Millisecond
	// stockTime is how long granted tokens that were not spent stay good.
	stockTime = time.Second
	// aheadTime is the demand that a home grants ahead of need, where it has plenty.
	aheadTime = 250 * time.Millisecond
	// aheadPart is the part of a pool that may lie at nodes ahead of need.
	aheadPart = 0.3
	// leastWait and mostWait bound the time after which a refused caller is asked to
	// return.
	leastWait = 250 * time.Millisecond
	mostWait  = 3 * time.Second
)

// Tolerance is how far the requests of all nodes in a window may exceed rate and burst.
type Tolerance struct {
	Window time.Duration
	// Overage is of the requests that rate and burst allow in the window.
	Overage float64
	// Slack is a number of requests besides.
	Slack float64
}

// Peer is another node.
type Peer struct {
	Node world.NodeID
	// Age is how long ago the node was last heard of.
	Age time.Duration
	// IsLeaving means that the node keeps no pools from now on.
	IsLeaving bool
}

// Asker sends a request for tokens to a node. done is called once.
type Asker func(home world.NodeID, req *wire.TokenRequest, timeout time.Duration, done func(*wire.TokenReply, error))

// Limiter admits requests at one node, and keeps the pools of the customers whose home the
// node is.
type Limiter struct {
	clock     timer.Service
	self      world.NodeID
	tolerance Tolerance
	ask       Asker

	mu        sync.Mutex
	customers map[world.CustomerID]*account
	peers     []Peer
	// hasPeers means that the other nodes are known, isLeaving that this one stops.
	hasPeers  bool
	isLeaving bool
	measured  time.Duration
	lost      map[world.NodeID]time.Duration
	asking    map[world.NodeID]bool
}

// account is one customer at this node.
type account struct {
	id          world.CustomerID
	rate, burst float64
	isLimited   bool

	// asked counts requests since the last measurement; demand is in requests per second.
	asked  float64
	demand float64
	// own is this node's part of the rate, live that of all nodes in reach.
	own, live float64

	home world.NodeID
	// pool holds the customer's tokens if this node is the home.
	pool bucket
	// isFrozen means that the home has moved and the pool has not been handed over yet.
	isFrozen bool
	// inherited are tokens of a home that stops, which came before the news that this node
	// is the next one, and until when they are good.
	inherited      float64
	inheritedUntil time.Duration
	// alone is spent from while no home answers.
	alone bucket
	// owed counts what was spent so before the home could notice that the node is away;
	// it is taken from the pool later. reached is when a home last answered.
	owed    int
	reached time.Duration
	// stock holds granted tokens until an instant.
	stock      int
	stockUntil time.Duration
	waiting    []*waiter
}

type waiter struct {
	done func(ok bool, wait time.Duration)
}

// bucket is a token bucket whose rate is given at each use.
type bucket struct {
	tokens float64
	at     time.Duration
}

func (b *bucket) earn(now time.Duration, rate, burst float64) {
	b.tokens = min(max(1, burst), b.tokens+rate*(now-b.at).Seconds())
	b.at = now
}

// New returns a gate that knows no customers and no other nodes.
func New(clock timer.Service, self world.NodeID, tolerance Tolerance, ask Asker) *Limiter {
	return &Limiter{
		clock:     clock,
		self:      self,
		tolerance: tolerance,
		ask:       ask,
		customers: map[world.CustomerID]*account{},
		measured:  clock.Now(),
		lost:      map[world.NodeID]time.Duration{},
		asking:    map[world.NodeID]bool{},
	}
}

// SetCustomers takes over the customers of a table.
func (g *Limiter) SetCustomers(customers []*table.Customer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	known := make(map[world.CustomerID]*account, len(customers))
	for _, c := range customers {
		a := g.customers[c.ID]
		if a == nil {
			// New buckets start empty: before a restart their tokens may have been spent.
			a = &account{id: c.ID, pool: bucket{at: now}, alone: bucket{at: now}}
		}
		a.earnLocked(now)
		a.rate, a.burst, a.isLimited = g.stretch(c)
		known[c.ID] = a
	}
	g.customers = known
	g.divideLocked(now)
}

// stretch returns rate and burst with the used part of the tolerance.
func (g *Limiter) stretch(c *table.Customer) (rate, burst float64, isLimited bool) {
	factor := 1 + overagePart*g.tolerance.Overage
	rate, burst = c.Rate*factor, c.Burst*factor
	if g.tolerance.Window > 0 {
		rate += slackPart * g.tolerance.Slack / g.tolerance.Window.Seconds()
	}
	return rate, burst, c.IsLimited()
}

func (a *account) earnLocked(now time.Duration) {
	if !a.isFrozen {
		a.pool.earn(now, a.rate*a.live, a.burst*a.live)
	}
	a.alone.earn(now, a.rate*a.own, mostAlone)
}

// SetPeers takes in the other nodes. One that is not among them any more is gone, and
// its part goes to the others.
func (g *Limiter) SetPeers(peers []Peer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	isSame := g.hasPeers && slices.EqualFunc(g.peers, peers, isSamePeer)
	g.peers, g.hasPeers = peers, true
	if !isSame {
		g.divideLocked(g.clock.Now())
	}
}

// isSamePeer reports whether two states of a node lead to the same parts and homes.
func isSamePeer(a, b Peer) bool {
	return a.Node == b.Node && a.IsLeaving == b.IsLeaving &&
		(a.Age >= liveTime) == (b.Age >= liveTime) && (a.Age >= homeTime) == (b.Age >= homeTime)
}

// UpdateDemand updates the demands.
func (g *Limiter) UpdateDemand() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	elapsed := now - g.measured
	if elapsed <= 0 {
		return
	}
	g.measured = now
	weight := 1 - timer.Fading(elapsed, demandTime)
	for _, a := range g.customers {
		a.demand += weight * (a.asked/elapsed.Seconds() - a.demand)
		a.asked = 0
	}
}

// Leave makes the gate keep no pools from now on: the node stops, and others take them over.
func (g *Limiter) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isLeaving = true
	g.divideLocked(g.clock.Now())
}

// handOver sends a part of the tokens of pools that were here to the next homes, which have them
// when they learn that they are. Those that are lost on the way are not replaced: the next home
// earns new ones.
func (g *Limiter) handOver(part float64) {
	g.mu.Lock()
	requests := map[world.NodeID]*wire.TokenRequest{}
	for id, a := range g.customers {
		if !a.isFrozen || a.home == "" {
			continue
		}
		left := uint32(max(0, part*a.pool.tokens))
		a.pool.tokens -= float64(left)
		a.isFrozen = part < 1
		if left == 0 {
			continue
		}
		if requests[a.home] == nil {
			requests[a.home] = &wire.TokenRequest{Node: string(g.self)}
		}
		requests[a.home].Wants = append(requests[a.home].Wants, &wire.TokenWant{Customer: string(id), Left: left})
	}
	g.mu.Unlock()
	for home, req := range requests {
		sort.Slice(req.Wants, func(i, j int) bool { return req.Wants[i].GetCustomer() < req.Wants[j].GetCustomer() })
		g.ask(home, req, askTimeout, func(*wire.TokenReply, error) {})
	}
}

// inheritLocked takes over the tokens of a home that stops.
func (a *account) inheritLocked(tokens uint32, isHome bool, now time.Duration) {
	if isHome {
		a.pool.tokens = min(a.pool.tokens+float64(tokens), max(1, a.burst))
		return
	}
	a.inherited, a.inheritedUntil = a.inherited+float64(tokens), now+liveTime
}

// divideLocked computes each customer's parts and home. The parts go by the number of
// nodes: what each side of a cut knows of the other's demand differs, and parts of
// different knowledge would add up to more than the whole.
func (g *Limiter) divideLocked(now time.Duration) {
	nodes := float64(len(g.peers) + 1)
	away := 0.0
	for _, p := range g.peers {
		if p.Age >= liveTime {
			away++
		}
	}
	isMoved := false
	for _, a := range g.customers {
		if !a.isLimited {
			continue
		}
		a.earnLocked(now)
		if g.hasPeers {
			a.own, a.live = 1/nodes, (nodes-away)/nodes
		}
		isMoved = g.moveHomeLocked(a, now) || isMoved
	}
	if isMoved {
		g.clock.After(0, func() { g.handOver(atOncePart) })
		g.clock.After(newsTime, func() { g.handOver(1) })
	}
}

// moveHomeLocked finds the customer's home among the nodes in reach that do not stop, none if
// all do. A node that becomes the home starts with what the last one has handed over: it may have
// granted the rest. It reports whether the pool is to be handed over: most of it at once, while
// what is left is granted here until the news has spread.
func (g *Limiter) moveHomeLocked(a *account, now time.Duration) (isMoved bool) {
	var home world.NodeID
	var best uint64
	if !g.isLeaving {
		home, best = g.self, weigh(a.id, g.self)
	}
	for _, p := range g.peers {
		if p.Age >= homeTime || p.IsLeaving {
			continue
		}
		if w := weigh(a.id, p.Node); home == "" || w > best {
			home, best = p.Node, w
		}
	}
	switch {
	case home == g.self && a.home != g.self:
		if !a.isFrozen {
			a.pool.tokens = 0
		}
		a.isFrozen = false
		if now < a.inheritedUntil {
			a.pool.tokens = min(a.pool.tokens+a.inherited, max(1, a.burst))
		}
		a.inherited = 0
	case home != g.self && a.home == g.self:
		a.isFrozen, isMoved = true, true
	}
	a.home = home
	return isMoved
}

// weigh is the weight of a node for a customer: the highest makes the home, and most
// customers keep theirs when nodes come and go.
func weigh(customer world.CustomerID, node world.NodeID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(customer))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(node))
	x := h.Sum64()
	// The hash alone differs too little for names that differ in their last letter.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// TakeToken spends a token of a customer. Without one it tells when one is likely.
func (g *Limiter) TakeToken(customer world.CustomerID, done func(ok bool, wait time.Duration)) {
	g.mu.Lock()
	now := g.clock.Now()
	a := g.customers[customer]
	if a == nil {
		g.mu.Unlock()
		done(false, leastWait)
		return
	}
	a.asked++
	ok, wait, isKnown := g.takeLocked(a, now)
	if !isKnown {
		a.waiting = append(a.waiting, &waiter{done: done})
		home := a.home
		send := !g.asking[home]
		g.asking[home] = true
		g.mu.Unlock()
		if send {
			g.askHome(home)
		}
		return
	}
	g.mu.Unlock()
	done(ok, wait)
}

// ReturnToken gives back the token of a request that was not let in after all. Elsewhere than at
// the home it waits for the customer's next request here.
func (g *Limiter) ReturnToken(customer world.CustomerID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.customers[customer]
	if a == nil || !a.isLimited {
		return
	}
	now := g.clock.Now()
	if a.home == g.self {
		a.earnLocked(now)
		a.pool.tokens = min(a.pool.tokens+1, max(1, a.burst))
		return
	}
	if now >= a.stockUntil {
		a.stock = 0
	}
	a.stock++
	a.stockUntil = now + stockTime
}

// takeLocked decides here if it can.
func (g *Limiter) takeLocked(a *account, now time.Duration) (ok bool, wait time.Duration, isKnown bool) {
	switch {
	case !a.isLimited:
		return true, 0, true
	case a.isFrozen && a.pool.tokens >= 1:
		a.pool.tokens--
		return true, 0, true
	case a.home == g.self:
		a.earnLocked(now)
		ok, wait = a.pool.spend(a.rate * a.live)
		return ok, wait, true
	case a.stock > 0 && now < a.stockUntil:
		a.stock--
		return true, 0, true
	case a.home == "" || now < g.lost[a.home]:
		ok, wait = a.spendAlone(now)
		return ok, wait, true
	default:
		return false, 0, false
	}
}

// spendAlone spends of the node's own part of the rate.
func (a *account) spendAlone(now time.Duration) (ok bool, wait time.Duration) {
	a.earnLocked(now)
	ok, wait = a.alone.spend(a.rate * a.own)
	if ok && now-a.reached < liveTime {
		a.owed++
	}
	return ok, wait
}

func (b *bucket) spend(rate float64) (ok bool, wait time.Duration) {
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	return false, b.wait(rate)
}

func (b *bucket) wait(rate float64) time.Duration {
	seconds := (1 - b.tokens) / max(rate, 1e-6)
	if seconds > mostWait.Seconds() {
		return mostWait
	}
	return max(time.Duration(seconds*float64(time.Second)), leastWait)
}

// askHome asks a home for the tokens that all waiting requests need.
func (g *Limiter) askHome(home world.NodeID) {
	g.mu.Lock()
	req := &wire.TokenRequest{Node: string(g.self)}
	asked := map[world.CustomerID][]*waiter{}
	for id, a := range g.customers {
		if a.home == home && len(a.waiting) > 0 {
			asked[id], a.waiting = a.waiting, nil
			req.Wants = append(req.Wants, &wire.TokenWant{Customer: string(id), Tokens: uint32(len(asked[id])), Demand: a.demand, Owed: uint32(a.owed)})
		}
	}
	if len(asked) == 0 {
		delete(g.asking, home)
		g.mu.Unlock()
		return
	}
	g.mu.Unlock()
	sort.Slice(req.Wants, func(i, j int) bool { return req.Wants[i].GetCustomer() < req.Wants[j].GetCustomer() })
	g.ask(home, req, askTimeout, func(reply *wire.TokenReply, err error) {
		if err != nil {
			g.homeFailed(home, asked)
		} else {
			g.granted(asked, req, reply)
		}
		g.askHome(home)
	})
}

func (g *Limiter) granted(asked map[world.CustomerID][]*waiter, req *wire.TokenRequest, reply *wire.TokenReply) {
	var run []func()
	g.mu.Lock()
	now := g.clock.Now()
	for _, want := range req.GetWants() {
		if a := g.customers[world.CustomerID(want.GetCustomer())]; a != nil {
			a.owed = max(0, a.owed-int(want.GetOwed()))
			a.reached = now
		}
	}
	for _, grant := range reply.GetGrants() {
		id := world.CustomerID(grant.GetCustomer())
		tokens := int(grant.GetTokens())
		wait := min(max(time.Duration(grant.GetWaitMs())*time.Millisecond, leastWait), mostWait)
		for _, w := range asked[id] {
			ok := tokens > 0
			tokens--
			run = append(run, func() { w.done(ok, wait) })
		}
		delete(asked, id)
		if a := g.customers[id]; a != nil && tokens > 0 {
			a.stock, a.stockUntil = tokens, now+stockTime
		}
	}
	g.mu.Unlock()
	for _, waiters := range asked {
		// The home does not know the customer yet or any more.
		for _, w := range waiters {
			run = append(run, func() { w.done(false, leastWait) })
		}
	}
	for _, f := range run {
		f()
	}
}

// homeFailed lets the waiting requests spend of the node's own part.
func (g *Limiter) homeFailed(home world.NodeID, asked map[world.CustomerID][]*waiter) {
	var run []func()
	g.mu.Lock()
	now := g.clock.Now()
	g.lost[home] = now + homeLost
	for id, waiters := range asked {
		a := g.customers[id]
		for _, w := range waiters {
			ok, wait := false, leastWait
			if a != nil {
				ok, wait = a.spendAlone(now)
			}
			run = append(run, func() { w.done(ok, wait) })
		}
	}
	g.mu.Unlock()
	for _, f := range run {
		f()
	}
}

// Grant serves a request for tokens at the home. A node that does not take itself for the
// home grants nothing beyond its own part: the asking node knows less than this one, or more.
func (g *Limiter) Grant(req *wire.TokenRequest) *wire.TokenReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	reply := &wire.TokenReply{}
	for _, want := range req.GetWants() {
		a := g.customers[world.CustomerID(want.GetCustomer())]
		if a == nil || !a.isLimited {
			continue
		}
		a.earnLocked(now)
		if want.GetLeft() > 0 {
			a.inheritLocked(want.GetLeft(), a.home == g.self, now)
			continue
		}
		b, rate := &a.pool, a.rate*a.live
		if a.home != g.self && !a.isFrozen {
			b, rate = &a.alone, a.rate*a.own
		}
		grant := &wire.TokenGrant{Customer: want.GetCustomer()}
		b.tokens = max(b.tokens-float64(want.GetOwed()), -a.burst)
		grant.Tokens = uint32(min(float64(want.GetTokens()), math.Floor(max(0, b.tokens))))
		b.tokens -= float64(grant.GetTokens())
		if grant.GetTokens() < want.GetTokens() {
			grant.WaitMs = b.wait(rate).Milliseconds()
		} else {
			ahead := g.aheadLocked(a, b, want.GetDemand())
			b.tokens -= float64(ahead)
			grant.Tokens += ahead
		}
		reply.Grants = append(reply.Grants, grant)
	}
	return reply
}

// aheadLocked is how many tokens go to a node beyond what it needs now, so that its next
// requests need not ask. A pool that is small or low keeps its tokens together.
func (g *Limiter) aheadLocked(a *account, b *bucket, demand float64) uint32 {
	room := aheadPart * b.tokens / float64(len(g.peers)+1)
	return uint32(max(0, min(demand*aheadTime.Seconds(), room)))
}
