package mesh

import (
	"sync"
	"time"

	"wagtailyoke/core/depart"
	"wagtailyoke/core/era"
	"wagtailyoke/core/event"
	"wagtailyoke/core/world"
)

const (
	// restoreInterval is the time between passes over the stored departures.
	restoreInterval = time.Second
	// requiredCleanPasses is the number of passes in a row that must find nothing missing. Departures that were
	// acknowledged shortly before the store went away may not have reached this node at the first one.
	requiredCleanPasses = 2
)

// departureRestorer writes departures again that the store has lost in coming back from a copy. Each node does so for
// its own upstream. The store watchers do it for all nodes: one may be down or cut off, and a kill of all processes
// would end those that still know its departures.
type departureRestorer struct {
	mu sync.Mutex
	// era is that of the passes so far, cleanPasses the number of the last ones that found nothing missing.
	era         era.Era
	cleanPasses int
	nextPassAt  time.Duration
	isRunning   bool
}

// begin reports whether a pass is due, and begins it.
func (r *departureRestorer) begin(present era.Era, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.era != present {
		r.era, r.cleanPasses, r.nextPassAt = present, 0, now
	}
	if r.isRunning || r.cleanPasses >= requiredCleanPasses || now < r.nextPassAt {
		return false
	}
	r.isRunning = true
	return true
}

func (r *departureRestorer) end(e era.Era, isClean bool, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isRunning, r.nextPassAt = false, now+restoreInterval
	switch {
	case !isClean:
		r.cleanPasses = 0
	case e == r.era:
		r.cleanPasses++
	}
}

// restoreLost starts a pass over the stored departures if this node watches the store, the store answers and a pass is
// due.
func (k *departureKeeper) restoreLost() {
	present := k.n.storeEras.Present()
	if present == 0 || !k.n.announcer.hasReadEntries() || !k.n.view.IsStoreWatcher() || k.n.tableFollower.failures.Load() > 0 {
		return
	}
	if !k.restorer.begin(present, k.n.Clock.Now()) {
		return
	}
	k.n.Store.List(KindDeparture, ReadLatest, func(objects []Object, revision era.Revision, err error) {
		if err != nil {
			k.restorer.end(revision.Era, false, k.n.Clock.Now())
			return
		}
		stored := map[world.NodeID]Object{}
		for _, o := range objects {
			stored[world.NodeID(o.Name)] = o
		}
		var restored []world.NodeID
		for _, node := range k.set.Nodes() {
			if node != k.n.Info.Name && k.restore(node, stored[node]) {
				restored = append(restored, node)
			}
		}
		if len(restored) > 0 {
			k.n.Events.Log(event.DeparturesRestored, event.Field{Name: "nodes", Value: restored}, event.Field{Name: "era", Value: revision.Era})
		}
		k.restorer.end(revision.Era, len(restored) == 0, k.n.Clock.Now())
	})
}

// restore writes the departures of another node if its stored object lacks one. It reports whether it did; the next
// pass shows the result.
func (k *departureKeeper) restore(node world.NodeID, o Object) bool {
	wall := k.n.Clock.Wall()
	// What cannot be decoded is written again, as that node would do itself.
	list, _ := k.decode(o.Value)
	if k.set.HasAll(node, list, wall) {
		return false
	}
	if k.set.Restore(node, list, wall) {
		k.n.applyDepartures()
	}
	value, err := depart.Encode(k.set.Snapshot(node, wall))
	if err != nil {
		k.n.Events.Log(event.DepartureNotStored, event.Field{Name: "error", Value: err.Error()})
		return false
	}
	k.n.Store.Put(KindDeparture, string(node), o.Revision, value, func(Object, error) {})
	return true
}
