// Package evac keeps which failure domains operators have evacuated, as far as a node knows from the platform's
// object store and from other nodes.
//
// Within an era of the store, the set that was read at the highest revision wins. When the store has come back from
// a copy, it may lack evacuations that it had acknowledged, until the operators write them again. Such a lost
// evacuation stays in force until the store has held it once in the new era, so that a later removal counts, or
// until HoldTime has passed. Nodes pass lost evacuations on: one that starts after the return cannot know of them.
//
// # Usage
//
//	s := evac.NewSet(clock)
//	changed := s.List(revision, domains)                 // all evacuations in the store
//	changed := s.Apply(revision, changes)                // what changed up to a revision
//	changed, err := s.Merge(message)                     // those that another node knows
//	message := s.Export()
//	changed := s.Expire()
//	if s.Contains(domain) { ... }
package evac

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"wagtailyoke/core/era"
	"wagtailyoke/core/timer"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// HoldTime is how long an evacuation that the store has lost stays in force if the operators do not write it again.
const HoldTime = time.Minute

// ErrNoEra means that another node's evacuations name no era, so that they cannot be ordered.
var ErrNoEra = errors.New("evacuations name no era of the store")

// Change is a change of a failure domain's evacuation in the store.
type Change struct {
	Domain      world.DomainID
	IsEvacuated bool
}

type domainSet map[world.DomainID]bool

// Set is the set of evacuated failure domains.
type Set struct {
	clock timer.Service

	mu sync.Mutex
	// listed are the domains that the store holds as evacuated, as of the revision.
	revision era.Revision
	listed   domainSet
	// confirmed are the domains that the store has held as evacuated in the present era, and those whose
	// HoldTime has passed. For them the store alone decides.
	confirmed domainSet
	lost      lostSet
	// evacuated are the listed and the lost domains. version counts their changes.
	evacuated domainSet
	version   uint64
}

// lostSet are evacuations of an earlier era that the store has not confirmed yet.
type lostSet struct {
	// revision is the one at which they were last known. The set with the highest one wins.
	revision era.Revision
	domains  domainSet
	until    time.Duration
}

// NewSet returns an empty set.
func NewSet(clock timer.Service) *Set {
	return &Set{clock: clock, listed: domainSet{}, confirmed: domainSet{}, evacuated: domainSet{}}
}

// Contains reports whether a failure domain is evacuated.
func (s *Set) Contains(domain world.DomainID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuated[domain]
}

// Domains returns the evacuated failure domains, sorted. lost are those of them that the store does not hold.
func (s *Set) Domains() (domains, lost []world.DomainID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.evacuated)), slices.Sorted(maps.Keys(s.lost.domains))
}

// Revision returns the revision of the store up to which its evacuations are known.
func (s *Set) Revision() era.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Version rises whenever a failure domain is evacuated or taken back.
func (s *Set) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// List records all domains that the store holds as evacuated at a revision. It reports whether the evacuated
// domains have changed.
func (s *Set) List(revision era.Revision, domains []world.DomainID) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.revision.IsAfter(revision) {
		return false
	}
	s.enterLocked(revision.Era)
	s.setListedLocked(revision, domains)
	return s.refreshLocked()
}

// Apply records changes in the store up to a revision of the present era. It reports whether the evacuated domains
// have changed.
func (s *Set) Apply(revision era.Revision, changes []Change) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision.Era != s.revision.Era || !revision.IsAfter(s.revision) {
		return false
	}
	next := maps.Clone(s.listed)
	for _, c := range changes {
		// A domain that was taken back has been in the store before.
		s.confirmLocked(c.Domain)
		if c.IsEvacuated {
			next[c.Domain] = true
		} else {
			delete(next, c.Domain)
		}
	}
	s.setListedLocked(revision, slices.Collect(maps.Keys(next)))
	return s.refreshLocked()
}

// Merge adds what another node knows. It reports whether the evacuated domains have changed, and fails with
// ErrNoEra if only the other node's message lacks an era.
func (s *Set) Merge(w *wire.Evacuations) (changed bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision := era.Revision{Era: era.Era(w.GetEra()), Number: w.GetRevision()}
	switch {
	case revision.Era == 0 && s.revision.Era != 0:
		return false, ErrNoEra
	case revision.Era < s.revision.Era:
		return false, nil
	}
	s.enterLocked(revision.Era)
	s.mergeLostLocked(w.GetLost())
	for _, domain := range w.GetConfirmed() {
		s.confirmLocked(world.DomainID(domain))
	}
	if revision.IsAfter(s.revision) {
		var listed []world.DomainID
		for _, domain := range w.GetDomains() {
			if !slices.Contains(w.GetLost().GetDomains(), domain) {
				listed = append(listed, world.DomainID(domain))
			}
		}
		s.setListedLocked(revision, listed)
	}
	return s.refreshLocked(), nil
}

func (s *Set) mergeLostLocked(w *wire.LostEvacuations) {
	revision := era.Revision{Era: era.Era(w.GetEra()), Number: w.GetRevision()}
	if !revision.IsAfter(s.lost.revision) {
		return
	}
	remaining := min(time.Duration(w.GetRemainingMs())*time.Millisecond, HoldTime)
	s.lost = lostSet{revision: revision, domains: domainSet{}, until: s.clock.Now() + remaining}
	for _, domain := range w.GetDomains() {
		if !s.confirmed[world.DomainID(domain)] {
			s.lost.domains[world.DomainID(domain)] = true
		}
	}
}

// Export returns the message for other nodes, nil if nothing is known yet. Older builds read the revision and the
// domains alone.
func (s *Set) Export() *wire.Evacuations {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.revision == (era.Revision{}) {
		return nil
	}
	w := &wire.Evacuations{
		Revision: s.revision.Number, Era: uint64(s.revision.Era),
		Domains: s.evacuated.names(), Confirmed: s.confirmed.names(),
	}
	if s.lost.revision != (era.Revision{}) {
		w.Lost = &wire.LostEvacuations{
			Era: uint64(s.lost.revision.Era), Revision: s.lost.revision.Number,
			Domains: s.lost.domains.names(), RemainingMs: max(s.lost.until-s.clock.Now(), 0).Milliseconds(),
		}
	}
	return w
}

// Expire ends the lost evacuations whose HoldTime has passed. It reports whether there were any.
func (s *Set) Expire() (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.lost.domains) == 0 || s.clock.Now() < s.lost.until {
		return false
	}
	for _, domain := range slices.Collect(maps.Keys(s.lost.domains)) {
		s.confirmLocked(domain)
	}
	return s.refreshLocked()
}

// enterLocked begins a new era. All evacuations that were in force may be lost.
func (s *Set) enterLocked(e era.Era) {
	if e <= s.revision.Era {
		return
	}
	// Evacuations without an era come from older builds and may be of any.
	if s.revision.Era != 0 {
		s.lost = lostSet{revision: s.revision, domains: maps.Clone(s.evacuated), until: s.clock.Now() + HoldTime}
	}
	s.revision, s.listed, s.confirmed = era.Revision{Era: e}, domainSet{}, domainSet{}
}

func (s *Set) setListedLocked(revision era.Revision, domains []world.DomainID) {
	s.revision, s.listed = revision, domainSet{}
	for _, domain := range domains {
		s.listed[domain] = true
		s.confirmLocked(domain)
	}
}

func (s *Set) confirmLocked(domain world.DomainID) {
	s.confirmed[domain] = true
	delete(s.lost.domains, domain)
}

// refreshLocked computes the evacuated domains. It reports whether they have changed.
func (s *Set) refreshLocked() (changed bool) {
	next := maps.Clone(s.listed)
	maps.Copy(next, s.lost.domains)
	if maps.Equal(next, s.evacuated) {
		return false
	}
	s.evacuated = next
	s.version++
	return true
}

func (d domainSet) names() []string {
	var names []string
	for _, domain := range slices.Sorted(maps.Keys(d)) {
		names = append(names, string(domain))
	}
	return names
}
