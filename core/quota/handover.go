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
	for _, borrowed := range l.lenders {
		l.dropBorrowedLocked(borrowed)
	}
	for _, customer := range sortedCustomers(l.accounts) {
		a := l.accounts[customer]
		l.refillLocked(a)
		h.Pools = append(h.Pools, &wire.PoolState{Customer: string(customer), MicroTokens: int64(a.pool)})
	}
	for grantee, gl := range l.grantees {
		h.Books = append(h.Books, gl.state(grantee))
	}
	sort.Slice(h.Books, func(i, j int) bool { return h.Books[i].Grantee < h.Books[j].Grantee })
}

func (gl *granteeLedger) state(grantee string) *wire.BookState {
	s := &wire.BookState{Grantee: grantee, Book: gl.id, IsLeader: gl.isLeader}
	for _, customer := range sortedCustomers(gl.entries) {
		e := gl.entries[customer]
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
		gl := &granteeLedger{id: s.GetBook(), isLeader: s.GetIsLeader(), lastContact: l.clock.Now(), entries: map[world.CustomerID]*grantEntry{}}
		l.grantees[s.GetGrantee()] = gl
		for _, u := range s.GetUsages() {
			l.loadEntryLocked(gl, u)
		}
	}
	for _, p := range h.GetPools() {
		a := l.accounts[world.CustomerID(p.GetCustomer())]
		if a != nil {
			a.pool = min(Micro(p.GetMicroTokens()), l.poolCapacityLocked(a))
		}
	}
}

func (l *Ledger) loadEntryLocked(gl *granteeLedger, u *wire.Usage) {
	a := l.accounts[world.CustomerID(u.GetCustomer())]
	if a == nil {
		return
	}
	e := &grantEntry{granted: u.GetGranted(), spent: u.GetSpent(), returned: u.GetReturned()}
	gl.entries[world.CustomerID(u.GetCustomer())] = e
	l.addOutstandingLocked(a, gl, Micro(e.outstanding())*Token)
}
