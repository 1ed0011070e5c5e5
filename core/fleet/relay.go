package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"wagtailyoke/core/world"
)

// Targets returns the nodes to exchange with: the relay of the own failure domain and, if this node
// is the relay, those of all other failure domains. A relay candidate that failed earlier is retried in
// addition to the present relay, since waiting for a node that is gone must not delay the exchange
// with the others. A relay also sends requests to the unreachable nodes of its failure domain, one at a
// time: a node that starts while the failure domain is cut off from the platform's object store knows
// no other node, and learns of the relay this way.
func (v *View) Targets() []world.NodeID {
	v.mu.Lock()
	defer v.mu.Unlock()
	var targets []world.NodeID
	isRelay := v.isRelayLocked()
	for _, domain := range slices.Sorted(maps.Keys(v.byDomain)) {
		isOwn := domain == v.self.GetDomain()
		if !isOwn && !isRelay {
			continue
		}
		relay := v.relayLocked(domain)
		if relay != "" && relay != v.selfName() {
			targets = append(targets, relay)
		}
		if retry := v.retryDueLocked(domain, relay); retry != "" {
			targets = append(targets, retry)
		}
	}
	if !isRelay {
		return targets
	}
	if unreachable := v.nextUnreachableLocked(); unreachable != "" && !slices.Contains(targets, unreachable) {
		targets = append(targets, unreachable)
	}
	return targets
}

// nextUnreachableLocked returns the unreachable node of the own failure domain with the oldest request,
// if its retry is due. All changes are sent to it again, since it may be a new process that has none.
func (v *View) nextUnreachableLocked() world.NodeID {
	var longest *member
	now := v.clock.Now()
	for _, m := range v.byDomain[v.self.GetDomain()] {
		isDue := now-max(m.requestedAt, m.failedAt) >= relayRetryPeriods*v.options.Period
		if isDue && v.isUnreachableLocked(m, now) && (longest == nil || m.requestedAt < longest.requestedAt) {
			longest = m
		}
	}
	if longest == nil {
		return ""
	}
	longest.sentIndex = 0
	return world.NodeID(longest.record.GetNode())
}

// IsRelay reports whether this node is the relay of its failure domain.
func (v *View) IsRelay() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.isRelayLocked()
}

// storeWatchers is the number of relays that watch the platform's object store for all nodes. The
// second one avoids a delay when the first fails.
const storeWatchers = 2

// IsStoreWatcher reports whether this node watches the platform's object store for all nodes: it is the
// relay of one of the first failure domains, by name, that have a reachable relay. If one of these relays is of an
// older build, which misses that the store has come back from a copy, the first nodes of this build watch as well.
func (v *View) IsStoreWatcher() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.isRelayLocked() && v.precedingRelaysLocked() < storeWatchers {
		return true
	}
	return v.hasOldWatcherLocked() && v.isSubstituteWatcherLocked()
}

// isOldBuild reports whether a node has said of itself that it does not follow the store's eras. A record that was
// made from the platform's listing says nothing.
func (m *member) isOldBuild() bool { return m.record.GetSequence() > 0 && !m.record.GetFollowsEras() }

// HasOldRelay reports whether the relay of this node's failure domain is of an older build, which passes on nothing that
// depends on the store's era.
func (v *View) HasOldRelay() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	relay := v.nodes[v.relayLocked(v.self.GetDomain())]
	return relay != nil && relay.isOldBuild()
}

// hasOldWatcherLocked reports whether a relay that watches the store is of an older build.
func (v *View) hasOldWatcherLocked() bool {
	count, now := 0, v.clock.Now()
	for _, domain := range slices.Sorted(maps.Keys(v.byDomain)) {
		relay := v.nodes[v.relayLocked(domain)]
		if relay == nil || v.isUnreachableLocked(relay, now) {
			continue
		}
		if relay.isOldBuild() {
			return true
		}
		if count++; count == storeWatchers {
			return false
		}
	}
	return false
}

// isSubstituteWatcherLocked reports whether this node is one of the first nodes of this build, by failure domain and name.
func (v *View) isSubstituteWatcherLocked() bool {
	count, now := 0, v.clock.Now()
	for _, domain := range slices.Sorted(maps.Keys(v.byDomain)) {
		for _, m := range v.byDomain[domain] {
			if world.NodeID(m.record.GetNode()) == v.selfName() {
				return count < storeWatchers
			}
			if m.record.GetFollowsEras() && !m.record.GetStopping() && !v.isUnreachableLocked(m, now) {
				count++
			}
		}
	}
	return false
}

// precedingRelaysLocked counts the failure domains before the own one that have a reachable relay.
func (v *View) precedingRelaysLocked() int {
	count, now := 0, v.clock.Now()
	for domain := range v.byDomain {
		if relay := v.nodes[v.relayLocked(domain)]; domain < v.self.GetDomain() && relay != nil && !v.isUnreachableLocked(relay, now) {
			count++
		}
	}
	return count
}

// IsStoreWriter reports whether this node is the first of the store watchers, which writes to the object
// store for all nodes. If two nodes consider themselves the first, the cost is one more write.
func (v *View) IsStoreWriter() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.isRelayLocked() && v.precedingRelaysLocked() == 0
}

// HasReachableRelay reports whether the relay is another node of the failure domain that answered lately.
func (v *View) HasReachableRelay() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.isRelayLocked() && v.relaySumsFreshLocked()
}

// IsIsolated reports whether all other nodes are unreachable.
func (v *View) IsIsolated() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	return !slices.ContainsFunc(v.byName, func(m *member) bool {
		return m.record.GetNode() != v.self.GetNode() && !v.isUnreachableLocked(m, now)
	})
}

func (v *View) isRelayLocked() bool {
	return v.relayLocked(v.self.GetDomain()) == v.selfName()
}

// relayLocked returns the first node of a failure domain that answered the last request to it. If there
// is none, it returns the one with the oldest failure, since that one is due for a retry first.
func (v *View) relayLocked(domain string) world.NodeID {
	var fallback *member
	for _, m := range v.byDomain[domain] {
		switch {
		case m.record.GetStopping() && m.record.GetNode() != v.self.GetNode():
		case m.failedAt == 0:
			return world.NodeID(m.record.GetNode())
		case fallback == nil || m.failedAt < fallback.failedAt:
			fallback = m
		}
	}
	if fallback == nil {
		return ""
	}
	return world.NodeID(fallback.record.GetNode())
}

// retryDueLocked returns the first node before the relay whose retry is due.
func (v *View) retryDueLocked(domain string, relay world.NodeID) world.NodeID {
	for _, m := range v.byDomain[domain] {
		if world.NodeID(m.record.GetNode()) == relay {
			break
		}
		if !m.record.GetStopping() && m.failedAt > 0 && v.clock.Now()-m.failedAt >= relayRetryPeriods*v.options.Period {
			return world.NodeID(m.record.GetNode())
		}
	}
	return ""
}

// RelaysNear returns the relays that may reach a node: that of its failure domain, then those of the others,
// without the node itself, this one and nodes that do not forward token requests.
func (v *View) RelaysNear(name world.NodeID) []world.NodeID {
	v.mu.Lock()
	defer v.mu.Unlock()
	near := ""
	if m := v.nodes[name]; m != nil {
		near = m.record.GetDomain()
	}
	domains := slices.SortedFunc(maps.Keys(v.byDomain), func(a, b string) int {
		if (a == near) != (b == near) {
			return map[bool]int{true: -1, false: 1}[a == near]
		}
		return cmp.Compare(a, b)
	})
	var relays []world.NodeID
	now := v.clock.Now()
	for _, domain := range domains {
		relay := v.firstReachableLocked(domain, name, now)
		if relay != "" {
			relays = append(relays, relay)
		}
	}
	return relays
}

// firstReachableLocked returns the first node of a failure domain that is reachable and forwards token requests,
// except one and this node.
func (v *View) firstReachableLocked(domain string, except world.NodeID, now time.Duration) world.NodeID {
	for _, m := range v.byDomain[domain] {
		name := world.NodeID(m.record.GetNode())
		if name != except && name != v.selfName() && m.record.GetForwardsTokens() && !m.record.GetStopping() && !v.isUnreachableLocked(m, now) {
			return name
		}
	}
	return ""
}

// MarkFailed records that an exchange with a node failed.
func (v *View) MarkFailed(name world.NodeID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if m := v.nodes[name]; m != nil {
		m.failedAt = max(v.clock.Now(), 1)
	}
}
