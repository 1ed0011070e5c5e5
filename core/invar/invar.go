// Package invar checks invariants at run time. Violations are counted and passed to a handler,
// which logs them in production and fails the test in tests.
//
// # Usage
//
//	checks := invar.New(func(v invar.Violation) { log(v) })
//	checks.That(tokens >= 0, invar.TokensConserved, "local tokens: %d", tokens)
package invar

import (
	"fmt"
	"sync/atomic"
)

// Name identifies an invariant.
type Name int

// Invariants.
const (
	TokensConserved Name = iota
	ShedOrder
	ConfigMonotonic
	BudgetBounded
)

var names = []string{"tokensConserved", "shedOrder", "configMonotonic", "budgetBounded"}

// Names returns the names of all invariants.
func Names() []string { return names }

// String returns the name used in logs.
func (n Name) String() string { return names[n] }

// Violation describes a violated invariant.
type Violation struct {
	Name   Name
	Detail string
}

// Checker checks invariants, counts violations and reports them to a handler.
type Checker struct {
	count   atomic.Int64
	handler func(Violation)
}

// New returns a Checker that calls handler for each violation.
func New(handler func(Violation)) *Checker { return &Checker{handler: handler} }

// That reports a violation of the named invariant unless ok is true.
func (c *Checker) That(ok bool, name Name, format string, args ...any) {
	if ok {
		return
	}
	c.count.Add(1)
	c.handler(Violation{Name: name, Detail: fmt.Sprintf(format, args...)})
}

// Count returns the number of violations so far.
func (c *Checker) Count() int64 { return c.count.Load() }
