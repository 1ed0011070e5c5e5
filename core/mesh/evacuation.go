package mesh

import (
	"sync"
	"time"

	"wagtailyoke/core/evac"
	"wagtailyoke/core/event"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// evacuations are the failure domains that operators have evacuated. Their upstreams receive no calls, but
// callers in these domains are served by the other ones.
//
// The node of an upstream enforces the evacuation: every call passes it, so an entry node that has not
// heard of it yet is refused with "not run". The two nodes that watch the store pass changes on with the
// exchange.
type evacuations struct {
	*evac.Set
	// applying is held while a change is applied to the node.
	applying sync.Mutex
}

// followEvacuations starts to track the evacuations in the store. then is called when they are known or
// cannot be read.
func (n *Node) followEvacuations(then func()) {
	if n.Options.EvacuateWithin == 0 {
		then()
		return
	}
	// A lost watch is noticed after its timeout and that of the call. Half of the time is left for them
	// and for the exchange.
	watchTimeout := n.Options.EvacuateWithin / 4
	f := &follower{
		n: n, kind: KindEvacuation, watchTimeout: func() time.Duration { return watchTimeout }, consistency: ReadStale,
		relistsAfterFailure: true, onFirstResult: then, isNeeded: n.watchesEvacuations,
	}
	f.onList = func(objects []Object, _ Consistency) {
		n.updateEvacuations(evacuationSourcePlatform, func() bool { return n.evacuations.List(f.revision, evacuatedDomains(objects)) })
	}
	f.onChanges = func(objects []Object) {
		n.updateEvacuations(evacuationSourcePlatform, func() bool { return n.evacuations.Apply(f.revision, evacuationChanges(objects)) })
	}
	f.onConfirm = func() { n.evacuations.Apply(f.revision, nil) }
	f.step()
}

// watchesEvacuations reports whether this node watches the evacuations in the store. While the store does
// not answer, only the calls for the routing table go on. Every node watches them itself whose relay is of an older build:
// orders without an era are not taken.
func (n *Node) watchesEvacuations() bool {
	return (n.watchesTable() || n.view.HasOldRelay()) && n.tableFollower.failures.Load() == 0
}

// Sources of changes other than nodes, as shown in logs: evacuations that were read from the store, and those that it
// has lost and that have expired.
const (
	evacuationSourcePlatform = "platform"
	evacuationSourceExpiry   = "expiry"
)

func evacuatedDomains(objects []Object) []world.DomainID {
	var domains []world.DomainID
	for _, c := range evacuationChanges(objects) {
		if c.IsEvacuated {
			domains = append(domains, c.Domain)
		}
	}
	return domains
}

func evacuationChanges(objects []Object) []evac.Change {
	changes := make([]evac.Change, 0, len(objects))
	for _, o := range objects {
		changes = append(changes, evac.Change{Domain: world.DomainID(o.Name), IsEvacuated: !o.IsDeleted})
	}
	return changes
}

// mergeEvacuations applies another node's evacuations. Those without an era are of an older build, which may have
// missed that the store has come back from a copy.
func (n *Node) mergeEvacuations(w *wire.Evacuations, from world.NodeID) {
	if w == nil {
		return
	}
	n.updateEvacuations(string(from), func() bool {
		changed, err := n.evacuations.Merge(w)
		return err == nil && changed
	})
}

// expireEvacuations takes back the failure domains whose evacuation the store has lost for too long.
func (n *Node) expireEvacuations() {
	n.updateEvacuations(evacuationSourceExpiry, n.evacuations.Expire)
}

func (n *Node) updateEvacuations(source string, update func() (changed bool)) {
	n.evacuations.applying.Lock()
	defer n.evacuations.applying.Unlock()
	wasEvacuated := n.evacuations.Contains(n.Info.Domain)
	if !update() {
		return
	}
	isEvacuated := n.evacuations.Contains(n.Info.Domain)
	domains, lost := n.evacuations.Domains()
	n.Events.Log(event.EvacuationsChanged, event.Field{Name: "domains", Value: domains}, event.Field{Name: "lost", Value: lost},
		event.Field{Name: "revision", Value: n.evacuations.Revision()}, event.Field{Name: "source", Value: source})
	n.upstreamTracker.setEvacuated(isEvacuated)
	switch {
	case isEvacuated && !wasEvacuated:
		n.queue.DropAll(world.CodeEvacuated)
	case wasEvacuated && !isEvacuated:
		// Upstreams may have become cold while they received no calls.
		n.suspectRestart()
	}
	n.refreshOwnRecord()
	n.applyRecords()
	n.exchangeSoon()
}
