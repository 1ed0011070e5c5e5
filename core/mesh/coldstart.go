package mesh

import (
	"math"
	"sync"
	"time"

	"github.com/pkg/errors"

	"wagtailyoke/core/admit"
	"wagtailyoke/core/event"
)

// ColdTolerance is how many calls a cold upstream may receive in a second: Overage times the rate that its
// service declares, plus Slack. An Overage of 0 means that there is no limit.
type ColdTolerance struct {
	Overage float64
	Slack   float64
}

const (
	// healthTimeout bounds a health check.
	healthTimeout = time.Second
	// minHealthInterval and maxHealthInterval bound the time between health checks of an upstream that
	// has not answered one.
	minHealthInterval = 250 * time.Millisecond
	maxHealthInterval = time.Second
	// warmNoticeDelay is added to the cold time that the upstream states, because the gate opens a little
	// later.
	warmNoticeDelay = 25 * time.Millisecond
)

var errHealthTimeout = errors.New("the upstream did not answer a health check")

// applyColdLimits sets the limits of the own service's upstreams.
func (n *Node) applyColdLimits() {
	t := n.table.Load()
	if t == nil {
		return
	}
	service, tolerance := t.Services[n.callerService()], n.Options.ColdTolerance
	var limits admit.ColdLimits
	if tolerance.Overage > 0 && service.ColdRate > 0 && service.ColdDuration > 0 {
		calls := service.ColdRate*tolerance.Overage + tolerance.Slack
		limits = admit.ColdLimits{MaxCallsPerSecond: int(math.Floor(calls)), Duration: service.ColdDuration}
	}
	n.coldGate.SetLimits(limits)
	n.healthChecker.start()
}

// applyColdHeartbeat records what a heartbeat says about the upstream being cold. While the state is
// unverified, only a process that was not known before is believed: the heartbeat of a known one may be
// older than the restart.
func (n *Node) applyColdHeartbeat(remaining time.Duration, isNewProcess bool) {
	if _, isUnverified := n.coldGate.Verification(); isUnverified && !isNewProcess {
		return
	}
	n.coldGate.SetCold(remaining)
	n.handleColdChange(remaining)
}

// suspectRestart limits the calls to the upstream until it has said whether it is cold.
func (n *Node) suspectRestart() {
	n.coldGate.Unverify()
	n.healthChecker.start()
}

// handleColdChange tells the other nodes that the upstream is cold and, admit.CapacityLead before its end,
// that it will be warm.
func (n *Node) handleColdChange(remaining time.Duration) {
	if !n.coldGate.IsCold() {
		return
	}
	if !n.isColdAnnounced.Swap(true) {
		n.Events.Log(event.UpstreamCold, event.Field{Name: "remainingMs", Value: remaining.Milliseconds()},
			event.Field{Name: "intervalMs", Value: n.coldGate.Interval().Milliseconds()})
	}
	n.refreshOwnRecord()
	n.exchangeSoon()
	n.Clock.After(max(remaining-admit.CapacityLead, 0)+warmNoticeDelay, func() {
		n.refreshOwnRecord()
		n.exchangeSoon()
	})
	n.Clock.After(remaining+warmNoticeDelay, func() {
		if n.coldGate.IsCold() || !n.isColdAnnounced.Swap(false) {
			return
		}
		n.Events.Log(event.UpstreamWarm)
	})
}

// healthChecker asks the upstream whether it is cold, while that is unverified. Heartbeats are not enough:
// they come only every few seconds, and one that was sent before a restart may arrive after it.
type healthChecker struct {
	n *Node

	mu       sync.Mutex
	isActive bool
	failures int
}

// start begins to ask unless that has begun already, or there is nothing to find out.
func (h *healthChecker) start() {
	if _, isUnverified := h.n.coldGate.Verification(); !isUnverified || !h.n.coldGate.HasLimits() {
		return
	}
	h.mu.Lock()
	isActive := h.isActive
	h.isActive, h.failures = true, 0
	h.mu.Unlock()
	if !isActive {
		h.check()
	}
}

// check asks the upstream once. It stops if there is no upstream to ask; the next heartbeat, or the end of
// an evacuation, starts it again.
func (h *healthChecker) check() {
	n := h.n
	id, isUnverified := n.coldGate.Verification()
	instance, isKnown := n.upstreamTracker.currentInstance()
	t := n.table.Load()
	if !isUnverified {
		h.finish()
		return
	}
	if !isKnown || t == nil || n.evacuations.Contains(n.Info.Domain) || n.isEnded() {
		h.stop()
		return
	}
	path := t.Services[n.callerService()].HealthPath
	if path == "" {
		h.stop()
		return
	}
	n.coldGate.CountHealthCheck()
	var once sync.Once
	handleResult := func(health Health, err error) {
		if err != nil || health.Instance != instance || !n.coldGate.Verify(id, health.ColdRemaining) {
			h.retry()
			return
		}
		h.finish()
		n.handleColdChange(health.ColdRemaining)
	}
	cancel := n.Upstream.CheckHealth(path, func(health Health, err error) { once.Do(func() { handleResult(health, err) }) })
	n.Clock.After(healthTimeout, func() { once.Do(func() { cancel(); handleResult(Health{}, errHealthTimeout) }) })
}

func (h *healthChecker) retry() {
	h.mu.Lock()
	interval := min(minHealthInterval<<min(h.failures, 2), maxHealthInterval)
	h.failures++
	h.mu.Unlock()
	h.n.Clock.After(interval, h.check)
}

// finish stops after the state was verified, unless it has become unverified again meanwhile.
func (h *healthChecker) finish() {
	h.stop()
	h.start()
}

func (h *healthChecker) stop() {
	h.mu.Lock()
	h.isActive = false
	h.mu.Unlock()
}
