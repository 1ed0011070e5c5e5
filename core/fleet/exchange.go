package fleet

import (
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// resyncEvery is the least time between two requests to a node for all records, as a multiple of the
// time between exchanges.
const resyncEvery = 4

// HandleRequest serves an exchange at the node that is asked.
func (v *View) HandleRequest(req *wire.ExchangeRequest) *wire.ExchangeReply {
	v.Take(req.GetRecords())
	v.mu.Lock()
	defer v.mu.Unlock()
	since := req.GetSince()
	if req.GetSinceIncarnation() != v.self.GetIncarnation() {
		since = 0
	}
	reply := &wire.ExchangeReply{
		Incarnation: v.self.GetIncarnation(),
		LacksSender: !v.hearLocked(req),
	}
	if v.edgesIndex > since {
		reply.Edges, reply.HasEdges = v.edges, true
	}
	v.reportLocked(req, reply, since)
	reply.Index = v.index
	reply.Records = v.changedLocked(since, world.NodeID(req.GetNode()))
	return reply
}

// hearLocked notes that a node has asked. It reports whether its newest record is known.
func (v *View) hearLocked(req *wire.ExchangeRequest) bool {
	m := v.nodes[world.NodeID(req.GetNode())]
	if m == nil || m.record.GetIncarnation() != req.GetIncarnation() {
		return false
	}
	m.heard = v.clock.Now()
	if req.GetPulse() != nil {
		m.pulse, m.pulsed = req.GetPulse(), m.heard
	}
	if req.GetHasEvidence() {
		m.evidence = req.GetEvidence()
		v.addEvidenceLocked()
	}
	return m.record.GetSequence() >= req.GetSequence()
}

func (v *View) changedLocked(since uint64, but world.NodeID) []*wire.FleetRecord {
	var records []*wire.FleetRecord
	for _, m := range v.order {
		if m.index > since && m.record.GetNode() != string(but) {
			records = append(records, m.record)
		}
	}
	return records
}

// BuildRequest builds the request for a node; needs are the services that this node calls. A relay
// brings the news of its failure domain to the relays of others; every other node brings
// its own record only. A node is asked again only once it has answered or failed to.
func (v *View) BuildRequest(name world.NodeID, needs []world.ServiceID) *wire.ExchangeRequest {
	v.mu.Lock()
	defer v.mu.Unlock()
	req := &wire.ExchangeRequest{Node: v.self.GetNode(), Incarnation: v.self.GetIncarnation(), Sequence: v.self.GetSequence()}
	m := v.nodes[name]
	if m == nil {
		return req
	}
	m.asked, m.askedIndex = v.clock.Now(), v.index
	req.Since, req.SinceIncarnation = m.since, m.sinceIncarnation
	isFar := m.record.GetDomain() != v.self.GetDomain()
	for _, r := range v.changedLocked(m.sent, name) {
		if r.GetNode() == v.self.GetNode() || isFar && r.GetDomain() == v.self.GetDomain() {
			req.Records = append(req.Records, r)
		}
	}
	if isFar {
		req.Misses = v.missesLocked(m.record.GetDomain())
		return req
	}
	req.Pulse = v.pulse
	m.askedEvidence = v.evidenceIndex
	if m.evidenceSent < v.evidenceIndex {
		req.Evidence, req.HasEvidence = v.selfLocked().evidence, true
	}
	req.Needs = append(req.Needs, v.self.GetService())
	for _, service := range needs {
		if string(service) != v.self.GetService() {
			req.Needs = append(req.Needs, string(service))
		}
	}
	return req
}

// HandleReply takes in the answer of a node to the last request to it.
func (v *View) HandleReply(name world.NodeID, req *wire.ExchangeRequest, reply *wire.ExchangeReply) {
	v.Take(reply.GetRecords())
	v.mu.Lock()
	defer v.mu.Unlock()
	m := v.nodes[name]
	if m == nil {
		return
	}
	isOther := m.sinceIncarnation != 0 && m.sinceIncarnation != reply.GetIncarnation()
	m.failed = 0
	m.since, m.sinceIncarnation = reply.GetIndex(), reply.GetIncarnation()
	if isOther || reply.GetLacksSender() {
		m.sent, m.evidenceSent = 0, 0
	} else {
		m.sent = max(m.sent, m.askedIndex)
		m.evidenceSent = m.askedEvidence
	}
	if !v.takeReportsLocked(reply.GetReports(), req.GetNeeds(), m.asked) {
		v.resyncLocked(m)
	}
	if m.record.GetDomain() != v.self.GetDomain() {
		return
	}
	v.takeSumsLocked(reply)
	if reply.GetHasEdges() {
		v.setEdgesLocked(reply.GetEdges())
	}
}

// resyncLocked makes the next request to a node ask for all records.
func (v *View) resyncLocked(m *member) {
	now := v.clock.Now()
	if m.resynced > 0 && now-m.resynced < resyncEvery*v.options.Period {
		return
	}
	m.resynced, m.since = now, 0
}
