// Package meter records counters, histograms and gauges with tally and exposes them
// in the Prometheus text format.
//
// # Usage
//
//	m, closer := meter.New()
//	m.Refused(world.CodeOverRate)
//	http.Handle("/metrics", m.Handler())
package meter

import (
	"io"
	"net/http"
	"sync"
	"time"

	promclient "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"wagtailyoke/core/mesh"
	"wagtailyoke/core/world"
)

// Names of the counters. docs/metrics.md lists them.
const (
	CounterAdmitted   = "admitted"
	CounterServed     = "served"
	CounterRefused    = "refused"
	CounterRetried    = "retried"
	CounterCrashed    = "upstream_crashes"
	CounterViolations = "invariant_violations"
	// HistogramTook is the duration in seconds, by part of the request and route.
	HistogramTook = "took"
)

// Names of the gauges of a mesh node.
const (
	GaugeRunning      = "running"
	GaugeWaiting      = "waiting"
	GaugeLimit        = "limit"
	GaugeLevel        = "admission_level"
	GaugeTableVersion = "table_version"
	GaugeTableAge     = "table_age_seconds"
	GaugeNodes        = "nodes"
	GaugeSilent       = "nodes_silent"
	GaugeCold         = "upstream_cold"
	GaugeCallLimit    = "upstream_call_limit"
	GaugeCallRate     = "upstream_call_rate"
	GaugeEvacuated    = "domains_evacuated"
	GaugeLost         = "evacuations_lost"
	GaugeStoreEra     = "store_era"
	GaugeSuspects     = "requests_suspected"
	GaugeBanned       = "requests_banned"
)

// maxRouteSeries bounds the number of separate histograms. Routes beyond it share one per
// part, under otherRoute.
const (
	maxRouteSeries = 64
	otherRoute     = "other"
)

// durationBuckets are the bounds of the histogram, from the time of one hop to the longest
// wait of a caller.
var durationBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second,
}

const prefix = "wagtailyoke"

// flushInterval is how often tally's values are copied to the exposed registry.
const flushInterval = 500 * time.Millisecond

// Meter records the metrics of one node.
type Meter struct {
	scope    tally.Scope
	reporter prometheus.Reporter

	mu        sync.RWMutex
	counters  map[counterID]tally.Counter
	durations map[durationID]tally.Histogram
	gauges    map[string]tally.Gauge
}

type durationID struct {
	part  mesh.Phase
	route world.RouteID
}

type counterID struct {
	name  string
	label string
	value string
}

// New returns a meter. Closing the closer flushes it.
func New() (*Meter, io.Closer) {
	// A separate registry allows several nodes in one process, as in tests.
	registry := promclient.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, flushInterval)
	return &Meter{scope: scope, reporter: reporter, counters: map[counterID]tally.Counter{}, durations: map[durationID]tally.Histogram{}, gauges: map[string]tally.Gauge{}}, closer
}

// Handler serves the metrics.
func (m *Meter) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Admitted counts a call that was admitted with one of its customer's tokens.
func (m *Meter) Admitted(customer world.CustomerID) {
	m.counter(CounterAdmitted, "customer", string(customer)).Inc(1)
}

// Served counts a call that was answered by an upstream.
func (m *Meter) Served(route world.RouteID) { m.counter(CounterServed, "route", string(route)).Inc(1) }

// Refused counts a refusal by its code.
func (m *Meter) Refused(code world.Code) { m.counter(CounterRefused, "reason", string(code)).Inc(1) }

// Retried counts a retry by the code of the failure before it.
func (m *Meter) Retried(reason world.Code) {
	m.counter(CounterRetried, "reason", string(reason)).Inc(1)
}

// Crashed counts an exit of the upstream with calls in flight.
func (m *Meter) Crashed() { m.counter(CounterCrashed, "", "").Inc(1) }

// ObserveDuration records how long one part of a request took.
func (m *Meter) ObserveDuration(part mesh.Phase, route world.RouteID, d time.Duration) {
	m.histogram(durationID{part: part, route: route}).RecordDuration(d)
}

func (m *Meter) histogram(id durationID) tally.Histogram {
	m.mu.RLock()
	h, ok := m.durations[id]
	isFull := len(m.durations) >= maxRouteSeries
	m.mu.RUnlock()
	if ok {
		return h
	}
	if isFull && id.route != otherRoute {
		return m.histogram(durationID{part: id.part, route: otherRoute})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	h = m.scope.Tagged(map[string]string{"part": id.part.String(), "route": string(id.route)}).Histogram(HistogramTook, durationBuckets)
	m.durations[id] = h
	return h
}

// ReportStats sets the gauges to the current values of a mesh node.
func (m *Meter) ReportStats(s mesh.Stats) {
	for name, value := range map[string]float64{
		GaugeRunning: float64(s.Running), GaugeWaiting: float64(s.Waiting), GaugeLimit: float64(s.Limit),
		GaugeLevel: s.Level, GaugeTableVersion: float64(s.TableVersion), GaugeTableAge: s.TableAge.Seconds(),
		GaugeNodes: float64(s.Nodes), GaugeSilent: float64(s.Unreachable),
		GaugeCold: boolValue(s.IsCold), GaugeCallLimit: s.CallLimit, GaugeCallRate: s.CallRate, GaugeEvacuated: float64(s.Evacuated),
		GaugeLost: float64(s.EvacuationsLost), GaugeStoreEra: float64(s.StoreEra),
		GaugeSuspects: float64(s.Suspects), GaugeBanned: float64(s.Banned),
	} {
		m.gauge(name).Update(value)
	}
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (m *Meter) gauge(name string) tally.Gauge {
	m.mu.Lock()
	defer m.mu.Unlock()
	g, ok := m.gauges[name]
	if !ok {
		g = m.scope.Gauge(name)
		m.gauges[name] = g
	}
	return g
}

// Violated counts a broken invariant.
func (m *Meter) Violated() { m.counter(CounterViolations, "", "").Inc(1) }

func (m *Meter) counter(name, label, value string) tally.Counter {
	id := counterID{name: name, label: label, value: value}
	m.mu.RLock()
	c, ok := m.counters[id]
	m.mu.RUnlock()
	if ok {
		return c
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	scope := m.scope
	if label != "" {
		scope = scope.Tagged(map[string]string{label: value})
	}
	c = scope.Counter(name)
	m.counters[id] = c
	return c
}

// Names returns the exposed names of all metrics.
func Names() []string {
	var names []string
	for _, name := range []string{
		CounterAdmitted, CounterServed, CounterRefused, CounterRetried, CounterCrashed, CounterViolations, HistogramTook,
		GaugeRunning, GaugeWaiting, GaugeLimit, GaugeLevel, GaugeTableVersion, GaugeTableAge, GaugeNodes, GaugeSilent, GaugeCold, GaugeCallLimit, GaugeCallRate, GaugeEvacuated, GaugeLost, GaugeStoreEra, GaugeSuspects, GaugeBanned,
	} {
		names = append(names, prefix+prometheus.DefaultSeparator+name)
	}
	return names
}
