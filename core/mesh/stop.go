package mesh

import (
	"time"

	"wagtailyoke/core/event"
)

const (
	// leaveTime is how long callers take to notice that the node is not ready: two
	// looks a second apart, and some time for the last one.
	leaveTime = 2500 * time.Millisecond
	// sparedTime is how long before that other nodes stop calling the own upstream: the
	// news spreads in less, and the calls that it is at can end.
	sparedTime = time.Second
	// backTime is about when the next process serves: its start, and the time to find its
	// table.
	backTime = time.Second
	// graceMargin is kept of the grace for the end of the process itself.
	graceMargin = 500 * time.Millisecond
)

// Stop begins the graceful shutdown: the node tells that it is not ready, serves what
// still comes until callers have left, and lets its calls finish. Callers that come all the
// same are refused then, since the process may end before their answers. Its upstream, which may
// live on, works for the other nodes nearly as long. done is called once.
func (n *Node) Stop(done func()) {
	n.mu.Lock()
	if n.stopping {
		n.mu.Unlock()
		return
	}
	n.stopping = true
	n.mu.Unlock()
	n.Events.Log(event.NodeStopping)
	n.gate.Leave()
	n.refresh()
	n.exchange()
	n.Clock.After(leaveTime-sparedTime, func() {
		n.mu.Lock()
		n.leaving = true
		n.mu.Unlock()
		n.refresh()
		n.exchange()
	})
	n.Clock.After(leaveTime, func() {
		n.mu.Lock()
		n.stopped, n.isClosed = done, true
		n.mu.Unlock()
		n.noteIdle()
	})
	n.Clock.After(n.Options.GracePeriod-graceMargin, n.end)
}

// takesNothing reports whether a request comes too late before the end of the process. Runs of
// the own upstream still get the calls that they need.
func (n *Node) takesNothing(isCall bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isClosed && (!isCall || n.runs == 0)
}

// noteIdle ends a stopping node once it has no calls.
func (n *Node) noteIdle() {
	n.mu.Lock()
	isIdle := n.stopped != nil && n.flights == 0 && n.runs == 0
	n.mu.Unlock()
	if isIdle {
		n.end()
	}
}

func (n *Node) end() {
	n.mu.Lock()
	done, cut := n.stopped, n.flights+n.runs
	n.stopped = nil
	isEnded := n.isEnded
	n.isEnded = true
	n.mu.Unlock()
	if isEnded || done == nil {
		return
	}
	for _, stop := range n.stops {
		stop()
	}
	if cut > 0 {
		n.Events.Log(event.NodeStopCut, event.Field{Name: "calls", Value: cut})
	} else {
		n.Events.Log(event.NodeStopped)
	}
	done()
}
