package mesh

import (
	"time"

	"github.com/pkg/errors"

	"wagtailyoke/core/era"
	"wagtailyoke/core/event"
	"wagtailyoke/core/store"
)

// presentStore makes calls to the platform's store and observes the era of each answer. An answer of an earlier
// era than the present one fails with era.ErrOutdated: what it says is gone.
type presentStore struct {
	store ObjectStore
	eras  *era.Tracker
	// onNewEra is called before the first answer of a new era is passed on.
	onNewEra func(e era.Era)
}

// check returns the error of an answer.
func (s *presentStore) check(e era.Era, err error) error {
	switch s.eras.Observe(e) {
	case era.Newer:
		s.onNewEra(e)
	case era.Older:
		return errors.Wrapf(era.ErrOutdated, "era %d after %d", e, s.eras.Present())
	}
	return err
}

// List implements ObjectStore.
func (s *presentStore) List(kind Kind, consistency Consistency, done func([]Object, era.Revision, error)) {
	s.store.List(kind, consistency, func(objects []Object, revision era.Revision, err error) {
		done(objects, revision, s.check(revision.Era, err))
	})
}

// Get implements ObjectStore.
func (s *presentStore) Get(kind Kind, name string, consistency Consistency, done func(Object, error)) {
	s.store.Get(kind, name, consistency, func(o Object, err error) { done(o, s.check(o.Revision.Era, err)) })
}

// Watch implements ObjectStore. A revision of an earlier era has no changes after it: the store may hold the same
// number again, and would report only what follows.
func (s *presentStore) Watch(kind Kind, after era.Revision, wait time.Duration, done func([]Object, era.Revision, error)) {
	if after.Era != s.eras.Present() {
		done(nil, era.Revision{}, store.ErrCompacted)
		return
	}
	s.store.Watch(kind, after, wait, func(changes []Object, revision era.Revision, err error) {
		err = s.check(revision.Era, err)
		if err == nil && revision.Era != 0 && revision.Era != after.Era {
			err = store.ErrCompacted
		}
		done(changes, revision, err)
	})
}

// Put implements ObjectStore. It does not replace a revision of an earlier era: another object may have it now.
func (s *presentStore) Put(kind Kind, name string, revision era.Revision, value []byte, done func(Object, error)) {
	if present := s.eras.Present(); revision.Number > 0 && revision.Era != present {
		done(Object{Revision: era.Revision{Era: present}}, store.ErrNotFound)
		return
	}
	s.store.Put(kind, name, revision, value, func(o Object, err error) { done(o, s.check(o.Revision.Era, err)) })
}

// Delete implements ObjectStore. It does not delete a revision of an earlier era.
func (s *presentStore) Delete(kind Kind, name string, revision era.Revision, done func(era.Era, error)) {
	if present := s.eras.Present(); revision.Era != present {
		done(present, store.ErrConflict)
		return
	}
	s.store.Delete(kind, name, revision, func(e era.Era, err error) { done(e, s.check(e, err)) })
}

// eraSourcePlatform is the source of an era that the store has named, as shown in logs.
const eraSourcePlatform = "platform"

// observeEra observes the era that another node knows of.
func (n *Node) observeEra(e uint64, source string) {
	if n.storeEras.Observe(era.Era(e)) == era.Newer {
		n.handleNewEra(era.Era(e), source)
	}
}

// handleNewEra is called once for each return of the store from a copy. It tells the other nodes and writes again what
// the store may have lost.
func (n *Node) handleNewEra(e era.Era, source string) {
	n.Events.Log(event.StoreEraChanged, event.Field{Name: "era", Value: e}, event.Field{Name: "source", Value: source})
	n.exchangeSoon()
	n.graphStore.allowWrite()
	n.Clock.After(0, n.departures.tick)
	if n.view.IsRelay() {
		// Relays tell the nodes of their failure domain which entries are gone.
		n.Clock.After(0, n.relistEntries)
	}
	if n.view.IsStoreWatcher() {
		n.Clock.After(0, n.quarantineStore.persistAtOnce)
	}
}
