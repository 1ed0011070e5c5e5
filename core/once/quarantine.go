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
	// maxSuspects bounds the stored fingerprints. It covers a few crashes of an upstream with
	// all of its slots in use, at each node.
	maxSuspects = 4096
)

// Limits are the numbers of upstream crashes counted against a request from which it is
// restricted.
type Limits struct {
	// Suspect is the number from which the request runs only while no other suspect runs.
	Suspect int
	// Ban is the number from which the request is refused.
	Ban int
}

// Status tells how a request is restricted.
type Status uint8

// Statuses, from the least restricted.
const (
	// StatusClear means that no crash is counted against the request.
	StatusClear Status = iota
	// StatusWatched means that the request was in flight when an upstream crashed. It runs
	// like any other.
	StatusWatched
	// StatusSuspect means that the request was in flight at several crashes. It runs only
	// while no other suspect does.
	StatusSuspect
	// StatusBanned means that the request is refused.
	StatusBanned
)

// Quarantine stores the fingerprints of requests that were in flight when upstreams crashed. Its
// entries spread to all nodes. An entry is a set of crash IDs and a set of those that were cleared
// again, so that entries can be merged in any order.
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
	expiry  time.Duration
	running bool
	// version is the quarantine's version at the last change of this entry.
	version uint64
}

func newSuspect() *suspect {
	return &suspect{crashes: map[uint64]bool{}, cleared: map[uint64]bool{}, proofs: map[uint64]bool{}}
}

// unclearedCount returns the number of crashes in a set that are not cleared.
func (s *suspect) unclearedCount(crashes map[uint64]bool) int {
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

// Status returns the status of a fingerprint.
func (q *Quarantine) Status(fingerprint uint64) Status {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.statusLocked(q.lookup(fingerprint))
}

func (q *Quarantine) statusLocked(s *suspect) Status {
	switch {
	case s == nil || s.unclearedCount(s.crashes) == 0:
		return StatusClear
	case s.unclearedCount(s.crashes) >= q.limits.Ban || s.unclearedCount(s.proofs) > 0:
		return StatusBanned
	case s.unclearedCount(s.crashes) >= q.limits.Suspect:
		return StatusSuspect
	default:
		return StatusWatched
	}
}

// Acquire lets a suspect run if no other suspect runs at this node. If two ran at once, a crash
// would not tell which of them caused it.
func (q *Quarantine) Acquire(fingerprint uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, s := range q.entries {
		if s.running {
			return false
		}
	}
	s := q.lookup(fingerprint)
	if s != nil {
		s.running = true
	}
	return true
}

// Release ends the execution of a suspect.
func (q *Quarantine) Release(fingerprint uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if s := q.entries[fingerprint]; s != nil {
		s.running = false
	}
}

// RecordCompletion records that an upstream completed a request, and clears its crashes: the
// request did not cause the crashes of the upstreams at which it was in flight.
func (q *Quarantine) RecordCompletion(fingerprint uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.lookup(fingerprint)
	if s == nil || s.unclearedCount(s.crashes) == 0 {
		return
	}
	for id := range s.crashes {
		s.cleared[id] = true
	}
	q.markChanged(s)
}

// RecordRefusal records that a banned request was repeated. A request with proof against it stays
// banned for as long as it is repeated.
func (q *Quarantine) RecordRefusal(fingerprint uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.lookup(fingerprint)
	if s == nil || s.unclearedCount(s.proofs) == 0 || s.expiry-q.clock.Now() > QuarantineTTL/2 {
		return
	}
	s.expiry = q.clock.Now() + QuarantineTTL
	q.markChanged(s)
}

// RecordCrash counts a crash against the requests that were in flight. If one of them is a running
// suspect, the crash counts only against that one, and the others are taken to be uninvolved.
func (q *Quarantine) RecordCrash(crash uint64, fingerprints []uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, f := range fingerprints {
		if s := q.lookup(f); s != nil && s.running {
			s.proofs[crash] = true
			q.addCrash(crash, f)
			return
		}
	}
	for _, f := range fingerprints {
		q.addCrash(crash, f)
	}
}

func (q *Quarantine) addCrash(crash, fingerprint uint64) {
	s := q.lookupOrCreate(fingerprint)
	s.crashes[crash] = true
	s.running = false
	s.expiry = q.clock.Now() + QuarantineTTL
	q.markChanged(s)
}

func (q *Quarantine) markChanged(s *suspect) {
	q.version++
	s.version = q.version
}

func (q *Quarantine) lookupOrCreate(fingerprint uint64) *suspect {
	s := q.lookup(fingerprint)
	if s == nil {
		if len(q.entries) >= maxSuspects {
			q.evict()
		}
		s = newSuspect()
		q.entries[fingerprint] = s
	}
	return s
}

// evict deletes a quarter of the entries: expired ones first, then those with the lowest status,
// and among equals those that expire first.
func (q *Quarantine) evict() {
	now := q.clock.Now()
	weights := map[uint64]int{}
	for f, s := range q.entries {
		if s.expiry > now {
			weights[f] = 1 + int(q.statusLocked(s))
		}
	}
	list := slices.SortedFunc(maps.Keys(q.entries), func(a, b uint64) int {
		return cmp.Or(cmp.Compare(weights[a], weights[b]), cmp.Compare(q.entries[a].expiry, q.entries[b].expiry), cmp.Compare(a, b))
	})
	for _, f := range list[:len(list)/4] {
		delete(q.entries, f)
	}
}

// lookup returns the entry of a fingerprint, nil if there is none or it has expired.
func (q *Quarantine) lookup(fingerprint uint64) *suspect {
	s := q.entries[fingerprint]
	if s != nil && q.clock.Now() >= s.expiry {
		delete(q.entries, fingerprint)
		return nil
	}
	return s
}

// Counts returns the number of watched and suspect requests, and the number of banned ones.
func (q *Quarantine) Counts() (suspects, banned int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	for _, s := range q.entries {
		switch {
		case s.expiry <= now || q.statusLocked(s) == StatusClear:
		case q.statusLocked(s) == StatusBanned:
			banned++
		default:
			suspects++
		}
	}
	return suspects, banned
}

// Export returns the entries that have changed since a version, 0 for all, and the current
// version.
func (q *Quarantine) Export(since uint64) ([]*wire.Quarantine, uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	var all []*wire.Quarantine
	now := q.clock.Now()
	for _, f := range slices.Sorted(maps.Keys(q.entries)) {
		s := q.entries[f]
		if s.expiry <= now || s.version <= since {
			continue
		}
		all = append(all, &wire.Quarantine{
			Fingerprint: f,
			RemainingMs: (s.expiry - now).Milliseconds(),
			Crashes:     slices.Sorted(maps.Keys(s.crashes)),
			Cleared:     slices.Sorted(maps.Keys(s.cleared)),
			Proofs:      slices.Sorted(maps.Keys(s.proofs)),
		})
	}
	return all, q.version
}

// Banned returns the fingerprints of the banned requests.
func (q *Quarantine) Banned() []uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	var banned []uint64
	for _, f := range slices.Sorted(maps.Keys(q.entries)) {
		if s := q.lookup(f); q.statusLocked(s) == StatusBanned {
			banned = append(banned, f)
		}
	}
	return banned
}

// minExtension is the least extension of an entry's expiry that is accepted from another node.
// A smaller one would only reflect the transmission delay between the nodes.
const minExtension = QuarantineTTL / 8

// Merge adds entries of another node. It reports whether one of them changed an entry here.
func (q *Quarantine) Merge(entries []*wire.Quarantine) (changed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, e := range entries {
		if e.GetRemainingMs() <= 0 {
			continue
		}
		s := q.lookupOrCreate(e.GetFingerprint())
		added := addAll(s.crashes, e.GetCrashes()) + addAll(s.cleared, e.GetCleared()) + addAll(s.proofs, e.GetProofs())
		expiry := q.clock.Now() + min(time.Duration(e.GetRemainingMs())*time.Millisecond, QuarantineTTL)
		if s.expiry == 0 || expiry > s.expiry+minExtension {
			s.expiry = expiry
			added++
		}
		if added > 0 {
			q.markChanged(s)
			changed = true
		}
	}
	return changed
}

// addAll adds ids to a set and returns how many were new.
func addAll(set map[uint64]bool, ids []uint64) int {
	before := len(set)
	for _, id := range ids {
		set[id] = true
	}
	return len(set) - before
}
