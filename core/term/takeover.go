package term

import (
	"sync"
	"time"

	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// round is a candidate's queries to the members of one version of the record.
type round struct {
	term       *Term
	version    uint64
	record     Record
	start      time.Duration
	minSilence time.Duration

	mu sync.Mutex
	// confirmed holds the members that confirmed to have had no contact with the holder for
	// minSilence.
	confirmed map[world.NodeID]Member
	// holderReplied means that the holder replied that it holds the term.
	holderReplied bool
	isClosed      bool
}

// newRoundLocked prepares the queries. minSilence covers the fence timeout and the whole
// round: at the start of the round, no contact with a confirming member can still count
// for the holder.
func (t *Term) newRoundLocked(now time.Duration) func() {
	r := &round{
		term:       t,
		version:    t.version,
		record:     t.record,
		start:      now,
		minSilence: t.options.FenceTimeout + t.options.RoundTimeout,
		confirmed:  map[world.NodeID]Member{},
	}
	ownReply := &wire.TestifyReply{Node: string(t.self.Node), SilentMs: (now - t.lastHolderReply).Milliseconds()}
	return func() { r.run(ownReply) }
}

func (r *round) run(ownReply *wire.TestifyReply) {
	t := r.term
	req := &wire.TestifyRequest{Domain: string(t.domain), Epoch: uint64(r.record.Epoch)}
	t.clock.After(t.options.RoundTimeout, r.close)
	t.querier.QueryContact(r.record.Holder.Peer, req, func(reply *wire.TestifyReply, err error) {
		if err == nil && reply.GetIsHolder() {
			r.setHolderReplied()
		}
	})
	for _, m := range r.record.Members {
		if m.Node == r.record.Holder.Node {
			continue
		}
		if m.Node == t.self.Node {
			r.addReply(m, ownReply)
			continue
		}
		t.querier.QueryContact(m.Peer, req, func(reply *wire.TestifyReply, err error) {
			if err == nil {
				r.addReply(m, reply)
			}
		})
	}
}

func (r *round) setHolderReplied() {
	r.mu.Lock()
	r.holderReplied = true
	r.mu.Unlock()
}

func (r *round) addReply(m Member, reply *wire.TestifyReply) {
	if world.NodeID(reply.GetNode()) != m.Node {
		// The address was taken over by another node.
		return
	}
	silence := time.Duration(reply.GetSilentMs()) * time.Millisecond
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isClosed {
		return
	}
	if reply.GetIsHolder() || silence < r.minSilence {
		return
	}
	r.confirmed[m.Node] = m
}

// close ends the round and takes the term over if enough members confirmed.
func (r *round) close() {
	r.mu.Lock()
	r.isClosed = true
	enough := !r.holderReplied && len(r.confirmed) >= confirmationsNeeded(len(r.record.Members))
	r.mu.Unlock()
	t := r.term
	now := t.clock.Now()
	late := now-r.start > 2*t.options.RoundTimeout
	t.mu.Lock()
	t.needsRead = true
	t.mu.Unlock()
	if !enough || late {
		t.clearBusy()
		return
	}
	t.writeRecord(r.version, r.nextRecord(), now)
}

// epochStride leaves room for handovers that the store has not seen: each handover adds
// 1 to the epoch, a takeover continues at the next multiple of epochStride.
const epochStride = 256

func nextEpoch(e world.Epoch) world.Epoch { return (e/epochStride + 1) * epochStride }

// nextRecord lists the members that confirmed, which can be reached now.
func (r *round) nextRecord() Record {
	var others []Member
	for _, m := range r.record.Members {
		if _, ok := r.confirmed[m.Node]; ok && m.Node != r.term.self.Node {
			others = append(others, m)
		}
	}
	next := r.term.newRecord(nextEpoch(r.record.Epoch), others)
	next.ReservedShares = r.record.ReservedShares
	return next
}
