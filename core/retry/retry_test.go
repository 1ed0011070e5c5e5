package retry_test

import (
	"testing"

	"pgregory.net/rapid"

	"wagtailyoke/core/retry"
)

// TestBudget builds random trees of calls, up to 10 deep with up to 4 children, in
// which any attempt may fail and any reply may be lost: the retries of the whole
// tree never exceed the budget.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		total := rapid.IntRange(0, 8).Draw(rt, "budget")
		tree := &tree{rt: rt, left: 400}
		b := retry.NewBudget(total)
		tree.serve(b, 10)
		if back := b.Close(); tree.retries+back > total {
			rt.Fatalf("%d retries and %d left of a budget of %d", tree.retries, back, total)
		}
	})
}

// tree counts the retries of one request. left bounds its size.
type tree struct {
	rt      *rapid.T
	left    int
	retries int
}

// serve is one hop: it makes its child calls, each with retries.
func (t *tree) serve(b *retry.Budget, depth int) {
	if depth == 0 || t.left <= 0 {
		return
	}
	for range rapid.IntRange(0, 4).Draw(t.rt, "children") {
		t.child(b, depth)
	}
}

// child is a call with its attempts, as a node makes them.
func (t *tree) child(parent *retry.Budget, depth int) {
	own := retry.NewBudget(parent.Split())
	for {
		t.left--
		attempt := retry.NewBudget(own.Split())
		t.serve(attempt, depth-1)
		if rapid.Bool().Draw(t.rt, "reply comes") {
			own.Return(attempt.Close())
		}
		if rapid.Bool().Draw(t.rt, "succeeds") || !own.Spend() {
			break
		}
		t.retries++
	}
	if rapid.Bool().Draw(t.rt, "answer comes") {
		parent.Return(own.Close())
	}
}
