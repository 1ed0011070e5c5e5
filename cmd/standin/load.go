package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/google/uuid"

	"wagtailyoke/core/node"
	"wagtailyoke/io/httpx"
)

// loadCommand sends an open-loop load to a deployment, either through its nodes or, with
// naive client retries, directly to copies of its upstreams that run without nodes.
type loadCommand struct {
	Dir      string  `long:"dir" required:"true" description:"folder that 'standin fleet' wrote"`
	Mode     string  `long:"mode" default:"nodes" choice:"nodes" choice:"direct"`
	Scenario string  `long:"scenario" default:"mixed" description:"mixed, surge, slow, greedy, skew, fail, internal, latency"`
	Seconds  float64 `long:"seconds" default:"10" description:"length of a scenario without phases of its own"`
	Rate     float64 `long:"rate" default:"0.6" description:"load as a share of capacity, for mixed"`
	Seed     int64   `long:"seed" default:"1"`
	Rounds   int     `long:"rounds" default:"3000" description:"calls to each side, for latency"`
	Out      string  `long:"out" description:"file for the measures as JSON"`
	Records  string  `long:"records" description:"file for what callers of reservations were told"`
}

// Timeouts and retries of callers.
const (
	callTimeout  = 2 * time.Second
	retryDelay   = 100 * time.Millisecond
	attemptLimit = 4
)

// phase is a part of a scenario.
type phase struct {
	name    string
	seconds float64
	// load is the offered load as a share of capacity.
	load float64
	// onStart is called at the start of the phase.
	onStart func(l *load)
}

// load is one run of the load generator.
type load struct {
	options *loadCommand
	d       *deployment
	client  *http.Client
	record  *recorder
	start   time.Time

	mu     sync.Mutex
	random *rand.Rand
	// greedyFactor multiplies the first customer's load.
	greedyFactor float64
	// onlyDomain sends the first customer's calls to one failure domain.
	onlyDomain string
	// internalFactor is the rate of internal calls in units of a tenth of the load.
	internalFactor float64
	waitGroup      sync.WaitGroup
}

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	d, err := readDeployment(c.Dir)
	if err != nil {
		return err
	}
	l := newLoad(c, d)
	if c.Scenario == "latency" {
		return l.compareLatency()
	}
	phases, err := l.phases()
	if err != nil {
		return err
	}
	l.warmUp()
	l.run(phases)
	m := l.record.measures(l, phases)
	m.print(os.Stdout)
	if c.Records != "" {
		if err := l.record.writeReservations(c.Records); err != nil {
			return err
		}
	}
	if c.Out == "" {
		return nil
	}
	encoded, err := json.MarshalIndent(m, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(c.Out, encoded, 0o600)
}

func newLoad(c *loadCommand, d *deployment) *load {
	const idle = 2000
	return &load{
		options:      c,
		d:            d,
		client:       &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idle, MaxIdleConns: 0, DisableCompression: true}},
		record:       newRecorder(d),
		random:       rand.New(rand.NewSource(c.Seed)),
		greedyFactor: 1,
	}
}

// phases returns the phases of the scenario. All scenarios except mixed start with a calm
// phase as the baseline.
func (l *load) phases() ([]phase, error) {
	const calm = 0.6
	slowService := l.d.Mix[0].Visits[len(l.d.Mix[0].Visits)-1]
	switch l.options.Scenario {
	case "mixed":
		return []phase{{name: "mixed", seconds: l.options.Seconds, load: l.options.Rate}}, nil
	case "surge":
		return []phase{
			{name: "calm", seconds: 6, load: calm},
			{name: "surge", seconds: 20, load: 3},
			{name: "after", seconds: 10, load: calm},
		}, nil
	case "slow":
		return []phase{
			{name: "calm", seconds: 6, load: 0.9},
			{name: "slow", seconds: 15, load: 0.9, onStart: func(l *load) { l.setSlowFactor(slowService, 10) }},
			{name: "surge", seconds: 5, load: 3, onStart: func(l *load) { l.setSlowFactor(slowService, 1) }},
			{name: "after", seconds: 15, load: 0.9},
		}, nil
	case "greedy", "skew":
		enter := func(l *load) {
			l.greedyFactor = 5
			if l.options.Scenario == "skew" {
				l.onlyDomain = l.d.Domains[0]
			}
		}
		return []phase{
			{name: "calm", seconds: 6, load: calm},
			{name: "greedy", seconds: 20, load: calm, onStart: enter},
		}, nil
	case "fail":
		return []phase{
			{name: "calm", seconds: 6, load: calm},
			{name: "failing", seconds: 15, load: calm, onStart: func(l *load) { l.postControl(l.d.Endpoints[0], "fail?share=0.9") }},
			{name: "after", seconds: 8, load: calm, onStart: func(l *load) { l.postControl(l.d.Endpoints[0], "fail?share=0") }},
		}, nil
	case "internal":
		return []phase{
			{name: "calm", seconds: 6, load: calm},
			{name: "internal", seconds: 15, load: calm, onStart: func(l *load) { l.internalFactor = 10 }},
			{name: "after", seconds: 8, load: calm, onStart: func(l *load) { l.internalFactor = 0 }},
		}, nil
	default:
		return nil, fmt.Errorf("unknown scenario %q", l.options.Scenario)
	}
}

// setSlowFactor sets the factor for the service times of all endpoints of a service.
func (l *load) setSlowFactor(service string, factor float64) {
	for _, e := range l.d.Endpoints {
		if e.Service != service {
			continue
		}
		l.postControl(e, fmt.Sprintf("slow?factor=%g", factor))
	}
}

// postControl sends a control request to the stand-in upstream of an endpoint. It ignores
// errors.
func (l *load) postControl(e endpoint, what string) {
	address := e.Upstream
	if l.options.Mode == "direct" {
		address = e.Direct
	}
	resp, err := l.client.Post("http://"+address+"/control/"+what, "", nil)
	if err == nil {
		_ = resp.Body.Close()
	}
}

// run starts requests at exponentially distributed intervals without waiting for earlier
// ones to complete.
func (l *load) run(phases []phase) {
	l.start = time.Now()
	next := time.Duration(0)
	end := time.Duration(0)
	for _, p := range phases {
		if p.onStart != nil {
			p.onStart(l)
		}
		end += time.Duration(p.seconds * float64(time.Second))
		rate := p.load * l.d.Capacity * l.totalLoadFactor()
		for next < end {
			next += time.Duration(l.random.ExpFloat64() / rate * float64(time.Second))
			time.Sleep(time.Until(l.start.Add(next)))
			l.startRequest()
			for range l.internalCalls() {
				l.startInternalCall()
			}
		}
	}
	l.waitGroup.Wait()
}

// warmUp sends load that is not recorded, to establish connections and to let the
// upstreams pass their cold start.
func (l *load) warmUp() {
	l.run([]phase{{name: "warm-up", seconds: 4, load: 0.5}})
	l.record = newRecorder(l.d)
}

// totalLoadFactor returns the factor by which the first customer's excess load raises
// the total load.
func (l *load) totalLoadFactor() float64 { return 1 + (l.greedyFactor-1)*l.d.Customers[0].Share }

// startRequest starts one request in a new goroutine.
func (l *load) startRequest() {
	r := l.newRequest()
	l.waitGroup.Add(1)
	go func() {
		defer l.waitGroup.Done()
		l.send(r)
	}()
}

// internalCalls returns the number of internal calls to send along with one request.
func (l *load) internalCalls() int {
	const usualShare = 0.1
	l.mu.Lock()
	defer l.mu.Unlock()
	calls := l.internalFactor * usualShare
	n := int(calls)
	if l.random.Float64() < calls-float64(n) {
		n++
	}
	return n
}

// startInternalCall sends a call without a parent through the egress of a random node, as
// a batch job on an upstream's VM would.
func (l *load) startInternalCall() {
	l.mu.Lock()
	e := l.d.Endpoints[l.random.Intn(len(l.d.Endpoints))]
	c := l.pickCall()
	target := l.d.Endpoints[l.random.Intn(len(l.d.Endpoints))]
	l.mu.Unlock()
	address := e.Egress
	path := c.Path
	if l.options.Mode == "direct" {
		address, path = target.Direct, "/"+target.Service+"/batch"
	}
	if c.Reserve {
		return
	}
	l.waitGroup.Add(1)
	go func() {
		defer l.waitGroup.Done()
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
		if err != nil {
			return
		}
		if resp, err := l.client.Do(req); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	}()
}

// request is a caller's request, including its retries.
type request struct {
	customer   int
	call       *call
	domain     string
	path       string
	key        string
	at         time.Duration
	withinRate bool
}

func (l *load) newRequest() *request {
	r := &request{at: time.Since(l.start)}
	l.mu.Lock()
	r.customer = l.pickCustomer()
	r.call = l.pickCall()
	item := l.random.Intn(1000)
	l.mu.Unlock()
	if r.customer == 0 {
		r.domain = l.onlyDomain
	}
	r.path = r.call.Path
	if r.call.Reserve {
		id, err := uuid.NewV7()
		if err == nil {
			r.key = id.String()
		}
	} else {
		r.path += separatorOf(r.path) + fmt.Sprintf("item=%d", item)
	}
	r.withinRate = l.record.recordOffered(r)
	return r
}

func separatorOf(path string) string {
	if bytes.ContainsRune([]byte(path), '?') {
		return "&"
	}
	return "?"
}

func (l *load) pickCustomer() int {
	point := l.random.Float64() * l.totalLoadFactor()
	for i, c := range l.d.Customers {
		share := c.Share
		if i == 0 {
			share *= l.greedyFactor
		}
		if point < share {
			return i
		}
		point -= share
	}
	return len(l.d.Customers) - 1
}

func (l *load) pickCall() *call {
	point := l.random.Float64()
	for i := range l.d.Mix {
		if point < l.d.Mix[i].Share {
			return &l.d.Mix[i]
		}
		point -= l.d.Mix[i].Share
	}
	return &l.d.Mix[0]
}

// send attempts a request until it succeeds, its timeout expires, the attempts are used up
// or it may not be retried. Callers retry aggressively: after a short delay, ignoring any
// Retry-After header.
func (l *load) send(r *request) {
	deadline := time.Now().Add(callTimeout)
	started := time.Now()
	result := outcome{}
	for attempt := range attemptLimit {
		if attempt > 0 {
			time.Sleep(retryDelay)
		}
		left := time.Until(deadline)
		if left <= 0 {
			break
		}
		result = l.sendAttempt(r, left)
		l.record.recordAttempt(r, result)
		if result.ok || !result.mayRetry(r, l.options.Mode) {
			break
		}
	}
	l.record.recordResult(r, result, time.Since(started))
}

// outcome is the result of an attempt.
type outcome struct {
	ok     bool
	status int
	code   string
	run    string
}

// mayRetry reports whether the caller may retry. A reservation is retried with its key
// only through nodes, which guarantee that it runs at most once; without nodes nothing
// does.
func (o outcome) mayRetry(r *request, mode string) bool {
	if o.status == http.StatusUnauthorized || o.status == http.StatusNotFound {
		return false
	}
	return !r.call.Reserve || mode == "nodes"
}

func (l *load) sendAttempt(r *request, left time.Duration) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	var body io.Reader
	if r.call.Reserve {
		body = bytes.NewReader([]byte(`{"lot":1}`))
	}
	req, err := http.NewRequestWithContext(ctx, r.call.Method, "http://"+l.address(r)+r.path, body)
	if err != nil {
		return outcome{}
	}
	req.GetBody = nil
	if l.options.Mode == "nodes" {
		req.Header.Set(node.HeaderKey, l.d.Customers[r.customer].Key)
	}
	if r.key != "" {
		req.Header.Set(node.HeaderIdempotencyKey, r.key)
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return outcome{code: failureKind(err)}
	}
	defer func() { _ = resp.Body.Close() }()
	value, err := io.ReadAll(resp.Body)
	if err != nil {
		return outcome{code: "connection"}
	}
	return classifyResponse(r, resp, value)
}

// failureKind distinguishes the caller's timeout from a failed connection.
func failureKind(err error) string {
	if errors.Is(err, context.DeadlineExceeded) {
		return "timeout"
	}
	return "connection"
}

// classifyResponse checks that the response is complete and belongs to the request.
func classifyResponse(r *request, resp *http.Response, value []byte) outcome {
	o := outcome{status: resp.StatusCode}
	if resp.Header.Get("Content-Type") == httpx.ProblemType {
		p := httpx.Problem{}
		if json.Unmarshal(value, &p) == nil {
			o.code, o.run = p.Code, p.Run
		}
		return o
	}
	answer := struct {
		Key string `json:"key"`
	}{}
	o.ok = resp.StatusCode == http.StatusOK && json.Unmarshal(value, &answer) == nil && answer.Key == r.key
	return o
}

// address selects a random endpoint of the service, as callers with a list of addresses
// do.
func (l *load) address(r *request) string {
	var addresses []string
	for _, e := range l.d.Endpoints {
		if e.Service != r.call.Service || r.domain != "" && e.Domain != r.domain {
			continue
		}
		if l.options.Mode == "direct" {
			addresses = append(addresses, e.Direct)
		} else {
			addresses = append(addresses, e.Public)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return addresses[l.random.Intn(len(addresses))]
}
