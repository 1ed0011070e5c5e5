package term

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"wagtailyoke/core/store"
	"wagtailyoke/core/world"
)

// Tick runs the next step if one is due: a renewal by the holder, or a read or query
// round by another node.
func (t *Term) Tick() {
	t.mu.Lock()
	now := t.clock.Now()
	if t.busy && now-t.busySince < t.options.TakeoverTimeout {
		t.mu.Unlock()
		return
	}
	t.validLocked()
	step := t.nextStepLocked(now)
	if step != nil {
		t.busy = true
		t.busySince = now
		t.lastStoreCall = now
	}
	t.mu.Unlock()
	if step != nil {
		step()
	}
}

func (t *Term) nextStepLocked(now time.Duration) func() {
	if t.released || t.releasePending {
		return nil
	}
	if now-t.lastStoreCall < t.options.RenewInterval {
		return nil
	}
	if t.isHolder && !t.needsRead {
		return t.renewLocked(now)
	}
	if !t.isHolder && now-t.lastHolderReply < t.options.FenceTimeout && t.holderReplyEpoch != 0 {
		return nil
	}
	if !t.isHolder && t.version != 0 && now-t.firstSeen > t.takeoverDelayLocked() && !t.needsRead {
		return t.newRoundLocked(now)
	}
	return t.readRecord
}

// Candidates start their rounds one after another, so that in a large failure domain
// not every node queries every other one.
const (
	candidateDelay    = 150 * time.Millisecond
	maxCandidateSteps = 10
)

func (t *Term) takeoverDelayLocked() time.Duration {
	steps := 0
	for _, m := range t.record.Members {
		if m.Node == t.self.Node || steps == maxCandidateSteps {
			break
		}
		steps++
	}
	return t.options.TakeoverTimeout + time.Duration(steps)*candidateDelay
}

func (t *Term) clearBusy() {
	t.mu.Lock()
	t.busy = false
	t.mu.Unlock()
}

// readRecord reads the record from the store.
func (t *Term) readRecord() {
	sent := t.clock.Now()
	t.store.Get(ObjectKey(t.domain), func(o store.Object, err error) {
		defer t.clearBusy()
		if errors.Is(err, store.ErrNotFound) {
			t.createRecord(sent)
			return
		}
		if err != nil {
			return
		}
		t.handleRead(o)
	})
}

// createRecord writes the first term of a failure domain.
func (t *Term) createRecord(sent time.Duration) {
	t.writeRecord(0, t.newRecord(1, nil), sent)
}

// newRecord returns the first record of a term held by this node.
func (t *Term) newRecord(epoch world.Epoch, others []Member) Record {
	return Record{
		Domain:      t.domain,
		Epoch:       epoch,
		Holder:      t.self.Member,
		Members:     append([]Member{t.self.Member}, others...),
		Incarnation: t.self.Incarnation,
	}
}

func (t *Term) handleRead(o store.Object) {
	r, err := ParseRecord(o.Value)
	if err != nil {
		return
	}
	t.mu.Lock()
	if o.Version <= t.version && t.version != 0 {
		t.needsRead = false
		t.mu.Unlock()
		return
	}
	t.version = o.Version
	t.record = r
	t.firstSeen = t.clock.Now()
	t.needsRead = false
	isOwn := r.Holder.Node == t.self.Node && r.Incarnation == t.self.Incarnation
	// A record of an older epoch was written before the handover that made this term.
	lost := t.isHolder && r.Epoch >= t.heldEpoch && (!isOwn || r.Epoch != t.heldEpoch)
	if lost {
		t.stepDownLocked()
	}
	won := isOwn && !t.isHolder
	if won {
		// The reply to the write that won the term was lost. The term is fenced until a
		// renewal is confirmed.
		t.winLocked(r, 0)
		t.lapsed = true
	}
	if t.isHolder && r.Epoch == t.heldEpoch {
		t.members = r.Members
	}
	t.mu.Unlock()
	if lost {
		t.observer.TermLost(r.Epoch)
	}
	if won {
		t.observer.TermWon(r, nil)
	}
	if r.Epoch >= t.Epoch() {
		t.observer.TermSeen(r)
	}
}

func (t *Term) winLocked(r Record, sent time.Duration) {
	t.isHolder = true
	t.heldEpoch = r.Epoch
	t.released = false
	t.lapsed = false
	t.holderReplyEpoch = r.Epoch
	t.contacts = map[world.NodeID]time.Duration{}
	t.tentative = nil
	t.nextMembers = nil
	t.confirmedAt = sent
}

func (t *Term) stepDownLocked() {
	t.isHolder = false
	t.lapsed = false
	t.released = false
	t.contacts = nil
	t.tentative = nil
	t.lastHolderReply = t.clock.Now()
}

// renewLocked prepares a renewal with the newest member list.
func (t *Term) renewLocked(now time.Duration) func() {
	r := t.record
	if r.Epoch != t.heldEpoch {
		r = t.newRecord(t.heldEpoch, nil)
		r.Members = t.members
	}
	r.Renewal++
	if len(t.nextMembers) > 0 {
		r.Members = t.nextMembers
		r.ReservedShares = t.nextShares
	}
	version := t.version
	return func() { t.writeRecord(version, r, now) }
}

// writeRecord makes the conditional update that creates, renews or takes over a term.
func (t *Term) writeRecord(expected uint64, r Record, sent time.Duration) {
	value, err := json.Marshal(r)
	if err != nil {
		t.clearBusy()
		return
	}
	t.mu.Lock()
	if t.isHolder {
		t.tentative = append(t.tentative, r.Members)
	}
	t.mu.Unlock()
	t.store.Put(ObjectKey(t.domain), expected, value, func(version uint64, err error) {
		defer t.clearBusy()
		if err != nil {
			// The write may have taken effect, so the version is read before the next one.
			t.mu.Lock()
			t.needsRead = true
			t.mu.Unlock()
			return
		}
		t.handleWritten(version, r, sent)
	})
}

func (t *Term) handleWritten(version uint64, r Record, sent time.Duration) {
	t.mu.Lock()
	if version <= t.version || t.isHolder && r.Epoch != t.heldEpoch {
		t.mu.Unlock()
		return
	}
	won := !t.isHolder
	t.version = version
	t.record = r
	t.firstSeen = t.clock.Now()
	if won {
		t.winLocked(r, sent)
	}
	t.lapsed = false
	t.confirmedAt = max(t.confirmedAt, sent)
	t.members = r.Members
	t.tentative = nil
	t.mu.Unlock()
	if won {
		t.observer.TermWon(r, nil)
		return
	}
	t.observer.TermRenewed(r)
}
