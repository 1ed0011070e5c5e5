package mesh

import (
	"wagtailyoke/core/event"
	"wagtailyoke/core/world"
)

// updateCallRate measures the rate of calls to the upstream, and logs it while the upstream names a limit.
func (n *Node) updateCallRate() {
	if !n.callMeter.update(n.Clock.Now()) {
		return
	}
	if limit, ok := n.rateGate.Limit(); ok {
		n.logCallLimit(limit)
	}
}

func (n *Node) logCallLimit(limit float64) {
	instance, _ := n.upstreamTracker.currentInstance()
	n.Events.Log(event.UpstreamLimited, event.Field{Name: "instance", Value: instance},
		event.Field{Name: "limit", Value: limit}, event.Field{Name: "callsPerSecond", Value: n.callMeter.callRate()})
}

// handleNotice applies what the upstream says about itself in the answer to an execution.
func (n *Node) handleNotice(instance world.InstanceID, reply *world.Reply, e *execution) {
	current, _ := n.upstreamTracker.currentInstance()
	if reply.Notice == nil || current != instance {
		return
	}
	if reply.Notice.IsLeaving {
		if !n.upstreamTracker.isLeaving() {
			n.Events.Log(event.UpstreamSaysLeaving, event.Field{Name: "instance", Value: instance})
			n.HandleLeave(instance, 0)
		}
		return
	}
	switch {
	case reply.Notice.HasCallLimit:
		if limit := reply.Notice.CallLimit; n.rateGate.SetLimit(limit) {
			n.logCallLimit(limit)
			n.announceLimit()
		}
	case reply.IsRefusal():
		// An upstream that refuses a call may leave out what it would say after running it.
	case n.rateGate.Lift(e.startedAt):
		n.Events.Log(event.UpstreamUnlimited, event.Field{Name: "instance", Value: instance})
		n.queue.Recheck()
		n.announceLimit()
	}
}

// applySuggestedLimit applies the limit that another node knows of. This node does not know it if it has
// started since the upstream first named it.
func (n *Node) applySuggestedLimit(l *world.CallLimit) {
	if l == nil {
		return
	}
	instance, ok := n.upstreamTracker.currentInstance()
	if ok && instance == l.Instance && n.rateGate.Suggest(l.CallsPerSecond) {
		n.logCallLimit(l.CallsPerSecond)
		n.announceLimit()
	}
}

func (n *Node) announceLimit() {
	n.refreshOwnRecord()
	n.exchangeSoon()
}
