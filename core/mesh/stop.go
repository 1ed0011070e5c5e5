package mesh

import (
	"time"

	"wagtailyoke/core/event"
)

const (
	// callerDrainTime is how long callers take to notice that the node is not ready: two checks one
	// second apart, and some time for the last one.
	callerDrainTime = 2500 * time.Millisecond
	// peerDrainTime is how long before the end of callerDrainTime other nodes stop calling the local
	// upstream. The update reaches them in less time, and the calls in progress can end.
	peerDrainTime = time.Second
	// restartRetryAfter is roughly the time until the next process serves: its start, and the time
	// to get its routing table.
	restartRetryAfter = time.Second
	// gracePeriodMargin is the part of the grace period reserved for the end of the process itself.
	gracePeriodMargin = 500 * time.Millisecond
	// lastAnswerTime is how long before the end the last call must have its answer.
	lastAnswerTime = 200 * time.Millisecond
)

// Stop starts the graceful shutdown. The node reports that it is not ready, serves further requests
// until callers have left, and lets its calls finish. Requests that arrive after that are refused,
// because the process may end before their answers. The upstream, which may continue to run, serves
// other nodes nearly as long. done is called once.
func (n *Node) Stop(done func()) {
	n.mu.Lock()
	if n.stopping {
		n.mu.Unlock()
		return
	}
	n.stopping = true
	n.endsAt = n.Clock.Now() + n.Options.GracePeriod - gracePeriodMargin
	n.mu.Unlock()
	n.Events.Log(event.NodeStopping)
	n.limiter.Leave()
	n.refreshOwnRecord()
	n.exchange()
	n.Clock.After(callerDrainTime-peerDrainTime, func() {
		n.mu.Lock()
		n.refusesPeerCalls = true
		n.mu.Unlock()
		n.refreshOwnRecord()
		n.exchange()
	})
	n.Clock.After(callerDrainTime, func() {
		n.mu.Lock()
		n.onStopped, n.refusesCallers = done, true
		n.mu.Unlock()
		n.endIfIdle()
	})
	n.Clock.After(n.Options.GracePeriod-gracePeriodMargin, n.end)
}

// refusesNewRequests reports whether a request arrives too late before the end of the process. Calls
// that executions of the local upstream may depend on are still accepted if their timeout is over before the
// end. Without customers, calls cannot be told from requests of callers.
func (n *Node) refusesNewRequests(mayBeCall bool, timeout time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.refusesCallers {
		return false
	}
	return !mayBeCall || n.executionCount == 0 || n.Clock.Now()+timeout > n.endsAt-lastAnswerTime
}

// endIfIdle ends a stopping node once it has no calls.
func (n *Node) endIfIdle() {
	n.mu.Lock()
	isIdle := n.onStopped != nil && n.requestCount == 0 && n.executionCount == 0
	n.mu.Unlock()
	if isIdle {
		n.end()
	}
}

func (n *Node) end() {
	n.mu.Lock()
	done, cutCalls := n.onStopped, n.requestCount+n.executionCount
	n.onStopped = nil
	wasEnded := n.hasEnded
	n.hasEnded = true
	n.mu.Unlock()
	if wasEnded || done == nil {
		return
	}
	for _, stop := range n.stopTimers {
		stop()
	}
	if cutCalls > 0 {
		n.Events.Log(event.NodeStopCut, event.Field{Name: "calls", Value: cutCalls})
	} else {
		n.Events.Log(event.NodeStopped)
	}
	done()
}
