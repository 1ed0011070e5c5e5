package proc_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wagtailyoke/core/intent"
	"wagtailyoke/core/world"
	"wagtailyoke/io/conf"
	"wagtailyoke/io/httpx"
	"wagtailyoke/io/proc"
	"wagtailyoke/platform"
	"wagtailyoke/platform/stand"
)

const secret = "a-secret-of-the-fleet"

// freeAddress returns a free loopback address. No other test uses its IP, so none can
// take the port before the node binds it.
func freeAddress(c *qt.C) string {
	l, err := net.Listen("tcp", "127.0.7.7:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// testFleet is a set of nodes on real sockets, each with an upstream, and a platform.
type testFleet struct {
	platform string
	publics  []string
	ops      []string
	keysSeen atomic.Int64
}

func startFleet(c *qt.C, nodes int) *testFleet {
	s := &testFleet{}
	objects := httptest.NewServer(stand.New(stand.Limits{}))
	c.Cleanup(objects.Close)
	s.platform = objects.URL
	cfg := intent.Empty()
	cfg.Domains = []world.DomainID{"d"}
	for i := range 4 {
		contract := intent.Contract{Rate: 50, Burst: 50}
		cfg.Customers = append(cfg.Customers, intent.Customer{
			ID: world.CustomerID(fmt.Sprintf("c%d", i)), Contract: contract, Previous: contract,
			Keys: []intent.Key{{Label: "main", Digest: intent.Digest(fmt.Sprintf("key-c%d", i))}},
		})
	}
	cfg.Routes = []intent.Route{{ID: "look", Service: "s", Prefix: "/s", Importance: "lookup", Idempotent: true, Public: true}}
	value, err := cfg.Encode()
	c.Assert(err, qt.IsNil)
	_, err = platform.NewKeys(s.platform, time.Second).PutNow(context.Background(), intent.ObjectKey, 0, value)
	c.Assert(err, qt.IsNil)
	for i := range nodes {
		s.startNode(c, i)
	}
	return s
}

func (s *testFleet) startNode(c *qt.C, i int) {
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Api-Key") != "" {
			s.keysSeen.Add(1)
		}
		_, _ = io.WriteString(w, "answer to "+r.URL.Path)
	}))
	c.Cleanup(func() {
		upstream.CloseClientConnections()
		upstream.Close()
	})
	settings := &conf.Settings{
		Node:     conf.Node{Name: fmt.Sprintf("n%d", i), Domain: "d", Service: "s"},
		Listen:   conf.Listen{Public: freeAddress(c), Egress: freeAddress(c), Peer: freeAddress(c), Ops: freeAddress(c), MaxConnections: 1000},
		Upstream: conf.Upstream{Address: upstream.Listener.Addr().String()},
		Platform: conf.Platform{URL: s.platform, TimeoutMs: 2000},
		Fleet:    conf.Fleet{Secret: secret, StopSeconds: 10},
	}
	s.publics = append(s.publics, settings.Listen.Public)
	s.ops = append(s.ops, settings.Listen.Ops)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- proc.Run(ctx, settings) }()
	c.Cleanup(func() {
		cancel()
		c.Check(<-stopped, qt.IsNil)
	})
}

// get makes one call, with up to the given number of tries while the call fails.
func get(client *http.Client, address, path string, header http.Header, tries int) (int, string, error) {
	for {
		req, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
		if err != nil {
			return 0, "", err
		}
		req.Header = header.Clone()
		resp, err := client.Do(req)
		if err == nil {
			body, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			return resp.StatusCode, string(body), err
		}
		tries--
		if tries <= 0 {
			return 0, "", err
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// TestEveryConcurrentCallIsAnswered sends more concurrent calls than the contracts allow.
// Every call must be answered; a call that hangs fails by the client's timeout.
func TestEveryConcurrentCallIsAnswered(t *testing.T) {
	c := qt.New(t)
	s := startFleet(c, 3)
	client := &http.Client{Timeout: time.Minute, Transport: &http.Transport{MaxIdleConnsPerHost: 200}}
	ready := http.Header{httpx.HeaderSecret: {secret}}
	for _, ops := range s.ops {
		_, _, err := get(client, ops, "/healthz", ready, 200)
		c.Assert(err, qt.IsNil)
		resp, err := client.Do(newReadyRequest(c, ops))
		c.Assert(err, qt.IsNil)
		c.Assert(resp.StatusCode, qt.Equals, http.StatusNoContent)
		_ = resp.Body.Close()
	}
	var served, refused, broken atomic.Int64
	var done sync.WaitGroup
	for worker := range 60 {
		done.Add(1)
		go func() {
			defer done.Done()
			header := http.Header{"X-Api-Key": {fmt.Sprintf("key-c%d", worker%4)}}
			for i := range 40 {
				path := fmt.Sprintf("/s/%d/%d", worker, i)
				status, body, err := get(client, s.publics[(worker+i)%len(s.publics)], path, header, 200)
				switch {
				case err != nil || status == http.StatusOK && body != "answer to "+path:
					broken.Add(1)
				case status == http.StatusOK:
					served.Add(1)
				default:
					refused.Add(1)
				}
			}
		}()
	}
	done.Wait()
	t.Logf("%d served, %d refused, %d broken", served.Load(), refused.Load(), broken.Load())
	c.Assert(broken.Load(), qt.Equals, int64(0))
	c.Assert(served.Load() > 0, qt.IsTrue)
	c.Assert(s.keysSeen.Load(), qt.Equals, int64(0))
	status, _, err := get(client, s.ops[0], "/status", http.Header{}, 1)
	c.Assert(err, qt.IsNil)
	c.Assert(status, qt.Equals, http.StatusForbidden)
}

func newReadyRequest(c *qt.C, ops string) *http.Request {
	made, err := http.NewRequest(http.MethodPost, "http://"+ops+"/upstream", strings.NewReader(`{"state":"ready"}`))
	c.Assert(err, qt.IsNil)
	made.Header.Set(httpx.HeaderSecret, secret)
	return made
}
