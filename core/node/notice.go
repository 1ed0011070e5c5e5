package node

import (
	"google.golang.org/protobuf/proto"

	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// announceQuarantine sends the quarantine to all leaders at once, which forward it to
// their nodes. Heartbeats alone would take up to three intervals, during which the
// request could enter at another node.
func (n *Node) announceQuarantine() {
	n.notifyLeaders(&wire.Notice{Quarantines: n.quarantines(), Relay: true})
}

// announceLeader announces a new term to the nodes of this failure domain and to the
// other leaders. The nodes would otherwise search for a leader only after some
// heartbeats have failed.
func (n *Node) announceLeader(l *wire.Leader) {
	notice := &wire.Notice{Leaders: []*wire.Leader{l}}
	n.notifyNodes(notice)
	n.notifyLeaders(&wire.Notice{Leaders: notice.GetLeaders(), Relay: true})
}

func (n *Node) notifyLeaders(notice *wire.Notice) {
	for _, l := range n.leaders.all() {
		n.control(world.Address(l.GetPeerAddress()), notice, heartbeatTimeout, ignoreReply)
	}
}

// notifyNodes sends a notice to the other nodes of this failure domain.
func (n *Node) notifyNodes(notice *wire.Notice) {
	for _, info := range n.roster.Nodes() {
		if info.GetDomain() == string(n.Info.Domain) && info.GetName() != string(n.Info.Name) {
			n.control(world.Address(info.GetPeerAddress()), notice, heartbeatTimeout, ignoreReply)
		}
	}
}

func ignoreReply(proto.Message, error) {}

// handleNotice applies a notice. A leader forwards it to its nodes if it contained
// anything new.
func (n *Node) handleNotice(m *wire.Notice) {
	quarantineChanged := n.quarantine.Merge(m.GetQuarantines())
	leadersChanged := n.leaders.learn(m.GetLeaders()...)
	if leadersChanged {
		n.requestHeartbeat()
	}
	if m.GetRelay() && (quarantineChanged || leadersChanged) && n.validRole() != nil {
		n.notifyNodes(&wire.Notice{Quarantines: m.GetQuarantines(), Leaders: m.GetLeaders()})
	}
}
