package mesh

import (
	"maps"
	"slices"
	"sync"
	"time"

	"wagtailyoke/core/world"
)

// needTime is how long after a call a node is told of the load of a service. A service that is
// not called for so long is known again one exchange after the next call.
const needTime = 10 * time.Second

// needs holds the services that this node calls, or lets requests in to.
type needs struct {
	mu   sync.Mutex
	last map[world.ServiceID]time.Duration
}

// note takes in that a service is needed now.
func (s *needs) note(now time.Duration, service world.ServiceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last == nil {
		s.last = map[world.ServiceID]time.Duration{}
	}
	s.last[service] = now
}

// list returns the services that are needed.
func (s *needs) list(now time.Duration) []world.ServiceID {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.last, func(_ world.ServiceID, last time.Duration) bool { return now-last > needTime })
	return slices.Sorted(maps.Keys(s.last))
}
