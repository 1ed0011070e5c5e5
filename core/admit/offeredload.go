package admit

import (
	"slices"
	"sync"
	"time"

	"wagtailyoke/core/timer"
	"wagtailyoke/core/world"
)

// OfferedLoad counts at an entry the requests that callers ask for, by service that they reach
// and by grade, and those that are let in. The services take their admission levels from
// that, see Throttle.
type OfferedLoad struct {
	clock timer.Service

	mu          sync.Mutex
	windowStart time.Duration
	services    map[world.ServiceID][]gradeCount
}

// gradeCount is a count in this window and the smoothed rates.
type gradeCount struct {
	requested, admitted int
	rates               RequestRates
}

// rateTimeConstant is the time constant of the rates. It is that of the need which they are
// compared with.
const rateTimeConstant = demandTimeConstant

// NewOfferedLoad returns counts of nothing.
func NewOfferedLoad(clock timer.Service) *OfferedLoad {
	return &OfferedLoad{clock: clock, windowStart: clock.Now(), services: map[world.ServiceID][]gradeCount{}}
}

// Count counts a request of a grade that a service could get, and whether it is let in.
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

// EndWindow ends the window of the counts.
func (o *OfferedLoad) EndWindow() {
	o.mu.Lock()
	defer o.mu.Unlock()
	passed := o.clock.Now() - o.windowStart
	if passed <= 0 {
		return
	}
	o.windowStart = o.clock.Now()
	weight, elapsed := 1-timer.Fading(passed, rateTimeConstant), passed.Seconds()
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

// Services returns the services that requests reached lately.
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

// Rates returns the rates of a service, by grade.
func (o *OfferedLoad) Rates(service world.ServiceID) []RequestRates {
	o.mu.Lock()
	defer o.mu.Unlock()
	rates := make([]RequestRates, 0, len(o.services[service]))
	for _, c := range o.services[service] {
		rates = append(rates, c.rates)
	}
	return rates
}
