package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// added compares single calls through a node with calls straight at its upstream.
type added struct {
	Calls  int        `json:"calls"`
	Failed int        `json:"failed"`
	Rows   []addedRow `json:"rows"`
}

// addedRow holds one quantile, in milliseconds.
type addedRow struct {
	Quantile float64 `json:"quantile"`
	Direct   float64 `json:"directMs"`
	Through  float64 `json:"throughMs"`
	Added    float64 `json:"addedMs"`
	// TwoNodes passes an entry node of another service, as a call between services does.
	TwoNodes      float64 `json:"twoNodesMs"`
	AddedTwoNodes float64 `json:"addedTwoNodesMs"`
}

// Shape of the comparison.
const (
	latencyRounds = 3000
	latencyPause  = 2 * time.Millisecond
)

// compareLatency sends single calls by turns straight to an upstream and through its
// node, to a service that answers at once.
func (l *load) compareLatency() error {
	e := l.d.Endpoints[0]
	path := l.fastPath(e.Service)
	direct := hdrhistogram.New(leastLatency, mostLatency, latencyDigit)
	through := hdrhistogram.New(leastLatency, mostLatency, latencyDigit)
	twoNodes := hdrhistogram.New(leastLatency, mostLatency, latencyDigit)
	result := added{Calls: 3 * latencyRounds}
	for range latencyRounds {
		for _, side := range []struct {
			address string
			h       *hdrhistogram.Histogram
		}{{e.Upstream, direct}, {e.Public, through}, {l.otherEntry(e), twoNodes}} {
			took, ok := l.timeCall(side.address, http.MethodGet, path)
			if !ok {
				result.Failed++
				continue
			}
			_ = side.h.RecordValue(took.Microseconds())
			time.Sleep(latencyPause)
		}
	}
	for _, q := range []float64{50, 90, 99} {
		d := float64(direct.ValueAtQuantile(q)) / microsPerMs
		t := float64(through.ValueAtQuantile(q)) / microsPerMs
		two := float64(twoNodes.ValueAtQuantile(q)) / microsPerMs
		result.Rows = append(result.Rows, addedRow{
			Quantile: q, Direct: d, Through: t, Added: t - d, TwoNodes: two, AddedTwoNodes: two - d,
		})
	}
	return l.reportAdded(&result)
}

// otherEntry is the public address of a node of another service in the same domain.
func (l *load) otherEntry(e endpoint) string {
	for _, other := range l.d.Endpoints {
		if other.Domain == e.Domain && other.Service != e.Service {
			return other.Public
		}
	}
	return e.Public
}

func (l *load) reportAdded(a *added) error {
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

// fastPath is a lookup of a service that its stand-in answers at once.
func (l *load) fastPath(service string) string {
	for _, c := range l.d.Mix {
		if c.Service == service && !c.Reserve {
			path, _, _ := strings.Cut(c.Path, "?")
			return path + "?fast=1"
		}
	}
	return "/"
}

func (l *load) timeCall(address, method, path string) (time.Duration, bool) {
	req, err := http.NewRequest(method, "http://"+address+path, nil)
	if err != nil {
		return 0, false
	}
	if l.options.Mode == "nodes" {
		req.Header.Set("X-Api-Key", l.d.Customers[0].Key)
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
