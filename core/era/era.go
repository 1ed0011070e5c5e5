// Package era orders what a node learns from the platform's object store.
//
// The store numbers its changes with revisions. When it comes back from a copy, a new era begins: the changes
// since the copy are gone, and their revisions are given out again. A revision therefore orders changes within its
// era only, and what the store answered in an earlier era proves nothing in the present one.
//
// # Usage
//
//	var t era.Tracker
//	switch t.Observe(answer.Era) {
//	case era.Newer: // what the store was known to hold has to be read again
//	case era.Older: // the answer is late; what it says is gone
//	}
//	if revision.IsAfter(known) { ... }
package era

import (
	"cmp"
	"fmt"
	"sync"

	"github.com/pkg/errors"
)

// Era counts how often the store has come back from a copy. 0 means that the era is not known.
type Era uint64

// Revision is a position in the store's history. A revision with the number 0 comes before all changes of its era.
type Revision struct {
	Era    Era
	Number uint64
}

// Compare orders revisions by their eras, then by their numbers.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))
}

// IsAfter reports whether the revision comes after another one.
func (r Revision) IsAfter(other Revision) bool { return r.Compare(other) > 0 }

// String returns the form that is used in logs.
func (r Revision) String() string { return fmt.Sprintf("%d/%d", r.Era, r.Number) }

// ErrOutdated means that an answer of the store is of an earlier era, so that what it says is gone.
var ErrOutdated = errors.New("the store's answer is of an earlier era")

// Order tells how an era relates to the present one.
type Order uint8

// Orders of eras.
const (
	// Present means that the era is the present one, or not known.
	Present Order = iota
	// First means that no era was known before this one.
	First
	// Newer means that the store has come back from a copy: the era has just become the present one.
	Newer
	// Older means that the era has ended.
	Older
)

// Tracker keeps the present era, the highest that was observed.
type Tracker struct {
	mu      sync.Mutex
	present Era
}

// Present returns the present era, 0 if none was observed yet.
func (t *Tracker) Present() Era {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.present
}

// Observe records that a message names an era. It returns First or Newer once for each era.
func (t *Tracker) Observe(e Era) Order {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case e == 0 || e == t.present:
		return Present
	case e < t.present:
		return Older
	}
	isFirst := t.present == 0
	t.present = e
	if isFirst {
		return First
	}
	return Newer
}
