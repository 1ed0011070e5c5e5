package mesh

import (
	"encoding/json"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"wagtailyoke/core/era"
	"wagtailyoke/core/event"
	"wagtailyoke/core/store"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// Entry is the entry of a node in the platform's store: how to reach the node. Data that changes often
// is exchanged between nodes instead.
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

// isSameExceptIncarnation reports whether two entries are equal apart from the incarnation. The stored
// incarnation need not be current: other nodes learn it from the node itself.
func (e Entry) isSameExceptIncarnation(want Entry) bool {
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

// ErrMalformedEntry means that an entry cannot be used.
var ErrMalformedEntry = errors.New("malformed node entry")

// DecodeEntry parses and validates an entry.
func DecodeEntry(name string, value []byte) (Entry, error) {
	var e Entry
	if err := json.Unmarshal(value, &e); err != nil {
		return e, errors.Wrapf(ErrMalformedEntry, "entry %q: %v", name, err)
	}
	switch {
	case e.Node != name:
		return e, errors.Wrapf(ErrMalformedEntry, "entry %q names node %q", name, e.Node)
	case e.Domain == "" || e.Service == "" || e.Peer == "":
		return e, errors.Wrapf(ErrMalformedEntry, "entry %q has no domain, service or peer", name)
	case e.Incarnation == 0 || e.Incarnation > maxIncarnation:
		return e, errors.Wrapf(ErrMalformedEntry, "entry %q has incarnation %d, expected 1 to %d", name, e.Incarnation, uint64(maxIncarnation))
	}
	host, port, err := net.SplitHostPort(e.Peer)
	if err != nil {
		return e, errors.Wrapf(ErrMalformedEntry, "entry %q: peer: %v", name, err)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || host == "" {
		return e, errors.Wrapf(ErrMalformedEntry, "entry %q has peer %q, expected a host and a port from 1 to 65535", name, e.Peer)
	}
	return e, nil
}

// maxIncarnation is far beyond the start time of any process in Unix milliseconds. A node raises its own
// incarnation above those that it finds, which must not overflow.
const maxIncarnation = 1 << 53

// announcer maintains the node's own entry in the platform's store.
type announcer struct {
	n *Node

	mu sync.Mutex
	// revision is the last revision of the own entry read from the store, with the number 0 if the store has none.
	revision era.Revision
	stored   Entry
	// revisions holds the revisions of all nodes' entries, previousRevisions those of the list
	// before if the latest list was stale.
	revisions, previousRevisions map[world.NodeID]era.Revision
	writing                      bool
	// listCount counts the lists that were read. canDetectMissing means that a node absent from
	// both lists is unlisted. hasReadOthers means that a list named other nodes, or that there are
	// none.
	listCount                       int
	canDetectMissing, hasReadOthers bool
}

// firstNodeWait is how long the first node of a deployment waits for others to announce themselves.
const firstNodeWait = 400 * time.Millisecond

// announceRetryInterval is the time between attempts to write the entry.
const announceRetryInterval = 300 * time.Millisecond

// handleList processes all entries. A stale list may lack new entries: an entry is missing only if the
// previous list lacked it as well.
func (a *announcer) handleList(objects []Object, consistency Consistency) {
	a.mu.Lock()
	a.canDetectMissing = consistency == ReadLatest || a.listCount > 0
	a.previousRevisions, a.revisions = a.revisions, map[world.NodeID]era.Revision{}
	if consistency == ReadLatest {
		a.previousRevisions = nil
	}
	a.listCount++
	isOnlyNode := a.listCount == 1
	a.mu.Unlock()
	var records []*wire.FleetRecord
	for _, o := range objects {
		if a.applySharedObject(o) {
			continue
		}
		if e, ok := a.applyEntry(o); ok {
			records = append(records, e.record())
			isOnlyNode = isOnlyNode && e.Node == string(a.n.Info.Name)
		}
	}
	a.n.view.SetListing(records)
	a.n.applyRecords()
	a.mu.Lock()
	if a.isUnlistedLocked(a.n.Info.Name) {
		a.revision, a.stored = era.Revision{}, Entry{}
	}
	a.mu.Unlock()
	a.write()
	if isOnlyNode {
		a.n.Clock.After(firstNodeWait, a.n.relistEntries)
		return
	}
	a.mu.Lock()
	a.hasReadOthers = true
	a.mu.Unlock()
}

func (a *announcer) handleChanges(objects []Object) {
	for _, o := range objects {
		a.handleChange(o)
	}
}

func (a *announcer) handleChange(o Object) {
	name := world.NodeID(o.Name)
	if a.applySharedObject(o) {
		return
	}
	if o.IsDeleted {
		a.mu.Lock()
		delete(a.revisions, name)
		delete(a.previousRevisions, name)
		if name == a.n.Info.Name && !a.revision.IsAfter(o.Revision) {
			a.revision, a.stored = era.Revision{}, Entry{}
		}
		a.mu.Unlock()
		a.n.view.UpdateListing(name, nil)
		a.write()
		return
	}
	if e, ok := a.applyEntry(o); ok {
		a.n.view.UpdateListing(name, e.record())
		a.n.applyRecords()
	}
	a.write()
}

// applySharedObject processes an object that all nodes share. It reports whether the object is one.
func (a *announcer) applySharedObject(o Object) bool {
	switch o.Name {
	case quarantineObjectName:
		a.n.quarantineStore.handleObject(o)
	case graphObjectName:
		a.n.graphStore.handleObject(o)
	default:
		return false
	}
	return true
}

// applyEntry records an entry. It returns false if the entry is malformed.
func (a *announcer) applyEntry(o Object) (Entry, bool) {
	e, err := DecodeEntry(o.Name, o.Value)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.revisions == nil {
		a.revisions = map[world.NodeID]era.Revision{}
	}
	a.revisions[world.NodeID(o.Name)] = o.Revision
	if world.NodeID(o.Name) == a.n.Info.Name && !a.revision.IsAfter(o.Revision) {
		a.revision, a.stored = o.Revision, e
	}
	if err != nil {
		a.n.Events.Log(event.EntryRejected, event.Field{Name: "error", Value: err.Error()})
		return e, false
	}
	return e, true
}

// write updates the own entry in the store.
func (a *announcer) write() {
	want := entryOf(a.n.view.Self())
	a.mu.Lock()
	if a.writing || a.stored.isSameExceptIncarnation(want) || a.n.IsStopping() {
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
		a.handleWriteResult(want, o, err)
	})
}

func (a *announcer) handleWriteResult(want Entry, o Object, err error) {
	a.mu.Lock()
	a.writing = false
	switch {
	case err == nil && !a.revision.IsAfter(o.Revision):
		a.revision, a.stored = o.Revision, want
	case errors.Is(err, store.ErrConflict) && o.Revision.Number > 0:
		a.revision = o.Revision
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrNotFound):
		// The entry was deleted or created in the meantime: create or replace it accordingly.
		a.revision = o.Revision
	}
	a.mu.Unlock()
	if err == nil {
		return
	}
	a.n.Events.Log(event.AnnounceFailed, event.Field{Name: "error", Value: err.Error()})
	a.n.Clock.After(announceRetryInterval, a.write)
}

// hasReadEntries reports whether the entries of the other nodes were read.
func (a *announcer) hasReadEntries() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.hasReadOthers
}

// isUnlisted reports whether the platform lists other nodes but not the given one. Only relays track
// the entries.
func (a *announcer) isUnlisted(node world.NodeID) bool {
	if !a.n.view.IsRelay() {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.isUnlistedLocked(node)
}

func (a *announcer) isUnlistedLocked(node world.NodeID) bool {
	_, isListed := a.revisions[node]
	_, wasListed := a.previousRevisions[node]
	return a.canDetectMissing && !isListed && !wasListed
}

// rewrite writes the own entry again because a relay found it missing.
func (a *announcer) rewrite() {
	a.mu.Lock()
	a.revision, a.stored = era.Revision{}, Entry{}
	a.mu.Unlock()
	a.write()
}

// deleteAbandonedEntries deletes the entries of nodes that have been gone for long. Entries of stopped
// nodes are kept until then, since most of them come back and find their entry unchanged. Only store
// watchers delete entries, and only while they reach more nodes than they delete: an isolated node
// must not mistake the others for gone.
func (n *Node) deleteAbandonedEntries() {
	abandoned := n.view.Sweep()
	if len(abandoned) == 0 || !n.view.IsStoreWatcher() {
		return
	}
	reachable := 0
	for _, node := range n.view.Nodes() {
		if !node.IsUnreachable {
			reachable++
		}
	}
	if reachable <= len(abandoned) {
		return
	}
	n.announcer.deleteEntries(abandoned)
}

func (a *announcer) deleteEntries(records []*wire.FleetRecord) {
	for _, r := range records {
		name := world.NodeID(r.GetNode())
		a.mu.Lock()
		revision := a.revisions[name]
		delete(a.revisions, name)
		a.mu.Unlock()
		if revision.Number == 0 {
			continue
		}
		a.n.Events.Log(event.EntryDropped, event.Field{Name: "peer", Value: name}, event.Field{Name: "revision", Value: revision})
		a.n.Store.Delete(KindNode, string(name), revision, func(era.Era, error) {})
	}
}
