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
// that cannot reach a home limits the customer to its own share and reports that (CutOffFrom); the
// home then earns without that share, even if it sees the node alive. The share of a node that was
// away for long, and a pool that was at another node, are earned again only after the nodes that did so
// meanwhile had time to learn of it.
package share

import (
	"maps"
	"slices"
	"sync"
	"time"

	"wagtailyoke/core/table"
	"wagtailyoke/core/timer"
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
	// returnDelay is how long a node that comes back keeps its share, and how long a home waits for the
	// tokens of the previous one: updates take as long to spread.
	returnDelay = 750 * time.Millisecond
	// minCutOffTime is the least time for which a node reports that it cannot reach a home. It keeps
	// links that lose single messages from changing the report all the time.
	minCutOffTime = time.Second
	// maxCutOffAge is how long a node reports a home after its last failed request to it. A node that has no
	// requests of the home's customers spends nothing.
	maxCutOffAge = 2 * time.Second
	// RequestTimeout bounds the wait for the home: longer than a round trip between failure
	// domains, far shorter than any deadline.
	RequestTimeout = 80 * time.Millisecond
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
	// IsCutOff means that the node reports that it cannot reach this node as a home.
	IsCutOff bool
	// IsUnconfirmed means that the node was not heard of since this one has started.
	IsUnconfirmed bool

	// isReturning means that the node was away for so long that its side may have had another home.
	isReturning bool
}

// isLive reports whether a home earns the node's share of the rate.
func (p Peer) isLive() bool {
	return p.Age < liveTimeout && !p.IsCutOff && !p.IsUnconfirmed && !p.isReturning
}

// isAway reports whether the node's share is earned elsewhere.
func (p Peer) isAway() bool { return p.Age >= homeTimeout || p.IsCutOff }

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
	// orphans are the requests that wait for a token of a customer that was removed.
	orphans []*waiter
	// cutOffFrom holds the homes that this node cannot reach.
	cutOffFrom map[world.NodeID]cutOff
	// returnsAt holds the nodes that were away, with the time from which their shares are earned here
	// again, 0 while they are away.
	returnsAt map[world.NodeID]time.Duration
	// isSuspended means that nothing may be spent.
	isSuspended bool
}

// cutOff tells since when requests to a home have failed.
type cutOff struct {
	firstFailure, lastFailure time.Duration
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
	// earnsFrom is when the pool begins to earn tokens, after it has moved to this node.
	earnsFrom time.Duration
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
		cutOffFrom:       map[world.NodeID]cutOff{},
		returnsAt:        map[world.NodeID]time.Duration{},
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
	for id, a := range l.customers {
		if known[id] == nil && len(a.waiters) > 0 {
			l.orphans = append(l.orphans, a.waiters...)
			a.waiters = nil
			l.clock.After(0, l.resumeWaiters)
		}
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
	switch {
	case a.isFrozen:
	case now < a.earnsFrom:
		a.pool.updatedAt = now
	default:
		a.pool.refill(now, a.rate*a.liveShare, a.burst*a.liveShare)
	}
	a.isolated.refill(now, a.rate*a.ownShare, maxIsolatedTokens)
}

// SetPeers sets the other nodes. A node that is missing from peers has left the fleet, and
// its share goes to the others.
func (l *Limiter) SetPeers(peers []Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.markReturningLocked(peers)
	unchanged := l.peersKnown && slices.EqualFunc(l.peers, peers, equivalentPeers)
	l.peers, l.peersKnown = peers, true
	if !unchanged {
		l.updateSharesLocked(l.clock.Now())
	}
}

// markReturningLocked marks the nodes that have come back within returnDelay.
func (l *Limiter) markReturningLocked(peers []Peer) {
	now := l.clock.Now()
	known := make(map[world.NodeID]bool, len(peers))
	for i := range peers {
		p := &peers[i]
		known[p.Node] = true
		returnsAt, wasAway := l.returnsAt[p.Node]
		switch {
		case p.isAway():
			l.returnsAt[p.Node] = 0
		case wasAway && returnsAt == 0:
			l.returnsAt[p.Node], p.isReturning = now+returnDelay, true
		case wasAway && now < returnsAt:
			p.isReturning = true
		default:
			delete(l.returnsAt, p.Node)
		}
	}
	maps.DeleteFunc(l.returnsAt, func(node world.NodeID, _ time.Duration) bool { return !known[node] })
}

// equivalentPeers reports whether two states of a node lead to the same shares and homes.
func equivalentPeers(a, b Peer) bool {
	return a.Node == b.Node && a.IsLeaving == b.IsLeaving && a.isLive() == b.isLive() &&
		(a.Age >= liveTimeout) == (b.Age >= liveTimeout) && (a.Age >= homeTimeout) == (b.Age >= homeTimeout)
}

// SetSuspended sets whether this node may spend nothing, because the nodes that it cannot reach may have
// taken over its share.
func (l *Limiter) SetSuspended(isSuspended bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isSuspended != isSuspended {
		l.isSuspended = isSuspended
		l.updateSharesLocked(l.clock.Now())
	}
}

// CutOffFrom returns the homes that this node cannot reach, sorted. Their shares must not include the one of
// this node.
func (l *Limiter) CutOffFrom() []world.NodeID {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.cutOffFrom) == 0 {
		return nil
	}
	homes := map[world.NodeID]bool{}
	for _, a := range l.customers {
		homes[a.home] = a.isLimited || homes[a.home]
	}
	now := l.clock.Now()
	maps.DeleteFunc(l.cutOffFrom, func(home world.NodeID, c cutOff) bool { return !homes[home] || now-c.lastFailure >= maxCutOffAge })
	return slices.Sorted(maps.Keys(l.cutOffFrom))
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
