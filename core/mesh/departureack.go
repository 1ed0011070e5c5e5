package mesh

import (
	"cmp"
	"slices"
	"time"

	"github.com/pkg/errors"

	"wagtailyoke/core/timer"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

const (
	// requiredHolders is the number of other nodes that must know a departure before it is acknowledged:
	// this node and one of them may be lost at once.
	requiredHolders = 2
	// holderWait is how long an acknowledgement waits for other nodes if the store holds the departure,
	// storeWriteWait how long for a store that does not answer if they do. All nodes may be lost right after
	// an acknowledgement.
	holderWait     = 400 * time.Millisecond
	storeWriteWait = 600 * time.Millisecond
	// departurePushInterval is the time between attempts to tell other nodes, departurePushTimeout bounds
	// one.
	departurePushInterval = 250 * time.Millisecond
	departurePushTimeout  = 400 * time.Millisecond
	// departureConfirmTimeout bounds the wait until a departure is held. Upstreams wait a second for an
	// acknowledgement.
	departureConfirmTimeout = 850 * time.Millisecond
)

// ErrDepartureNotHeld means that neither the store nor enough other nodes have confirmed a departure.
var ErrDepartureNotHeld = errors.New("neither the store nor enough nodes hold the departure")

// departureWaiter waits until the departures up to a version of the set are held.
type departureWaiter struct {
	version uint64
	// storeSuffices means that no other node has to hold them if the store does, nodesSuffice the reverse.
	storeSuffices, nodesSuffice bool
	done                        func(error)
	stop                        timer.Stop
}

// handleHeld records that another node knows the departures up to a version of the set.
func (k *departureKeeper) handleHeld(node world.NodeID, version uint64) {
	k.stateMu.Lock()
	k.holders[node] = max(k.holders[node], version)
	k.stateMu.Unlock()
	k.updateWaiters()
}

func (k *departureKeeper) isStored() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, stored := k.knownLocked()
	return k.set.HasAll(k.n.Info.Name, stored, k.n.Clock.Wall())
}

// isHeldLocked reports whether enough other nodes know the departures up to a version.
func (k *departureKeeper) isHeldLocked(version uint64, nodeCount int) bool {
	count := 0
	for _, known := range k.holders {
		if known >= version {
			count++
		}
	}
	return count > 0 && count >= min(requiredHolders, nodeCount-1)
}

// updateWaiters answers the waiters whose departures are held.
func (k *departureKeeper) updateWaiters() {
	isStored, nodeCount := k.isStored(), len(k.n.view.Nodes())
	var held []*departureWaiter
	k.stateMu.Lock()
	for w := range k.waiters {
		isHeld := k.isHeldLocked(w.version, nodeCount)
		if isStored && (isHeld || w.storeSuffices || nodeCount == 1) || isHeld && w.nodesSuffice {
			delete(k.waiters, w)
			held = append(held, w)
		}
	}
	k.stateMu.Unlock()
	for _, w := range held {
		w.stop()
		w.done(nil)
	}
}

// ConfirmDepartures calls done once the departures of this node's upstream would survive a restart of the
// node, or with ErrDepartureNotHeld if that takes too long. done is called once.
func (n *Node) ConfirmDepartures(done func(error)) {
	k := n.departures
	w := &departureWaiter{version: k.set.Version(), done: done}
	k.stateMu.Lock()
	k.waiters[w] = true
	w.stop = n.Clock.After(departureConfirmTimeout, func() { k.expire(w) })
	k.stateMu.Unlock()
	n.Clock.After(holderWait, func() { k.changeWaiters(func() { w.storeSuffices = true }) })
	n.Clock.After(storeWriteWait, func() { k.changeWaiters(func() { w.nodesSuffice = true }) })
	k.updateWaiters()
	k.push(w, map[world.NodeID]bool{})
}

// changeWaiters changes what waiters wait for.
func (k *departureKeeper) changeWaiters(change func()) {
	k.stateMu.Lock()
	change()
	k.stateMu.Unlock()
	k.updateWaiters()
}

func (k *departureKeeper) isWaiting(w *departureWaiter) bool {
	k.stateMu.Lock()
	defer k.stateMu.Unlock()
	return k.waiters[w]
}

func (k *departureKeeper) expire(w *departureWaiter) {
	k.stateMu.Lock()
	isWaiting := k.waiters[w]
	delete(k.waiters, w)
	k.stateMu.Unlock()
	if isWaiting {
		w.done(ErrDepartureNotHeld)
	}
}

// push tells further nodes of the departures until enough of them, or the store, hold them.
func (k *departureKeeper) push(w *departureWaiter, tried map[world.NodeID]bool) {
	if !k.isWaiting(w) {
		return
	}
	list, version := k.set.Export(0)
	own := slices.DeleteFunc(list, func(d *wire.Departure) bool { return d.GetNode() != string(k.n.Info.Name) })
	for _, target := range k.nextHolders(w.version, tried) {
		name := world.NodeID(target.GetNode())
		tried[name] = true
		k.n.Links.Depart(world.Address(target.GetPeerAddress()), &wire.DepartureNotice{Departures: own}, departurePushTimeout, func(err error) {
			if err == nil {
				k.handleHeld(name, version)
			}
		})
	}
	k.n.Clock.After(departurePushInterval, func() { k.push(w, tried) })
}

// nextHolders returns nodes that may hold departures, each from another failure domain if possible, those of
// the own one last: it may be lost as a whole.
func (k *departureKeeper) nextHolders(version uint64, tried map[world.NodeID]bool) []*wire.FleetRecord {
	var candidates []*wire.FleetRecord
	k.stateMu.Lock()
	for _, node := range k.n.view.Nodes() {
		name := world.NodeID(node.Record.GetNode())
		isKnown := k.holders[name] >= version && version > 0
		if name != k.n.Info.Name && !node.IsUnreachable && !tried[name] && !isKnown && !node.Record.GetStopping() {
			candidates = append(candidates, node.Record)
		}
	}
	k.stateMu.Unlock()
	start := int(k.n.randomFloat() * float64(len(candidates)))
	candidates = append(candidates[start:], candidates[:start]...)
	perDomain := map[string]int{string(k.n.Info.Domain): len(candidates)}
	ranks := map[*wire.FleetRecord]int{}
	for _, r := range candidates {
		ranks[r] = perDomain[r.GetDomain()]
		perDomain[r.GetDomain()]++
	}
	slices.SortStableFunc(candidates, func(a, b *wire.FleetRecord) int { return cmp.Compare(ranks[a], ranks[b]) })
	return candidates[:min(len(candidates), requiredHolders)]
}
