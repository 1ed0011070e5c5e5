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
	// revision is the last revision read from the store, 0 if the object does not exist. stored is
	// the content of that revision.
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
	if o.Revision.Number < s.revision.Number {
		return stored, false
	}
	s.revision, s.stored = o.Revision, stored
	if o.IsDeleted {
		s.revision = era.Revision{}
	}
	return stored, true
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
	revision := s.revision
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
	case err == nil && o.Revision.Number >= s.revision.Number:
		s.revision, s.stored = o.Revision, next
	case errors.Is(err, store.ErrNotFound):
		s.revision = era.Revision{}
	case err != nil && conflicting == nil:
		s.nextWriteAt = max(s.nextWriteAt, s.n.Clock.Now()+sharedWriteBackoff)
	}
	s.mu.Unlock()
	done(conflicting, err)
}
