package term

import (
	"time"

	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// A handover works without the object store, which may be unavailable when a VM is
// replaced. The holder fences itself permanently and passes its contacts on, so that
// the term continues without a gap: a candidate's query round has the same outcome as
// without the handover. The successor adds 1 to the epoch and writes the record when
// the store is available.

// releasePoll is the interval at which ReleaseForHandover checks whether a renewal has
// ended.
const releasePoll = 10 * time.Millisecond

// PrepareHandover returns a stamp of this node's clock for a handover to it.
func (t *Term) PrepareHandover() *wire.PrepareReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	return &wire.PrepareReply{
		Willing:     !t.isHolder,
		Stamp:       int64(t.clock.Now()),
		Incarnation: t.self.Incarnation,
	}
}

// ReleaseForHandover permanently fences this holder and adds its contacts to the handover,
// once no renewal is in progress. done reports whether this node held a valid term.
func (t *Term) ReleaseForHandover(h *wire.HandoverRequest, done func(ok bool)) {
	t.mu.Lock()
	if !t.validLocked() {
		t.mu.Unlock()
		done(false)
		return
	}
	if t.busy && len(t.tentative) > 0 {
		t.releasePending = true
		t.mu.Unlock()
		t.clock.After(releasePoll, func() { t.ReleaseForHandover(h, done) })
		return
	}
	t.released = true
	t.fillHandoverLocked(h)
	t.mu.Unlock()
	done(true)
}

// fillHandoverLocked adds the ages of all contacts.
func (t *Term) fillHandoverLocked(h *wire.HandoverRequest) {
	now := t.clock.Now()
	h.Domain = string(t.domain)
	h.Epoch = uint64(t.heldEpoch)
	h.ConfirmedAgeUs = ageMicros(now, t.confirmedAt)
	h.Members = memberList(t.members)
	seen := map[world.NodeID]bool{}
	for _, list := range append([][]Member{t.members}, t.tentative...) {
		for _, m := range list {
			if !seen[m.Node] {
				seen[m.Node] = true
				h.Contacts = append(h.Contacts, t.memberAgeLocked(m, now))
			}
		}
	}
	for _, list := range t.tentative {
		h.Tentative = append(h.Tentative, memberList(list))
	}
}

func memberList(members []Member) *wire.MemberList {
	list := &wire.MemberList{}
	for _, m := range members {
		list.Nodes = append(list.Nodes, string(m.Node))
	}
	return list
}

func (t *Term) memberAgeLocked(m Member, now time.Duration) *wire.MemberAge {
	at, ok := t.contacts[m.Node]
	if m.Node == t.self.Node {
		at, ok = now, true
	}
	return &wire.MemberAge{Node: string(m.Node), PeerAddress: string(m.Peer), AgeUs: ageMicros(now, at), Heard: ok}
}

// ageMicros rounds up, so that a contact never looks more recent than it is.
func ageMicros(now, at time.Duration) int64 { return (now - at).Microseconds() + 1 }

// AcceptHandover takes over a term that its holder has released. It reports whether this
// node now holds the term.
func (t *Term) AcceptHandover(h *wire.HandoverRequest) bool {
	t.mu.Lock()
	epoch := world.Epoch(h.GetEpoch()) + 1
	if t.isHolder || h.GetIncarnation() != t.self.Incarnation || epoch <= max(t.record.Epoch, t.holderReplyEpoch) {
		t.mu.Unlock()
		return false
	}
	// The previous holder measured the ages after this node returned the stamp.
	sent := time.Duration(h.GetStamp())
	t.winLocked(t.newRecord(epoch, nil), sent-time.Duration(h.GetConfirmedAgeUs())*time.Microsecond)
	known := map[string]Member{}
	for _, m := range h.GetContacts() {
		member := Member{Node: world.NodeID(m.GetNode()), Peer: world.Address(m.GetPeerAddress())}
		known[m.GetNode()] = member
		if m.GetHeard() {
			t.contacts[member.Node] = sent - time.Duration(m.GetAgeUs())*time.Microsecond
		}
	}
	t.members = membersOf(h.GetMembers(), known)
	for _, list := range h.GetTentative() {
		t.tentative = append(t.tentative, membersOf(list, known))
	}
	// The stored record still names the previous holder, so it is read before it is written.
	t.needsRead = true
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
