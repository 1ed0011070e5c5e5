package quota

import (
	"sync"
	"time"

	"wagtailyoke/core/shard"
	"wagtailyoke/core/timer"
	"wagtailyoke/core/world"
)

// maxWaitingCalls limits the calls of one customer that wait for a token at one node.
const maxWaitingCalls = 64

// Gate is the rate limiter of one node. It admits a call with a token from its sources,
// or after a short wait for requested tokens.
type Gate struct {
	clock         timer.Service
	maxWait       time.Duration
	requestTokens func()

	mu      sync.RWMutex
	sources []*LocalTokens
	// fallback is called when no source has a token.
	fallback func(world.CustomerID) bool
	waiters  *shard.Map[world.CustomerID, []*waiter]
}

type waiter struct {
	done      func(bool)
	stopTimer timer.Stop
}

// NewGate returns a gate without sources. It calls requestTokens when a call finds no
// token, and fallback when no source has one.
func NewGate(clock timer.Service, maxWait time.Duration, requestTokens func(), fallback func(world.CustomerID) bool) *Gate {
	return &Gate{clock: clock, maxWait: maxWait, requestTokens: requestTokens, fallback: fallback, waiters: shard.New[world.CustomerID, []*waiter]()}
}

// SetTokenSources sets the sources of tokens in order of preference.
func (g *Gate) SetTokenSources(sources ...*LocalTokens) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sources = sources
}

// Admit calls done with true once a token was taken for the customer, or with false if
// none arrives in time or too many calls wait.
func (g *Gate) Admit(customer world.CustomerID, done func(bool)) {
	if g.takeToken(customer, (*LocalTokens).TakeToken) {
		done(true)
		return
	}
	w := &waiter{done: done}
	if !g.enqueue(customer, w) {
		done(false)
		return
	}
	g.requestTokens()
}

func (g *Gate) takeToken(customer world.CustomerID, take func(*LocalTokens, world.CustomerID) bool) bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	for _, s := range g.sources {
		if take(s, customer) {
			return true
		}
	}
	return g.fallback(customer)
}

func (g *Gate) enqueue(customer world.CustomerID, w *waiter) bool {
	queued := false
	g.waiters.With(customer, func(entries map[world.CustomerID][]*waiter) {
		if len(entries[customer]) >= maxWaitingCalls {
			return
		}
		w.stopTimer = g.clock.After(g.maxWait, func() { g.expire(customer, w) })
		entries[customer] = append(entries[customer], w)
		queued = true
	})
	return queued
}

func (g *Gate) expire(customer world.CustomerID, w *waiter) {
	if g.remove(customer, w) {
		w.done(false)
	}
}

func (g *Gate) remove(customer world.CustomerID, w *waiter) bool {
	found := false
	g.waiters.With(customer, func(entries map[world.CustomerID][]*waiter) {
		for i, candidate := range entries[customer] {
			if candidate == w {
				entries[customer] = append(entries[customer][:i:i], entries[customer][i+1:]...)
				found = true
				return
			}
		}
	})
	return found
}

// WaitingCounts counts the calls that wait for a token, by customer. Call it before
// LocalTokens.ReportUsage, not during it: AdmitWaiting locks the waiting calls first and
// the source second.
func (g *Gate) WaitingCounts() WaitingCounts {
	waiting := WaitingCounts{}
	g.waiters.Each(func(entries map[world.CustomerID][]*waiter) {
		for customer, queue := range entries {
			if len(queue) > 0 {
				waiting[customer] = len(queue)
			}
		}
	})
	return waiting
}

// AdmitWaiting gives available tokens to waiting calls, oldest first.
func (g *Gate) AdmitWaiting() {
	var served []*waiter
	g.waiters.Each(func(entries map[world.CustomerID][]*waiter) {
		for _, customer := range sortedCustomers(entries) {
			queue := entries[customer]
			for len(queue) > 0 && g.takeToken(customer, (*LocalTokens).TakeTokenForWaiter) {
				served = append(served, queue[0])
				queue = queue[1:]
			}
			entries[customer] = queue
		}
	})
	for _, w := range served {
		w.stopTimer()
		w.done(true)
	}
}
