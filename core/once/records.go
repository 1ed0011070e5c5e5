// Package once ensures that a non-idempotent call runs at most once, and stops requests that
// crash upstreams.
//
// The leader of a key's home failure domain keeps one record per customer, route and key. The
// record is created before the call runs and stores its answer, so that a repeated request
// receives the first answer once there is one.
//
// # Usage
//
//	r := once.NewRecords(clock, once.Term{Epoch: 3, FreshAfter: ...}, window)
//	reply := r.Begin(request)
//	r.Finish(request)
//
// A new leader without a handover does not have its predecessor's records. It runs only keys
// that were issued after its term began, and answers all others with VERDICT_MAYBE_RAN until the
// record window has passed.
package once

import (
	"sort"
	"time"

	"github.com/google/uuid"

	"wagtailyoke/core/shard"
	"wagtailyoke/core/timer"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// MaxClockSkew is the largest tolerated difference between wall clocks.
const MaxClockSkew = 2 * time.Second

// Term describes the leader term that the records belong to.
type Term struct {
	Domain world.DomainID
	Epoch  world.Epoch
	// FreshAfter is a wall-clock time: earlier terms cannot have records of keys issued after
	// it. It is the zero time if no records were ever lost.
	FreshAfter time.Time
	// UnsettledUntil is the instant from which all lost records are older than the window.
	UnsettledUntil time.Duration
}

// Records stores the idempotency records of one term, sharded by key.
type Records struct {
	clock  timer.Service
	term   Term
	window time.Duration
	shards *shard.Map[recordID, *record]
}

type recordID string

type record struct {
	key        *wire.RecordKey
	bodyDigest uint64
	owner      string
	answer     *wire.Answer
	createdAt  time.Duration
	// deadline is the instant from which an unfinished call counts as MAYBE_RAN.
	deadline time.Duration
}

// NewRecords returns an empty set of records for a term.
func NewRecords(clock timer.Service, term Term, window time.Duration) *Records {
	return &Records{clock: clock, term: term, window: window, shards: shard.New[recordID, *record]()}
}

func idOf(k *wire.RecordKey) recordID {
	return recordID(k.GetCustomer() + "\x00" + k.GetRoute() + "\x00" + k.GetKey())
}

// Begin decides whether a call may run, and creates its record if so.
func (r *Records) Begin(req *wire.BeginRequest) *wire.BeginReply {
	var reply *wire.BeginReply
	id := idOf(req.GetKey())
	r.shards.With(id, func(entries map[recordID]*record) {
		existing := entries[id]
		if existing != nil && r.clock.Now()-existing.createdAt < r.window {
			reply = r.replyToDuplicate(existing, req)
			return
		}
		verdict := r.verdictWithoutRecord(req.GetKey().GetKey())
		if verdict == wire.Verdict_VERDICT_RUN {
			entries[id] = r.newRecord(req)
		}
		reply = r.reply(verdict, nil)
	})
	return reply
}

func (r *Records) newRecord(req *wire.BeginRequest) *record {
	now := r.clock.Now()
	return &record{
		key:        req.GetKey(),
		bodyDigest: req.GetBodyDigest(),
		owner:      req.GetOwner(),
		createdAt:  now,
		deadline:   now + time.Duration(req.GetRemainingMs())*time.Millisecond,
	}
}

func (r *Records) reply(v wire.Verdict, a *wire.Answer) *wire.BeginReply {
	return &wire.BeginReply{Verdict: v, Epoch: uint64(r.term.Epoch), Domain: string(r.term.Domain), Answer: a}
}

// replyToDuplicate answers a repeated request.
func (r *Records) replyToDuplicate(existing *record, req *wire.BeginRequest) *wire.BeginReply {
	switch {
	case existing.bodyDigest != req.GetBodyDigest():
		return r.reply(wire.Verdict_VERDICT_KEY_REUSED, nil)
	case existing.answer != nil:
		return r.reply(wire.Verdict_VERDICT_ANSWERED, existing.answer)
	case r.clock.Now() >= existing.deadline:
		return r.reply(wire.Verdict_VERDICT_MAYBE_RAN, nil)
	default:
		return r.reply(wire.Verdict_VERDICT_RUNNING, nil)
	}
}

// verdictWithoutRecord decides about a key that has no record.
func (r *Records) verdictWithoutRecord(key string) wire.Verdict {
	issued, hasTime := issueTime(key)
	wall := r.clock.Wall()
	if !hasTime {
		if r.clock.Now() < r.term.UnsettledUntil {
			return wire.Verdict_VERDICT_MAYBE_RAN
		}
		return wire.Verdict_VERDICT_RUN
	}
	switch {
	case issued.After(wall.Add(MaxClockSkew)):
		return wire.Verdict_VERDICT_KEY_INVALID
	case issued.Before(wall.Add(MaxClockSkew - r.window)):
		// A key this old may have had a record that has left the window.
		return wire.Verdict_VERDICT_MAYBE_RAN
	case !issued.After(r.term.FreshAfter):
		return wire.Verdict_VERDICT_MAYBE_RAN
	default:
		return wire.Verdict_VERDICT_RUN
	}
}

// issueTime returns the timestamp of a UUIDv7.
func issueTime(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	ms := int64(id[0])<<40 | int64(id[1])<<32 | int64(id[2])<<24 | int64(id[3])<<16 | int64(id[4])<<8 | int64(id[5])
	return time.UnixMilli(ms), true
}

// Finish stores the answer of a call, or deletes the record of a call that did not run.
func (r *Records) Finish(req *wire.FinishRequest) {
	if world.Epoch(req.GetEpoch()) > r.term.Epoch {
		return
	}
	id := idOf(req.GetKey())
	r.shards.With(id, func(entries map[recordID]*record) {
		e := entries[id]
		switch {
		case e == nil || e.answer != nil:
		case !req.GetNotRun():
			e.answer = req.GetAnswer()
		case e.owner == req.GetOwner():
			// Only the owner may delete the record: another attempt that owns it may be running.
			delete(entries, id)
		}
	})
}

// Sweep deletes records that have left the window.
func (r *Records) Sweep() {
	now := r.clock.Now()
	r.shards.Each(func(entries map[recordID]*record) {
		for id, e := range entries {
			if now-e.createdAt >= r.window && now >= e.deadline {
				delete(entries, id)
			}
		}
	})
}

// Count returns the number of records.
func (r *Records) Count() int {
	n := 0
	r.shards.Each(func(entries map[recordID]*record) { n += len(entries) })
	return n
}

// Save adds all records to a handover. Unfinished ones have no answer; the next leader replies
// to repeated requests for them once they finish there.
func (r *Records) Save(h *wire.HandoverRequest) {
	now := r.clock.Now()
	r.shards.Each(func(entries map[recordID]*record) {
		for _, e := range entries {
			h.Records = append(h.Records, &wire.RecordState{
				Key: e.key, BodyDigest: e.bodyDigest, Owner: e.owner, Answer: e.answer, AgeMs: (now - e.createdAt).Milliseconds(),
			})
		}
	})
	sort.Slice(h.Records, func(i, j int) bool { return idOf(h.Records[i].Key) < idOf(h.Records[j].Key) })
	if !r.term.FreshAfter.IsZero() {
		h.FreshAfterUnixMs = r.term.FreshAfter.UnixMilli()
	}
	h.UnsettledMs = max(0, (r.term.UnsettledUntil - now).Milliseconds())
}

// Load adds the records of a handover. Unfinished ones count as MAYBE_RAN after
// unfinishedTimeout.
func (r *Records) Load(h *wire.HandoverRequest, unfinishedTimeout time.Duration) {
	now := r.clock.Now()
	for _, s := range h.GetRecords() {
		id := idOf(s.GetKey())
		r.shards.With(id, func(entries map[recordID]*record) {
			entries[id] = &record{
				key:        s.GetKey(),
				bodyDigest: s.GetBodyDigest(),
				owner:      s.GetOwner(),
				answer:     s.GetAnswer(),
				createdAt:  now - time.Duration(s.GetAgeMs())*time.Millisecond,
				deadline:   now + unfinishedTimeout,
			}
		})
	}
}
