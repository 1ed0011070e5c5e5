// Package fleet keeps what the nodes of a deployment say about themselves. Each node
// says it in a record; records spread from node to node, and the newest of each wins.
//
// # Usage
//
//	v := fleet.New(clock, self)
//	v.SetSelf(func(r *wire.FleetRecord) { r.Running = 3 })
//	reply := v.Answer(request)        // at the node that is asked
//	v.Take(reply.GetRecords())        // at the node that asked
//	peers := v.Targets()              // whom to ask next
//
// Within a failure domain all nodes ask the same node, the relay, which is the first by
// name that answers. Relays ask each other. The role needs no agreement: two relays cost
// some messages and nothing else.
package fleet

import (
	"sort"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"wagtailyoke/core/timer"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// Ages of what is known about a node, as multiples of the time between exchanges.
const (
	// silentAfter is the age of a record from which its node counts as out of reach:
	// three hops between nodes, each up to one exchange period, and one exchange lost.
	silentAfter = 5
	// relayRetry is how long a relay that did not answer is passed over.
	relayRetry = 4
)

// Options are the settings of a View.
type Options struct {
	// Period is the time between exchanges.
	Period time.Duration
	// Forget is the age from which a record that the platform does not list is dropped.
	Forget time.Duration
}

// View is what one node knows of all nodes.
type View struct {
	clock   timer.Service
	options Options

	mu    sync.Mutex
	self  *wire.FleetRecord
	nodes map[world.NodeID]*member
	// index counts changes of records; a peer remembers up to which it has them.
	index uint64
}

// member is one node with its newest record.
type member struct {
	record *wire.FleetRecord
	// index is the view's index of the record's last change.
	index uint64
	// heard is when the record last rose.
	heard time.Duration
	// listed means that the platform lists the node.
	listed bool
	// failed is when the node last did not answer an exchange, and 0 if it did since.
	failed time.Duration
	// since and sinceIncarnation are of the node's last answer to this node.
	since            uint64
	sinceIncarnation uint64
	// sent is the own index up to which the node has this node's news.
	sent uint64
}

// New returns a view that knows only its own node.
func New(clock timer.Service, self *wire.FleetRecord, options Options) *View {
	v := &View{clock: clock, options: options, self: self, nodes: map[world.NodeID]*member{}}
	v.bumpSelf()
	return v
}

func (v *View) bumpSelf() {
	v.self.Sequence++
	v.index++
	name := world.NodeID(v.self.GetNode())
	m := v.nodes[name]
	if m == nil {
		m = &member{}
		v.nodes[name] = m
	}
	m.record = proto.Clone(v.self).(*wire.FleetRecord)
	m.index = v.index
	m.heard = v.clock.Now()
}

// SetSelf changes the own record.
func (v *View) SetSelf(change func(*wire.FleetRecord)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	change(v.self)
	v.bumpSelf()
}

// Self returns a copy of the own record.
func (v *View) Self() *wire.FleetRecord {
	v.mu.Lock()
	defer v.mu.Unlock()
	return proto.Clone(v.self).(*wire.FleetRecord)
}

// List takes in the nodes that the platform lists. A node that is no longer listed is
// forgotten once it is also silent.
func (v *View) List(records []*wire.FleetRecord) {
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

// Listed takes in one change of the platform's list.
func (v *View) Listed(name world.NodeID, r *wire.FleetRecord) {
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
	if name == world.NodeID(v.self.GetNode()) {
		v.outliveLocked(r)
		return false
	}
	m := v.nodes[name]
	if m == nil {
		m = &member{}
		v.nodes[name] = m
	}
	if m.record != nil && !isNewer(r, m.record) {
		return false
	}
	if m.record != nil && m.record.GetIncarnation() != r.GetIncarnation() {
		m.failed, m.since, m.sinceIncarnation, m.sent = 0, 0, 0, 0
	}
	v.index++
	m.record = r
	m.index = v.index
	m.heard = v.clock.Now()
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

// Answer serves an exchange at the node that is asked.
func (v *View) Answer(req *wire.ExchangeRequest) *wire.ExchangeReply {
	v.Take(req.GetRecords())
	v.mu.Lock()
	defer v.mu.Unlock()
	since := req.GetSince()
	if req.GetSinceIncarnation() != v.self.GetIncarnation() {
		since = 0
	}
	return &wire.ExchangeReply{
		Index:        v.index,
		Incarnation:  v.self.GetIncarnation(),
		Records:      v.changedLocked(since, world.NodeID(req.GetNode())),
		TableVersion: v.self.GetTableVersion(),
	}
}

func (v *View) changedLocked(since uint64, but world.NodeID) []*wire.FleetRecord {
	var records []*wire.FleetRecord
	for name, m := range v.nodes {
		if m.index > since && name != but {
			records = append(records, m.record)
		}
	}
	sort.Slice(records, func(i, j int) bool { return records[i].GetNode() < records[j].GetNode() })
	return records
}

// Ask builds the request for a node. A relay brings the news of its failure domain to
// the relays of others; every other node brings its own record only.
func (v *View) Ask(name world.NodeID) (req *wire.ExchangeRequest, index uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	req = &wire.ExchangeRequest{Node: v.self.GetNode(), TableVersion: v.self.GetTableVersion()}
	m := v.nodes[name]
	if m == nil {
		return req, 0
	}
	req.Since, req.SinceIncarnation = m.since, m.sinceIncarnation
	for _, r := range v.changedLocked(m.sent, name) {
		if r.GetNode() == v.self.GetNode() || m.record.GetDomain() != v.self.GetDomain() && r.GetDomain() == v.self.GetDomain() {
			req.Records = append(req.Records, r)
		}
	}
	return req, v.index
}

// Answered takes in the answer of a node to a request that held news up to an index.
func (v *View) Answered(name world.NodeID, reply *wire.ExchangeReply, index uint64) bool {
	v.mu.Lock()
	if m := v.nodes[name]; m != nil {
		m.failed = 0
		m.since, m.sinceIncarnation = reply.GetIndex(), reply.GetIncarnation()
		m.sent = max(m.sent, index)
	}
	v.mu.Unlock()
	return v.Take(reply.GetRecords())
}

// Failed notes that a node did not answer an exchange.
func (v *View) Failed(name world.NodeID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if m := v.nodes[name]; m != nil {
		m.failed = v.clock.Now()
	}
}

// Targets returns the nodes to exchange with: the relay of the own failure domain, and
// if this node is the relay, those of all others.
func (v *View) Targets() []world.NodeID {
	v.mu.Lock()
	defer v.mu.Unlock()
	self := world.NodeID(v.self.GetNode())
	own := v.relayLocked(v.self.GetDomain())
	if own != self {
		return []world.NodeID{own}
	}
	var targets []world.NodeID
	for _, domain := range v.domainsLocked() {
		if domain == v.self.GetDomain() {
			continue
		}
		if relay := v.relayLocked(domain); relay != "" {
			targets = append(targets, relay)
		}
	}
	return targets
}

// IsRelay reports whether this node is the relay of its failure domain.
func (v *View) IsRelay() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.relayLocked(v.self.GetDomain()) == world.NodeID(v.self.GetNode())
}

func (v *View) domainsLocked() []string {
	seen := map[string]bool{}
	var domains []string
	for _, m := range v.nodes {
		if d := m.record.GetDomain(); !seen[d] {
			seen[d] = true
			domains = append(domains, d)
		}
	}
	sort.Strings(domains)
	return domains
}

// relayLocked is the first node of a domain that has not just failed to answer. If all
// have, it is the one that failed first, since that one is due again.
func (v *View) relayLocked(domain string) world.NodeID {
	var best, fallback world.NodeID
	var failed time.Duration
	now := v.clock.Now()
	for name, m := range v.nodes {
		if m.record.GetDomain() != domain || m.record.GetStopping() && name != world.NodeID(v.self.GetNode()) {
			continue
		}
		if m.failed > 0 && now-m.failed < relayRetry*v.options.Period {
			if fallback == "" || m.failed < failed || m.failed == failed && name < fallback {
				fallback, failed = name, m.failed
			}
			continue
		}
		if best == "" || name < best {
			best = name
		}
	}
	if best == "" {
		return fallback
	}
	return best
}

// Node is a node with the age of what is known about it.
type Node struct {
	Record *wire.FleetRecord
	// IsSilent means that nothing was heard of the node for several exchanges, though
	// others were heard meanwhile.
	IsSilent bool
	Age      time.Duration
	IsListed bool
}

// Nodes returns all nodes, by name.
func (v *View) Nodes() []Node {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	nodes := make([]Node, 0, len(v.nodes))
	for name, m := range v.nodes {
		age := now - m.heard
		nodes = append(nodes, Node{
			Record:   m.record,
			Age:      age,
			IsSilent: name != world.NodeID(v.self.GetNode()) && age > silentAfter*v.options.Period,
			IsListed: m.listed,
		})
	}
	sort.Slice(nodes, func(i, j int) bool { return nodes[i].Record.GetNode() < nodes[j].Record.GetNode() })
	return nodes
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
	for name, m := range v.nodes {
		if name == world.NodeID(v.self.GetNode()) || now-m.heard < v.options.Forget {
			continue
		}
		if !m.listed {
			delete(v.nodes, name)
			continue
		}
		abandoned = append(abandoned, m.record)
	}
	sort.Slice(abandoned, func(i, j int) bool { return abandoned[i].GetNode() < abandoned[j].GetNode() })
	return abandoned
}
