package main

import (
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type change struct {
	kind    string
	object  object
	deleted bool
	at      time.Time
}

// state is what a copy of the store holds.
type state struct {
	revision uint64
	// historyStart is the revision after which the history is complete.
	historyStart uint64
	kinds        map[string]map[string]object
	history      []change
}

func (s *state) clone() *state {
	c := &state{revision: s.revision, historyStart: s.historyStart, kinds: map[string]map[string]object{}, history: slices.Clone(s.history)}
	for kind, objects := range s.kinds {
		c.kinds[kind] = maps.Clone(objects)
	}
	return c
}

// store is a stand-in of the platform's store. In a drill it is away for a moment and comes back from a copy.
type store struct {
	rec     *record
	address string

	mu      sync.Mutex
	state   *state
	era     int
	changed chan struct{}
	server  *http.Server
	reads   rate
	writes  rate
}

// rate counts the calls in the current second.
type rate struct {
	second int64
	count  int
}

func (r *rate) allow(limit int) bool {
	if now := time.Now().Unix(); now != r.second {
		r.second, r.count = now, 0
	}
	r.count++
	return r.count <= limit
}

const (
	readsPerSecond  = 6000
	writesPerSecond = 1200
	historyTime     = 20 * time.Second
)

func newStore(rec *record, address string) *store {
	return &store{
		rec: rec, address: address, era: 1, changed: make(chan struct{}),
		state: &state{revision: 100, historyStart: 100, kinds: map[string]map[string]object{}},
	}
}

// open starts to serve.
func (s *store) open() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: s}
	s.mu.Lock()
	s.server = server
	s.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	return nil
}

// close ends all connections and refuses new ones.
func (s *store) close() {
	s.mu.Lock()
	server := s.server
	s.mu.Unlock()
	_ = server.Close()
}

func (s *store) copy() *state {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rec.add("store", "copy taken at revision %d", s.state.revision)
	return s.state.clone()
}

// restore replaces the state by that of a copy.
func (s *store) restore(copied *state) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rec.add("store", "back from the copy: revision %d instead of %d, era %d", copied.revision, s.state.revision, s.era+1)
	s.state, s.era = copied.clone(), s.era+1
	close(s.changed)
	s.changed = make(chan struct{})
}

// write writes an object as the operator does. It returns the revision.
func (s *store) write(kind, name string, spec any) uint64 {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.state.kinds[kind][name]
	o.Metadata.Name, o.Spec = name, text
	o = s.putLocked(kind, o)
	s.rec.add("operator", "writes %s/%s, acknowledged at revision %d", kind, name, o.Metadata.Revision)
	return o.Metadata.Revision
}

// remove deletes an object as the operator does.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.state.kinds[kind][name]
	if !ok {
		return
	}
	s.removeLocked(kind, o)
	s.rec.add("operator", "removes %s/%s, acknowledged at revision %d", kind, name, s.state.revision)
}

func (s *store) putLocked(kind string, o object) object {
	s.state.revision++
	o.Metadata.Revision = s.state.revision
	if o.Metadata.Created == 0 {
		o.Metadata.Created = o.Metadata.Revision
	}
	if s.state.kinds[kind] == nil {
		s.state.kinds[kind] = map[string]object{}
	}
	s.state.kinds[kind][o.Metadata.Name] = o
	s.recordLocked(change{kind: kind, object: o})
	return o
}

func (s *store) removeLocked(kind string, o object) {
	s.state.revision++
	o.Metadata.Revision = s.state.revision
	delete(s.state.kinds[kind], o.Metadata.Name)
	s.recordLocked(change{kind: kind, object: o, deleted: true})
}

func (s *store) recordLocked(c change) {
	c.at = time.Now()
	h := append(s.state.history, c)
	for len(h) > 0 && c.at.Sub(h[0].at) > historyTime {
		s.state.historyStart = h[0].object.Metadata.Revision
		h = h[1:]
	}
	s.state.history = h
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rest, ok := strings.CutPrefix(r.URL.Path, names["objects"])
	if !ok {
		s.answer(w, http.StatusNotFound, nil)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var sent object
	if len(body) > 0 && json.Unmarshal(body, &sent) != nil {
		s.answer(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	allowed := r.Method == http.MethodGet && s.reads.allow(readsPerSecond) || r.Method != http.MethodGet && s.writes.allow(writesPerSecond)
	s.mu.Unlock()
	if !allowed {
		s.answer(w, http.StatusTooManyRequests, nil)
		return
	}
	time.Sleep(4 * time.Millisecond)
	kind, name, hasName := strings.Cut(rest, "/")
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && query.Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && !hasName:
		s.list(w, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, exists := s.state.kinds[kind][name]
		s.mu.Unlock()
		if !exists {
			s.answer(w, http.StatusNotFound, nil)
			return
		}
		s.answer(w, http.StatusOK, o)
	case r.Method == http.MethodPost && !hasName:
		s.change(w, kind, sent.Metadata.Name, &sent, true, sent.Metadata.Revision)
	case r.Method == http.MethodPut:
		s.change(w, kind, name, &sent, false, sent.Metadata.Revision)
	case r.Method == http.MethodDelete:
		revision, _ := strconv.ParseUint(query.Get("revision"), 10, 64)
		s.change(w, kind, name, nil, false, revision)
	default:
		s.answer(w, http.StatusNotFound, nil)
	}
}

// change creates, replaces or removes an object of the system.
func (s *store) change(w http.ResponseWriter, kind, name string, sent *object, isNew bool, revision uint64) {
	s.mu.Lock()
	current, exists := s.state.kinds[kind][name]
	status, result := http.StatusOK, any(nil)
	switch {
	case isNew && exists, exists && revision != 0 && revision != current.Metadata.Revision:
		status, result = http.StatusConflict, current
	case !isNew && !exists:
		status = http.StatusNotFound
	case sent == nil:
		s.removeLocked(kind, current)
		s.rec.add("store", "%s/%s removed by the system, revision %d", kind, name, s.state.revision)
		result = current
	case exists && string(current.Spec) == string(sent.Spec):
		result = current
	default:
		current.Metadata.Name, current.Spec = name, sent.Spec
		current = s.putLocked(kind, current)
		s.rec.add("store", "%s/%s written by the system, revision %d", kind, name, s.state.revision)
		result = current
	}
	s.mu.Unlock()
	s.answer(w, status, result)
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := []object{}
	for _, name := range slices.Sorted(maps.Keys(s.state.kinds[kind])) {
		items = append(items, s.state.kinds[kind][name])
	}
	revision := s.state.revision
	s.mu.Unlock()
	s.answer(w, http.StatusOK, map[string]any{"items": items, "more": false, names["rev"]: revision})
}

type watchEvent struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMs, waitErr := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || waitErr != nil {
		s.answer(w, http.StatusBadRequest, nil)
		return
	}
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for expired := false; ; {
		s.mu.Lock()
		isGone := after < s.state.historyStart || after > s.state.revision
		events := []watchEvent{}
		for _, c := range s.state.history {
			if c.kind == kind && c.object.Metadata.Revision > after {
				events = append(events, watchEvent{Object: c.object, Deleted: c.deleted})
			}
		}
		revision, changed := s.state.revision, s.changed
		s.mu.Unlock()
		switch {
		case isGone:
			s.answer(w, http.StatusGone, nil)
			return
		case len(events) > 0 || expired:
			s.answer(w, http.StatusOK, map[string]any{"events": events, names["rev"]: revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) answer(w http.ResponseWriter, status int, body any) {
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	w.Header().Set(names["era"], strconv.Itoa(era))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}
