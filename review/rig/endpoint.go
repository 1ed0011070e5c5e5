package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// endpoint is a sound server of a service.
type endpoint struct {
	machine  *machine
	address  string
	instance string
	born     int64
	// work is how long a request runs.
	work time.Duration
	// answerBytes is the length of an answer, sent evenly over answerTime.
	answerBytes int
	answerTime  time.Duration
	slots       chan struct{}
	server      *http.Server

	mu       sync.Mutex
	sequence int
	isSilent bool
	runs     map[string][]time.Time
}

const slotCount = 68

func newEndpoint(m *machine, free *ports) (*endpoint, error) {
	l, err := free.listen()
	if err != nil {
		return nil, err
	}
	e := &endpoint{
		machine: m, address: l.Addr().String(), born: time.Now().UnixMilli(), work: 20 * time.Millisecond, answerBytes: 400,
		slots: make(chan struct{}, slotCount), runs: map[string][]time.Time{},
	}
	e.instance = fmt.Sprintf("i-%s-%x", m.name, e.born)
	e.server = &http.Server{Handler: e, IdleTimeout: 10 * time.Second}
	go func() { _ = e.server.Serve(l) }()
	return e, nil
}

// end ends the endpoint's process.
func (e *endpoint) end() {
	_ = e.server.Close()
	e.machine.site.log("endpoint %s exits", e.instance)
}

// newHeartbeat returns the next heartbeat.
func (e *endpoint) newHeartbeat(state string) map[string]any {
	e.mu.Lock()
	e.sequence++
	sequence := e.sequence
	e.mu.Unlock()
	names := e.machine.site.protocol.Heartbeat
	return object(names, map[string]any{
		"born": e.born, "address": e.address, "service": e.machine.service, "zone": e.machine.zone, "version": "v1", "slots": slotCount,
		"state": state, "sequence": sequence, "cold": 0,
	})
}

func (e *endpoint) deliver(heartbeat map[string]any) bool {
	s := e.machine.site
	return s.post(e.machine.heartbeats, s.protocol.Paths["heartbeat"]+e.instance, heartbeat)
}

// leave says that the endpoint leaves, and reports whether that was acknowledged. No heartbeat follows.
func (e *endpoint) leave() bool {
	e.mu.Lock()
	e.isSilent = true
	e.sequence++
	sequence := e.sequence
	e.mu.Unlock()
	s := e.machine.site
	body := object(s.protocol.Heartbeat, map[string]any{"born": e.born, "address": e.address, "service": e.machine.service, "sequence": sequence})
	return s.post(e.machine.heartbeats, s.protocol.Paths["leave"]+e.instance, body)
}

func (e *endpoint) sendHeartbeats() {
	for {
		e.mu.Lock()
		isSilent := e.isSilent
		e.mu.Unlock()
		if isSilent {
			return
		}
		e.deliver(e.newHeartbeat("ready"))
		time.Sleep(beatInterval)
	}
}

func (e *endpoint) runsOf(id string) []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]time.Time(nil), e.runs[id]...)
}

// runCount returns the number of runs in a span of time.
func (e *endpoint) runCount(from, to time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, times := range e.runs {
		for _, at := range times {
			if !at.Before(from) && at.Before(to) {
				n++
			}
		}
	}
	return n
}

func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s := e.machine.site
	headers := s.protocol.Headers
	if r.URL.Path == healthPath {
		w.Header().Set(headers["health"], e.instance)
		return
	}
	id := r.Header.Get(headers["id"])
	w.Header().Set(headers["id"], id)
	if want := r.Header.Get(headers["instance"]); want != "" && want != e.instance {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	select {
	case e.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-e.slots }()
	e.mu.Lock()
	e.runs[id] = append(e.runs[id], time.Now())
	e.mu.Unlock()
	s.log("%s runs at %s for %s", id, e.instance, r.Header.Get(headers["tenant"]))
	select {
	case <-time.After(e.work):
	case <-r.Context().Done():
		s.log("%s is abandoned at %s", id, e.instance)
		return
	}
	w.Header().Set(headers["signature"], "signature-of-"+id)
	w.Header().Set("Content-Length", strconv.Itoa(e.answerBytes))
	e.writeAnswer(w, r, id)
}

const answerPieces = 50

func (e *endpoint) writeAnswer(w http.ResponseWriter, r *http.Request, id string) {
	if e.answerTime == 0 {
		_, _ = w.Write(make([]byte, e.answerBytes))
		return
	}
	piece := make([]byte, e.answerBytes/answerPieces)
	for range answerPieces {
		if _, err := w.Write(piece); err != nil {
			e.machine.site.log("%s: answer of %s is cut: %v", id, e.instance, err)
			return
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(e.answerTime / answerPieces)
	}
	e.machine.site.log("%s: %s has sent the whole answer", id, e.instance)
}
