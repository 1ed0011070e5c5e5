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

// Part of each limit is reserved so that nodes can admit calls when no leader replies. If
// a leader crashes while the object store is unavailable, no node can become leader.
//
// The reserved part is reservedFraction of a domain's limit. The leader assigns it to its
// nodes in shares. While a node is in contact with the leader, its share is released to the
// leader, which refills the pools with it. A node that has had no reply for
// shareReleaseTTL plus one token lease uses its share itself. The leader stops using the
// share before that: shareReleaseTTL after it sent the last reply that the node is known
// to have received. That is one token lease before the node starts, so the tokens granted
// from the share have expired by then.
const (
	// reservedFraction is the reserved part of rate and burst, in millionths.
	reservedFraction = Token / 2
	// shareReleaseTTL is how long an acknowledged reply releases a share to the leader.
	shareReleaseTTL = 1500 * time.Millisecond
	// reservedShareTTL is how long the share of an unreachable node stays assigned.
	reservedShareTTL = 10 * time.Minute
	// minReservedShares is the minimum number of shares that a domain's reserved part is
	// split into.
	minReservedShares = 4
)

// ReservedShare is a node's share of the reserved limit of its failure domain. The node
// uses it only when its leader is unreachable.
type ReservedShare struct {
	clock  timer.Service
	lease  time.Duration
	domain world.DomainID

	mu sync.Mutex
	// size is in millionths of the reserved limit.
	size Micro
	// lastReply is when a leader with a settled ledger last replied.
	lastReply time.Duration
	buckets   map[world.CustomerID]*bucket
}

type bucket struct {
	tokens Micro
	at     time.Duration
}

// NewReservedShare returns a ReservedShare of size 0.
func NewReservedShare(clock timer.Service, lease time.Duration, domain world.DomainID) *ReservedShare {
	return &ReservedShare{clock: clock, lease: lease, domain: domain, buckets: map[world.CustomerID]*bucket{}}
}

// Size returns the size to report to the leader.
func (r *ReservedShare) Size() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return int64(r.size)
}

// HandleLeaderReply sets the assigned size from a reply of the node's own leader. The reply
// releases the share to the leader again.
func (r *ReservedShare) HandleLeaderReply(assigned int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.size = Micro(assigned)
	r.lastReply = r.clock.Now()
	clear(r.buckets)
}

// TakeToken spends a token of the share if the node is isolated from its leader.
func (r *ReservedShare) TakeToken(c *intent.Customer, domains []world.DomainID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	start := r.lastReply + shareReleaseTTL + r.lease
	if r.size == 0 || now < start || now >= r.lastReply+reservedShareTTL {
		return false
	}
	// A limit that grew may not be in force everywhere yet.
	limit := minLimit(DomainLimit(c.Contract, c.ID, r.domain, domains), DomainLimit(c.Previous, c.ID, r.domain, domains))
	limit = limit.scaledBy(reservedFraction).scaledBy(r.size)
	b := r.buckets[c.ID]
	if b == nil {
		b = &bucket{at: start}
		r.buckets[c.ID] = b
	}
	b.tokens = min(limit.Burst, b.tokens+Micro(float64(limit.Rate)*(now-b.at).Seconds()))
	b.at = now
	if b.tokens < Token {
		return false
	}
	b.tokens -= Token
	return true
}

// scaledBy returns the given fraction of a limit, in millionths.
func (p Limit) scaledBy(fraction Micro) Limit {
	return Limit{Rate: scale(p.Rate, fraction), Burst: scale(p.Burst, fraction)}
}

func scale(v, fraction Micro) Micro { return Micro(float64(v) * float64(fraction) / float64(Token)) }

// reservedShares is the leader's record of the shares assigned to its nodes.
type reservedShares struct {
	assigned map[world.NodeID]*nodeShare
	// usableFraction is cached until usableUntil; see usableFractionLocked.
	usableFraction Micro
	usableUntil    time.Duration
}

// nodeShare is the maximum share that one node may hold. It grows only after the term
// record in the object store contains the larger size, and shrinks only after the node has
// reported a smaller one.
type nodeShare struct {
	size        Micro
	incarnation uint64
	// staged is the size to write to the term record.
	staged      Micro
	lastContact time.Duration
	// releasedAt is when the leader sent the last reply that the node acknowledged.
	releasedAt   time.Duration
	acknowledged bool
}

// AssignReservedShare handles a node's heartbeat and returns the size of the node's share.
// acked is when the reply was sent that the heartbeat acknowledges, or 0.
func (l *Ledger) AssignReservedShare(node world.NodeID, incarnation uint64, reported int64, acked time.Duration) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refillAllLocked()
	l.reservedShares.usableUntil = 0
	now := l.clock.Now()
	l.expireSharesLocked(now)
	s := l.reservedShares.assigned[node]
	if s == nil || s.incarnation < incarnation {
		// The share of an earlier incarnation of the node ended with it.
		s = &nodeShare{incarnation: incarnation}
		l.reservedShares.assigned[node] = s
	}
	s.lastContact = now
	if acked >= l.settledAt && acked > s.releasedAt {
		s.releasedAt = acked
		s.acknowledged = true
	}
	wanted := l.fairShareLocked()
	if wanted < s.size && Micro(reported) <= wanted {
		s.size = Micro(reported)
	}
	s.staged = max(s.size, min(wanted, s.size+l.unassignedLocked()))
	return int64(min(wanted, s.size))
}

// fairShareLocked divides the reserved part evenly by an even number of shares, so that
// adding one node does not always change every share.
func (l *Ledger) fairShareLocked() Micro {
	n := max(minReservedShares, (len(l.reservedShares.assigned)+1)/2*2)
	return Token / Micro(n)
}

// unassignedLocked returns the fraction of the reserved part that is neither held by a
// node nor staged for one.
func (l *Ledger) unassignedLocked() Micro {
	unassigned := Token
	for _, s := range l.reservedShares.assigned {
		unassigned -= max(s.size, s.staged)
	}
	return max(0, unassigned)
}

func (l *Ledger) expireSharesLocked(now time.Duration) {
	for node, s := range l.reservedShares.assigned {
		if now-s.lastContact > reservedShareTTL+writeOffMargin {
			delete(l.reservedShares.assigned, node)
		}
	}
}

// ReservedShares returns the shares to write to the term record.
func (l *Ledger) ReservedShares() []term.ReservedShare {
	l.mu.Lock()
	defer l.mu.Unlock()
	shares := make([]term.ReservedShare, 0, len(l.reservedShares.assigned))
	for node, s := range l.reservedShares.assigned {
		shares = append(shares, term.ReservedShare{Node: node, Incarnation: s.incarnation, Share: int64(max(s.size, s.staged))})
	}
	sort.Slice(shares, func(i, j int) bool { return shares[i].Node < shares[j].Node })
	return shares
}

// CommitReservedShares applies the shares that the stored term record contains.
func (l *Ledger) CommitReservedShares(stored []term.ReservedShare) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refillAllLocked()
	l.reservedShares.usableUntil = 0
	for _, r := range stored {
		s := l.reservedShares.assigned[r.Node]
		if s != nil && s.incarnation == r.Incarnation && s.staged == Micro(r.Share) {
			s.size = s.staged
		}
	}
}

// LoadReservedShares restores the shares that the previous leader assigned.
func (l *Ledger) LoadReservedShares(stored []term.ReservedShare) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reservedShares.usableUntil = 0
	for _, r := range stored {
		l.reservedShares.assigned[r.Node] = &nodeShare{size: Micro(r.Share), incarnation: r.Incarnation, lastContact: l.clock.Now()}
	}
}

// usableFractionLocked returns the fraction of rate and burst that this leader may use, in
// millionths.
func (l *Ledger) usableFractionLocked(now time.Duration) Micro {
	if now < l.reservedShares.usableUntil {
		return l.reservedShares.usableFraction
	}
	usable := l.unassignedLocked()
	until := now + shareReleaseTTL
	for _, s := range l.reservedShares.assigned {
		end := s.releasedAt + shareReleaseTTL
		if s.acknowledged && now < end {
			usable += max(s.size, s.staged)
			until = min(until, end)
		}
	}
	l.reservedShares.usableFraction = Token - reservedFraction + scale(reservedFraction, usable)
	l.reservedShares.usableUntil = until
	return l.reservedShares.usableFraction
}

func (l *Ledger) refillAllLocked() {
	for _, a := range l.accounts {
		l.refillLocked(a)
	}
}
