package admit_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wagtailyoke/core/admit"
	"wagtailyoke/core/invar"
	"wagtailyoke/core/timer"
	"wagtailyoke/core/world"
)

// TestFairQueue drives a queue with random arrivals, ends, cancellations and waits. Each ticket is
// started or shed exactly once, the limit holds, and no call is shed for lack of room while a less
// important one is queued.
func TestFairQueue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		clock := timer.NewVirtual()
		checks := invar.New(func(v invar.Violation) { rt.Fatalf("invariant %v: %s", v.Name, v.Detail) })
		limit := float64(rapid.IntRange(1, 6).Draw(rt, "limit"))
		limiter := admit.NewLimiter(clock, admit.LimitOptions{Initial: limit, Min: limit, Max: limit})
		q := admit.NewFairQueue(clock, limiter, checks, admit.FairQueueOptions{})
		var running []*admit.Ticket
		queued := map[*admit.Ticket]bool{}
		ended := map[*admit.Ticket]int{}
		enter := func(importance world.Importance, customer int, patience time.Duration) {
			ticket := &admit.Ticket{
				Importance: importance,
				Customer:   world.CustomerID(fmt.Sprint(customer)),
				Weight:     float64(1 + customer),
				Deadline:   clock.Now() + patience,
			}
			ticket.Start = func() {
				delete(queued, ticket)
				ended[ticket]++
				running = append(running, ticket)
				if len(running) > int(limit) {
					rt.Fatalf("%d run with a limit of %v", len(running), limit)
				}
			}
			ticket.Shed = func(code world.Code) {
				delete(queued, ticket)
				ended[ticket]++
				if code == world.CodeDeadline {
					return
				}
				for other := range queued {
					if other.Importance < ticket.Importance {
						rt.Fatalf("shed %v (%s) while %v is queued", ticket.Importance, code, other.Importance)
					}
				}
			}
			queued[ticket] = true
			q.Enter(ticket)
		}
		rt.Repeat(map[string]func(*rapid.T){
			"enter": func(rt *rapid.T) {
				enter(world.Importance(rapid.IntRange(0, world.ImportanceCount-1).Draw(rt, "importance")),
					rapid.IntRange(0, 3).Draw(rt, "customer"),
					time.Duration(rapid.IntRange(1, 900).Draw(rt, "patience"))*time.Millisecond)
			},
			"leave": func(rt *rapid.T) {
				if len(running) == 0 {
					return
				}
				ticket := running[0]
				running = running[1:]
				q.Leave(ticket, admit.Sample{Route: "r", OwnTime: time.Millisecond})
			},
			"cancel": func(rt *rapid.T) {
				for ticket := range queued {
					if q.Cancel(ticket) {
						delete(queued, ticket)
					}
					return
				}
			},
			"wait": func(rt *rapid.T) {
				clock.Run(clock.Now() + time.Duration(rapid.IntRange(1, 400).Draw(rt, "ms"))*time.Millisecond)
			},
			"": func(rt *rapid.T) {
				for ticket, n := range ended {
					if n != 1 {
						rt.Fatalf("ticket of %v ended %d times", ticket.Importance, n)
					}
				}
				if q.Load() != len(running)+len(queued) {
					rt.Fatalf("load %d, but %d run and %d are queued", q.Load(), len(running), len(queued))
				}
			},
		})
	})
}

// TestFairQueueSharesByContractedRate lets two customers offer more load than the upstream can
// serve. They must be served by their contracted rates, not by the load that they offer.
func TestFairQueueSharesByContractedRate(t *testing.T) {
	clock := timer.NewVirtual()
	limiter := admit.NewLimiter(clock, admit.LimitOptions{Initial: 4, Min: 4, Max: 4})
	q := admit.NewFairQueue(clock, limiter, invar.New(func(v invar.Violation) { t.Fatal(v) }), admit.FairQueueOptions{})
	served := map[world.CustomerID]int{}
	sendCalls := func(customer world.CustomerID, weight float64, every time.Duration) {
		timer.Every(clock, every, func() {
			ticket := &admit.Ticket{Importance: world.ImportanceLookup, Customer: customer, Weight: weight, Deadline: clock.Now() + time.Second}
			ticket.Shed = func(world.Code) {}
			ticket.Start = func() {
				served[customer]++
				clock.After(20*time.Millisecond, func() { q.Leave(ticket, admit.Sample{Route: "r", OwnTime: 20 * time.Millisecond}) })
			}
			q.Enter(ticket)
		})
	}
	sendCalls("greedy", 50, time.Millisecond)
	sendCalls("fair", 50, 8*time.Millisecond)
	clock.Run(20 * time.Second)
	const wanted = 0.45
	share := float64(served["fair"]) / float64(served["fair"]+served["greedy"])
	if share < wanted {
		t.Errorf("the customer within its contracted rate got %.2f of the service, not half: %v", share, served)
	}
}

// TestLevelFollowsCapacity checks that, with 40 % of a class shed, callers that apply the level
// shed about as much, and that the level is 0 again 5 s after the last shedding.
func TestLevelFollowsCapacity(t *testing.T) {
	clock := timer.NewVirtual()
	level := admit.NewLevel(clock, admit.LevelOptions{})
	for range 100 {
		level.CountOffered(world.ImportanceCritical)
		level.CountOffered(world.ImportanceLookup)
	}
	for range 40 {
		level.CountShed(world.ImportanceLookup)
	}
	clock.Run(100 * time.Millisecond)
	if v := level.Value(); v < 2.35 || v > 2.45 {
		t.Errorf("level %.2f, wanted 2.40", v)
	}
	clock.Run(5 * time.Second)
	if v := level.Value(); v != 0 {
		t.Errorf("level %.2f is left 5 s after the last shedding", v)
	}
}
