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

// maxStoredEntries bounds the entries in the object store, of some 100 bytes each.
const maxStoredEntries = 512

// ErrMalformedEntries means that a stored quarantine document cannot be decoded.
var ErrMalformedEntries = errors.New("stored quarantine entries are malformed")

// StoredEntry is a quarantine entry as the object store holds it. It survives the loss of all
// nodes.
type StoredEntry struct {
	Fingerprint uint64 `json:"fingerprint,string"`
	// UntilUnixMs is the wall-clock time at which the entry expires.
	UntilUnixMs int64    `json:"untilUnixMs"`
	Crashes     []uint64 `json:"crashes"`
	Proofs      []uint64 `json:"proofs,omitempty"`
}

// Snapshot returns the entries to be stored. If there are too many, those with the lowest status
// are left out. wall is the current wall-clock time.
func (q *Quarantine) Snapshot(wall time.Time) []StoredEntry {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	statuses := map[uint64]Status{}
	for f, s := range q.entries {
		if status := q.statusLocked(s); s.expiry > now && status != StatusClear {
			statuses[f] = status
		}
	}
	list := slices.SortedFunc(maps.Keys(statuses), func(a, b uint64) int {
		return cmp.Or(cmp.Compare(statuses[b], statuses[a]), cmp.Compare(a, b))
	})
	entries := make([]StoredEntry, 0, min(len(list), maxStoredEntries))
	for _, f := range list[:min(len(list), maxStoredEntries)] {
		s := q.entries[f]
		entries = append(entries, StoredEntry{
			Fingerprint: f,
			UntilUnixMs: wall.Add(s.expiry - now).UnixMilli(),
			Crashes:     s.unclearedIDs(s.crashes),
			Proofs:      s.unclearedIDs(s.proofs),
		})
	}
	return entries
}

// unclearedIDs returns the crashes of a set that are not cleared.
func (s *suspect) unclearedIDs(crashes map[uint64]bool) []uint64 {
	var ids []uint64
	for _, id := range slices.Sorted(maps.Keys(crashes)) {
		if !s.cleared[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

// IsUpToDate reports whether the stored entries need not be written again: they lack no crash,
// their bans last long enough, and none of their bans was lifted.
func (q *Quarantine) IsUpToDate(stored []StoredEntry, wall time.Time) bool {
	byFingerprint := map[uint64]StoredEntry{}
	for _, h := range stored {
		byFingerprint[h.Fingerprint] = h
	}
	for _, k := range q.Snapshot(wall) {
		h, ok := byFingerprint[k.Fingerprint]
		expiresTooEarly := q.isBan(k) && h.UntilUnixMs < k.UntilUnixMs-(QuarantineTTL/2).Milliseconds()
		if !ok || expiresTooEarly || len(difference(k.Crashes, h.Crashes))+len(difference(k.Proofs, h.Proofs)) > 0 {
			return false
		}
	}
	for _, h := range stored {
		if q.isBan(h) && h.UntilUnixMs > wall.UnixMilli() && q.Status(h.Fingerprint) != StatusBanned {
			return false
		}
	}
	return true
}

func (q *Quarantine) isBan(k StoredEntry) bool {
	return len(k.Proofs) > 0 || len(k.Crashes) >= q.limits.Ban
}

// difference returns the ids that are not among others.
func difference(ids, others []uint64) []uint64 {
	return slices.DeleteFunc(slices.Clone(ids), func(id uint64) bool { return slices.Contains(others, id) })
}

// Restore adds stored entries. It reports whether one of them changed an entry here.
func (q *Quarantine) Restore(stored []StoredEntry, wall time.Time) (changed bool) {
	entries := make([]*wire.Quarantine, 0, len(stored))
	for _, h := range stored {
		entries = append(entries, &wire.Quarantine{
			Fingerprint: h.Fingerprint,
			RemainingMs: h.UntilUnixMs - wall.UnixMilli(),
			Crashes:     h.Crashes,
			Proofs:      h.Proofs,
		})
	}
	return q.Merge(entries)
}

// EncodeEntries encodes entries for the object store.
func EncodeEntries(list []StoredEntry) ([]byte, error) {
	value, err := json.Marshal(list)
	return value, errors.Wrap(err, "quarantine")
}

// DecodeEntries decodes what EncodeEntries wrote.
func DecodeEntries(value []byte) ([]StoredEntry, error) {
	var list []StoredEntry
	if err := json.Unmarshal(value, &list); err != nil {
		return nil, errors.Wrap(ErrMalformedEntries, err.Error())
	}
	return list, nil
}
