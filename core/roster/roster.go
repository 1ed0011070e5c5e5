// Package roster keeps which nodes exist in which failure domain. The leader of a
// failure domain changes its own domain's part from heartbeats; all others learn
// the changes as deltas.
//
// # Usage
//
//	r := roster.New(clock, ownDomain)
//	r.Lead(epoch)               // on winning the term
//	r.Upsert(info)              // from a heartbeat
//	delta := r.Delta(mark)      // what a receiver with this mark lacks
//	r.Apply(delta)
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

// Times of the roster.
const (
	// GoneTimeout is the silence after which a leader takes a node off the roster.
	GoneTimeout = 1500 * time.Millisecond
	// ForgetAfter is how long a node that is gone stays listed as such.
	ForgetAfter = time.Minute
)

// Roster keeps the nodes of all failure domains.
type Roster struct {
	clock  timer.Service
	domain world.DomainID

	mu      sync.Mutex
	domains map[world.DomainID]*part
	// heard is when each node of the own domain last sent a heartbeat here.
	heard   map[world.NodeID]time.Duration
	changed uint64
}

type part struct {
	epoch   uint64
	version uint64
	entries map[world.NodeID]*wire.RosterEntry
}

// New returns an empty roster.
func New(clock timer.Service, domain world.DomainID) *Roster {
	return &Roster{
		clock:   clock,
		domain:  domain,
		domains: map[world.DomainID]*part{},
		heard:   map[world.NodeID]time.Duration{},
	}
}

func (r *Roster) part(domain world.DomainID) *part {
	p := r.domains[domain]
	if p == nil {
		p = &part{entries: map[world.NodeID]*wire.RosterEntry{}}
		r.domains[domain] = p
	}
	return p
}

// StartEpoch starts a new epoch of the own domain's part. Nodes known before stay
// listed until they are silent for GoneAfter.
func (r *Roster) StartEpoch(epoch world.Epoch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.part(r.domain)
	p.epoch = uint64(epoch)
	p.version = 1
	for node, e := range p.entries {
		e.Version = 1
		r.heard[node] = r.clock.Now()
	}
	r.changed++
}

// Upsert takes in a heartbeat of a node of the own domain.
func (r *Roster) Upsert(info *wire.NodeInfo) {
	r.mu.Lock()
	defer r.mu.Unlock()
	node := world.NodeID(info.GetName())
	p := r.part(r.domain)
	known := p.entries[node]
	if known != nil && known.Node.GetIncarnation() > info.GetIncarnation() {
		return
	}
	r.heard[node] = r.clock.Now()
	if known != nil && proto.Equal(known.Node, info) {
		return
	}
	r.setLocked(p, node, info)
}

func (r *Roster) setLocked(p *part, node world.NodeID, info *wire.NodeInfo) {
	p.version++
	p.entries[node] = &wire.RosterEntry{Node: info, Version: p.version}
	r.changed++
}

// Sweep marks silent nodes of the own domain as gone, and returns those that it
// forgets since they have been gone for ForgetAfter.
func (r *Roster) Sweep() []world.NodeID {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.part(r.domain)
	now := r.clock.Now()
	var forgotten []world.NodeID
	for _, node := range sortedNodes(p.entries) {
		e := p.entries[node]
		silent := now - r.heard[node]
		isGone := e.Node.GetState() == wire.NodeState_NODE_STATE_GONE
		switch {
		case !isGone && silent > GoneTimeout:
			gone := proto.Clone(e.Node).(*wire.NodeInfo)
			gone.State = wire.NodeState_NODE_STATE_GONE
			r.setLocked(p, node, gone)
		case isGone && silent > ForgetAfter:
			delete(p.entries, node)
			delete(r.heard, node)
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

// Marks returns how much of each failure domain's part is known here.
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

// Deltas returns what a receiver with the given marks lacks.
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

func (p *part) delta(domain world.DomainID, known *wire.RosterMark) *wire.RosterDelta {
	if p.epoch == 0 || known.GetEpoch() > p.epoch {
		return nil
	}
	isSameEpoch := known.GetEpoch() == p.epoch
	if isSameEpoch && known.GetVersion() >= p.version {
		return nil
	}
	d := &wire.RosterDelta{
		Mark: &wire.RosterMark{Domain: string(domain), Epoch: p.epoch, Version: p.version},
		Full: !isSameEpoch,
	}
	for _, node := range sortedNodes(p.entries) {
		e := p.entries[node]
		if d.Full || e.GetVersion() > known.GetVersion() {
			d.Entries = append(d.Entries, e)
		}
	}
	return d
}

// Apply takes in deltas and reports whether anything changed.
func (r *Roster) Apply(deltas []*wire.RosterDelta) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.changed
	for _, d := range deltas {
		r.applyLocked(d)
	}
	return r.changed != before
}

func (r *Roster) applyLocked(d *wire.RosterDelta) {
	p := r.part(world.DomainID(d.GetMark().GetDomain()))
	mark := d.GetMark()
	isNewer := mark.GetEpoch() > p.epoch || mark.GetEpoch() == p.epoch && mark.GetVersion() > p.version
	if !isNewer || !d.GetFull() && mark.GetEpoch() != p.epoch {
		return
	}
	if d.GetFull() {
		p.entries = map[world.NodeID]*wire.RosterEntry{}
	}
	for _, e := range d.GetEntries() {
		p.entries[world.NodeID(e.GetNode().GetName())] = e
	}
	p.epoch, p.version = mark.GetEpoch(), mark.GetVersion()
	r.changed++
}

// Version changes with each change of the roster.
func (r *Roster) Version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Nodes returns all listed nodes that are not gone, ordered by name.
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
