package node

import (
	"sort"
	"sync"

	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// knownLeaders is what a node knows of the leaders of all failure domains.
type knownLeaders struct {
	mu       sync.Mutex
	byDomain map[world.DomainID]*wire.Leader
}

func newKnownLeaders() *knownLeaders {
	return &knownLeaders{byDomain: map[world.DomainID]*wire.Leader{}}
}

// of returns the known leader of a failure domain.
func (k *knownLeaders) of(domain world.DomainID) (*wire.Leader, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	l, ok := k.byDomain[domain]
	return l, ok && l.GetNode() != ""
}

// epochOf returns the newest epoch seen of a failure domain.
func (k *knownLeaders) epochOf(domain world.DomainID) world.Epoch {
	k.mu.Lock()
	defer k.mu.Unlock()
	return world.Epoch(k.byDomain[domain].GetEpoch())
}

// learn takes in leaders and reports whether one was news. A higher epoch wins.
func (k *knownLeaders) learn(leaders ...*wire.Leader) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	learnt := false
	for _, l := range leaders {
		domain := world.DomainID(l.GetDomain())
		known := k.byDomain[domain]
		isForgotten := known.GetNode() == "" && l.GetEpoch() == known.GetEpoch()
		if known == nil || l.GetEpoch() > known.GetEpoch() || isForgotten {
			k.byDomain[domain] = l
			learnt = true
		}
	}
	return learnt
}

// forget drops a leader that says that it is none, but keeps its epoch.
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
