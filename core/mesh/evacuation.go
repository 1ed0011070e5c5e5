package mesh

import (
	"maps"
	"slices"
	"sync"
	"time"

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
	// applying is held while a change is applied to the node.
	applying sync.Mutex

	mu sync.Mutex
	// revision is the revision of the platform's store at which the domains were read. It stays the
	// same while they do.
	revision uint64
	domains  map[world.DomainID]bool
}

func newEvacuations() *evacuations { return &evacuations{domains: map[world.DomainID]bool{}} }

func (e *evacuations) contains(domain world.DomainID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.domains[domain]
}

func (e *evacuations) knownRevision() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.revision
}

// count returns the number of evacuated failure domains.
func (e *evacuations) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.domains)
}

// encode returns the message for other nodes, nil if there has been no evacuation yet.
func (e *evacuations) encode() *wire.Evacuations {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.revision == 0 {
		return nil
	}
	w := &wire.Evacuations{Revision: e.revision}
	for _, domain := range slices.Sorted(maps.Keys(e.domains)) {
		w.Domains = append(w.Domains, string(domain))
	}
	return w
}

// update applies a change to the domains as of a revision. It has no effect if the current ones are as
// new. It reports whether the domains have changed.
func (e *evacuations) update(revision uint64, change func(domains map[world.DomainID]bool)) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if revision <= e.revision {
		return false
	}
	next := maps.Clone(e.domains)
	change(next)
	if maps.Equal(next, e.domains) {
		return false
	}
	e.revision, e.domains = revision, next
	return true
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
	f.onConfirm = func() {}
	f.onList = func(objects []Object, _ Consistency) {
		n.updateEvacuations(f.revision.Number, evacuationSourcePlatform, func(domains map[world.DomainID]bool) {
			clear(domains)
			applyEvacuations(domains, objects)
		})
	}
	f.onChanges = func(objects []Object) {
		n.updateEvacuations(f.revision.Number, evacuationSourcePlatform, func(domains map[world.DomainID]bool) { applyEvacuations(domains, objects) })
	}
	f.step()
}

// watchesEvacuations reports whether this node watches the evacuations in the store. While the store does
// not answer, only the calls for the routing table go on.
func (n *Node) watchesEvacuations() bool {
	return n.watchesTable() && n.tableFollower.failures.Load() == 0
}

// evacuationSourcePlatform is the source of evacuations that were read from the store, as shown in logs.
const evacuationSourcePlatform = "platform"

func applyEvacuations(domains map[world.DomainID]bool, objects []Object) {
	for _, o := range objects {
		if o.IsDeleted {
			delete(domains, world.DomainID(o.Name))
			continue
		}
		domains[world.DomainID(o.Name)] = true
	}
}

// mergeEvacuations applies another node's evacuations if they are newer.
func (n *Node) mergeEvacuations(w *wire.Evacuations, from world.NodeID) {
	if w == nil {
		return
	}
	n.updateEvacuations(w.GetRevision(), string(from), func(domains map[world.DomainID]bool) {
		clear(domains)
		for _, domain := range w.GetDomains() {
			domains[world.DomainID(domain)] = true
		}
	})
}

func (n *Node) updateEvacuations(revision uint64, source string, change func(domains map[world.DomainID]bool)) {
	n.evacuations.applying.Lock()
	defer n.evacuations.applying.Unlock()
	wasEvacuated := n.evacuations.contains(n.Info.Domain)
	if !n.evacuations.update(revision, change) {
		return
	}
	isEvacuated := n.evacuations.contains(n.Info.Domain)
	n.Events.Log(event.EvacuationsChanged, event.Field{Name: "domains", Value: n.evacuations.encode().GetDomains()},
		event.Field{Name: "revision", Value: revision}, event.Field{Name: "source", Value: source})
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
