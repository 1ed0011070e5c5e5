package quota_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wagtailyoke/core/intent"
	"wagtailyoke/core/invar"
	"wagtailyoke/core/quota"
	"wagtailyoke/core/timer"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

const (
	testRate  = 50
	testBurst = 20
	testLease = time.Second
)

// TestLedger runs one leader and three nodes over a network that loses, duplicates and
// delays heartbeats, and checks that the nodes never spend more than rate and burst.
func TestLedger(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		clock := timer.NewVirtual()
		checks := invar.New(func(v invar.Violation) { rt.Fatalf("invariant %v: %s", v.Name, v.Detail) })
		ledger := quota.NewLedger(clock, checks, "d", testLease, true)
		ledger.ApplyConfig(testConfig("d"), 0)
		tokens := make([]*quota.LocalTokens, 3)
		for i := range tokens {
			tokens[i] = quota.NewLocalTokens(clock, testLease, 1)
		}
		level, at := float64(testBurst), time.Duration(0)
		spend := func() {
			level = min(testBurst, level+testRate*(clock.Now()-at).Seconds()) - 1
			at = clock.Now()
			if level < -0.001 {
				rt.Fatalf("spent %.3f over rate and burst", -level)
			}
		}
		sendHeartbeat := func(rt *rapid.T, i int) {
			ledgerID, usages := tokens[i].ReportUsage(quota.WaitingCounts{"c": 2})
			sent := clock.Now()
			for range rapid.IntRange(0, 2).Draw(rt, "copies") {
				requestDelay := time.Duration(rapid.IntRange(0, 1200).Draw(rt, "requestDelay")) * time.Millisecond
				replyDelay := time.Duration(rapid.IntRange(0, 1200).Draw(rt, "replyDelay")) * time.Millisecond
				clock.After(requestDelay, func() {
					reply := &wire.BeatReply{IsLeader: true}
					ledger.HandleUsages(fmt.Sprint(i), false, ledgerID, usages, reply)
					clock.After(replyDelay, func() { tokens[i].ApplyReply(reply, sent) })
				})
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"delayedHeartbeat": func(rt *rapid.T) { sendHeartbeat(rt, rapid.IntRange(0, 2).Draw(rt, "node")) },
			"fastHeartbeat": func(rt *rapid.T) {
				i := rapid.IntRange(0, 2).Draw(rt, "node")
				id, usages := tokens[i].ReportUsage(quota.WaitingCounts{"c": 3})
				reply := &wire.BeatReply{IsLeader: true}
				ledger.HandleUsages(fmt.Sprint(i), false, id, usages, reply)
				tokens[i].ApplyReply(reply, clock.Now())
			},
			"takeToken": func(rt *rapid.T) {
				if tokens[rapid.IntRange(0, 2).Draw(rt, "node")].TakeToken("c") {
					spend()
				}
			},
			"restart": func(rt *rapid.T) { tokens[rapid.IntRange(0, 2).Draw(rt, "node")].Reset() },
			"wait": func(rt *rapid.T) {
				clock.Run(clock.Now() + time.Duration(rapid.IntRange(1, 700).Draw(rt, "ms"))*time.Millisecond)
			},
		})
	})
}

func testConfig(domains ...world.DomainID) *intent.Config {
	contract := intent.Contract{Rate: testRate, Burst: testBurst}
	cfg := intent.Empty()
	cfg.Domains = domains
	cfg.Customers = []intent.Customer{{ID: "c", Contract: contract, Previous: contract}}
	return cfg
}

// TestDomainLimitsAddUp checks that the domain limits of a contract never exceed the
// contract, whatever its size, and that each limit above 0 holds a complete token.
func TestDomainLimitsAddUp(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := intent.Contract{
			Rate:  rapid.Float64Range(0.1, 1e5).Draw(rt, "rate"),
			Burst: rapid.Float64Range(1, 1e5).Draw(rt, "burst"),
		}
		domains := make([]world.DomainID, rapid.IntRange(1, 19).Draw(rt, "domains"))
		for i := range domains {
			domains[i] = world.DomainID(fmt.Sprintf("domain-%d", i))
		}
		var rate, burst quota.Micro
		for _, d := range domains {
			p := quota.DomainLimit(c, "c", d, domains)
			rate += p.Rate
			burst += p.Burst
			if p.Burst > 0 && p.Burst < quota.Token {
				rt.Fatalf("a limit of %d cannot hold a token", p.Burst)
			}
		}
		if float64(rate) > c.Rate*float64(quota.Token) || float64(burst) > c.Burst*float64(quota.Token) {
			rt.Fatalf("limits add up to rate %d and burst %d, contract is %+v", rate, burst, c)
		}
	})
}

// TestLateFirstHeartbeat: a grantee's ledger was written off, and a late duplicate of its
// first heartbeat reopens it. Tokens that the grantee reports as granted from the old
// ledger match no grant in the new one, so the ledger must be reset.
func TestLateFirstHeartbeat(t *testing.T) {
	clock := timer.NewVirtual()
	checks := invar.New(func(v invar.Violation) { t.Errorf("invariant %v: %s", v.Name, v.Detail) })
	ledger := quota.NewLedger(clock, checks, "d", testLease, true)
	ledger.ApplyConfig(testConfig("d"), 0)
	clock.Run(time.Second)
	first := []*wire.Usage{{Customer: "c", Want: 5, Urgent: 5}}
	handle := func(usages []*wire.Usage) *wire.BeatReply {
		reply := &wire.BeatReply{}
		ledger.HandleUsages("n", false, 7, usages, reply)
		return reply
	}
	handle(first)
	clock.Run(4 * time.Second)
	handle(first)
	if !handle([]*wire.Usage{{Customer: "c", Granted: 10, Spent: 8}}).GetResetBook() {
		t.Error("the ledger of the grantee was not reset")
	}
}

// TestGateConcurrent takes, reports, applies and admits concurrently. It guards against
// the deadlock of a report that locked the waiting calls while it held the token source,
// while AdmitWaiting locked them in the reverse order.
func TestGateConcurrent(t *testing.T) {
	clock := timer.NewReal()
	ledger := quota.NewLedger(clock, invar.New(func(v invar.Violation) { t.Errorf("%v", v) }), "d", testLease, true)
	ledger.ApplyConfig(testConfig("d"), 0)
	tokens := quota.NewLocalTokens(clock, testLease, 1)
	gate := quota.NewGate(clock, time.Millisecond, func() {}, func(world.CustomerID) bool { return false })
	gate.SetTokenSources(tokens)
	var takes, heartbeats sync.WaitGroup
	stop := make(chan struct{})
	for range 4 {
		heartbeats.Add(1)
		go func() {
			defer heartbeats.Done()
			for {
				select {
				case <-stop:
					return
				default:
				}
				sent := clock.Now()
				ledgerID, usages := tokens.ReportUsage(gate.WaitingCounts())
				reply := &wire.BeatReply{}
				ledger.HandleUsages("n", false, ledgerID, usages, reply)
				tokens.ApplyReply(reply, sent)
				gate.AdmitWaiting()
			}
		}()
	}
	for range 20_000 {
		takes.Add(1)
		go gate.Admit("c", func(bool) { takes.Done() })
	}
	takes.Wait()
	close(stop)
	heartbeats.Wait()
}
