package once

import (
	"sort"
	"sync"
	"time"

	"wagtailyoke/core/timer"
	"wagtailyoke/core/wire"
)

// Tuning of the quarantine.
const (
	// crashesToBan is the number of upstreams lost with a request in flight after
	// which it is not run again.
	crashesToBan = 2
	// QuarantineTime is how long a fingerprint stays a suspect or banned.
	QuarantineTime = 5 * time.Minute
)

// Standing is what the quarantine says of a request.
type Standing uint8

// Standings.
const (
	// StandingClear means that nothing is known against the request.
	StandingClear Standing = iota
	// StandingSuspect means that it was in flight when an upstream died: it runs
	// only while no other suspect does.
	StandingSuspect
	// StandingBanned means that it is refused.
	StandingBanned
)

// Quarantine keeps the fingerprints of requests that were in flight when
// upstreams died. Its entries spread to all nodes with the heartbeats. An entry
// is a set of crash ids and a set of those cleared again, so that entries merge in
// any order.
type Quarantine struct {
	clock timer.Service

	mu      sync.Mutex
	entries map[uint64]*suspect
	version uint64
}

type suspect struct {
	crashes map[uint64]bool
	cleared map[uint64]bool
	until   time.Duration
	running bool
}

func newSuspect() *suspect {
	return &suspect{crashes: map[uint64]bool{}, cleared: map[uint64]bool{}}
}

func (s *suspect) count() int {
	n := 0
	for id := range s.crashes {
		if !s.cleared[id] {
			n++
		}
	}
	return n
}

// NewQuarantine returns an empty quarantine.
func NewQuarantine(clock timer.Service) *Quarantine {
	return &Quarantine{clock: clock, entries: map[uint64]*suspect{}}
}

// Standing returns what is known of a fingerprint.
func (q *Quarantine) Standing(fingerprint uint64) Standing {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.live(fingerprint)
	switch {
	case s == nil || s.count() == 0:
		return StandingClear
	case s.count() >= crashesToBan:
		return StandingBanned
	default:
		return StandingSuspect
	}
}

// Acquire lets a suspect run if no other suspect runs here. Two at once would
// leave open which one crashed the upstream.
func (q *Quarantine) Acquire(fingerprint uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, s := range q.entries {
		if s.running {
			return false
		}
	}
	s := q.live(fingerprint)
	if s != nil {
		s.running = true
	}
	return true
}

// Release ends the run of a suspect. One that completed is cleared: it did not
// crash its upstream.
func (q *Quarantine) Release(fingerprint uint64, completed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.entries[fingerprint]
	if s == nil {
		return
	}
	s.running = false
	if !completed || s.count() >= crashesToBan {
		return
	}
	for id := range s.crashes {
		s.cleared[id] = true
	}
	q.version++
}

// Crashed counts a crash against the requests that were in flight. While a
// suspect runs, only it is counted: the others are bystanders.
func (q *Quarantine) Crashed(crash uint64, fingerprints []uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.version++
	for _, f := range fingerprints {
		if s := q.live(f); s != nil && s.running {
			q.count(crash, f)
			return
		}
	}
	for _, f := range fingerprints {
		q.count(crash, f)
	}
}

func (q *Quarantine) count(crash, fingerprint uint64) {
	s := q.entry(fingerprint)
	s.crashes[crash] = true
	s.running = false
	s.until = q.clock.Now() + QuarantineTime
}

func (q *Quarantine) entry(fingerprint uint64) *suspect {
	s := q.live(fingerprint)
	if s == nil {
		s = newSuspect()
		q.entries[fingerprint] = s
	}
	return s
}

func (q *Quarantine) live(fingerprint uint64) *suspect {
	s := q.entries[fingerprint]
	if s != nil && q.clock.Now() >= s.until {
		delete(q.entries, fingerprint)
		return nil
	}
	return s
}

// Version changes with each crash or clearance that was seen here or learnt of.
func (q *Quarantine) Version() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.version
}

// Export returns all entries.
func (q *Quarantine) Export() []*wire.Quarantine {
	q.mu.Lock()
	defer q.mu.Unlock()
	var all []*wire.Quarantine
	now := q.clock.Now()
	for f, s := range q.entries {
		if s.until <= now {
			continue
		}
		all = append(all, &wire.Quarantine{
			Fingerprint: f,
			RemainingMs: (s.until - now).Milliseconds(),
			Crashes:     sortedIDs(s.crashes),
			Cleared:     sortedIDs(s.cleared),
		})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Fingerprint < all[j].Fingerprint })
	return all
}

func sortedIDs(set map[uint64]bool) []uint64 {
	ids := make([]uint64, 0, len(set))
	for id := range set {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// Merge takes in entries of another node.
func (q *Quarantine) Merge(entries []*wire.Quarantine) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, e := range entries {
		if e.GetRemainingMs() <= 0 {
			continue
		}
		s := q.entry(e.GetFingerprint())
		added := union(s.crashes, e.GetCrashes()) + union(s.cleared, e.GetCleared())
		if added > 0 {
			q.version++
		}
		s.until = max(s.until, q.clock.Now()+time.Duration(e.GetRemainingMs())*time.Millisecond)
	}
}

func union(set map[uint64]bool, ids []uint64) int {
	before := len(set)
	for _, id := range ids {
		set[id] = true
	}
	return len(set) - before
}
