// Package roster tracks which nodes exist in each failure domain. The leader of a
// failure domain updates the entries of its own domain from heartbeats; all other nodes
// receive the changes as deltas.
//
// # Usage
//
//	r := roster.New(clock, ownDomain)
//	r.StartEpoch(epoch)         // when this node becomes leader
//	r.Upsert(info)              // from a heartbeat
//	deltas := r.Deltas(marks)   // changes that a receiver with these marks lacks
//	r.Apply(deltas)             // at the receiver
package roster

import (
	"sort"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"wagtailyoke/core/timer"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// Timeouts of roster entries.
const (
	// GoneTimeout is the time without a heartbeat after which a leader marks a node as gone.
	GoneTimeout = 1500 * time.Millisecond
	// ForgetAfter is the time without a heartbeat after which a node that is marked as
	// gone is removed.
	ForgetAfter = time.Minute
)

// Roster holds the nodes of all failure domains.
type Roster struct {
	clock  timer.Service
	domain world.DomainID

	mu      sync.Mutex
	domains map[world.DomainID]*domainRoster
	// lastHeartbeat is when this node last received a heartbeat from each node of its
	// own domain.
	lastHeartbeat map[world.NodeID]time.Duration
	changeCount   uint64
}

type domainRoster struct {
	epoch   uint64
	version uint64
	entries map[world.NodeID]*wire.RosterEntry
}

// New returns an empty roster.
func New(clock timer.Service, domain world.DomainID) *Roster {
	return &Roster{
		clock:         clock,
		domain:        domain,
		domains:       map[world.DomainID]*domainRoster{},
		lastHeartbeat: map[world.NodeID]time.Duration{},
	}
}

func (r *Roster) forDomain(domain world.DomainID) *domainRoster {
	p := r.domains[domain]
	if p == nil {
		p = &domainRoster{entries: map[world.NodeID]*wire.RosterEntry{}}
		r.domains[domain] = p
	}
	return p
}

// StartEpoch starts a new epoch of the own domain's entries. Known nodes stay listed
// until no heartbeat has arrived for GoneTimeout.
func (r *Roster) StartEpoch(epoch world.Epoch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.forDomain(r.domain)
	p.epoch = uint64(epoch)
	p.version = 1
	for node, e := range p.entries {
		e.Version = 1
		r.lastHeartbeat[node] = r.clock.Now()
	}
	r.changeCount++
}

// Upsert updates the entry of a node of the own domain from its heartbeat. It ignores
// heartbeats of an earlier incarnation.
func (r *Roster) Upsert(info *wire.NodeInfo) {
	r.mu.Lock()
	defer r.mu.Unlock()
	node := world.NodeID(info.GetName())
	p := r.forDomain(r.domain)
	known := p.entries[node]
	if known != nil && known.Node.GetIncarnation() > info.GetIncarnation() {
		return
	}
	r.lastHeartbeat[node] = r.clock.Now()
	if known != nil && proto.Equal(known.Node, info) {
		return
	}
	r.setLocked(p, node, info)
}

func (r *Roster) setLocked(p *domainRoster, node world.NodeID, info *wire.NodeInfo) {
	p.version++
	p.entries[node] = &wire.RosterEntry{Node: info, Version: p.version}
	r.changeCount++
}

// Sweep marks nodes of the own domain as gone after GoneTimeout without a heartbeat. It
// removes gone nodes after ForgetAfter without a heartbeat and returns these.
func (r *Roster) Sweep() []world.NodeID {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.forDomain(r.domain)
	now := r.clock.Now()
	var forgotten []world.NodeID
	for _, node := range sortedNodes(p.entries) {
		e := p.entries[node]
		sinceHeartbeat := now - r.lastHeartbeat[node]
		isGone := e.Node.GetState() == wire.NodeState_NODE_STATE_GONE
		switch {
		case !isGone && sinceHeartbeat > GoneTimeout:
			gone := proto.Clone(e.Node).(*wire.NodeInfo)
			gone.State = wire.NodeState_NODE_STATE_GONE
			r.setLocked(p, node, gone)
		case isGone && sinceHeartbeat > ForgetAfter:
			delete(p.entries, node)
			delete(r.lastHeartbeat, node)
			forgotten = append(forgotten, node)
		}
	}
	return forgotten
}

func sortedNodes(entries map[world.NodeID]*wire.RosterEntry) []world.NodeID {
	nodes := make([]world.NodeID, 0, len(entries))
	for node := range entries {
		nodes = append(nodes, node)
	}
	sort.Slice(nodes, func(i, j int) bool { return nodes[i] < nodes[j] })
	return nodes
}

// Marks returns the epoch and version of each failure domain's entries at this node.
func (r *Roster) Marks() []*wire.RosterMark {
	r.mu.Lock()
	defer r.mu.Unlock()
	marks := make([]*wire.RosterMark, 0, len(r.domains))
	for domain, p := range r.domains {
		marks = append(marks, &wire.RosterMark{Domain: string(domain), Epoch: p.epoch, Version: p.version})
	}
	sort.Slice(marks, func(i, j int) bool { return marks[i].Domain < marks[j].Domain })
	return marks
}

// Deltas returns the changes that a receiver with the given marks lacks.
func (r *Roster) Deltas(marks []*wire.RosterMark) []*wire.RosterDelta {
	known := make(map[world.DomainID]*wire.RosterMark, len(marks))
	for _, m := range marks {
		known[world.DomainID(m.GetDomain())] = m
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var deltas []*wire.RosterDelta
	for domain, p := range r.domains {
		if d := p.delta(domain, known[domain]); d != nil {
			deltas = append(deltas, d)
		}
	}
	sort.Slice(deltas, func(i, j int) bool { return deltas[i].Mark.Domain < deltas[j].Mark.Domain })
	return deltas
}

func (p *domainRoster) delta(domain world.DomainID, knownMark *wire.RosterMark) *wire.RosterDelta {
	if p.epoch == 0 || knownMark.GetEpoch() > p.epoch {
		return nil
	}
	sameEpoch := knownMark.GetEpoch() == p.epoch
	if sameEpoch && knownMark.GetVersion() >= p.version {
		return nil
	}
	d := &wire.RosterDelta{
		Mark: &wire.RosterMark{Domain: string(domain), Epoch: p.epoch, Version: p.version},
		Full: !sameEpoch,
	}
	for _, node := range sortedNodes(p.entries) {
		e := p.entries[node]
		if d.Full || e.GetVersion() > knownMark.GetVersion() {
			d.Entries = append(d.Entries, e)
		}
	}
	return d
}

// Apply applies deltas from another node and reports whether anything changed.
func (r *Roster) Apply(deltas []*wire.RosterDelta) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.changeCount
	for _, d := range deltas {
		r.applyLocked(d)
	}
	return r.changeCount != before
}

func (r *Roster) applyLocked(d *wire.RosterDelta) {
	p := r.forDomain(world.DomainID(d.GetMark().GetDomain()))
	mark := d.GetMark()
	newer := mark.GetEpoch() > p.epoch || mark.GetEpoch() == p.epoch && mark.GetVersion() > p.version
	if !newer || !d.GetFull() && mark.GetEpoch() != p.epoch {
		return
	}
	if d.GetFull() {
		p.entries = map[world.NodeID]*wire.RosterEntry{}
	}
	for _, e := range d.GetEntries() {
		p.entries[world.NodeID(e.GetNode().GetName())] = e
	}
	p.epoch, p.version = mark.GetEpoch(), mark.GetVersion()
	r.changeCount++
}

// Version returns a number that increases with each change of the roster.
func (r *Roster) Version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changeCount
}

// Nodes returns all nodes that are not marked as gone, sorted by name.
func (r *Roster) Nodes() []*wire.NodeInfo {
	r.mu.Lock()
	defer r.mu.Unlock()
	var nodes []*wire.NodeInfo
	for _, p := range r.domains {
		for _, e := range p.entries {
			if e.GetNode().GetState() != wire.NodeState_NODE_STATE_GONE {
				nodes = append(nodes, e.GetNode())
			}
		}
	}
	sort.Slice(nodes, func(i, j int) bool { return nodes[i].Name < nodes[j].Name })
	return nodes
}
