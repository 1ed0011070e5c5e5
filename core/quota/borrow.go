package quota

import (
	"math"
	"sort"
	"time"

	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// BorrowedTokens is what a leader holds of another leader's tokens. They expire when the
// lender has not replied for the lease time. Nodes may hold them for one more lease time,
// so a lender waits for two lease times before it writes them off.
type BorrowedTokens struct {
	ledgerID uint64
	expiry   time.Duration
	holdings map[world.CustomerID]*holding
}

// AddLender adds a failure domain whose leader lends tokens. firstLedgerID must be higher
// than in all earlier terms.
func (l *Ledger) AddLender(domain world.DomainID, firstLedgerID uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lenders[domain] == nil {
		l.lenders[domain] = &BorrowedTokens{ledgerID: firstLedgerID, holdings: map[world.CustomerID]*holding{}}
	}
}

// spend counts up to n tokens as spent and returns their number.
func (b *BorrowedTokens) spend(customer world.CustomerID, n int64) int64 {
	h := b.holdings[customer]
	if h == nil {
		return 0
	}
	spent := max(0, min(n, h.tokens()))
	h.spent += spent
	return spent
}

// BorrowRequest returns the ledger id and usages to send to a lender. The id is 0 while
// tokens of an earlier term may exist, because a new id makes the lender write off the
// previous ledger.
func (l *Ledger) BorrowRequest(domain world.DomainID, lenders int) (uint64, []*wire.Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.IsSettled() {
		return 0, nil
	}
	l.expireBorrowedLocked()
	b := l.lenders[domain]
	var usages []*wire.Usage
	for _, customer := range sortedCustomers(l.accounts) {
		a := l.accounts[customer]
		l.refillLocked(a)
		if u := l.borrowUsageLocked(customer, a, b, lenders); u != nil {
			usages = append(usages, u)
		}
	}
	return b.ledgerID, usages
}

func (l *Ledger) borrowUsageLocked(customer world.CustomerID, a *account, b *BorrowedTokens, lenders int) *wire.Usage {
	h := b.holdings[customer]
	if h == nil {
		h = &holding{}
	}
	want := l.borrowWantLocked(a, h, lenders)
	if h.granted == 0 && want == 0 {
		return nil
	}
	b.holdings[customer] = h
	if want == 0 && a.deficit(l.clock.Now()) == 0 {
		l.returnUnusedLocked(a, h)
	}
	return &wire.Usage{Customer: string(customer), Granted: h.granted, Spent: h.spent, Returned: h.returned, Want: want}
}

// borrowAheadWindow is the period of deficit that a domain borrows tokens for.
const borrowAheadWindow = 300 * time.Millisecond

// borrowWantLocked returns the number of tokens to request from one lender: its part of
// the larger of the current shortfall and the expected deficit.
func (l *Ledger) borrowWantLocked(a *account, h *holding, lenders int) int64 {
	now := l.clock.Now()
	n := float64(max(lenders, 1))
	ahead := a.deficit(now)*borrowAheadWindow.Seconds()/n - float64(h.tokens())
	missing := 0.0
	if a.shortfall > 0 && now-a.shortfallAt <= shortfallTTL {
		missing = float64(a.shortfall) - float64(a.pool/Token)
	}
	return max(0, int64(math.Ceil(max(ahead, missing/n))))
}

// returnUnusedLocked returns borrowed tokens that are unused in the pool.
func (l *Ledger) returnUnusedLocked(a *account, h *holding) {
	unused := min(h.tokens(), int64(a.pool/Token))
	if unused <= 0 {
		return
	}
	h.returned += unused
	a.pool -= Micro(unused) * Token
	a.borrowed -= Micro(unused) * Token
}

// ApplyLenderReply applies a lender's reply to a heartbeat that was sent at the given
// instant.
func (l *Ledger) ApplyLenderReply(domain world.DomainID, reply *wire.BeatReply, sent time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expireBorrowedLocked()
	b := l.lenders[domain]
	if b == nil || reply.GetBook() != b.ledgerID || sent+l.lease <= l.clock.Now() {
		return
	}
	if reply.GetResetBook() {
		l.dropBorrowedLocked(b)
		return
	}
	b.expiry = max(b.expiry, sent+l.lease)
	for _, g := range reply.GetGrants() {
		a := l.accounts[world.CustomerID(g.GetCustomer())]
		h := b.holdings[world.CustomerID(g.GetCustomer())]
		if a == nil || h == nil || g.GetGranted() <= h.granted {
			continue
		}
		added := Micro(g.GetGranted()-h.granted) * Token
		h.granted = g.GetGranted()
		l.refillLocked(a)
		a.borrowed += added
		a.pool += added
	}
}

func (l *Ledger) expireBorrowedLocked() {
	now := l.clock.Now()
	for _, b := range l.lenders {
		if b.expiry != 0 && now >= b.expiry {
			l.dropBorrowedLocked(b)
		}
	}
}

// dropBorrowedLocked ends the borrowing from one lender. Tokens beyond this domain's own
// burst are dropped; the remaining ones count as its own.
func (l *Ledger) dropBorrowedLocked(b *BorrowedTokens) {
	for customer, h := range b.holdings {
		a := l.accounts[customer]
		a.borrowed -= Micro(h.tokens()) * Token
		a.pool = min(a.pool, l.poolCapacityLocked(a))
	}
	b.ledgerID++
	b.expiry = 0
	b.holdings = map[world.CustomerID]*holding{}
}

func sortedDomains[V any](m map[world.DomainID]V) []world.DomainID {
	ids := make([]world.DomainID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}
