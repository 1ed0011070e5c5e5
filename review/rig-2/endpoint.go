package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	ackTimeout        = time.Second
	endpointSlots     = 68
	healthPath        = "/health"
)

// arrival is a request that reached an endpoint.
type arrival struct {
	id, caller, customer, instance string
	at                             time.Time
}

// endpoint is the server beside a node.
type endpoint struct {
	s       *site
	n       *node
	service string
	// work runs a request; nil answers at once with a body of the size that the query names.
	work func(e *endpoint, w http.ResponseWriter, r *http.Request)
	// receiveBuffer is the size of its receive buffers, 0 for the system's.
	receiveBuffer int

	mu       sync.Mutex
	server   *http.Server
	instance string
	born     int64
	sequence int
	state    string
	arrivals []arrival
}

// start starts a process of the endpoint. born is its start as its machine's clock tells it.
func (e *endpoint) start(instance string, born int64) error {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error { return setReceiveBuffer(raw, e.receiveBuffer) }}
	l, err := config.Listen(context.Background(), "tcp", e.n.upstream)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.instance, e.born, e.sequence, e.state = instance, born, 0, "ready"
	e.server = &http.Server{Handler: e, IdleTimeout: 10 * time.Second, ReadHeaderTimeout: 10 * time.Second}
	server := e.server
	e.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	return nil
}

// crash ends the process without a word.
func (e *endpoint) crash() {
	e.mu.Lock()
	server := e.server
	e.server = nil
	e.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// body returns the body of the next heartbeat.
func (e *endpoint) body() (instance string, body map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	return e.instance, map[string]any{
		"service": e.service, "address": e.n.upstream, "zone": e.n.domain, "version": "v1", "slots": endpointSlots,
		"state": e.state, "sequence": e.sequence, "born": e.born, names["beat"]["cold"]: 0,
	}
}

// tell sends a message about an endpoint to its node and returns the status, 0 without an answer in time.
func (s *site) tell(n *node, message, instance string, body map[string]any) int {
	text, err := json.Marshal(body)
	if err != nil {
		return 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), ackTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.heartbeats+path(message)+instance, bytes.NewReader(text))
	if err != nil {
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.control.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// beat sends a heartbeat.
func (e *endpoint) beat() int {
	instance, body := e.body()
	return e.s.tell(e.n, "heartbeat", instance, body)
}

// beatUntil sends heartbeats until ctx ends.
func (e *endpoint) beatUntil(ctx context.Context) {
	for ctx.Err() == nil {
		e.mu.Lock()
		isUp := e.server != nil
		e.mu.Unlock()
		if isUp {
			e.beat()
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

// ServeHTTP implements http.Handler.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	instance := e.instance
	e.mu.Unlock()
	if r.URL.Path == healthPath {
		w.Header().Set(header("healthInstance"), instance)
		return
	}
	id := r.Header.Get(header("id"))
	w.Header().Set(header("id"), id)
	if want := r.Header.Get(header("instance")); want != "" && want != instance {
		e.s.record.note("%s of %s rejects %s, which expects %s (421)", instance, e.n.name, id, want)
		w.Header().Set(header("healthInstance"), instance)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a := arrival{id: id, caller: r.Header.Get(header("caller")), customer: r.Header.Get(header("customer")), instance: instance, at: time.Now()}
	e.mu.Lock()
	e.arrivals = append(e.arrivals, a)
	e.mu.Unlock()
	e.s.record.note("%s of %s gets %s, caller %s", instance, e.n.name, id, a.caller)
	if e.work != nil {
		e.work(e, w, r)
		return
	}
	answer(w, r, id)
}

// answer writes a whole answer of the size that the query names.
func answer(w http.ResponseWriter, r *http.Request, id string) {
	size, _ := strconv.Atoi(r.URL.Query().Get("size"))
	w.Header().Set(header("signature"), "sig-"+id)
	text := bodyOf(id, size)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}

// bodyOf returns the answer to a request.
func bodyOf(id string, size int) string {
	text := "answer to " + id + " "
	if missing := size - len(text); missing > 0 {
		text += strings.Repeat(".", missing)
	}
	return text
}

// arrivalsSince returns the requests that have reached the endpoint from a time on.
func (e *endpoint) arrivalsSince(from time.Time) []arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []arrival
	for _, a := range e.arrivals {
		if !a.at.Before(from) {
			list = append(list, a)
		}
	}
	return list
}

func instanceName(n *node, count int) string { return fmt.Sprintf("i-%s-%d", n.name, count) }
