package mesh

import (
	"maps"
	"slices"
	"sync"
	"time"

	"wagtailyoke/core/world"
)

// serviceUseTTL is how long after a call a node continues to receive the load of a service. The load of
// a service that is not called for that long is known again one exchange after the next call.
const serviceUseTTL = 10 * time.Second

// usedServices holds the services that this node calls, or to which it admits requests.
type usedServices struct {
	mu      sync.Mutex
	lastUse map[world.ServiceID]time.Duration
}

// markUsed records that a service is used now.
func (u *usedServices) markUsed(now time.Duration, service world.ServiceID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.lastUse == nil {
		u.lastUse = map[world.ServiceID]time.Duration{}
	}
	u.lastUse[service] = now
}

// list returns the services in use.
func (u *usedServices) list(now time.Duration) []world.ServiceID {
	u.mu.Lock()
	defer u.mu.Unlock()
	maps.DeleteFunc(u.lastUse, func(_ world.ServiceID, last time.Duration) bool { return now-last > serviceUseTTL })
	return slices.Sorted(maps.Keys(u.lastUse))
}
