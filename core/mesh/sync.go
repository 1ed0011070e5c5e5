package mesh

import (
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// peerSync holds up to which versions another node has the quarantine and the departures of this node, and
// this node those of the other one. incarnation is that of the other node's process.
type peerSync struct {
	sentQuarantines, receivedQuarantines uint64
	sentDepartures, receivedDepartures   uint64
	incarnation                          uint64
}

// handleSyncReply processes the crashing requests and the departures in the reply to an exchange.
func (n *Node) handleSyncReply(name world.NodeID, syncState peerSync, reply *wire.ExchangeReply) {
	sentDepartures := syncState.sentDepartures
	if reply.GetIncarnation() != syncState.incarnation {
		// The node has restarted since the last exchange and has lost what was sent to it.
		syncState.sentQuarantines, syncState.sentDepartures, syncState.incarnation = 0, 0, reply.GetIncarnation()
	}
	syncState.receivedQuarantines, syncState.receivedDepartures = reply.GetQuarantineVersion(), reply.GetDeparturesVersion()
	s := &n.exchanges
	s.mu.Lock()
	s.syncs[name] = syncState
	s.mu.Unlock()
	n.mergeQuarantines(reply.GetQuarantines())
	n.mergeDepartures(reply.GetDepartures())
	if reply.GetDeparturesVersion() > 0 && syncState.sentDepartures == sentDepartures {
		n.departures.handleHeld(name, sentDepartures)
	}
	n.departures.handleExchange(reply.GetKnowsDepartures())
}

// handleSyncRequest processes the crashing requests and the departures in an exchange request and adds those
// of this node to the reply.
func (n *Node) handleSyncRequest(req *wire.ExchangeRequest, reply *wire.ExchangeReply) {
	n.mergeQuarantines(req.GetQuarantines())
	n.mergeDepartures(req.GetDepartures())
	n.departures.handleExchange(req.GetKnowsDepartures())
	quarantinesSince, departuresSince := req.GetQuarantineSince(), req.GetDeparturesSince()
	if req.GetQuarantineIncarnation() != reply.GetIncarnation() {
		quarantinesSince, departuresSince = 0, 0
	}
	reply.Quarantines, reply.QuarantineVersion = n.quarantine.Export(quarantinesSince)
	reply.Departures, reply.DeparturesVersion = n.departures.set.Export(departuresSince)
	reply.KnowsDepartures = n.departures.isInformed()
}
