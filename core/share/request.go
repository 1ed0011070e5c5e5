package share

import (
	"math"
	"sort"
	"time"

	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// RequestFunc sends a token request to a node. It calls done exactly once.
type RequestFunc func(home world.NodeID, req *wire.TokenRequest, timeout time.Duration, done func(*wire.TokenReply, error))

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
	l.sendRequest(home, req, RequestTimeout, func(reply *wire.TokenReply, err error) {
		if err != nil {
			l.handleRequestFailure(home, pending)
		} else {
			l.handleReply(home, pending, req, reply)
		}
		l.requestTokens(home)
	})
}

// handleReply distributes the granted tokens to the waiting requests and stores the rest as
// local tokens.
func (l *Limiter) handleReply(home world.NodeID, pending map[world.CustomerID][]*waiter, req *wire.TokenRequest, reply *wire.TokenReply) {
	var callbacks []func()
	l.mu.Lock()
	now := l.clock.Now()
	for _, want := range req.GetWants() {
		if a := l.customers[world.CustomerID(want.GetCustomer())]; a != nil {
			a.overdraft = max(0, a.overdraft-int(want.GetOwed()))
			a.homeReachedAt = now
		}
	}
	if c, ok := l.cutOffFrom[home]; ok && now-c.firstFailure >= minCutOffTime {
		delete(l.cutOffFrom, home)
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
	c, ok := l.cutOffFrom[home]
	if !ok {
		c.firstFailure = now
	}
	c.lastFailure = now
	l.cutOffFrom[home] = c
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

// resumeWaiters takes up the requests that wait for a home which is no longer the one of their customer, or whose
// customer was removed.
func (l *Limiter) resumeWaiters() {
	var callbacks []func()
	homes := map[world.NodeID]bool{}
	l.mu.Lock()
	now := l.clock.Now()
	for _, w := range l.orphans {
		callbacks = append(callbacks, func() { w.done(false, minRetryAfter) })
	}
	l.orphans = nil
	for _, a := range l.customers {
		waiters := a.waiters
		a.waiters = nil
		for _, w := range waiters {
			ok, wait, decided := l.tryTakeLocked(a, now)
			if decided {
				callbacks = append(callbacks, func() { w.done(ok, wait) })
				continue
			}
			a.waiters = append(a.waiters, w)
			if !l.requestPending[a.home] {
				l.requestPending[a.home], homes[a.home] = true, true
			}
		}
	}
	l.mu.Unlock()
	for _, f := range callbacks {
		f()
	}
	for home := range homes {
		l.requestTokens(home)
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
		if want.GetLeft() > 0 || want.GetHandsOver() {
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
