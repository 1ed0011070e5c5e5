package admit_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"wagtailyoke/core/admit"
	"wagtailyoke/core/invar"
	"wagtailyoke/core/timer"
	"wagtailyoke/core/world"
)

// fakeUpstream is an upstream with slots and its own queue, on virtual time.
type fakeUpstream struct {
	clock     *timer.Virtual
	random    *rand.Rand
	slots     int
	mean      time.Duration
	running   int
	waiting   []func()
	completed int
}

func (s *fakeUpstream) handle(finished func()) {
	if s.running == s.slots {
		s.waiting = append(s.waiting, func() { s.handle(finished) })
		return
	}
	s.running++
	took := time.Duration(float64(s.mean) * (0.5 + s.random.Float64()))
	s.clock.After(took, func() {
		s.running--
		s.completed++
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			next()
		}
		finished()
	})
}

// limitTest sends calls to an upstream through a queue with an adaptive limit.
type limitTest struct {
	clock    *timer.Virtual
	upstream *fakeUpstream
	limiter  *admit.Limiter
	queue    *admit.FairQueue
	shed     int
	// importance is the importance of all calls.
	importance world.Importance
	// upstreamTimes are the times that calls spent in the upstream since sendCalls began.
	upstreamTimes []time.Duration
}

func newLimitTest(t testing.TB, slots int, mean time.Duration, options admit.LimitOptions) *limitTest {
	clock := timer.NewVirtual()
	l := &limitTest{clock: clock, importance: world.ImportanceLookup, upstream: &fakeUpstream{clock: clock, random: rand.New(rand.NewSource(1)), slots: slots, mean: mean}}
	l.limiter = admit.NewLimiter(clock, options)
	l.queue = admit.NewFairQueue(clock, l.limiter, invar.New(func(v invar.Violation) { t.Error(v) }), admit.FairQueueOptions{})
	return l
}

// sendCalls sends calls at a rate per second for a duration. It returns the calls completed per
// second.
func (l *limitTest) sendCalls(rate float64, d time.Duration) float64 {
	end := l.clock.Now() + d
	var next func()
	next = func() {
		if l.clock.Now() >= end {
			return
		}
		l.sendCall()
		l.clock.After(time.Duration(l.upstream.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	before := l.upstream.completed
	l.upstreamTimes = nil
	next()
	l.clock.Run(end)
	return float64(l.upstream.completed-before) / d.Seconds()
}

func (l *limitTest) sendCall() {
	ticket := &admit.Ticket{Importance: l.importance, Customer: "c", Weight: 1, Deadline: l.clock.Now() + 2*time.Second}
	ticket.Shed = func(world.Code) { l.shed++ }
	ticket.Start = func() {
		started := l.clock.Now()
		l.upstream.handle(func() {
			own := l.clock.Now() - started
			l.upstreamTimes = append(l.upstreamTimes, own)
			l.queue.Leave(ticket, admit.Sample{Route: "r", OwnTime: own})
		})
	}
	l.queue.Enter(ticket)
}

func (l *limitTest) meanUpstreamTime() time.Duration {
	var sum time.Duration
	for _, d := range l.upstreamTimes {
		sum += d
	}
	return sum / time.Duration(max(1, len(l.upstreamTimes)))
}

// expectCapacityUsed overloads an upstream from a cold start. Nine tenths of its capacity must be
// used, and calls must not queue inside it for longer than they run.
func expectCapacityUsed(t *testing.T, name string, slots int, mean time.Duration, overload float64) {
	t.Helper()
	l := newLimitTest(t, slots, mean, admit.LimitOptions{})
	capacity := float64(slots) / mean.Seconds()
	l.sendCalls(overload*capacity, 5*time.Second)
	good := l.sendCalls(overload*capacity, 20*time.Second)
	t.Logf("%s: %.3f of capacity, limit %d of %d slots, mean in the upstream %v of %v", name, good/capacity, l.limiter.Limit(), slots, l.meanUpstreamTime(), mean)
	if good < 0.9*capacity {
		t.Errorf("%s: only %.3f of the capacity was used", name, good/capacity)
	}
	if l.meanUpstreamTime() > 2*mean {
		t.Errorf("%s: calls took %v in an upstream that needs %v", name, l.meanUpstreamTime(), mean)
	}
}

func TestLimitFindsCapacity(t *testing.T) {
	expectCapacityUsed(t, "60 slots at twice the capacity", 60, 120*time.Millisecond, 2)
	expectCapacityUsed(t, "60 slots at four times", 60, 120*time.Millisecond, 4)
	expectCapacityUsed(t, "15 slots", 15, 60*time.Millisecond, 3)
	expectCapacityUsed(t, "110 slots, slow", 110, 200*time.Millisecond, 3)
	expectCapacityUsed(t, "110 slots, fast", 110, 10*time.Millisecond, 1.5)
}

// TestNoSheddingBelowCapacity checks that, after a cold start at six tenths of the capacity,
// nothing is shed after the first second.
func TestNoSheddingBelowCapacity(t *testing.T) {
	l := newLimitTest(t, 60, 120*time.Millisecond, admit.LimitOptions{})
	l.sendCalls(300, time.Second)
	t.Logf("shed in the first second: %d of 300; limit %d", l.shed, l.limiter.Limit())
	l.shed = 0
	l.sendCalls(300, 30*time.Second)
	if l.shed > 0 {
		t.Errorf("%d of 9000 calls were shed at six tenths of the capacity, limit %d", l.shed, l.limiter.Limit())
	}
}

// TestLimitStaysWhenUpstreamSlowsDown checks that an upstream at a tenth of its speed still uses
// its slots, and that the limit is right again within 5 s after it has recovered.
func TestLimitStaysWhenUpstreamSlowsDown(t *testing.T) {
	l := newLimitTest(t, 60, 40*time.Millisecond, admit.LimitOptions{})
	l.sendCalls(1300, 5*time.Second)
	l.upstream.mean = 400 * time.Millisecond
	l.sendCalls(1300, 5*time.Second)
	slow := l.sendCalls(1300, 15*time.Second)
	l.upstream.mean = 40 * time.Millisecond
	l.sendCalls(1300, 5*time.Second)
	after := l.sendCalls(1300, 5*time.Second)
	t.Logf("%.3f of the slowed capacity, %.3f of the capacity from 5 s after recovery", slow/150, after/1300)
	if slow < 0.9*150 || after < 0.9*1300 {
		t.Errorf("slow %.0f of 150 calls/s, after %.0f of 1300 calls/s", slow, after)
	}
}

// TestLittleSheddingAtHighUtilization runs a small upstream at nine tenths of its capacity. Its
// calls may wait for a second, as critical ones do.
func TestLittleSheddingAtHighUtilization(t *testing.T) {
	const allowedShare = 0.01
	l := newLimitTest(t, 15, 160*time.Millisecond, admit.LimitOptions{})
	l.importance = world.ImportanceCritical
	rate := 0.88 * 15 / 0.160
	l.sendCalls(rate, 10*time.Second)
	l.shed = 0
	l.sendCalls(rate, 120*time.Second)
	share := float64(l.shed) / (rate * 120)
	t.Logf("shed %.4f, limit %d, mean in the upstream %v", share, l.limiter.Limit(), l.meanUpstreamTime())
	if share > allowedShare {
		t.Errorf("%.4f of the calls were shed at 0.88 of the capacity", share)
	}
}

// BenchmarkLimitSweep runs 60 slots at three times their capacity with different tolerances and
// decreases. It reports goodput as a fraction of the capacity, and the time in the upstream as a
// multiple of the time that calls need.
func BenchmarkLimitSweep(b *testing.B) {
	const slots, overload = 60, 3
	const mean = 120 * time.Millisecond
	for _, tolerance := range []float64{1.1, 1.15, 1.2, 1.3, 1.5} {
		for _, decrease := range []float64{0.6, 0.75, 0.9} {
			b.Run(fmt.Sprintf("tolerance=%.2f/decrease=%.2f", tolerance, decrease), func(b *testing.B) {
				var good, inflation float64
				for b.Loop() {
					l := newLimitTest(b, slots, mean, admit.LimitOptions{Tolerance: tolerance, Decrease: decrease})
					capacity := slots / mean.Seconds()
					l.sendCalls(overload*capacity, 5*time.Second)
					good = l.sendCalls(overload*capacity, 30*time.Second) / capacity
					inflation = l.meanUpstreamTime().Seconds() / mean.Seconds()
				}
				b.ReportMetric(good, "goodput")
				b.ReportMetric(inflation, "inflation")
			})
		}
	}
}
