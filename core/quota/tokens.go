package quota

import (
	"sort"
	"sync"
	"time"

	"wagtailyoke/core/timer"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// LocalTokens settings.
const (
	// prefetchWindow is the period of demand that a node holds tokens for.
	prefetchWindow = 400 * time.Millisecond
	// demandSmoothing is the weight of the newest demand sample.
	demandSmoothing = 0.4
	// idleTokens is the number of tokens that a node holds without demand.
	idleTokens = 1
	// maxSpendAges limits the ages in one report.
	maxSpendAges = 64
)

// LocalTokens is what a node holds of one grantor's tokens. They expire when the grantor
// has not replied for the lease time. The grantor then writes them off and may grant them
// again, so they must no longer be spent here.
type LocalTokens struct {
	clock timer.Service
	lease time.Duration

	mu         sync.Mutex
	ledgerID   uint64
	expiry     time.Duration
	holdings   map[world.CustomerID]*holding
	reportedAt time.Duration
	isClosing  bool
}

type holding struct {
	granted  int64
	spent    int64
	returned int64
	// requests counts requested tokens since the last report.
	requests int64
	// spentAt lists when tokens were spent since the last report, up to maxSpendAges.
	spentAt []time.Duration
	// demand is in tokens per second.
	demand float64
}

func (h *holding) tokens() int64 { return h.granted - h.spent - h.returned }

// NewLocalTokens returns an empty LocalTokens. firstLedgerID must never repeat for a
// grantee, also across restarts.
func NewLocalTokens(clock timer.Service, lease time.Duration, firstLedgerID uint64) *LocalTokens {
	return &LocalTokens{clock: clock, lease: lease, ledgerID: firstLedgerID, holdings: map[world.CustomerID]*holding{}}
}

// TakeToken spends one token if there is one.
func (s *LocalTokens) TakeToken(customer world.CustomerID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.holding(customer)
	h.requests++
	return s.spend(h)
}

// TakeTokenForWaiter spends one token for a call that was already counted as demand.
func (s *LocalTokens) TakeTokenForWaiter(customer world.CustomerID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.spend(s.holding(customer))
}

func (s *LocalTokens) spend(h *holding) bool {
	if s.clock.Now() >= s.expiry || h.tokens() <= 0 {
		return false
	}
	h.spent++
	if len(h.spentAt) < maxSpendAges {
		h.spentAt = append(h.spentAt, s.clock.Now())
	}
	return true
}

func (s *LocalTokens) holding(customer world.CustomerID) *holding {
	h := s.holdings[customer]
	if h == nil {
		h = &holding{}
		s.holdings[customer] = h
	}
	return h
}

// WaitingCounts is the number of calls that wait for a token, by customer.
type WaitingCounts map[world.CustomerID]int

// ReportUsage returns the ledger id and the usages to send with a heartbeat.
func (s *LocalTokens) ReportUsage(waiting WaitingCounts) (uint64, []*wire.Usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	now := s.clock.Now()
	elapsed := now - s.reportedAt
	s.reportedAt = now
	usages := make([]*wire.Usage, 0, len(s.holdings))
	for _, customer := range sortedCustomers(s.holdings) {
		h := s.holdings[customer]
		h.measureDemand(elapsed)
		h.returnSurplus(s.isClosing)
		usages = append(usages, &wire.Usage{
			Customer: string(customer),
			Granted:  h.granted,
			Spent:    h.spent,
			Returned: h.returned,
			Want:     h.wantedTokens(waiting[customer], s.isClosing),
			Urgent:   int64(waiting[customer]),
			AgesMs:   h.spendAges(now),
		})
	}
	return s.ledgerID, usages
}

// spendAges returns the ages of the spends since the last report, rounded down to
// milliseconds.
func (h *holding) spendAges(now time.Duration) []int64 {
	if len(h.spentAt) == 0 {
		return nil
	}
	ages := make([]int64, len(h.spentAt))
	for i, at := range h.spentAt {
		ages[i] = (now - at).Milliseconds()
	}
	h.spentAt = h.spentAt[:0]
	return ages
}

// measureDemand updates the demand estimate. A report shortly after another one covers
// too few calls for a good sample, so the weight grows with the elapsed time.
func (h *holding) measureDemand(elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	seconds := elapsed.Seconds()
	weight := demandSmoothing * min(1, seconds/prefetchWindow.Seconds()*2)
	h.demand += weight * (float64(h.requests)/seconds - h.demand)
	h.requests = 0
}

func (h *holding) prefetchTarget() int64 {
	return int64(h.demand*prefetchWindow.Seconds()) + idleTokens
}

func (h *holding) wantedTokens(waiting int, isClosing bool) int64 {
	if isClosing {
		return int64(waiting)
	}
	want := int64(waiting) + h.prefetchTarget() - h.tokens()
	if waiting == 0 && h.demand < 0.01 {
		return 0
	}
	return max(want, 0)
}

// returnSurplus returns tokens beyond twice the prefetch target, or all of them.
func (h *holding) returnSurplus(all bool) {
	surplus := h.tokens() - 2*h.prefetchTarget()
	if all {
		surplus = h.tokens()
	}
	if surplus > 0 {
		h.returned += surplus
	}
}

// ApplyReply applies the grants of a heartbeat reply. sent is when the heartbeat was
// sent, which is when the lease starts.
func (s *LocalTokens) ApplyReply(reply *wire.BeatReply, sent time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reply.GetBook() != s.ledgerID {
		return
	}
	if reply.GetResetBook() {
		s.resetLocked()
		return
	}
	s.expireLocked()
	if reply.GetBook() != s.ledgerID || sent+s.lease <= s.clock.Now() {
		return
	}
	s.expiry = max(s.expiry, sent+s.lease)
	for _, g := range reply.GetGrants() {
		h := s.holding(world.CustomerID(g.GetCustomer()))
		h.granted = max(h.granted, g.GetGranted())
	}
}

// Close makes the following reports return all tokens, because the node is stopping.
func (s *LocalTokens) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isClosing = true
}

// Reset discards all tokens and starts a new ledger id.
func (s *LocalTokens) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resetLocked()
}

// HasValidLease reports whether the lease has not expired.
func (s *LocalTokens) HasValidLease() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock.Now() < s.expiry
}

func (s *LocalTokens) expireLocked() {
	if s.expiry != 0 && s.clock.Now() >= s.expiry {
		s.resetLocked()
	}
}

func (s *LocalTokens) resetLocked() {
	s.ledgerID++
	s.expiry = 0
	for _, h := range s.holdings {
		h.granted, h.spent, h.returned = 0, 0, 0
		h.spentAt = nil
	}
}

func sortedCustomers[V any](m map[world.CustomerID]V) []world.CustomerID {
	ids := make([]world.CustomerID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}
