package main

import (
	"bufio"
	"bytes"
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

// site is a small deployment: a store, sidecars as separate processes, one endpoint beside each of them, and
// clients.
type site struct {
	protocol *protocol
	binary   string
	dir      string
	network  string
	// storeAddress is the address of the store.
	storeAddress string
	store        *stand.Store
	// maxFiles is the number of descriptors of a process, 0 if it is not limited.
	maxFiles int
	machines []*machine
	control  *http.Client

	mu      sync.Mutex
	record  *bufio.Writer
	started time.Time
	version int
	lastID  int
}

// machine is a VM of the deployment.
type machine struct {
	site                *site
	name, zone, service string
	calls, peer, ready  string
	heartbeats, metrics string
	settings            string
	endpoint            *endpoint
	client              *http.Client

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	// misses counts the readiness checks missed in a row. Two take the machine out.
	misses int
}

// place is where a machine stands and what runs on it.
type place struct {
	zone, service string
}

const (
	hostName       = "counter.example"
	healthPath     = "/health"
	routeTimeout   = time.Second
	clientDeadline = 5 * time.Second
	beatInterval   = 1500 * time.Millisecond
)

func newSite(names *protocol, binary, recordFile string, places []place) (*site, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	s := &site{
		protocol: names, binary: binary, dir: dir, started: time.Now(), record: bufio.NewWriter(file),
		store:   stand.New(stand.Limits{WritesPerSecond: 400, ReadsPerSecond: 2000}),
		control: &http.Client{Timeout: time.Second},
	}
	s.network = fmt.Sprintf("127.%d.%d", 10+os.Getpid()/200%200, 1+os.Getpid()%200)
	storeListener, err := (&ports{ip: s.network + ".250"}).listen()
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(storeListener, s.store) }()
	s.storeAddress = storeListener.Addr().String()
	for _, p := range places {
		if _, err := s.add(p); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// add adds a machine with its endpoint, at an address of its own. Its sidecar is not started yet.
func (s *site) add(p place) (*machine, error) {
	number := len(s.machines) + 1
	free := &ports{ip: fmt.Sprintf("%s.%d", s.network, number)}
	m := &machine{
		site: s, name: fmt.Sprintf("sidecar-%s-%d", p.zone, number), zone: p.zone, service: p.service,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}},
	}
	var err error
	for _, address := range []*string{&m.calls, &m.peer, &m.ready, &m.heartbeats, &m.metrics} {
		if *address, err = free.free(); err != nil {
			return nil, err
		}
	}
	if m.endpoint, err = newEndpoint(m, free); err != nil {
		return nil, err
	}
	m.settings = filepath.Join(s.dir, m.name+".toml")
	s.machines = append(s.machines, m)
	return m, m.writeSettings()
}

// firstPort is below the ports that outgoing connections use.
const firstPort = 18540

// ports hands out the free ports of an address.
type ports struct {
	ip   string
	next int
}

func (p *ports) listen() (net.Listener, error) {
	var err error
	for range 100 {
		var l net.Listener
		p.next++
		if l, err = net.Listen("tcp", fmt.Sprintf("%s:%d", p.ip, firstPort+p.next)); err == nil {
			return l, nil
		}
	}
	return nil, err
}

func (p *ports) free() (string, error) {
	l, err := p.listen()
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// log writes a line to the record.
func (s *site) log(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.record, "%9.4f "+format+"\n", append([]any{time.Since(s.started).Seconds()}, args...)...)
}

func (s *site) newID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	return fmt.Sprintf("%08x%08x", os.Getpid(), s.lastID)
}

// start starts all processes and waits until they are ready.
func (s *site) start() error {
	if err := s.startMachines(s.machines); err != nil {
		return err
	}
	for _, m := range s.machines {
		go m.checkReadiness()
	}
	// Traffic starts some seconds after the machines do.
	time.Sleep(5 * time.Second)
	return nil
}

// startMachines starts the sidecars of machines and waits until they are ready.
func (s *site) startMachines(machines []*machine) error {
	for _, m := range machines {
		if err := m.start(); err != nil {
			return err
		}
		go m.endpoint.sendHeartbeats()
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, m := range machines {
		for !m.isReadyNow() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// stop ends all processes that the site has started.
func (s *site) stop() {
	for _, m := range s.machines {
		m.signal(syscall.SIGCONT)
		m.signal(syscall.SIGKILL)
	}
	for _, m := range s.machines {
		m.mu.Lock()
		ended := m.ended
		m.mu.Unlock()
		if ended != nil {
			<-ended
		}
	}
	s.mu.Lock()
	_ = s.record.Flush()
	s.mu.Unlock()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}

func (m *machine) writeSettings() error {
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
[stop]
graceSeconds = 6
[limits]
memoryMb = 284
[regions]
"mill-st" = "south-ala"
"river-rd" = "south-ala"
"annex-b" = "south-ala"
`, m.name, m.zone, m.service, m.calls, m.peer, m.ready, m.heartbeats, m.metrics, m.endpoint.address, m.site.storeAddress)
	return os.WriteFile(m.settings, []byte(text), 0o600)
}

// start starts the sidecar's process.
func (m *machine) start() error {
	logFile, err := os.OpenFile(filepath.Join(m.site.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(m.site.binary, "sidecar", "--config", m.settings)
	if m.site.maxFiles > 0 {
		limited := fmt.Sprintf("ulimit -n %d && exec %s sidecar --config %s", m.site.maxFiles, m.site.binary, m.settings)
		cmd = exec.Command("bash", "-c", limited)
	}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.process, m.ended, m.misses = cmd, ended, 0
	m.mu.Unlock()
	m.site.log("%s starts", m.name)
	go func() {
		err := cmd.Wait()
		_ = logFile.Close()
		m.site.log("%s ends: %v", m.name, err)
		close(ended)
	}()
	return nil
}

func (m *machine) signal(sig syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		_ = m.process.Process.Signal(sig)
	}
}

// waitForEnd waits until the process has ended.
func (m *machine) waitForEnd(timeout time.Duration) error {
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	select {
	case <-ended:
		return nil
	case <-time.After(timeout):
		return errors.New("the process did not end")
	}
}

func (m *machine) isReadyNow() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + m.ready + m.site.protocol.Paths["ready"])
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// checkReadiness asks once a second whether the machine is ready.
func (m *machine) checkReadiness() {
	for {
		isReady := m.isReadyNow()
		m.mu.Lock()
		if isReady {
			m.misses = 0
		} else {
			m.misses++
		}
		m.mu.Unlock()
		time.Sleep(time.Second)
	}
}

// takesClients reports whether clients on the machine receive new work.
func (m *machine) takesClients() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.misses < 2
}

// tenant is a holder of a key.
type tenant struct {
	name        string
	rate, burst int
}

func (t tenant) key() string { return "key-of-" + t.name }

// configure writes a configuration, as the operator does. Each service has a route of each kind.
func (s *site) configure(services []string, tenants []tenant) error {
	s.mu.Lock()
	s.version += 3
	version := s.version
	s.mu.Unlock()
	names := s.protocol.Config
	var routes, rows, holders []map[string]any
	for _, service := range services {
		for _, kind := range []string{"safe", "unsafe"} {
			routes = append(routes, object(names, map[string]any{
				"name": "r-" + service + "-" + kind, "host": hostName, "prefix": "/" + service + "-" + kind + "/", "kind": kind, "service": service,
				"timeout": s.timeoutOf(service).Milliseconds(), "target": 1500, "priority": 1, "attempts": 2, "public": false,
			}))
		}
		rows = append(rows, object(names, map[string]any{"name": service, "healthPath": healthPath, "maxConnections": 508, "protocol": "h1", "tls": false}))
	}
	for _, t := range tenants {
		holders = append(holders, object(names, map[string]any{"name": t.name, "keys": []string{t.key()}, "rate": t.rate, "burst": t.burst}))
	}
	document, err := json.Marshal(object(names, map[string]any{
		"version": version, "routes": routes, "services": rows, "tenants": holders,
		"limits": object(names, map[string]any{"headerBytes": 16384, "bodyBytes": 64 << 20, "headerTimeout": 3000, "idleTimeout": 15000}),
	}))
	if err != nil {
		return err
	}
	s.store.Write("config", "main", document)
	s.log("configuration %d is written", version)
	return nil
}

// timeoutOf returns the timeout of the routes of a service.
func (s *site) timeoutOf(service string) time.Duration {
	if service == slowService {
		return clientDeadline
	}
	return routeTimeout
}

// slowService is a service whose routes have a timeout as long as the deadline of clients.
const slowService = "lotbook"

// post sends a message of an endpoint and reports whether it was acknowledged.
func (s *site) post(address, path string, body map[string]any) bool {
	text, err := json.Marshal(body)
	if err != nil {
		return false
	}
	resp, err := s.control.Post("http://"+address+path, "application/json", bytes.NewReader(text))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}
