package mesh

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"wagtailyoke/core/era"
	"wagtailyoke/core/event"
	"wagtailyoke/core/store"
)

// sharedWriteBackoff is the minimum time between a failed write of a shared object and the next write.
const sharedWriteBackoff = time.Second

// sharedObject is an object in the platform's store that several processes write. Those that all nodes share
// are stored among the entries of the nodes, which makes the same list and watch return both.
type sharedObject[T any] struct {
	n      *Node
	kind   Kind
	name   string
	encode func(T) ([]byte, error)
	decode func([]byte) (T, error)

	mu sync.Mutex
	// revision is the last revision read from the store, with the number 0 if the object does not exist. stored
	// is the content of that revision. Both count only in the era of the revision, see knownLocked.
	revision era.Revision
	stored   T
	writing  bool
	// nextWriteAt is the earliest time of the next write.
	nextWriteAt time.Duration
}

// updateStored records the object as read from the store. isNewest is false if a newer revision is
// already known. A malformed object counts as empty.
func (s *sharedObject[T]) updateStored(o Object) (stored T, isNewest bool) {
	if !o.IsDeleted {
		var err error
		if stored, err = s.decode(o.Value); err != nil {
			s.n.Events.Log(event.EntryRejected, event.Field{Name: "error", Value: errors.Wrapf(err, "object %q", o.Name).Error()})
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.revision.IsAfter(o.Revision) {
		return stored, false
	}
	s.revision, s.stored = o.Revision, stored
	if o.IsDeleted {
		s.revision.Number = 0
	}
	return stored, true
}

// isOutdatedLocked reports whether the store has come back from a copy since it was known what it holds.
func (s *sharedObject[T]) isOutdatedLocked() bool { return s.revision.Era != s.n.storeEras.Present() }

// knownLocked returns what the store is known to hold in its present era.
func (s *sharedObject[T]) knownLocked() (revision era.Revision, stored T) {
	if s.isOutdatedLocked() {
		return revision, stored
	}
	return s.revision, s.stored
}

// setAbsent records that the store does not hold the object.
func (s *sharedObject[T]) setAbsent(e era.Era) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var none T
	s.revision, s.stored = era.Revision{Era: e}, none
}

// canWriteLocked reports whether the object may be written now.
func (s *sharedObject[T]) canWriteLocked() bool {
	return !s.writing && s.n.Clock.Now() >= s.nextWriteAt
}

// write writes the next content to the store. If the write fails because another node has written the
// object in the meantime, done receives that object as conflicting.
func (s *sharedObject[T]) write(next T, done func(conflicting *Object, err error)) {
	value, err := s.encode(next)
	if err != nil {
		s.handleWriteResult(next, Object{}, err, done)
		return
	}
	s.mu.Lock()
	revision, _ := s.knownLocked()
	s.mu.Unlock()
	s.n.Store.Put(s.kind, s.name, revision, value, func(o Object, err error) { s.handleWriteResult(next, o, err, done) })
}

func (s *sharedObject[T]) handleWriteResult(next T, o Object, err error, done func(conflicting *Object, err error)) {
	var conflicting *Object
	if errors.Is(err, store.ErrConflict) && o.Revision.Number > 0 {
		conflicting = &o
	}
	s.mu.Lock()
	s.writing = false
	switch {
	case err == nil && !s.revision.IsAfter(o.Revision):
		s.revision, s.stored = o.Revision, next
	case errors.Is(err, store.ErrNotFound):
		var none T
		s.revision, s.stored = era.Revision{Era: o.Revision.Era}, none
	case err != nil && conflicting == nil && !errors.Is(err, era.ErrOutdated):
		s.nextWriteAt = max(s.nextWriteAt, s.n.Clock.Now()+sharedWriteBackoff)
	}
	s.mu.Unlock()
	done(conflicting, err)
}
