// Package retry bounds retries: a Budget for one request's whole tree of calls,
// and a Bucket for all calls to one service.
//
// # Usage
//
//	b := retry.NewBudget(call.Budget)
//	part := b.Lend()             // goes out with an attempt or a child call
//	b.Return(reply.BudgetLeft)   // comes back with the reply; lost if none comes
//	if b.Spend() { /* retry */ }
//
// A budget is held in escrow: parts lent out are not here, so that the sum over
// the tree never grows, whatever its depth, fan-out and lost replies.
package retry

import "sync"

// Budget is the number of retries that a subtree of calls may still make.
type Budget struct {
	mu   sync.Mutex
	left int
}

// NewBudget returns a budget of n retries.
func NewBudget(n int) *Budget { return &Budget{left: max(n, 0)} }

// Split takes out the part that goes with an attempt: half, rounded down, so that
// the hop above can still retry when the reply is lost.
func (b *Budget) Split() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	part := b.left / 2
	b.left -= part
	return part
}

// Return puts back the unused part of an attempt.
func (b *Budget) Return(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left += max(n, 0)
}

// Spend takes one retry if there is one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left == 0 {
		return false
	}
	b.left--
	return true
}

// Close takes out all that is left, to return it to the hop above.
func (b *Budget) Close() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.left
	b.left = 0
	return left
}

// Tuning of Bucket.
const (
	// perSuccess is the number of retries that a successful call pays for.
	perSuccess = 0.1
	bucketSize = 50
	// bucketStart lets a service without traffic retry a few times.
	bucketStart = 5
)

// Bucket bounds retries to one service by its successes.
type Bucket struct {
	mu     sync.Mutex
	tokens float64
}

// NewBucket returns a bucket with a few retries.
func NewBucket() *Bucket { return &Bucket{tokens: bucketStart} }

// RecordSuccess counts a successful call.
func (b *Bucket) RecordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+perSuccess, bucketSize)
}

// Spend takes one retry if there is one.
func (b *Bucket) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
