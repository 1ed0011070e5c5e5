package term

import (
	"sync"
	"time"

	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// round is a candidate's questions to the members of one version of the record.
type round struct {
	term     *Term
	version  uint64
	record   Record
	start    time.Duration
	required time.Duration

	mu        sync.Mutex
	silent    map[world.NodeID]Member
	isRefused bool
	isOver    bool
}

// roundLocked prepares the questions. The silence asked for covers the fence time
// and the whole round: at the start of the round, no contact with a member that
// testifies can still count for the holder.
func (t *Term) roundLocked(now time.Duration) func() {
	r := &round{
		term:     t,
		version:  t.version,
		record:   t.record,
		start:    now,
		required: t.options.Fence + t.options.Round,
		silent:   map[world.NodeID]Member{},
	}
	own := &wire.TestifyReply{Node: string(t.self.Node), SilentMs: (now - t.lastHeard).Milliseconds()}
	return func() { r.run(own) }
}

func (r *round) run(own *wire.TestifyReply) {
	t := r.term
	req := &wire.TestifyRequest{Domain: string(t.domain), Epoch: uint64(r.record.Epoch)}
	t.clock.After(t.options.Round, r.close)
	t.asker.QueryContact(r.record.Holder.Peer, req, func(reply *wire.TestifyReply, err error) {
		if err == nil && reply.GetIsHolder() {
			r.refuse()
		}
	})
	for _, m := range r.record.Members {
		if m.Node == r.record.Holder.Node {
			continue
		}
		if m.Node == t.self.Node {
			r.testify(m, own)
			continue
		}
		t.asker.QueryContact(m.Peer, req, func(reply *wire.TestifyReply, err error) {
			if err == nil {
				r.testify(m, reply)
			}
		})
	}
}

func (r *round) refuse() {
	r.mu.Lock()
	r.isRefused = true
	r.mu.Unlock()
}

func (r *round) testify(m Member, reply *wire.TestifyReply) {
	if world.NodeID(reply.GetNode()) != m.Node {
		// The address was taken over by another node.
		return
	}
	silent := time.Duration(reply.GetSilentMs()) * time.Millisecond
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isOver {
		return
	}
	if reply.GetIsHolder() || silent < r.required {
		return
	}
	r.silent[m.Node] = m
}

// close ends the round and takes the term over if the testimonies suffice.
func (r *round) close() {
	r.mu.Lock()
	r.isOver = true
	enough := !r.isRefused && len(r.silent) >= testimoniesNeeded(len(r.record.Members))
	r.mu.Unlock()
	t := r.term
	now := t.clock.Now()
	late := now-r.start > 2*t.options.Round
	t.mu.Lock()
	t.wantRead = true
	t.mu.Unlock()
	if !enough || late {
		t.idle()
		return
	}
	t.write(r.version, r.nextRecord(), now)
}

// epochStride leaves room for handovers that the platform has not seen: each adds
// 1 to the epoch, a take-over goes to the next multiple.
const epochStride = 256

func nextEpoch(e world.Epoch) world.Epoch { return (e/epochStride + 1) * epochStride }

// nextRecord lists the members that can be reached now.
func (r *round) nextRecord() Record {
	var others []Member
	for _, m := range r.record.Members {
		if _, ok := r.silent[m.Node]; ok && m.Node != r.term.self.Node {
			others = append(others, m)
		}
	}
	next := r.term.newRecord(nextEpoch(r.record.Epoch), others)
	next.ReservedShares = r.record.ReservedShares
	return next
}
