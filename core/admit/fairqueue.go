package admit

import (
	"sync"
	"time"

	"wagtailyoke/core/invar"
	"wagtailyoke/core/timer"
	"wagtailyoke/core/world"
)

// Ticket is one call to an upstream behind a FairQueue. Exactly one of Start and Shed is called,
// once, without locks held, unless the ticket is cancelled.
type Ticket struct {
	Importance world.Importance
	Customer   world.CustomerID
	// Weight is the customer's contracted rate, in requests per second.
	Weight   float64
	Deadline time.Duration
	Start    func()
	Shed     func(world.Code)

	state     callState
	enteredAt time.Duration
	startedAt time.Duration
	stop      timer.Stop
}

type callState uint8

const (
	callNew callState = iota
	callQueued
	callRunning
	callEnded
)

// FairQueueOptions configures a FairQueue. Zero fields take their defaults.
type FairQueueOptions struct {
	// LengthFactor is the maximum queue length as a multiple of the limit.
	LengthFactor float64
	// MaxWait is the maximum time in the queue, CriticalWait that of critical calls.
	MaxWait      time.Duration
	CriticalWait time.Duration
	// InternalShare is the share of the limit that internal calls may use.
	InternalShare float64
	Level         LevelOptions
	// Rate limits the rate of calls while the upstream names a limit.
	Rate *RateGate
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

// FairQueue admits calls to one upstream within the limit of a Limiter. Waiting calls start by
// importance, then by their customers' recent service relative to the contracted rates.
type FairQueue struct {
	clock   timer.Service
	limiter *Limiter
	checks  *invar.Checker
	options FairQueueOptions
	level   *Level

	mu              sync.Mutex
	running         int
	runningInternal int
	queued          int
	classes         [world.ImportanceCount]importanceClass
	// isWakeScheduled means that the queue will be checked when the rate lets the next call pass.
	isWakeScheduled bool
}

// importanceClass holds the queued tickets of one importance.
type importanceClass struct {
	queued     int
	byCustomer map[world.CustomerID]*customerQueue
}

// customerQueue holds one customer's queued tickets, oldest first.
type customerQueue struct {
	tickets []*Ticket
	// served is the customer's recent service in units of its weight.
	served    float64
	decayedAt time.Duration
}

// servedHalfLife is the half-life of the service that fairness among customers is based on.
const servedHalfLife = 2 * time.Second

// NewFairQueue returns an empty queue.
func NewFairQueue(clock timer.Service, limiter *Limiter, checks *invar.Checker, options FairQueueOptions) *FairQueue {
	if options.Rate == nil {
		options.Rate = NewRateGate(clock)
	}
	q := &FairQueue{clock: clock, limiter: limiter, checks: checks, options: options.withDefaults()}
	q.level = NewLevel(clock, options.Level)
	for i := range q.classes {
		q.classes[i].byCustomer = map[world.CustomerID]*customerQueue{}
	}
	return q
}

// Level returns the admission level, see Level.
func (q *FairQueue) Level() float64 { return q.level.Value() }

// Load returns the number of running and queued calls.
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
	return q.running < limit && q.queued == 0 && q.options.Rate.WaitFor(0) == 0
}

// Enter starts, queues or sheds a ticket.
func (q *FairQueue) Enter(t *Ticket) {
	limit := q.limiter.Limit()
	q.mu.Lock()
	t.enteredAt = q.clock.Now()
	q.level.CountOffered(t.Importance)
	if q.canStart(t, limit) && q.queued == 0 {
		q.markRunning(t)
		q.mu.Unlock()
		t.Start()
		return
	}
	victim := q.enqueue(t, limit)
	next := q.dequeue(limit)
	q.mu.Unlock()
	q.shed(victim, world.CodeQueueFull)
	startTickets(next)
}

func (q *FairQueue) canStart(t *Ticket, limit int) bool {
	if q.running >= limit {
		return false
	}
	if wait := q.options.Rate.WaitFor(0); wait > 0 {
		q.scheduleWake(wait)
		return false
	}
	if t.Importance != world.ImportanceInternal {
		return true
	}
	return float64(q.runningInternal) < max(1, q.options.InternalShare*float64(limit))
}

func (q *FairQueue) scheduleWake(wait time.Duration) {
	if q.isWakeScheduled {
		return
	}
	q.isWakeScheduled = true
	q.clock.After(wait, func() {
		q.mu.Lock()
		q.isWakeScheduled = false
		q.mu.Unlock()
		q.Recheck()
	})
}

// Recheck starts the calls that may start now, after the rate limit has changed.
func (q *FairQueue) Recheck() {
	limit := q.limiter.Limit()
	q.mu.Lock()
	next := q.dequeue(limit)
	q.mu.Unlock()
	startTickets(next)
}

func (q *FairQueue) markRunning(t *Ticket) {
	q.options.Rate.Take()
	t.state = callRunning
	t.startedAt = q.clock.Now()
	q.running++
	if t.Importance == world.ImportanceInternal {
		q.runningInternal++
	}
	l := q.customerQueue(t)
	l.decay(q.clock.Now())
	l.served += 1 / max(t.Weight, 1)
}

func (q *FairQueue) customerQueue(t *Ticket) *customerQueue {
	queues := q.classes[t.Importance].byCustomer
	l := queues[t.Customer]
	if l == nil {
		l = &customerQueue{decayedAt: q.clock.Now()}
		queues[t.Customer] = l
	}
	return l
}

func (l *customerQueue) decay(now time.Duration) {
	for now-l.decayedAt >= servedHalfLife {
		l.served /= 2
		l.decayedAt += servedHalfLife
		if l.served < 1e-9 {
			l.served = 0
			l.decayedAt = now
		}
	}
}

// enqueue queues a ticket. If the queue is then too long, it removes the ticket to shed and returns
// it.
func (q *FairQueue) enqueue(t *Ticket, limit int) *Ticket {
	l := q.customerQueue(t)
	l.tickets = append(l.tickets, t)
	t.state = callQueued
	q.classes[t.Importance].queued++
	q.queued++
	wait := min(q.maxWait(t), t.Deadline-t.enteredAt)
	t.stop = q.clock.After(wait, func() { q.expire(t) })
	if q.queued <= q.maxLength(limit) {
		return nil
	}
	victim := q.shedCandidate()
	q.checkShedOrder(victim)
	q.remove(victim)
	return victim
}

// maxWait returns the maximum wait of a ticket. Critical calls may wait longer: they wait only
// behind each other, and a service that serves nothing else has nothing less important to shed.
func (q *FairQueue) maxWait(t *Ticket) time.Duration {
	if t.Importance == world.ImportanceCritical {
		return q.options.CriticalWait
	}
	return q.options.MaxWait
}

func (q *FairQueue) maxLength(limit int) int {
	return max(minQueueLength, int(q.options.LengthFactor*float64(limit)))
}

// checkShedOrder asserts that no less important call stays queued.
func (q *FairQueue) checkShedOrder(victim *Ticket) {
	for c := world.Importance(0); c < victim.Importance; c++ {
		q.checks.That(q.classes[c].queued == 0, invar.ShedOrder,
			"shed importance %v while %d calls of importance %v are queued", victim.Importance, q.classes[c].queued, c)
	}
}

// shedCandidate returns the ticket to shed: from the least important class, of the customer with
// the most service for its weight, the oldest, because it has the least time left.
func (q *FairQueue) shedCandidate() *Ticket {
	for c := range q.classes {
		if q.classes[c].queued == 0 {
			continue
		}
		return q.classes[c].firstCustomer(q.clock.Now(), func(a, b float64) bool { return a > b }).tickets[0]
	}
	return nil
}

// firstCustomer returns the non-empty customer queue whose service comes first in the given order.
func (c *importanceClass) firstCustomer(now time.Duration, before func(a, b float64) bool) *customerQueue {
	var best *customerQueue
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
	l := q.customerQueue(t)
	for i, candidate := range l.tickets {
		if candidate != t {
			continue
		}
		l.tickets = append(l.tickets[:i:i], l.tickets[i+1:]...)
		break
	}
	q.classes[t.Importance].queued--
	q.queued--
	t.state = callEnded
}

// expire sheds a ticket that waited too long. While a less important ticket is queued, that one is
// shed instead and the expired one waits on, unless its deadline has passed.
func (q *FairQueue) expire(t *Ticket) {
	q.mu.Lock()
	if t.state != callQueued {
		q.mu.Unlock()
		return
	}
	victim, code := t, world.CodeDeadline
	if q.clock.Now() < t.Deadline {
		victim, code = q.shedCandidate(), world.CodeQueueTimeout
		if victim != t {
			t.stop = q.clock.After(min(q.maxWait(t), t.Deadline-q.clock.Now()), func() { q.expire(t) })
		}
	}
	q.remove(victim)
	q.mu.Unlock()
	q.shed(victim, code)
}

// shed stops the timer of a removed ticket and calls its Shed function. A nil ticket is ignored.
func (q *FairQueue) shed(t *Ticket, code world.Code) {
	if t == nil {
		return
	}
	t.stop()
	q.level.CountShed(t.Importance)
	t.Shed(code)
}

// Cancel removes a queued ticket whose caller has gone. It reports whether the ticket was still
// queued; if it was, neither Start nor Shed is called.
func (q *FairQueue) Cancel(t *Ticket) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.state != callQueued {
		return false
	}
	q.remove(t)
	t.stop()
	return true
}

// Leave ends a running ticket and starts queued ones.
func (q *FairQueue) Leave(t *Ticket, s Sample) {
	q.mu.Lock()
	inFlight := q.running
	q.running--
	t.state = callEnded
	if t.Importance == world.ImportanceInternal {
		q.runningInternal--
	}
	q.mu.Unlock()
	q.limiter.Observe(s, t.startedAt, inFlight)
	limit := q.limiter.Limit()
	q.mu.Lock()
	next := q.dequeue(limit)
	q.mu.Unlock()
	startTickets(next)
}

// dequeue removes and returns the tickets that may start now, most important first.
func (q *FairQueue) dequeue(limit int) []*Ticket {
	var next []*Ticket
	now := q.clock.Now()
	for c := len(q.classes) - 1; c >= 0; c-- {
		for q.classes[c].queued > 0 {
			l := q.classes[c].firstCustomer(now, func(a, b float64) bool { return a < b })
			t := l.pick(now, q.options.MaxWait)
			if !q.canStart(t, limit) {
				break
			}
			q.remove(t)
			t.stop()
			q.markRunning(t)
			next = append(next, t)
		}
	}
	return next
}

// pick returns the next ticket of a customer: the oldest, or the newest under overload. Under
// overload the oldest tickets will miss their deadlines anyway, and serving them first would make
// every call late.
func (l *customerQueue) pick(now, maxWait time.Duration) *Ticket {
	oldest := l.tickets[0]
	if now-oldest.enteredAt > maxWait/4 {
		return l.tickets[len(l.tickets)-1]
	}
	return oldest
}

func startTickets(tickets []*Ticket) {
	for _, t := range tickets {
		t.Start()
	}
}
