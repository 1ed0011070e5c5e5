package admit

import (
	"sort"
	"sync"
	"time"

	"wagtailyoke/core/timer"
	"wagtailyoke/core/world"
)

// Waiter is one call at the door of an upstream that tells its slots. Exactly one of
// Start and Drop is called, once, without locks held, unless the waiter is cancelled.
type Waiter struct {
	Route world.RouteID
	// Grade, then Draw, order waiters: the highest starts first.
	Grade      world.Grade
	TieBreaker float64
	Deadline   time.Duration
	Start      func()
	Drop       func(world.Code)

	state   ticketState
	entered time.Duration
	started time.Duration
	stop    timer.Stop
}

func (w *Waiter) place() float64 { return float64(w.Grade) + w.TieBreaker }

// WaitQueueOptions tunes a Line. The zero value takes the defaults.
type WaitQueueOptions struct {
	// MaxWait is the longest time in line.
	MaxWait time.Duration
}

const (
	// defaultMaxWait is the longest time in line: callers that are refused sooner can
	// still be served elsewhere.
	defaultMaxWait = 400 * time.Millisecond
	// fullShare is the part of the slots in use from which an upstream counts as full.
	fullShare = 0.9
	// tookWeight is the weight of a new sample in the usual time of a route.
	tookWeight = 0.05
	// tookDefault is the time that a call is taken to need before any has ended.
	tookDefault = 50 * time.Millisecond
)

// WaitQueue lets as many calls into an upstream as it has slots and keeps the others in
// order. It answers a load above what the slots carry: what cannot be served before its
// deadline leaves at once, so that its caller can go elsewhere and the slots go to calls
// that still count.
type WaitQueue struct {
	clock   timer.Service
	options WaitQueueOptions

	level *Throttle

	mu      sync.Mutex
	limit   int
	running int
	waiting []*Waiter
	// took is the usual time in the upstream, by route, in seconds.
	took map[world.RouteID]float64
	// mean is the same over all routes.
	mean float64
}

// NewWaitQueue returns a line of an upstream with the given slots.
func NewWaitQueue(clock timer.Service, limit int, options WaitQueueOptions) *WaitQueue {
	if options.MaxWait == 0 {
		options.MaxWait = defaultMaxWait
	}
	return &WaitQueue{clock: clock, options: options, level: NewThrottle(clock), limit: max(limit, 1), took: map[world.RouteID]float64{}, mean: tookDefault.Seconds()}
}

// SetLimit changes the number of slots.
func (l *WaitQueue) SetLimit(limit int) {
	l.mu.Lock()
	l.limit = max(limit, 1)
	next := l.collectLocked()
	l.mu.Unlock()
	startAll(next)
}

// Counts returns the calls in the upstream, those in line and the limit.
func (l *WaitQueue) Counts() (running, waiting, limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running, len(l.waiting), l.limit
}

// SetGrades sets the number of grades of waiters.
func (l *WaitQueue) SetGrades(n int) { l.level.SetGrades(n) }

// Level returns the admission level, see Throttle.
func (l *WaitQueue) Level() float64 {
	// Each request asks for the level, which moves a few times a second.
	if level, isOver := l.level.last(); !isOver {
		return level
	}
	l.mu.Lock()
	slots := l.limit
	var backlog []float64
	for _, w := range l.waiting {
		for len(backlog) <= int(w.Grade) {
			backlog = append(backlog, 0)
		}
		backlog[w.Grade] += l.tookLocked(w.Route).Seconds()
	}
	l.mu.Unlock()
	return l.level.Value(slots, backlog)
}

// LevelInputs returns what the level was taken from last.
func (l *WaitQueue) LevelInputs() LevelInputs { return l.level.Balance() }

// SlotDemand returns the slots that the calls that come need, by grade.
func (l *WaitQueue) SlotDemand() []float64 { return l.level.Needs() }

// ArrivalRate returns the calls a second that come.
func (l *WaitQueue) ArrivalRate() float64 { return l.level.Rate() }

// SetRequestRates takes in what the entries were asked for, by grade; none if not all of them
// have told it.
func (l *WaitQueue) SetRequestRates(offers []RequestRates) { l.level.SetOffers(offers) }

// SetOtherEndpoints takes in the needs and the slots of the service's other endpoints.
func (l *WaitQueue) SetOtherEndpoints(needs []float64, slots float64) {
	l.level.SetOthers(needs, slots)
}

// CountShed counts a call that the upstream refused itself. An upstream that refuses calls
// while it has room is faulty, which fewer calls would not mend.
func (l *WaitQueue) CountShed() {
	l.mu.Lock()
	isFull := float64(l.running) >= fullShare*float64(l.limit)
	l.mu.Unlock()
	if isFull {
		l.level.Shed()
	}
}

// Enter starts a call, puts it in line or drops it.
func (l *WaitQueue) Enter(w *Waiter) {
	l.mu.Lock()
	now := l.clock.Now()
	w.entered = now
	l.level.Came(w.Grade, l.tookLocked(w.Route))
	if l.running < l.limit && len(l.waiting) == 0 {
		l.beginLocked(w)
		l.mu.Unlock()
		w.Start()
		return
	}
	patience := min(l.options.MaxWait, w.Deadline-now-l.tookLocked(w.Route))
	if l.waitLocked(w) > patience {
		w.state = ticketGone
		l.mu.Unlock()
		w.Drop(world.CodeQueueFull)
		return
	}
	w.state = ticketQueued
	w.stop = l.clock.After(patience, func() { l.expire(w) })
	at := sort.Search(len(l.waiting), func(i int) bool { return l.waiting[i].place() < w.place() })
	l.waiting = append(l.waiting, nil)
	copy(l.waiting[at+1:], l.waiting[at:])
	l.waiting[at] = w
	l.mu.Unlock()
}

// waitLocked estimates how long a new call would wait.
func (l *WaitQueue) waitLocked(w *Waiter) time.Duration {
	ahead := sort.Search(len(l.waiting), func(i int) bool { return l.waiting[i].place() < w.place() })
	seconds := float64(ahead+1) * l.mean / float64(l.limit)
	return time.Duration(seconds * float64(time.Second))
}

func (l *WaitQueue) tookLocked(route world.RouteID) time.Duration {
	seconds, ok := l.took[route]
	if !ok {
		seconds = l.mean
	}
	return time.Duration(seconds * float64(time.Second))
}

func (l *WaitQueue) beginLocked(w *Waiter) {
	w.state = ticketRunning
	w.started = l.clock.Now()
	l.running++
}

func (l *WaitQueue) collectLocked() []*Waiter {
	var next []*Waiter
	for l.running < l.limit && len(l.waiting) > 0 {
		w := l.waiting[0]
		l.waiting = l.waiting[1:]
		w.stop()
		l.beginLocked(w)
		next = append(next, w)
	}
	return next
}

func startAll(waiters []*Waiter) {
	for _, w := range waiters {
		w.Start()
	}
}

func (l *WaitQueue) removeLocked(w *Waiter) bool {
	if w.state != ticketQueued {
		return false
	}
	for i, other := range l.waiting {
		if other == w {
			l.waiting = append(l.waiting[:i:i], l.waiting[i+1:]...)
			break
		}
	}
	w.state = ticketGone
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

// Cancel takes a call out of the line whose caller has gone. It reports whether the call
// was still in line.
func (l *WaitQueue) Cancel(w *Waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.removeLocked(w)
}

// Leave ends a started call. isSample means that it ended by itself, so that its time
// tells how long such a call takes.
func (l *WaitQueue) Leave(w *Waiter, isSample bool) {
	l.mu.Lock()
	l.running--
	w.state = ticketGone
	if isSample {
		seconds := (l.clock.Now() - w.started).Seconds()
		old, ok := l.took[w.Route]
		if !ok {
			old = seconds
		}
		l.took[w.Route] = old + tookWeight*(seconds-old)
		l.mean += tookWeight * (seconds - l.mean)
	}
	next := l.collectLocked()
	l.mu.Unlock()
	startAll(next)
}

// DropAll drops all calls in line, as when the upstream leaves.
func (l *WaitQueue) DropAll(code world.Code) {
	l.mu.Lock()
	dropped := l.waiting
	l.waiting = nil
	for _, w := range dropped {
		w.state = ticketGone
		w.stop()
	}
	l.mu.Unlock()
	for _, w := range dropped {
		w.Drop(code)
	}
}
