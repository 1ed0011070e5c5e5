package mesh

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"wagtailyoke/core/event"
	"wagtailyoke/core/fleet"
	"wagtailyoke/core/wire"
)

// graphObjectName is the name of the object that holds the call graph. A starting node reads it
// together with the entries.
const graphObjectName = "graph"

const (
	// graphSettleTime is how long the graph must be unchanged before it is stored.
	graphSettleTime = 2 * time.Second
	// graphWriteInterval is the minimum time between two writes, including failed ones.
	graphWriteInterval = 10 * time.Second
	// maxStoredEdges bounds the calls that are read from the store.
	maxStoredEdges = 4096
)

// graphStore persists the call graph in the platform's store, for a loss of all nodes under load: until
// the graph is learned again, entry nodes do not know which services their requests reach, and the
// services accept calls of requests that were not counted in the demand for other services.
type graphStore struct {
	sharedObject[[]*wire.CallEdge]

	// lastEdges is the graph at the last check, unchangedSince when it last changed.
	lastEdges      []*wire.CallEdge
	unchangedSince time.Duration
}

func newGraphStore(n *Node) *graphStore {
	return &graphStore{sharedObject: sharedObject[[]*wire.CallEdge]{n: n, kind: KindNode, name: graphObjectName, encode: EncodeGraph, decode: DecodeGraph}}
}

// storedEdge is a call of the graph as encoded in the store.
type storedEdge struct {
	Route string `json:"route"`
	Child string `json:"child"`
}

// ErrMalformedGraph means that the stored call graph cannot be used.
var ErrMalformedGraph = errors.New("malformed stored call graph")

// DecodeGraph parses and validates a stored call graph.
func DecodeGraph(value []byte) ([]*wire.CallEdge, error) {
	var stored struct {
		Edges []storedEdge `json:"edges"`
	}
	if err := json.Unmarshal(value, &stored); err != nil {
		return nil, errors.Wrap(ErrMalformedGraph, err.Error())
	}
	if len(stored.Edges) > maxStoredEdges {
		return nil, errors.Wrapf(ErrMalformedGraph, "%d calls, the limit is %d", len(stored.Edges), maxStoredEdges)
	}
	var edges []*wire.CallEdge
	for _, e := range stored.Edges {
		if e.Route == "" || e.Child == "" {
			return nil, errors.Wrap(ErrMalformedGraph, "a call has no route or no child")
		}
		edges = append(edges, &wire.CallEdge{Route: e.Route, Child: e.Child})
	}
	return edges, nil
}

// EncodeGraph encodes the call graph for the store.
func EncodeGraph(edges []*wire.CallEdge) ([]byte, error) {
	stored := make([]storedEdge, 0, len(edges))
	for _, e := range edges {
		stored = append(stored, storedEdge{Route: e.GetRoute(), Child: e.GetChild()})
	}
	return json.Marshal(map[string][]storedEdge{"edges": stored})
}

// handleObject processes the object as read from the store. A malformed object is written again.
func (s *graphStore) handleObject(o Object) {
	stored, isNewest := s.updateStored(o)
	if !isNewest {
		return
	}
	if len(s.n.view.Edges()) == 0 {
		s.n.view.SetEdges(stored)
	}
}

// storedEdges returns the calls that the store held when they were last read. They remain plausible if the store has
// come back from a copy since.
func (s *graphStore) storedEdges() []*wire.CallEdge {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stored
}

// allowWrite ends the pause after the last write, whose result may be lost.
func (s *graphStore) allowWrite() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextWriteAt = 0
}

// persistIfSettled writes the graph, at the first relay, once it has been unchanged for some time.
func (s *graphStore) persistIfSettled() {
	edges, now := s.n.view.Edges(), s.n.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !fleet.IsSameGraph(edges, s.lastEdges) {
		s.lastEdges, s.unchangedSince = edges, now
	}
	isSettled := len(edges) > 0 && now-s.unchangedSince >= graphSettleTime
	if _, stored := s.knownLocked(); !isSettled || !s.canWriteLocked() || fleet.IsSameGraph(edges, stored) || !s.n.view.IsStoreWriter() {
		return
	}
	s.writing, s.nextWriteAt = true, now+graphWriteInterval
	s.n.Clock.After(0, func() { s.write(edges, s.afterWrite) })
}

func (s *graphStore) afterWrite(conflicting *Object, err error) {
	switch {
	case conflicting != nil:
		s.handleObject(*conflicting)
	case err != nil:
		s.n.Events.Log(event.GraphNotStored, event.Field{Name: "error", Value: err.Error()})
	}
}
