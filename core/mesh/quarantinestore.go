package mesh

import (
	"time"

	"wagtailyoke/core/event"
	"wagtailyoke/core/once"
)

// quarantineObjectName is the name of the object that holds the requests that ended upstreams.
const quarantineObjectName = "quarantine"

// relayWriteDelay is how long relays wait for the node whose upstream ended to write the object.
const relayWriteDelay = time.Second

// quarantineStore persists the requests that ended upstreams in the platform's store. This lets the
// information survive a restart of all nodes, and reach nodes that cannot reach each other.
type quarantineStore struct {
	sharedObject[[]once.StoredEntry]

	// loggedBans holds the bans in force that were logged.
	loggedBans map[uint64]bool
	// missingSince is when information was first found to be missing in the store, 0 if none is.
	missingSince time.Duration
	// mustWriteAtOnce means that nobody else may write what is missing: the upstream of this node has ended since
	// the store was last complete, or the store has come back from a copy and this node watches it.
	mustWriteAtOnce bool
}

func newQuarantineStore(n *Node) *quarantineStore {
	return &quarantineStore{
		sharedObject: sharedObject[[]once.StoredEntry]{n: n, kind: KindNode, name: quarantineObjectName, encode: once.EncodeEntries, decode: once.DecodeEntries},
		loggedBans:   map[uint64]bool{},
	}
}

// handleObject processes the object as read from the store. A malformed object is written again.
func (s *quarantineStore) handleObject(o Object) {
	stored, isNewest := s.updateStored(o)
	if !isNewest {
		return
	}
	if s.n.quarantine.Restore(stored, s.n.Clock.Wall()) {
		s.n.logNewBans(banSourceStore)
		s.n.exchangeSoon()
	}
}

// persistAtOnce writes the object if it lacks something, without waiting for another node to do so.
func (s *quarantineStore) persistAtOnce() {
	s.mu.Lock()
	s.mustWriteAtOnce = true
	s.mu.Unlock()
	s.persistIfMissing()
}

// persistIfMissing writes the object if it lacks something. The node whose upstream ended writes it
// immediately, and the store watchers in a new era of the store; the relays do if these have not.
func (s *quarantineStore) persistIfMissing() {
	now := s.n.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, stored := s.knownLocked(); s.n.quarantine.IsUpToDate(stored, s.n.Clock.Wall()) {
		s.missingSince, s.mustWriteAtOnce = 0, false
		return
	}
	if s.missingSince == 0 {
		s.missingSince = now
	}
	mayWrite := s.mustWriteAtOnce || s.n.view.IsRelay() && now-s.missingSince >= relayWriteDelay
	if !mayWrite || !s.canWriteLocked() {
		return
	}
	s.writing = true
	s.n.Clock.After(0, func() { s.write(s.n.quarantine.Snapshot(s.n.Clock.Wall()), s.afterWrite) })
}

func (s *quarantineStore) afterWrite(conflicting *Object, err error) {
	switch {
	case conflicting != nil:
		// Another node has written in the meantime: merge its content and try again.
		s.handleObject(*conflicting)
		s.persistIfMissing()
	case err != nil:
		s.n.Events.Log(event.QuarantineNotStored, event.Field{Name: "error", Value: err.Error()})
	}
}

// logNewBans logs the requests that are banned from now on.
func (n *Node) logNewBans(source string) {
	var newBans []uint64
	banned := map[uint64]bool{}
	store := n.quarantineStore
	store.mu.Lock()
	for _, fingerprint := range n.quarantine.Banned() {
		banned[fingerprint] = true
		if !store.loggedBans[fingerprint] {
			newBans = append(newBans, fingerprint)
		}
	}
	store.loggedBans = banned
	store.mu.Unlock()
	if len(newBans) == 0 {
		return
	}
	n.Events.Log(event.RequestsBanned, event.Field{Name: "requests", Value: len(newBans)},
		event.Field{Name: "fingerprints", Value: formatFingerprints(newBans)}, event.Field{Name: "source", Value: source})
}
