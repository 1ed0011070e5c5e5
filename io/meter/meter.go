// Package meter counts refusals and retries by reason with tally and shows them
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

	"wagtailyoke/core/world"
)

// Names of the counters. docs/metrics.md lists them.
const (
	CounterAdmitted   = "admitted"
	CounterServed     = "served"
	CounterRefused    = "refused"
	CounterRetried    = "retried"
	CounterViolations = "invariant_violations"
)

const prefix = "wagtailyoke"

// reportInterval is how often counts move to the exposed registry.
const reportInterval = 500 * time.Millisecond

// Meter counts.
type Meter struct {
	scope    tally.Scope
	reporter prometheus.Reporter

	mu       sync.RWMutex
	counters map[counterID]tally.Counter
}

type counterID struct {
	name  string
	label string
	value string
}

// New returns a meter. The closer flushes it.
func New() (*Meter, io.Closer) {
	// A registry of its own lets several nodes run in one process, as tests do.
	registry := promclient.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Meter{scope: scope, reporter: reporter, counters: map[counterID]tally.Counter{}}, closer
}

// Handler serves the counters.
func (m *Meter) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Admitted counts a call that spent one of its customer's tokens.
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

// Names returns the exposed names of all counters.
func Names() []string {
	var names []string
	for _, name := range []string{CounterAdmitted, CounterServed, CounterRefused, CounterRetried, CounterViolations} {
		names = append(names, prefix+prometheus.DefaultSeparator+name)
	}
	return names
}
