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
