package mesh

import (
	"time"

	"github.com/pkg/errors"

	"wagtailyoke/core/event"
	"wagtailyoke/core/store"
	"wagtailyoke/core/timer"
)

// Kind is a kind of objects in the platform's store.
type Kind uint8

// Kinds of objects.
const (
	// KindTable holds the routing table, which operators write.
	KindTable Kind = iota
	// KindNode holds the entries of the nodes.
	KindNode
)

// String returns the name that logs show.
func (k Kind) String() string {
	if k == KindTable {
		return "table"
	}
	return "nodes"
}

// Consistency says how new a list must be.
type Consistency uint8

// Readings.
const (
	// ReadLatest reads the objects as they are.
	ReadLatest Consistency = iota
	// ReadStale reads objects as they were up to some seconds ago, for a tenth of the price.
	ReadStale
)

// Object is an object of the platform's store.
type Object struct {
	Name     string
	Revision uint64
	Value    []byte
	// IsDeleted is set in a change that deleted the object.
	IsDeleted bool
}

// ObjectStore is the platform's store. Each done is called once. Errors are those of
// core/store.
type ObjectStore interface {
	// List returns all objects of a kind, with the store's revision.
	List(kind Kind, reading Consistency, done func(objects []Object, revision uint64, err error))
	// Watch returns the changes after a revision, or none when the wait ends.
	Watch(kind Kind, after uint64, wait time.Duration, done func(changes []Object, revision uint64, err error))
	// Put creates an object (revision 0) or replaces the one of a revision.
	Put(kind Kind, name string, revision uint64, value []byte, done func(Object, error))
	// Delete deletes the object of a revision.
	Delete(kind Kind, name string, revision uint64, done func(error))
}

// Timing of a follower.
const (
	// watchWait is how long the store holds a watch without a change. The store can
	// lose a watch without a sign, which shows only when the wait is over.
	watchWait = 800 * time.Millisecond
	// leastWatchWait is the shortest wait.
	leastWatchWait = 200 * time.Millisecond
	// entryWait is the same for the entries of nodes: a node that is not yet listed
	// tells the relays itself.
	entryWait = 8 * time.Second
	// entryPause is the time between a change of an entry and the next watch: when many nodes
	// start, their entries come with one answer.
	entryPause = time.Second
	// idleCheck is how often a follower that is not needed looks whether it is.
	idleCheck = 100 * time.Millisecond
	// staleAfter is the age from which a node no longer relies on others for its
	// routing table: what a relay tells is at most a wait and an exchange old.
	staleAfter = 1500 * time.Millisecond
	// leastFollowRetry and mostFollowRetry bound the wait after a failed call. All
	// nodes start again together after an outage, so the wait is spread.
	leastFollowRetry = 100 * time.Millisecond
	mostFollowRetry  = 700 * time.Millisecond
	// mostPatientRetry is the same for a node that hears a relay, which tells when the store
	// is back: an outage must not cost the calls of all nodes.
	mostPatientRetry = 4 * time.Second
	// mostAloneRetry is the same for a node that hears nobody: it is cut off itself, and the
	// first relay that it hears again tells it what it missed.
	mostAloneRetry = 2 * time.Second
)

// follower keeps up with the objects of a kind. Only two relays follow all the time: they
// tell the others. Any other node does so when it does not hear of one that does.
type follower struct {
	n    *Node
	kind Kind
	// listed takes in all objects, changed one change, confirmed that there are no others.
	listed    func([]Object, Consistency)
	changed   func(Object)
	confirmed func()
	// isBack is called when the store answers again, if set.
	isBack   func()
	isNeeded func() bool
	// wait is how long the store holds a watch, pause the time after one that told changes.
	wait  func() time.Duration
	pause time.Duration
	// reading is for the first list.
	reading Consistency

	hasListed bool
	revision  uint64
	failures  int
}

// step makes the next call, or waits until one is needed.
func (f *follower) step() {
	if f.n.isOver() {
		return
	}
	if f.hasListed && !f.isNeeded() {
		f.n.Clock.After(idleCheck, f.step)
		return
	}
	if !f.hasListed {
		f.list()
		return
	}
	f.watch()
}

func (f *follower) list() {
	f.n.Store.List(f.kind, f.reading, func(objects []Object, revision uint64, err error) {
		if err != nil {
			f.retry(err)
			return
		}
		f.succeeded()
		f.hasListed = true
		f.revision = revision
		f.listed(objects, f.reading)
		f.confirmed()
		// Whether this node follows the store depends on what other kinds of objects tell.
		f.n.Clock.After(idleCheck, f.step)
	})
}

func (f *follower) watch() {
	f.n.Store.Watch(f.kind, f.revision, f.wait(), func(changes []Object, revision uint64, err error) {
		if errors.Is(err, store.ErrCompacted) {
			// A cheap list could be older than the history.
			f.hasListed, f.reading = false, ReadLatest
			f.step()
			return
		}
		if err != nil {
			f.retry(err)
			return
		}
		f.succeeded()
		f.revision = max(f.revision, revision)
		for _, o := range changes {
			f.changed(o)
		}
		f.confirmed()
		if len(changes) > 0 && f.pause > 0 {
			f.n.Clock.After(f.pause, f.step)
			return
		}
		f.step()
	})
}

func (f *follower) succeeded() {
	if f.failures > 0 {
		f.n.Events.Log(event.PlatformBack, event.Field{Name: "kind", Value: f.kind.String()}, event.Field{Name: "failures", Value: f.failures})
		f.failures = 0
		if f.isBack != nil {
			f.isBack()
		}
	}
}

func (f *follower) retry(err error) {
	if f.failures == 0 {
		f.n.Events.Log(event.PlatformLost, event.Field{Name: "kind", Value: f.kind.String()}, event.Field{Name: "error", Value: err.Error()})
	}
	f.failures++
	most := mostFollowRetry
	switch view := f.n.view; {
	case !view.IsStoreWatcher() && view.HasReachableRelay():
		most = mostPatientRetry
	case view.IsIsolated():
		most = mostAloneRetry
	}
	wait := min(leastFollowRetry<<min(f.failures-1, 6), most)
	f.n.Clock.After(wait/2+time.Duration(f.n.draw()*float64(wait)/2), f.step)
}

// followTables keeps the newest routing table in force.
func (n *Node) followTables() {
	take := func(o Object) {
		if !o.IsDeleted && o.Name == tableName {
			n.install(o.Value, "platform")
		}
	}
	f := &follower{n: n, kind: KindTable, wait: n.tableWait, changed: take, isNeeded: n.followsStore}
	f.listed = func(objects []Object, _ Consistency) {
		for _, o := range objects {
			take(o)
		}
	}
	f.confirmed = func() { n.confirmTable(0) }
	f.isBack = n.relistNodes
	f.step()
}

// tableWait is how long a watch waits so that the table is known to be the newest again by the time
// that others have learned to expect.
func (n *Node) tableWait() time.Duration {
	return min(max(watchWait-n.tableAge(), leastWatchWait), watchWait)
}

// tableName is the name of the object that holds the routing table.
const tableName = "main"

// tableAge is how long ago the routing table was known to be the newest.
func (n *Node) tableAge() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.hasSeenTable {
		return unknownAge
	}
	return n.Clock.Now() - n.tableSeen
}

// unknownAge stands for the age of a routing table that was never known to be the newest.
const unknownAge = time.Hour

// confirmTable notes that the routing table was known to be the newest some time ago.
func (n *Node) confirmTable(age time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if seen := n.Clock.Now() - age; !n.hasSeenTable || seen > n.tableSeen {
		n.hasSeenTable, n.tableSeen = true, seen
	}
}

// followNodes keeps up with the entries of the nodes.
func (n *Node) followNodes() {
	a := &announcer{n: n}
	n.entry = a
	f := &follower{
		n: n, kind: KindNode, wait: func() time.Duration { return entryWait }, pause: entryPause, reading: ReadStale,
		listed: a.listed, changed: a.changed, confirmed: func() {}, isNeeded: n.followsEntries,
	}
	f.step()
	n.stops = append(n.stops, timer.Every(n.Clock, entryWait, n.checkEntries))
}

// followsStore reports whether this node keeps up with the store itself. One that has not read yet
// who else there is would take itself for a relay.
func (n *Node) followsStore() bool {
	return n.entry.hasRead() && n.view.IsStoreWatcher() || n.tableAge() > staleAfter
}

// followsEntries is the same for the entries, which nothing depends on as soon as on the table: a node
// that hears a relay leaves them to it.
func (n *Node) followsEntries() bool {
	return n.followsStore() && (n.view.IsStoreWatcher() || !n.view.HasReachableRelay())
}

// checkEntries reads the entries at a relay that does not follow them, to find nodes of its failure
// domain that are not listed.
func (n *Node) checkEntries() {
	if !n.view.IsRelay() || n.followsEntries() {
		return
	}
	n.Store.List(KindNode, ReadStale, func(objects []Object, _ uint64, err error) {
		if err == nil {
			n.entry.listed(objects, ReadStale)
		}
	})
}

// relistNodes reads the entries anew after an outage: a watch from before it may tell
// nothing for a while yet, and entries may be gone.
func (n *Node) relistNodes() {
	n.Store.List(KindNode, ReadLatest, func(objects []Object, _ uint64, err error) {
		if err == nil {
			n.entry.listed(objects, ReadLatest)
		}
	})
}

func (n *Node) isOver() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isEnded
}
