package admit

import (
	"sync"
	"time"

	"wagtailyoke/core/invar"
	"wagtailyoke/core/timer"
	"wagtailyoke/core/world"
)

// Ticket is one call at the door of an upstream. Exactly one of Start and Shed
// is called, once, without locks held.
type Ticket struct {
	Importance world.Importance
	Customer   world.CustomerID
	// Weight is the customer's contracted rate, in requests per second.
	Weight   float64
	Deadline time.Duration
	Start    func()
	Shed     func(world.Code)

	state   ticketState
	entered time.Duration
	started time.Duration
	stop    timer.Stop
}

type ticketState uint8

const (
	ticketNew ticketState = iota
	ticketQueued
	ticketRunning
	ticketGone
)

// FairQueueOptions tunes a Queue. The zero value takes the defaults.
type FairQueueOptions struct {
	// LengthFactor is the queue's length as a multiple of the limit.
	LengthFactor float64
	// MaxWait is the longest time in the queue, CriticalWait that of critical calls.
	MaxWait      time.Duration
	CriticalWait time.Duration
	// InternalShare is the share of the limit that internal calls may use.
	InternalShare float64
	Level         LevelOptions
}

func (o FairQueueOptions) withDefaults() FairQueueOptions {
	setDefault(&o.LengthFactor, 2)
	setDefault(&o.InternalShare, 0.25)
	if o.MaxWait == 0 {
		o.MaxWait = 300 * time.Millisecond
	}
	if o.CriticalWait == 0 {
		o.CriticalWait = time.Second
	}
	return o
}

const minQueueLength = 16

// FairQueue admits calls to one upstream.
type FairQueue struct {
	clock   timer.Service
	limiter *Limiter
	checks  *invar.Checker
	options FairQueueOptions
	level   *Level

	mu       sync.Mutex
	running  int
	internal int
	queued   int
	classes  [world.ImportanceCount]class
}

// class holds the queued tickets of one importance.
type class struct {
	n          int
	byCustomer map[world.CustomerID]*line
}

// line is one customer's queued tickets, oldest first.
type line struct {
	tickets []*Ticket
	// served is the customer's recent service in units of its weight.
	served float64
	at     time.Duration
}

// servedHalfLife is the memory of the fairness among customers.
const servedHalfLife = 2 * time.Second

// NewFairQueue returns an open queue.
func NewFairQueue(clock timer.Service, limiter *Limiter, checks *invar.Checker, options FairQueueOptions) *FairQueue {
	q := &FairQueue{clock: clock, limiter: limiter, checks: checks, options: options.withDefaults()}
	q.level = NewLevel(clock, options.Level)
	for i := range q.classes {
		q.classes[i].byCustomer = map[world.CustomerID]*line{}
	}
	return q
}

// Level returns the admission level, see Level.
func (q *FairQueue) Level() float64 { return q.level.Value() }

// Load returns the number of calls running and queued.
func (q *FairQueue) Load() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running + q.queued
}

// HasRoom reports whether a call would start at once.
func (q *FairQueue) HasRoom() bool {
	limit := q.limiter.Limit()
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running < limit && q.queued == 0
}

// Enter starts, queues or sheds a ticket.
func (q *FairQueue) Enter(t *Ticket) {
	limit := q.limiter.Limit()
	q.mu.Lock()
	t.entered = q.clock.Now()
	q.level.Offered(t.Importance)
	if q.canStart(t, limit) && q.queued == 0 {
		q.begin(t)
		q.mu.Unlock()
		t.Start()
		return
	}
	shed := q.push(t, limit)
	next := q.collect(limit)
	q.mu.Unlock()
	q.release(shed, world.CodeQueueFull)
	start(next)
}

func (q *FairQueue) canStart(t *Ticket, limit int) bool {
	if q.running >= limit {
		return false
	}
	if t.Importance != world.ImportanceInternal {
		return true
	}
	return float64(q.internal) < max(1, q.options.InternalShare*float64(limit))
}

func (q *FairQueue) begin(t *Ticket) {
	t.state = ticketRunning
	t.started = q.clock.Now()
	q.running++
	if t.Importance == world.ImportanceInternal {
		q.internal++
	}
	l := q.line(t)
	l.decay(q.clock.Now())
	l.served += 1 / max(t.Weight, 1)
}

func (q *FairQueue) line(t *Ticket) *line {
	lines := q.classes[t.Importance].byCustomer
	l := lines[t.Customer]
	if l == nil {
		l = &line{at: q.clock.Now()}
		lines[t.Customer] = l
	}
	return l
}

func (l *line) decay(now time.Duration) {
	for now-l.at >= servedHalfLife {
		l.served /= 2
		l.at += servedHalfLife
		if l.served < 1e-9 {
			l.served = 0
			l.at = now
		}
	}
}

// push queues a ticket and returns the ticket that has to go, if the queue is full.
func (q *FairQueue) push(t *Ticket, limit int) *Ticket {
	l := q.line(t)
	l.tickets = append(l.tickets, t)
	t.state = ticketQueued
	q.classes[t.Importance].n++
	q.queued++
	wait := min(q.maxWait(t), t.Deadline-t.entered)
	t.stop = q.clock.After(wait, func() { q.expire(t) })
	if q.queued <= q.length(limit) {
		return nil
	}
	victim := q.worst()
	q.checkShedOrder(victim)
	q.remove(victim)
	return victim
}

// maxWait lets critical calls wait longer: they wait only behind each other, and a
// service that serves nothing else has nothing less important to shed.
func (q *FairQueue) maxWait(t *Ticket) time.Duration {
	if t.Importance == world.ImportanceCritical {
		return q.options.CriticalWait
	}
	return q.options.MaxWait
}

func (q *FairQueue) length(limit int) int {
	return max(minQueueLength, int(q.options.LengthFactor*float64(limit)))
}

// checkShedOrder asserts that nothing less important stays queued.
func (q *FairQueue) checkShedOrder(victim *Ticket) {
	for c := world.Importance(0); c < victim.Importance; c++ {
		q.checks.That(q.classes[c].n == 0, invar.ShedOrder,
			"shed importance %v while %d calls of importance %v are queued", victim.Importance, q.classes[c].n, c)
	}
}

// worst returns the ticket to shed: least important class, the customer with the
// most service for its weight, oldest first, since the oldest has the least time left.
func (q *FairQueue) worst() *Ticket {
	for c := range q.classes {
		if q.classes[c].n == 0 {
			continue
		}
		return q.classes[c].extreme(q.clock.Now(), func(a, b float64) bool { return a > b }).tickets[0]
	}
	return nil
}

// extreme returns the non-empty line whose service comes first in the given order.
func (c *class) extreme(now time.Duration, before func(a, b float64) bool) *line {
	var best *line
	var bestID world.CustomerID
	for id, l := range c.byCustomer {
		if len(l.tickets) == 0 {
			continue
		}
		l.decay(now)
		if best == nil || before(l.served, best.served) || l.served == best.served && id < bestID {
			best, bestID = l, id
		}
	}
	return best
}

func (q *FairQueue) remove(t *Ticket) {
	l := q.line(t)
	for i, candidate := range l.tickets {
		if candidate != t {
			continue
		}
		l.tickets = append(l.tickets[:i:i], l.tickets[i+1:]...)
		break
	}
	q.classes[t.Importance].n--
	q.queued--
	t.state = ticketGone
}

// expire sheds a ticket that waited too long. A more important ticket is not shed
// while a less important one is queued: the other one goes, and it waits on.
func (q *FairQueue) expire(t *Ticket) {
	q.mu.Lock()
	if t.state != ticketQueued {
		q.mu.Unlock()
		return
	}
	victim, code := t, world.CodeDeadline
	if q.clock.Now() < t.Deadline {
		victim, code = q.worst(), world.CodeQueueTimeout
		if victim != t {
			t.stop = q.clock.After(min(q.maxWait(t), t.Deadline-q.clock.Now()), func() { q.expire(t) })
		}
	}
	q.remove(victim)
	q.mu.Unlock()
	q.release(victim, code)
}

func (q *FairQueue) release(t *Ticket, code world.Code) {
	if t == nil {
		return
	}
	t.stop()
	q.level.Shed(t.Importance)
	t.Shed(code)
}

// Cancel removes a queued ticket whose caller has gone. It reports whether the
// ticket was still queued; neither Start nor Shed is called then.
func (q *FairQueue) Cancel(t *Ticket) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.state != ticketQueued {
		return false
	}
	q.remove(t)
	t.stop()
	return true
}

// Leave ends a running ticket and starts what waits.
func (q *FairQueue) Leave(t *Ticket, s Sample) {
	q.mu.Lock()
	inFlight := q.running
	q.running--
	t.state = ticketGone
	if t.Importance == world.ImportanceInternal {
		q.internal--
	}
	q.mu.Unlock()
	q.limiter.Observe(s, t.started, inFlight)
	limit := q.limiter.Limit()
	q.mu.Lock()
	next := q.collect(limit)
	q.mu.Unlock()
	start(next)
}

// collect takes from the queue what may start now, most important first.
func (q *FairQueue) collect(limit int) []*Ticket {
	var next []*Ticket
	now := q.clock.Now()
	for c := len(q.classes) - 1; c >= 0; c-- {
		for q.classes[c].n > 0 {
			l := q.classes[c].extreme(now, func(a, b float64) bool { return a < b })
			t := l.pick(now, q.options.MaxWait)
			if !q.canStart(t, limit) {
				break
			}
			q.remove(t)
			t.stop()
			q.begin(t)
			next = append(next, t)
		}
	}
	return next
}

// pick returns the next ticket of a line: the oldest, or under overload the
// newest. Under overload the oldest ones will miss their deadlines anyway, and
// serving them first would make every call late.
func (l *line) pick(now, maxWait time.Duration) *Ticket {
	oldest := l.tickets[0]
	if now-oldest.entered > maxWait/4 {
		return l.tickets[len(l.tickets)-1]
	}
	return oldest
}

func start(tickets []*Ticket) {
	for _, t := range tickets {
		t.Start()
	}
}
