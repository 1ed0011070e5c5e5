package mesh

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"wagtailyoke/core/fleet"
	"wagtailyoke/core/share"
	"wagtailyoke/core/world"
)

const (
	// shareTTL is how long a node that is lost keeps its share of the customers' rates. It may be cut off
	// and spend it.
	shareTTL = 20 * time.Second
	// suspendAfter is the time without the store and most nodes from which these may have taken over this
	// node's share. It is shorter than shareTTL by more than the delay of updates.
	suspendAfter = 18 * time.Second
)

// sharingNodes are the nodes among which the customers' rates, retries and the limits of upstreams are divided. A
// node that was lost stays one for shareTTL, even if the platform does not list it any more.
type sharingNodes struct {
	n *Node

	mu       sync.Mutex
	lastSeen map[world.NodeID]time.Duration
}

// update sets the peers from the known nodes. It returns the number of nodes that share, with this one.
func (p *sharingNodes) update(nodes []fleet.Node) (count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.n.Clock.Now()
	peers := make([]share.Peer, 0, len(nodes))
	known := make(map[world.NodeID]bool, len(nodes))
	for _, node := range nodes {
		name := world.NodeID(node.Record.GetNode())
		known[name] = true
		if name == p.n.Info.Name {
			continue
		}
		peers = append(peers, share.Peer{
			Node: name, Age: node.Age, IsLeaving: node.Record.GetStopping(), IsUnconfirmed: !node.IsConfirmed,
			IsCutOff: slices.Contains(node.Record.GetUnreachableHomes(), string(p.n.Info.Name)),
		})
		switch {
		case node.Record.GetStopping():
			delete(p.lastSeen, name)
		case node.IsConfirmed:
			p.lastSeen[name] = now - node.Age
		}
	}
	for name, seen := range p.lastSeen {
		switch {
		case now-seen >= shareTTL && !known[name]:
			delete(p.lastSeen, name)
		case !known[name]:
			peers = append(peers, share.Peer{Node: name, Age: now - seen})
		}
	}
	slices.SortFunc(peers, func(a, b share.Peer) int { return cmp.Compare(a.Node, b.Node) })
	p.n.limiter.SetPeers(peers)
	p.n.limiter.SetSuspended(isOrphaned(peers) && p.n.tableAge() >= suspendAfter)
	return len(peers) + 1
}

// isOrphaned reports whether the nodes that were lost long ago are at least as many as the others. A larger part
// of the fleet may have dropped this one.
func isOrphaned(peers []share.Peer) bool {
	lost := 0
	for _, p := range peers {
		if p.Age >= suspendAfter {
			lost++
		}
	}
	return lost >= len(peers)+1-lost
}
