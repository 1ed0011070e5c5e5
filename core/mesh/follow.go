package mesh

import (
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"wagtailyoke/core/era"
	"wagtailyoke/core/event"
	"wagtailyoke/core/store"
	"wagtailyoke/core/timer"
)

// Kind is a kind of object in the platform's store.
type Kind uint8

// Kinds of objects.
const (
	// KindTable is the routing table, which operators write.
	KindTable Kind = iota
	// KindNode is the entries of the nodes and the objects that they share.
	KindNode
	// KindEvacuation is the evacuations, which operators write. An object is named after the failure
	// domain that it evacuates.
	KindEvacuation
	// KindDeparture is the departures of upstreams. An object is named after the node beside them.
	KindDeparture
	kindCount
)

// KindCount is the number of kinds.
const KindCount = int(kindCount)

var kindNames = [KindCount]string{"table", "nodes", "evacuations", "departures"}

// String returns the name used in logs.
func (k Kind) String() string { return kindNames[k] }

// Consistency is how recent the result of a list must be.
type Consistency uint8

// Consistency levels.
const (
	// ReadLatest reads the current objects.
	ReadLatest Consistency = iota
	// ReadStale reads objects that may be some seconds old, at a tenth of the cost.
	ReadStale
)

// Object is an object in the platform's store.
type Object struct {
	Name     string
	Revision era.Revision
	Value    []byte
	// IsDeleted marks a change that deleted the object.
	IsDeleted bool
}

// ObjectStore is the platform's object store. Each done is called once. Errors are those of
// core/store. All revisions in an answer name the store's era, also beside an error; it is 0 if the store names
// none or has not answered.
type ObjectStore interface {
	// List returns all objects of a kind and the store's revision.
	List(kind Kind, consistency Consistency, done func(objects []Object, revision era.Revision, err error))
	// Get returns an object.
	Get(kind Kind, name string, consistency Consistency, done func(Object, error))
	// Watch returns the changes after a revision, or no changes when the wait ends.
	Watch(kind Kind, after era.Revision, wait time.Duration, done func(changes []Object, revision era.Revision, err error))
	// Put creates an object (revision number 0) or replaces the given revision of it.
	Put(kind Kind, name string, revision era.Revision, value []byte, done func(Object, error))
	// Delete deletes the object if it still has the given revision.
	Delete(kind Kind, name string, revision era.Revision, done func(era.Era, error))
}

// Timing of a follower.
const (
	// maxTableWatchTimeout is how long the store holds a watch without a change. The store can lose
	// a watch silently, which shows only when the timeout has passed.
	maxTableWatchTimeout = 800 * time.Millisecond
	// minTableWatchTimeout is the shortest such timeout.
	minTableWatchTimeout = 200 * time.Millisecond
	// recoveryWatchTimeout is that of the first watch after a failed call. The store may have come back from a
	// copy, which its answer shows.
	recoveryWatchTimeout = 50 * time.Millisecond
	// entryWatchTimeout is the timeout for the entries of nodes. It can be longer because a node
	// that is not listed yet contacts the relays itself.
	entryWatchTimeout = 8 * time.Second
	// entryChangePause is the delay between a change of an entry and the next watch. When many
	// nodes start, one answer then returns their entries together.
	entryChangePause = time.Second
	// idleCheckInterval is how often an idle follower checks whether it is needed.
	idleCheckInterval = 100 * time.Millisecond
	// tableStaleAfter is the age from which a node no longer relies on others for its routing
	// table. The confirmation by a relay is at most one watch timeout and one exchange old.
	tableStaleAfter = 1500 * time.Millisecond
	// minFollowBackoff and maxFollowBackoff bound the delay after a failed call. The delay is
	// randomized because all nodes retry together after an outage.
	minFollowBackoff = 100 * time.Millisecond
	maxFollowBackoff = 700 * time.Millisecond
	// maxRelayedFollowBackoff is the maximum for a node with a reachable relay, which tells it when
	// the store is back. This keeps all nodes from calling the store during an outage.
	maxRelayedFollowBackoff = 4 * time.Second
	// maxIsolatedFollowBackoff is the maximum for a node that reaches no other node. It is isolated
	// itself, and the first relay that it reaches again sends it what it missed.
	maxIsolatedFollowBackoff = 2 * time.Second
)

// follower tracks the objects of a kind in the store. Only two relays do this all the time and pass
// the changes on to the other nodes. Any other node does it while no such relay is reachable.
type follower struct {
	n    *Node
	kind Kind
	// onList receives all objects, onChanges those that have changed. onConfirm is called when there are no
	// further changes. onFirstResult is called once, when the first list has succeeded or failed, if
	// it is set.
	onList        func([]Object, Consistency)
	onChanges     func([]Object)
	onConfirm     func()
	onFirstResult func()
	// onRecovered is called when the store answers again, if set.
	onRecovered func()
	isNeeded    func() bool
	// watchTimeout returns how long the store holds a watch. changePause is the delay after a watch
	// that returned changes.
	watchTimeout func() time.Duration
	changePause  time.Duration
	// consistency is that of the first list.
	consistency Consistency

	// relistsAfterFailure makes the follower list the objects after a failed call, because a watch that
	// fails may have missed changes for longer than they may take. mustRelist means that it has to.
	relistsAfterFailure, mustRelist bool

	hasListed bool
	revision  era.Revision
	failures  atomic.Int32
}

// step makes the next call to the store, or waits until one is needed.
func (f *follower) step() {
	if f.n.isEnded() {
		return
	}
	if f.hasListed && !f.isNeeded() {
		f.n.Clock.After(idleCheckInterval, f.step)
		return
	}
	if !f.hasListed || f.mustRelist {
		f.list()
		return
	}
	f.watch()
}

func (f *follower) list() {
	f.n.Store.List(f.kind, f.consistency, func(objects []Object, revision era.Revision, err error) {
		if err != nil {
			f.reportFirstResult()
			f.scheduleRetry(err)
			return
		}
		f.recordSuccess()
		f.hasListed, f.mustRelist = true, false
		f.revision = revision
		f.onList(objects, f.consistency)
		f.onConfirm()
		f.reportFirstResult()
		// Whether this node watches the store depends on objects of other kinds.
		f.n.Clock.After(idleCheckInterval, f.step)
	})
}

func (f *follower) reportFirstResult() {
	if f.onFirstResult != nil {
		f.onFirstResult()
		f.onFirstResult = nil
	}
}

func (f *follower) watch() {
	timeout := f.watchTimeout()
	if f.failures.Load() > 0 {
		timeout = min(timeout, recoveryWatchTimeout)
	}
	f.n.Store.Watch(f.kind, f.revision, timeout, func(changes []Object, revision era.Revision, err error) {
		if errors.Is(err, store.ErrCompacted) {
			// A stale list could be older than the store's history.
			f.hasListed, f.consistency = false, ReadLatest
			f.step()
			return
		}
		if err != nil {
			f.scheduleRetry(err)
			return
		}
		f.recordSuccess()
		if revision.IsAfter(f.revision) {
			f.revision = revision
		}
		if len(changes) > 0 {
			f.onChanges(changes)
		}
		f.onConfirm()
		if len(changes) > 0 && f.changePause > 0 {
			f.n.Clock.After(f.changePause, f.step)
			return
		}
		f.step()
	})
}

func (f *follower) recordSuccess() {
	if failures := f.failures.Swap(0); failures > 0 {
		f.n.Events.Log(event.PlatformRestored, event.Field{Name: "kind", Value: f.kind.String()}, event.Field{Name: "failures", Value: failures})
		if f.onRecovered != nil {
			f.onRecovered()
		}
	}
}

func (f *follower) scheduleRetry(err error) {
	if errors.Is(err, era.ErrOutdated) {
		// A stale read may show an earlier era for some seconds.
		f.consistency = ReadLatest
	}
	if f.relistsAfterFailure {
		f.mustRelist, f.consistency = true, ReadLatest
	}
	failures := f.failures.Add(1)
	if failures == 1 {
		f.n.Events.Log(event.PlatformLost, event.Field{Name: "kind", Value: f.kind.String()}, event.Field{Name: "error", Value: err.Error()})
	}
	maxBackoff := maxFollowBackoff
	switch view := f.n.view; {
	case !view.IsStoreWatcher() && view.HasReachableRelay():
		maxBackoff = maxRelayedFollowBackoff
	case view.IsIsolated():
		maxBackoff = maxIsolatedFollowBackoff
	}
	backoff := min(minFollowBackoff<<min(failures-1, 6), maxBackoff)
	f.n.Clock.After(backoff/2+time.Duration(f.n.randomFloat()*float64(backoff)/2), f.step)
}

// newTableFollower returns the follower that installs the newest routing table of the store.
func (n *Node) newTableFollower() *follower {
	install := func(objects []Object) {
		for _, o := range objects {
			if !o.IsDeleted && o.Name == tableObjectName {
				n.installTable(o.Value, "platform")
			}
		}
	}
	f := &follower{n: n, kind: KindTable, watchTimeout: n.tableWatchTimeout, onChanges: install, isNeeded: n.watchesTable}
	f.onList = func(objects []Object, _ Consistency) { install(objects) }
	f.onConfirm = func() { n.confirmTable(0) }
	f.onRecovered = n.relistEntries
	return f
}

// tableWatchTimeout returns a watch timeout that confirms the table as the newest again before other
// nodes consider it stale.
func (n *Node) tableWatchTimeout() time.Duration {
	return min(max(maxTableWatchTimeout-n.tableAge(), minTableWatchTimeout), maxTableWatchTimeout)
}

// tableObjectName is the name of the object that holds the routing table.
const tableObjectName = "main"

// tableAge returns the time since the routing table was last confirmed to be the newest.
func (n *Node) tableAge() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.hasConfirmedTable {
		return unknownTableAge
	}
	return n.Clock.Now() - n.tableConfirmedAt
}

// unknownTableAge is the age of a routing table that was never confirmed to be the newest.
const unknownTableAge = time.Hour

// confirmTable records that the routing table was confirmed to be the newest the given time ago.
func (n *Node) confirmTable(age time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if confirmedAt := n.Clock.Now() - age; !n.hasConfirmedTable || confirmedAt > n.tableConfirmedAt {
		n.hasConfirmedTable, n.tableConfirmedAt = true, confirmedAt
	}
}

// followNodes starts to track the entries of the nodes in the store.
func (n *Node) followNodes() {
	a := n.announcer
	isEmpty := false
	f := &follower{
		n: n, kind: KindNode, watchTimeout: func() time.Duration { return entryWatchTimeout }, changePause: entryChangePause, consistency: ReadStale,
		onChanges: a.handleChanges, onConfirm: func() {}, isNeeded: n.watchesEntries,
	}
	f.onList = func(objects []Object, consistency Consistency) {
		isEmpty = len(objects) == 0
		a.handleList(objects, consistency)
	}
	f.onFirstResult = func() { n.departures.handleFirstList(isEmpty) }
	f.step()
	n.stopTimers = append(n.stopTimers, timer.Every(n.Clock, entryWatchTimeout, n.pollEntries))
}

// watchesTable reports whether this node watches the routing table in the store. A node that has not
// read the entries of the other nodes yet would wrongly consider itself a relay.
func (n *Node) watchesTable() bool {
	return n.announcer.hasReadEntries() && n.view.IsStoreWatcher() || n.tableAge() > tableStaleAfter
}

// watchesEntries reports whether this node watches the entries in the store. They are less urgent than
// the routing table: a node with a reachable relay leaves them to it.
func (n *Node) watchesEntries() bool {
	return n.watchesTable() && (n.view.IsStoreWatcher() || !n.view.HasReachableRelay())
}

// pollEntries reads the entries at a relay that does not watch them, to find nodes of its failure
// domain that are not listed.
func (n *Node) pollEntries() {
	if !n.view.IsRelay() || n.watchesEntries() {
		return
	}
	n.Store.List(KindNode, ReadStale, func(objects []Object, _ era.Revision, err error) {
		if err == nil {
			n.announcer.handleList(objects, ReadStale)
		}
	})
}

// relistEntries reads the entries again after an outage: a watch started before it may return nothing
// for some time, and entries may be lost.
func (n *Node) relistEntries() {
	n.Store.List(KindNode, ReadLatest, func(objects []Object, _ era.Revision, err error) {
		if err == nil {
			n.announcer.handleList(objects, ReadLatest)
		}
	})
}

func (n *Node) isEnded() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hasEnded
}
