package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"
	"wagtailyoke/core/node"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// latencyResult compares the latency of single calls through nodes with direct calls to
// the upstream.
type latencyResult struct {
	Calls  int          `json:"calls"`
	Failed int          `json:"failed"`
	Rows   []latencyRow `json:"rows"`
}

// latencyRow holds the latencies of one quantile, in milliseconds.
type latencyRow struct {
	Quantile float64 `json:"quantile"`
	Direct   float64 `json:"directMs"`
	Through  float64 `json:"throughMs"`
	Added    float64 `json:"addedMs"`
	// TwoNodes is the latency through an entry node of another service and the upstream's
	// node, as for a call between services.
	TwoNodes      float64 `json:"twoNodesMs"`
	AddedTwoNodes float64 `json:"addedTwoNodesMs"`
}

// callInterval is the pause after a call, so that calls do not affect each other.
const callInterval = 2 * time.Millisecond

// compareLatency alternates single calls directly to an upstream, through its node, and
// through two nodes. The calls spend no service time at the upstream.
func (l *load) compareLatency() error {
	e := l.d.Endpoints[0]
	path := l.fastPath(e.Service)
	key := l.d.Customers[0].Key
	direct := hdrhistogram.New(minLatencyUs, maxLatencyUs, latencyDigits)
	through := hdrhistogram.New(minLatencyUs, maxLatencyUs, latencyDigits)
	twoNodes := hdrhistogram.New(minLatencyUs, maxLatencyUs, latencyDigits)
	result := latencyResult{Calls: 3 * l.options.Rounds}
	for range l.options.Rounds {
		for _, side := range []struct {
			address string
			key     string
			h       *hdrhistogram.Histogram
		}{{e.Upstream, "", direct}, {e.Public, key, through}, {l.otherEntry(e), key, twoNodes}} {
			took, ok := l.timeCall(side.address, path, side.key)
			if !ok {
				result.Failed++
				continue
			}
			_ = side.h.RecordValue(took.Microseconds())
			time.Sleep(callInterval)
		}
	}
	for _, q := range []float64{50, 90, 99} {
		d := float64(direct.ValueAtQuantile(q)) / microsPerMs
		t := float64(through.ValueAtQuantile(q)) / microsPerMs
		two := float64(twoNodes.ValueAtQuantile(q)) / microsPerMs
		result.Rows = append(result.Rows, latencyRow{
			Quantile: q, Direct: d, Through: t, Added: t - d, TwoNodes: two, AddedTwoNodes: two - d,
		})
	}
	return l.reportAdded(&result)
}

// otherEntry returns the public address of a node of another service in the same domain.
func (l *load) otherEntry(e endpoint) string {
	for _, other := range l.d.Endpoints {
		if other.Domain == e.Domain && other.Service != e.Service {
			return other.Public
		}
	}
	return e.Public
}

func (l *load) reportAdded(a *latencyResult) error {
	for _, r := range a.Rows {
		fmt.Printf("p%-3.0f direct %7.3f ms  through its node %7.3f ms, added %6.3f ms  through two nodes %7.3f ms, added %6.3f ms\n",
			r.Quantile, r.Direct, r.Through, r.Added, r.TwoNodes, r.AddedTwoNodes)
	}
	fmt.Printf("%d of %d calls failed\n", a.Failed, a.Calls)
	if l.options.Out == "" {
		return nil
	}
	encoded, err := json.MarshalIndent(a, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(l.options.Out, encoded, 0o600)
}

// fastPath returns the path of a lookup for which the stand-in spends no service time.
func (l *load) fastPath(service string) string {
	for _, c := range l.d.Mix {
		if c.Service == service && !c.Reserve {
			path, _, _ := strings.Cut(c.Path, "?")
			return path + "?fast=1"
		}
	}
	return "/"
}

// timeCall makes one call and measures its latency. A direct call to an upstream must have
// an empty key, because 'standin check' fails if an upstream received a customer's key.
func (l *load) timeCall(address, path, key string) (time.Duration, bool) {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return 0, false
	}
	if key != "" {
		req.Header.Set(node.HeaderKey, key)
	}
	start := time.Now()
	resp, err := l.client.Do(req)
	if err != nil {
		return 0, false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return time.Since(start), err == nil && resp.StatusCode == http.StatusOK
}
