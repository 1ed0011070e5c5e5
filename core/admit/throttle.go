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

	mu          sync.Mutex
	value       float64
	maxLevel    float64
	windowStart time.Duration
	// grades holds what is known of each grade.
	grades []gradeDemand
	// calls and shed count calls that came and those that the upstream refused; arrivalRate is
	// the smoothed number of calls a second.
	calls, shed, arrivalRate float64
	// usableShare is the part of the slots that the upstream really has.
	usableShare float64
	// otherSlots are those of the service's other endpoints.
	otherSlots float64
	// hasRates means that the entries tell what they were asked for.
	hasRates bool
}

// gradeDemand is what the calls of one grade need, in slots.
type gradeDemand struct {
	// arrivedWork is the time in slots that the calls need that arrivedWork in this window.
	arrivedWork float64
	// slots is what the calls that come here keep in use, otherSlots the same at the
	// service's other endpoints.
	slots, otherSlots float64
	// requested and admitted are the requests a second at all entries.
	requested, admitted float64
	// smoothedSlots and smoothedAdmitted are smoothed over a longer time: their ratio is what one
	// request needs. observedShare is the part of that time which was observed.
	smoothedSlots, smoothedAdmitted, observedShare float64
}

// RequestRates is how many requests of a grade the entries were asked for that reach a service,
// and how many they let in, both per second.
type RequestRates struct {
	Requested, Admitted float64
}

const (
	// throttleWindow is the least time between two steps of the level.
	throttleWindow = 100 * time.Millisecond
	// demandTimeConstant is the time constant of the measured need: calls come in clumps.
	demandTimeConstant = 500 * time.Millisecond
	// costTimeConstant is the time constant at which the need of one request is learned. It
	// covers the time that a request needs to come down to the service several times.
	costTimeConstant = 2 * time.Second
	// minRequestRate is the number of requests a second below which their need is unknown.
	minRequestRate = 0.01
	// reliableAdmittedRate is the number of requests a second from which the need of the moment
	// tells too, and mostAbove by how much the learned need of a request may exceed it:
	// after a loss of all nodes callers come at once and endpoints are cold, which is
	// over long before it is forgotten.
	reliableAdmittedRate = 5
	maxCostRatio         = 1.5
	// minCountedShare is the part of the requests that must have been told of over costTime for
	// what was learned to count.
	minCountedShare = 0.1
	// spareSlotsFactor is how many slots are left free when not all that is asked fits, as a
	// multiple of their square root: chance varies what is needed by that, so waits in
	// line stay alike for few and many slots. With fewer spare ones they add up to more
	// than a chain of ten calls can bear.
	spareSlotsFactor = 0.62
	// maxUtilization is the part of the slots that may be needed for a while: what callers ask
	// for varies so much by chance. If it lasts, calls wait in line, which counts too.
	maxUtilization = 1.1
	// backlogDrainTime is the time in which calls in line are to be worked off.
	backlogDrainTime = time.Second
	// minAdmittedShare is the part of the highest grade that is never refused, so that a
	// service that has recovered is noticed.
	minAdmittedShare = 0.2
	// An upstream that refuses calls although it has slots left has fewer than it says:
	// usableDecrease is by how much the usable part falls in a window in which it refuses
	// all calls, usableRise how much it rises in another one.
	usableDecrease = 0.2
	usableIncrease = 0.005
	minUsableShare = 0.2
)

// NewThrottle returns a level of 0.
func NewThrottle(clock timer.Service) *Throttle {
	t := &Throttle{clock: clock, windowStart: clock.Now(), usableShare: 1}
	t.SetGrades(1)
	return t
}

// SetGrades sets the number of grades.
func (t *Throttle) SetGrades(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maxLevel = max(0, float64(n)-minAdmittedShare)
	for len(t.grades) < n {
		t.grades = append(t.grades, gradeDemand{})
	}
}

// CountArrival counts a call that needs a slot for a time.
func (t *Throttle) CountArrival(grade world.Grade, work time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.grades[min(max(int(grade), 0), len(t.grades)-1)].arrivedWork += work.Seconds()
	t.calls++
}

// CountShed counts a call that the upstream refused with no more calls than it has slots.
func (t *Throttle) CountShed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shed++
}

// SetOtherEndpoints takes in the needs, by grade, and the slots of the service's other endpoints:
// calls that do not fit here may fit there.
func (t *Throttle) SetOtherEndpoints(demand []float64, slots float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.otherSlots = slots
	for g := range t.grades {
		t.grades[g].otherSlots = 0
		if g < len(demand) {
			t.grades[g].otherSlots = demand[g]
		}
	}
}

// SlotDemand returns the slots that the calls need, by grade.
func (t *Throttle) SlotDemand() []float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	demand := make([]float64, 0, len(t.grades))
	for _, d := range t.grades {
		demand = append(demand, d.slots)
	}
	return demand
}

// SetRequestRates takes in what the entries were asked for, by grade; none if not all of them
// have told it.
func (t *Throttle) SetRequestRates(rates []RequestRates) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hasRates = len(rates) > 0
	for g := range t.grades {
		d := &t.grades[g]
		d.requested, d.admitted = 0, 0
		if g < len(rates) {
			d.requested, d.admitted = rates[g].Requested, rates[g].Admitted
		}
	}
}

// ArrivalRate returns the calls a second that come.
func (t *Throttle) ArrivalRate() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.arrivalRate
}

// currentLevel returns the level of the running window, and whether that is over.
func (t *Throttle) currentLevel() (level float64, isWindowOver bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.value, t.clock.Now()-t.windowStart >= throttleWindow
}

// Value returns the level for a line with the given slots and the work in line by grade,
// in seconds.
func (t *Throttle) Value(slots int, backlog []float64) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	elapsed := t.clock.Now() - t.windowStart
	if elapsed < throttleWindow {
		return t.value
	}
	t.windowStart = t.clock.Now()
	t.measureLocked(elapsed)
	t.updateUsableLocked()
	t.value = min(t.computeLevelLocked(t.usableShare*(float64(slots)+t.otherSlots), backlog), t.maxLevel)
	return t.value
}

// measureLocked takes in the window that ends now.
func (t *Throttle) measureLocked(elapsed time.Duration) {
	demandWeight := 1 - timer.Fading(elapsed, demandTimeConstant)
	costWeight := 1 - timer.Fading(elapsed, costTimeConstant)
	t.arrivalRate += demandWeight * (t.calls/elapsed.Seconds() - t.arrivalRate)
	for g := range t.grades {
		d := &t.grades[g]
		d.slots += demandWeight * (d.arrivedWork/elapsed.Seconds() - d.slots)
		d.arrivedWork = 0
		if t.hasRates {
			d.resetIfUnknown()
			d.smoothedSlots += costWeight * (d.slots + d.otherSlots - d.smoothedSlots)
			d.smoothedAdmitted += costWeight * (d.admitted - d.smoothedAdmitted)
			d.observedShare += costWeight * (1 - d.observedShare)
		}
	}
}

// resetIfUnknown drops what was learned before the entries told of most requests: until
// they know the call graph, calls come here of requests that they do not count.
func (d *gradeDemand) resetIfUnknown() {
	if d.smoothedAdmitted < minCountedShare*d.admitted*d.observedShare {
		d.smoothedSlots, d.smoothedAdmitted, d.observedShare = 0, 0, 0
	}
}

// requestedSlotsLocked is what all requests of a grade that are asked for would need.
func (t *Throttle) requestedSlotsLocked(grade int) float64 {
	d := &t.grades[grade]
	if !t.hasRates || d.smoothedAdmitted < minRequestRate {
		return d.slots + d.otherSlots
	}
	cost := d.smoothedSlots / d.smoothedAdmitted
	if d.admitted >= reliableAdmittedRate {
		cost = min(cost, maxCostRatio*(d.slots+d.otherSlots)/d.admitted)
	}
	return d.requested * cost
}

// LevelInputs is what a level was taken from.
type LevelInputs struct {
	// UsableShare is the part of the slots that the upstream really has.
	UsableShare float64
	// SlotDemand, RequestedRate, AdmittedRate and RequestedSlots are by grade: the slots that the calls need at all endpoints,
	// the requests a second at all entries, and the slots that all that is asked would need.
	SlotDemand, RequestedRate, AdmittedRate, RequestedSlots []float64
}

// LevelInputs returns what the level was taken from last.
func (t *Throttle) LevelInputs() LevelInputs {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := LevelInputs{UsableShare: t.usableShare}
	for g, d := range t.grades {
		b.SlotDemand = append(b.SlotDemand, d.slots+d.otherSlots)
		b.RequestedRate = append(b.RequestedRate, d.requested)
		b.AdmittedRate = append(b.AdmittedRate, d.admitted)
		b.RequestedSlots = append(b.RequestedSlots, t.requestedSlotsLocked(g))
	}
	return b
}

// AdmittedShare is the share of the requests of a grade that a level lets in.
func AdmittedShare(grade world.Grade, level float64) float64 {
	return min(max(float64(grade)+1-level, 0), 1)
}

func (t *Throttle) updateUsableLocked() {
	if t.shed > 0 {
		t.usableShare -= usableDecrease * t.shed / max(t.calls, t.shed)
	} else {
		t.usableShare += usableIncrease
	}
	t.usableShare = min(max(t.usableShare, minUsableShare), 1)
	t.calls, t.shed = 0, 0
}

// computeLevelLocked returns the level at which what is let in needs no more than the slots. Calls
// of a higher grade do not wait for those of a lower one, so each grade must fit together
// with those above it.
func (t *Throttle) computeLevelLocked(slots float64, backlog []float64) float64 {
	above := 0.0
	for g := len(t.grades) - 1; g >= 0; g-- {
		requested := t.requestedSlotsLocked(g)
		waiting := 0.0
		if g < len(backlog) {
			waiting = backlog[g] / backlogDrainTime.Seconds()
		}
		if above+requested+waiting > maxUtilization*slots {
			room := max(slots-spareSlotsFactor*math.Sqrt(slots)-above-waiting, 0)
			return float64(g) + 1 - min(room/requested, 1)
		}
		above += requested + waiting
	}
	return 0
}
