package mesh

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"wagtailyoke/core/event"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// UpstreamState is the state that an upstream reports.
type UpstreamState uint8

// States of an upstream.
const (
	UpstreamReady UpstreamState = iota
	UpstreamDraining
)

// Heartbeat is the periodic message from an upstream to its node.
type Heartbeat struct {
	Instance world.InstanceID
	Service  world.ServiceID
	Address  world.Address
	Domain   world.DomainID
	// Slots is the number of calls that it runs concurrently.
	Slots int
	State UpstreamState
	// ColdRemaining is how much longer it is slow after its start.
	ColdRemaining time.Duration
	// Sequence increases with each heartbeat of one process.
	Sequence uint64
	// StartedUnixMs orders the processes that had the same address or ID, in Unix milliseconds.
	StartedUnixMs int64
}

// ErrForeignHeartbeat means that a heartbeat is not from this node's upstream.
var ErrForeignHeartbeat = errors.New("heartbeat is not from this node's upstream")

// upstreamTracker tracks the current upstream of this node and those that have left.
type upstreamTracker struct {
	mu sync.Mutex
	// hasHeartbeat means that heartbeat is set.
	hasHeartbeat bool
	heartbeat    Heartbeat
	// hasLeft reports whether a process has said that it leaves.
	hasLeft func(instance world.InstanceID, startedUnixMs int64) bool
	// isSettled means that the node has learned which processes had left before its start. The upstream
	// takes no calls before that.
	isSettled bool
	// isGone means that the current instance has left or that another one has its address.
	isGone bool
	// retryConnectAt is when the upstream is tried again after a failed connection.
	retryConnectAt  time.Duration
	connectFailures int
	// isEvacuated means that operators have evacuated the failure domain.
	isEvacuated bool
}

// Time for which an upstream is not tried after a failed connection.
const (
	minConnectBackoff = 100 * time.Millisecond
	maxConnectBackoff = time.Second
)

// connectFailed records that a connection to the upstream failed. It reports whether this is the
// first failure since the last success.
func (u *upstreamTracker) connectFailed(now time.Duration) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if now < u.retryConnectAt {
		return false
	}
	u.retryConnectAt = now + min(minConnectBackoff<<min(u.connectFailures, 4), maxConnectBackoff)
	u.connectFailures++
	return u.connectFailures == 1
}

// connectSucceeded records that the upstream accepted a connection.
func (u *upstreamTracker) connectSucceeded() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.connectFailures, u.retryConnectAt = 0, 0
}

// refusalCode returns why the upstream takes no calls to a service now, CodeNone if it does.
func (u *upstreamTracker) refusalCode(service world.ServiceID, now time.Duration) world.Code {
	u.mu.Lock()
	isDown := now < u.retryConnectAt
	u.mu.Unlock()
	if _, code := u.instanceFor(service); code != world.CodeNone {
		return code
	}
	if isDown {
		return world.CodeUnreachable
	}
	return world.CodeNone
}

// instanceFor returns the instance that takes calls to a service, or the code that says why none
// does.
func (u *upstreamTracker) instanceFor(service world.ServiceID) (world.InstanceID, world.Code) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case u.isEvacuated:
		return "", world.CodeEvacuated
	case !u.isSettled || !u.hasHeartbeat || u.isGone || u.heartbeat.State == UpstreamDraining:
		return "", world.CodeDraining
	case u.heartbeat.Service != service:
		return "", world.CodeStaleInstance
	}
	return u.heartbeat.Instance, world.CodeNone
}

// setEvacuated records whether the failure domain is evacuated.
func (u *upstreamTracker) setEvacuated(isEvacuated bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.isEvacuated = isEvacuated
}

// currentInstance returns the instance that last sent a heartbeat and has not left.
func (u *upstreamTracker) currentInstance() (world.InstanceID, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.heartbeat.Instance, u.hasHeartbeat && !u.isGone
}

// isLeaving reports whether the upstream has said that it leaves, or has left.
func (u *upstreamTracker) isLeaving() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.hasHeartbeat || u.isGone || u.heartbeat.State == UpstreamDraining
}

// markReplaced records that another instance has the address of the given one.
func (u *upstreamTracker) markReplaced(instance world.InstanceID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.hasHeartbeat && u.heartbeat.Instance == instance {
		u.isGone = true
	}
}

// heartbeatEffect is what a heartbeat changes.
type heartbeatEffect struct {
	// isCurrent means that the heartbeat is the newest one. An older one has no effect.
	isCurrent bool
	// isNewProcess means that it is the first heartbeat of a process that replaces a known one.
	isNewProcess bool
	// hasReplaced means that the replaced process had not said that it leaves.
	hasReplaced bool
	// hasChanged means that something other than the sequence has changed.
	hasChanged bool
}

// applyHeartbeat records a heartbeat.
func (u *upstreamTracker) applyHeartbeat(h Heartbeat) heartbeatEffect {
	u.mu.Lock()
	defer u.mu.Unlock()
	if h.State == UpstreamReady && u.hasLeft(h.Instance, h.StartedUnixMs) {
		return heartbeatEffect{}
	}
	if u.hasHeartbeat && !u.isNewerLocked(h) {
		return heartbeatEffect{}
	}
	old := u.heartbeat
	isNewProcess := u.hasHeartbeat && (old.Instance != h.Instance || old.StartedUnixMs != h.StartedUnixMs)
	effect := heartbeatEffect{
		isCurrent:    true,
		isNewProcess: isNewProcess,
		hasReplaced:  isNewProcess && !u.isGone && old.State == UpstreamReady,
		hasChanged:   !u.hasHeartbeat || u.isGone || isNewProcess || old.State != h.State || old.Slots != h.Slots || old.Service != h.Service,
	}
	u.hasHeartbeat, u.isGone, u.heartbeat = true, false, h
	if effect.hasChanged {
		u.connectFailures, u.retryConnectAt = 0, 0
	}
	return effect
}

// isNewerLocked orders heartbeats by the start of the process, then by sequence. It keeps a delayed
// heartbeat of an earlier process from reinstating that process.
func (u *upstreamTracker) isNewerLocked(h Heartbeat) bool {
	if h.StartedUnixMs != u.heartbeat.StartedUnixMs {
		return h.StartedUnixMs > u.heartbeat.StartedUnixMs
	}
	return h.Instance != u.heartbeat.Instance || h.Sequence > u.heartbeat.Sequence
}

// settle lets the upstream take calls. It reports whether there is one that was waiting for it.
func (u *upstreamTracker) settle() (hasUpstream bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.isSettled = true
	return u.hasHeartbeat
}

// endIfLeft ends the current process if it has left. It reports whether that is new.
func (u *upstreamTracker) endIfLeft() (instance world.InstanceID, isNew bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.hasHeartbeat || u.isGone || u.heartbeat.State == UpstreamDraining || !u.hasLeft(u.heartbeat.Instance, u.heartbeat.StartedUnixMs) {
		return "", false
	}
	u.isGone = true
	return u.heartbeat.Instance, true
}

// startOf returns the start time of the current process, if that is the given instance.
func (u *upstreamTracker) startOf(instance world.InstanceID) (startedUnixMs int64, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.heartbeat.StartedUnixMs, u.hasHeartbeat && u.heartbeat.Instance == instance
}

// wireInfo returns the upstream information that is sent to other nodes.
func (u *upstreamTracker) wireInfo() *wire.UpstreamInfo {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.hasHeartbeat {
		return nil
	}
	state := wire.NodeState_NODE_STATE_READY
	switch {
	case u.isGone:
		state = wire.NodeState_NODE_STATE_GONE
	case u.heartbeat.State == UpstreamDraining:
		state = wire.NodeState_NODE_STATE_DRAINING
	case !u.isSettled:
		state = wire.NodeState_NODE_STATE_STARTING
	}
	return &wire.UpstreamInfo{
		Instance:   string(u.heartbeat.Instance),
		BornUnixMs: u.heartbeat.StartedUnixMs,
		State:      state,
		Slots:      uint32(u.heartbeat.Slots),

		FollowsNotices: true,
	}
}

// service returns the service of this node's upstream, if one is known.
func (u *upstreamTracker) service() (world.ServiceID, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.heartbeat.Service, u.hasHeartbeat
}

// callerService returns the service of this VM, which other services see as the caller of its calls.
func (n *Node) callerService() world.ServiceID {
	if s, ok := n.upstreamTracker.service(); ok {
		return s
	}
	return n.Info.Service
}

// HandleHeartbeat processes a heartbeat of the upstream. Once it returns nil, the node follows the
// state that the heartbeat reports. A late heartbeat is acknowledged without effect.
func (n *Node) HandleHeartbeat(h Heartbeat) error {
	if h.Address != n.Info.UpstreamAddress {
		return errors.Wrapf(ErrForeignHeartbeat, "address is %q, expected %q", h.Address, n.Info.UpstreamAddress)
	}
	if h.Service != n.Info.Service && !n.serviceExists(h.Service) {
		return errors.Wrapf(ErrForeignHeartbeat, "service %q is not in the routing table", h.Service)
	}
	if h.State == UpstreamDraining || n.departures.hasOwn(h.Instance, h.StartedUnixMs) {
		n.departures.add(h.Instance, h.StartedUnixMs)
	}
	effect := n.upstreamTracker.applyHeartbeat(h)
	if effect.hasReplaced {
		n.handleUpstreamEnd(n.crashDetector.currentGeneration(), n.Clock.Now()-restartSuspectWindow)
	}
	if effect.isNewProcess {
		n.rateGate.Reset()
		n.queue.Recheck()
	}
	if effect.isCurrent {
		n.applyColdLimits()
		n.applyColdHeartbeat(h.ColdRemaining, effect.isNewProcess)
	}
	if !effect.hasChanged {
		n.applyDepartures()
		return nil
	}
	if h.State == UpstreamDraining {
		n.handleUpstreamLeaving(h.Instance)
		return nil
	}
	n.Events.Log(event.UpstreamReady,
		event.Field{Name: "instance", Value: h.Instance}, event.Field{Name: "service", Value: h.Service},
		event.Field{Name: "born", Value: h.StartedUnixMs}, event.Field{Name: "slots", Value: h.Slots},
		event.Field{Name: "coldMs", Value: h.ColdRemaining.Milliseconds()})
	n.queue.SetLimit(h.Slots)
	n.refreshOwnRecord()
	return nil
}

// HandleLeave processes the message of a process of the upstream that it takes no more calls. Its start time
// is 0 if it did not say.
func (n *Node) HandleLeave(instance world.InstanceID, startedUnixMs int64) {
	if startedUnixMs == 0 {
		var ok bool
		if startedUnixMs, ok = n.upstreamTracker.startOf(instance); !ok {
			// All its processes until now. A later one takes calls.
			startedUnixMs = n.Clock.Wall().UnixMilli()
		}
	}
	n.departures.add(instance, startedUnixMs)
	n.applyDepartures()
}

func (n *Node) handleUpstreamLeaving(instance world.InstanceID) {
	n.Events.Log(event.UpstreamDraining, event.Field{Name: "instance", Value: instance})
	n.queue.DropAll(world.CodeDraining)
	n.refreshOwnRecord()
	n.exchangeSoon()
}

func (n *Node) serviceExists(s world.ServiceID) bool {
	t := n.table.Load()
	if t == nil {
		return false
	}
	_, ok := t.Services[s]
	return ok
}
