package admit

import (
	"fmt"
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
	line    *Line
	events  []string
	waiters map[string]*Waiter
}

func newLineTest(slots int) *lineTest {
	clock := timer.NewVirtual()
	l := &lineTest{clock: clock, line: NewLine(clock, slots, LineOptions{}), waiters: map[string]*Waiter{}}
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

func TestThrottleRisesWithWaitingAndFallsWithFreeSlots(t *testing.T) {
	c := qt.New(t)
	clock := timer.NewVirtual()
	throttle := NewThrottle(clock)
	throttle.SetGrades(3)
	play := func(d, wait time.Duration, use float64) {
		for end := clock.Now() + d; clock.Now() < end; clock.Run(clock.Now() + 10*time.Millisecond) {
			throttle.Waited(wait, use)
		}
	}
	play(5*time.Second, 2*targetWait, 1)
	high := throttle.Value()
	c.Assert(high > 0.3, qt.IsTrue, qt.Commentf("%v", high))
	play(2*time.Second, targetWait*3/4, 1)
	c.Assert(throttle.Value(), qt.Equals, high)
	play(2*time.Second, 0, 0.2)
	c.Assert(throttle.Value(), qt.Equals, 0.0)
	for range 1000 {
		throttle.Shed()
		clock.Run(clock.Now() + throttleWindow)
	}
	c.Assert(throttle.Value() < 3, qt.IsTrue)
}

func TestReturnsAreRememberedForAWhile(t *testing.T) {
	c := qt.New(t)
	clock := timer.NewVirtual()
	r := NewReturns(clock)
	r.Refused(1)
	r.Refused(2)
	clock.Run(returnTime - time.Millisecond)
	c.Assert(r.IsBack(1), qt.IsTrue)
	c.Assert(r.IsBack(1), qt.IsFalse)
	c.Assert(r.IsBack(3), qt.IsFalse)
	clock.Run(5 * returnTime)
	c.Assert(r.IsBack(2), qt.IsFalse)
}
