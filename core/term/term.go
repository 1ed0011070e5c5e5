// Package term elects the leader of a failure domain. The node that holds the current
// term is recorded in one object per failure domain in the object store.
//
// The holder keeps its term while the store confirms renewals or while a majority of
// the members listed in the record replies to it. A candidate takes the term over
// only when the record has been unchanged for the takeover timeout and so many members
// confirm to have had no contact with the holder that the rest is no majority. The two
// majorities share a member, so both cannot exist at once, under these conditions:
//
//  1. A contact counts from the moment at which its request was sent.
//  2. A lapse is sticky: the holder checks for it before each operation and before it
//     records a new contact, and only a renewal confirmed by the store ends it.
//  3. A candidate's query round refers to one version of the record, and its
//     conditional update expects that version.
//  4. A round ends after a bounded time, and the takeover timeout is longer than the
//     sum of fence timeout, round timeout and clock drift.
//
// # Usage
//
//	t := term.New(clock, objects, querier, self, options, observer)
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

// Member is a node whose confirmation counts in the next takeover.
type Member struct {
	Node world.NodeID  `json:"node"`
	Peer world.Address `json:"peer"`
}

// ReservedShare is one node's share of the failure domain's reserved limit, in millionths.
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

// Record is the object that is stored as JSON.
type Record struct {
	Domain  world.DomainID `json:"domain"`
	Epoch   world.Epoch    `json:"epoch"`
	Holder  Member         `json:"holder"`
	Members []Member       `json:"members"`
	// ReservedShares holds the maximum share that each node may have been given. It is
	// written before a share is given, so that the next holder knows all of them.
	ReservedShares []ReservedShare `json:"floors,omitempty"`
	// Incarnation is the holder's. It distinguishes a write whose reply was lost from a write
	// of an earlier incarnation of the node.
	Incarnation uint64 `json:"incarnation"`
	// Renewal is incremented by each renewal, so that each one changes the record and
	// restarts the takeover timeout.
	Renewal uint64 `json:"renewal"`
}

// ObjectKey returns the object store key of a failure domain's term.
func ObjectKey(domain world.DomainID) string { return "term/" + string(domain) }

// ParseRecord decodes a stored record.
func ParseRecord(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, errors.Wrap(err, "decode term record")
	}
	return r, nil
}

// Options are the intervals and timeouts of a term.
type Options struct {
	// RenewInterval is the time between renewals by the holder.
	RenewInterval time.Duration
	// FenceTimeout is how long a contact or a confirmed renewal keeps counting.
	FenceTimeout time.Duration
	// RoundTimeout limits a candidate's query round.
	RoundTimeout time.Duration
	// TakeoverTimeout is how long the record must be unchanged before a takeover.
	TakeoverTimeout time.Duration
}

// DefaultOptions returns the production values.
func DefaultOptions() Options {
	return Options{
		RenewInterval:   500 * time.Millisecond,
		FenceTimeout:    2 * time.Second,
		RoundTimeout:    400 * time.Millisecond,
		TakeoverTimeout: 2800 * time.Millisecond,
	}
}

// ContactQuerier asks a member when it last had contact with the holder. done is called
// at most once.
type ContactQuerier interface {
	QueryContact(to world.Address, req *wire.TestifyRequest, done func(*wire.TestifyReply, error))
}

// Observer is notified of changes of the term. Its methods are called without locks held.
type Observer interface {
	// TermWon starts the leader role. handover is nil unless the previous holder handed
	// its state over.
	TermWon(r Record, handover *wire.HandoverRequest)
	// TermLost ends the leader role.
	TermLost(epoch world.Epoch)
	// TermSeen reports the holder that was read from the store.
	TermSeen(r Record)
	// TermRenewed reports that the store contains what SetContent requested.
	TermRenewed(r Record)
}

// Term is one node's view of its failure domain's term.
type Term struct {
	clock    timer.Service
	store    store.Platform
	querier  ContactQuerier
	observer Observer
	self     Self
	domain   world.DomainID
	options  Options

	mu      sync.Mutex
	version uint64
	record  Record
	// firstSeen is when this node first saw the current version.
	firstSeen time.Duration
	// lastHolderReply is when the holder last replied to this node.
	lastHolderReply  time.Duration
	holderReplyEpoch world.Epoch
	busy             bool
	busySince        time.Duration
	needsRead        bool
	lastStoreCall    time.Duration

	isHolder  bool
	heldEpoch world.Epoch
	// releasePending means that a release waits for a renewal to end.
	releasePending bool
	released       bool
	lapsed         bool
	// confirmedAt is when the last renewal that the store confirmed was sent.
	confirmedAt time.Duration
	contacts    map[world.NodeID]time.Duration
	// members is the list in the confirmed version. tentative holds the lists of writes
	// whose outcome is unknown. The holder needs a majority of each list.
	members     []Member
	tentative   [][]Member
	nextMembers []Member
	// nextShares is written together with nextMembers.
	nextShares []ReservedShare
}

// New returns a term whose holder is unknown.
func New(clock timer.Service, objects store.Platform, querier ContactQuerier, self Self, options Options, observer Observer) *Term {
	now := clock.Now()
	return &Term{
		clock:           clock,
		store:           objects,
		querier:         querier,
		observer:        observer,
		self:            self,
		domain:          self.Domain,
		options:         options,
		lastHolderReply: now,
		needsRead:       true,
		lastStoreCall:   now - options.TakeoverTimeout,
	}
}

// quorum returns the number of members that keep a term alive without the store. It is
// at least 2, because no other node could tell that a single member has stopped.
func quorum(members int) int { return max(2, members/2+1) }

// confirmationsNeeded returns how many members without contact to the holder leave the
// rest without a quorum.
func confirmationsNeeded(members int) int { return max(0, members-quorum(members)+1) }

// IsValid reports whether this node holds the term now.
func (t *Term) IsValid() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.validLocked()
}

// IsHolding reports whether this node holds the term or may regain it.
func (t *Term) IsHolding() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isHolder
}

// Epoch returns the newest epoch known to this node.
func (t *Term) Epoch() world.Epoch {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.record.Epoch, t.holderReplyEpoch)
}

func (t *Term) validLocked() bool {
	if !t.isHolder || t.released {
		return false
	}
	if t.lapsed {
		return false
	}
	now := t.clock.Now()
	if t.confirmedAt+t.options.FenceTimeout > now {
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
	count := 0
	for _, m := range members {
		at, ok := t.contacts[m.Node]
		if m.Node == t.self.Node || ok && at+t.options.FenceTimeout > now {
			count++
		}
	}
	return count >= quorum(len(members))
}

// RecordContact records a member's reply to the holder. sent is when this node sent the
// message that the member replied to.
func (t *Term) RecordContact(member world.NodeID, sent time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.validLocked() {
		return
	}
	if sent > t.contacts[member] {
		t.contacts[member] = sent
	}
}

// RecordHolderReply records that the holder of an epoch replied to this node.
func (t *Term) RecordHolderReply(epoch world.Epoch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if epoch < max(t.record.Epoch, t.holderReplyEpoch) {
		return
	}
	t.holderReplyEpoch = epoch
	t.lastHolderReply = t.clock.Now()
}

// AnswerContactQuery answers a candidate's query.
func (t *Term) AnswerContactQuery(req *wire.TestifyRequest) *wire.TestifyReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	return &wire.TestifyReply{
		Node:     string(t.self.Node),
		IsHolder: t.validLocked(),
		SilentMs: (t.clock.Now() - t.lastHolderReply).Milliseconds(),
	}
}

// SetContent sets the members and shares that the holder writes at its next renewal.
func (t *Term) SetContent(members []Member, shares []ReservedShare) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nextMembers = members
	t.nextShares = shares
}
