package node_test

import (
	"fmt"
	"net/http"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"wagtailyoke/core/intent"
	"wagtailyoke/core/node"
	"wagtailyoke/core/roster"
	"wagtailyoke/core/timer"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// benchConfig returns testConfig with a given number of customers.
func benchConfig(customers int) *intent.Config {
	cfg := testConfig()
	cfg.Customers = nil
	for i := range customers {
		id := fmt.Sprintf("c%d", i)
		contract := intent.Contract{Rate: 1e6, Burst: 1e6}
		cfg.Customers = append(cfg.Customers, intent.Customer{
			ID: world.CustomerID(id), Contract: contract, Previous: contract,
			Keys: []intent.Key{{Label: "main", Digest: intent.Digest("key-" + id)}},
		})
	}
	return cfg
}

// leaderWith returns the leader of a failure domain with a given number of nodes.
func leaderWith(b *testing.B, nodes, customers int) (*fleet, *vm) {
	b.Helper()
	f := newFleet(1, 1, 1, "a")
	f.start(benchConfig(customers))
	l := f.leaderOf("d0")
	if l == nil {
		b.Fatal("no leader")
	}
	for i := range nodes {
		l.n.HandleControl(heartbeatOf(i, customers, nil), func(proto.Message) {})
	}
	return f, l
}

func heartbeatOf(i, customers int, marks []*wire.RosterMark) *wire.BeatRequest {
	req := &wire.BeatRequest{
		Node: &wire.NodeInfo{
			Name: fmt.Sprintf("region-1-domain-12-service-%03d-%d", i%140, i), Domain: "d0", Service: fmt.Sprintf("service-%03d", i%140),
			PublicAddress: "10.120.130.140:8080", PeerAddress: "10.120.130.140:8082", OpsAddress: "10.120.130.140:8083",
			State: wire.NodeState_NODE_STATE_READY, Incarnation: 1,
		},
		Epoch: 1, ConfigVersion: 1, Book: 1, Marks: marks,
	}
	for c := range customers {
		req.Usages = append(req.Usages, &wire.Usage{Customer: fmt.Sprintf("c%d", c)})
	}
	return req
}

// BenchmarkLeaderBeat measures one heartbeat at a leader, by nodes of its domain and
// customers active at the sender. wire-B is the size of both messages.
func BenchmarkLeaderBeat(b *testing.B) {
	for _, nodes := range []int{25, 50, 100, 200} {
		for _, customers := range []int{0, 8, 32} {
			b.Run(fmt.Sprintf("nodes=%d/customers=%d", nodes, customers), func(b *testing.B) {
				_, l := leaderWith(b, nodes, customers)
				var reply proto.Message
				l.n.HandleControl(heartbeatOf(0, customers, nil), func(m proto.Message) { reply = m })
				marks := []*wire.RosterMark{{Domain: "d0", Epoch: 1, Version: 1 << 40}}
				req := heartbeatOf(0, customers, marks)
				b.ReportAllocs()
				for b.Loop() {
					l.n.HandleControl(req, func(m proto.Message) { reply = m })
				}
				b.ReportMetric(float64(proto.Size(req)+proto.Size(reply)), "wire-B")
			})
		}
	}
}

// BenchmarkDecide measures the complete decision path of a call at its entry node, with
// an upstream that answers at once, by number of customers.
func BenchmarkDecide(b *testing.B) {
	for _, customers := range []int{8, 100, 1000} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			f := newFleet(1, 1, 1, "a")
			f.start(benchConfig(customers))
			v := f.vms[0]
			v.up.mean = time.Nanosecond
			b.ReportAllocs()
			for b.Loop() {
				header := http.Header{}
				header.Set(node.HeaderKey, "key-c1")
				v.n.ServePublic(node.Incoming{ID: "r", Method: http.MethodGet, Path: "/a/x", Header: header}, func(*world.Reply) {})
				f.run(time.Millisecond)
			}
		})
	}
}

// BenchmarkInstall measures decoding and validating a configuration, by customers.
func BenchmarkInstall(b *testing.B) {
	for _, customers := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			value, err := benchConfig(customers).Encode()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := intent.Decode(1, value); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(value)), "wire-B")
		})
	}
}

// BenchmarkRoster measures creating and applying a full roster delta, by nodes. B/node is
// the memory per node, wire-B the size of the full delta, and change-B the size of the
// delta of one changed node.
func BenchmarkRoster(b *testing.B) {
	for _, nodes := range []int{100, 500, 1900} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			clock := timer.NewVirtual()
			before := heap()
			source := roster.New(clock, "d0")
			source.StartEpoch(1)
			for i := range nodes {
				source.Upsert(heartbeatOf(i, 0, nil).Node)
			}
			used := max(0, heap()-before)
			full := source.Deltas(nil)
			changed := heartbeatOf(0, 0, nil).Node
			changed.State = wire.NodeState_NODE_STATE_DRAINING
			marks := source.Marks()
			source.Upsert(changed)
			one := source.Deltas(marks)
			b.ReportAllocs()
			for b.Loop() {
				target := roster.New(clock, "d1")
				target.Apply(source.Deltas(target.Marks()))
			}
			b.ReportMetric(float64(used)/float64(nodes), "B/node")
			b.ReportMetric(float64(proto.Size(full[0])), "wire-B")
			b.ReportMetric(float64(proto.Size(one[0])), "change-B")
		})
	}
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkRecords measures creating and settling a reservation's record at its home leader.
func BenchmarkRecords(b *testing.B) {
	_, l := leaderWith(b, 1, 8)
	before := heap()
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		i++
		key := &wire.RecordKey{Customer: "c1", Route: "b.reserve", Key: fmt.Sprintf("key-%032d", i)}
		l.n.HandleControl(&wire.BeginRequest{Key: key, Owner: "o", RemainingMs: 1000}, func(proto.Message) {})
		answer := &wire.Answer{Status: 200, Body: make([]byte, 500)}
		l.n.HandleControl(&wire.FinishRequest{Key: key, Epoch: 1, Owner: "o", Answer: answer}, func(proto.Message) {})
	}
	b.ReportMetric(float64(heap()-before)/float64(i), "B/record")
	runtime.KeepAlive(l)
}
