// Package term decides which node leads a failure domain. The holder of a term is
// written in one platform object per failure domain.
//
// The holder keeps its term while the platform confirms it or while a majority of
// the members listed in the object answers it. A candidate takes the term over
// only when the object has stood unchanged for the take-over time, and when so
// many members have not heard from the holder that the rest is no majority. The
// two majorities share a member, so both cannot be true at once, on these
// conditions:
//
//  1. Evidence of contact counts from the moment its request was sent.
//  2. A lapse is sticky: it is looked for before each operation and before new
//     evidence is counted; only a renewal by the platform ends it.
//  3. A candidate pins its round of questions to one version of the object and
//     makes its conditional update on that version.
//  4. A round ends after a bounded time, and the take-over time is longer than the
//     fence time plus the round plus clock drift.
//
// # Usage
//
//	t := term.New(clock, platform, asker, self, options, observer)
//	t.Tick()          // every 100 ms
//	if t.IsValid() {  // before each operation of a leader
//	}
package term

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"wagtailyoke/core/store"
	"wagtailyoke/core/timer"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// Member is a node that has a voice in the next take-over.
type Member struct {
	Node world.NodeID  `json:"node"`
	Peer world.Address `json:"peer"`
}

// ReservedShare is one node's share of the failure domain's floor, in millionths.
type ReservedShare struct {
	Node        world.NodeID `json:"node"`
	Incarnation uint64       `json:"incarnation"`
	Share       int64        `json:"share"`
}

// Self is the node that a Term belongs to.
type Self struct {
	Member
	Domain      world.DomainID
	Incarnation uint64
}

// Record is the stored object.
type Record struct {
	Domain  world.DomainID `json:"domain"`
	Epoch   world.Epoch    `json:"epoch"`
	Holder  Member         `json:"holder"`
	Members []Member       `json:"members"`
	// ReservedShares is the holder's upper bound of each node's share of the floor. It is
	// written before a share is given, so that the next holder knows all of them.
	ReservedShares []ReservedShare `json:"floors,omitempty"`
	// Incarnation is the holder's, to tell a lost answer from an earlier life.
	Incarnation uint64 `json:"incarnation"`
	// Renewal makes each renewal a change, which starts the take-over time anew.
	Renewal uint64 `json:"renewal"`
}

// ObjectKey is the platform's key of a failure domain's term.
func ObjectKey(domain world.DomainID) string { return "term/" + string(domain) }

// ParseRecord decodes a stored object.
func ParseRecord(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, errors.Wrap(err, "term record")
	}
	return r, nil
}

// Options are the times of a term.
type Options struct {
	// Renew is the time between renewals by the holder.
	Renew time.Duration
	// Fence is how long evidence of contact counts.
	Fence time.Duration
	// Round bounds the questions of a candidate.
	Round time.Duration
	// TakeOver is how long the object must stand unchanged.
	TakeOver time.Duration
}

// DefaultOptions returns the times used in production.
func DefaultOptions() Options {
	return Options{
		Renew:    500 * time.Millisecond,
		Fence:    2 * time.Second,
		Round:    400 * time.Millisecond,
		TakeOver: 2800 * time.Millisecond,
	}
}

// ContactQuerier sends a question to a member. done is called at most once.
type ContactQuerier interface {
	QueryContact(to world.Address, req *wire.TestifyRequest, done func(*wire.TestifyReply, error))
}

// Observer is told about the term. Its methods are called without locks held.
type Observer interface {
	// TermWon starts the role. handover is nil unless the predecessor passed its state.
	TermWon(r Record, handover *wire.HandoverRequest)
	// TermLost ends the role.
	TermLost(epoch world.Epoch)
	// TermSeen tells of a holder that the platform names.
	TermSeen(r Record)
	// TermRenewed tells that the platform holds what SetContent asked for.
	TermRenewed(r Record)
}

// Term is one node's view of its failure domain's term.
type Term struct {
	clock    timer.Service
	platform store.Platform
	asker    ContactQuerier
	observer Observer
	self     Self
	domain   world.DomainID
	options  Options

	mu      sync.Mutex
	version uint64
	record  Record
	// firstSeen is when the current version was first seen here.
	firstSeen time.Duration
	// lastHeard is when the holder last answered this node.
	lastHeard  time.Duration
	heardEpoch world.Epoch
	busy       bool
	busySince  time.Duration
	wantRead   bool
	lastCall   time.Duration

	holding bool
	held    world.Epoch
	// leaving means that a release waits for a renewal to end.
	leaving  bool
	released bool
	lapsed   bool
	// confirmedAt is when the last renewal that the platform confirmed was sent.
	confirmedAt time.Duration
	evidence    map[world.NodeID]time.Duration
	// members is the list of the confirmed version; tentative are lists of writes
	// whose outcome is unknown. The holder needs a majority of each.
	members   []Member
	tentative [][]Member
	next      []Member
	// nextFloors are written with next.
	nextFloors []ReservedShare
}

// New returns a term without a known holder.
func New(clock timer.Service, platform store.Platform, asker ContactQuerier, self Self, options Options, observer Observer) *Term {
	now := clock.Now()
	return &Term{
		clock:     clock,
		platform:  platform,
		asker:     asker,
		observer:  observer,
		self:      self,
		domain:    self.Domain,
		options:   options,
		lastHeard: now,
		wantRead:  true,
		lastCall:  now - options.TakeOver,
	}
}

// quorum is the number of members that keep a term without the platform. One
// member alone never does: nobody could tell that it has stopped.
func quorum(members int) int { return max(2, members/2+1) }

// testimoniesNeeded is the number of members without contact that leave the rest
// without a quorum.
func testimoniesNeeded(members int) int { return max(0, members-quorum(members)+1) }

// IsValid reports whether this node holds the term at this moment.
func (t *Term) IsValid() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.validLocked()
}

// IsHolding reports whether this node holds the term or may get it back.
func (t *Term) IsHolding() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holding
}

// Epoch returns the newest epoch known here.
func (t *Term) Epoch() world.Epoch {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.record.Epoch, t.heardEpoch)
}

func (t *Term) validLocked() bool {
	if !t.holding || t.released {
		return false
	}
	if t.lapsed {
		return false
	}
	now := t.clock.Now()
	if t.confirmedAt+t.options.Fence > now {
		return true
	}
	if t.hasQuorum(t.members, now) && t.hasQuorumOfTentative(now) {
		return true
	}
	t.lapsed = true
	return false
}

func (t *Term) hasQuorumOfTentative(now time.Duration) bool {
	for _, members := range t.tentative {
		if !t.hasQuorum(members, now) {
			return false
		}
	}
	return true
}

func (t *Term) hasQuorum(members []Member, now time.Duration) bool {
	n := 0
	for _, m := range members {
		at, ok := t.evidence[m.Node]
		if m.Node == t.self.Node || ok && at+t.options.Fence > now {
			n++
		}
	}
	return n >= quorum(len(members))
}

// RecordContact counts a member's answer. sent is the instant at which this node sent
// the message that the member answered.
func (t *Term) RecordContact(member world.NodeID, sent time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.validLocked() {
		return
	}
	if sent > t.evidence[member] {
		t.evidence[member] = sent
	}
}

// RecordHolderReply notes that the holder of an epoch answered this node.
func (t *Term) RecordHolderReply(epoch world.Epoch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if epoch < max(t.record.Epoch, t.heardEpoch) {
		return
	}
	t.heardEpoch = epoch
	t.lastHeard = t.clock.Now()
}

// AnswerContactQuery answers a candidate's question.
func (t *Term) AnswerContactQuery(req *wire.TestifyRequest) *wire.TestifyReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	return &wire.TestifyReply{
		Node:     string(t.self.Node),
		IsHolder: t.validLocked(),
		SilentMs: (t.clock.Now() - t.lastHeard).Milliseconds(),
	}
}

// SetContent tells the holder the members and floors to write at its next renewal.
func (t *Term) SetContent(members []Member, floors []ReservedShare) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next = members
	t.nextFloors = floors
}
