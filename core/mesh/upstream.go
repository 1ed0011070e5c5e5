package mesh

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"wagtailyoke/core/event"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// UpstreamState is what an upstream says of itself.
type UpstreamState uint8

// States of an upstream.
const (
	UpstreamReady UpstreamState = iota
	UpstreamDraining
)

// Heartbeat is what an upstream sends to its node.
type Heartbeat struct {
	Instance world.InstanceID
	Service  world.ServiceID
	Address  world.Address
	Domain   world.DomainID
	// Slots is the number of calls that it runs at once.
	Slots int
	State UpstreamState
	// ColdRemaining is how much longer it is slow after its start.
	ColdRemaining time.Duration
	// Sequence rises with each heartbeat of one process.
	Sequence uint64
	// StartedUnixMs orders the processes that had one address or id, in Unix milliseconds.
	StartedUnixMs int64
}

// ErrForeign means that a heartbeat is not of the upstream beside this node.
var ErrForeign = errors.New("heartbeat of another upstream")

// upstreams keeps the upstream that is beside the node now, and those that have left.
type upstreams struct {
	mu sync.Mutex
	// known means that now holds an upstream.
	known bool
	now   Heartbeat
	// left holds the births of the instances that said that they leave.
	left map[world.InstanceID]int64
	// isGone means that the current instance left or another one has its address.
	isGone bool
	// downUntil is how long the upstream is not tried, since it took no connection.
	downUntil time.Duration
	failures  int
}

// Times for which an upstream is not tried after it took no connection.
const (
	leastDown = 100 * time.Millisecond
	mostDown  = time.Second
)

// tookNoConnection notes that the upstream could not be reached. It reports whether this
// is the first time since it could.
func (u *upstreams) tookNoConnection(now time.Duration) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if now < u.downUntil {
		return false
	}
	u.downUntil = now + min(leastDown<<min(u.failures, 4), mostDown)
	u.failures++
	return u.failures == 1
}

// answers notes that the upstream took a connection.
func (u *upstreams) answers() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.failures, u.downUntil = 0, 0
}

// refusal says why the upstream takes no call to a service now.
func (u *upstreams) refusal(service world.ServiceID, now time.Duration) world.Code {
	u.mu.Lock()
	isDown := now < u.downUntil
	u.mu.Unlock()
	if _, code := u.current(service); code != world.CodeNone {
		return code
	}
	if isDown {
		return world.CodeUnreachable
	}
	return world.CodeNone
}

// current returns the instance that takes calls to a service, or why none does.
func (u *upstreams) current(service world.ServiceID) (world.InstanceID, world.Code) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case !u.known || u.isGone || u.now.State == UpstreamDraining:
		return "", world.CodeDraining
	case u.now.Service != service:
		return "", world.CodeStaleInstance
	}
	return u.now.Instance, world.CodeNone
}

// isLeaving reports whether the upstream has said that it will end.
func (u *upstreams) isLeaving() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.known || u.isGone || u.now.State == UpstreamDraining
}

// gone notes that the address of an instance has gone to another one.
func (u *upstreams) gone(instance world.InstanceID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.known && u.now.Instance == instance {
		u.isGone = true
	}
}

// accept takes in a heartbeat. It reports whether something changed, and whether another
// process has taken the place of one that had not said that it leaves.
func (u *upstreams) accept(h Heartbeat) (changed, replaced bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.left == nil {
		u.left = map[world.InstanceID]int64{}
	}
	if born, ok := u.left[h.Instance]; ok && h.StartedUnixMs <= born && h.State == UpstreamReady {
		return false, false
	}
	if u.known && !u.isLaterLocked(h) {
		return false, false
	}
	replaced = u.known && !u.isGone && u.now.State == UpstreamReady && (u.now.Instance != h.Instance || u.now.StartedUnixMs != h.StartedUnixMs)
	changed = !u.known || u.isGone || u.now.Instance != h.Instance || u.now.StartedUnixMs != h.StartedUnixMs ||
		u.now.State != h.State || u.now.Slots != h.Slots || u.now.Service != h.Service
	u.known, u.isGone, u.now = true, false, h
	if changed {
		u.failures, u.downUntil = 0, 0
	}
	if h.State == UpstreamDraining {
		u.left[h.Instance] = h.StartedUnixMs
	}
	return changed, replaced
}

// isLaterLocked orders heartbeats by the birth of the process, then by sequence. A
// delayed one of an earlier process must not bring it back.
func (u *upstreams) isLaterLocked(h Heartbeat) bool {
	if h.StartedUnixMs != u.now.StartedUnixMs {
		return h.StartedUnixMs > u.now.StartedUnixMs
	}
	return h.Instance != u.now.Instance || h.Sequence > u.now.Sequence
}

// leave notes that an instance takes no more calls. It reports whether it is the current one.
func (u *upstreams) leave(instance world.InstanceID) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.left == nil {
		u.left = map[world.InstanceID]int64{}
	}
	if u.known && u.now.Instance == instance {
		u.left[instance] = u.now.StartedUnixMs
		wasGone := u.isGone
		u.isGone = true
		return !wasGone
	}
	if _, ok := u.left[instance]; !ok {
		// Its birth is not known: all that it said before now is void.
		u.left[instance] = leftForGood
	}
	return false
}

// leftForGood bars an instance of unknown birth.
const leftForGood = int64(1) << 62

// info is what others are told.
func (u *upstreams) info() *wire.UpstreamInfo {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.known {
		return nil
	}
	state := wire.NodeState_NODE_STATE_READY
	switch {
	case u.isGone:
		state = wire.NodeState_NODE_STATE_GONE
	case u.now.State == UpstreamDraining:
		state = wire.NodeState_NODE_STATE_DRAINING
	}
	return &wire.UpstreamInfo{
		Instance:   string(u.now.Instance),
		BornUnixMs: u.now.StartedUnixMs,
		State:      state,
		Slots:      uint32(u.now.Slots),
	}
}

// service returns the service of the upstream beside the node, if one is known.
func (u *upstreams) service() (world.ServiceID, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.now.Service, u.known
}

// callerService is the service of this VM, as other services see its calls.
func (n *Node) callerService() world.ServiceID {
	if s, ok := n.upstream.service(); ok {
		return s
	}
	return n.Info.Service
}

// HandleHeartbeat takes in a heartbeat. Once it returns nil, the node is bound by what the
// upstream said. A late heartbeat is acknowledged and changes nothing.
func (n *Node) HandleHeartbeat(h Heartbeat) error {
	if h.Address != n.Info.UpstreamAddress {
		return errors.Wrapf(ErrForeign, "address %q is not %q", h.Address, n.Info.UpstreamAddress)
	}
	if h.Service != n.Info.Service && !n.isService(h.Service) {
		return errors.Wrapf(ErrForeign, "service %q does not exist", h.Service)
	}
	changed, replaced := n.upstream.accept(h)
	if replaced {
		n.upstreamEnded(n.lives.current(), n.Clock.Now()-rebirthTime)
	}
	if !changed {
		return nil
	}
	if h.State == UpstreamDraining {
		n.upstreamLeaves(h.Instance)
		return nil
	}
	n.Events.Log(event.UpstreamReady,
		event.Field{Name: "instance", Value: h.Instance}, event.Field{Name: "service", Value: h.Service},
		event.Field{Name: "born", Value: h.StartedUnixMs}, event.Field{Name: "slots", Value: h.Slots})
	n.line.SetLimit(h.Slots)
	n.refresh()
	return nil
}

// HandleLeave takes in that an upstream takes no more calls.
func (n *Node) HandleLeave(instance world.InstanceID) {
	if n.upstream.leave(instance) {
		n.upstreamLeaves(instance)
	}
}

func (n *Node) upstreamLeaves(instance world.InstanceID) {
	n.Events.Log(event.UpstreamDraining, event.Field{Name: "instance", Value: instance})
	n.line.DropAll(world.CodeDraining)
	n.refresh()
	n.exchangeSoon()
}

func (n *Node) isService(s world.ServiceID) bool {
	t := n.table.Load()
	return t != nil && t.Services[s]
}
