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

// service is an upstream with slots and a queue of its own, on virtual time.
type service struct {
	clock   *timer.Virtual
	random  *rand.Rand
	slots   int
	mean    time.Duration
	running int
	waiting []func()
	done    int
}

func (s *service) do(finished func()) {
	if s.running == s.slots {
		s.waiting = append(s.waiting, func() { s.do(finished) })
		return
	}
	s.running++
	took := time.Duration(float64(s.mean) * (0.5 + s.random.Float64()))
	s.clock.After(took, func() {
		s.running--
		s.done++
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			next()
		}
		finished()
	})
}

// limited offers calls to a service behind a queue with an adaptive limit.
type limited struct {
	clock   *timer.Virtual
	s       *service
	limiter *admit.Limiter
	q       *admit.FairQueue
	shed    int
	// importance is that of all calls.
	importance world.Importance
	// inUpstream are the times in the upstream since the last look.
	inUpstream []time.Duration
}

func newLimited(t testing.TB, slots int, mean time.Duration, options admit.LimitOptions) *limited {
	clock := timer.NewVirtual()
	l := &limited{clock: clock, importance: world.ImportanceLookup, s: &service{clock: clock, random: rand.New(rand.NewSource(1)), slots: slots, mean: mean}}
	l.limiter = admit.NewLimiter(clock, options)
	l.q = admit.NewFairQueue(clock, l.limiter, invar.New(func(v invar.Violation) { t.Error(v) }), admit.FairQueueOptions{})
	return l
}

// offer sends calls at a rate per second for a time, and returns the calls done a second.
func (l *limited) offer(rate float64, d time.Duration) float64 {
	end := l.clock.Now() + d
	var next func()
	next = func() {
		if l.clock.Now() >= end {
			return
		}
		l.enter()
		l.clock.After(time.Duration(l.s.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	before := l.s.done
	l.inUpstream = nil
	next()
	l.clock.Run(end)
	return float64(l.s.done-before) / d.Seconds()
}

func (l *limited) enter() {
	ticket := &admit.Ticket{Importance: l.importance, Customer: "c", Weight: 1, Deadline: l.clock.Now() + 2*time.Second}
	ticket.Shed = func(world.Code) { l.shed++ }
	ticket.Start = func() {
		started := l.clock.Now()
		l.s.do(func() {
			own := l.clock.Now() - started
			l.inUpstream = append(l.inUpstream, own)
			l.q.Leave(ticket, admit.Sample{Route: "r", OwnTime: own})
		})
	}
	l.q.Enter(ticket)
}

func (l *limited) meanInUpstream() time.Duration {
	var sum time.Duration
	for _, d := range l.inUpstream {
		sum += d
	}
	return sum / time.Duration(max(1, len(l.inUpstream)))
}

// expectLimit overloads a service from a cold start: nine tenths of its capacity
// have to come through, and calls must not queue inside it for longer than they run.
func expectLimit(t *testing.T, name string, slots int, mean time.Duration, overload float64) {
	t.Helper()
	l := newLimited(t, slots, mean, admit.LimitOptions{})
	capacity := float64(slots) / mean.Seconds()
	l.offer(overload*capacity, 5*time.Second)
	good := l.offer(overload*capacity, 20*time.Second)
	t.Logf("%s: %.3f of capacity, limit %d of %d slots, mean in the upstream %v of %v", name, good/capacity, l.limiter.Limit(), slots, l.meanInUpstream(), mean)
	if good < 0.9*capacity {
		t.Errorf("%s: only %.3f of the capacity came through", name, good/capacity)
	}
	if l.meanInUpstream() > 2*mean {
		t.Errorf("%s: calls took %v in an upstream that needs %v", name, l.meanInUpstream(), mean)
	}
}

func TestLimitFindsCapacity(t *testing.T) {
	expectLimit(t, "60 slots at twice the capacity", 60, 120*time.Millisecond, 2)
	expectLimit(t, "60 slots at four times", 60, 120*time.Millisecond, 4)
	expectLimit(t, "15 slots", 15, 60*time.Millisecond, 3)
	expectLimit(t, "110 slots, slow", 110, 200*time.Millisecond, 3)
	expectLimit(t, "110 slots, fast", 110, 10*time.Millisecond, 1.5)
}

// TestCalmIsNotShed: a cold start at six tenths of the capacity sheds little, and
// nothing after the first second.
func TestCalmIsNotShed(t *testing.T) {
	l := newLimited(t, 60, 120*time.Millisecond, admit.LimitOptions{})
	l.offer(300, time.Second)
	t.Logf("shed in the first second: %d of 300; limit %d", l.shed, l.limiter.Limit())
	l.shed = 0
	l.offer(300, 30*time.Second)
	if l.shed > 0 {
		t.Errorf("%d of 9000 calls were shed in a calm system, limit %d", l.shed, l.limiter.Limit())
	}
}

// TestSlowServiceKeepsItsSlots: a service at a tenth of its speed still uses its
// slots, and after it the limit is back within 5 s.
func TestSlowServiceKeepsItsSlots(t *testing.T) {
	l := newLimited(t, 60, 40*time.Millisecond, admit.LimitOptions{})
	l.offer(1300, 5*time.Second)
	l.s.mean = 400 * time.Millisecond
	l.offer(1300, 5*time.Second)
	slow := l.offer(1300, 15*time.Second)
	l.s.mean = 40 * time.Millisecond
	l.offer(1300, 5*time.Second)
	after := l.offer(1300, 5*time.Second)
	t.Logf("%.3f of the slowed capacity, %.3f of the capacity from 5 s after it on", slow/150, after/1300)
	if slow < 0.9*150 || after < 0.9*1300 {
		t.Errorf("slow %.0f of 150 calls/s, after %.0f of 1300 calls/s", slow, after)
	}
}

// TestHighUseIsNotShed: a small service at nine tenths of its capacity, whose calls may
// wait for a second, as critical ones do.
func TestHighUseIsNotShed(t *testing.T) {
	const allowedShare = 0.01
	l := newLimited(t, 15, 160*time.Millisecond, admit.LimitOptions{})
	l.importance = world.ImportanceCritical
	rate := 0.88 * 15 / 0.160
	l.offer(rate, 10*time.Second)
	l.shed = 0
	l.offer(rate, 120*time.Second)
	share := float64(l.shed) / (rate * 120)
	t.Logf("shed %.4f, limit %d, mean in the upstream %v", share, l.limiter.Limit(), l.meanInUpstream())
	if share > allowedShare {
		t.Errorf("%.4f of the calls were shed at 0.88 of the capacity", share)
	}
}

// BenchmarkLimitSweep runs 60 slots at three times the capacity with other tolerances
// and decreases: goodput as a share of the capacity, and the time in the upstream as a
// multiple of what it needs.
func BenchmarkLimitSweep(b *testing.B) {
	const slots, overload = 60, 3
	const mean = 120 * time.Millisecond
	for _, tolerance := range []float64{1.1, 1.15, 1.2, 1.3, 1.5} {
		for _, decrease := range []float64{0.6, 0.75, 0.9} {
			b.Run(fmt.Sprintf("tolerance=%.2f/decrease=%.2f", tolerance, decrease), func(b *testing.B) {
				var good, inflation float64
				for b.Loop() {
					l := newLimited(b, slots, mean, admit.LimitOptions{Tolerance: tolerance, Decrease: decrease})
					capacity := slots / mean.Seconds()
					l.offer(overload*capacity, 5*time.Second)
					good = l.offer(overload*capacity, 30*time.Second) / capacity
					inflation = l.meanInUpstream().Seconds() / mean.Seconds()
				}
				b.ReportMetric(good, "goodput")
				b.ReportMetric(inflation, "inflation")
			})
		}
	}
}
