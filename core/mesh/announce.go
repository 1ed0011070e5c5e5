package mesh

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"wagtailyoke/core/event"
	"wagtailyoke/core/store"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// Entry is what the platform holds of a node: where to find it. What changes often goes
// from node to node.
type Entry struct {
	Node        string `json:"node"`
	Domain      string `json:"domain"`
	Service     string `json:"service"`
	Peer        string `json:"peer"`
	Incarnation uint64 `json:"incarnation"`
}

func entryOf(r *wire.FleetRecord) Entry {
	return Entry{
		Node:        r.GetNode(),
		Domain:      r.GetDomain(),
		Service:     r.GetService(),
		Peer:        r.GetPeerAddress(),
		Incarnation: r.GetIncarnation(),
	}
}

// leadsTo reports whether the entry says where to find a node. Which process of it is the newest is
// not asked: the others hear that from itself.
func (e Entry) leadsTo(want Entry) bool {
	e.Incarnation = want.Incarnation
	return e == want
}

func (e Entry) record() *wire.FleetRecord {
	return &wire.FleetRecord{
		Node:        e.Node,
		Domain:      e.Domain,
		Service:     e.Service,
		PeerAddress: e.Peer,
		Incarnation: e.Incarnation,
	}
}

// ErrEntry means that an entry cannot be used.
var ErrEntry = errors.New("entry of a node is malformed")

// DecodeEntry reads an entry.
func DecodeEntry(name string, value []byte) (Entry, error) {
	var e Entry
	if err := json.Unmarshal(value, &e); err != nil {
		return e, errors.Wrapf(ErrEntry, "entry %q: %v", name, err)
	}
	switch {
	case e.Node != name:
		return e, errors.Wrapf(ErrEntry, "entry %q names node %q", name, e.Node)
	case e.Domain == "" || e.Service == "" || e.Peer == "":
		return e, errors.Wrapf(ErrEntry, "entry %q lacks domain, service or peer", name)
	case e.Incarnation == 0:
		return e, errors.Wrapf(ErrEntry, "entry %q has no incarnation", name)
	}
	return e, nil
}

// announcer keeps the node's own entry in the platform's store.
type announcer struct {
	n *Node

	mu sync.Mutex
	// revision is of the own entry as the store was last seen to hold it, 0 if it holds none.
	revision uint64
	held     Entry
	// revisions are of the entries of all nodes, earlier those of the list before a cheap one.
	revisions, earlier map[world.NodeID]uint64
	writing            bool
	// lists counts the lists that were read. isSure means that what they lack is missing, knowsOthers
	// that one named others, or that there are none.
	lists               int
	isSure, knowsOthers bool
}

// aloneTime is how long the first node of a deployment waits for others to announce themselves.
const aloneTime = 400 * time.Millisecond

// announceRetry is the time between tries to write the entry.
const announceRetry = 300 * time.Millisecond

// listed takes in all entries. A cheap list may lack what is new, so that an entry is missing only if
// the list before did not hold it either.
func (a *announcer) listed(objects []Object, reading Consistency) {
	a.mu.Lock()
	a.isSure = reading == ReadLatest || a.lists > 0
	a.earlier, a.revisions = a.revisions, map[world.NodeID]uint64{}
	if reading == ReadLatest {
		a.earlier = nil
	}
	a.lists++
	isAlone := a.lists == 1
	a.mu.Unlock()
	var records []*wire.FleetRecord
	for _, o := range objects {
		if a.isShared(o) {
			continue
		}
		if e, ok := a.read(o); ok {
			records = append(records, e.record())
			isAlone = isAlone && e.Node == string(a.n.Info.Name)
		}
	}
	a.n.view.SetListing(records)
	a.n.useRecords()
	a.mu.Lock()
	if a.missesLocked(a.n.Info.Name) {
		a.revision, a.held = 0, Entry{}
	}
	a.mu.Unlock()
	a.write()
	if isAlone {
		a.n.Clock.After(aloneTime, a.n.relistNodes)
		return
	}
	a.mu.Lock()
	a.knowsOthers = true
	a.mu.Unlock()
}

func (a *announcer) changed(o Object) {
	name := world.NodeID(o.Name)
	if a.isShared(o) {
		return
	}
	if o.IsDeleted {
		a.mu.Lock()
		delete(a.revisions, name)
		delete(a.earlier, name)
		if name == a.n.Info.Name && o.Revision >= a.revision {
			a.revision, a.held = 0, Entry{}
		}
		a.mu.Unlock()
		a.n.view.UpdateListing(name, nil)
		a.write()
		return
	}
	if e, ok := a.read(o); ok {
		a.n.view.UpdateListing(name, e.record())
		a.n.useRecords()
	}
	a.write()
}

// isShared takes in an object that is no entry but of all nodes. It reports whether it is one.
func (a *announcer) isShared(o Object) bool {
	switch o.Name {
	case quarantineName:
		a.n.keeper.take(o)
	case graphName:
		a.n.recall.take(o)
	default:
		return false
	}
	return true
}

// read takes in an entry. One that is malformed names no node.
func (a *announcer) read(o Object) (Entry, bool) {
	e, err := DecodeEntry(o.Name, o.Value)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.revisions == nil {
		a.revisions = map[world.NodeID]uint64{}
	}
	a.revisions[world.NodeID(o.Name)] = o.Revision
	if world.NodeID(o.Name) == a.n.Info.Name && o.Revision >= a.revision {
		a.revision, a.held = o.Revision, e
	}
	if err != nil {
		a.n.Events.Log(event.EntryRejected, event.Field{Name: "error", Value: err.Error()})
		return e, false
	}
	return e, true
}

// write brings the own entry up to date.
func (a *announcer) write() {
	want := entryOf(a.n.view.Self())
	a.mu.Lock()
	if a.writing || a.held.leadsTo(want) || a.n.IsStopping() {
		a.mu.Unlock()
		return
	}
	a.writing = true
	revision := a.revision
	a.mu.Unlock()
	value, err := json.Marshal(want)
	if err != nil {
		a.n.Events.Log(event.AnnounceFailed, event.Field{Name: "error", Value: err.Error()})
		return
	}
	a.n.Store.Put(KindNode, want.Node, revision, value, func(o Object, err error) {
		a.wrote(want, o, err)
	})
}

func (a *announcer) wrote(want Entry, o Object, err error) {
	a.mu.Lock()
	a.writing = false
	switch {
	case err == nil && o.Revision >= a.revision:
		a.revision, a.held = o.Revision, want
	case errors.Is(err, store.ErrConflict) && o.Revision > 0:
		a.revision = o.Revision
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrNotFound):
		// The entry was deleted or created meanwhile: try the other way round.
		a.revision = o.Revision
	}
	a.mu.Unlock()
	if err == nil {
		return
	}
	a.n.Events.Log(event.AnnounceFailed, event.Field{Name: "error", Value: err.Error()})
	a.n.Clock.After(announceRetry, a.write)
}

// hasRead reports whether the entries of the other nodes were read.
func (a *announcer) hasRead() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.knowsOthers
}

// misses reports whether the platform lists other nodes but not this one. Only a relay keeps up
// with the entries.
func (a *announcer) misses(node world.NodeID) bool {
	if !a.n.view.IsRelay() {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.missesLocked(node)
}

func (a *announcer) missesLocked(node world.NodeID) bool {
	_, isListed := a.revisions[node]
	_, wasListed := a.earlier[node]
	return a.isSure && !isListed && !wasListed
}

// rewrite writes the own entry again, since another node does not find it.
func (a *announcer) rewrite() {
	a.mu.Lock()
	a.revision, a.held = 0, Entry{}
	a.mu.Unlock()
	a.write()
}

// sweep deletes the entries of nodes that are gone, those that have stopped too: most of them come
// back and find their entry as it was. Relays that follow the store do it, and only while they
// hear of others: a node that is cut off must not take the rest for gone.
func (n *Node) sweep() {
	abandoned := n.view.Sweep()
	if len(abandoned) == 0 || !n.view.IsStoreWatcher() || n.entry == nil {
		return
	}
	heard := 0
	for _, node := range n.view.Nodes() {
		if !node.IsUnreachable {
			heard++
		}
	}
	if heard <= len(abandoned) {
		return
	}
	n.entry.drop(abandoned)
}

func (a *announcer) drop(records []*wire.FleetRecord) {
	for _, r := range records {
		name := world.NodeID(r.GetNode())
		a.mu.Lock()
		revision := a.revisions[name]
		delete(a.revisions, name)
		a.mu.Unlock()
		if revision == 0 {
			continue
		}
		a.n.Events.Log(event.EntryDropped, event.Field{Name: "peer", Value: name}, event.Field{Name: "revision", Value: revision})
		a.n.Store.Delete(KindNode, string(name), revision, func(error) {})
	}
}
