// Package retry bounds retries with a Budget for all calls that one request causes, a Bucket for
// all calls to one service, and a Limiter for the calls of a fleet to each service.
//
// # Usage
//
//	b := retry.NewBudget(call.Budget)
//	half := b.Split()            // sent with an attempt or a child call
//	b.Return(reply.BudgetLeft)   // returned with the reply; lost if there is no reply
//	if b.Spend() { /* retry */ }
//
// Split removes the half from the budget, so that the sum over the call tree never grows,
// whatever its depth, fan-out and lost replies.
package retry

import "sync"

// Budget is the number of retries that a subtree of calls may still make.
type Budget struct {
	mu   sync.Mutex
	left int
}

// NewBudget returns a budget of n retries.
func NewBudget(n int) *Budget { return &Budget{left: max(n, 0)} }

// Split removes half of the budget, rounded down, and returns it for an attempt. The other half
// lets this hop still retry when the reply is lost.
func (b *Budget) Split() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	half := b.left / 2
	b.left -= half
	return half
}

// Return adds the unused part of an attempt's budget.
func (b *Budget) Return(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left += max(n, 0)
}

// Spend takes one retry if there is one left.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left == 0 {
		return false
	}
	b.left--
	return true
}

// Close empties the budget and returns what was left, for the hop above.
func (b *Budget) Close() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.left
	b.left = 0
	return left
}

// Tuning of Bucket.
const (
	// perSuccess is the number of retries that a successful call adds.
	perSuccess = 0.1
	bucketSize = 50
	// bucketStart allows a few retries to a service without traffic.
	bucketStart = 5
)

// Bucket bounds the retries to one service in proportion to its successful calls.
type Bucket struct {
	mu     sync.Mutex
	tokens float64
}

// NewBucket returns a bucket that holds bucketStart retries.
func NewBucket() *Bucket { return &Bucket{tokens: bucketStart} }

// RecordSuccess counts a successful call.
func (b *Bucket) RecordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+perSuccess, bucketSize)
}

// Spend takes one retry if there is one left.
func (b *Bucket) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
