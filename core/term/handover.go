package term

import (
	"time"

	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// A handover needs no platform, which may be down when a VM is replaced. The holder
// fences itself for good and passes its evidence of contact on, so that the
// successor's term goes on without a gap: at each moment a candidate would find what
// it would have found without the handover. The successor adds 1 to the epoch and
// writes the object when the platform answers.

// releasePoll is how often Release looks whether a renewal has ended.
const releasePoll = 10 * time.Millisecond

// PrepareHandover returns a stamp of this node's clock for a handover to it.
func (t *Term) PrepareHandover() *wire.PrepareReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	return &wire.PrepareReply{
		Willing:     !t.holding,
		Stamp:       int64(t.clock.Now()),
		Incarnation: t.self.Incarnation,
	}
}

// ReleaseForHandover fences this holder for good and fills the handover with its evidence, once
// no renewal is under way. done tells whether this node held a valid term.
func (t *Term) ReleaseForHandover(h *wire.HandoverRequest, done func(ok bool)) {
	t.mu.Lock()
	if !t.validLocked() {
		t.mu.Unlock()
		done(false)
		return
	}
	if t.busy && len(t.tentative) > 0 {
		t.leaving = true
		t.mu.Unlock()
		t.clock.After(releasePoll, func() { t.ReleaseForHandover(h, done) })
		return
	}
	t.released = true
	t.saveLocked(h)
	t.mu.Unlock()
	done(true)
}

// saveLocked writes the ages of all evidence.
func (t *Term) saveLocked(h *wire.HandoverRequest) {
	now := t.clock.Now()
	h.Domain = string(t.domain)
	h.Epoch = uint64(t.held)
	h.ConfirmedAgeUs = ageOf(now, t.confirmedAt)
	h.Members = listOf(t.members)
	seen := map[world.NodeID]bool{}
	for _, list := range append([][]Member{t.members}, t.tentative...) {
		for _, m := range list {
			if !seen[m.Node] {
				seen[m.Node] = true
				h.Contacts = append(h.Contacts, t.contactLocked(m, now))
			}
		}
	}
	for _, list := range t.tentative {
		h.Tentative = append(h.Tentative, listOf(list))
	}
}

func listOf(members []Member) *wire.MemberList {
	list := &wire.MemberList{}
	for _, m := range members {
		list.Nodes = append(list.Nodes, string(m.Node))
	}
	return list
}

func (t *Term) contactLocked(m Member, now time.Duration) *wire.MemberAge {
	at, ok := t.evidence[m.Node]
	if m.Node == t.self.Node {
		at, ok = now, true
	}
	return &wire.MemberAge{Node: string(m.Node), PeerAddress: string(m.Peer), AgeUs: ageOf(now, at), Heard: ok}
}

// ageOf rounds up, so that evidence never looks younger than it is.
func ageOf(now, at time.Duration) int64 { return (now - at).Microseconds() + 1 }

// AcceptHandover takes over a term that its holder has released. It reports whether this
// node now holds it.
func (t *Term) AcceptHandover(h *wire.HandoverRequest) bool {
	t.mu.Lock()
	epoch := world.Epoch(h.GetEpoch()) + 1
	if t.holding || h.GetIncarnation() != t.self.Incarnation || epoch <= max(t.record.Epoch, t.heardEpoch) {
		t.mu.Unlock()
		return false
	}
	// The holder sent its ages after this node gave the stamp.
	sent := time.Duration(h.GetStamp())
	t.winLocked(t.newRecord(epoch, nil), sent-time.Duration(h.GetConfirmedAgeUs())*time.Microsecond)
	known := map[string]Member{}
	for _, m := range h.GetContacts() {
		member := Member{Node: world.NodeID(m.GetNode()), Peer: world.Address(m.GetPeerAddress())}
		known[m.GetNode()] = member
		if m.GetHeard() {
			t.evidence[member.Node] = sent - time.Duration(m.GetAgeUs())*time.Microsecond
		}
	}
	t.members = membersOf(h.GetMembers(), known)
	for _, list := range h.GetTentative() {
		t.tentative = append(t.tentative, membersOf(list, known))
	}
	// The object still names the predecessor: it is read before it is written.
	t.wantRead = true
	record := t.newRecord(epoch, nil)
	t.mu.Unlock()
	t.observer.TermWon(record, h)
	return true
}

func membersOf(list *wire.MemberList, known map[string]Member) []Member {
	var members []Member
	for _, node := range list.GetNodes() {
		members = append(members, known[node])
	}
	return members
}
