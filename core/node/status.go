package node

import (
	"time"

	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// Status is a node's status as shown to operators.
type Status struct {
	Node          world.NodeID        `json:"node"`
	Domain        world.DomainID      `json:"domain"`
	Service       world.ServiceID     `json:"service"`
	State         string              `json:"state"`
	ConfigVersion world.ConfigVersion `json:"configVersion"`
	// ConfigAgeMs is the time since the version was known to be the newest.
	ConfigAgeMs int64        `json:"configAgeMs"`
	IsLeader    bool         `json:"isLeader"`
	Epoch       world.Epoch  `json:"epoch"`
	Leaders     []LeaderInfo `json:"leaders"`
	// Members is set at a leader only: each node of its failure domain with its
	// configuration version.
	Members    []MemberInfo `json:"members,omitempty"`
	InFlight   int          `json:"inFlight"`
	Limit      int          `json:"limit"`
	Level      float64      `json:"level"`
	Records    int          `json:"records"`
	Suspects   int          `json:"suspects"`
	Violations int64        `json:"violations"`
	HasLeader  bool         `json:"hasLeader"`
}

// LeaderInfo identifies the leader of a failure domain.
type LeaderInfo struct {
	Domain world.DomainID `json:"domain"`
	Node   world.NodeID   `json:"node"`
	Epoch  world.Epoch    `json:"epoch"`
}

// MemberInfo is one node of a leader's failure domain.
type MemberInfo struct {
	Node          world.NodeID        `json:"node"`
	Service       world.ServiceID     `json:"service"`
	State         string              `json:"state"`
	ConfigVersion world.ConfigVersion `json:"configVersion"`
}

var stateNames = map[wire.NodeState]string{
	wire.NodeState_NODE_STATE_STARTING: "starting",
	wire.NodeState_NODE_STATE_READY:    "ready",
	wire.NodeState_NODE_STATE_DRAINING: "draining",
	wire.NodeState_NODE_STATE_GONE:     "gone",
}

// Status returns the node's status.
func (n *Node) Status() Status {
	s := Status{
		Node:          n.Info.Name,
		Domain:        n.Info.Domain,
		Service:       n.Info.Service,
		State:         stateNames[n.state()],
		ConfigVersion: n.configVersion(),
		ConfigAgeMs:   n.configAge().Milliseconds(),
		Epoch:         n.leaders.epochOf(n.Info.Domain),
		InFlight:      n.queue.Load(),
		Limit:         n.limiter.Limit(),
		Level:         n.queue.Level(),
		Suspects:      len(n.quarantines()),
		Violations:    n.Checks.Count(),
		HasLeader:     n.hasLeader(),
	}
	for _, l := range n.leaders.all() {
		s.Leaders = append(s.Leaders, LeaderInfo{
			Domain: world.DomainID(l.GetDomain()), Node: world.NodeID(l.GetNode()), Epoch: world.Epoch(l.GetEpoch()),
		})
	}
	if r := n.validRole(); r != nil {
		s.IsLeader = true
		s.Records = r.records.Count()
		s.Members = n.memberInfos(r)
	}
	return s
}

func (n *Node) hasLeader() bool {
	n.heartbeats.mu.Lock()
	defer n.heartbeats.mu.Unlock()
	return n.Clock.Now()-n.heartbeats.leaderLastSeen < leaderLostAfter+time.Second
}

func (n *Node) memberInfos(r *role) []MemberInfo {
	var members []MemberInfo
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, info := range n.roster.Nodes() {
		if info.GetDomain() != string(n.Info.Domain) {
			continue
		}
		members = append(members, MemberInfo{
			Node:          world.NodeID(info.GetName()),
			Service:       world.ServiceID(info.GetService()),
			State:         stateNames[info.GetState()],
			ConfigVersion: r.versions[world.NodeID(info.GetName())],
		})
	}
	return members
}
