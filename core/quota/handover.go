package quota

import (
	"sort"

	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// SaveHandover adds the pools and the nodes' books to a handover. Loans are settled
// first: unused borrowed tokens are dropped, used ones count as spent.
func (l *Ledger) SaveHandover(h *wire.HandoverRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, o := range l.loans {
		l.forgetLoanLocked(o)
	}
	for _, customer := range sortedCustomers(l.accounts) {
		a := l.accounts[customer]
		l.earnLocked(a)
		h.Pools = append(h.Pools, &wire.PoolState{Customer: string(customer), MicroTokens: int64(a.pool)})
	}
	for grantee, b := range l.books {
		h.Books = append(h.Books, b.save(grantee))
	}
	sort.Slice(h.Books, func(i, j int) bool { return h.Books[i].Grantee < h.Books[j].Grantee })
}

func (b *book) save(grantee string) *wire.BookState {
	s := &wire.BookState{Grantee: grantee, Book: b.id, IsLeader: b.isLeader}
	for _, customer := range sortedCustomers(b.entries) {
		e := b.entries[customer]
		s.Usages = append(s.Usages, &wire.Usage{
			Customer: string(customer), Granted: e.granted, Spent: e.spent, Returned: e.returned,
		})
	}
	return s
}

// LoadHandover takes in the pools and books of a handover.
func (l *Ledger) LoadHandover(h *wire.HandoverRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range h.GetBooks() {
		b := &book{id: s.GetBook(), isLeader: s.GetIsLeader(), lastHeard: l.clock.Now(), entries: map[world.CustomerID]*entry{}}
		l.books[s.GetGrantee()] = b
		for _, u := range s.GetUsages() {
			l.loadEntryLocked(b, u)
		}
	}
	for _, p := range h.GetPools() {
		a := l.accounts[world.CustomerID(p.GetCustomer())]
		if a != nil {
			a.pool = min(Micro(p.GetMicroTokens()), l.roomLocked(a))
		}
	}
}

func (l *Ledger) loadEntryLocked(b *book, u *wire.Usage) {
	a := l.accounts[world.CustomerID(u.GetCustomer())]
	if a == nil {
		return
	}
	e := &entry{granted: u.GetGranted(), spent: u.GetSpent(), returned: u.GetReturned()}
	b.entries[world.CustomerID(u.GetCustomer())] = e
	l.moveLocked(a, b, Micro(e.outstanding())*Token)
}
