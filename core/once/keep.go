package once

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"wagtailyoke/core/wire"
)

// mostKept bounds the requests that the platform's store holds, some 100 bytes each.
const mostKept = 512

// ErrKept means that a document with requests that ended upstreams cannot be read.
var ErrKept = errors.New("document of the quarantine is malformed")

// StoredEntry is a request that ended upstreams as the platform's store holds it, which outlives all
// nodes.
type StoredEntry struct {
	Fingerprint uint64 `json:"fingerprint,string"`
	// UntilUnixMs is the wall clock at the end of the entry.
	UntilUnixMs int64    `json:"untilUnixMs"`
	Crashes     []uint64 `json:"crashes"`
	Proofs      []uint64 `json:"proofs,omitempty"`
}

// Snapshot returns what the store is to hold: the requests with most against them, if there are
// too many. wall is the time of day.
func (q *Quarantine) Snapshot(wall time.Time) []StoredEntry {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	standings := map[uint64]Status{}
	for f, s := range q.entries {
		if standing := q.standingLocked(s); s.until > now && standing != StatusClear {
			standings[f] = standing
		}
	}
	list := slices.SortedFunc(maps.Keys(standings), func(a, b uint64) int {
		return cmp.Or(cmp.Compare(standings[b], standings[a]), cmp.Compare(a, b))
	})
	kept := make([]StoredEntry, 0, min(len(list), mostKept))
	for _, f := range list[:min(len(list), mostKept)] {
		s := q.entries[f]
		kept = append(kept, StoredEntry{
			Fingerprint: f,
			UntilUnixMs: wall.Add(s.until - now).UnixMilli(),
			Crashes:     s.open(s.crashes),
			Proofs:      s.open(s.proofs),
		})
	}
	return kept
}

// open returns the crashes of a set that are not cleared.
func (s *suspect) open(crashes map[uint64]bool) []uint64 {
	var ids []uint64
	for _, id := range slices.Sorted(maps.Keys(crashes)) {
		if !s.cleared[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

// IsUpToDate reports whether the store, which holds some entries, need not be written: it lacks no
// crash, holds bans for long enough, and holds none that was lifted.
func (q *Quarantine) IsUpToDate(held []StoredEntry, wall time.Time) bool {
	byFingerprint := map[uint64]StoredEntry{}
	for _, h := range held {
		byFingerprint[h.Fingerprint] = h
	}
	for _, k := range q.Snapshot(wall) {
		h, ok := byFingerprint[k.Fingerprint]
		isLate := q.isBan(k) && h.UntilUnixMs < k.UntilUnixMs-(QuarantineTTL/2).Milliseconds()
		if !ok || isLate || len(without(k.Crashes, h.Crashes))+len(without(k.Proofs, h.Proofs)) > 0 {
			return false
		}
	}
	for _, h := range held {
		if q.isBan(h) && h.UntilUnixMs > wall.UnixMilli() && q.Status(h.Fingerprint) != StatusBanned {
			return false
		}
	}
	return true
}

func (q *Quarantine) isBan(k StoredEntry) bool {
	return len(k.Proofs) > 0 || len(k.Crashes) >= q.limits.Ban
}

func without(ids, others []uint64) []uint64 {
	return slices.DeleteFunc(slices.Clone(ids), func(id uint64) bool { return slices.Contains(others, id) })
}

// Restore takes in what the store holds. It reports whether something was news.
func (q *Quarantine) Restore(held []StoredEntry, wall time.Time) (isNews bool) {
	entries := make([]*wire.Quarantine, 0, len(held))
	for _, h := range held {
		entries = append(entries, &wire.Quarantine{
			Fingerprint: h.Fingerprint,
			RemainingMs: h.UntilUnixMs - wall.UnixMilli(),
			Crashes:     h.Crashes,
			Proofs:      h.Proofs,
		})
	}
	return q.Merge(entries)
}

// EncodeEntries writes entries for the store.
func EncodeEntries(list []StoredEntry) ([]byte, error) {
	value, err := json.Marshal(list)
	return value, errors.Wrap(err, "quarantine")
}

// DecodeEntries reads what EncodeKept wrote.
func DecodeEntries(value []byte) ([]StoredEntry, error) {
	var list []StoredEntry
	if err := json.Unmarshal(value, &list); err != nil {
		return nil, errors.Wrap(ErrKept, err.Error())
	}
	return list, nil
}
