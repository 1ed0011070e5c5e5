// Package depart keeps which processes of upstreams have said that they leave. A node that has
// acknowledged this is bound by it, also after a restart: a late heartbeat must not bring the process back.
// The set is therefore spread to all nodes and kept in the platform's object store.
//
// # Usage
//
//	s := depart.NewSet(clock)
//	version := s.Add(depart.Process{Node: node, Instance: instance, StartedUnixMs: started})
//	if s.Has(process) { ... }                    // the process takes no more calls
//	list, version := s.Export(sent)              // changes for another node
//	changed := s.Merge(list)                     // at that node
//	value, err := depart.Encode(s.Snapshot(node, wall))
//
// A departure bars all processes of an instance up to a start time, so that a new process with the same
// instance ID gets calls again.
package depart

import (
	"cmp"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"wagtailyoke/core/timer"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

const (
	// TTL is how long a departure is kept after the upstream last stated it. Late heartbeats are seconds
	// old, and a node may be cut off or down for some minutes.
	TTL = 10 * time.Minute
	// minExtension is the least extension of an expiry that counts as a change. A smaller one would only
	// reflect the delay between nodes, or a repeated statement.
	minExtension = TTL / 4
	// maxDepartures bounds the set. It covers two releases of a fleet of 1,900 upstreams within TTL.
	maxDepartures = 4096
	// maxStoredPerNode bounds the departures of one node in the object store.
	maxStoredPerNode = 32
)

// Process identifies a process of an upstream.
type Process struct {
	// Node is the node beside the upstream.
	Node     world.NodeID
	Instance world.InstanceID
	// StartedUnixMs is the start of the process, in Unix milliseconds.
	StartedUnixMs int64
}

// key identifies the processes that one departure covers.
type key struct {
	node     world.NodeID
	instance world.InstanceID
}

type departure struct {
	// startedUnixMs is the start of the newest process that has left.
	startedUnixMs int64
	expiry        time.Duration
	// version is the set's version at the last change of this departure.
	version uint64
}

// Set is a set of departures.
type Set struct {
	clock timer.Service

	mu      sync.Mutex
	entries map[key]*departure
	version uint64
}

// NewSet returns an empty set.
func NewSet(clock timer.Service) *Set {
	return &Set{clock: clock, entries: map[key]*departure{}, version: 1}
}

// Add records that a process leaves. It returns the version of the set from which the departure is in it.
func (s *Set) Add(p Process) (version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addLocked(p, TTL)
	return s.entries[key{p.Node, p.Instance}].version
}

func (s *Set) addLocked(p Process, remaining time.Duration) (changed bool) {
	k, expiry := key{p.Node, p.Instance}, s.clock.Now()+min(remaining, TTL)
	d := s.lookupLocked(k)
	if d == nil {
		s.evictLocked()
		d = &departure{}
		s.entries[k] = d
	} else if p.StartedUnixMs <= d.startedUnixMs && expiry < d.expiry+minExtension {
		return false
	}
	d.startedUnixMs, d.expiry = max(d.startedUnixMs, p.StartedUnixMs), max(d.expiry, expiry)
	s.version++
	d.version = s.version
	return true
}

// lookupLocked returns a departure, nil if there is none or it has expired.
func (s *Set) lookupLocked(k key) *departure {
	d := s.entries[k]
	if d != nil && s.clock.Now() >= d.expiry {
		delete(s.entries, k)
		return nil
	}
	return d
}

// evictLocked makes room for a departure: it deletes those that have expired or, if there are none, a
// quarter of the set, the first to expire.
func (s *Set) evictLocked() {
	if len(s.entries) < maxDepartures {
		return
	}
	keys := make([]key, 0, len(s.entries))
	for k := range s.entries {
		if s.lookupLocked(k) != nil {
			keys = append(keys, k)
		}
	}
	if len(keys) < maxDepartures {
		return
	}
	slices.SortFunc(keys, func(a, b key) int {
		return cmp.Or(cmp.Compare(s.entries[a].expiry, s.entries[b].expiry), compareKeys(a, b))
	})
	for _, k := range keys[:len(keys)/4] {
		delete(s.entries, k)
	}
}

func compareKeys(a, b key) int {
	return cmp.Or(cmp.Compare(a.node, b.node), cmp.Compare(a.instance, b.instance))
}

// Has reports whether a process has left.
func (s *Set) Has(p Process) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.lookupLocked(key{p.Node, p.Instance})
	return d != nil && p.StartedUnixMs <= d.startedUnixMs
}

// Nodes returns the nodes beside upstreams that have left.
func (s *Set) Nodes() []world.NodeID {
	s.mu.Lock()
	defer s.mu.Unlock()
	nodes := []world.NodeID{}
	for _, k := range s.sortedLocked(func(key, *departure) bool { return true }) {
		nodes = append(nodes, k.node)
	}
	return slices.Compact(nodes)
}

// Version rises with each change.
func (s *Set) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// sortedLocked returns the keys of the departures that match and have not expired.
func (s *Set) sortedLocked(matches func(key, *departure) bool) []key {
	var keys []key
	now := s.clock.Now()
	for k, d := range s.entries {
		if now < d.expiry && matches(k, d) {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}

// Export returns the departures that have changed since a version, 0 for all, and the current version,
// which is never 0.
func (s *Set) Export(since uint64) ([]*wire.Departure, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if since >= s.version {
		return nil, s.version
	}
	var list []*wire.Departure
	for _, k := range s.sortedLocked(func(_ key, d *departure) bool { return d.version > since }) {
		d := s.entries[k]
		list = append(list, &wire.Departure{
			Node: string(k.node), Instance: string(k.instance), BornUnixMs: d.startedUnixMs,
			RemainingMs: (d.expiry - s.clock.Now()).Milliseconds(),
		})
	}
	return list, s.version
}

// Merge adds departures of another node. It reports whether one of them changed the set.
func (s *Set) Merge(list []*wire.Departure) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range list {
		if d.GetNode() == "" || d.GetInstance() == "" || d.GetRemainingMs() <= 0 {
			continue
		}
		p := Process{Node: world.NodeID(d.GetNode()), Instance: world.InstanceID(d.GetInstance()), StartedUnixMs: d.GetBornUnixMs()}
		changed = s.addLocked(p, time.Duration(d.GetRemainingMs())*time.Millisecond) || changed
	}
	return changed
}

// Stored is a departure as the object store holds it, in an object for each node.
type Stored struct {
	Instance      string `json:"instance"`
	StartedUnixMs int64  `json:"startedUnixMs"`
	// UntilUnixMs is the wall-clock time until which the departure is kept.
	UntilUnixMs int64 `json:"untilUnixMs"`
}

// Snapshot returns the departures of one node for the object store, the latest ones if there are too many.
// wall is the current wall-clock time.
func (s *Set) Snapshot(node world.NodeID, wall time.Time) []Stored {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []Stored{}
	now := s.clock.Now()
	for _, k := range s.sortedLocked(func(k key, _ *departure) bool { return k.node == node }) {
		d := s.entries[k]
		list = append(list, Stored{Instance: string(k.instance), StartedUnixMs: d.startedUnixMs, UntilUnixMs: wall.Add(d.expiry - now).UnixMilli()})
	}
	if excess := len(list) - maxStoredPerNode; excess > 0 {
		slices.SortStableFunc(list, func(a, b Stored) int { return cmp.Compare(a.UntilUnixMs, b.UntilUnixMs) })
		list = list[excess:]
	}
	return list
}

// Restore adds the stored departures of a node. It reports whether one of them changed the set.
func (s *Set) Restore(node world.NodeID, list []Stored, wall time.Time) (changed bool) {
	departures := make([]*wire.Departure, 0, len(list))
	for _, d := range list {
		departures = append(departures, &wire.Departure{
			Node: string(node), Instance: d.Instance, BornUnixMs: d.StartedUnixMs, RemainingMs: d.UntilUnixMs - wall.UnixMilli(),
		})
	}
	return s.Merge(departures)
}

// HasAll reports whether stored departures include all of a node's that the set holds.
func (s *Set) HasAll(node world.NodeID, stored []Stored, wall time.Time) bool {
	for _, want := range s.Snapshot(node, wall) {
		isStored := func(have Stored) bool {
			return have.Instance == want.Instance && have.StartedUnixMs >= want.StartedUnixMs &&
				have.UntilUnixMs > want.UntilUnixMs-(TTL/2).Milliseconds()
		}
		if !slices.ContainsFunc(stored, isStored) {
			return false
		}
	}
	return true
}

// AreExpired reports whether no stored departure is kept any longer.
func AreExpired(list []Stored, wall time.Time) bool {
	return !slices.ContainsFunc(list, func(d Stored) bool { return d.UntilUnixMs > wall.UnixMilli() })
}

// ErrMalformed means that stored departures cannot be decoded.
var ErrMalformed = errors.New("stored departures are malformed")

// Encode encodes departures for the object store.
func Encode(list []Stored) ([]byte, error) {
	value, err := json.Marshal(list)
	return value, errors.Wrap(err, "departures")
}

// Decode decodes what Encode wrote.
func Decode(value []byte) ([]Stored, error) {
	var list []Stored
	if err := json.Unmarshal(value, &list); err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	return list, nil
}
