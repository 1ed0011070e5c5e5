package admit

import (
	"math"
	"sync"
	"time"

	"wagtailyoke/core/timer"
	"wagtailyoke/core/world"
)

// Throttle computes the admission level of a WaitQueue. The integer part of the level is the grade
// that entry nodes refuse in part, its fraction the share of that grade to refuse. Lower grades are
// refused entirely.
//
// A service may be called several times by each request. If it sheds one call in fifty, a request
// with ten calls fails one time in five, after most of its work. Therefore the level does not wait
// for calls to be shed. It compares the slots that the calls of each grade need with the available
// slots, and excess requests are refused at the entry, before any work is done.
//
// Calls reach the queue some time after the entry nodes admit their requests, so a level that is
// adjusted until the calls fit would oscillate. Instead, entry nodes report how many requests they
// receive and how many they admit. The slots per request follow from the calls of the admitted
// requests, and the level from the slots that all received requests would need.
type Throttle struct {
	clock timer.Service

	mu          sync.Mutex
	value       float64
	gradeCount  int
	windowStart time.Duration
	// grades holds the demand of each grade.
	grades []gradeDemand
	// calls and shed count arriving calls and those that the upstream refused. arrivalRate is the
	// smoothed number of calls per second.
	calls, shed, arrivalRate float64
	// usableShare is the fraction of its slots that the upstream can really use.
	usableShare float64
	// otherSlots is the number of slots at the service's other endpoints.
	otherSlots float64
	// hasRates means that all entry nodes report their request rates.
	hasRates bool
}

// gradeDemand is the demand of the calls of one grade, in slots.
type gradeDemand struct {
	// arrivedWork is the slot time, in seconds, of the calls that arrived in this window.
	arrivedWork float64
	// slots is the number of slots that arriving calls keep in use here, otherSlots the same at the
	// service's other endpoints.
	slots, otherSlots float64
	// requested and admitted are the requests per second at all entry nodes.
	requested, admitted float64
	// smoothedSlots and smoothedAdmitted are averages over a longer time. Their ratio is the cost
	// of one request in slots. observedShare is the fraction of that time in which rates were
	// reported.
	smoothedSlots, smoothedAdmitted, observedShare float64
}

// RequestRates are the requests of a grade that reach a service, per second: those that entry nodes
// received and those that they admitted.
type RequestRates struct {
	Requested, Admitted float64
}

const (
	// throttleWindow is the minimum time between two changes of the level.
	throttleWindow = 100 * time.Millisecond
	// demandTimeConstant is the time constant of the measured slot demand. Calls arrive in bursts.
	demandTimeConstant = 500 * time.Millisecond
	// costTimeConstant is the time constant of the learned cost of a request. It is several times
	// as long as a request takes to reach the service.
	costTimeConstant = 2 * time.Second
	// minRequestRate is the number of requests per second below which a grade counts as unused and
	// the cost of its requests as unknown.
	minRequestRate = 0.01
	// reliableAdmittedRate is the number of requests per second from which the current cost is
	// reliable too, and maxCostRatio is how far the learned cost may exceed it. After a loss of all
	// nodes, callers come at once and endpoints are cold. Calls then cost more than usual, and the
	// learned cost would remember that for long after it is over.
	reliableAdmittedRate = 5
	maxCostRatio         = 1.5
	// minCountedShare is the fraction of the requests that must have been counted over
	// costTimeConstant for the learned cost to be valid.
	minCountedShare = 0.1
	// spareSlotsFactor is the number of slots left free when not all requested load fits, as a
	// multiple of the square root of the slots. Demand varies at random by about that root, so
	// queueing stays alike for few and many slots. With fewer spare slots, waits add up to more
	// than a sequence of ten calls can tolerate.
	spareSlotsFactor = 0.62
	// maxUtilization is the share of the slots that may be requested for a while, since demand
	// varies that much at random. If it lasts, calls queue, and the backlog counts as demand too.
	maxUtilization = 1.1
	// backlogDrainTime is the time within which waiting calls are to be worked off.
	backlogDrainTime = time.Second
	// minAdmittedShare is the share of the highest grade that is never refused, so that the
	// recovery of a service is noticed. A cold upstream has less: it says itself when it has
	// recovered.
	minAdmittedShare = 0.2
	// An upstream that refuses calls although it has free slots has fewer slots than it declares.
	// usableDecrease is how much the usable share falls in a window in which the upstream refuses
	// all calls, usableIncrease how much it rises in a window without refusals.
	usableDecrease = 0.2
	usableIncrease = 0.005
	minUsableShare = 0.2
)

// NewThrottle returns a throttle with a level of 0.
func NewThrottle(clock timer.Service) *Throttle {
	t := &Throttle{clock: clock, windowStart: clock.Now(), usableShare: 1}
	t.SetGrades(1)
	return t
}

// SetGrades sets the number of grades.
func (t *Throttle) SetGrades(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gradeCount = n
	for len(t.grades) < n {
		t.grades = append(t.grades, gradeDemand{})
	}
}

// CountArrival counts a call that needs a slot for the time work.
func (t *Throttle) CountArrival(grade world.Grade, work time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.grades[min(max(int(grade), 0), len(t.grades)-1)].arrivedWork += work.Seconds()
	t.calls++
}

// CountShed counts a call that the upstream refused although no more calls ran than it has slots.
func (t *Throttle) CountShed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shed++
}

// SetOtherEndpoints sets the slot demand, by grade, and the slots of the service's other endpoints.
// Calls that do not fit here may fit there.
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

// SlotDemand returns the number of slots that arriving calls need, by grade.
func (t *Throttle) SlotDemand() []float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	demand := make([]float64, 0, len(t.grades))
	for _, d := range t.grades {
		demand = append(demand, d.slots)
	}
	return demand
}

// SetRequestRates sets the request rates of all entry nodes, by grade. They are empty unless all
// entry nodes have reported them.
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

// ArrivalRate returns the number of calls that arrive per second.
func (t *Throttle) ArrivalRate() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.arrivalRate
}

// currentLevel returns the level of the current window, and whether that window is over.
func (t *Throttle) currentLevel() (level float64, isWindowOver bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.value, t.clock.Now()-t.windowStart >= throttleWindow
}

// QueueState is the state of a wait queue that its level is computed from.
type QueueState struct {
	// Slots is the number of slots that calls can use, Share the fraction of the upstream's slots that these
	// are: below 1 while the upstream is cold or names a limit.
	Slots, Share float64
	// Backlog is the waiting work in seconds, by grade.
	Backlog []float64
	// Spread is the time over which the queue evens out the demand, as a multiple of the run time of a
	// call. It is 1 unless the rate of calls is limited.
	Spread float64
}

// Value returns the level for a queue.
func (t *Throttle) Value(q QueueState) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	elapsed := t.clock.Now() - t.windowStart
	if elapsed < throttleWindow {
		return t.value
	}
	t.windowStart = t.clock.Now()
	t.measureLocked(elapsed)
	t.updateUsableLocked()
	level := t.computeLevelLocked(t.usableShare*(q.Slots+t.otherSlots), q)
	t.value = min(level, max(0, float64(t.gradeCount)-q.Share*minAdmittedShare))
	return t.value
}

// measureLocked updates the demand with the window that ends now.
func (t *Throttle) measureLocked(elapsed time.Duration) {
	demandWeight := 1 - timer.DecayFactor(elapsed, demandTimeConstant)
	costWeight := 1 - timer.DecayFactor(elapsed, costTimeConstant)
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

// resetIfUnknown discards a cost that was learned before entry nodes counted most requests. Until
// they know the call graph, calls arrive here from requests that they do not count for this service.
func (d *gradeDemand) resetIfUnknown() {
	if d.smoothedAdmitted < minCountedShare*d.admitted*d.observedShare {
		d.smoothedSlots, d.smoothedAdmitted, d.observedShare = 0, 0, 0
	}
}

// requestedSlotsLocked returns the slots that all received requests of a grade would need.
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

// LevelInputs are the figures that a level was computed from.
type LevelInputs struct {
	// UsableShare is the fraction of its slots that the upstream can really use.
	UsableShare float64
	// The slices are by grade: SlotDemand is the slots that the calls need at all endpoints,
	// RequestedRate and AdmittedRate are requests per second at all entry nodes, and RequestedSlots
	// is the slots that all received requests would need.
	SlotDemand, RequestedRate, AdmittedRate, RequestedSlots []float64
}

// LevelInputs returns the figures that the last level was computed from.
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

// AdmittedShare returns the share of the requests of a grade that is admitted at a level.
func AdmittedShare(grade world.Grade, level float64) float64 {
	return min(max(float64(grade)+1-level, 0), 1)
}

// updateUsableLocked updates the usable share from the calls that the upstream refused.
func (t *Throttle) updateUsableLocked() {
	if t.shed > 0 {
		t.usableShare -= usableDecrease * t.shed / max(t.calls, t.shed)
	} else {
		t.usableShare += usableIncrease
	}
	t.usableShare = min(max(t.usableShare, minUsableShare), 1)
	t.calls, t.shed = 0, 0
}

// computeLevelLocked returns the level at which the admitted requests need no more than the slots.
// Calls of a higher grade do not wait for those of a lower one, so each grade must fit together
// with the grades above it.
func (t *Throttle) computeLevelLocked(slots float64, q QueueState) float64 {
	above := 0.0
	for g := len(t.grades) - 1; g >= 0; g-- {
		requested := t.requestedSlotsLocked(g)
		waiting := 0.0
		if g < len(q.Backlog) {
			waiting = q.Backlog[g] / backlogDrainTime.Seconds()
		}
		if above+requested+waiting > maxUtilization*slots {
			room := max(slots-spareSlotsFactor*math.Sqrt(slots/q.Spread)-above-waiting, 0)
			return float64(g) + 1 - min(room/requested, 1)
		}
		above += requested + waiting
	}
	return 0
}
