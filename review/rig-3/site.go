package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record holds the lines of record.txt.
type record struct {
	mu    sync.Mutex
	start time.Time
	lines []string
}

func (r *record) add(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f %-9s %s", time.Since(r.start).Seconds(), who, fmt.Sprintf(format, args...)))
}

func (r *record) write(file string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(file, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}

// run is an execution of a request at an endpoint.
type run struct {
	id, path, tenant, zone, instance string
	sentAt, at                       time.Time
}

// site is a small deployment of real processes.
type site struct {
	rec    *record
	dir    string
	binary string
	store  *store
	nodes  []*node

	mu     sync.Mutex
	sent   map[string]time.Time
	keys   map[string]string
	runs   []run
	lastID int
	births int
	status map[int]int
}

type node struct {
	site                                   *site
	name, zone, service                    string
	calls, peer, ready, heartbeat, metrics string
	appAddress                             string
	endpoint                               *endpoint
	cmd                                    *exec.Cmd
	client                                 *http.Client

	mu sync.Mutex
	// isOut means that clients send nothing more here.
	isOut bool
}

// ports hands out addresses below the range of outgoing connections. Each process takes a block of its own, for
// which it keeps the first port.
type ports struct {
	claim      net.Listener
	next, last int
}

const (
	firstPort = 20000
	blockSize = 120
	maxBlocks = 100
)

func newPorts() (*ports, error) {
	for i := range maxBlocks {
		first := firstPort + (os.Getpid()*37+i)%maxBlocks*blockSize
		if claim, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first)); err == nil {
			return &ports{claim: claim, next: first + 1, last: first + blockSize - 1}, nil
		}
	}
	return nil, fmt.Errorf("all %d blocks of ports are in use", maxBlocks)
}

func (p *ports) address() string {
	for ; p.next <= p.last; p.next++ {
		address := fmt.Sprintf("127.0.0.1:%d", p.next)
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			p.next++
			return address
		}
	}
	panic("no free port is left")
}

func newSite(rec *record, p *ports, dir, binary string, zones, services []string) *site {
	s := &site{rec: rec, dir: dir, binary: binary, sent: map[string]time.Time{}, keys: map[string]string{}, status: map[int]int{}}
	s.store = newStore(rec, p.address())
	for i, service := range services {
		for _, zone := range zones {
			name := "sidecar-" + zone + "-" + service
			if slices.Index(services, service) < i {
				name += "-" + strconv.Itoa(i)
			}
			n := &node{
				site: s, name: name, zone: zone, service: service,
				calls: p.address(), peer: p.address(), ready: p.address(), heartbeat: p.address(), metrics: p.address(),
				appAddress: p.address(),
				client:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true}},
			}
			s.nodes = append(s.nodes, n)
		}
	}
	return s
}

// settings is deploy/node.toml, filled in with the bounds of the site that claim.txt names.
func (n *node) settings() string {
	return fmt.Sprintf(`[node]
name = %q
domain = %q
service = %q
[listen]
calls = %q
peer = %q
ready = %q
heartbeats = %q
metrics = %q
[upstream]
address = %q
[platform]
address = %q
[retry]
ratio = 0.2
slack = 91
windowSeconds = 10
[quota]
windowSeconds = 5
overage = 0.1
slack = 20
[cold]
overage = 1.5
slack = 8
[evacuate]
withinMs = 5000
[stop]
graceSeconds = 6
[limits]
memoryMb = 284
[regions]
"mill-st" = "south-ala"
"river-rd" = "south-ala"
"annex-b" = "south-ala"
`, n.name, n.zone, n.service, n.calls, n.peer, n.ready, n.heartbeat, n.metrics, n.appAddress, n.site.store.address)
}

func (n *node) start() error {
	file := filepath.Join(n.site.dir, n.name+".toml")
	if err := os.WriteFile(file, []byte(n.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.site.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(n.site.binary, "sidecar", "--config", file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	n.mu.Lock()
	n.cmd = cmd
	n.mu.Unlock()
	return nil
}

// signal sends a signal to the node's process and waits for its end if the signal ends it.
func (n *node) signal(sig syscall.Signal) {
	n.mu.Lock()
	cmd := n.cmd
	n.cmd = nil
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(sig)
	_ = cmd.Wait()
}

func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + n.ready + names["ready"])
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (s *site) waitReady(timeout time.Duration) error {
	end := time.Now().Add(timeout)
	for _, n := range s.nodes {
		for !n.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %v", n.name, timeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// endpoint is a server of a service, with the heartbeats that it sends to its node.
type endpoint struct {
	node     *node
	instance string
	born     int64
	server   *http.Server
	stop     chan struct{}
	// crashOnce makes the endpoint end once.
	crashOnce sync.Once

	mu       sync.Mutex
	sequence int
	silent   bool
	// coldUntil is when it becomes warm. crashAbove is the number of requests in a second at which it crashes while
	// it is cold, 0 for none; arrivals are those since it became cold.
	coldUntil  time.Time
	crashAbove int
	arrivals   []time.Time
	hasCrashed bool
}

const workTime = 15 * time.Millisecond

func (n *node) startEndpoint(instance string) error {
	l, err := net.Listen("tcp", n.appAddress)
	if err != nil {
		return err
	}
	e := &endpoint{node: n, instance: instance, born: time.Now().UnixMilli(), stop: make(chan struct{})}
	e.server = &http.Server{Handler: e}
	n.mu.Lock()
	n.endpoint = e
	n.mu.Unlock()
	go func() { _ = e.server.Serve(l) }()
	go e.beat()
	return nil
}

// crash ends the endpoint.
func (e *endpoint) crash() {
	e.crashOnce.Do(func() {
		close(e.stop)
		_ = e.server.Close()
	})
}

const (
	// crashingPath is the path of the request that crashes each endpoint that begins to run it. crashedTime is how
	// long the endpoint is down.
	crashingPath = "crash"
	crashedTime  = 3 * time.Second
)

// restartLater starts a new endpoint in place of one that has crashed.
func (s *site) restartLater(e *endpoint) {
	s.mu.Lock()
	s.births++
	instance := fmt.Sprintf("%s-%d", e.instance, s.births)
	s.mu.Unlock()
	time.AfterFunc(crashedTime, func() {
		if err := e.node.startEndpoint(instance); err != nil {
			s.rec.add("endpoint", "%s does not start: %v", instance, err)
		}
	})
}

func (e *endpoint) beat() {
	for {
		e.mu.Lock()
		e.sequence++
		sequence, silent := e.sequence, e.silent
		e.mu.Unlock()
		if !silent {
			_ = e.tell(names["heartbeat"], e.heartbeat(sequence))
		}
		select {
		case <-e.stop:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

func (e *endpoint) heartbeat(sequence int) map[string]any {
	return map[string]any{
		"born": e.born, "service": e.node.service, "address": e.node.appAddress, "zone": e.node.zone, "version": "v1",
		"slots": 62, "state": "ready", "sequence": sequence, names["cold"]: e.coldMs(),
	}
}

func (e *endpoint) coldMs() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(time.Until(e.coldUntil).Milliseconds(), 0)
}

// becomeCold makes the endpoint cold for a time, without a restart.
func (e *endpoint) becomeCold(d time.Duration, crashAbove int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coldUntil, e.crashAbove = time.Now().Add(d), crashAbove
}

// countArrival counts a request that arrives while the endpoint is cold. It returns true if the endpoint crashes.
func (e *endpoint) countArrival() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if now.After(e.coldUntil) {
		return false
	}
	e.arrivals = append(e.arrivals, now)
	if e.crashAbove == 0 || e.hasCrashed || mostInASecond(e.arrivals) <= e.crashAbove {
		return false
	}
	e.hasCrashed = true
	return true
}

// mostInASecond returns the highest number of times within a second.
func mostInASecond(times []time.Time) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// delayedHeartbeat makes a heartbeat that arrives when the result is called.
func (e *endpoint) delayedHeartbeat() (deliver func() bool) {
	e.mu.Lock()
	e.sequence++
	sequence := e.sequence
	e.mu.Unlock()
	body := e.heartbeat(sequence)
	return func() bool { return e.tell(names["heartbeat"], body) }
}

func (e *endpoint) tell(path string, body map[string]any) bool {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	client := http.Client{Timeout: time.Second}
	resp, err := client.Post("http://"+e.node.heartbeat+path+e.instance, "application/json", bytes.NewReader(text))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// leave says that the endpoint takes no more requests, as those do that never report that they drain. It sends
// no heartbeats afterwards.
func (e *endpoint) leave() bool {
	e.mu.Lock()
	e.silent = true
	e.mu.Unlock()
	for range 3 {
		if e.tell(names["leave"], map[string]any{"born": e.born}) {
			e.node.site.rec.add("endpoint", "%s leaves %s, acknowledged", e.instance, e.node.name)
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	e.node.site.rec.add("endpoint", "%s leaves %s, not acknowledged", e.instance, e.node.name)
	return false
}

// ServeHTTP implements http.Handler.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set(names["healthInstance"], e.instance)
		w.Header().Set(names["healthCold"], strconv.FormatInt(e.coldMs(), 10))
		w.WriteHeader(http.StatusOK)
		return
	}
	id := r.Header.Get(names["id"])
	w.Header().Set(names["id"], id)
	if want := r.Header.Get(names["instance"]); want != "" && want != e.instance {
		w.Header().Set(names["notExecuted"], "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s := e.node.site
	s.mu.Lock()
	sentAt := s.sent[id]
	s.runs = append(s.runs, run{id: id, path: r.URL.Path, tenant: r.Header.Get(names["tenant"]), zone: e.node.zone, instance: e.instance, sentAt: sentAt, at: time.Now()})
	s.mu.Unlock()
	if e.countArrival() {
		s.rec.add("endpoint", "%s crashes at %s", e.instance, id)
		go e.crash()
	}
	s.rec.add("endpoint", "%s in %s runs %s %s for tenant %q", e.instance, e.node.zone, id, r.URL.Path, r.Header.Get(names["tenant"]))
	if strings.HasSuffix(r.URL.Path, "/"+crashingPath) {
		s.rec.add("endpoint", "%s crashes at %s", e.instance, id)
		e.crash()
		s.restartLater(e)
		panic(http.ErrAbortHandler)
	}
	time.Sleep(workTime)
	w.Header().Set(names["signature"], "sig-"+id)
	_, _ = io.WriteString(w, "answer to "+id)
}

// send sends a safe request at a node and returns the status, 0 without an answer.
func (s *site) send(n *node, service, key string) int { return s.sendTo(n, service, "", key) }

// sendTo sends a request for a path below a service; without one, the path is the id.
func (s *site) sendTo(n *node, service, path, key string) int {
	s.mu.Lock()
	s.lastID++
	id := fmt.Sprintf("q%06d", s.lastID)
	if path == "" {
		path = id
	}
	s.sent[id], s.keys[id] = time.Now(), key
	s.mu.Unlock()
	req, err := http.NewRequest(http.MethodGet, "http://"+n.calls+"/"+service+"/"+path, nil)
	if err != nil {
		panic(err)
	}
	req.Host = "site.example"
	req.Header.Set(names["id"], id)
	req.Header.Set(names["deadline"], strconv.Itoa(3000))
	req.Header.Set("Authorization", "Bearer "+key)
	status := 0
	if resp, err := n.client.Do(req); err == nil {
		if _, err := io.ReadAll(resp.Body); err == nil {
			status = resp.StatusCode
		}
		_ = resp.Body.Close()
	}
	s.rec.add("client", "%s at %s to %s/%s with %s: %d", id, n.name, service, path, key, status)
	s.mu.Lock()
	s.status[status]++
	s.mu.Unlock()
	return status
}

// traffic sends requests at all nodes in turn until stop is closed.
func (s *site) traffic(stop chan struct{}, services, keys []string, gap time.Duration) *sync.WaitGroup {
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(gap):
			}
			n := s.nodes[i%len(s.nodes)]
			n.mu.Lock()
			isOut := n.isOut
			n.mu.Unlock()
			if isOut {
				continue
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				s.send(n, services[(i/len(s.nodes)+i)%len(services)], keys[i%len(keys)])
			}()
		}
	}()
	return &wg
}

// configuration returns the operator's configuration: a route and a service of each name, and a tenant for each
// key.
func configuration(version int, services []string, tenants map[string][]string) map[string]any {
	routes, list, holders := []map[string]any{}, []map[string]any{}, []map[string]any{}
	for _, service := range services {
		routes = append(routes, map[string]any{
			"name": service, "host": "site.example", names["prefix"]: "/" + service + "/", "kind": "safe", "service": service, "priority": 1,
			"timeoutMs": 2000, names["target"]: 1500, names["attempts"]: 2,
		})
		list = append(list, map[string]any{"name": service, "healthPath": "/health", "coldStartS": 3, names["coldRate"]: coldRate})
	}
	for tenant, keys := range tenants {
		holders = append(holders, map[string]any{"name": tenant, names["keys"]: keys})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": list, "tenants": holders,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 30000},
	}
}

// end ends all processes and endpoints that were started.
func (s *site) end() {
	for _, n := range s.nodes {
		n.signal(syscall.SIGKILL)
		n.mu.Lock()
		e := n.endpoint
		n.endpoint = nil
		n.mu.Unlock()
		if e != nil {
			e.crash()
		}
	}
	s.store.close()
}
