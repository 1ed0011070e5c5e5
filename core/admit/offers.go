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

	mu       sync.Mutex
	start    time.Duration
	services map[world.ServiceID][]offered
}

// offered is a count in this window and the smoothed rates.
type offered struct {
	asked, letIn int
	rate         RequestRates
}

// offerTime is the time constant of the rates. It is that of the need which they are
// compared with.
const offerTime = needTime

// NewOfferedLoad returns counts of nothing.
func NewOfferedLoad(clock timer.Service) *OfferedLoad {
	return &OfferedLoad{clock: clock, start: clock.Now(), services: map[world.ServiceID][]offered{}}
}

// Count counts a request of a grade that a service could get, and whether it is let in.
func (o *OfferedLoad) Count(service world.ServiceID, grade world.Grade, isLetIn bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	at := max(int(grade), 0)
	list := o.services[service]
	for len(list) <= at {
		list = append(list, offered{})
	}
	list[at].asked++
	if isLetIn {
		list[at].letIn++
	}
	o.services[service] = list
}

// EndWindow ends the window of the counts.
func (o *OfferedLoad) EndWindow() {
	o.mu.Lock()
	defer o.mu.Unlock()
	passed := o.clock.Now() - o.start
	if passed <= 0 {
		return
	}
	o.start = o.clock.Now()
	weight, elapsed := 1-timer.Fading(passed, offerTime), passed.Seconds()
	for s, list := range o.services {
		isUsed := false
		for i := range list {
			c := &list[i]
			c.rate.Requested += weight * (float64(c.asked)/elapsed - c.rate.Requested)
			c.rate.Admitted += weight * (float64(c.letIn)/elapsed - c.rate.Admitted)
			c.asked, c.letIn = 0, 0
			isUsed = isUsed || c.rate.Requested >= leastLetIn
		}
		if !isUsed {
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
	offers := make([]RequestRates, 0, len(o.services[service]))
	for _, c := range o.services[service] {
		offers = append(offers, c.rate)
	}
	return offers
}
