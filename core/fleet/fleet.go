// Package fleet maintains what each node knows about the other nodes of a deployment. Its cost
// for a node does not grow with the number of nodes.
//
// Data that seldom changes, such as a node's address, is in the node's record. A changed record
// is passed from node to node, and the newest version of each record wins. Data that changes all
// the time, such as load, is in a node's load report (wire.Pulse), which is sent only to the relay
// of the node's failure domain. A relay is the node that aggregates the load reports of its failure
// domain by service. It sends these sums, and the list of nodes that it can reach, to the relays of
// the other failure domains. The nodes of its own failure domain receive the sums over all failure
// domains, limited to the services that they need.
//
// # Usage
//
//	v := fleet.New(clock, self, options)
//	v.SetSelf(func(r *wire.FleetRecord) { r.Limit = 3 })
//	v.SetLoadReport(report)
//	for _, name := range v.Targets() { // the nodes to exchange with now
//		req := v.BuildRequest(name, services)
//		reply := ...               // v.HandleRequest(req) at the target node
//		v.HandleReply(name, req, reply)
//	}
//	nodes, sums := v.Nodes(), v.ServiceSums()
//
// Within a failure domain all nodes send their requests to the relay, which is the first node by
// name that answers (relay.go). Relays send requests to each other. The role needs no agreement:
// two relays in one failure domain cost some messages and nothing else.
//
// Lost record updates are detected by the keys in a relay's list of reachable nodes. A key is
// computed from the newest record (KeyOf), so a node that does not know a key requests all records.
package fleet

import (
	"math"
	"slices"
	"sort"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"wagtailyoke/core/timer"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// Durations, in exchange periods (Options.Period).
const (
	// unreachablePeriods is the time since a node was last seen alive after which it counts as
	// unreachable. It allows for three hops between nodes of up to one period each, and for one
	// lost exchange.
	unreachablePeriods = 5
	// relayRetryPeriods is the time before a request to a node that did not answer is repeated.
	relayRetryPeriods = 4
)

// Options are the settings of a View.
type Options struct {
	// Period is the time between exchanges.
	Period time.Duration
	// ForgetAfter is the time since a node was last seen alive after which its record is removed,
	// unless the platform lists the node.
	ForgetAfter time.Duration
}

// View is what one node knows of all nodes.
type View struct {
	clock   timer.Service
	options Options

	mu         sync.Mutex
	self       *wire.FleetRecord
	loadReport *wire.Pulse
	nodes      map[world.NodeID]*member
	// byName holds the nodes sorted by name, byKey by the key of their newest record.
	byName []*member
	byKey  map[uint32]*member
	// byDomain holds the nodes of each failure domain, sorted by name.
	byDomain map[string][]*member
	// index counts the changes of what is sent to peers only when it has changed: records, lists of
	// alive nodes, evidence and the call graph. Peers remember the index up to which they have them.
	index uint64
	// version counts the changes of records, of reachability and of the call graph.
	version uint64
	// ownReport is the report made by this node, reports are the latest ones of other relays,
	// totalSums adds up the current report of each failure domain.
	ownReport *domainReport
	reports   map[world.NodeID]*domainReport
	totalSums ServiceSums
	// relaySums are the sums over the other nodes and relayLoads the loads of endpoints, both as
	// last received from the relay, at relaySumsAt.
	relaySums   ServiceSums
	relayLoads  map[world.NodeID]int
	relaySumsAt time.Duration
	// loadsOffset is where the next list of endpoint loads starts.
	loadsOffset int
	// evidenceIndex counts the changes of this node's own call graph evidence.
	evidenceIndex uint64
	// edges are the call graph, edgesIndex is the view's index at their last change.
	edges      []*wire.CallEdge
	edgesIndex uint64
}

// member is one node with its newest record.
type member struct {
	record *wire.FleetRecord
	key    uint32
	// index is the view's index at the record's last change.
	index uint64
	// lastSeen is the latest time at which the node is known to have been alive.
	lastSeen time.Duration
	// confirmed means that it was seen alive, and not only named by others, since the view was created.
	confirmed bool
	// loadReport was received from the node itself, at loadReportedAt.
	loadReport     *wire.Pulse
	loadReportedAt time.Duration
	// countedReport is the load report that this node's own domain report includes, nil if none.
	countedReport *wire.Pulse
	// evidence is the call graph evidence of the node. sentEvidence is this node's evidence index
	// up to which the node has received this node's evidence.
	evidence     []*wire.CallEvidence
	sentEvidence uint64
	// wasUnreachable is the state that the view's version last counted.
	wasUnreachable bool
	// listed is set if the platform lists the node.
	listed bool
	// failedAt is the time of the last failed exchange with the node, 0 if one succeeded since.
	failedAt time.Duration
	// replyIndex and replyIncarnation are from the node's last reply to this node.
	replyIndex       uint64
	replyIncarnation uint64
	// sentIndex is this view's index up to which the node has received this node's changes.
	sentIndex uint64
	// requestedAt is the time of the last request to the node; requestIndex and requestEvidence are
	// the indexes up to which it carried records and evidence.
	requestedAt                   time.Duration
	requestIndex, requestEvidence uint64
	// resyncedAt is the time at which all records were last requested from the node, 0 if never.
	resyncedAt time.Duration
}

// New returns a view that knows only its own node.
func New(clock timer.Service, self *wire.FleetRecord, options Options) *View {
	v := &View{
		clock: clock, options: options, self: self, loadReport: &wire.Pulse{},
		nodes: map[world.NodeID]*member{}, byKey: map[uint32]*member{}, byDomain: map[string][]*member{},
		reports: map[world.NodeID]*domainReport{},
	}
	v.updateSelfLocked()
	return v
}

func (v *View) selfName() world.NodeID { return world.NodeID(v.self.GetNode()) }

func (v *View) selfLocked() *member { return v.nodes[v.selfName()] }

// updateSelfLocked gives the own record a new sequence number and stores it.
func (v *View) updateSelfLocked() {
	v.self.Sequence++
	v.putRecordLocked(proto.Clone(v.self).(*wire.FleetRecord))
}

// putRecordLocked stores a record in place of an older one.
func (v *View) putRecordLocked(r *wire.FleetRecord) *member {
	name := world.NodeID(r.GetNode())
	m := v.nodes[name]
	if m == nil {
		m = &member{}
		v.nodes[name] = m
	} else {
		v.unindexLocked(m)
	}
	v.index++
	v.version++
	m.record, m.index, m.key = r, v.index, KeyOf(r)
	m.lastSeen = v.clock.Now()
	v.byKey[m.key] = m
	v.byName = insertByName(v.byName, m)
	v.byDomain[r.GetDomain()] = insertByName(v.byDomain[r.GetDomain()], m)
	return m
}

// unindexLocked removes a node from the indexes that depend on its record.
func (v *View) unindexLocked(m *member) {
	if v.byKey[m.key] == m {
		delete(v.byKey, m.key)
	}
	isSame := func(other *member) bool { return other == m }
	v.byName = slices.DeleteFunc(v.byName, isSame)
	domain := m.record.GetDomain()
	v.byDomain[domain] = slices.DeleteFunc(v.byDomain[domain], isSame)
	if len(v.byDomain[domain]) == 0 {
		delete(v.byDomain, domain)
	}
}

func (v *View) removeLocked(m *member) {
	v.unindexLocked(m)
	delete(v.nodes, world.NodeID(m.record.GetNode()))
	delete(v.reports, world.NodeID(m.record.GetNode()))
	v.version++
}

// insertByName inserts a node into a list that is sorted by name.
func insertByName(list []*member, m *member) []*member {
	pos := sort.Search(len(list), func(i int) bool { return list[i].record.GetNode() >= m.record.GetNode() })
	return slices.Insert(list, pos, m)
}

// SetSelf changes the own record.
func (v *View) SetSelf(change func(*wire.FleetRecord)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	old := proto.Clone(v.self)
	change(v.self)
	if !proto.Equal(old, v.self) {
		v.updateSelfLocked()
	}
}

// SetLoadReport sets the load report that this node sends to its relay.
func (v *View) SetLoadReport(p *wire.Pulse) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.loadReport = p
}

// Self returns a copy of the own record.
func (v *View) Self() *wire.FleetRecord {
	v.mu.Lock()
	defer v.mu.Unlock()
	return proto.Clone(v.self).(*wire.FleetRecord)
}

// SetListing sets the nodes that the platform lists. A node that is no longer listed is removed
// once it has also been unreachable for Options.ForgetAfter.
func (v *View) SetListing(records []*wire.FleetRecord) {
	v.mu.Lock()
	defer v.mu.Unlock()
	listed := map[world.NodeID]bool{}
	for _, r := range records {
		listed[world.NodeID(r.GetNode())] = true
		v.mergeRecordLocked(r)
	}
	for name, m := range v.nodes {
		m.listed = listed[name]
	}
}

// UpdateListing applies one change of the platform's list. A nil record means that the node is
// no longer listed.
func (v *View) UpdateListing(name world.NodeID, r *wire.FleetRecord) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if r != nil {
		v.mergeRecordLocked(r)
	}
	if m := v.nodes[name]; m != nil {
		m.listed = r != nil
	}
}

// MergeRecords stores those of a peer's records that are newer than the known ones. It reports
// whether there was one.
func (v *View) MergeRecords(records []*wire.FleetRecord) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	changed := false
	for _, r := range records {
		changed = v.mergeRecordLocked(r) || changed
	}
	return changed
}

func (v *View) mergeRecordLocked(r *wire.FleetRecord) bool {
	name := world.NodeID(r.GetNode())
	if name == "" || r.GetPeerAddress() == "" {
		return false
	}
	if name == v.selfName() {
		v.raiseIncarnationLocked(r)
		return false
	}
	old := v.nodes[name]
	if old != nil && !isNewer(r, old.record) {
		return false
	}
	restarted := old != nil && old.record.GetIncarnation() != r.GetIncarnation()
	m := v.putRecordLocked(r)
	if restarted {
		m.failedAt, m.replyIndex, m.replyIncarnation, m.sentIndex, m.sentEvidence, m.loadReport = 0, 0, 0, 0, 0, nil
	}
	return true
}

// raiseIncarnationLocked raises the own incarnation above a higher one that other nodes still know
// from an earlier process. There can be one if the wall clock stepped back.
func (v *View) raiseIncarnationLocked(r *wire.FleetRecord) {
	if r.GetIncarnation() > v.self.GetIncarnation() && r.GetIncarnation() < math.MaxUint64 {
		v.self.Incarnation = r.GetIncarnation() + 1
		v.updateSelfLocked()
	}
}

func isNewer(a, b *wire.FleetRecord) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	return a.GetSequence() > b.GetSequence()
}

// IncarnationOf returns the known incarnation of a node, 0 if the node is unknown.
func (v *View) IncarnationOf(name world.NodeID) uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if m := v.nodes[name]; m != nil {
		return m.record.GetIncarnation()
	}
	return 0
}

// Node is a node with its reachability.
type Node struct {
	Record *wire.FleetRecord
	// IsUnreachable is set if the node was not seen alive for several exchange periods.
	IsUnreachable bool
	// Age is the time since the node was last seen alive.
	Age time.Duration
	// IsListed is set if the platform lists the node.
	IsListed bool
	// IsConfirmed is set if the node was seen alive since this view was created.
	IsConfirmed bool
}

// Nodes returns all nodes, sorted by name.
func (v *View) Nodes() []Node {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	nodes := make([]Node, 0, len(v.byName))
	for _, m := range v.byName {
		nodes = append(nodes, Node{Record: m.record, Age: now - m.lastSeen, IsUnreachable: v.isUnreachableLocked(m, now), IsListed: m.listed, IsConfirmed: m.confirmed})
	}
	return nodes
}

func (v *View) isUnreachableLocked(m *member, now time.Duration) bool {
	return m.record.GetNode() != v.self.GetNode() && now-m.lastSeen > unreachablePeriods*v.options.Period
}

// Version rises when a record or the call graph changes, when a node is removed, and when one
// becomes unreachable or reachable again.
func (v *View) Version() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	for _, m := range v.byName {
		if unreachable := v.isUnreachableLocked(m, now); unreachable != m.wasUnreachable {
			m.wasUnreachable = unreachable
			v.version++
		}
	}
	return v.version
}

// AddressOf returns the peer address of a node.
func (v *View) AddressOf(name world.NodeID) (world.Address, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	m := v.nodes[name]
	if m == nil {
		return "", false
	}
	return world.Address(m.record.GetPeerAddress()), true
}

// UnreachableHomesOf returns the homes that a node's record says it cannot reach.
func (v *View) UnreachableHomesOf(name world.NodeID) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if m := v.nodes[name]; m != nil {
		return m.record.GetUnreachableHomes()
	}
	return nil
}

// Sweep removes the nodes that were not seen for Options.ForgetAfter and are not listed. It returns
// the records of those not seen for as long that are still listed, whose platform entries are stale.
func (v *View) Sweep() (abandoned []*wire.FleetRecord) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	for _, m := range slices.Clone(v.byName) {
		if m.record.GetNode() == v.self.GetNode() || now-m.lastSeen < v.options.ForgetAfter {
			continue
		}
		if !m.listed {
			v.removeLocked(m)
			continue
		}
		abandoned = append(abandoned, m.record)
	}
	return abandoned
}
