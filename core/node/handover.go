package node

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"wagtailyoke/core/event"
	"wagtailyoke/core/term"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// handOver hands the term over to another node of the failure domain.
func (n *Node) handOver(done func()) {
	r := n.validRole()
	successor := n.successor()
	if r == nil || successor == nil {
		done()
		return
	}
	to := world.Address(successor.GetPeerAddress())
	n.control(to, &wire.PrepareRequest{Domain: string(n.Info.Domain)}, heartbeatTimeout, func(m proto.Message, err error) {
		prepared, ok := m.(*wire.PrepareReply)
		if err != nil || !ok || !prepared.GetWilling() {
			n.handoverLost(successor, err)
			done()
			return
		}
		n.release(r, successor, prepared, done)
	})
}

// release ends this leader's term and sends its state to the successor.
func (n *Node) release(r *role, successor *wire.NodeInfo, prepared *wire.PrepareReply, done func()) {
	req := &wire.HandoverRequest{
		Stamp:         prepared.GetStamp(),
		Incarnation:   prepared.GetIncarnation(),
		ConfigVersion: uint64(n.configVersion()),
		FromAddress:   string(n.Info.Peer),
	}
	n.term.ReleaseForHandover(req, func(ok bool) {
		if !ok {
			done()
			return
		}
		r.records.Save(req)
		r.ledger.SaveHandover(req)
		for _, f := range r.ledger.ReservedShares() {
			req.Floors = append(req.Floors, &wire.FloorState{Node: string(f.Node), Incarnation: f.Incarnation, Share: f.Share})
		}
		n.role.Store(nil)
		n.sendHandover(req, successor, done)
	})
}

const handoverTimeout = time.Second

func (n *Node) sendHandover(req *wire.HandoverRequest, successor *wire.NodeInfo, done func()) {
	to := world.Address(successor.GetPeerAddress())
	n.control(to, req, handoverTimeout, func(m proto.Message, err error) {
		reply, ok := m.(*wire.HandoverReply)
		if err != nil || !ok || !reply.GetAccepted() {
			n.handoverLost(successor, err)
			done()
			return
		}
		n.leaders.learn(&wire.Leader{
			Domain:      string(n.Info.Domain),
			Epoch:       req.GetEpoch() + 1,
			Node:        successor.GetName(),
			PeerAddress: successor.GetPeerAddress(),
		})
		n.Events.Log(event.TermHandedOver, event.Field{Name: "to", Value: successor.GetName()})
		done()
	})
}

func (n *Node) handoverLost(successor *wire.NodeInfo, err error) {
	n.Events.Log(event.TermHandoverLost, event.Field{Name: "to", Value: successor.GetName()}, event.Field{Name: "error", Value: fmt.Sprint(err)})
}

// successor returns the first other node of the failure domain that is not draining.
func (n *Node) successor() *wire.NodeInfo {
	for _, info := range n.roster.Nodes() {
		isOther := info.GetDomain() == string(n.Info.Domain) && info.GetName() != string(n.Info.Name)
		if isOther && info.GetState() != wire.NodeState_NODE_STATE_DRAINING {
			return info
		}
	}
	return nil
}

func (n *Node) handleHandover(req *wire.HandoverRequest, done func(proto.Message)) {
	n.mu.Lock()
	stopping := n.stopping
	n.mu.Unlock()
	done(&wire.HandoverReply{Accepted: !stopping && n.term.AcceptHandover(req)})
}

func (n *Node) handlePrepare() *wire.PrepareReply {
	reply := n.term.PrepareHandover()
	n.mu.Lock()
	defer n.mu.Unlock()
	reply.Willing = reply.Willing && !n.stopping
	return reply
}

// reservedSharesOf returns the reserved shares in a handover.
func reservedSharesOf(h *wire.HandoverRequest) []term.ReservedShare {
	var floors []term.ReservedShare
	for _, f := range h.GetFloors() {
		floors = append(floors, term.ReservedShare{Node: world.NodeID(f.GetNode()), Incarnation: f.GetIncarnation(), Share: f.GetShare()})
	}
	return floors
}
