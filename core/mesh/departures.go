package mesh

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"wagtailyoke/core/depart"
	"wagtailyoke/core/era"
	"wagtailyoke/core/event"
	"wagtailyoke/core/store"
	"wagtailyoke/core/timer"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

const (
	// departureReadInterval is the time between attempts to read the departures after a start.
	departureReadInterval = 300 * time.Millisecond
	// latestReadDelay is how long a node that has started waits for a node that knows the departures. If it
	// finds none, it reads the current object: a stale read may lack what was written last.
	latestReadDelay = 350 * time.Millisecond
	// storeReadWait is how long such a node waits for the store if another node knows the departures.
	storeReadWait = 600 * time.Millisecond
	// informTimeout is how long a node that has its first routing table waits for what others know of its
	// upstream. A node that can ask nobody serves after that.
	informTimeout = 2 * time.Second
	// departureSweepInterval is how often the store writer deletes expired departures.
	departureSweepInterval = depart.TTL / 2
)

// departureKeeper makes the departures that this node has acknowledged outlive its process. They are kept in
// the platform's store and by the other nodes. A node that has started does not use its upstream until it has
// learned from them whether that upstream has left.
type departureKeeper struct {
	sharedObject[[]depart.Stored]
	set *depart.Set

	stateMu sync.Mutex
	// hasRead means that the stored departures were read since the start, hasReadLatest that this was no
	// stale read, hasFailedRead that an attempt has failed.
	hasRead, hasReadLatest, hasFailedRead bool
	// hasExchanged means that another node was heard since the start, hasAskedInformed that one was that
	// knew the departures from before.
	hasExchanged, hasAskedInformed bool
	// informed means that this node knows the departures from before its start, hasSettled that it uses its
	// upstream, perhaps without.
	informed, hasSettled bool
	// hasTable means that the node has a routing table, since tableAt.
	hasTable bool
	tableAt  time.Duration
	// holders holds the version of the set up to which other nodes know it.
	holders map[world.NodeID]uint64
	waiters map[*departureWaiter]bool

	restorer departureRestorer
}

func newDepartureKeeper(n *Node) *departureKeeper {
	return &departureKeeper{
		sharedObject: sharedObject[[]depart.Stored]{n: n, kind: KindDeparture, name: string(n.Info.Name), encode: depart.Encode, decode: depart.Decode},
		set:          depart.NewSet(n.Clock),
		holders:      map[world.NodeID]uint64{},
		waiters:      map[*departureWaiter]bool{},
	}
}

func processOf(r *wire.FleetRecord) depart.Process {
	return depart.Process{
		Node: world.NodeID(r.GetNode()), Instance: world.InstanceID(r.GetUpstream().GetInstance()), StartedUnixMs: r.GetUpstream().GetBornUnixMs(),
	}
}

func (k *departureKeeper) ownProcess(instance world.InstanceID, startedUnixMs int64) depart.Process {
	return depart.Process{Node: k.n.Info.Name, Instance: instance, StartedUnixMs: startedUnixMs}
}

// hasOwn reports whether a process of this node's upstream has left.
func (k *departureKeeper) hasOwn(instance world.InstanceID, startedUnixMs int64) bool {
	return k.set.Has(k.ownProcess(instance, startedUnixMs))
}

func (k *departureKeeper) start() {
	k.n.stopTimers = append(k.n.stopTimers, timer.Every(k.n.Clock, departureSweepInterval, k.sweep))
}

// handleFirstList begins to read the stored departures after the first attempt to list the entries of the
// nodes. There are none if isFirstStart is set: the list was empty, so the deployment starts for the first
// time.
func (k *departureKeeper) handleFirstList(isFirstStart bool) {
	if !isFirstStart {
		k.read(ReadStale)
		k.n.Clock.After(latestReadDelay, func() { k.read(ReadLatest) })
		return
	}
	k.stateMu.Lock()
	k.hasRead, k.hasReadLatest = true, true
	k.stateMu.Unlock()
	k.updateInformed()
}

// read reads the stored departures unless the node knows them.
func (k *departureKeeper) read(consistency Consistency) {
	if k.n.isEnded() || k.isInformed() {
		return
	}
	k.n.Store.Get(KindDeparture, k.name, consistency, func(o Object, err error) {
		isRead := err == nil || errors.Is(err, store.ErrNotFound)
		if err == nil {
			k.handleObject(o)
		} else if isRead && consistency == ReadLatest {
			k.setAbsent(o.Revision.Era)
		}
		k.stateMu.Lock()
		k.hasRead, k.hasFailedRead = k.hasRead || isRead, k.hasFailedRead || !isRead
		k.hasReadLatest = k.hasReadLatest || isRead && consistency == ReadLatest
		k.stateMu.Unlock()
		if !isRead && consistency == ReadLatest {
			k.n.Clock.After(departureReadInterval, func() { k.read(ReadLatest) })
		}
		k.updateInformed()
	})
}

func (k *departureKeeper) handleObject(o Object) {
	stored, isNewest := k.updateStored(o)
	if isNewest && k.set.Restore(k.n.Info.Name, stored, k.n.Clock.Wall()) {
		k.n.applyDepartures()
	}
}

// isInformed reports whether this node knows the departures from before its start.
func (k *departureKeeper) isInformed() bool {
	k.stateMu.Lock()
	defer k.stateMu.Unlock()
	return k.informed
}

// handleExchange records that another node was heard, with all departures that it knows.
func (k *departureKeeper) handleExchange(isInformed bool) {
	k.stateMu.Lock()
	k.hasExchanged = true
	k.hasAskedInformed = k.hasAskedInformed || isInformed
	isPending := !k.informed
	k.stateMu.Unlock()
	if isPending {
		k.updateInformed()
	}
}

// updateInformed lets the node use its upstream once it has learned what is known of it. The store may lack
// a departure that was acknowledged while it was away, and the other nodes one from before their start, so
// both are asked.
func (k *departureKeeper) updateInformed() {
	isAlone := k.n.announcer.hasReadEntries() && len(k.n.view.Nodes()) == 1
	hasTable := k.n.table.Load() != nil
	k.stateMu.Lock()
	if hasTable && !k.hasTable {
		k.hasTable, k.tableAt = true, k.n.Clock.Now()
	}
	elapsed := time.Duration(0)
	if k.hasTable {
		elapsed = k.n.Clock.Now() - k.tableAt
	}
	hasTimedOut, isStoreAway := elapsed >= informTimeout, k.hasFailedRead || elapsed >= storeReadWait
	isComplete := k.hasReadLatest && (k.hasExchanged || isAlone) || (k.hasRead || isStoreAway) && k.hasAskedInformed
	k.informed = k.informed || isComplete
	if k.hasSettled || !isComplete && !hasTimedOut {
		k.stateMu.Unlock()
		return
	}
	k.hasSettled = true
	k.stateMu.Unlock()
	if !isComplete {
		k.n.Events.Log(event.DeparturesUnread)
	}
	if k.n.upstreamTracker.settle() {
		k.n.refreshOwnRecord()
		k.n.exchangeSoon()
	}
}

// tick writes departures that the store lacks.
func (k *departureKeeper) tick() {
	k.updateInformed()
	k.persistIfMissing()
	k.restoreLost()
}

// persistIfMissing writes the own departures if the store lacks one. What it holds is read first if it has come back
// from a copy: most departures are older than that.
func (k *departureKeeper) persistIfMissing() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, stored := k.knownLocked(); k.set.HasAll(k.n.Info.Name, stored, k.n.Clock.Wall()) || !k.canWriteLocked() {
		return
	}
	k.writing = true
	if k.isOutdatedLocked() {
		k.n.Clock.After(0, k.readAgain)
		return
	}
	k.n.Clock.After(0, func() { k.write(k.set.Snapshot(k.n.Info.Name, k.n.Clock.Wall()), k.afterWrite) })
}

// readAgain reads the own object in the store's present era.
func (k *departureKeeper) readAgain() {
	k.n.Store.Get(KindDeparture, k.name, ReadLatest, func(o Object, err error) {
		isAbsent := errors.Is(err, store.ErrNotFound)
		switch {
		case isAbsent:
			k.setAbsent(o.Revision.Era)
		case err == nil:
			k.handleObject(o)
		}
		k.mu.Lock()
		k.writing = false
		if err != nil && !isAbsent && !errors.Is(err, era.ErrOutdated) {
			k.nextWriteAt = k.n.Clock.Now() + sharedWriteBackoff
		}
		k.mu.Unlock()
		if err != nil && !isAbsent {
			k.handleWriteFailure(err)
			return
		}
		k.persistIfMissing()
		k.updateWaiters()
	})
}

// handleWriteFailure lets departures be acknowledged that nodes hold alone.
func (k *departureKeeper) handleWriteFailure(err error) {
	k.n.Events.Log(event.DepartureNotStored, event.Field{Name: "error", Value: err.Error()})
	k.changeWaiters(func() {
		for w := range k.waiters {
			w.nodesSuffice = true
		}
	})
}

func (k *departureKeeper) afterWrite(conflicting *Object, err error) {
	switch {
	case conflicting != nil:
		// An earlier process, or an earlier write whose answer was lost.
		k.handleObject(*conflicting)
		k.persistIfMissing()
	case errors.Is(err, store.ErrNotFound):
		k.persistIfMissing()
	case err != nil:
		k.handleWriteFailure(err)
	default:
		k.updateWaiters()
	}
}

// add records that a process of this node's upstream leaves.
func (k *departureKeeper) add(instance world.InstanceID, startedUnixMs int64) {
	k.set.Add(k.ownProcess(instance, startedUnixMs))
	k.persistIfMissing()
}

// HandleDepartures records departures that another node passes on.
func (n *Node) HandleDepartures(notice *wire.DepartureNotice) {
	n.mergeDepartures(notice.GetDepartures())
}

// mergeDepartures merges another node's departures. A relay passes them on.
func (n *Node) mergeDepartures(list []*wire.Departure) {
	if len(list) == 0 || !n.departures.set.Merge(list) {
		return
	}
	n.applyDepartures()
	if n.view.IsRelay() {
		n.exchangeSoon()
	}
}

// applyDepartures makes the node and its upstream follow departures that it has learned.
func (n *Node) applyDepartures() {
	if instance, isGone := n.upstreamTracker.endIfLeft(); isGone {
		n.handleUpstreamLeaving(instance)
	}
	n.Clock.After(0, n.applyRecords)
}

// sweep deletes the stored departures that have expired, of nodes that may be gone.
func (k *departureKeeper) sweep() {
	if !k.n.view.IsStoreWriter() {
		return
	}
	k.n.Store.List(KindDeparture, ReadStale, func(objects []Object, _ era.Revision, err error) {
		if err != nil {
			return
		}
		for _, o := range objects {
			if stored, err := k.decode(o.Value); err == nil && depart.AreExpired(stored, k.n.Clock.Wall()) {
				k.n.Store.Delete(KindDeparture, o.Name, o.Revision, func(era.Era, error) {})
			}
		}
	})
}
