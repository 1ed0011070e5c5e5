package mesh

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"wagtailyoke/core/event"
	"wagtailyoke/core/store"
	"wagtailyoke/core/wire"
)

// graphName is the name of the object that holds the call graph. It lies among the entries of the
// nodes, so that a node that starts reads it with them.
const graphName = "graph"

const (
	// graphStable is how long the graph must have stayed the same to be kept.
	graphStable = 2 * time.Second
	// graphPause is the least time between two writes, also after one that failed.
	graphPause = 10 * time.Second
	// mostKeptEdges bounds the calls that are read from the store.
	mostKeptEdges = 4096
)

// recall keeps the call graph in the platform's store. It answers a loss of all nodes under load:
// until the graph is learned again, entries do not know which services their requests reach, and
// the services take calls of requests that were not counted for the need of others.
type recall struct {
	n *Node

	mu sync.Mutex
	// revision is of the object as it was last seen, 0 if there is none, held what is in it.
	revision uint64
	held     []*wire.CallEdge
	// seen is the graph at the last look, since when it is the same.
	seen    []*wire.CallEdge
	since   time.Duration
	dueAt   time.Duration
	writing bool
}

// keptEdge is a call of the graph as the store holds it.
type keptEdge struct {
	Route string `json:"route"`
	Child string `json:"child"`
}

// ErrGraph means that the kept call graph cannot be used.
var ErrGraph = errors.New("kept call graph is malformed")

// DecodeGraph reads the call graph as the store holds it.
func DecodeGraph(value []byte) ([]*wire.CallEdge, error) {
	var kept struct {
		Edges []keptEdge `json:"edges"`
	}
	if err := json.Unmarshal(value, &kept); err != nil {
		return nil, errors.Wrap(ErrGraph, err.Error())
	}
	if len(kept.Edges) > mostKeptEdges {
		return nil, errors.Wrapf(ErrGraph, "%d calls, the most is %d", len(kept.Edges), mostKeptEdges)
	}
	var edges []*wire.CallEdge
	for _, e := range kept.Edges {
		if e.Route == "" || e.Child == "" {
			return nil, errors.Wrap(ErrGraph, "a call lacks its route or child")
		}
		edges = append(edges, &wire.CallEdge{Route: e.Route, Child: e.Child})
	}
	return edges, nil
}

// EncodeGraph writes the call graph for the store.
func EncodeGraph(edges []*wire.CallEdge) ([]byte, error) {
	kept := make([]keptEdge, 0, len(edges))
	for _, e := range edges {
		kept = append(kept, keptEdge{Route: e.GetRoute(), Child: e.GetChild()})
	}
	return json.Marshal(map[string][]keptEdge{"edges": kept})
}

// take takes in the object as the store holds it. One that is malformed is written anew.
func (r *recall) take(o Object) {
	var held []*wire.CallEdge
	if !o.IsDeleted {
		var err error
		if held, err = DecodeGraph(o.Value); err != nil {
			r.n.Events.Log(event.EntryRejected, event.Field{Name: "error", Value: errors.Wrapf(err, "object %q", o.Name).Error()})
		}
	}
	r.mu.Lock()
	if o.Revision < r.revision {
		r.mu.Unlock()
		return
	}
	r.revision, r.held = o.Revision, held
	if o.IsDeleted {
		r.revision = 0
	}
	r.mu.Unlock()
	if len(r.n.view.Edges()) == 0 {
		r.n.view.SetEdges(held)
	}
}

// edges returns the kept calls.
func (r *recall) edges() []*wire.CallEdge {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held
}

// keep writes the graph, at the first relay, once it has stayed the same for a while.
func (r *recall) keep() {
	edges, now := r.n.view.Edges(), r.n.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.EqualFunc(edges, r.seen, isSameEdge) {
		r.seen, r.since = edges, now
	}
	isSettled := len(edges) > 0 && now-r.since >= graphStable
	if !isSettled || r.writing || now < r.dueAt || slices.EqualFunc(edges, r.held, isSameEdge) || !r.n.view.IsFirst() {
		return
	}
	r.writing, r.dueAt = true, now+graphPause
	revision := r.revision
	r.n.Clock.After(0, func() { r.write(edges, revision) })
}

func isSameEdge(a, b *wire.CallEdge) bool {
	return a.GetRoute() == b.GetRoute() && a.GetChild() == b.GetChild()
}

func (r *recall) write(edges []*wire.CallEdge, revision uint64) {
	value, err := EncodeGraph(edges)
	if err != nil {
		r.wrote(edges, Object{}, err)
		return
	}
	r.n.Objects.Put(KindNode, graphName, revision, value, func(o Object, err error) { r.wrote(edges, o, err) })
}

func (r *recall) wrote(edges []*wire.CallEdge, o Object, err error) {
	r.mu.Lock()
	r.writing = false
	switch {
	case err == nil && o.Revision >= r.revision:
		r.revision, r.held = o.Revision, edges
	case errors.Is(err, store.ErrNotFound):
		r.revision = 0
	}
	r.mu.Unlock()
	if errors.Is(err, store.ErrConflict) && o.Revision > 0 {
		r.take(o)
		return
	}
	if err != nil {
		r.n.Events.Log(event.GraphNotKept, event.Field{Name: "error", Value: err.Error()})
	}
}
