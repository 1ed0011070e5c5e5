// Package invar asserts invariants inside the running program. A violation is
// counted and logged in production; in tests the handler ends the test.
//
// # Usage
//
//	checks := invar.New(func(v invar.Violation) { log(v) })
//	checks.That(stock >= 0, invar.TokensConserved, "stock %d", stock)
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

// String returns the name that logs show.
func (n Name) String() string { return names[n] }

// Violation is a broken invariant.
type Violation struct {
	Name   Name
	Detail string
}

// Checker counts violations and reports them.
type Checker struct {
	count   atomic.Int64
	handler func(Violation)
}

// New returns a checker that calls handler for each violation.
func New(handler func(Violation)) *Checker { return &Checker{handler: handler} }

// That reports a violation unless ok holds.
func (c *Checker) That(ok bool, name Name, format string, args ...any) {
	if ok {
		return
	}
	c.count.Add(1)
	c.handler(Violation{Name: name, Detail: fmt.Sprintf(format, args...)})
}

// Count returns the number of violations so far.
func (c *Checker) Count() int64 { return c.count.Load() }
