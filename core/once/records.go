// Package once makes sure that a non-idempotent call runs at most once, and that
// a request which crashes upstreams is stopped.
//
// The leader of a key's home failure domain keeps one record per customer, route
// and key. The record is made before the call runs and keeps its answer, so that
// a resend receives the first answer once there is one.
//
// # Usage
//
//	r := once.NewRecords(clock, once.Term{Epoch: 3, FreshAfter: ...}, window)
//	reply := r.Begin(request)
//	r.Finish(request)
//
// A new leader that had no handover does not know its predecessor's records. It
// runs only keys that were issued after its term began, and answers all others
// with VERDICT_MAYBE_RAN until the record window has passed.
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

// MaxClockSkew is the largest difference between wall clocks that is tolerated.
const MaxClockSkew = 2 * time.Second

// Term describes the term that the records belong to.
type Term struct {
	Domain world.DomainID
	Epoch  world.Epoch
	// FreshAfter is the wall-clock time after which an issued key cannot be known
	// to an earlier term. It is the zero time if no record was ever lost.
	FreshAfter time.Time
	// UnsettledUntil is the instant at which lost records have left the window.
	UnsettledUntil time.Duration
}

// Records keeps the idempotency records of one term. Its entries lie in shards.
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
	made       time.Duration
	// deadline is when an unfinished call is given up.
	deadline time.Duration
}

// NewRecords returns the records of a term.
func NewRecords(clock timer.Service, term Term, window time.Duration) *Records {
	return &Records{clock: clock, term: term, window: window, shards: shard.New[recordID, *record]()}
}

func idOf(k *wire.RecordKey) recordID {
	return recordID(k.GetCustomer() + "\x00" + k.GetRoute() + "\x00" + k.GetKey())
}

// Begin decides whether a call may run, and makes its record if so.
func (r *Records) Begin(req *wire.BeginRequest) *wire.BeginReply {
	var reply *wire.BeginReply
	id := idOf(req.GetKey())
	r.shards.With(id, func(entries map[recordID]*record) {
		existing := entries[id]
		if existing != nil && r.clock.Now()-existing.made < r.window {
			reply = r.join(existing, req)
			return
		}
		verdict := r.judgeUnseen(req.GetKey().GetKey())
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
		made:       now,
		deadline:   now + time.Duration(req.GetRemainingMs())*time.Millisecond,
	}
}

func (r *Records) reply(v wire.Verdict, a *wire.Answer) *wire.BeginReply {
	return &wire.BeginReply{Verdict: v, Epoch: uint64(r.term.Epoch), Domain: string(r.term.Domain), Answer: a}
}

// join answers a resend.
func (r *Records) join(existing *record, req *wire.BeginRequest) *wire.BeginReply {
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

// judgeUnseen decides about a key without a record.
func (r *Records) judgeUnseen(key string) wire.Verdict {
	issued, isTimed := issueTime(key)
	wall := r.clock.Wall()
	if !isTimed {
		if r.clock.Now() < r.term.UnsettledUntil {
			return wire.Verdict_VERDICT_MAYBE_RAN
		}
		return wire.Verdict_VERDICT_RUN
	}
	switch {
	case issued.After(wall.Add(MaxClockSkew)):
		return wire.Verdict_VERDICT_KEY_INVALID
	case issued.Before(wall.Add(MaxClockSkew - r.window)):
		// The record of so old a key may have left the window.
		return wire.Verdict_VERDICT_MAYBE_RAN
	case !issued.After(r.term.FreshAfter):
		return wire.Verdict_VERDICT_MAYBE_RAN
	default:
		return wire.Verdict_VERDICT_RUN
	}
}

// issueTime returns the time in a UUIDv7.
func issueTime(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	ms := int64(id[0])<<40 | int64(id[1])<<32 | int64(id[2])<<24 | int64(id[3])<<16 | int64(id[4])<<8 | int64(id[5])
	return time.UnixMilli(ms), true
}

// Finish stores the answer of a call, or forgets the record of a call that did not run.
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
			// Another attempt that owns the record may be running.
			delete(entries, id)
		}
	})
}

// Sweep drops records that have left the window.
func (r *Records) Sweep() {
	now := r.clock.Now()
	r.shards.Each(func(entries map[recordID]*record) {
		for id, e := range entries {
			if now-e.made >= r.window && now >= e.deadline {
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

// Save adds all records to a handover. Unfinished ones are handed over without
// an answer; the next leader answers their resends once they finish there.
func (r *Records) Save(h *wire.HandoverRequest) {
	now := r.clock.Now()
	r.shards.Each(func(entries map[recordID]*record) {
		for _, e := range entries {
			h.Records = append(h.Records, &wire.RecordState{
				Key: e.key, BodyDigest: e.bodyDigest, Owner: e.owner, Answer: e.answer, AgeMs: (now - e.made).Milliseconds(),
			})
		}
	})
	sort.Slice(h.Records, func(i, j int) bool { return idOf(h.Records[i].Key) < idOf(h.Records[j].Key) })
	if !r.term.FreshAfter.IsZero() {
		h.FreshAfterUnixMs = r.term.FreshAfter.UnixMilli()
	}
	h.UnsettledMs = max(0, (r.term.UnsettledUntil - now).Milliseconds())
}

// Load takes in the records of a handover.
func (r *Records) Load(h *wire.HandoverRequest, unfinishedFor time.Duration) {
	now := r.clock.Now()
	for _, s := range h.GetRecords() {
		id := idOf(s.GetKey())
		r.shards.With(id, func(entries map[recordID]*record) {
			entries[id] = &record{
				key:        s.GetKey(),
				bodyDigest: s.GetBodyDigest(),
				owner:      s.GetOwner(),
				answer:     s.GetAnswer(),
				made:       now - time.Duration(s.GetAgeMs())*time.Millisecond,
				deadline:   now + unfinishedFor,
			}
		})
	}
}
