package mesh

import (
	"sync"
	"time"

	"wagtailyoke/core/admit"
	"wagtailyoke/core/place"
	"wagtailyoke/core/timer"
	"wagtailyoke/core/world"
)

// noticeBoard holds what upstreams of other nodes have said about themselves in answers that passed this
// node. Their own nodes apply it, but may have restarted since, or be of a version that does not.
type noticeBoard struct {
	clock timer.Service

	mu      sync.Mutex
	entries map[world.NodeID]*postedNotice
	// current holds the endpoints that nodes report.
	current map[world.NodeID]place.Endpoint
	// nodeCount is the number of known nodes.
	nodeCount int
}

// postedNotice is what the upstream of one node has said.
type postedNotice struct {
	endpoint place.Endpoint
	// limit is in calls per second from all nodes. gate limits the calls to this node's share of it.
	limit float64
	gate  *admit.RateGate
	// isLeaving means that the upstream takes no more calls.
	isLeaving bool
	postedAt  time.Duration
}

// noticeTTL is how long a notice outlives the last record that shows its upstream as an endpoint. The node of
// an upstream that leaves may be cut off and return meanwhile.
const noticeTTL = 10 * time.Minute

func newNoticeBoard(clock timer.Service) *noticeBoard {
	return &noticeBoard{clock: clock, entries: map[world.NodeID]*postedNotice{}, nodeCount: 1}
}

func isSameProcess(a, b place.Endpoint) bool {
	return a.Instance == b.Instance && a.StartedUnixMs == b.StartedUnixMs
}

// record stores what the upstream of an endpoint says in the answer to a call that was sent at a time.
func (b *noticeBoard) record(from place.Endpoint, notice world.UpstreamNotice, sent time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e, ok := b.current[from.Node]; ok && !isSameProcess(e, from) {
		// A late answer of a process that was replaced.
		return
	}
	posted := b.entries[from.Node]
	if posted == nil || !isSameProcess(posted.endpoint, from) {
		if !notice.HasCallLimit && !notice.IsLeaving {
			return
		}
		posted = &postedNotice{endpoint: from, gate: admit.NewSharedRateGate(b.clock)}
		b.entries[from.Node] = posted
	}
	posted.postedAt = b.clock.Now()
	posted.isLeaving = posted.isLeaving || notice.IsLeaving
	if notice.HasCallLimit {
		posted.limit = notice.CallLimit
		posted.gate.SetSharedLimit(notice.CallLimit, b.nodeCount)
		return
	}
	if posted.gate.Lift(sent) && !posted.isLeaving {
		delete(b.entries, from.Node)
	}
}

// update removes the entries of upstreams that were replaced, or have been gone for long.
func (b *noticeBoard) update(endpoints []place.Endpoint, nodeCount int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodeCount = max(nodeCount, 1)
	b.current = make(map[world.NodeID]place.Endpoint, len(endpoints))
	for _, e := range endpoints {
		b.current[e.Node] = e
	}
	for node, posted := range b.entries {
		e, isReported := b.current[node]
		switch {
		case isReported && !isSameProcess(posted.endpoint, e), !isReported && b.clock.Now()-posted.postedAt > noticeTTL:
			delete(b.entries, node)
		case isReported:
			posted.endpoint = e
		}
	}
}

// blocked returns the nodes of a service to which this node must not send a call now.
func (b *noticeBoard) blocked(service world.ServiceID) []world.NodeID {
	b.mu.Lock()
	defer b.mu.Unlock()
	var nodes []world.NodeID
	for node, posted := range b.entries {
		if posted.endpoint.Service == service && posted.isBlocked() {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

func (p *postedNotice) isBlocked() bool {
	return p.isLeaving || !p.endpoint.FollowsNotices && p.gate.WaitFor(0) > 0
}

// countCall counts a call to an endpoint. It returns the limit of the endpoint's upstream, nil if none is
// known.
func (b *noticeBoard) countCall(to place.Endpoint) *world.CallLimit {
	b.mu.Lock()
	defer b.mu.Unlock()
	posted := b.entries[to.Node]
	if posted == nil || !isSameProcess(posted.endpoint, to) {
		return nil
	}
	posted.gate.Take()
	if _, ok := posted.gate.Limit(); !ok {
		return nil
	}
	return &world.CallLimit{Instance: to.Instance, CallsPerSecond: posted.limit}
}
