package admit

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"wagtailyoke/core/timer"
	"wagtailyoke/core/world"
)

// waitQueueTest records which waiters of a queue are started or dropped.
type waitQueueTest struct {
	clock   *timer.Virtual
	queue   *WaitQueue
	events  []string
	waiters map[string]*Waiter
}

func newWaitQueueTest(slots int) *waitQueueTest {
	clock := timer.NewVirtual()
	l := &waitQueueTest{clock: clock, queue: NewWaitQueue(clock, slots, WaitQueueOptions{}), waiters: map[string]*Waiter{}}
	l.queue.SetGrades(3)
	return l
}

func (l *waitQueueTest) enter(name string, grade world.Grade, deadline time.Duration) {
	w := &Waiter{Route: "r", Grade: grade, Deadline: l.clock.Now() + deadline}
	w.Start = func() { l.events = append(l.events, name) }
	w.Drop = func(code world.Code) { l.events = append(l.events, name+":"+string(code)) }
	l.waiters[name] = w
	l.queue.Enter(w)
}

func expectEvents(c *qt.C, l *waitQueueTest, want string) {
	c.Assert(strings.Join(l.events, " "), qt.Equals, want)
}

func TestWaitQueueStartsHighestGradeFirst(t *testing.T) {
	c := qt.New(t)
	l := newWaitQueueTest(1)
	l.enter("a", 1, time.Second)
	l.enter("b", 0, time.Second)
	l.enter("c", 2, time.Second)
	l.enter("d", 2, time.Second)
	for _, name := range []string{"a", "c", "d"} {
		l.queue.Leave(l.waiters[name], true)
	}
	expectEvents(c, l, "a c d b")
}

func TestWaitQueueDropsCallsThatWouldMissTheirDeadline(t *testing.T) {
	c := qt.New(t)
	l := newWaitQueueTest(1)
	l.enter("a", 0, time.Second)
	l.enter("short", 0, 20*time.Millisecond)
	l.enter("long", 0, time.Second)
	l.clock.Run(time.Second)
	expectEvents(c, l, "a short:queueFull long:queueTimeout")
	c.Assert(l.queue.Cancel(l.waiters["long"]), qt.IsFalse)
}

func TestWaitQueueRemovesCancelledCalls(t *testing.T) {
	c := qt.New(t)
	l := newWaitQueueTest(1)
	l.enter("a", 0, time.Second)
	l.enter("b", 0, time.Second)
	c.Assert(l.queue.Cancel(l.waiters["b"]), qt.IsTrue)
	l.enter("c", 0, time.Second)
	l.queue.DropAll(world.CodeDraining)
	l.queue.Leave(l.waiters["a"], false)
	expectEvents(c, l, "a c:draining")
}

// TestWaitQueueKeepsToItsSlots runs calls, ends of calls and waits in random order. At no time more
// calls run than there are slots, and each waiter is started or dropped exactly once.
func TestWaitQueueKeepsToItsSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 5).Draw(t, "slots")
		l := newWaitQueueTest(slots)
		running, ended := map[string]bool{}, map[string]int{}
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				name := fmt.Sprint(i)
				w := &Waiter{Route: "r", Grade: world.Grade(rapid.IntRange(0, 2).Draw(t, "grade")), Deadline: l.clock.Now() + 300*time.Millisecond}
				w.Start = func() {
					running[name] = true
					ended[name]++
				}
				w.Drop = func(world.Code) { ended[name]++ }
				l.waiters[name] = w
				l.queue.Enter(w)
			case 2:
				for name := range running {
					delete(running, name)
					l.queue.Leave(l.waiters[name], true)
					break
				}
			case 3:
				l.clock.Run(l.clock.Now() + 20*time.Millisecond)
			}
			if len(running) > slots {
				t.Fatalf("%d calls run in %d slots", len(running), slots)
			}
		}
		l.clock.Run(l.clock.Now() + time.Minute)
		for name := range l.waiters {
			if ended[name] != 1 {
				t.Fatalf("waiter %s ended %d times", name, ended[name])
			}
		}
	})
}

// throttleTest simulates a service with 100 slots and 3 grades. Each admitted request makes one
// call of one second to it.
type throttleTest struct {
	c         *qt.C
	clock     *timer.Virtual
	throttle  *Throttle
	slots     int
	carryOver [3]float64
	// isGraphUnknown means that entry nodes do not know yet that their requests reach the service.
	isGraphUnknown bool
}

func newThrottleTest(c *qt.C) *throttleTest {
	clock := timer.NewVirtual()
	throttle := NewThrottle(clock)
	throttle.SetGrades(3)
	return &throttleTest{c: c, clock: clock, throttle: throttle, slots: 100}
}

// sendRequests offers requests per second by grade. Calls arrive 300 ms after their requests were
// admitted at the level of that time.
func (p *throttleTest) sendRequests(d time.Duration, requested [3]float64) (level float64) {
	const step, delay = 50 * time.Millisecond, 300 * time.Millisecond
	for end := p.clock.Now() + d; p.clock.Now() < end; p.clock.Run(p.clock.Now() + step) {
		level = p.throttle.Value(p.slots, nil)
		rates := make([]RequestRates, len(requested))
		for g, rate := range requested {
			admitted := rate * AdmittedShare(world.Grade(g), level)
			rates[g] = RequestRates{Requested: rate, Admitted: admitted}
			p.carryOver[g] += admitted * step.Seconds()
			for ; p.carryOver[g] >= 1; p.carryOver[g]-- {
				p.clock.After(delay, func() { p.throttle.CountArrival(world.Grade(g), time.Second) })
			}
		}
		if p.isGraphUnknown {
			rates = []RequestRates{{Requested: 1, Admitted: 1}}
		}
		p.throttle.SetRequestRates(rates)
	}
	return level
}

func expectLevel(c *qt.C, got, want float64) {
	c.Helper()
	c.Assert(math.Abs(got-want) < 0.1, qt.IsTrue, qt.Commentf("level %.2f, want %.2f", got, want))
}

func TestThrottleAdmitsWhatFits(t *testing.T) {
	for name, test := range map[string]struct {
		requested [3]float64
		want      float64
	}{
		"room for all":                         {[3]float64{30, 30, 30}, 0},
		"lowest grade in part":                 {[3]float64{60, 30, 30}, 0.5},
		"lowest grade not at all":              {[3]float64{300, 30, 60}, 1},
		"two grades":                           {[3]float64{100, 100, 50}, 1.6},
		"highest grade in part":                {[3]float64{50, 50, 200}, 2.55},
		"highest grade never refused entirely": {[3]float64{0, 0, 100000}, 2.8},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := newThrottleTest(c)
			p.sendRequests(3*time.Second, [3]float64{20, 10, 10})
			expectLevel(c, p.sendRequests(10*time.Second, test.requested), test.want)
		})
	}
}

// TestThrottleFollowsASurge checks that the level settles soon after a change of demand and does
// not oscillate afterwards.
func TestThrottleFollowsASurge(t *testing.T) {
	c := qt.New(t)
	p := newThrottleTest(c)
	p.sendRequests(5*time.Second, [3]float64{30, 20, 20})
	surge := [3]float64{150, 20, 20}
	p.sendRequests(2*time.Second, surge)
	for range 20 {
		expectLevel(c, p.sendRequests(500*time.Millisecond, surge), 1-50.0/150)
	}
	p.sendRequests(2*time.Second, [3]float64{30, 20, 20})
	expectLevel(c, p.sendRequests(time.Second, [3]float64{30, 20, 20}), 0)
}

// TestThrottleRelearnsRequestCost starts with entry nodes that do not know the call graph, as after
// a loss of all nodes. Once they do, the cost of a request must be learned from counted requests
// only.
func TestThrottleRelearnsRequestCost(t *testing.T) {
	c := qt.New(t)
	p := newThrottleTest(c)
	requested := [3]float64{30, 20, 20}
	p.isGraphUnknown = true
	p.sendRequests(3*time.Second, requested)
	p.isGraphUnknown = false
	for range 20 {
		expectLevel(c, p.sendRequests(250*time.Millisecond, requested), 0)
	}
}

func TestThrottleUsesSpareSlotsOfOtherEndpoints(t *testing.T) {
	c := qt.New(t)
	p := newThrottleTest(c)
	p.throttle.SetOtherEndpoints([]float64{10, 10, 10}, 200)
	expectLevel(c, p.sendRequests(5*time.Second, [3]float64{100, 50, 50}), 0)
	p.throttle.SetOtherEndpoints([]float64{200, 0, 0}, 200)
	c.Assert(p.sendRequests(5*time.Second, [3]float64{100, 50, 50}) > 0.2, qt.IsTrue)
}

func TestThrottleFollowsUpstreamShedding(t *testing.T) {
	c := qt.New(t)
	p := newThrottleTest(c)
	requested := [3]float64{40, 20, 20}
	expectLevel(c, p.sendRequests(5*time.Second, requested), 0)
	for range 40 {
		p.throttle.CountShed()
		p.throttle.CountShed()
		p.sendRequests(100*time.Millisecond, requested)
	}
	c.Assert(p.sendRequests(100*time.Millisecond, requested) > 0.5, qt.IsTrue)
	expectLevel(c, p.sendRequests(30*time.Second, requested), 0)
}

func TestBacklogCountsForItsGrade(t *testing.T) {
	c := qt.New(t)
	p := newThrottleTest(c)
	p.sendRequests(5*time.Second, [3]float64{30, 20, 20})
	level := p.throttle.Value(p.slots, []float64{60, 0, 0})
	c.Assert(level > 0.1 && level <= 1, qt.IsTrue, qt.Commentf("%.2f", level))
}

func TestRefusedRequestsExpire(t *testing.T) {
	c := qt.New(t)
	clock := timer.NewVirtual()
	r := NewRetryTracker(clock)
	isBack := func(fingerprint uint64) bool { return r.Lookup(0, fingerprint, 0).IsRetry }
	r.AddRefused(1)
	r.AddRefused(2)
	clock.Run(minRetention - time.Millisecond)
	c.Assert(isBack(1), qt.IsTrue)
	c.Assert(isBack(1), qt.IsFalse)
	c.Assert(isBack(3), qt.IsFalse)
	clock.Run(5 * minRetention)
	c.Assert(isBack(2), qt.IsFalse)
}

// TestAdmittedShareMatchesRequest checks that the requested share of a grade is admitted, whatever
// the share of retries, and that retries are preferred.
func TestAdmittedShareMatchesRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		backShare := rapid.Float64Range(0, 1).Draw(t, "backShare")
		fresh, back := splitShare(share, backShare)
		if all := backShare*back + (1-backShare)*fresh; math.Abs(all-share) > 1e-9 {
			t.Fatalf("%v of new requests and %v of retries are admitted, %v of all", fresh, back, all)
		}
		if fresh < 0 || back > 1 || back < fresh {
			t.Fatalf("%v of new requests and %v of retries are admitted", fresh, back)
		}
	})
}

func TestOfferedLoadRates(t *testing.T) {
	c := qt.New(t)
	clock := timer.NewVirtual()
	o := NewOfferedLoad(clock)
	for i := range 400 {
		clock.Run(clock.Now() + 10*time.Millisecond)
		o.Count("gate", 1, i%4 == 0)
		if i%25 == 24 {
			o.EndWindow()
		}
	}
	got := o.Rates("gate")
	c.Assert(got, qt.HasLen, 2)
	c.Assert(math.Abs(got[1].Requested-100) < 2 && math.Abs(got[1].Admitted-25) < 2, qt.IsTrue, qt.Commentf("%+v", got))
	for range 100 {
		clock.Run(clock.Now() + 250*time.Millisecond)
		o.EndWindow()
	}
	c.Assert(o.Services(), qt.HasLen, 0)
}
