package quota

import (
	"sort"

	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// SaveHandover adds the pools and the grantees' ledgers to a handover. Borrowed tokens
// are settled first: unused ones are dropped, used ones count as spent.
func (l *Ledger) SaveHandover(h *wire.HandoverRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, o := range l.lenders {
		l.dropBorrowedLocked(o)
	}
	for _, customer := range sortedCustomers(l.accounts) {
		a := l.accounts[customer]
		l.refillLocked(a)
		h.Pools = append(h.Pools, &wire.PoolState{Customer: string(customer), MicroTokens: int64(a.pool)})
	}
	for grantee, b := range l.grantees {
		h.Books = append(h.Books, b.state(grantee))
	}
	sort.Slice(h.Books, func(i, j int) bool { return h.Books[i].Grantee < h.Books[j].Grantee })
}

func (b *granteeLedger) state(grantee string) *wire.BookState {
	s := &wire.BookState{Grantee: grantee, Book: b.id, IsLeader: b.isLeader}
	for _, customer := range sortedCustomers(b.entries) {
		e := b.entries[customer]
		s.Usages = append(s.Usages, &wire.Usage{
			Customer: string(customer), Granted: e.granted, Spent: e.spent, Returned: e.returned,
		})
	}
	return s
}

// LoadHandover restores the pools and the grantees' ledgers from a handover.
func (l *Ledger) LoadHandover(h *wire.HandoverRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range h.GetBooks() {
		b := &granteeLedger{id: s.GetBook(), isLeader: s.GetIsLeader(), lastContact: l.clock.Now(), entries: map[world.CustomerID]*grantEntry{}}
		l.grantees[s.GetGrantee()] = b
		for _, u := range s.GetUsages() {
			l.loadEntryLocked(b, u)
		}
	}
	for _, p := range h.GetPools() {
		a := l.accounts[world.CustomerID(p.GetCustomer())]
		if a != nil {
			a.pool = min(Micro(p.GetMicroTokens()), l.poolCapacityLocked(a))
		}
	}
}

func (l *Ledger) loadEntryLocked(b *granteeLedger, u *wire.Usage) {
	a := l.accounts[world.CustomerID(u.GetCustomer())]
	if a == nil {
		return
	}
	e := &grantEntry{granted: u.GetGranted(), spent: u.GetSpent(), returned: u.GetReturned()}
	b.entries[world.CustomerID(u.GetCustomer())] = e
	l.addOutstandingLocked(a, b, Micro(e.outstanding())*Token)
}
