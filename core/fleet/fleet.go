// Package fleet keeps what the nodes of a deployment say about themselves, at a cost to
// each node that does not rise with their number.
//
// What seldom changes, such as a node's address, is in its record. Records spread from
// node to node when they change, and the newest of each wins. What changes all the time,
// such as load, is in a node's pulse, which goes no further than the relay of its failure
// domain. The relay adds the pulses up by service and reports the sums, and which nodes it
// hears, to the other relays; its own nodes get the sums of the services that they need.
//
// # Usage
//
//	v := fleet.New(clock, self, options)
//	v.SetSelf(func(r *wire.FleetRecord) { r.Limit = 3 })
//	v.SetPulse(pulse)
//	for _, name := range v.Targets() { // whom to ask next
//		req := v.Ask(name, needs)
//		reply := ...               // v.Answer(req) at the node that is asked
//		v.Answered(name, req, reply)
//	}
//	nodes, sums := v.Nodes(), v.Sums()
//
// Within a failure domain all nodes ask the same node, the relay, which is the first by
// name that answers (relay.go). Relays ask each other. The role needs no agreement: two
// relays cost some messages and nothing else.
//
// News that is lost is found by the keys of the nodes that a relay hears: a key is made
// from the newest record, so a node that does not know it asks for all records.
package fleet

import (
	"slices"
	"sort"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"wagtailyoke/core/timer"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// Times as multiples of the time between exchanges.
const (
	// silentAfter is how long ago a node must have been heard of to count as out of reach:
	// three hops between nodes, each up to one exchange period, and one exchange lost.
	silentAfter = 5
	// relayRetry is how long a node that did not answer is not asked again.
	relayRetry = 4
)

// Options are the settings of a View.
type Options struct {
	// Period is the time between exchanges.
	Period time.Duration
	// ForgetAfter is the age from which a record that the platform does not list is dropped.
	ForgetAfter time.Duration
}

// View is what one node knows of all nodes.
type View struct {
	clock   timer.Service
	options Options

	mu    sync.Mutex
	self  *wire.FleetRecord
	pulse *wire.Pulse
	nodes map[world.NodeID]*member
	// order holds the nodes by name, keys by the key of their newest record.
	order []*member
	keys  map[uint32]*member
	// domains holds the nodes of each failure domain by name.
	domains map[string][]*member
	// index counts changes of records and of who is heard; a peer remembers up to which
	// it has them.
	index uint64
	// version counts changes of records and of silence.
	version uint64
	// own is the report of this node, reports are those of others, total adds up those that
	// count.
	own     *report
	reports map[world.NodeID]*report
	total   ServiceSums
	// sums are of the other nodes, as the relay told at an instant, loads of endpoints.
	sums   ServiceSums
	loads  map[world.NodeID]int
	summed time.Duration
	// turn is where the next list of loads begins.
	turn int
	// evidenceIndex counts changes of what this node tells of the call graph.
	evidenceIndex uint64
	// edges are the call graph, edgesIndex is the view's index of their last change.
	edges      []*wire.CallEdge
	edgesIndex uint64
}

// member is one node with its newest record.
type member struct {
	record *wire.FleetRecord
	key    uint32
	// index is the view's index of the record's last change.
	index uint64
	// heard is when the node was last alive, as far as is known.
	heard time.Duration
	// pulse came from the node itself, at an instant.
	pulse  *wire.Pulse
	pulsed time.Duration
	// counted is the pulse that this node's own report holds, nil if it holds none.
	counted *wire.Pulse
	// evidence is what the node tells of the call graph, evidenceSent up to where this node has
	// told it the own.
	evidence     []*wire.CallEvidence
	evidenceSent uint64
	// wasSilent is the silence that the view's version counts.
	wasSilent bool
	// listed means that the platform lists the node.
	listed bool
	// failed is when the node last did not answer an exchange, and 0 if it did since.
	failed time.Duration
	// since and sinceIncarnation are of the node's last answer to this node.
	since            uint64
	sinceIncarnation uint64
	// sent is the own index up to which the node has this node's news.
	sent uint64
	// asked is when the last request to the node was made; askedIndex and askedEvidence are up
	// to where it brought records and evidence.
	asked                     time.Duration
	askedIndex, askedEvidence uint64
	// resynced is when the node was last asked for all records, 0 if it was not.
	resynced time.Duration
}

// New returns a view that knows only its own node.
func New(clock timer.Service, self *wire.FleetRecord, options Options) *View {
	v := &View{
		clock: clock, options: options, self: self, pulse: &wire.Pulse{},
		nodes: map[world.NodeID]*member{}, keys: map[uint32]*member{}, domains: map[string][]*member{},
		reports: map[world.NodeID]*report{},
	}
	v.bumpSelf()
	return v
}

func (v *View) selfName() world.NodeID { return world.NodeID(v.self.GetNode()) }

func (v *View) selfLocked() *member { return v.nodes[v.selfName()] }

func (v *View) bumpSelf() {
	v.self.Sequence++
	v.keepLocked(proto.Clone(v.self).(*wire.FleetRecord))
}

// keepLocked puts a record in the place of an older one.
func (v *View) keepLocked(r *wire.FleetRecord) *member {
	name := world.NodeID(r.GetNode())
	m := v.nodes[name]
	if m == nil {
		m = &member{}
		v.nodes[name] = m
	} else {
		v.takeOutLocked(m)
	}
	v.index++
	v.version++
	m.record, m.index, m.key = r, v.index, KeyOf(r)
	m.heard = v.clock.Now()
	v.keys[m.key] = m
	v.order = insert(v.order, m)
	v.domains[r.GetDomain()] = insert(v.domains[r.GetDomain()], m)
	return m
}

// takeOutLocked takes a node out of the lists that its record decides on.
func (v *View) takeOutLocked(m *member) {
	if v.keys[m.key] == m {
		delete(v.keys, m.key)
	}
	isIt := func(other *member) bool { return other == m }
	v.order = slices.DeleteFunc(v.order, isIt)
	domain := m.record.GetDomain()
	v.domains[domain] = slices.DeleteFunc(v.domains[domain], isIt)
	if len(v.domains[domain]) == 0 {
		delete(v.domains, domain)
	}
}

func (v *View) forgetLocked(m *member) {
	v.takeOutLocked(m)
	delete(v.nodes, world.NodeID(m.record.GetNode()))
	delete(v.reports, world.NodeID(m.record.GetNode()))
	v.version++
}

// insert puts a node into a list by name.
func insert(list []*member, m *member) []*member {
	at := sort.Search(len(list), func(i int) bool { return list[i].record.GetNode() >= m.record.GetNode() })
	return slices.Insert(list, at, m)
}

// SetSelf changes the own record.
func (v *View) SetSelf(change func(*wire.FleetRecord)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	old := proto.Clone(v.self)
	change(v.self)
	if !proto.Equal(old, v.self) {
		v.bumpSelf()
	}
}

// SetLoadReport changes what this node's relay is told.
func (v *View) SetLoadReport(p *wire.Pulse) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.pulse = p
}

// Self returns a copy of the own record.
func (v *View) Self() *wire.FleetRecord {
	v.mu.Lock()
	defer v.mu.Unlock()
	return proto.Clone(v.self).(*wire.FleetRecord)
}

// SetListing takes in the nodes that the platform lists. A node that is no longer listed is
// forgotten once it is also silent.
func (v *View) SetListing(records []*wire.FleetRecord) {
	v.mu.Lock()
	defer v.mu.Unlock()
	listed := map[world.NodeID]bool{}
	for _, r := range records {
		listed[world.NodeID(r.GetNode())] = true
		v.takeLocked(r)
	}
	for name, m := range v.nodes {
		m.listed = listed[name]
	}
}

// UpdateListing takes in one change of the platform's list.
func (v *View) UpdateListing(name world.NodeID, r *wire.FleetRecord) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if r != nil {
		v.takeLocked(r)
	}
	if m := v.nodes[name]; m != nil {
		m.listed = r != nil
	}
}

// Take takes in records from another node. It reports whether one of them was news.
func (v *View) Take(records []*wire.FleetRecord) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	news := false
	for _, r := range records {
		news = v.takeLocked(r) || news
	}
	return news
}

func (v *View) takeLocked(r *wire.FleetRecord) bool {
	name := world.NodeID(r.GetNode())
	if name == "" || r.GetPeerAddress() == "" {
		return false
	}
	if name == v.selfName() {
		v.outliveLocked(r)
		return false
	}
	old := v.nodes[name]
	if old != nil && !isNewer(r, old.record) {
		return false
	}
	isOther := old != nil && old.record.GetIncarnation() != r.GetIncarnation()
	m := v.keepLocked(r)
	if isOther {
		m.failed, m.since, m.sinceIncarnation, m.sent, m.evidenceSent, m.pulse = 0, 0, 0, 0, 0, nil
	}
	return true
}

// outliveLocked raises the own incarnation above one that others still know, which a wall
// clock that stepped back can leave behind.
func (v *View) outliveLocked(r *wire.FleetRecord) {
	if r.GetIncarnation() > v.self.GetIncarnation() {
		v.self.Incarnation = r.GetIncarnation() + 1
		v.bumpSelf()
	}
}

func isNewer(a, b *wire.FleetRecord) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	return a.GetSequence() > b.GetSequence()
}

// IncarnationOf returns the incarnation that is known of a node, 0 if none is.
func (v *View) IncarnationOf(name world.NodeID) uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if m := v.nodes[name]; m != nil {
		return m.record.GetIncarnation()
	}
	return 0
}

// Node is a node with the age of what is known about it.
type Node struct {
	Record *wire.FleetRecord
	// IsUnreachable means that nothing was heard of the node for several exchanges, though
	// others were heard meanwhile.
	IsUnreachable bool
	Age           time.Duration
	IsListed      bool
}

// Nodes returns all nodes, by name.
func (v *View) Nodes() []Node {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	nodes := make([]Node, 0, len(v.order))
	for _, m := range v.order {
		nodes = append(nodes, Node{Record: m.record, Age: now - m.heard, IsUnreachable: v.isSilentLocked(m, now), IsListed: m.listed})
	}
	return nodes
}

func (v *View) isSilentLocked(m *member, now time.Duration) bool {
	return m.record.GetNode() != v.self.GetNode() && now-m.heard > silentAfter*v.options.Period
}

// Version rises when a record changes, when a node is forgotten, and when one becomes
// silent or is heard again.
func (v *View) Version() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	for _, m := range v.order {
		if isSilent := v.isSilentLocked(m, now); isSilent != m.wasSilent {
			m.wasSilent = isSilent
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

// Sweep forgets nodes that are silent for long and not listed, and returns those that
// are listed but silent for long: their entries in the platform are left behind.
func (v *View) Sweep() (abandoned []*wire.FleetRecord) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	for _, m := range slices.Clone(v.order) {
		if m.record.GetNode() == v.self.GetNode() || now-m.heard < v.options.ForgetAfter {
			continue
		}
		if !m.listed {
			v.forgetLocked(m)
			continue
		}
		abandoned = append(abandoned, m.record)
	}
	return abandoned
}
