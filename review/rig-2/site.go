package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"wagtailyoke/platform/stand"
)

// The deployment: two services with an endpoint in each of three zones.
const (
	nodeCount   = 6
	zoneCount   = 3
	tenantKey   = "key-of-the-counter"
	routeLimit  = 5 * time.Second
	readyWithin = 15 * time.Second
	storeAddr   = "127.0.0.2"
)

// Bounds as the pages set them for the small deployments.
const (
	drainBound = 2 * time.Second
	graceBound = 6 * time.Second
)

var services = [...]string{"desk", "book"}

// node is one sidecar with its endpoint.
type node struct {
	s                                       *site
	name, domain, service                   string
	calls, peer, ready, heartbeats, metrics string
	upstream                                string
	settings                                string
	endpoint                                *endpoint

	mu          sync.Mutex
	process     *exec.Cmd
	ended       chan struct{}
	endExpected bool
	endedBy     error
}

// site is a deployment on loopback addresses.
type site struct {
	program string
	record  *record
	dir     string
	store   *stand.Store
	server  *http.Server
	control *http.Client
	nodes   []*node
	stop    context.CancelFunc
	version int

	mu     sync.Mutex
	nextID int
}

func newSite(program string, r *record, receiveBuffer int) (*site, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s := &site{
		program: program, record: r, dir: dir,
		store:   stand.New(stand.Limits{WritesPerSecond: 400, ReadsPerSecond: 2000, History: 20 * time.Second}),
		control: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
	}
	l, err := net.Listen("tcp", storeAddr+":0")
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: s.store, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.server.Serve(l) }()
	if err := s.configure(); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	if err := s.addNodes(ctx, l.Addr().String(), receiveBuffer); err != nil {
		s.close()
		return nil, err
	}
	for _, n := range s.nodes {
		if err := n.start(); err != nil {
			s.close()
			return nil, err
		}
	}
	if err := s.awaitReady(); err != nil {
		s.close()
		return nil, err
	}
	// The endpoints' heartbeats, and the first exchanges between the nodes.
	time.Sleep(3 * time.Second)
	return s, nil
}

func (s *site) addNodes(ctx context.Context, store string, receiveBuffer int) error {
	for i := range nodeCount {
		n := &node{s: s, name: fmt.Sprintf("side-%d", i+1), domain: fmt.Sprintf("zone-%d", i%zoneCount+1), service: services[i/zoneCount]}
		ip := fmt.Sprintf("127.0.0.%d", 11+i)
		for _, address := range []*string{&n.calls, &n.peer, &n.ready, &n.heartbeats, &n.metrics, &n.upstream} {
			free, err := freeAddress(ip)
			if err != nil {
				return err
			}
			*address = free
		}
		n.endpoint = &endpoint{s: s, n: n, service: n.service, receiveBuffer: receiveBuffer}
		if err := n.endpoint.start(instanceName(n, 1), time.Now().UnixMilli()); err != nil {
			return err
		}
		n.settings = filepath.Join(s.dir, n.name+".toml")
		if err := n.writeSettings(store); err != nil {
			return err
		}
		s.nodes = append(s.nodes, n)
		go n.endpoint.beatUntil(ctx)
	}
	return nil
}

// usedPorts are those that freeAddress has returned.
var usedPorts = map[string]bool{}

// freeAddress returns an address with a port outside the range of outgoing connections.
func freeAddress(ip string) (string, error) {
	for port := 20000 + os.Getpid()%8000; port < 32000; port++ {
		address := fmt.Sprintf("%s:%d", ip, port)
		if usedPorts[address] {
			continue
		}
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			usedPorts[address] = true
			return address, nil
		}
	}
	return "", errors.New("no free port")
}

// writeSettings writes the settings as deploy/node.toml lays them out.
func (n *node) writeSettings(store string) error {
	text := fmt.Sprintf(`[node]
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
slack = 47
windowSeconds = 10
[quota]
windowSeconds = 5
overage = 0.1
slack = 20
[cold]
[evacuate]
[stop]
graceSeconds = %d
[limits]
memoryMb = 284
[regions]
"zone-1" = "south-ala"
"zone-2" = "south-ala"
"zone-3" = "south-ala"
`, n.name, n.domain, n.service, n.calls, n.peer, n.ready, n.heartbeats, n.metrics, n.upstream, store, int(graceBound.Seconds()))
	return os.WriteFile(n.settings, []byte(text), 0o600)
}

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(n.s.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(n.s.program, "sidecar", "--config", n.settings)
	cmd.Stdout, cmd.Stderr = out, out
	err = cmd.Start()
	_ = out.Close()
	if err != nil {
		return err
	}
	ended := make(chan struct{})
	n.process, n.ended, n.endExpected = cmd, ended, false
	go func() {
		err := cmd.Wait()
		n.mu.Lock()
		if !n.endExpected {
			n.endedBy = fmt.Errorf("process of %s ended by itself: %v", n.name, err)
		}
		n.mu.Unlock()
		close(ended)
	}()
	return nil
}

// signal sends a signal; after a final one the process may end.
func (n *node) signal(sig syscall.Signal, isFinal bool) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		done := make(chan struct{})
		close(done)
		return done
	}
	n.endExpected = n.endExpected || isFinal
	_ = n.process.Process.Signal(sig)
	n.s.record.note("%s gets %v", n.name, sig)
	return n.ended
}

// unexpectedEnds returns the processes that ended without a signal.
func (s *site) unexpectedEnds() []string {
	var list []string
	for _, n := range s.nodes {
		n.mu.Lock()
		if n.endedBy != nil {
			list = append(list, n.endedBy.Error())
		}
		n.mu.Unlock()
	}
	return list
}

func (s *site) awaitReady() error {
	for _, n := range s.nodes {
		for end := time.Now().Add(readyWithin); !s.isReady(n); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", n.name)
			}
		}
	}
	s.record.note("all nodes are ready")
	return nil
}

func (s *site) isReady(n *node) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.ready+path("ready"), nil)
	if err != nil {
		return false
	}
	resp, err := s.control.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// configure writes the configuration.
func (s *site) configure() error {
	s.version++
	route := func(name, kind, service string, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": "site", names["route"]["prefix"]: "/" + name + "/", "kind": kind, "service": service, "priority": priority,
			"timeoutMs": routeLimit.Milliseconds(), names["route"]["target"]: 1500, names["route"]["attempts"]: 2, "public": false,
		}
	}
	var listed []map[string]any
	for _, name := range services {
		listed = append(listed, map[string]any{"name": name, "healthPath": healthPath, "maxConnections": 508})
	}
	document, err := json.Marshal(map[string]any{
		"version":  s.version,
		"routes":   []map[string]any{route("view", "safe", services[0], 2), route("reserve", "unsafe", services[1], 0)},
		"services": listed,
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 64 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []map[string]any{{"name": "counter", names["tenant"]["keys"]: []string{tenantKey}}},
	})
	if err != nil {
		return err
	}
	s.store.Write("config", "main", document)
	return nil
}

// newID returns the id of a new request.
func (s *site) newID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	return fmt.Sprintf("q%04d", s.nextID)
}

// close ends all processes and stand-ins that the site has started.
func (s *site) close() {
	if s.stop != nil {
		s.stop()
	}
	for _, n := range s.nodes {
		n.mu.Lock()
		n.endExpected = true
		process, ended := n.process, n.ended
		n.mu.Unlock()
		if process != nil {
			_ = process.Process.Signal(syscall.SIGCONT)
			_ = process.Process.Kill()
			<-ended
		}
		n.endpoint.crash()
	}
	_ = s.server.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}
