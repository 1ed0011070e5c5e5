// Package share enforces each customer's rate and burst across a fleet without a leader.
// Each customer has a home node, which all nodes compute with the same hash. The home holds
// the customer's token bucket, called its pool; the other nodes request tokens from it.
//
// # Usage
//
//	l := share.New(clock, self, tolerance, sendRequest)
//	l.SetCustomers(table.Customers)
//	l.SetPeers(peers)                       // the other nodes of the fleet
//	l.TakeToken(customer, func(ok bool, retryAfter time.Duration) { ... })
//	l.UpdateDemand()                        // at a regular interval
//	reply := l.Grant(request)               // at the home
//
// A single pool per customer keeps the burst usable: if it were split over the nodes in
// advance, a small customer would often find its token at another node.
//
// When a partition separates nodes, each side limits the customer to the fraction of the rate
// that its nodes have in the fleet, so that the pools on both sides add up to one rate. A node
// that cannot reach a home limits the customer to its own share.
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
	// demandTimeConstant is the time constant of the demand average: long compared with the
	// delay of updates between nodes, short compared with the window in which rates are
	// checked.
	demandTimeConstant = 1500 * time.Millisecond
	// overageFraction and slackFraction are the fractions of the tolerance that are used. The
	// rest covers what both sides of a partition admit until they detect it.
	overageFraction = 0.3
	slackFraction   = 0.25
	// liveTimeout is the age of the last contact with a node from which its share of the rate
	// counts as spent by that node. It is longer than updates take to spread.
	liveTimeout = 800 * time.Millisecond
	// homeTimeout is the age of the last contact from which a node is no longer a home. It is
	// longer than liveTimeout because a new home starts with an empty pool.
	homeTimeout = 1250 * time.Millisecond
	// propagationDelay is how long the update that a node stops takes to spread: one exchange.
	propagationDelay = 250 * time.Millisecond
	// immediateTransferFraction is the fraction of a pool that is transferred immediately. The
	// update takes half of propagationDelay on average, and the old home serves requests from
	// the rest until then.
	immediateTransferFraction = 0.7
	// maxIsolatedTokens is the number of tokens that a node without a reachable home saves.
	maxIsolatedTokens = 1
	// requestTimeout bounds the wait for the home: longer than a round trip between failure
	// domains, far shorter than any deadline.
	requestTimeout = 80 * time.Millisecond
	// homeRetryDelay is how long no requests are sent to a home that did not answer.
	homeRetryDelay = 300 * time.Millisecond
	// localTokenTTL is how long granted tokens that were not spent stay valid.
	localTokenTTL = time.Second
	// prefetchHorizon is the period of demand that a home grants in advance when it has
	// enough tokens.
	prefetchHorizon = 250 * time.Millisecond
	// prefetchFraction is the fraction of a pool that nodes may hold in advance of their demand.
	prefetchFraction = 0.3
	// minRetryAfter and maxRetryAfter bound the delay after which a refused caller is asked to
	// retry.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// Tolerance is how far the requests at all nodes in a window may exceed rate and burst.
type Tolerance struct {
	Window time.Duration
	// Overage is a fraction of the requests that rate and burst allow in the window.
	Overage float64
	// Slack is an additional number of requests.
	Slack float64
}

// Peer is another node.
type Peer struct {
	Node world.NodeID
	// Age is the time since the last contact with the node.
	Age time.Duration
	// IsLeaving means that the node is shutting down and holds no pools any more.
	IsLeaving bool
}

// RequestFunc sends a token request to a node. It calls done exactly once.
type RequestFunc func(home world.NodeID, req *wire.TokenRequest, timeout time.Duration, done func(*wire.TokenReply, error))

// Limiter admits requests at one node and holds the pools of the customers whose home is
// this node.
type Limiter struct {
	clock       timer.Service
	self        world.NodeID
	tolerance   Tolerance
	sendRequest RequestFunc

	mu        sync.Mutex
	customers map[world.CustomerID]*account
	peers     []Peer
	// peersKnown is set once SetPeers was called; isLeaving once this node is shutting down.
	peersKnown bool
	isLeaving  bool
	measuredAt time.Duration
	// unreachableUntil is the instant until which no requests are sent to a home that did not
	// answer.
	unreachableUntil map[world.NodeID]time.Duration
	// requestPending marks homes with a request in flight.
	requestPending map[world.NodeID]bool
}

// account is the state of one customer at this node.
type account struct {
	id          world.CustomerID
	rate, burst float64
	isLimited   bool

	// arrivals counts requests since the last measurement; demand is in requests per second.
	arrivals float64
	demand   float64
	// ownShare is this node's fraction of the rate, liveShare that of all reachable nodes.
	ownShare, liveShare float64

	home world.NodeID
	// pool holds the customer's tokens if this node is the home.
	pool bucket
	// isFrozen means that the home has moved and the pool is not fully transferred yet. A
	// frozen pool earns no tokens.
	isFrozen bool
	// earlyTransfer is the number of tokens that a stopping home sent to this node before it
	// learned that it is the next home. They are valid until earlyTransferUntil.
	earlyTransfer      float64
	earlyTransferUntil time.Duration
	// isolated is spent from while no home answers.
	isolated bucket
	// overdraft counts the tokens spent from isolated before the home could detect that this
	// node is unreachable; the home deducts them from the pool later. homeReachedAt is when a
	// home last answered.
	overdraft     int
	homeReachedAt time.Duration
	// localTokens is the number of granted tokens held here until localTokensUntil.
	localTokens      int
	localTokensUntil time.Duration
	waiters          []*waiter
}

type waiter struct {
	done func(ok bool, wait time.Duration)
}

// bucket is a token bucket whose rate is a parameter of each call.
type bucket struct {
	tokens    float64
	updatedAt time.Duration
}

func (b *bucket) refill(now time.Duration, rate, burst float64) {
	b.tokens = min(max(1, burst), b.tokens+rate*(now-b.updatedAt).Seconds())
	b.updatedAt = now
}

// New returns a limiter without customers and peers.
func New(clock timer.Service, self world.NodeID, tolerance Tolerance, sendRequest RequestFunc) *Limiter {
	return &Limiter{
		clock:            clock,
		self:             self,
		tolerance:        tolerance,
		sendRequest:      sendRequest,
		customers:        map[world.CustomerID]*account{},
		measuredAt:       clock.Now(),
		unreachableUntil: map[world.NodeID]time.Duration{},
		requestPending:   map[world.NodeID]bool{},
	}
}

// SetCustomers replaces the customers by those of a table and keeps the state of those that
// were known before.
func (l *Limiter) SetCustomers(customers []*table.Customer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	known := make(map[world.CustomerID]*account, len(customers))
	for _, c := range customers {
		a := l.customers[c.ID]
		if a == nil {
			// New buckets start empty because a process that ran here before a restart may have
			// spent their tokens.
			a = &account{id: c.ID, pool: bucket{updatedAt: now}, isolated: bucket{updatedAt: now}}
		}
		a.refillLocked(now)
		a.rate, a.burst, a.isLimited = l.limitsWithTolerance(c)
		known[c.ID] = a
	}
	l.customers = known
	l.updateSharesLocked(now)
}

// limitsWithTolerance returns rate and burst, increased by the used part of the tolerance.
func (l *Limiter) limitsWithTolerance(c *table.Customer) (rate, burst float64, isLimited bool) {
	factor := 1 + overageFraction*l.tolerance.Overage
	rate, burst = c.Rate*factor, c.Burst*factor
	if l.tolerance.Window > 0 {
		rate += slackFraction * l.tolerance.Slack / l.tolerance.Window.Seconds()
	}
	return rate, burst, c.IsLimited()
}

func (a *account) refillLocked(now time.Duration) {
	if !a.isFrozen {
		a.pool.refill(now, a.rate*a.liveShare, a.burst*a.liveShare)
	}
	a.isolated.refill(now, a.rate*a.ownShare, maxIsolatedTokens)
}

// SetPeers sets the other nodes. A node that is missing from peers has left the fleet, and
// its share goes to the others.
func (l *Limiter) SetPeers(peers []Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	unchanged := l.peersKnown && slices.EqualFunc(l.peers, peers, equivalentPeers)
	l.peers, l.peersKnown = peers, true
	if !unchanged {
		l.updateSharesLocked(l.clock.Now())
	}
}

// equivalentPeers reports whether two states of a node lead to the same shares and homes.
func equivalentPeers(a, b Peer) bool {
	return a.Node == b.Node && a.IsLeaving == b.IsLeaving &&
		(a.Age >= liveTimeout) == (b.Age >= liveTimeout) && (a.Age >= homeTimeout) == (b.Age >= homeTimeout)
}

// UpdateDemand updates the demand averages from the requests since the last call.
func (l *Limiter) UpdateDemand() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	elapsed := now - l.measuredAt
	if elapsed <= 0 {
		return
	}
	l.measuredAt = now
	weight := 1 - timer.DecayFactor(elapsed, demandTimeConstant)
	for _, a := range l.customers {
		a.demand += weight * (a.arrivals/elapsed.Seconds() - a.demand)
		a.arrivals = 0
	}
}

// Leave starts the shutdown of this node: it is no longer a home, and other nodes take over
// its pools.
func (l *Limiter) Leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isLeaving = true
	l.updateSharesLocked(l.clock.Now())
}

// transferPools sends a fraction of the tokens of each frozen pool to its new home, which uses
// them once it knows that it is the home. Tokens lost on the way are not replaced; the new home
// earns new ones.
func (l *Limiter) transferPools(fraction float64) {
	l.mu.Lock()
	requests := map[world.NodeID]*wire.TokenRequest{}
	for id, a := range l.customers {
		if !a.isFrozen || a.home == "" {
			continue
		}
		tokens := uint32(max(0, fraction*a.pool.tokens))
		a.pool.tokens -= float64(tokens)
		a.isFrozen = fraction < 1
		if tokens == 0 {
			continue
		}
		if requests[a.home] == nil {
			requests[a.home] = &wire.TokenRequest{Node: string(l.self)}
		}
		requests[a.home].Wants = append(requests[a.home].Wants, &wire.TokenWant{Customer: string(id), Left: tokens})
	}
	l.mu.Unlock()
	for home, req := range requests {
		sort.Slice(req.Wants, func(i, j int) bool { return req.Wants[i].GetCustomer() < req.Wants[j].GetCustomer() })
		l.sendRequest(home, req, requestTimeout, func(*wire.TokenReply, error) {})
	}
}

// receiveTransferLocked adds tokens sent by a home that stops.
func (a *account) receiveTransferLocked(tokens uint32, isHome bool, now time.Duration) {
	if isHome {
		a.pool.tokens = min(a.pool.tokens+float64(tokens), max(1, a.burst))
		return
	}
	a.earlyTransfer, a.earlyTransferUntil = a.earlyTransfer+float64(tokens), now+liveTimeout
}

// updateSharesLocked computes the shares and the home of each customer. Shares depend on the
// number of nodes rather than on demand: the sides of a partition know different demands of
// each other, and shares computed from them would add up to more than one rate.
func (l *Limiter) updateSharesLocked(now time.Duration) {
	nodes := float64(len(l.peers) + 1)
	unreachable := 0.0
	for _, p := range l.peers {
		if p.Age >= liveTimeout {
			unreachable++
		}
	}
	poolMoved := false
	for _, a := range l.customers {
		if !a.isLimited {
			continue
		}
		a.refillLocked(now)
		if l.peersKnown {
			a.ownShare, a.liveShare = 1/nodes, (nodes-unreachable)/nodes
		}
		poolMoved = l.updateHomeLocked(a, now) || poolMoved
	}
	if poolMoved {
		l.clock.After(0, func() { l.transferPools(immediateTransferFraction) })
		l.clock.After(propagationDelay, func() { l.transferPools(1) })
	}
}

// updateHomeLocked selects the customer's home among the reachable nodes that are not shutting
// down; there is none if all are. A node that becomes the home starts with the tokens that the
// previous home transferred, since that one may have granted the rest. poolMoved reports whether
// the pool must be transferred: most of it immediately, while this node grants the remainder until
// the update has spread.
func (l *Limiter) updateHomeLocked(a *account, now time.Duration) (poolMoved bool) {
	var home world.NodeID
	var bestWeight uint64
	if !l.isLeaving {
		home, bestWeight = l.self, rendezvousWeight(a.id, l.self)
	}
	for _, p := range l.peers {
		if p.Age >= homeTimeout || p.IsLeaving {
			continue
		}
		if w := rendezvousWeight(a.id, p.Node); home == "" || w > bestWeight {
			home, bestWeight = p.Node, w
		}
	}
	switch {
	case home == l.self && a.home != l.self:
		if !a.isFrozen {
			a.pool.tokens = 0
		}
		a.isFrozen = false
		if now < a.earlyTransferUntil {
			a.pool.tokens = min(a.pool.tokens+a.earlyTransfer, max(1, a.burst))
		}
		a.earlyTransfer = 0
	case home != l.self && a.home == l.self:
		a.isFrozen, poolMoved = true, true
	}
	a.home = home
	return poolMoved
}

// rendezvousWeight returns the weight of a node for a customer (rendezvous hashing). The node
// with the highest weight is the home, and most customers keep their home when nodes come and go.
func rendezvousWeight(customer world.CustomerID, node world.NodeID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(customer))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(node))
	x := h.Sum64()
	// FNV alone differs too little for names that differ only in their last letter.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// TakeToken takes a token of a customer. done gets whether there was one, and otherwise after
// which time one is likely to be available.
func (l *Limiter) TakeToken(customer world.CustomerID, done func(ok bool, wait time.Duration)) {
	l.mu.Lock()
	now := l.clock.Now()
	a := l.customers[customer]
	if a == nil {
		l.mu.Unlock()
		done(false, minRetryAfter)
		return
	}
	a.arrivals++
	ok, wait, decided := l.tryTakeLocked(a, now)
	if !decided {
		a.waiters = append(a.waiters, &waiter{done: done})
		home := a.home
		send := !l.requestPending[home]
		l.requestPending[home] = true
		l.mu.Unlock()
		if send {
			l.requestTokens(home)
		}
		return
	}
	l.mu.Unlock()
	done(ok, wait)
}

// ReturnToken returns the token of a request that was not admitted in the end. At a node that
// is not the home, the token is kept for the customer's next request at this node.
func (l *Limiter) ReturnToken(customer world.CustomerID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.customers[customer]
	if a == nil || !a.isLimited {
		return
	}
	now := l.clock.Now()
	if a.home == l.self {
		a.refillLocked(now)
		a.pool.tokens = min(a.pool.tokens+1, max(1, a.burst))
		return
	}
	if now >= a.localTokensUntil {
		a.localTokens = 0
	}
	a.localTokens++
	a.localTokensUntil = now + localTokenTTL
}

// tryTakeLocked takes a token without asking the home, if possible. decided is false if the
// home must be asked.
func (l *Limiter) tryTakeLocked(a *account, now time.Duration) (ok bool, wait time.Duration, decided bool) {
	switch {
	case !a.isLimited:
		return true, 0, true
	case a.isFrozen && a.pool.tokens >= 1:
		a.pool.tokens--
		return true, 0, true
	case a.home == l.self:
		a.refillLocked(now)
		ok, wait = a.pool.spend(a.rate * a.liveShare)
		return ok, wait, true
	case a.localTokens > 0 && now < a.localTokensUntil:
		a.localTokens--
		return true, 0, true
	case a.home == "" || now < l.unreachableUntil[a.home]:
		ok, wait = a.spendIsolated(now)
		return ok, wait, true
	default:
		return false, 0, false
	}
}

// spendIsolated takes a token from the node's own share of the rate.
func (a *account) spendIsolated(now time.Duration) (ok bool, wait time.Duration) {
	a.refillLocked(now)
	ok, wait = a.isolated.spend(a.rate * a.ownShare)
	if ok && now-a.homeReachedAt < liveTimeout {
		a.overdraft++
	}
	return ok, wait
}

func (b *bucket) spend(rate float64) (ok bool, wait time.Duration) {
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	return false, b.retryAfter(rate)
}

// retryAfter returns the time until the next token, within minRetryAfter and maxRetryAfter.
func (b *bucket) retryAfter(rate float64) time.Duration {
	seconds := (1 - b.tokens) / max(rate, 1e-6)
	if seconds > maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return max(time.Duration(seconds*float64(time.Second)), minRetryAfter)
}

// requestTokens requests tokens from a home for all waiting requests.
func (l *Limiter) requestTokens(home world.NodeID) {
	l.mu.Lock()
	req := &wire.TokenRequest{Node: string(l.self)}
	pending := map[world.CustomerID][]*waiter{}
	for id, a := range l.customers {
		if a.home == home && len(a.waiters) > 0 {
			pending[id], a.waiters = a.waiters, nil
			req.Wants = append(req.Wants, &wire.TokenWant{Customer: string(id), Tokens: uint32(len(pending[id])), Demand: a.demand, Owed: uint32(a.overdraft)})
		}
	}
	if len(pending) == 0 {
		delete(l.requestPending, home)
		l.mu.Unlock()
		return
	}
	l.mu.Unlock()
	sort.Slice(req.Wants, func(i, j int) bool { return req.Wants[i].GetCustomer() < req.Wants[j].GetCustomer() })
	l.sendRequest(home, req, requestTimeout, func(reply *wire.TokenReply, err error) {
		if err != nil {
			l.handleRequestFailure(home, pending)
		} else {
			l.handleReply(pending, req, reply)
		}
		l.requestTokens(home)
	})
}

// handleReply distributes the granted tokens to the waiting requests and stores the rest as
// local tokens.
func (l *Limiter) handleReply(pending map[world.CustomerID][]*waiter, req *wire.TokenRequest, reply *wire.TokenReply) {
	var callbacks []func()
	l.mu.Lock()
	now := l.clock.Now()
	for _, want := range req.GetWants() {
		if a := l.customers[world.CustomerID(want.GetCustomer())]; a != nil {
			a.overdraft = max(0, a.overdraft-int(want.GetOwed()))
			a.homeReachedAt = now
		}
	}
	for _, grant := range reply.GetGrants() {
		id := world.CustomerID(grant.GetCustomer())
		tokens := int(grant.GetTokens())
		wait := min(max(time.Duration(grant.GetWaitMs())*time.Millisecond, minRetryAfter), maxRetryAfter)
		for _, w := range pending[id] {
			ok := tokens > 0
			tokens--
			callbacks = append(callbacks, func() { w.done(ok, wait) })
		}
		delete(pending, id)
		if a := l.customers[id]; a != nil && tokens > 0 {
			a.localTokens, a.localTokensUntil = tokens, now+localTokenTTL
		}
	}
	l.mu.Unlock()
	for _, waiters := range pending {
		// The home does not know the customer (yet, or any longer).
		for _, w := range waiters {
			callbacks = append(callbacks, func() { w.done(false, minRetryAfter) })
		}
	}
	for _, f := range callbacks {
		f()
	}
}

// handleRequestFailure serves the waiting requests from the node's own share of the rate.
func (l *Limiter) handleRequestFailure(home world.NodeID, pending map[world.CustomerID][]*waiter) {
	var callbacks []func()
	l.mu.Lock()
	now := l.clock.Now()
	l.unreachableUntil[home] = now + homeRetryDelay
	for id, waiters := range pending {
		a := l.customers[id]
		for _, w := range waiters {
			ok, wait := false, minRetryAfter
			if a != nil {
				ok, wait = a.spendIsolated(now)
			}
			callbacks = append(callbacks, func() { w.done(ok, wait) })
		}
	}
	l.mu.Unlock()
	for _, f := range callbacks {
		f()
	}
}

// Grant answers a token request at the home. A node that is not the home by its own view grants
// only from its own share: the views of the two nodes differ, and either may be outdated.
func (l *Limiter) Grant(req *wire.TokenRequest) *wire.TokenReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	reply := &wire.TokenReply{}
	for _, want := range req.GetWants() {
		a := l.customers[world.CustomerID(want.GetCustomer())]
		if a == nil || !a.isLimited {
			continue
		}
		a.refillLocked(now)
		if want.GetLeft() > 0 {
			a.receiveTransferLocked(want.GetLeft(), a.home == l.self, now)
			continue
		}
		b, rate := &a.pool, a.rate*a.liveShare
		if a.home != l.self && !a.isFrozen {
			b, rate = &a.isolated, a.rate*a.ownShare
		}
		grant := &wire.TokenGrant{Customer: want.GetCustomer()}
		b.tokens = max(b.tokens-float64(want.GetOwed()), -a.burst)
		grant.Tokens = uint32(min(float64(want.GetTokens()), math.Floor(max(0, b.tokens))))
		b.tokens -= float64(grant.GetTokens())
		if grant.GetTokens() < want.GetTokens() {
			grant.WaitMs = b.retryAfter(rate).Milliseconds()
		} else {
			prefetched := l.prefetchLocked(a, b, want.GetDemand())
			b.tokens -= float64(prefetched)
			grant.Tokens += prefetched
		}
		reply.Grants = append(reply.Grants, grant)
	}
	return reply
}

// prefetchLocked returns how many tokens a node gets beyond its present need, to save it a
// request to the home for each of its next requests. Small or nearly empty pools grant none in
// advance.
func (l *Limiter) prefetchLocked(a *account, b *bucket, demand float64) uint32 {
	limit := prefetchFraction * b.tokens / float64(len(l.peers)+1)
	return uint32(max(0, min(demand*prefetchHorizon.Seconds(), limit)))
}
