package admit

import (
	"math"
	"sync"
	"time"

	"wagtailyoke/core/timer"
	"wagtailyoke/core/world"
)

// Throttle is the admission level of a line. Its whole part is the grade that is refused
// in part at the entry, its fraction the refused share; grades below are refused whole.
//
// It answers an overload of a service that each request calls several times. Where one
// call in fifty is shed, a request with ten calls fails one time in five, after most of
// its work. So the level does not wait for calls to be shed: it compares the slots that
// the calls of each grade need with those that there are, and refuses at the entry, where
// it costs nothing, what does not fit.
//
// Calls come to the line some time after the entries let their requests in, so a level
// that moved until the calls fit would swing. Instead the entries tell how many requests
// they were asked for and how many they let in. What one request needs follows from the
// calls that come of those let in, and the level from what all that are asked would need.
type Throttle struct {
	clock timer.Service

	mu    sync.Mutex
	value float64
	most  float64
	start time.Duration
	// grades holds what is known of each grade.
	grades []demand
	// calls and shed count calls that came and those that the upstream refused; rate is
	// the smoothed number of calls a second.
	calls, shed, rate float64
	// usable is the part of the slots that the upstream really has.
	usable float64
	// otherSlots are those of the service's other endpoints.
	otherSlots float64
	// isTold means that the entries tell what they were asked for.
	isTold bool
}

// demand is what the calls of one grade need, in slots.
type demand struct {
	// came is the time in slots that the calls need that came in this window.
	came float64
	// need is what the calls that come here keep in use, others the same at the
	// service's other endpoints.
	need, others float64
	// asked and letIn are the requests a second at all entries.
	asked, letIn float64
	// slowNeed and slowLetIn are smoothed over a longer time: their ratio is what one
	// request needs. slowTime is the part of that time which was observed.
	slowNeed, slowLetIn, slowTime float64
}

// RequestRates is how many requests of a grade the entries were asked for that reach a service,
// and how many they let in, both per second.
type RequestRates struct {
	Requested, Admitted float64
}

const (
	// throttleWindow is the least time between two steps of the level.
	throttleWindow = 100 * time.Millisecond
	// needTime is the time constant of the measured need: calls come in clumps.
	needTime = 500 * time.Millisecond
	// costTime is the time constant at which the need of one request is learned. It
	// covers the time that a request needs to come down to the service several times.
	costTime = 2 * time.Second
	// leastLetIn is the number of requests a second below which their need is unknown.
	leastLetIn = 0.01
	// enoughLetIn is the number of requests a second from which the need of the moment
	// tells too, and mostAbove by how much the learned need of a request may exceed it:
	// after a loss of all nodes callers come at once and endpoints are cold, which is
	// over long before it is forgotten.
	enoughLetIn = 5
	mostAbove   = 1.5
	// newPart is the part of the requests that must have been told of over costTime for
	// what was learned to count.
	newPart = 0.1
	// spareRoot is how many slots are left free when not all that is asked fits, as a
	// multiple of their square root: chance varies what is needed by that, so waits in
	// line stay alike for few and many slots. With fewer spare ones they add up to more
	// than a chain of ten calls can bear.
	spareRoot = 0.62
	// mostUse is the part of the slots that may be needed for a while: what callers ask
	// for varies so much by chance. If it lasts, calls wait in line, which counts too.
	mostUse = 1.1
	// backlogTime is the time in which calls in line are to be worked off.
	backlogTime = time.Second
	// alwaysPassing is the part of the highest grade that is never refused, so that a
	// service that has recovered is noticed.
	alwaysPassing = 0.2
	// An upstream that refuses calls although it has slots left has fewer than it says:
	// usableFall is by how much the usable part falls in a window in which it refuses
	// all calls, usableRise how much it rises in another one.
	usableFall  = 0.2
	usableRise  = 0.005
	leastUsable = 0.2
)

// NewThrottle returns a level of 0.
func NewThrottle(clock timer.Service) *Throttle {
	t := &Throttle{clock: clock, start: clock.Now(), usable: 1}
	t.SetGrades(1)
	return t
}

// SetGrades sets the number of grades.
func (t *Throttle) SetGrades(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.most = max(0, float64(n)-alwaysPassing)
	for len(t.grades) < n {
		t.grades = append(t.grades, demand{})
	}
}

// Came counts a call that needs a slot for a time.
func (t *Throttle) Came(grade world.Grade, work time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.grades[min(max(int(grade), 0), len(t.grades)-1)].came += work.Seconds()
	t.calls++
}

// Shed counts a call that the upstream refused with no more calls than it has slots.
func (t *Throttle) Shed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shed++
}

// SetOthers takes in the needs, by grade, and the slots of the service's other endpoints:
// calls that do not fit here may fit there.
func (t *Throttle) SetOthers(needs []float64, slots float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.otherSlots = slots
	for g := range t.grades {
		t.grades[g].others = 0
		if g < len(needs) {
			t.grades[g].others = needs[g]
		}
	}
}

// Needs returns the slots that the calls need, by grade.
func (t *Throttle) Needs() []float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	needs := make([]float64, 0, len(t.grades))
	for _, d := range t.grades {
		needs = append(needs, d.need)
	}
	return needs
}

// SetOffers takes in what the entries were asked for, by grade; none if not all of them
// have told it.
func (t *Throttle) SetOffers(offers []RequestRates) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isTold = len(offers) > 0
	for g := range t.grades {
		d := &t.grades[g]
		d.asked, d.letIn = 0, 0
		if g < len(offers) {
			d.asked, d.letIn = offers[g].Requested, offers[g].Admitted
		}
	}
}

// Rate returns the calls a second that come.
func (t *Throttle) Rate() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rate
}

// last returns the level of the running window, and whether that is over.
func (t *Throttle) last() (level float64, isOver bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.value, t.clock.Now()-t.start >= throttleWindow
}

// Value returns the level for a line with the given slots and the work in line by grade,
// in seconds.
func (t *Throttle) Value(slots int, backlog []float64) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	elapsed := t.clock.Now() - t.start
	if elapsed < throttleWindow {
		return t.value
	}
	t.start = t.clock.Now()
	t.measureLocked(elapsed)
	t.judgeLocked()
	t.value = min(t.fitLocked(t.usable*(float64(slots)+t.otherSlots), backlog), t.most)
	return t.value
}

// measureLocked takes in the window that ends now.
func (t *Throttle) measureLocked(elapsed time.Duration) {
	weight := 1 - timer.Fading(elapsed, needTime)
	slowWeight := 1 - timer.Fading(elapsed, costTime)
	t.rate += weight * (t.calls/elapsed.Seconds() - t.rate)
	for g := range t.grades {
		d := &t.grades[g]
		d.need += weight * (d.came/elapsed.Seconds() - d.need)
		d.came = 0
		if t.isTold {
			d.startAnewIfUnknown()
			d.slowNeed += slowWeight * (d.need + d.others - d.slowNeed)
			d.slowLetIn += slowWeight * (d.letIn - d.slowLetIn)
			d.slowTime += slowWeight * (1 - d.slowTime)
		}
	}
}

// startAnewIfUnknown drops what was learned before the entries told of most requests: until
// they know the call graph, calls come here of requests that they do not count.
func (d *demand) startAnewIfUnknown() {
	if d.slowLetIn < newPart*d.letIn*d.slowTime {
		d.slowNeed, d.slowLetIn, d.slowTime = 0, 0, 0
	}
}

// offeredLocked is what all requests of a grade that are asked for would need.
func (t *Throttle) offeredLocked(grade int) float64 {
	d := &t.grades[grade]
	if !t.isTold || d.slowLetIn < leastLetIn {
		return d.need + d.others
	}
	cost := d.slowNeed / d.slowLetIn
	if d.letIn >= enoughLetIn {
		cost = min(cost, mostAbove*(d.need+d.others)/d.letIn)
	}
	return d.asked * cost
}

// LevelInputs is what a level was taken from.
type LevelInputs struct {
	// UsableShare is the part of the slots that the upstream really has.
	UsableShare float64
	// SlotDemand, RequestedRate, AdmittedRate and RequestedSlots are by grade: the slots that the calls need at all endpoints,
	// the requests a second at all entries, and the slots that all that is asked would need.
	SlotDemand, RequestedRate, AdmittedRate, RequestedSlots []float64
}

// Balance returns what the level was taken from last.
func (t *Throttle) Balance() LevelInputs {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := LevelInputs{UsableShare: t.usable}
	for g, d := range t.grades {
		b.SlotDemand = append(b.SlotDemand, d.need+d.others)
		b.RequestedRate = append(b.RequestedRate, d.asked)
		b.AdmittedRate = append(b.AdmittedRate, d.letIn)
		b.RequestedSlots = append(b.RequestedSlots, t.offeredLocked(g))
	}
	return b
}

// AdmittedShare is the share of the requests of a grade that a level lets in.
func AdmittedShare(grade world.Grade, level float64) float64 {
	return min(max(float64(grade)+1-level, 0), 1)
}

func (t *Throttle) judgeLocked() {
	if t.shed > 0 {
		t.usable -= usableFall * t.shed / max(t.calls, t.shed)
	} else {
		t.usable += usableRise
	}
	t.usable = min(max(t.usable, leastUsable), 1)
	t.calls, t.shed = 0, 0
}

// fitLocked returns the level at which what is let in needs no more than the slots. Calls
// of a higher grade do not wait for those of a lower one, so each grade must fit together
// with those above it.
func (t *Throttle) fitLocked(slots float64, backlog []float64) float64 {
	above := 0.0
	for g := len(t.grades) - 1; g >= 0; g-- {
		offered := t.offeredLocked(g)
		waiting := 0.0
		if g < len(backlog) {
			waiting = backlog[g] / backlogTime.Seconds()
		}
		if above+offered+waiting > mostUse*slots {
			room := max(slots-spareRoot*math.Sqrt(slots)-above-waiting, 0)
			return float64(g) + 1 - min(room/offered, 1)
		}
		above += offered + waiting
	}
	return 0
}
