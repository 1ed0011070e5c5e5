package admit

import (
	"math"
	"sort"
	"sync"
	"time"

	"wagtailyoke/core/timer"
	"wagtailyoke/core/world"
)

// Waiter is one call to an upstream that has declared its slots. Exactly one of Start and Drop is
// called, once, without locks held, unless the waiter is cancelled.
type Waiter struct {
	Route world.RouteID
	// Grade, then TieBreaker, order waiters: the highest starts first.
	Grade      world.Grade
	TieBreaker float64
	Deadline   time.Duration
	Start      func()
	Drop       func(world.Code)

	state     callState
	enteredAt time.Duration
	startedAt time.Duration
	stop      timer.Stop
}

func (w *Waiter) priority() float64 { return float64(w.Grade) + w.TieBreaker }

// WaitQueueOptions configures a WaitQueue. Zero fields take their defaults.
type WaitQueueOptions struct {
	// MaxWait is the maximum time in the queue.
	MaxWait time.Duration
	// Gate limits the rate of calls while the upstream is cold, Rate while it names a limit. Both may be nil.
	Gate *ColdGate
	Rate *RateGate
}

// CapacityLead is the time from a change of the capacity to the arrival of calls from the requests that are
// admitted for it: the reports take two exchanges between nodes, and most requests make other calls first.
// Entry nodes would otherwise go on refusing after cold upstreams have become warm.
const CapacityLead = 800 * time.Millisecond

const (
	// defaultMaxWait is short enough that callers that are refused after it can still be served
	// elsewhere.
	defaultMaxWait = 400 * time.Millisecond
	// fullShare is the share of the slots in use from which an upstream counts as full.
	fullShare = 0.9
	// runTimeWeight is the weight of a new sample in the mean run time of a route.
	runTimeWeight = 0.05
	// defaultRunTime is the assumed run time of a call before any has ended.
	defaultRunTime = 50 * time.Millisecond
)

// WaitQueue admits as many calls to an upstream as it has slots and queues the others by grade. A
// call that cannot be served before its deadline is dropped at once: its caller can go elsewhere,
// and the slots go to calls whose answers are still useful.
type WaitQueue struct {
	clock   timer.Service
	options WaitQueueOptions
	gate    *ColdGate
	rate    *RateGate

	throttle *Throttle

	mu      sync.Mutex
	limit   int
	running int
	waiting []*Waiter
	// runTimes holds the mean run time in the upstream by route, in seconds.
	runTimes map[world.RouteID]float64
	// meanRunTime is the mean over all routes.
	meanRunTime float64
	// limitedCallTime is the value of limitedCallTimeLocked, 0 until it is needed.
	limitedCallTime float64
	// isWakeScheduled means that the queue will be checked when the gates let the next call pass.
	isWakeScheduled bool
}

// NewWaitQueue returns a queue for an upstream with the given number of slots.
func NewWaitQueue(clock timer.Service, limit int, options WaitQueueOptions) *WaitQueue {
	if options.MaxWait == 0 {
		options.MaxWait = defaultMaxWait
	}
	if options.Gate == nil {
		options.Gate = NewColdGate(clock)
	}
	if options.Rate == nil {
		options.Rate = NewRateGate(clock)
	}
	return &WaitQueue{clock: clock, options: options, gate: options.Gate, rate: options.Rate, throttle: NewThrottle(clock), limit: max(limit, 1), runTimes: map[world.RouteID]float64{}, meanRunTime: defaultRunTime.Seconds()}
}

// SetLimit changes the number of slots.
func (l *WaitQueue) SetLimit(limit int) {
	l.mu.Lock()
	l.limit = max(limit, 1)
	next := l.dequeueLocked()
	l.mu.Unlock()
	startWaiters(next)
}

// Counts returns the number of calls in the upstream, the number of waiting calls and the limit.
func (l *WaitQueue) Counts() (running, waiting, limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running, len(l.waiting), l.limit
}

// Capacity returns the number of calls that the upstream can run concurrently in CapacityLead: its slots or,
// if it is cold then or names a limit, the number of calls in execution at the rate that the gates let pass.
func (l *WaitQueue) Capacity() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.capacityLocked()
}

func (l *WaitQueue) capacityLocked() float64 {
	capacity := float64(l.limit)
	if interval := l.gate.IntervalIn(CapacityLead); interval > 0 {
		capacity = min(capacity, l.meanRunTime/interval.Seconds())
	}
	if rate, ok := l.rate.Rate(); ok {
		capacity = min(capacity, l.limitedCallTimeLocked()*rate)
	}
	return capacity
}

// limitedCallTimeLocked returns the slot time in seconds that each call counts for while the rate is limited.
// It stays the same for as long as there is a limit: the mean run time depends on which calls are admitted.
func (l *WaitQueue) limitedCallTimeLocked() float64 {
	if l.limitedCallTime == 0 {
		l.limitedCallTime = l.meanRunTime
	}
	return l.limitedCallTime
}

// UsableLimit returns the number of slots that calls can use at the limit that the upstream names.
func (l *WaitQueue) UsableLimit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if rate, ok := l.rate.Rate(); ok {
		return min(l.limit, max(int(math.Ceil(l.meanRunTime*rate)), 1))
	}
	return l.limit
}

// demandLocked returns the slot time that a call needs. While the rate is limited, all calls need the same:
// short ones use up the limit like long ones.
func (l *WaitQueue) demandLocked(route world.RouteID) time.Duration {
	rate, ok := l.rate.Rate()
	if !ok {
		l.limitedCallTime = 0
		return l.runTimeLocked(route)
	}
	if callTime := l.limitedCallTimeLocked(); callTime*rate < float64(l.limit) {
		return time.Duration(callTime * float64(time.Second))
	}
	return l.runTimeLocked(route)
}

// SetGrades sets the number of grades of waiters.
func (l *WaitQueue) SetGrades(n int) { l.throttle.SetGrades(n) }

// Level returns the admission level, see Throttle.
func (l *WaitQueue) Level() float64 {
	// Every request reads the level, but it changes only a few times per second.
	if level, isWindowOver := l.throttle.currentLevel(); !isWindowOver {
		return level
	}
	l.mu.Lock()
	capacity := l.capacityLocked()
	state := QueueState{Slots: capacity, Share: capacity / float64(l.limit), Spread: 1}
	if _, ok := l.rate.Rate(); ok {
		state.Spread = max(l.options.MaxWait.Seconds()/l.limitedCallTimeLocked(), 1)
	}
	var backlog []float64
	for _, w := range l.waiting {
		for len(backlog) <= int(w.Grade) {
			backlog = append(backlog, 0)
		}
		backlog[w.Grade] += l.demandLocked(w.Route).Seconds()
	}
	l.mu.Unlock()
	state.Backlog = backlog
	return l.throttle.Value(state)
}

// LevelInputs returns the figures that the last level was computed from.
func (l *WaitQueue) LevelInputs() LevelInputs { return l.throttle.LevelInputs() }

// SlotDemand returns the number of slots that arriving calls need, by grade.
func (l *WaitQueue) SlotDemand() []float64 { return l.throttle.SlotDemand() }

// ArrivalRate returns the number of calls that arrive per second.
func (l *WaitQueue) ArrivalRate() float64 { return l.throttle.ArrivalRate() }

// SetRequestRates sets the request rates of all entry nodes, by grade. They are empty unless all
// entry nodes have reported them.
func (l *WaitQueue) SetRequestRates(rates []RequestRates) { l.throttle.SetRequestRates(rates) }

// SetOtherEndpoints sets the slot demand, by grade, and the slots of the service's other endpoints.
func (l *WaitQueue) SetOtherEndpoints(demand []float64, slots float64) {
	l.throttle.SetOtherEndpoints(demand, slots)
}

// CountShed counts a call that the upstream itself refused. A refusal with free slots is not
// counted: such an upstream is faulty, and fewer calls would not help.
func (l *WaitQueue) CountShed() {
	l.mu.Lock()
	isFull := float64(l.running) >= fullShare*float64(l.limit)
	l.mu.Unlock()
	if isFull {
		l.throttle.CountShed()
	}
}

// Enter starts, queues or drops a call.
func (l *WaitQueue) Enter(w *Waiter) {
	l.mu.Lock()
	now := l.clock.Now()
	w.enteredAt = now
	l.throttle.CountArrival(w.Grade, l.demandLocked(w.Route))
	if len(l.waiting) == 0 && l.mayStartLocked() {
		l.markRunningLocked(w)
		l.mu.Unlock()
		w.Start()
		return
	}
	maxWait := min(l.options.MaxWait, w.Deadline-now-l.runTimeLocked(w.Route))
	if l.estimateWaitLocked(w) > maxWait {
		w.state = callEnded
		l.mu.Unlock()
		w.Drop(world.CodeQueueFull)
		return
	}
	w.state = callQueued
	w.stop = l.clock.After(maxWait, func() { l.expire(w) })
	index := sort.Search(len(l.waiting), func(i int) bool { return l.waiting[i].priority() < w.priority() })
	l.waiting = append(l.waiting, nil)
	copy(l.waiting[index+1:], l.waiting[index:])
	l.waiting[index] = w
	l.mu.Unlock()
}

// estimateWaitLocked estimates how long a new call would wait.
func (l *WaitQueue) estimateWaitLocked(w *Waiter) time.Duration {
	ahead := sort.Search(len(l.waiting), func(i int) bool { return l.waiting[i].priority() < w.priority() })
	seconds := float64(ahead+1) * l.meanRunTime / float64(l.limit)
	return max(time.Duration(seconds*float64(time.Second)), time.Duration(ahead)*l.gate.Interval(), l.rate.WaitFor(ahead))
}

// mayStartLocked reports whether another call may start now. If only the gates prevent that, the queue is
// checked again when they open.
func (l *WaitQueue) mayStartLocked() bool {
	if l.running >= l.limit {
		return false
	}
	wait := l.rate.WaitFor(0)
	if wait == 0 {
		var ok bool
		if ok, wait = l.gate.Take(); ok {
			l.rate.Take()
			return true
		}
	}
	if !l.isWakeScheduled {
		l.isWakeScheduled = true
		l.clock.After(wait, l.wake)
	}
	return false
}

func (l *WaitQueue) wake() {
	l.mu.Lock()
	l.isWakeScheduled = false
	l.mu.Unlock()
	l.Recheck()
}

// Recheck starts the calls that the gates let pass now, after a limit has changed.
func (l *WaitQueue) Recheck() {
	l.mu.Lock()
	next := l.dequeueLocked()
	l.mu.Unlock()
	startWaiters(next)
}

func (l *WaitQueue) runTimeLocked(route world.RouteID) time.Duration {
	seconds, ok := l.runTimes[route]
	if !ok {
		seconds = l.meanRunTime
	}
	return time.Duration(seconds * float64(time.Second))
}

func (l *WaitQueue) markRunningLocked(w *Waiter) {
	w.state = callRunning
	w.startedAt = l.clock.Now()
	l.running++
}

func (l *WaitQueue) dequeueLocked() []*Waiter {
	var next []*Waiter
	for len(l.waiting) > 0 && l.mayStartLocked() {
		w := l.waiting[0]
		l.waiting = l.waiting[1:]
		w.stop()
		l.markRunningLocked(w)
		next = append(next, w)
	}
	return next
}

func startWaiters(waiters []*Waiter) {
	for _, w := range waiters {
		w.Start()
	}
}

func (l *WaitQueue) removeLocked(w *Waiter) bool {
	if w.state != callQueued {
		return false
	}
	for i, other := range l.waiting {
		if other == w {
			l.waiting = append(l.waiting[:i:i], l.waiting[i+1:]...)
			break
		}
	}
	w.state = callEnded
	w.stop()
	return true
}

func (l *WaitQueue) expire(w *Waiter) {
	l.mu.Lock()
	removed := l.removeLocked(w)
	l.mu.Unlock()
	if removed {
		w.Drop(world.CodeQueueTimeout)
	}
}

// Cancel removes a waiting call whose caller has gone. It reports whether the call was still
// waiting.
func (l *WaitQueue) Cancel(w *Waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.removeLocked(w)
}

// Leave ends a started call. isSample means that the call ended normally, so that its run time is
// representative.
func (l *WaitQueue) Leave(w *Waiter, isSample bool) {
	l.mu.Lock()
	l.running--
	w.state = callEnded
	if isSample {
		seconds := (l.clock.Now() - w.startedAt).Seconds()
		old, ok := l.runTimes[w.Route]
		if !ok {
			old = seconds
		}
		l.runTimes[w.Route] = old + runTimeWeight*(seconds-old)
		l.meanRunTime += runTimeWeight * (seconds - l.meanRunTime)
	}
	next := l.dequeueLocked()
	l.mu.Unlock()
	startWaiters(next)
}

// DropAll drops all waiting calls, for example when the upstream leaves.
func (l *WaitQueue) DropAll(code world.Code) {
	l.mu.Lock()
	dropped := l.waiting
	l.waiting = nil
	for _, w := range dropped {
		w.state = callEnded
		w.stop()
	}
	l.mu.Unlock()
	for _, w := range dropped {
		w.Drop(code)
	}
}
