package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"wagtailyoke/core/node"
	"wagtailyoke/io/httpx"
)

// upstreamCommand serves one endpoint of a service. Query parameters control a call:
//
//	child=/pricebook/price     call another route through egress; may be repeated
//	crash=1                    exit the process
//	fast=1                     spend no service time
//
// The same listener serves controls for tests:
//
//	POST /control/slow?factor=F   multiply service times
//	POST /control/fail?share=S    respond with status 500 to a fraction of the calls
//	POST /control/drain           announce draining and finish the running calls
//	GET  /control/log             executions: request ID, path, idempotency key, whether completed
//	GET  /healthz, /load          respond at once with status 200; the load is always 0
type upstreamCommand struct {
	Listen  string `long:"listen" required:"true"`
	Service string `long:"service" required:"true"`
	Ops     string `long:"ops" description:"ops address of its node"`
	Egress  string `long:"egress" description:"egress address of its node, or a direct address list with --direct"`
	Direct  string `long:"direct" description:"JSON file of service to addresses, to call without nodes"`
	Secret  string `long:"secret" env:"WAGTAILYOKE_SECRET"`
	Slots   int    `long:"slots" default:"60"`
	Queue   int    `long:"queue" default:"60"`
	TimeUs  int    `long:"time-us" default:"5000" description:"mean service time"`
	ColdMs  int    `long:"cold-ms" default:"500" description:"time until warm: service times start at 4 times the mean"`
	Seed    int64  `long:"seed" default:"1"`
}

// upstream is one endpoint of a service.
type upstream struct {
	options     *upstreamCommand
	start       time.Time
	slots       chan struct{}
	waiting     atomic.Int64
	slowPercent atomic.Int64
	failPercent atomic.Int64
	draining    atomic.Bool
	client      *http.Client
	direct      map[string][]string

	mu     sync.Mutex
	random *rand.Rand
	log    []execution
	next   int
	sawKey bool
}

// execution is a log entry for one call that started to run.
type execution struct {
	Request string `json:"request"`
	Path    string `json:"path"`
	Key     string `json:"key"`
	Done    bool   `json:"done"`
}

const (
	percent       = 100
	coldFactor    = 4
	maxLogEntries = 400_000
	retryAfter    = "1"
	childTimeout  = 5 * time.Second
)

// Execute implements flags.Commander.
func (c *upstreamCommand) Execute([]string) error {
	u := &upstream{
		options: c,
		start:   time.Now(),
		slots:   make(chan struct{}, c.Slots),
		random:  rand.New(rand.NewSource(c.Seed)),
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}, Timeout: childTimeout},
	}
	u.slowPercent.Store(percent)
	if c.Direct != "" {
		text, err := os.ReadFile(c.Direct)
		if err != nil {
			return err
		}
		if err := json.Unmarshal(text, &u.direct); err != nil {
			return err
		}
	}
	server := &http.Server{Addr: c.Listen, Handler: u}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	go u.announcePeriodically(ctx)
	go func() {
		<-ctx.Done()
		u.announce("draining")
		const drainTime = 500 * time.Millisecond
		time.Sleep(drainTime)
		_ = server.Shutdown(context.Background())
	}()
	err := server.ListenAndServe()
	if err == http.ErrServerClosed {
		time.Sleep(time.Millisecond)
		return nil
	}
	return err
}

// announceInterval is the interval at which an upstream announces its state to its node. The
// announcement is repeated so that a restarted node receives the state.
const announceInterval = 500 * time.Millisecond

// announcePeriodically announces the state to the node until the context is done.
func (u *upstream) announcePeriodically(ctx context.Context) {
	for {
		state := "ready"
		if u.draining.Load() {
			state = "draining"
		}
		u.announce(state)
		select {
		case <-ctx.Done():
			return
		case <-time.After(announceInterval):
		}
	}
}

func (u *upstream) announce(state string) {
	if u.options.Ops == "" {
		return
	}
	body, _ := json.Marshal(httpx.Announcement{State: state})
	req, err := http.NewRequest(http.MethodPost, "http://"+u.options.Ops+"/upstream", bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set(httpx.HeaderSecret, u.options.Secret)
	if resp, err := u.client.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case strings.HasPrefix(r.URL.Path, "/control/"):
		u.control(w, r)
	case r.URL.Path == "/healthz":
		w.WriteHeader(http.StatusOK)
	case r.URL.Path == "/load":
		_, _ = fmt.Fprintln(w, 0)
	default:
		u.serve(w, r)
	}
}

func (u *upstream) control(w http.ResponseWriter, r *http.Request) {
	switch strings.TrimPrefix(r.URL.Path, "/control/") {
	case "slow":
		factor, _ := strconv.ParseFloat(r.URL.Query().Get("factor"), 64)
		u.slowPercent.Store(int64(factor * percent))
	case "fail":
		share, _ := strconv.ParseFloat(r.URL.Query().Get("share"), 64)
		u.failPercent.Store(int64(share * percent))
	case "drain":
		u.draining.Store(true)
		u.announce("draining")
	case "log":
		u.mu.Lock()
		defer u.mu.Unlock()
		_ = json.NewEncoder(w).Encode(struct {
			SawKey bool        `json:"sawKey"`
			Ran    []execution `json:"ran"`
		}{u.sawKey, u.log})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	u.recordCustomerKey(r)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !u.acquireSlot(r.Context()) {
		w.Header().Set("Retry-After", retryAfter)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-u.slots }()
	if r.URL.Query().Get("crash") != "" {
		const crashed = 3
		os.Exit(crashed)
	}
	entry := u.logStart(r)
	if r.URL.Query().Get("fast") == "" && !u.simulateWork(r.Context()) {
		return
	}
	if !u.callChildren(w, r, body) {
		return
	}
	u.logDone(entry)
	if u.randomInt(percent) < int(u.failPercent.Load()) {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	const answerBytes = 500
	answer := fmt.Sprintf(`{"service":%q,"path":%q,"key":%q,"pad":%q}`, u.options.Service, r.URL.Path, r.Header.Get(node.HeaderIdempotencyKey), strings.Repeat("x", answerBytes))
	_, _ = io.WriteString(w, answer)
}

// acquireSlot acquires a slot, waiting in a bounded queue if none is free. It reports false if
// the queue is full or the context is done.
func (u *upstream) acquireSlot(ctx context.Context) bool {
	select {
	case u.slots <- struct{}{}:
		return true
	default:
	}
	if u.waiting.Add(1) > int64(u.options.Queue) {
		u.waiting.Add(-1)
		return false
	}
	defer u.waiting.Add(-1)
	select {
	case u.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (u *upstream) recordCustomerKey(r *http.Request) {
	if r.Header.Get(node.HeaderKey) == "" && r.Header.Get(node.HeaderAuthorization) == "" {
		return
	}
	u.mu.Lock()
	u.sawKey = true
	u.mu.Unlock()
}

func (u *upstream) logStart(r *http.Request) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.log) >= maxLogEntries {
		return -1
	}
	u.log = append(u.log, execution{
		Request: r.Header.Get(node.HeaderRequestID),
		Path:    r.URL.Path,
		Key:     r.Header.Get(node.HeaderIdempotencyKey),
	})
	return len(u.log) - 1
}

func (u *upstream) logDone(entry int) {
	if entry < 0 {
		return
	}
	u.mu.Lock()
	u.log[entry].Done = true
	u.mu.Unlock()
}

func (u *upstream) randomInt(n int) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.random.Intn(n)
}

// simulateWork waits for the service time. It reports false if the call is canceled.
func (u *upstream) simulateWork(ctx context.Context) bool {
	u.mu.Lock()
	factor := 0.5 + u.random.Float64()
	u.mu.Unlock()
	factor *= float64(u.slowPercent.Load()) / percent
	age := time.Since(u.start)
	cold := time.Duration(u.options.ColdMs) * time.Millisecond
	if age < cold {
		factor *= coldFactor - (coldFactor-1)*float64(age)/float64(cold)
	}
	timer := time.NewTimer(time.Duration(float64(u.options.TimeUs)*factor) * time.Microsecond)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// callChildren makes the child calls of the query as a nested chain: the first child gets
// the others as its own children. A failed child call fails the call.
func (u *upstream) callChildren(w http.ResponseWriter, r *http.Request, body []byte) bool {
	children := r.URL.Query()["child"]
	if len(children) == 0 {
		return true
	}
	path := children[0]
	separator := "?"
	for _, rest := range children[1:] {
		path += separator + "child=" + rest
		separator = "&"
	}
	for range u.attempts() {
		if u.callChild(r, path) {
			return true
		}
	}
	w.WriteHeader(http.StatusBadGateway)
	return false
}

// attempts returns the maximum number of attempts of a child call. Without nodes the
// service itself retries, as naive services do.
func (u *upstream) attempts() int {
	const naiveAttempts = 3
	if u.direct != nil {
		return naiveAttempts
	}
	return 1
}

func (u *upstream) callChild(r *http.Request, path string) bool {
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+u.childAddress(path)+path, nil)
	if err != nil {
		return false
	}
	req.Header.Set(node.HeaderContext, r.Header.Get(node.HeaderContext))
	resp, err := u.client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// childAddress returns the node's egress address or, without nodes, the next endpoint of
// the service in round-robin order.
func (u *upstream) childAddress(path string) string {
	if u.direct == nil {
		return u.options.Egress
	}
	service := strings.SplitN(strings.TrimPrefix(path, "/"), "/", 2)[0]
	addresses := u.direct[service]
	u.mu.Lock()
	defer u.mu.Unlock()
	u.next++
	return addresses[u.next%len(addresses)]
}
