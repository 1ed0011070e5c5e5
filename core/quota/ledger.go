package quota

import (
	"sort"
	"sync"
	"time"

	"wagtailyoke/core/intent"
	"wagtailyoke/core/invar"
	"wagtailyoke/core/timer"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// Tuning of a leader's ledger.
const (
	// loanShare is the part of a burst that may be lent to other failure domains.
	// The rest never moves, so that the domain can serve when it is cut off.
	loanShare = 0.75
	// writeOffMargin covers clock drift between grantor and grantee.
	writeOffMargin = 200 * time.Millisecond
	// urgentReserve is the part of the burst that is kept for calls that wait.
	urgentReserve = 0.4
	// deficitShare is the share of its own inflow that a domain uses before it
	// borrows ahead of need.
	deficitShare = 0.8
	// shortMemory is how long an unmet want keeps a leader borrowing.
	shortMemory = time.Second
)

// Ledger is what a leader keeps: pools of tokens and the books of all grantees.
type Ledger struct {
	clock  timer.Service
	checks *invar.Checker
	domain world.DomainID
	lease  time.Duration

	mu sync.Mutex
	// settled is the instant from which tokens of an earlier term are void.
	settled  time.Duration
	accounts map[world.CustomerID]*account
	books    map[string]*book
	loans    map[world.DomainID]*Loan
	shares   shares
}

// account is one customer's pool.
type account struct {
	part Part
	// pending is a larger part that waits for all leaders to confirm the
	// configuration of version confirmAt.
	pending   Part
	confirmAt world.ConfigVersion
	waiting   bool

	pool     Micro
	earnedAt time.Duration
	// missed is the inflow that found the burst used up by tokens that were not yet
	// reported as spent. A report that they were spent earlier brings it back.
	missed []inflow
	// outstanding is granted and not reported spent or returned; lent is the part
	// of it that other leaders hold.
	outstanding Micro
	lent        Micro
	// borrowed is held here on loan, in the pool or outstanding.
	borrowed Micro
	// short is the want that the pool could not meet, and shortAt its instant.
	short   int64
	shortAt time.Duration
	// demand is what this domain's nodes spend, in tokens per second.
	demand   float64
	demandAt time.Duration
	used     int64
}

// Demand is measured over windows of this length, with this weight for the newest.
const (
	demandWindow = 200 * time.Millisecond
	demandWeight = 0.4
)

func (a *account) measure(spent int64, now time.Duration) {
	a.used += spent
	elapsed := now - a.demandAt
	if elapsed < demandWindow {
		return
	}
	a.demand += demandWeight * (float64(a.used)/elapsed.Seconds() - a.demand)
	a.used = 0
	a.demandAt = now
}

// deficit is the demand, in tokens per second, beyond what this domain earns.
func (a *account) deficit(now time.Duration) float64 {
	a.measure(0, now)
	return max(0, a.demand-float64(a.part.Rate)/float64(Token)*deficitShare)
}

// book is what one life of a grantee was granted. A grantee that starts anew, or whose
// tokens expired, opens one with a higher id.
type book struct {
	id        uint64
	isLeader  bool
	lastHeard time.Duration
	entries   map[world.CustomerID]*entry
}

type entry struct {
	granted  int64
	spent    int64
	returned int64
}

func (e *entry) outstanding() int64 { return e.granted - e.spent - e.returned }

// NewLedger returns the ledger of a new term. A term without a handover earns
// nothing until the tokens of its predecessor are void.
func NewLedger(clock timer.Service, checks *invar.Checker, domain world.DomainID, lease time.Duration, isFirstTerm bool) *Ledger {
	l := &Ledger{
		clock:    clock,
		checks:   checks,
		domain:   domain,
		lease:    lease,
		settled:  clock.Now(),
		accounts: map[world.CustomerID]*account{},
		books:    map[string]*book{},
		loans:    map[world.DomainID]*Loan{},
		shares:   shares{assigned: map[world.NodeID]*share{}},
	}
	if !isFirstTerm {
		l.settled += 2*lease + writeOffMargin
	}
	return l
}

// IsSettled reports whether the tokens of earlier terms are void.
func (l *Ledger) IsSettled() bool { return l.clock.Now() >= l.settled }

// ApplyConfig takes over the contracts of a configuration. A part that grows waits
// until every leader has confirmed the version; a part that shrinks does not.
func (l *Ledger) ApplyConfig(cfg *intent.Config, confirmed world.ConfigVersion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := map[world.CustomerID]bool{}
	for i := range cfg.Customers {
		c := &cfg.Customers[i]
		known[c.ID] = true
		l.installLocked(c, cfg.Domains, confirmed)
	}
	for id, a := range l.accounts {
		if !known[id] {
			a.part, a.pending, a.waiting = Part{}, Part{}, false
		}
	}
}

func (l *Ledger) installLocked(c *intent.Customer, domains []world.DomainID, confirmed world.ConfigVersion) {
	part := PartOf(c.Contract, c.ID, l.domain, domains)
	a := l.accounts[c.ID]
	if a == nil {
		old := PartOf(c.Previous, c.ID, l.domain, domains)
		a = &account{part: part, earnedAt: l.clock.Now()}
		if confirmed < c.ChangedAt {
			a.part = smaller(part, old)
		}
		// The pool starts empty: an earlier term may have granted the burst already.
		l.accounts[c.ID] = a
	}
	l.earnLocked(a)
	if part == a.part {
		a.waiting = false
		return
	}
	a.part = smaller(part, a.part)
	a.pending, a.confirmAt, a.waiting = part, c.ChangedAt, true
	a.pool = min(a.pool, l.roomLocked(a))
	l.confirmLocked(a, confirmed)
}

func smaller(a, b Part) Part { return Part{Rate: min(a.Rate, b.Rate), Burst: min(a.Burst, b.Burst)} }

// ConfirmVersion tells that every leader has at least the given version in force.
func (l *Ledger) ConfirmVersion(confirmed world.ConfigVersion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.accounts {
		l.earnLocked(a)
		l.confirmLocked(a, confirmed)
	}
}

func (l *Ledger) confirmLocked(a *account, confirmed world.ConfigVersion) {
	if a.waiting && confirmed >= a.confirmAt {
		a.part, a.waiting = a.pending, false
	}
}

// roomLocked is how many tokens the pool may hold now.
func (l *Ledger) roomLocked(a *account) Micro {
	burst := scale(a.part.Burst, l.usableLocked(l.clock.Now()))
	return max(0, burst+a.borrowed-a.outstanding)
}

func (l *Ledger) earnLocked(a *account) {
	now := l.clock.Now()
	from := max(a.earnedAt, l.settled)
	a.earnedAt = now
	if now <= from {
		return
	}
	// Between two calls the usable part only shrinks, so its value now is the least.
	rate := scale(a.part.Rate, l.usableLocked(now))
	a.pool = min(a.pool, l.roomLocked(a))
	if rate == 0 {
		return
	}
	earned := Micro(float64(rate) * (now - from).Seconds())
	accepted := max(0, min(earned, l.roomLocked(a)-a.pool))
	a.pool += accepted
	if accepted < earned {
		// The first part of the inflow was accepted, the rest came later.
		start := from + time.Duration(float64(now-from)*float64(accepted)/float64(earned))
		a.miss(inflow{from: start, to: now, amount: earned - accepted})
	}
}

// HandleUsages answers a heartbeat's usages with grants.
func (l *Ledger) HandleUsages(grantee string, isLeader bool, id uint64, usages []*wire.Usage, reply *wire.BeatReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweepLocked()
	l.expireLoansLocked()
	reply.Book = id
	if id == 0 {
		return
	}
	b := l.books[grantee]
	if b == nil || b.id < id {
		if !isFresh(usages) {
			reply.ResetBook = true
			return
		}
		l.dropLocked(grantee)
		b = &book{id: id, isLeader: isLeader, entries: map[world.CustomerID]*entry{}}
		l.books[grantee] = b
	}
	if b.id > id {
		reply.ResetBook = true
		return
	}
	if !b.covers(usages) {
		// A late first heartbeat can open a book anew that was written off.
		l.dropLocked(grantee)
		reply.ResetBook = true
		return
	}
	b.lastHeard = l.clock.Now()
	for _, u := range usages {
		if g := l.serveLocked(b, u); g != nil {
			reply.Grants = append(reply.Grants, g)
		}
	}
}

// isFresh reports whether a book has no history that this ledger would miss.
func isFresh(usages []*wire.Usage) bool {
	for _, u := range usages {
		if u.GetGranted() != 0 || u.GetSpent() != 0 || u.GetReturned() != 0 {
			return false
		}
	}
	return true
}

// covers reports whether all that the grantee holds was granted from this book.
func (b *book) covers(usages []*wire.Usage) bool {
	for _, u := range usages {
		granted := int64(0)
		if e := b.entries[world.CustomerID(u.GetCustomer())]; e != nil {
			granted = e.granted
		}
		if u.GetGranted() > granted {
			return false
		}
	}
	return true
}

func (l *Ledger) serveLocked(b *book, u *wire.Usage) *wire.Grant {
	customer := world.CustomerID(u.GetCustomer())
	a := l.accounts[customer]
	if a == nil {
		return nil
	}
	e := b.entries[customer]
	if e == nil {
		e = &entry{}
		b.entries[customer] = e
	}
	l.reportLocked(customer, a, b, e, u)
	l.earnLocked(a)
	given := l.grantable(a, b, u)
	if !b.isLeader && given < u.GetUrgent() {
		a.noteShort(u.GetUrgent()-given, l.clock.Now())
	}
	e.granted += given
	l.moveLocked(a, b, Micro(given)*Token)
	a.pool -= Micro(given) * Token
	l.checks.That(a.pool >= 0 && a.outstanding >= 0, invar.TokensConserved,
		"customer %s: pool %d, outstanding %d", customer, a.pool, a.outstanding)
	return &wire.Grant{Customer: u.GetCustomer(), Granted: e.granted}
}

func (a *account) noteShort(missing int64, now time.Duration) {
	if now-a.shortAt > shortMemory {
		a.short = 0
	}
	a.short = max(a.short, missing)
	a.shortAt = now
}

func (l *Ledger) moveLocked(a *account, b *book, tokens Micro) {
	a.outstanding += tokens
	if b.isLeader {
		a.lent += tokens
	}
}

// reportLocked takes in spent and returned tokens.
func (l *Ledger) reportLocked(customer world.CustomerID, a *account, b *book, e *entry, u *wire.Usage) {
	spent := max(0, u.GetSpent()-e.spent)
	returned := max(0, u.GetReturned()-e.returned)
	l.checks.That(spent+returned <= e.outstanding(), invar.TokensConserved,
		"customer %s: book reports %d spent and %d returned of %d", customer, spent, returned, e.outstanding())
	if !b.isLeader {
		a.measure(spent, l.clock.Now())
	}
	e.spent += spent
	e.returned += returned
	l.earnLocked(a)
	l.moveLocked(a, b, -Micro(spent+returned)*Token)
	a.pool += Micro(returned) * Token
	borrowed := l.consumeBorrowedLocked(customer, a, spent)
	// A borrowed token that is spent makes room at its lender, not here.
	l.regainLocked(a, spent-borrowed, u.GetAgesMs())
}

// consumeBorrowedLocked counts spent tokens against loans first, so that the
// lenders may earn again. It returns how many were borrowed.
func (l *Ledger) consumeBorrowedLocked(customer world.CustomerID, a *account, spent int64) int64 {
	left := spent
	for _, domain := range sortedDomains(l.loans) {
		used := l.loans[domain].consume(customer, left)
		left -= used
		a.borrowed -= Micro(used) * Token
	}
	return spent - left
}

// grantable is the number of whole tokens that a grantee gets. Tokens ahead of
// demand leave a reserve for calls that wait elsewhere. Loans leave the floor of
// the burst and what this domain itself is short of.
func (l *Ledger) grantable(a *account, b *book, u *wire.Usage) int64 {
	available := a.pool
	want := u.GetWant()
	if !b.isLeader {
		reserve := Micro(float64(a.part.Burst) * urgentReserve)
		ahead := max(0, min(want-u.GetUrgent(), int64((available-reserve)/Token)-u.GetUrgent()))
		want = u.GetUrgent() + ahead
	}
	if b.isLeader {
		if l.clock.Now()-a.shortAt <= shortMemory {
			available -= Micro(a.short) * Token
		}
		ceiling := Micro(float64(a.part.Burst) * loanShare)
		available = min(available, ceiling-a.lent)
	}
	return max(0, min(want, int64(available/Token)))
}

// sweepLocked writes off the books of grantees whose tokens have expired.
func (l *Ledger) sweepLocked() {
	now := l.clock.Now()
	var expired []string
	for grantee, b := range l.books {
		if now-b.lastHeard > b.lifetime(l.lease) {
			expired = append(expired, grantee)
		}
	}
	sort.Strings(expired)
	for _, grantee := range expired {
		l.dropLocked(grantee)
	}
}

// lifetime is how long a grantee's tokens can live without contact. A leader's
// nodes hold them for one more lease time.
func (b *book) lifetime(lease time.Duration) time.Duration {
	if b.isLeader {
		return 2*lease + writeOffMargin
	}
	return lease + writeOffMargin
}

func (l *Ledger) dropLocked(grantee string) {
	b := l.books[grantee]
	if b == nil {
		return
	}
	delete(l.books, grantee)
	for _, customer := range sortedCustomers(b.entries) {
		e := b.entries[customer]
		a := l.accounts[customer]
		l.earnLocked(a)
		lost := e.outstanding()
		l.moveLocked(a, b, -Micro(lost)*Token)
		l.consumeBorrowedLocked(customer, a, lost)
	}
}

// HasUnmetDemand reports whether nodes lately wanted more than this domain can give.
func (l *Ledger) HasUnmetDemand() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	isShort := false
	for _, a := range l.accounts {
		// deficit also closes the demand's window, so no account is left out.
		hasDeficit := a.deficit(now) > 0
		isShort = isShort || hasDeficit || a.short > 0 && now-a.shortAt <= shortMemory
	}
	return isShort
}
