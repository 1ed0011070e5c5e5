package quota

import (
	"math"
	"sort"
	"time"

	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// Loan is what a leader holds of another leader's tokens. It expires when the
// lender was not reached for the lease time. Nodes may hold its tokens for one
// lease time more, so a lender waits for two before it writes a loan off.
type Loan struct {
	book     uint64
	expiry   time.Duration
	holdings map[world.CustomerID]*holding
}

// AddLender starts a loan from another failure domain. The book id must be
// higher than in all earlier terms.
func (l *Ledger) AddLender(domain world.DomainID, firstBook uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.loans[domain] == nil {
		l.loans[domain] = &Loan{book: firstBook, holdings: map[world.CustomerID]*holding{}}
	}
}

// consume counts up to n tokens as spent and returns their number.
func (o *Loan) consume(customer world.CustomerID, n int64) int64 {
	h := o.holdings[customer]
	if h == nil {
		return 0
	}
	used := max(0, min(n, h.tokens()))
	h.spent += used
	return used
}

// BorrowRequest returns the book and usages to send to a lender. The book is 0 as long
// as the tokens of an earlier term may exist: a new book makes the lender write
// off the old one.
func (l *Ledger) BorrowRequest(domain world.DomainID, lenders int) (uint64, []*wire.Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.IsSettled() {
		return 0, nil
	}
	l.expireLoansLocked()
	o := l.loans[domain]
	var usages []*wire.Usage
	for _, customer := range sortedCustomers(l.accounts) {
		a := l.accounts[customer]
		l.earnLocked(a)
		if u := l.borrowLocked(customer, a, o, lenders); u != nil {
			usages = append(usages, u)
		}
	}
	return o.book, usages
}

func (l *Ledger) borrowLocked(customer world.CustomerID, a *account, o *Loan, lenders int) *wire.Usage {
	h := o.holdings[customer]
	if h == nil {
		h = &holding{}
	}
	want := l.wantedLocked(a, h, lenders)
	if h.granted == 0 && want == 0 {
		return nil
	}
	o.holdings[customer] = h
	if want == 0 && a.deficit(l.clock.Now()) == 0 {
		l.repayLocked(a, h)
	}
	return &wire.Usage{Customer: string(customer), Granted: h.granted, Spent: h.spent, Returned: h.returned, Want: want}
}

// borrowAhead is the deficit, as time, that a domain holds on loan.
const borrowAhead = 300 * time.Millisecond

// wantedLocked is what to ask of one lender: what calls wait for now, and the
// deficit ahead of need.
func (l *Ledger) wantedLocked(a *account, h *holding, lenders int) int64 {
	now := l.clock.Now()
	n := float64(max(lenders, 1))
	ahead := a.deficit(now)*borrowAhead.Seconds()/n - float64(h.tokens())
	missing := 0.0
	if a.short > 0 && now-a.shortAt <= shortMemory {
		missing = float64(a.short) - float64(a.pool/Token)
	}
	return max(0, int64(math.Ceil(max(ahead, missing/n))))
}

// repayLocked returns borrowed tokens that lie unused in the pool.
func (l *Ledger) repayLocked(a *account, h *holding) {
	unused := min(h.tokens(), int64(a.pool/Token))
	if unused <= 0 {
		return
	}
	h.returned += unused
	a.pool -= Micro(unused) * Token
	a.borrowed -= Micro(unused) * Token
}

// ApplyLenderReply takes in a lender's answer to a heartbeat sent at the given instant.
func (l *Ledger) ApplyLenderReply(domain world.DomainID, reply *wire.BeatReply, sent time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expireLoansLocked()
	o := l.loans[domain]
	if o == nil || reply.GetBook() != o.book || sent+l.lease <= l.clock.Now() {
		return
	}
	if reply.GetResetBook() {
		l.forgetLoanLocked(o)
		return
	}
	o.expiry = max(o.expiry, sent+l.lease)
	for _, g := range reply.GetGrants() {
		a := l.accounts[world.CustomerID(g.GetCustomer())]
		h := o.holdings[world.CustomerID(g.GetCustomer())]
		if a == nil || h == nil || g.GetGranted() <= h.granted {
			continue
		}
		fresh := Micro(g.GetGranted()-h.granted) * Token
		h.granted = g.GetGranted()
		l.earnLocked(a)
		a.borrowed += fresh
		a.pool += fresh
	}
}

func (l *Ledger) expireLoansLocked() {
	now := l.clock.Now()
	for _, o := range l.loans {
		if o.expiry != 0 && now >= o.expiry {
			l.forgetLoanLocked(o)
		}
	}
}

// forgetLoanLocked ends a loan. Tokens beyond this domain's own burst are dropped;
// those that stay count as its own.
func (l *Ledger) forgetLoanLocked(o *Loan) {
	for customer, h := range o.holdings {
		a := l.accounts[customer]
		a.borrowed -= Micro(h.tokens()) * Token
		a.pool = min(a.pool, l.roomLocked(a))
	}
	o.book++
	o.expiry = 0
	o.holdings = map[world.CustomerID]*holding{}
}

func sortedDomains[V any](m map[world.DomainID]V) []world.DomainID {
	ids := make([]world.DomainID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}
