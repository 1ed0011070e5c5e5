package node

import (
	"sort"
	"sync"

	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// knownLeaders holds the leaders of all failure domains as far as the node knows them.
type knownLeaders struct {
	mu       sync.Mutex
	byDomain map[world.DomainID]*wire.Leader
}

func newKnownLeaders() *knownLeaders {
	return &knownLeaders{byDomain: map[world.DomainID]*wire.Leader{}}
}

// of returns the known leader of a failure domain, if any.
func (k *knownLeaders) of(domain world.DomainID) (*wire.Leader, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	l, ok := k.byDomain[domain]
	return l, ok && l.GetNode() != ""
}

// epochOf returns the newest known epoch of a failure domain.
func (k *knownLeaders) epochOf(domain world.DomainID) world.Epoch {
	k.mu.Lock()
	defer k.mu.Unlock()
	return world.Epoch(k.byDomain[domain].GetEpoch())
}

// learn adds leaders and reports whether one was new. A higher epoch wins.
func (k *knownLeaders) learn(leaders ...*wire.Leader) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	changed := false
	for _, l := range leaders {
		domain := world.DomainID(l.GetDomain())
		known := k.byDomain[domain]
		isForgotten := known.GetNode() == "" && l.GetEpoch() == known.GetEpoch()
		if known == nil || l.GetEpoch() > known.GetEpoch() || isForgotten {
			k.byDomain[domain] = l
			changed = true
		}
	}
	return changed
}

// forget drops a node that replied that it does not lead, but keeps the epoch.
func (k *knownLeaders) forget(domain world.DomainID, epoch world.Epoch) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if known := k.byDomain[domain]; known != nil && world.Epoch(known.GetEpoch()) <= epoch {
		k.byDomain[domain] = &wire.Leader{Domain: known.GetDomain(), Epoch: known.GetEpoch()}
	}
}

// all returns the known leaders, ordered by failure domain.
func (k *knownLeaders) all() []*wire.Leader {
	k.mu.Lock()
	defer k.mu.Unlock()
	all := make([]*wire.Leader, 0, len(k.byDomain))
	for _, l := range k.byDomain {
		if l.GetNode() != "" {
			all = append(all, l)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].GetDomain() < all[j].GetDomain() })
	return all
}
