package share_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"wagtailyoke/core/share"
	"wagtailyoke/core/table"
	"wagtailyoke/core/timer"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

const customer = world.CustomerID("mill-7")

var errLost = errors.New("no way to the home")

// site is a fleet of gates that ask each other with a delay, cut into sides.
type site struct {
	clock *timer.Virtual
	gates []*share.Limiter
	// side is the side of the cut that a node is on; told is what each node last heard
	// of each other.
	side []int
	told [][]share.Peer
	// heard is when a node last heard of another one.
	heard [][]time.Duration
	// leaving are the nodes that have begun to stop.
	leaving []bool
	// admitted are the instants of all admitted requests.
	admitted []time.Duration
	refused  int
	// returned is the part of the tokens that is given back, in percent; spent counts
	// all of them.
	returned, spent int
}

func name(i int) world.NodeID { return world.NodeID(fmt.Sprintf("n%02d", i)) }

const (
	hop    = 2 * time.Millisecond
	period = 250 * time.Millisecond
)

func newSite(n int, c *table.Customer, tolerance share.Tolerance) *site {
	s := &site{
		clock: timer.NewVirtual(), side: make([]int, n), told: make([][]share.Peer, n), heard: make([][]time.Duration, n),
		leaving: make([]bool, n), gates: make([]*share.Limiter, n),
	}
	for i := range n {
		s.told[i] = make([]share.Peer, n)
		s.heard[i] = make([]time.Duration, n)
		s.start(i, c, tolerance)
	}
	timer.Every(s.clock, period, s.spread)
	return s
}

// start starts the process of a node anew.
func (s *site) start(i int, c *table.Customer, tolerance share.Tolerance) {
	s.leaving[i] = false
	s.gates[i] = share.New(s.clock, name(i), tolerance, func(home world.NodeID, req *wire.TokenRequest, timeout time.Duration, done func(*wire.TokenReply, error)) {
		s.carry(i, home, req, timeout, done)
	})
	s.gates[i].SetCustomers([]*table.Customer{c})
	// A process lists the others before it serves.
	s.tell(i)
}

// stop begins the shutdown of a node.
func (s *site) stop(i int) {
	s.leaving[i] = true
	s.gates[i].Leave()
}

func (s *site) carry(from int, home world.NodeID, req *wire.TokenRequest, timeout time.Duration, done func(*wire.TokenReply, error)) {
	for i := range s.gates {
		if name(i) != home {
			continue
		}
		if s.side[i] != s.side[from] {
			s.clock.After(timeout, func() { done(nil, errLost) })
			return
		}
		s.clock.After(hop, func() {
			reply := s.gates[i].Grant(req)
			s.clock.After(hop, func() { done(reply, nil) })
		})
	}
}

// spread tells each node of the others on its side.
func (s *site) spread() {
	for i, g := range s.gates {
		g.UpdateDemand()
		s.tell(i)
	}
}

func (s *site) tell(i int) {
	now := s.clock.Now()
	var peers []share.Peer
	for j := range s.gates {
		if i == j {
			continue
		}
		if s.side[i] == s.side[j] {
			s.told[i][j] = share.Peer{Node: name(j), IsLeaving: s.leaving[j]}
			s.heard[i][j] = now
		}
		p := s.told[i][j]
		p.Node = name(j)
		p.Age = now - s.heard[i][j]
		peers = append(peers, p)
	}
	s.gates[i].SetPeers(peers)
}

func (s *site) offer(node int) {
	s.gates[node].TakeToken(customer, func(ok bool, _ time.Duration) {
		s.spent++
		if ok && s.spent*37%100 < s.returned {
			s.gates[node].ReturnToken(customer)
			return
		}
		if ok {
			s.admitted = append(s.admitted, s.clock.Now())
			return
		}
		s.refused++
	})
}

// most returns the largest number of admissions in a window.
func (s *site) most(window time.Duration) int {
	most, first := 0, 0
	for i, at := range s.admitted {
		for at-s.admitted[first] > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

var tolerance = share.Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

func allowed(c *table.Customer) float64 {
	return (c.Rate*5+c.Burst)*1.1 + 20
}

// TestSmallCustomerFindsItsTokens plays 0.95 of a small customer's rate, spread over many
// nodes: one token would lie at each of them if the burst were split.
func TestSmallCustomerFindsItsTokens(t *testing.T) {
	c := qt.New(t)
	small := &table.Customer{ID: customer, Rate: 12, Burst: 12}
	s := newSite(12, small, tolerance)
	s.clock.Run(5 * time.Second)
	at := s.clock.Now()
	offered := 0
	for i := 0; at < 65*time.Second; i++ {
		// Uneven gaps around the mean, from a fixed sequence.
		at += time.Duration(float64(time.Second) / (12 * 0.95) * (0.2 + 1.6*float64((i*37)%100)/99))
		s.clock.Run(at)
		s.offer((i * 7) % 12)
		offered++
	}
	s.clock.Run(at + time.Second)
	c.Assert(float64(s.refused)/float64(offered) < 0.01, qt.IsTrue, qt.Commentf("%d of %d refused inside the rate", s.refused, offered))
}

// TestRateHoldsOverAllNodes plays customers of any size that offer up to eight times
// their rate at moving nodes, through cuts at any moment.
func TestRateHoldsOverAllNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(5, 120).Draw(t, "rate")
		who := &table.Customer{ID: customer, Rate: rate, Burst: rate}
		n := rapid.IntRange(2, 14).Draw(t, "nodes")
		s := newSite(n, who, tolerance)
		s.returned = rapid.SampledFrom([]int{0, 0, 30, 80}).Draw(t, "returned")
		s.clock.Run(4 * time.Second)
		factor := rapid.Float64Range(0.5, 8).Draw(t, "factor")
		at := s.clock.Now()
		nextCut := at + time.Duration(rapid.IntRange(500, 6000).Draw(t, "cutMs"))*time.Millisecond
		cutFor := time.Duration(rapid.IntRange(500, 9000).Draw(t, "cutForMs")) * time.Millisecond
		members := rapid.IntRange(1, n-1).Draw(t, "members")
		hot := rapid.IntRange(0, n-1).Draw(t, "hot")
		isCut := false
		for i := 0; at < 24*time.Second; i++ {
			at += time.Duration(float64(time.Second) / (rate * factor))
			if !isCut && at >= nextCut && at < nextCut+cutFor {
				isCut = true
				for j := range members {
					s.side[j] = 1
				}
			}
			if isCut && at >= nextCut+cutFor {
				isCut = false
				clear(s.side)
			}
			s.clock.Run(at)
			// Half of the requests go to one node.
			node := hot
			if i%2 == 0 {
				node = (i * 5) % n
			}
			s.offer(node)
		}
		if got := s.most(5 * time.Second); float64(got) > allowed(who) {
			t.Fatalf("%d requests in 5 s, allowed %.0f", got, allowed(who))
		}
	})
}

// TestReturnedTokensAreSpentAgain gives back three tokens of four, as when a service has no
// room. The rest of the requests, which is the customer's rate, is not refused for that.
func TestReturnedTokensAreSpentAgain(t *testing.T) {
	c := qt.New(t)
	who := &table.Customer{ID: customer, Rate: 40, Burst: 40}
	s := newSite(6, who, tolerance)
	s.returned = 75
	s.clock.Run(3 * time.Second)
	for i := 0; s.clock.Now() < 23*time.Second; i++ {
		s.clock.Run(s.clock.Now() + time.Second/160)
		s.offer(i % 6)
	}
	kept := float64(len(s.admitted)) / (20 * 40)
	c.Assert(kept > 0.9, qt.IsTrue, qt.Commentf("%.2f of the rate was let in", kept))
}

// TestCutSidesShareOneRate expects that both sides of a cut go on, and that neither is
// given the whole rate.
func TestCutSidesShareOneRate(t *testing.T) {
	c := qt.New(t)
	who := &table.Customer{ID: customer, Rate: 60, Burst: 60}
	s := newSite(12, who, tolerance)
	offerAll := func(until time.Duration) {
		for i := 0; s.clock.Now() < until; i++ {
			s.clock.Run(s.clock.Now() + time.Second/180)
			s.offer(i % 12)
		}
	}
	s.clock.Run(4 * time.Second)
	offerAll(14 * time.Second)
	for i := range 4 {
		s.side[i] = 1
	}
	offerAll(17 * time.Second)
	s.admitted = nil
	offerAll(27 * time.Second)
	rate := float64(len(s.admitted)) / 10
	c.Assert(rate > 0.8*60, qt.IsTrue, qt.Commentf("%.1f a second while cut", rate))
	c.Assert(rate < 1.1*60+4, qt.IsTrue, qt.Commentf("%.1f a second while cut", rate))
}

// TestRateHoldsWhileNodesAreStoppedInTurn: a node that stops keeps no pool, though its callers
// come until it ends.
func TestRateHoldsWhileNodesAreStoppedInTurn(t *testing.T) {
	c := qt.New(t)
	for _, n := range []int{2, 6, 14} {
		who := &table.Customer{ID: customer, Rate: 67, Burst: 67}
		s := newSite(n, who, tolerance)
		s.clock.Run(4 * time.Second)
		for i := range n {
			s.clock.After(time.Duration(i)*1200*time.Millisecond, func() { s.stop(i) })
			s.clock.After(time.Duration(i)*1200*time.Millisecond+5500*time.Millisecond, func() { s.start(i, who, tolerance) })
		}
		for i := 0; s.clock.Now() < 30*time.Second; i++ {
			s.clock.Run(s.clock.Now() + time.Second/(4*67))
			s.offer(i % n)
		}
		c.Assert(float64(s.most(5*time.Second)) <= allowed(who), qt.IsTrue,
			qt.Commentf("%d nodes: %d requests in 5 s, allowed %.0f", n, s.most(5*time.Second), allowed(who)))
		c.Assert(float64(len(s.admitted)) > 0.6*26*67, qt.IsTrue, qt.Commentf("%d nodes: %d requests let in", n, len(s.admitted)))
	}
}

// TestNewProcessEarnsNothingBeforeItKnowsTheOthers: it would take the whole rate for its own.
func TestNewProcessEarnsNothingBeforeItKnowsTheOthers(t *testing.T) {
	c := qt.New(t)
	clock := timer.NewVirtual()
	g := share.New(clock, name(0), tolerance, nil)
	g.SetCustomers([]*table.Customer{{ID: customer, Rate: 100, Burst: 100}})
	take := func() (admitted int) {
		for range 300 {
			g.TakeToken(customer, func(ok bool, _ time.Duration) {
				if ok {
					admitted++
				}
			})
		}
		return admitted
	}
	clock.Run(clock.Now() + time.Second)
	c.Assert(take(), qt.Equals, 0)
	g.SetPeers(nil)
	clock.Run(clock.Now() + time.Second)
	c.Assert(take() > 90, qt.IsTrue)
}

// TestPoolIsHandedOver plays 0.9 of a customer's rate while its homes stop one after the other.
func TestPoolIsHandedOver(t *testing.T) {
	c := qt.New(t)
	who := &table.Customer{ID: customer, Rate: 40, Burst: 40}
	const n = 12
	s := newSite(n, who, tolerance)
	s.clock.Run(4 * time.Second)
	for i := range n {
		s.clock.After(time.Duration(i)*2*time.Second, func() { s.stop(i) })
		s.clock.After(time.Duration(i)*2*time.Second+3*time.Second, func() { s.start(i, who, tolerance) })
	}
	offered := 0
	for i := 0; s.clock.Now() < 30*time.Second; i++ {
		// Bursts of nine requests.
		s.clock.Run(s.clock.Now() + time.Second/4)
		for j := range 9 {
			s.offer((i + j) % n)
			offered++
		}
	}
	c.Assert(float64(s.refused)/float64(offered) < 0.01, qt.IsTrue, qt.Commentf("%d of %d refused inside the rate", s.refused, offered))
	c.Assert(float64(s.most(5*time.Second)) <= allowed(who), qt.IsTrue)
}
