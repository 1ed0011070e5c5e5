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

// lineTest records what becomes of the waiters of a line.
type lineTest struct {
	clock   *timer.Virtual
	line    *WaitQueue
	events  []string
	waiters map[string]*Waiter
}

func newLineTest(slots int) *lineTest {
	clock := timer.NewVirtual()
	l := &lineTest{clock: clock, line: NewWaitQueue(clock, slots, WaitQueueOptions{}), waiters: map[string]*Waiter{}}
	l.line.SetGrades(3)
	return l
}

func (l *lineTest) enter(name string, grade world.Grade, deadline time.Duration) {
	w := &Waiter{Route: "r", Grade: grade, Deadline: l.clock.Now() + deadline}
	w.Start = func() { l.events = append(l.events, name) }
	w.Drop = func(code world.Code) { l.events = append(l.events, name+":"+string(code)) }
	l.waiters[name] = w
	l.line.Enter(w)
}

func expectEvents(c *qt.C, l *lineTest, want string) {
	c.Assert(strings.Join(l.events, " "), qt.Equals, want)
}

func TestLineStartsTheHighestGradeFirst(t *testing.T) {
	c := qt.New(t)
	l := newLineTest(1)
	l.enter("a", 1, time.Second)
	l.enter("b", 0, time.Second)
	l.enter("c", 2, time.Second)
	l.enter("d", 2, time.Second)
	for _, name := range []string{"a", "c", "d"} {
		l.line.Leave(l.waiters[name], true)
	}
	expectEvents(c, l, "a c d b")
}

func TestLineDropsWhatComesTooLate(t *testing.T) {
	c := qt.New(t)
	l := newLineTest(1)
	l.enter("a", 0, time.Second)
	l.enter("short", 0, 20*time.Millisecond)
	l.enter("long", 0, time.Second)
	l.clock.Run(time.Second)
	expectEvents(c, l, "a short:queueFull long:queueTimeout")
	c.Assert(l.line.Cancel(l.waiters["long"]), qt.IsFalse)
}

func TestLineForgetsWhoLeft(t *testing.T) {
	c := qt.New(t)
	l := newLineTest(1)
	l.enter("a", 0, time.Second)
	l.enter("b", 0, time.Second)
	c.Assert(l.line.Cancel(l.waiters["b"]), qt.IsTrue)
	l.enter("c", 0, time.Second)
	l.line.DropAll(world.CodeDraining)
	l.line.Leave(l.waiters["a"], false)
	expectEvents(c, l, "a c:draining")
}

// TestLineKeepsItsSlots plays any order of calls, ends and changes of the slots: no more
// run than there are slots, and each waiter is started or dropped once, or cancelled.
func TestLineKeepsItsSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 5).Draw(t, "slots")
		l := newLineTest(slots)
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
				l.line.Enter(w)
			case 2:
				for name := range running {
					delete(running, name)
					l.line.Leave(l.waiters[name], true)
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

// throttleTest plays a service with 100 slots and 3 grades. Each request of a caller comes
// to it as one call of a second.
type throttleTest struct {
	c        *qt.C
	clock    *timer.Virtual
	throttle *Throttle
	slots    int
	carry    [3]float64
	// isBlind means that the entries do not know yet that their requests come here.
	isBlind bool
}

func newThrottleTest(c *qt.C) *throttleTest {
	clock := timer.NewVirtual()
	throttle := NewThrottle(clock)
	throttle.SetGrades(3)
	return &throttleTest{c: c, clock: clock, throttle: throttle, slots: 100}
}

// play lets callers ask for requests a second by grade. Calls come a while after their
// requests are let in, at the level of that time.
func (p *throttleTest) play(d time.Duration, asked [3]float64) (level float64) {
	const step, way = 50 * time.Millisecond, 300 * time.Millisecond
	for end := p.clock.Now() + d; p.clock.Now() < end; p.clock.Run(p.clock.Now() + step) {
		level = p.throttle.Value(p.slots, nil)
		offers := make([]RequestRates, len(asked))
		for g, rate := range asked {
			letIn := rate * AdmittedShare(world.Grade(g), level)
			offers[g] = RequestRates{Requested: rate, Admitted: letIn}
			p.carry[g] += letIn * step.Seconds()
			for ; p.carry[g] >= 1; p.carry[g]-- {
				p.clock.After(way, func() { p.throttle.Came(world.Grade(g), time.Second) })
			}
		}
		if p.isBlind {
			offers = []RequestRates{{Requested: 1, Admitted: 1}}
		}
		p.throttle.SetOffers(offers)
	}
	return level
}

func expectLevel(c *qt.C, got, want float64) {
	c.Helper()
	c.Assert(math.Abs(got-want) < 0.1, qt.IsTrue, qt.Commentf("level %.2f, want %.2f", got, want))
}

func TestThrottleLetsInWhatFits(t *testing.T) {
	for name, test := range map[string]struct {
		asked [3]float64
		want  float64
	}{
		"room for all":              {[3]float64{30, 30, 30}, 0},
		"lowest grade in part":      {[3]float64{60, 30, 30}, 0.5},
		"lowest grade not at all":   {[3]float64{300, 30, 60}, 1},
		"two grades":                {[3]float64{100, 100, 50}, 1.6},
		"highest grade in part":     {[3]float64{50, 50, 200}, 2.55},
		"highest grade never whole": {[3]float64{0, 0, 100000}, 2.8},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := newThrottleTest(c)
			p.play(3*time.Second, [3]float64{20, 10, 10})
			expectLevel(c, p.play(10*time.Second, test.asked), test.want)
		})
	}
}

// TestThrottleFollowsASurge expects the level soon after the demand has changed, and no
// swinging afterwards.
func TestThrottleFollowsASurge(t *testing.T) {
	c := qt.New(t)
	p := newThrottleTest(c)
	p.play(5*time.Second, [3]float64{30, 20, 20})
	surge := [3]float64{150, 20, 20}
	p.play(2*time.Second, surge)
	for range 20 {
		expectLevel(c, p.play(500*time.Millisecond, surge), 1-50.0/150)
	}
	p.play(2*time.Second, [3]float64{30, 20, 20})
	expectLevel(c, p.play(time.Second, [3]float64{30, 20, 20}), 0)
}

// TestThrottleLearnsAnewWhatRequestsNeed starts with entries that do not know the call
// graph, as after a loss of all nodes. Once they do, the need is that of the requests.
func TestThrottleLearnsAnewWhatRequestsNeed(t *testing.T) {
	c := qt.New(t)
	p := newThrottleTest(c)
	asked := [3]float64{30, 20, 20}
	p.isBlind = true
	p.play(3*time.Second, asked)
	p.isBlind = false
	for range 20 {
		expectLevel(c, p.play(250*time.Millisecond, asked), 0)
	}
}

func TestThrottleCountsOnTheOtherEndpoints(t *testing.T) {
	c := qt.New(t)
	p := newThrottleTest(c)
	p.throttle.SetOthers([]float64{10, 10, 10}, 200)
	expectLevel(c, p.play(5*time.Second, [3]float64{100, 50, 50}), 0)
	p.throttle.SetOthers([]float64{200, 0, 0}, 200)
	c.Assert(p.play(5*time.Second, [3]float64{100, 50, 50}) > 0.2, qt.IsTrue)
}

func TestThrottleBelievesAnUpstreamThatSheds(t *testing.T) {
	c := qt.New(t)
	p := newThrottleTest(c)
	asked := [3]float64{40, 20, 20}
	expectLevel(c, p.play(5*time.Second, asked), 0)
	for range 40 {
		p.throttle.Shed()
		p.throttle.Shed()
		p.play(100*time.Millisecond, asked)
	}
	c.Assert(p.play(100*time.Millisecond, asked) > 0.5, qt.IsTrue)
	expectLevel(c, p.play(30*time.Second, asked), 0)
}

func TestBacklogCountsInItsGrade(t *testing.T) {
	c := qt.New(t)
	p := newThrottleTest(c)
	p.play(5*time.Second, [3]float64{30, 20, 20})
	level := p.throttle.Value(p.slots, []float64{60, 0, 0})
	c.Assert(level > 0.1 && level <= 1, qt.IsTrue, qt.Commentf("%.2f", level))
}

func TestReturnsAreRememberedForAWhile(t *testing.T) {
	c := qt.New(t)
	clock := timer.NewVirtual()
	r := NewRetryTracker(clock)
	isBack := func(fingerprint uint64) bool { return r.Lookup(0, fingerprint, 0).IsRetry }
	r.AddRefused(1)
	r.AddRefused(2)
	clock.Run(returnTime - time.Millisecond)
	c.Assert(isBack(1), qt.IsTrue)
	c.Assert(isBack(1), qt.IsFalse)
	c.Assert(isBack(3), qt.IsFalse)
	clock.Run(5 * returnTime)
	c.Assert(isBack(2), qt.IsFalse)
}

// TestShareIsLetIn expects that the share of a grade that is let in is the one asked for,
// however many of its callers come back, and that those are ahead.
func TestShareIsLetIn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		backShare := rapid.Float64Range(0, 1).Draw(t, "backShare")
		fresh, back := splitShare(share, backShare)
		if all := backShare*back + (1-backShare)*fresh; math.Abs(all-share) > 1e-9 {
			t.Fatalf("%v of new callers and %v of the others are let in, %v of all", fresh, back, all)
		}
		if fresh < 0 || back > 1 || back < fresh {
			t.Fatalf("%v of new callers and %v of the others are let in", fresh, back)
		}
	})
}

func TestOffersAreRates(t *testing.T) {
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
