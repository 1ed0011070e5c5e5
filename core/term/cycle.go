package term

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"wagtailyoke/core/store"
	"wagtailyoke/core/world"
)

// Tick does what is due: a renewal by the holder, or a candidate's next step.
func (t *Term) Tick() {
	t.mu.Lock()
	now := t.clock.Now()
	if t.busy && now-t.busySince < t.options.TakeOver {
		t.mu.Unlock()
		return
	}
	t.validLocked()
	step := t.nextStepLocked(now)
	if step != nil {
		t.busy = true
		t.busySince = now
		t.lastCall = now
	}
	t.mu.Unlock()
	if step != nil {
		step()
	}
}

func (t *Term) nextStepLocked(now time.Duration) func() {
	if t.released || t.leaving {
		return nil
	}
	if now-t.lastCall < t.options.Renew {
		return nil
	}
	if t.holding && !t.wantRead {
		return t.renewLocked(now)
	}
	if !t.holding && now-t.lastHeard < t.options.Fence && t.heardEpoch != 0 {
		return nil
	}
	if !t.holding && t.version != 0 && now-t.firstSeen > t.patienceLocked() && !t.wantRead {
		return t.roundLocked(now)
	}
	return t.read
}

// Candidates start their rounds one after another, so that not every node of a
// large failure domain questions every other one.
const (
	candidateStep = 150 * time.Millisecond
	mostSteps     = 10
)

func (t *Term) patienceLocked() time.Duration {
	steps := 0
	for _, m := range t.record.Members {
		if m.Node == t.self.Node || steps == mostSteps {
			break
		}
		steps++
	}
	return t.options.TakeOver + time.Duration(steps)*candidateStep
}

func (t *Term) idle() {
	t.mu.Lock()
	t.busy = false
	t.mu.Unlock()
}

// read fetches the object.
func (t *Term) read() {
	sent := t.clock.Now()
	t.platform.Get(ObjectKey(t.domain), func(o store.Object, err error) {
		defer t.idle()
		if errors.Is(err, store.ErrNotFound) {
			t.create(sent)
			return
		}
		if err != nil {
			return
		}
		t.saw(o)
	})
}

// create writes the first term of a failure domain.
func (t *Term) create(sent time.Duration) {
	t.write(0, t.newRecord(1, nil), sent)
}

// newRecord is the first record of a term of this node.
func (t *Term) newRecord(epoch world.Epoch, others []Member) Record {
	return Record{
		Domain:      t.domain,
		Epoch:       epoch,
		Holder:      t.self.Member,
		Members:     append([]Member{t.self.Member}, others...),
		Incarnation: t.self.Incarnation,
	}
}

func (t *Term) saw(o store.Object) {
	r, err := ParseRecord(o.Value)
	if err != nil {
		return
	}
	t.mu.Lock()
	if o.Version <= t.version && t.version != 0 {
		t.wantRead = false
		t.mu.Unlock()
		return
	}
	t.version = o.Version
	t.record = r
	t.firstSeen = t.clock.Now()
	t.wantRead = false
	isOwn := r.Holder.Node == t.self.Node && r.Incarnation == t.self.Incarnation
	// An object of an older epoch has not seen the handover that made this term.
	lost := t.holding && r.Epoch >= t.held && (!isOwn || r.Epoch != t.held)
	if lost {
		t.stepDownLocked()
	}
	won := isOwn && !t.holding
	if won {
		// The answer of the write that won the term was lost. The term is fenced
		// until a renewal is confirmed.
		t.winLocked(r, 0)
		t.lapsed = true
	}
	if t.holding && r.Epoch == t.held {
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
	t.holding = true
	t.held = r.Epoch
	t.released = false
	t.lapsed = false
	t.heardEpoch = r.Epoch
	t.evidence = map[world.NodeID]time.Duration{}
	t.tentative = nil
	t.next = nil
	t.confirmedAt = sent
}

func (t *Term) stepDownLocked() {
	t.holding = false
	t.lapsed = false
	t.released = false
	t.evidence = nil
	t.tentative = nil
	t.lastHeard = t.clock.Now()
}

// renewLocked prepares a renewal with the newest member list.
func (t *Term) renewLocked(now time.Duration) func() {
	r := t.record
	if r.Epoch != t.held {
		r = t.newRecord(t.held, nil)
		r.Members = t.members
	}
	r.Renewal++
	if len(t.next) > 0 {
		r.Members = t.next
		r.ReservedShares = t.nextFloors
	}
	version := t.version
	return func() { t.write(version, r, now) }
}

// write makes the conditional update that creates, renews or takes over a term.
func (t *Term) write(expected uint64, r Record, sent time.Duration) {
	value, err := json.Marshal(r)
	if err != nil {
		t.idle()
		return
	}
	t.mu.Lock()
	if t.holding {
		t.tentative = append(t.tentative, r.Members)
	}
	t.mu.Unlock()
	t.platform.Put(ObjectKey(t.domain), expected, value, func(version uint64, err error) {
		defer t.idle()
		if err != nil {
			// The write may have taken effect, so the version is read before the next one.
			t.mu.Lock()
			t.wantRead = true
			t.mu.Unlock()
			return
		}
		t.wrote(version, r, sent)
	})
}

func (t *Term) wrote(version uint64, r Record, sent time.Duration) {
	t.mu.Lock()
	if version <= t.version || t.holding && r.Epoch != t.held {
		t.mu.Unlock()
		return
	}
	won := !t.holding
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
