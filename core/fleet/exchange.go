package fleet

import (
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// resyncPeriods is the minimum time between two requests for all records to the same node, in exchange
// periods.
const resyncPeriods = 4

// HandleRequest processes an exchange request from another node and returns the reply.
func (v *View) HandleRequest(req *wire.ExchangeRequest) *wire.ExchangeReply {
	v.MergeRecords(req.GetRecords())
	v.mu.Lock()
	defer v.mu.Unlock()
	since := req.GetSince()
	if req.GetSinceIncarnation() != v.self.GetIncarnation() {
		since = 0
	}
	reply := &wire.ExchangeReply{
		Incarnation: v.self.GetIncarnation(),
		LacksSender: !v.recordContactLocked(req),
	}
	if v.edgesIndex > since {
		reply.Edges, reply.HasEdges = v.edges, true
	}
	v.addReportsLocked(req, reply, since)
	reply.Index = v.index
	reply.Records = v.changedRecordsLocked(since, world.NodeID(req.GetNode()))
	return reply
}

// recordContactLocked updates the state of the node that sent a request. It reports whether the
// node's newest record is known.
func (v *View) recordContactLocked(req *wire.ExchangeRequest) bool {
	m := v.nodes[world.NodeID(req.GetNode())]
	if m == nil || m.record.GetIncarnation() != req.GetIncarnation() {
		return false
	}
	m.lastSeen, m.confirmed = v.clock.Now(), true
	if req.GetPulse() != nil {
		m.loadReport, m.loadReportedAt = req.GetPulse(), m.lastSeen
	}
	if req.GetHasEvidence() {
		m.evidence = req.GetEvidence()
		v.updateOwnEvidenceLocked()
	}
	return m.record.GetSequence() >= req.GetSequence()
}

// changedRecordsLocked returns the records that changed after an index, except that of one node.
func (v *View) changedRecordsLocked(since uint64, except world.NodeID) []*wire.FleetRecord {
	var records []*wire.FleetRecord
	for _, m := range v.byName {
		if m.index > since && m.record.GetNode() != string(except) {
			records = append(records, m.record)
		}
	}
	return records
}

// BuildRequest returns the next exchange request for a node; services are those that this node calls. A
// relay sends the changed records of its failure domain to the relays of the others; every other request
// carries the own record only. The caller must not build another request for the node before it has
// called HandleReply or MarkFailed.
func (v *View) BuildRequest(name world.NodeID, services []world.ServiceID) *wire.ExchangeRequest {
	v.mu.Lock()
	defer v.mu.Unlock()
	req := &wire.ExchangeRequest{Node: v.self.GetNode(), Incarnation: v.self.GetIncarnation(), Sequence: v.self.GetSequence()}
	m := v.nodes[name]
	if m == nil {
		return req
	}
	m.requestedAt, m.requestIndex = v.clock.Now(), v.index
	req.Since, req.SinceIncarnation = m.replyIndex, m.replyIncarnation
	isOtherDomain := m.record.GetDomain() != v.self.GetDomain()
	for _, r := range v.changedRecordsLocked(m.sentIndex, name) {
		if r.GetNode() == v.self.GetNode() || isOtherDomain && r.GetDomain() == v.self.GetDomain() {
			req.Records = append(req.Records, r)
		}
	}
	if isOtherDomain {
		req.Misses = v.staleDomainsLocked(m.record.GetDomain())
		return req
	}
	req.Pulse = v.loadReport
	m.requestEvidence = v.evidenceIndex
	if m.sentEvidence < v.evidenceIndex {
		req.Evidence, req.HasEvidence = v.selfLocked().evidence, true
	}
	req.Needs = append(req.Needs, v.self.GetService())
	for _, service := range services {
		if string(service) != v.self.GetService() {
			req.Needs = append(req.Needs, string(service))
		}
	}
	return req
}

// HandleReply processes a node's reply to the last request, req.
func (v *View) HandleReply(name world.NodeID, req *wire.ExchangeRequest, reply *wire.ExchangeReply) {
	v.MergeRecords(reply.GetRecords())
	v.mu.Lock()
	defer v.mu.Unlock()
	m := v.nodes[name]
	if m == nil {
		return
	}
	restarted := m.replyIncarnation != 0 && m.replyIncarnation != reply.GetIncarnation()
	m.failedAt, m.confirmed = 0, true
	m.replyIndex, m.replyIncarnation = reply.GetIndex(), reply.GetIncarnation()
	if restarted || reply.GetLacksSender() {
		m.sentIndex, m.sentEvidence = 0, 0
	} else {
		m.sentIndex = max(m.sentIndex, m.requestIndex)
		m.sentEvidence = m.requestEvidence
	}
	if !v.mergeReportsLocked(reply.GetReports(), req.GetNeeds(), m.requestedAt) {
		v.scheduleResyncLocked(m)
	}
	if m.record.GetDomain() != v.self.GetDomain() {
		return
	}
	v.storeRelaySumsLocked(reply)
	if reply.GetHasEdges() {
		v.setEdgesLocked(reply.GetEdges())
	}
}

// scheduleResyncLocked makes the next request to a node ask for all records, unless that was done lately.
func (v *View) scheduleResyncLocked(m *member) {
	now := v.clock.Now()
	if m.resyncedAt > 0 && now-m.resyncedAt < resyncPeriods*v.options.Period {
		return
	}
	m.resyncedAt, m.replyIndex = now, 0
}
