package admit

import (
	"slices"
	"sync"
	"time"

	"wagtailyoke/core/timer"
	"wagtailyoke/core/world"
)

// OfferedLoad counts the requests that callers send to an entry node, and those of them that it
// admits, by the services that they reach and by grade. The services compute their admission levels
// from these rates, see Throttle.
type OfferedLoad struct {
	clock timer.Service

	mu          sync.Mutex
	windowStart time.Duration
	services    map[world.ServiceID][]gradeCount
}

// gradeCount holds the counts of the current window and the smoothed rates of a grade.
type gradeCount struct {
	requested, admitted int
	rates               RequestRates
}

// rateTimeConstant is the time constant of the rates. It equals that of the slot demand, because
// the two are compared.
const rateTimeConstant = demandTimeConstant

// NewOfferedLoad returns an OfferedLoad without counts.
func NewOfferedLoad(clock timer.Service) *OfferedLoad {
	return &OfferedLoad{clock: clock, windowStart: clock.Now(), services: map[world.ServiceID][]gradeCount{}}
}

// Count counts a request of a grade that could reach a service, and whether it is admitted.
func (o *OfferedLoad) Count(service world.ServiceID, grade world.Grade, isAdmitted bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	index := max(int(grade), 0)
	list := o.services[service]
	for len(list) <= index {
		list = append(list, gradeCount{})
	}
	list[index].requested++
	if isAdmitted {
		list[index].admitted++
	}
	o.services[service] = list
}

// EndWindow ends the current window and updates the rates.
func (o *OfferedLoad) EndWindow() {
	o.mu.Lock()
	defer o.mu.Unlock()
	passed := o.clock.Now() - o.windowStart
	if passed <= 0 {
		return
	}
	o.windowStart = o.clock.Now()
	weight, elapsed := 1-timer.DecayFactor(passed, rateTimeConstant), passed.Seconds()
	for s, list := range o.services {
		isActive := false
		for i := range list {
			c := &list[i]
			c.rates.Requested += weight * (float64(c.requested)/elapsed - c.rates.Requested)
			c.rates.Admitted += weight * (float64(c.admitted)/elapsed - c.rates.Admitted)
			c.requested, c.admitted = 0, 0
			isActive = isActive || c.rates.Requested >= minRequestRate
		}
		if !isActive {
			delete(o.services, s)
		}
	}
}

// Services returns the services that recent requests reached.
func (o *OfferedLoad) Services() []world.ServiceID {
	o.mu.Lock()
	defer o.mu.Unlock()
	names := make([]world.ServiceID, 0, len(o.services))
	for s := range o.services {
		names = append(names, s)
	}
	slices.Sort(names)
	return names
}

// Rates returns the request rates of a service, by grade.
func (o *OfferedLoad) Rates(service world.ServiceID) []RequestRates {
	o.mu.Lock()
	defer o.mu.Unlock()
	rates := make([]RequestRates, 0, len(o.services[service]))
	for _, c := range o.services[service] {
		rates = append(rates, c.rates)
	}
	return rates
}
