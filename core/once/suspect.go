package once

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"wagtailyoke/core/timer"
	"wagtailyoke/core/wire"
)

// Tuning of the quarantine.
const (
	// QuarantineTTL is how long a fingerprint stays a suspect or banned.
	QuarantineTTL = 5 * time.Minute
	// mostSuspects bounds the fingerprints that are kept: a few ends of an upstream with
	// all of its slots in use, at each node.
	mostSuspects = 4096
)

// Limits say at how many ends of upstreams a request may have been in flight before it is
// held back.
type Limits struct {
	// Suspect is the number from which the request runs only while no other one held back
	// so does.
	Suspect int
	// Ban is the number from which it does not run.
	Ban int
}

// Status is what the quarantine says of a request.
type Status uint8

// Standings.
const (
	// StatusClear means that nothing is known against the request.
	StatusClear Status = iota
	// StatusWatched means that the request was in flight when an upstream died. It runs
	// like any other.
	StatusWatched
	// StatusSuspect means that it was so more often: it runs only while no other
	// suspect does.
	StatusSuspect
	// StatusBanned means that it is refused.
	StatusBanned
)

// Quarantine keeps the fingerprints of requests that were in flight when
// upstreams died. Its entries spread to all nodes. An entry is a set of crash ids and a set
// of those cleared again, so that entries merge in any order.
type Quarantine struct {
	clock  timer.Service
	limits Limits

	mu      sync.Mutex
	entries map[uint64]*suspect
	version uint64
}

type suspect struct {
	crashes map[uint64]bool
	cleared map[uint64]bool
	// proofs are the crashes at which this request ran as the only suspect.
	proofs  map[uint64]bool
	until   time.Duration
	running bool
	// version is the quarantine's at the last change.
	version uint64
}

func newSuspect() *suspect {
	return &suspect{crashes: map[uint64]bool{}, cleared: map[uint64]bool{}, proofs: map[uint64]bool{}}
}

// count returns the number of crashes in a set that are not cleared.
func (s *suspect) count(crashes map[uint64]bool) int {
	n := 0
	for id := range crashes {
		if !s.cleared[id] {
			n++
		}
	}
	return n
}

// NewQuarantine returns an empty quarantine.
func NewQuarantine(clock timer.Service, limits Limits) *Quarantine {
	return &Quarantine{clock: clock, limits: limits, entries: map[uint64]*suspect{}}
}

// Status returns what is known of a fingerprint.
func (q *Quarantine) Status(fingerprint uint64) Status {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.standingLocked(q.live(fingerprint))
}

func (q *Quarantine) standingLocked(s *suspect) Status {
	switch {
	case s == nil || s.count(s.crashes) == 0:
		return StatusClear
	case s.count(s.crashes) >= q.limits.Ban || s.count(s.proofs) > 0:
		return StatusBanned
	case s.count(s.crashes) >= q.limits.Suspect:
		return StatusSuspect
	default:
		return StatusWatched
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

// Release ends the run of a suspect.
func (q *Quarantine) Release(fingerprint uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if s := q.entries[fingerprint]; s != nil {
		s.running = false
	}
}

// RecordCompletion takes in that an upstream has run a request to a good end: the request did not
// end the upstreams that it was in flight at.
func (q *Quarantine) RecordCompletion(fingerprint uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.live(fingerprint)
	if s == nil || s.count(s.crashes) == 0 {
		return
	}
	for id := range s.crashes {
		s.cleared[id] = true
	}
	q.changed(s)
}

// RecordRefusal notes that a banned request has come again. It stays banned for as long as it
// comes, if there is proof against it.
func (q *Quarantine) RecordRefusal(fingerprint uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.live(fingerprint)
	if s == nil || s.count(s.proofs) == 0 || s.until-q.clock.Now() > QuarantineTTL/2 {
		return
	}
	s.until = q.clock.Now() + QuarantineTTL
	q.changed(s)
}

// RecordCrash counts a crash against the requests that were in flight. While a
// suspect runs, only it is counted: the others are bystanders.
func (q *Quarantine) RecordCrash(crash uint64, fingerprints []uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, f := range fingerprints {
		if s := q.live(f); s != nil && s.running {
			s.proofs[crash] = true
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
	s.until = q.clock.Now() + QuarantineTTL
	q.changed(s)
}

func (q *Quarantine) changed(s *suspect) {
	q.version++
	s.version = q.version
}

func (q *Quarantine) entry(fingerprint uint64) *suspect {
	s := q.live(fingerprint)
	if s == nil {
		if len(q.entries) >= mostSuspects {
			q.dropLeast()
		}
		s = newSuspect()
		q.entries[fingerprint] = s
	}
	return s
}

// dropLeast forgets the quarter of the entries with the least against them, those that end
// first among such.
func (q *Quarantine) dropLeast() {
	now := q.clock.Now()
	weights := map[uint64]int{}
	for f, s := range q.entries {
		if s.until > now {
			weights[f] = 1 + int(q.standingLocked(s))
		}
	}
	list := slices.SortedFunc(maps.Keys(q.entries), func(a, b uint64) int {
		return cmp.Or(cmp.Compare(weights[a], weights[b]), cmp.Compare(q.entries[a].until, q.entries[b].until), cmp.Compare(a, b))
	})
	for _, f := range list[:len(list)/4] {
		delete(q.entries, f)
	}
}

func (q *Quarantine) live(fingerprint uint64) *suspect {
	s := q.entries[fingerprint]
	if s != nil && q.clock.Now() >= s.until {
		delete(q.entries, fingerprint)
		return nil
	}
	return s
}

// Counts returns how many requests are watched or suspects, and how many are banned.
func (q *Quarantine) Counts() (suspects, banned int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	for _, s := range q.entries {
		switch {
		case s.until <= now || q.standingLocked(s) == StatusClear:
		case q.standingLocked(s) == StatusBanned:
			banned++
		default:
			suspects++
		}
	}
	return suspects, banned
}

// Export returns the entries that have changed since a version, 0 for all, and the
// version that they lead to.
func (q *Quarantine) Export(since uint64) ([]*wire.Quarantine, uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	var all []*wire.Quarantine
	now := q.clock.Now()
	for _, f := range slices.Sorted(maps.Keys(q.entries)) {
		s := q.entries[f]
		if s.until <= now || s.version <= since {
			continue
		}
		all = append(all, &wire.Quarantine{
			Fingerprint: f,
			RemainingMs: (s.until - now).Milliseconds(),
			Crashes:     slices.Sorted(maps.Keys(s.crashes)),
			Cleared:     slices.Sorted(maps.Keys(s.cleared)),
			Proofs:      slices.Sorted(maps.Keys(s.proofs)),
		})
	}
	return all, q.version
}

// Banned returns the fingerprints of the requests that are refused.
func (q *Quarantine) Banned() []uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	var banned []uint64
	for _, f := range slices.Sorted(maps.Keys(q.entries)) {
		if s := q.live(f); q.standingLocked(s) == StatusBanned {
			banned = append(banned, f)
		}
	}
	return banned
}

// renewal is how much longer an entry of another node must last for its end to be taken
// over: less would be the way between the nodes.
const renewal = QuarantineTTL / 8

// Merge takes in entries of another node. It reports whether one of them was news.
func (q *Quarantine) Merge(entries []*wire.Quarantine) (isNews bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, e := range entries {
		if e.GetRemainingMs() <= 0 {
			continue
		}
		s := q.entry(e.GetFingerprint())
		added := union(s.crashes, e.GetCrashes()) + union(s.cleared, e.GetCleared()) + union(s.proofs, e.GetProofs())
		until := q.clock.Now() + min(time.Duration(e.GetRemainingMs())*time.Millisecond, QuarantineTTL)
		if s.until == 0 || until > s.until+renewal {
			s.until = until
			added++
		}
		if added > 0 {
			q.changed(s)
			isNews = true
		}
	}
	return isNews
}

func union(set map[uint64]bool, ids []uint64) int {
	before := len(set)
	for _, id := range ids {
		set[id] = true
	}
	return len(set) - before
}
