package mesh

import (
	"sync"
	"time"
)

// callRateInterval is the time over which the rate of calls to the upstream is measured.
const callRateInterval = time.Second

// callMeter measures the rate of calls to the upstream.
type callMeter struct {
	mu    sync.Mutex
	count int
	since time.Duration
	// rate is in calls per second, over the last whole interval.
	rate float64
}

func (m *callMeter) countCall() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.count++
}

func (m *callMeter) callRate() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rate
}

// update reports whether an interval has ended.
func (m *callMeter) update(now time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	elapsed := now - m.since
	if elapsed < callRateInterval {
		return false
	}
	m.rate = float64(m.count) / elapsed.Seconds()
	m.count, m.since = 0, now
	return true
}
