package quota

import (
	"sort"
	"sync"
	"time"

	"wagtailyoke/core/timer"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// Tuning of a node's stock.
const (
	// aheadTime is the demand, as time, that a node keeps in stock.
	aheadTime = 400 * time.Millisecond
	// demandSmoothing is the weight of the newest demand sample.
	demandSmoothing = 0.4
	// idleSurplus is the number of tokens that a node keeps without demand.
	idleSurplus = 1
	// maxAges bounds the ages in one report.
	maxAges = 64
)

// LocalTokens is what a node holds of one grantor's tokens. Its tokens expire when the
// grantor was not reached for the lease time: the grantor writes them off after
// that, and they must not exist twice.
type LocalTokens struct {
	clock timer.Service
	lease time.Duration

	mu       sync.Mutex
	book     uint64
	expiry   time.Duration
	holdings map[world.CustomerID]*holding
	reported time.Duration
	closing  bool
}

type holding struct {
	granted  int64
	spent    int64
	returned int64
	// asked counts takes since the last report.
	asked int64
	// spends are the instants of the last spends since the last report.
	spends []time.Duration
	// demand is in tokens per second.
	demand float64
}

func (h *holding) tokens() int64 { return h.granted - h.spent - h.returned }

// NewLocalTokens returns an empty stock. The first book id must never repeat for a
// grantee, also across restarts.
func NewLocalTokens(clock timer.Service, lease time.Duration, firstBook uint64) *LocalTokens {
	return &LocalTokens{clock: clock, lease: lease, book: firstBook, holdings: map[world.CustomerID]*holding{}}
}

// TakeToken spends one token if there is one.
func (s *LocalTokens) TakeToken(customer world.CustomerID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.holding(customer)
	h.asked++
	return s.spend(h)
}

// TakeWaiting spends a token for a call that was already counted as demand.
func (s *LocalTokens) TakeWaiting(customer world.CustomerID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.spend(s.holding(customer))
}

func (s *LocalTokens) spend(h *holding) bool {
	if s.clock.Now() >= s.expiry || h.tokens() <= 0 {
		return false
	}
	h.spent++
	if len(h.spends) < maxAges {
		h.spends = append(h.spends, s.clock.Now())
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

// Waiting counts the calls that wait for a token, by customer.
type Waiting map[world.CustomerID]int

// ReportUsage returns the book id and the usages to send with a heartbeat.
func (s *LocalTokens) ReportUsage(waiting Waiting) (uint64, []*wire.Usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	now := s.clock.Now()
	elapsed := now - s.reported
	s.reported = now
	usages := make([]*wire.Usage, 0, len(s.holdings))
	for _, customer := range sortedCustomers(s.holdings) {
		h := s.holdings[customer]
		h.measure(elapsed)
		h.giveBack(s.closing)
		usages = append(usages, &wire.Usage{
			Customer: string(customer),
			Granted:  h.granted,
			Spent:    h.spent,
			Returned: h.returned,
			Want:     h.want(waiting[customer], s.closing),
			Urgent:   int64(waiting[customer]),
			AgesMs:   h.ages(now),
		})
	}
	return s.book, usages
}

// ages returns the ages of the spends since the last report, rounded down.
func (h *holding) ages(now time.Duration) []int64 {
	if len(h.spends) == 0 {
		return nil
	}
	ages := make([]int64, len(h.spends))
	for i, at := range h.spends {
		ages[i] = (now - at).Milliseconds()
	}
	h.spends = h.spends[:0]
	return ages
}

// measure updates the demand. Reports that follow an earlier one closely carry
// too few calls for an estimate, so demand is scaled by the elapsed time.
func (h *holding) measure(elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	seconds := elapsed.Seconds()
	weight := demandSmoothing * min(1, seconds/aheadTime.Seconds()*2)
	h.demand += weight * (float64(h.asked)/seconds - h.demand)
	h.asked = 0
}

func (h *holding) ahead() int64 { return int64(h.demand*aheadTime.Seconds()) + idleSurplus }

func (h *holding) want(waiting int, isClosing bool) int64 {
	if isClosing {
		return int64(waiting)
	}
	want := int64(waiting) + h.ahead() - h.tokens()
	if waiting == 0 && h.demand < 0.01 {
		return 0
	}
	return max(want, 0)
}

// giveBack returns tokens beyond twice the demand, or all of them.
func (h *holding) giveBack(all bool) {
	surplus := h.tokens() - 2*h.ahead()
	if all {
		surplus = h.tokens()
	}
	if surplus > 0 {
		h.returned += surplus
	}
}

// ApplyReply takes in a heartbeat's answer. sent is the instant at which the
// heartbeat was sent, which is when the lease starts.
func (s *LocalTokens) ApplyReply(reply *wire.BeatReply, sent time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reply.GetBook() != s.book {
		return
	}
	if reply.GetResetBook() {
		s.voidLocked()
		return
	}
	s.expireLocked()
	if reply.GetBook() != s.book || sent+s.lease <= s.clock.Now() {
		return
	}
	s.expiry = max(s.expiry, sent+s.lease)
	for _, g := range reply.GetGrants() {
		h := s.holding(world.CustomerID(g.GetCustomer()))
		h.granted = max(h.granted, g.GetGranted())
	}
}

// Close makes the next reports return all tokens, since the node stops.
func (s *LocalTokens) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
}

// Void drops all tokens and starts a new book.
func (s *LocalTokens) Void() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.voidLocked()
}

// HasValidLease reports whether the lease is running.
func (s *LocalTokens) HasValidLease() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock.Now() < s.expiry
}

func (s *LocalTokens) expireLocked() {
	if s.expiry != 0 && s.clock.Now() >= s.expiry {
		s.voidLocked()
	}
}

func (s *LocalTokens) voidLocked() {
	s.book++
	s.expiry = 0
	for _, h := range s.holdings {
		h.granted, h.spent, h.returned = 0, 0, 0
		h.spends = nil
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
