package node

import (
	"time"

	"wagtailyoke/core/event"
)

// stopPoll is the interval at which a stopping node checks whether all calls have ended.
const stopPoll = 20 * time.Millisecond

// Stop shuts the node down gracefully: it reports itself as draining, hands over its
// term, waits for all calls in flight and then calls done.
func (n *Node) Stop(done func()) {
	n.mu.Lock()
	n.stopping = true
	n.stopped = done
	limit := n.Clock.Now() + n.Options.StopLimit
	n.endsAt = limit
	n.mu.Unlock()
	n.Events.Log(event.NodeStopping)
	n.heartbeats.closeLocalTokens()
	n.sendHeartbeat()
	n.handOver(func() { n.awaitIdle(limit) })
}

const (
	// lastAnswerTime is how long before the end of a stopping node the last call must have its answer.
	lastAnswerTime = 200 * time.Millisecond
	// stopRetryAfter is when a call that came too late may return: the next process has started by then.
	stopRetryAfter = time.Second
)

// refusesLate reports whether a call with a timeout could outlast a stopping node.
func (n *Node) refusesLate(timeout time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stopping && n.Clock.Now()+timeout > n.endsAt-lastAnswerTime
}

// leaveDelay is how long the node keeps serving after it has reported itself as draining,
// until the other nodes know of it.
const leaveDelay = 700 * time.Millisecond

func (n *Node) awaitIdle(limit time.Duration) {
	n.Clock.After(leaveDelay, func() { n.pollIdle(limit) })
}

func (n *Node) pollIdle(limit time.Duration) {
	n.mu.Lock()
	busy := n.proxiedRequests
	n.mu.Unlock()
	busy += n.queue.Load()
	if busy > 0 && n.Clock.Now() < limit {
		n.Clock.After(stopPoll, func() { n.pollIdle(limit) })
		return
	}
	if busy > 0 {
		n.Events.Log(event.NodeStopCut, event.Field{Name: "calls", Value: busy})
	} else {
		n.Events.Log(event.NodeStopped)
	}
	for _, stop := range n.stops {
		stop()
	}
	n.stopHeartbeats()
	n.Platform.Delete(AnnouncementKey(n.Info.Name), func(error) {})
	n.stopped()
}
