package fleet

import (
	"maps"
	"slices"

	"wagtailyoke/core/world"
)

// Targets returns the nodes to exchange with: the relay of the own failure domain, and if this
// node is the relay, those of all others. Nodes that did not answer are asked again beside them:
// waiting for one that is gone must not keep this one's news from the others. A relay also asks
// the nodes of its failure domain that it does not hear, one at a time: a node that has started
// while the domain is cut off from the platform's store knows nobody, and hears of the relay so.
func (v *View) Targets() []world.NodeID {
	v.mu.Lock()
	defer v.mu.Unlock()
	var targets []world.NodeID
	isRelay := v.isRelayLocked()
	for _, domain := range slices.Sorted(maps.Keys(v.domains)) {
		isOwn := domain == v.self.GetDomain()
		if !isOwn && !isRelay {
			continue
		}
		relay := v.relayLocked(domain)
		if relay != "" && relay != v.selfName() {
			targets = append(targets, relay)
		}
		if due := v.dueLocked(domain, relay); due != "" {
			targets = append(targets, due)
		}
	}
	if !isRelay {
		return targets
	}
	if missing := v.missingLocked(); missing != "" && !slices.Contains(targets, missing) {
		targets = append(targets, missing)
	}
	return targets
}

// missingLocked is the node of the own failure domain that was not heard of and not asked for longest,
// if one is due. It may be another process, which was told nothing yet.
func (v *View) missingLocked() world.NodeID {
	var missing *member
	now := v.clock.Now()
	for _, m := range v.domains[v.self.GetDomain()] {
		isDue := now-max(m.asked, m.failed) >= relayRetry*v.options.Period
		if isDue && v.isSilentLocked(m, now) && (missing == nil || m.asked < missing.asked) {
			missing = m
		}
	}
	if missing == nil {
		return ""
	}
	missing.sent = 0
	return world.NodeID(missing.record.GetNode())
}

// IsRelay reports whether this node is the relay of its failure domain.
func (v *View) IsRelay() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.isRelayLocked()
}

// leads is the number of relays that follow the platform's store for all: a second one, so that
// the loss of the first costs no time.
const leads = 2

// IsStoreWatcher reports whether this node follows the platform's store for all: it is the relay of one of
// the first failure domains that are heard.
func (v *View) IsStoreWatcher() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.isRelayLocked() && v.relaysBeforeLocked() < leads
}

// relaysBeforeLocked counts the failure domains before the own one whose relays are heard.
func (v *View) relaysBeforeLocked() int {
	before, now := 0, v.clock.Now()
	for domain := range v.domains {
		if relay := v.nodes[v.relayLocked(domain)]; domain < v.self.GetDomain() && relay != nil && !v.isSilentLocked(relay, now) {
			before++
		}
	}
	return before
}

// IsStoreWriter reports whether this node is the first of those that follow the platform's store, which
// writes for all. Two that take themselves for it at once cost a write.
func (v *View) IsStoreWriter() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.isRelayLocked() && v.relaysBeforeLocked() == 0
}

// HasReachableRelay reports whether another node of the failure domain is the relay and has answered lately.
func (v *View) HasReachableRelay() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.isRelayLocked() && v.areSumsFreshLocked()
}

// IsIsolated reports whether all other nodes are silent.
func (v *View) IsIsolated() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	return !slices.ContainsFunc(v.order, func(m *member) bool {
		return m.record.GetNode() != v.self.GetNode() && !v.isSilentLocked(m, now)
	})
}

func (v *View) isRelayLocked() bool {
	return v.relayLocked(v.self.GetDomain()) == v.selfName()
}

// relayLocked is the first node of a domain that answered when it was last asked. If none did,
// it is the one that failed first, since that one is due again.
func (v *View) relayLocked(domain string) world.NodeID {
	var fallback *member
	for _, m := range v.domains[domain] {
		switch {
		case m.record.GetStopping() && m.record.GetNode() != v.self.GetNode():
		case m.failed == 0:
			return world.NodeID(m.record.GetNode())
		case fallback == nil || m.failed < fallback.failed:
			fallback = m
		}
	}
	if fallback == nil {
		return ""
	}
	return world.NodeID(fallback.record.GetNode())
}

// dueLocked is the first node of a domain before the relay that is to be tried again.
func (v *View) dueLocked(domain string, relay world.NodeID) world.NodeID {
	for _, m := range v.domains[domain] {
		if world.NodeID(m.record.GetNode()) == relay {
			break
		}
		if !m.record.GetStopping() && m.failed > 0 && v.clock.Now()-m.failed >= relayRetry*v.options.Period {
			return world.NodeID(m.record.GetNode())
		}
	}
	return ""
}

// MarkFailed notes that a node did not answer an exchange.
func (v *View) MarkFailed(name world.NodeID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if m := v.nodes[name]; m != nil {
		m.failed = max(v.clock.Now(), 1)
	}
}
