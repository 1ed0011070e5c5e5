package quota

import (
	"sync"
	"time"

	"wagtailyoke/core/shard"
	"wagtailyoke/core/timer"
	"wagtailyoke/core/world"
)

// maxWaiting bounds the calls of one customer that wait for a token at one node.
const maxWaiting = 64

// Gate admits calls at one node: from its stocks, or after a short wait for the
// tokens that it then asks for.
type Gate struct {
	clock timer.Service
	wait  time.Duration
	ask   func()

	mu     sync.RWMutex
	stocks []*LocalTokens
	// last is asked when no stock has a token.
	last    func(world.CustomerID) bool
	waiters *shard.Map[world.CustomerID, []*waiter]
}

type waiter struct {
	done func(bool)
	stop timer.Stop
}

// NewGate returns a gate without stocks. ask is called when a call finds no token,
// last when no stock has one.
func NewGate(clock timer.Service, wait time.Duration, ask func(), last func(world.CustomerID) bool) *Gate {
	return &Gate{clock: clock, wait: wait, ask: ask, last: last, waiters: shard.New[world.CustomerID, []*waiter]()}
}

// SetTokenSources sets the stocks to spend from, in order of preference.
func (g *Gate) SetTokenSources(stocks ...*LocalTokens) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stocks = stocks
}

// Admit calls done with true once the customer has a token, or with false.
func (g *Gate) Admit(customer world.CustomerID, done func(bool)) {
	if g.take(customer, (*LocalTokens).TakeToken) {
		done(true)
		return
	}
	w := &waiter{done: done}
	if !g.enqueue(customer, w) {
		done(false)
		return
	}
	g.ask()
}

func (g *Gate) take(customer world.CustomerID, from func(*LocalTokens, world.CustomerID) bool) bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	for _, s := range g.stocks {
		if from(s, customer) {
			return true
		}
	}
	return g.last(customer)
}

func (g *Gate) enqueue(customer world.CustomerID, w *waiter) bool {
	queued := false
	g.waiters.With(customer, func(entries map[world.CustomerID][]*waiter) {
		if len(entries[customer]) >= maxWaiting {
			return
		}
		w.stop = g.clock.After(g.wait, func() { g.expire(customer, w) })
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

// WaitingCounts counts the calls that wait for a token. It is taken before a stock's
// report, not during it: Serve locks the waiting calls first and the stock second.
func (g *Gate) WaitingCounts() Waiting {
	waiting := Waiting{}
	g.waiters.Each(func(entries map[world.CustomerID][]*waiter) {
		for customer, queue := range entries {
			if len(queue) > 0 {
				waiting[customer] = len(queue)
			}
		}
	})
	return waiting
}

// AdmitWaiting hands new tokens to waiting calls, oldest first.
func (g *Gate) AdmitWaiting() {
	var served []*waiter
	g.waiters.Each(func(entries map[world.CustomerID][]*waiter) {
		for _, customer := range sortedCustomers(entries) {
			queue := entries[customer]
			for len(queue) > 0 && g.take(customer, (*LocalTokens).TakeWaiting) {
				served = append(served, queue[0])
				queue = queue[1:]
			}
			entries[customer] = queue
		}
	})
	for _, w := range served {
		w.stop()
		w.done(true)
	}
}
