package quota

import (
	"sort"
	"sync"
	"time"

	"wagtailyoke/core/intent"
	"wagtailyoke/core/term"
	"wagtailyoke/core/timer"
	"wagtailyoke/core/world"
)

// A floor lets a node go on admitting calls when no leader answers: when the leader
// crashed in an outage of the platform, nobody can become leader.
//
// floorPart of each contract's part is split into shares that the leader assigns to
// its nodes. While a node is in contact it has surrendered its share, and the leader
// earns it. A node that has had no answer for floorStart earns its share itself. The
// leader stops to earn the share before that: surrenderTime after it sent the last
// answer that the node is known to have received, and one token lease before the node
// starts, so that what was granted of it is gone.
const (
	// floorPart is the part of rate and burst that floors share, in millionths.
	floorPart = Token / 2
	// surrenderTime is how long an acknowledged answer surrenders a share.
	surrenderTime = 1500 * time.Millisecond
	// floorLease is how long a share is kept for a silent node.
	floorLease = 10 * time.Minute
	// leastShares is the least number of shares that a domain's floor is split into.
	leastShares = 4
)

// ReservedShare is a node's share of its failure domain's floor.
type ReservedShare struct {
	clock  timer.Service
	lease  time.Duration
	domain world.DomainID

	mu sync.Mutex
	// share is in millionths of the floor.
	share Micro
	// heard is when the leader last answered as one whose ledger is settled.
	heard   time.Duration
	buckets map[world.CustomerID]*bucket
}

type bucket struct {
	tokens Micro
	at     time.Duration
}

// NewReservedShare returns a floor without a share.
func NewReservedShare(clock timer.Service, lease time.Duration, domain world.DomainID) *ReservedShare {
	return &ReservedShare{clock: clock, lease: lease, domain: domain, buckets: map[world.CustomerID]*bucket{}}
}

// Size returns the share, to report it to the leader.
func (f *ReservedShare) Size() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return int64(f.share)
}

// HandleLeaderReply takes in an answer of the own leader. It surrenders the share anew.
func (f *ReservedShare) HandleLeaderReply(assigned int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.share = Micro(assigned)
	f.heard = f.clock.Now()
	clear(f.buckets)
}

// TakeToken spends a token of the floor, if the node is on its own.
func (f *ReservedShare) TakeToken(c *intent.Customer, domains []world.DomainID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	start := f.heard + surrenderTime + f.lease
	if f.share == 0 || now < start || now >= f.heard+floorLease {
		return false
	}
	// A contract that grew is not known to be in force everywhere.
	part := smaller(PartOf(c.Contract, c.ID, f.domain, domains), PartOf(c.Previous, c.ID, f.domain, domains))
	part = part.scaled(floorPart).scaled(f.share)
	b := f.buckets[c.ID]
	if b == nil {
		b = &bucket{at: start}
		f.buckets[c.ID] = b
	}
	b.tokens = min(part.Burst, b.tokens+Micro(float64(part.Rate)*(now-b.at).Seconds()))
	b.at = now
	if b.tokens < Token {
		return false
	}
	b.tokens -= Token
	return true
}

// scaled returns a share, in millionths, of a part.
func (p Part) scaled(share Micro) Part {
	return Part{Rate: scale(p.Rate, share), Burst: scale(p.Burst, share)}
}

func scale(v, share Micro) Micro { return Micro(float64(v) * float64(share) / float64(Token)) }

// shares is a leader's side of the floors.
type shares struct {
	assigned map[world.NodeID]*share
	// usable is the usable part, as computed for the time until usableUntil.
	usable      Micro
	usableUntil time.Duration
}

// share is what one node may hold. It grows only after the platform's object says so,
// and falls only after the node has reported a smaller one.
type share struct {
	size        Micro
	incarnation uint64
	// staged is the size to write into the object.
	staged Micro
	heard  time.Duration
	// surrendered is when the last answer was sent that the node acknowledged.
	surrendered  time.Duration
	acknowledged bool
}

// AssignReservedShare takes in a node's heartbeat and returns the node's share. acked is when the
// answer was sent that the heartbeat acknowledges, or 0.
func (l *Ledger) AssignReservedShare(node world.NodeID, incarnation uint64, reported int64, acked time.Duration) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.earnAllLocked()
	l.shares.usableUntil = 0
	now := l.clock.Now()
	l.dropSharesLocked(now)
	s := l.shares.assigned[node]
	if s == nil || s.incarnation < incarnation {
		// The share of an earlier life of the node has ended with it.
		s = &share{incarnation: incarnation}
		l.shares.assigned[node] = s
	}
	s.heard = now
	if acked >= l.settled && acked > s.surrendered {
		s.surrendered = acked
		s.acknowledged = true
	}
	wanted := l.fairShareLocked()
	if wanted < s.size && Micro(reported) <= wanted {
		s.size = Micro(reported)
	}
	s.staged = max(s.size, min(wanted, s.size+l.freeLocked()))
	return int64(min(wanted, s.size))
}

// fairShareLocked splits the floor evenly over an even number of shares, so that one
// more node does not always move every share.
func (l *Ledger) fairShareLocked() Micro {
	n := max(leastShares, (len(l.shares.assigned)+1)/2*2)
	return Token / Micro(n)
}

// freeLocked is the part of the floor that no node holds or will be given.
func (l *Ledger) freeLocked() Micro {
	free := Token
	for _, s := range l.shares.assigned {
		free -= max(s.size, s.staged)
	}
	return max(0, free)
}

func (l *Ledger) dropSharesLocked(now time.Duration) {
	for node, s := range l.shares.assigned {
		if now-s.heard > floorLease+writeOffMargin {
			delete(l.shares.assigned, node)
		}
	}
}

// ReservedShares returns the shares to write into the term's object.
func (l *Ledger) ReservedShares() []term.ReservedShare {
	l.mu.Lock()
	defer l.mu.Unlock()
	floors := make([]term.ReservedShare, 0, len(l.shares.assigned))
	for node, s := range l.shares.assigned {
		floors = append(floors, term.ReservedShare{Node: node, Incarnation: s.incarnation, Share: int64(max(s.size, s.staged))})
	}
	sort.Slice(floors, func(i, j int) bool { return floors[i].Node < floors[j].Node })
	return floors
}

// CommitReservedShares takes in shares that the object holds.
func (l *Ledger) CommitReservedShares(floors []term.ReservedShare) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.earnAllLocked()
	l.shares.usableUntil = 0
	for _, f := range floors {
		s := l.shares.assigned[f.Node]
		if s != nil && s.incarnation == f.Incarnation && s.staged == Micro(f.Share) {
			s.size = s.staged
		}
	}
}

// LoadReservedShares takes over the shares of an earlier holder.
func (l *Ledger) LoadReservedShares(floors []term.ReservedShare) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shares.usableUntil = 0
	for _, f := range floors {
		l.shares.assigned[f.Node] = &share{size: Micro(f.Share), incarnation: f.Incarnation, heard: l.clock.Now()}
	}
}

// usableLocked is the part of rate and burst that this leader may earn, in millionths.
func (l *Ledger) usableLocked(now time.Duration) Micro {
	if now < l.shares.usableUntil {
		return l.shares.usable
	}
	floor := l.freeLocked()
	until := now + surrenderTime
	for _, s := range l.shares.assigned {
		end := s.surrendered + surrenderTime
		if s.acknowledged && now < end {
			floor += max(s.size, s.staged)
			until = min(until, end)
		}
	}
	l.shares.usable = Token - floorPart + scale(floorPart, floor)
	l.shares.usableUntil = until
	return l.shares.usable
}

func (l *Ledger) earnAllLocked() {
	for _, a := range l.accounts {
		l.earnLocked(a)
	}
}
