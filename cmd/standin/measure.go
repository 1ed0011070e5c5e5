package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// recorder records the outcomes of requests.
type recorder struct {
	d *deployment

	mu        sync.Mutex
	customers []customerCounts
	seconds   []second
	codes     map[string]int
	attempts  int
	// buckets determine whether a request is within its customer's rate and burst.
	buckets []tokenBucket
	// failedCritical counts critical requests that failed.
	failedCritical int
	criticals      int
	latency        *hdrhistogram.Histogram
	reservations   map[string]*reservation
}

// reservation holds the results that a caller received for one idempotency key.
type reservation struct {
	Key string `json:"key"`
	OK  bool   `json:"ok"`
	// Runs holds the run member of each failed attempt's response; it is empty if the
	// attempt got none.
	Runs []string `json:"runs"`
}

func (r *recorder) recordReservation(q *request, o outcome) {
	if q.key == "" {
		return
	}
	known := r.reservations[q.key]
	if known == nil {
		known = &reservation{Key: q.key}
		r.reservations[q.key] = known
	}
	known.OK = known.OK || o.ok
	if !o.ok {
		known.Runs = append(known.Runs, o.run)
	}
}

// writeReservations writes one line of JSON for each key.
func (r *recorder) writeReservations(file string) error {
	out, err := os.Create(file)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(out)
	for _, known := range r.reservations {
		if err := encoder.Encode(known); err != nil {
			return err
		}
	}
	return out.Close()
}

type customerCounts struct {
	offered           int
	withinRate        int
	served            int
	servedWithinRate  int
	refusedWithinRate int
}

// second holds the counts for one second of a load run.
type second struct {
	Offered int `json:"offered"`
	Good    int `json:"good"`
}

// tokenBucket limits a customer to its contracted rate and burst.
type tokenBucket struct {
	tokens float64
	at     time.Duration
}

// Bounds of the latency histogram in microseconds, and its significant digits.
const (
	minLatencyUs  = 1
	maxLatencyUs  = 60_000_000
	latencyDigits = 3
)

func newRecorder(d *deployment) *recorder {
	r := &recorder{
		d:            d,
		customers:    make([]customerCounts, len(d.Customers)),
		buckets:      make([]tokenBucket, len(d.Customers)),
		codes:        map[string]int{},
		reservations: map[string]*reservation{},
		latency:      hdrhistogram.New(minLatencyUs, maxLatencyUs, latencyDigits),
	}
	for i, c := range d.Customers {
		r.buckets[i].tokens = c.Burst
	}
	return r
}

func (r *recorder) second(at time.Duration) *second {
	i := int(at / time.Second)
	for len(r.seconds) <= i {
		r.seconds = append(r.seconds, second{})
	}
	return &r.seconds[i]
}

// recordOffered counts a request and reports whether it is within its customer's rate.
func (r *recorder) recordOffered(q *request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &r.customers[q.customer]
	c.offered++
	r.second(q.at).Offered++
	if q.call.Critical {
		r.criticals++
	}
	withinRate := r.buckets[q.customer].takeToken(r.d.Customers[q.customer], q.at)
	if withinRate {
		c.withinRate++
	}
	return withinRate
}

func (m *tokenBucket) takeToken(c customer, at time.Duration) bool {
	m.tokens = min(c.Burst, m.tokens+c.Rate*(at-m.at).Seconds())
	m.at = at
	if m.tokens < 1 {
		return false
	}
	m.tokens--
	return true
}

func (r *recorder) recordAttempt(q *request, o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts++
	r.recordReservation(q, o)
	if o.ok {
		return
	}
	code := o.code
	if code == "" {
		code = fmt.Sprintf("status%d", o.status)
	}
	r.codes[code]++
	if q.call.Critical {
		r.codes["critical "+code]++
	}
	if q.withinRate && o.status == http.StatusTooManyRequests {
		r.customers[q.customer].refusedWithinRate++
	}
}

func (r *recorder) recordResult(q *request, o outcome, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !o.ok {
		if q.call.Critical {
			r.failedCritical++
		}
		return
	}
	r.customers[q.customer].served++
	if q.withinRate {
		r.customers[q.customer].servedWithinRate++
	}
	r.second(q.at+took).Good++
	_ = r.latency.RecordValue(took.Microseconds())
}

// measures holds the results of a load run.
type measures struct {
	Deployment string         `json:"deployment"`
	Mode       string         `json:"mode"`
	Scenario   string         `json:"scenario"`
	Seed       int64          `json:"seed"`
	Capacity   float64        `json:"capacity"`
	Phases     []phaseMeasure `json:"phases"`
	// RecoverySeconds is the time from the end of the last disturbance until goodput is at
	// least 95 % of the calm phase's over two seconds, or -1 if that never happens.
	RecoverySeconds float64 `json:"recoverySeconds"`
	// WorstServed is the lowest fraction, over all customers except a greedy one, of
	// requests within the customer's rate that were served.
	WorstServed   float64 `json:"worstServed"`
	WorstCustomer string  `json:"worstCustomer"`
	// RefusedInside is the number of rate limit refusals (429) of requests within their
	// customer's rate, as a fraction of those requests.
	RefusedInside float64 `json:"refusedInside"`
	// CriticalLost is the fraction of critical requests that failed.
	CriticalLost float64 `json:"criticalLost"`
	// AttemptsPerRequest includes the callers' retries.
	AttemptsPerRequest float64        `json:"attemptsPerRequest"`
	P50Ms              float64        `json:"p50Ms"`
	P99Ms              float64        `json:"p99Ms"`
	Codes              map[string]int `json:"codes"`
	Seconds            []second       `json:"seconds"`
}

type phaseMeasure struct {
	Name    string  `json:"name"`
	Seconds float64 `json:"seconds"`
	// Offered and Good are in requests per second. Good counts requests with a complete
	// response in time.
	Offered float64 `json:"offered"`
	Good    float64 `json:"good"`
	// OfCapacity is Good as a fraction of the lower of Offered and the capacity.
	OfCapacity float64 `json:"ofCapacity"`
}

const microsPerMs = 1000

func (r *recorder) measures(l *load, phases []phase) *measures {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := &measures{
		Deployment: r.d.Name, Mode: l.options.Mode, Scenario: l.options.Scenario, Seed: l.options.Seed,
		Capacity: r.d.Capacity, Codes: r.codes, Seconds: r.seconds, WorstServed: 1,
		P50Ms: float64(r.latency.ValueAtQuantile(50)) / microsPerMs,
		P99Ms: float64(r.latency.ValueAtQuantile(99)) / microsPerMs,
	}
	from := 0
	for _, p := range phases {
		to := from + int(p.seconds)
		m.Phases = append(m.Phases, r.phase(p, from, to))
		from = to
	}
	m.RecoverySeconds = r.recovery(phases)
	r.sumCustomers(l, m)
	return m
}

func (r *recorder) phase(p phase, from, to int) phaseMeasure {
	offered, good := 0, 0
	for i := from; i < to && i < len(r.seconds); i++ {
		offered += r.seconds[i].Offered
		good += r.seconds[i].Good
	}
	n := float64(max(1, to-from))
	result := phaseMeasure{Name: p.name, Seconds: p.seconds, Offered: float64(offered) / n, Good: float64(good) / n}
	if possible := min(result.Offered, r.d.Capacity); possible > 0 {
		result.OfCapacity = result.Good / possible
	}
	return result
}

func (r *recorder) recovery(phases []phase) float64 {
	const wanted = 0.95
	if len(phases) < 3 {
		return 0
	}
	calm := r.phase(phases[0], 1, int(phases[0].seconds)).Good
	start := 0
	for _, p := range phases[:len(phases)-1] {
		start += int(p.seconds)
	}
	for i := start; i+1 < len(r.seconds); i++ {
		if float64(r.seconds[i].Good+r.seconds[i+1].Good) >= 2*wanted*calm {
			return float64(i - start)
		}
	}
	return -1
}

func (r *recorder) sumCustomers(l *load, m *measures) {
	inside, refused, requests := 0, 0, 0
	for i, c := range r.customers {
		requests += c.offered
		greedy := i == 0 && l.greedyFactor > 1
		if greedy {
			continue
		}
		inside += c.withinRate
		refused += c.refusedWithinRate
		if c.withinRate == 0 {
			continue
		}
		if share := float64(c.servedWithinRate) / float64(c.withinRate); share < m.WorstServed {
			m.WorstServed, m.WorstCustomer = share, r.d.Customers[i].ID
		}
	}
	m.RefusedInside = float64(refused) / float64(max(1, inside))
	m.CriticalLost = float64(r.failedCritical) / float64(max(1, r.criticals))
	m.AttemptsPerRequest = float64(r.attempts) / float64(max(1, requests))
}

func (m *measures) print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%s, %s, %s, seed %d: capacity %.0f requests/s\n", m.Deployment, m.Scenario, m.Mode, m.Seed, m.Capacity)
	for _, p := range m.Phases {
		_, _ = fmt.Fprintf(w, "  %-8s offered %7.1f/s  completed %7.1f/s  %5.1f %% of the achievable rate\n", p.Name, p.Offered, p.Good, 100*p.OfCapacity)
	}
	_, _ = fmt.Fprintf(w, "  recovery %.0f s; worst-served customer %s %.2f %%; refused within the rate %.3f %%\n",
		m.RecoverySeconds, m.WorstCustomer, 100*m.WorstServed, 100*m.RefusedInside)
	_, _ = fmt.Fprintf(w, "  critical lost %.2f %%; attempts per request %.2f; latency p50 %.1f ms, p99 %.1f ms\n",
		100*m.CriticalLost, m.AttemptsPerRequest, m.P50Ms, m.P99Ms)
	codes := make([]string, 0, len(m.Codes))
	for code := range m.Codes {
		codes = append(codes, code)
	}
	sort.Strings(codes)
	for _, code := range codes {
		_, _ = fmt.Fprintf(w, "    %-24s %d\n", code, m.Codes[code])
	}
}
