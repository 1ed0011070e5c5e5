package mesh

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"wagtailyoke/core/event"
	"wagtailyoke/core/fleet"
	"wagtailyoke/core/wire"
)

// graphName is the name of the object that holds the call graph. A node that starts reads it with the
// entries.
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
	common[[]*wire.CallEdge]

	// seen is the graph at the last look, since when it is the same.
	seen  []*wire.CallEdge
	since time.Duration
}

func newRecall(n *Node) *recall {
	return &recall{common: common[[]*wire.CallEdge]{n: n, name: graphName, encode: EncodeGraph, decode: DecodeGraph}}
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
	held, isNewest := r.read(o)
	if !isNewest {
		return
	}
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
	if !fleet.IsSameGraph(edges, r.seen) {
		r.seen, r.since = edges, now
	}
	isSettled := len(edges) > 0 && now-r.since >= graphStable
	if !isSettled || !r.mayWriteLocked() || fleet.IsSameGraph(edges, r.held) || !r.n.view.IsStoreWriter() {
		return
	}
	r.writing, r.dueAt = true, now+graphPause
	r.n.Clock.After(0, func() { r.write(edges, r.wasWritten) })
}

func (r *recall) wasWritten(outdone *Object, err error) {
	switch {
	case outdone != nil:
		r.take(*outdone)
	case err != nil:
		r.n.Events.Log(event.GraphNotKept, event.Field{Name: "error", Value: err.Error()})
	}
}
