package share

import (
	"hash/fnv"
	"sort"
	"time"

	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

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
		if requests[a.home] == nil {
			requests[a.home] = &wire.TokenRequest{Node: string(l.self)}
		}
		requests[a.home].Wants = append(requests[a.home].Wants, &wire.TokenWant{Customer: string(id), Left: tokens, HandsOver: true})
	}
	l.mu.Unlock()
	for home, req := range requests {
		sort.Slice(req.Wants, func(i, j int) bool { return req.Wants[i].GetCustomer() < req.Wants[j].GetCustomer() })
		l.sendRequest(home, req, RequestTimeout, func(*wire.TokenReply, error) {})
	}
}

// receiveTransferLocked adds tokens sent by a home that stops.
func (a *account) receiveTransferLocked(tokens uint32, isHome bool, now time.Duration) {
	if isHome {
		a.pool.tokens = min(a.pool.tokens+float64(tokens), max(1, a.burst))
		a.earnsFrom = min(a.earnsFrom, now)
		return
	}
	a.earlyTransfer, a.earlyTransferUntil = a.earlyTransfer+float64(tokens), now+liveTimeout
}

// updateSharesLocked computes the shares and the home of each customer. Shares depend on the
// number of nodes rather than on demand: the sides of a partition know different demands of
// each other, and shares computed from them would add up to more than one rate.
func (l *Limiter) updateSharesLocked(now time.Duration) {
	if !l.peersKnown {
		return
	}
	nodes := float64(len(l.peers) + 1)
	unreachable := 0.0
	for _, p := range l.peers {
		if !p.isLive() {
			unreachable++
		}
	}
	ownShare, liveShare := 1/nodes, (nodes-unreachable)/nodes
	if l.isSuspended {
		ownShare, liveShare = 0, 0
	}
	poolMoved := false
	for _, a := range l.customers {
		if !a.isLimited {
			continue
		}
		a.refillLocked(now)
		a.ownShare, a.liveShare = ownShare, liveShare
		home := a.home
		poolMoved = l.updateHomeLocked(a, now) || poolMoved
		if a.home != home && len(a.waiters) > 0 {
			l.clock.After(0, l.resumeWaiters)
		}
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
		a.earnsFrom = now
		if now < a.earlyTransferUntil {
			a.pool.tokens = min(a.pool.tokens+a.earlyTransfer, max(1, a.burst))
		} else if l.previousHomeEarnsLocked(a) {
			a.earnsFrom = now + returnDelay
		}
		a.earlyTransfer = 0
	case home != l.self && a.home == l.self:
		a.isFrozen, poolMoved = true, true
	}
	a.home = home
	return poolMoved
}

// previousHomeEarnsLocked reports whether another node may earn the rate because it does not know yet that
// this node is the home: the one that is the home without this node.
func (l *Limiter) previousHomeEarnsLocked(a *account) bool {
	var previous Peer
	var bestWeight uint64
	for _, p := range l.peers {
		if w := rendezvousWeight(a.id, p.Node); p.Age < homeTimeout && !p.IsUnconfirmed && (previous.Node == "" || w > bestWeight) {
			previous, bestWeight = p, w
		}
	}
	return previous.Node != "" && !previous.IsLeaving
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
