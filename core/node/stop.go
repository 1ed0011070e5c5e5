package node

import (
	"time"

	"wagtailyoke/core/event"
)

// stopPoll is how often a stopping node looks whether all calls have ended.
const stopPoll = 20 * time.Millisecond

// Stop shuts the node down gracefully: it leaves the roster, hands over its term,
// lets all calls in flight finish and then calls done.
func (n *Node) Stop(done func()) {
	n.mu.Lock()
	n.stopping = true
	n.stopped = done
	n.mu.Unlock()
	n.Events.Log(event.NodeStopping)
	n.beats.closeStocks()
	n.beat()
	n.handOver(func() { n.awaitIdle(n.Clock.Now() + n.Options.StopLimit) })
}

// leaveTime lets other nodes learn that this one leaves, while it still serves.
const leaveTime = 700 * time.Millisecond

func (n *Node) awaitIdle(limit time.Duration) {
	n.Clock.After(leaveTime, func() { n.pollIdle(limit) })
}

func (n *Node) pollIdle(limit time.Duration) {
	n.mu.Lock()
	busy := n.flights
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
	n.stopBeats()
	n.Platform.Delete(AnnouncementKey(n.Info.Name), func(error) {})
	n.stopped()
}
