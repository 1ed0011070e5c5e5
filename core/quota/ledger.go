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

// Ledger settings.
const (
	// maxLentFraction is the maximum fraction of the burst that may be lent to other
	// failure domains. The rest is never lent, so that the domain can serve while it is
	// isolated.
	maxLentFraction = 0.75
	// writeOffMargin allows for clock drift between grantor and grantee.
	writeOffMargin = 200 * time.Millisecond
	// urgentReserveFraction is the fraction of the burst that is reserved for waiting
	// calls.
	urgentReserveFraction = 0.4
	// ownRateFraction is the fraction of its own rate up to which a domain does not
	// borrow ahead of demand.
	ownRateFraction = 0.8
	// shortfallTTL is how long a leader keeps borrowing for a request that its pool could
	// not satisfy.
	shortfallTTL = time.Second
)

// Ledger holds the token pools of a leader and a ledger of the grants to each grantee.
type Ledger struct {
	clock  timer.Service
	checks *invar.Checker
	domain world.DomainID
	lease  time.Duration

	mu sync.Mutex
	// settledAt is the instant from which tokens of an earlier term are void.
	settledAt      time.Duration
	accounts       map[world.CustomerID]*account
	grantees       map[string]*granteeLedger
	lenders        map[world.DomainID]*BorrowedTokens
	reservedShares reservedShares
}

// account is one customer's pool.
type account struct {
	limit Limit
	// pendingLimit is a higher limit that takes effect once all leaders have confirmed
	// configuration version pendingVersion.
	pendingLimit   Limit
	pendingVersion world.ConfigVersion
	hasPending     bool

	pool       Micro
	refilledAt time.Duration
	// missedRefills is what could not be added because the burst was used up by tokens
	// that were not yet reported as spent. A report that they were spent earlier reclaims
	// it.
	missedRefills []refill
	// outstanding is granted and not yet reported as spent or returned. lent is the part
	// of it that other leaders hold.
	outstanding Micro
	lent        Micro
	// borrowed is what other leaders have lent: it is in the pool or outstanding.
	borrowed Micro
	// shortfall is the number of urgently requested tokens that the pool lacked at
	// shortfallAt.
	shortfall   int64
	shortfallAt time.Duration
	// demand is the rate at which this domain's nodes spend, in tokens per second.
	demand        float64
	windowStart   time.Duration
	spentInWindow int64
}

// Demand is an exponentially weighted average over windows of demandWindow, in which the
// newest window has the weight demandWeight.
const (
	demandWindow = 200 * time.Millisecond
	demandWeight = 0.4
)

func (a *account) measureDemand(spent int64, now time.Duration) {
	a.spentInWindow += spent
	elapsed := now - a.windowStart
	if elapsed < demandWindow {
		return
	}
	a.demand += demandWeight * (float64(a.spentInWindow)/elapsed.Seconds() - a.demand)
	a.spentInWindow = 0
	a.windowStart = now
}

// deficit returns the demand beyond ownRateFraction of this domain's rate, in tokens
// per second.
func (a *account) deficit(now time.Duration) float64 {
	a.measureDemand(0, now)
	return max(0, a.demand-float64(a.limit.Rate)/float64(Token)*ownRateFraction)
}

// granteeLedger records the grants to one grantee; the wire messages call it a book. A
// grantee that restarts, or whose tokens expired, starts a new one with a higher id.
type granteeLedger struct {
	id          uint64
	isLeader    bool
	lastContact time.Duration
	entries     map[world.CustomerID]*grantEntry
}

type grantEntry struct {
	granted  int64
	spent    int64
	returned int64
}

func (e *grantEntry) outstanding() int64 { return e.granted - e.spent - e.returned }

// NewLedger returns the ledger of a new term. A term that is not the first and was not
// handed over refills nothing until the tokens of its predecessor are void.
func NewLedger(clock timer.Service, checks *invar.Checker, domain world.DomainID, lease time.Duration, isFirstTerm bool) *Ledger {
	l := &Ledger{
		clock:          clock,
		checks:         checks,
		domain:         domain,
		lease:          lease,
		settledAt:      clock.Now(),
		accounts:       map[world.CustomerID]*account{},
		grantees:       map[string]*granteeLedger{},
		lenders:        map[world.DomainID]*BorrowedTokens{},
		reservedShares: reservedShares{assigned: map[world.NodeID]*nodeShare{}},
	}
	if !isFirstTerm {
		l.settledAt += 2*lease + writeOffMargin
	}
	return l
}

// IsSettled reports whether the tokens of earlier terms are void.
func (l *Ledger) IsSettled() bool { return l.clock.Now() >= l.settledAt }

// ApplyConfig applies the contracts of a configuration. A limit that grows takes effect
// once every leader has confirmed the version; one that shrinks takes effect at once.
func (l *Ledger) ApplyConfig(cfg *intent.Config, confirmed world.ConfigVersion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	configured := map[world.CustomerID]bool{}
	for i := range cfg.Customers {
		c := &cfg.Customers[i]
		configured[c.ID] = true
		l.installLocked(c, cfg.Domains, confirmed)
	}
	for id, a := range l.accounts {
		if !configured[id] {
			a.limit, a.pendingLimit, a.hasPending = Limit{}, Limit{}, false
		}
	}
}

func (l *Ledger) installLocked(c *intent.Customer, domains []world.DomainID, confirmed world.ConfigVersion) {
	limit := DomainLimit(c.Contract, c.ID, l.domain, domains)
	a := l.accounts[c.ID]
	if a == nil {
		previous := DomainLimit(c.Previous, c.ID, l.domain, domains)
		a = &account{limit: limit, refilledAt: l.clock.Now()}
		if confirmed < c.ChangedAt {
			a.limit = minLimit(limit, previous)
		}
		// The pool starts empty because an earlier term may have granted the burst already.
		l.accounts[c.ID] = a
	}
	l.refillLocked(a)
	if limit == a.limit {
		a.hasPending = false
		return
	}
	a.limit = minLimit(limit, a.limit)
	a.pendingLimit, a.pendingVersion, a.hasPending = limit, c.ChangedAt, true
	a.pool = min(a.pool, l.poolCapacityLocked(a))
	l.applyPendingLocked(a, confirmed)
}

func minLimit(a, b Limit) Limit {
	return Limit{Rate: min(a.Rate, b.Rate), Burst: min(a.Burst, b.Burst)}
}

// ConfirmVersion applies pending limits up to a configuration version that every leader
// has in force.
func (l *Ledger) ConfirmVersion(confirmed world.ConfigVersion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.accounts {
		l.refillLocked(a)
		l.applyPendingLocked(a, confirmed)
	}
}

func (l *Ledger) applyPendingLocked(a *account, confirmed world.ConfigVersion) {
	if a.hasPending && confirmed >= a.pendingVersion {
		a.limit, a.hasPending = a.pendingLimit, false
	}
}

// poolCapacityLocked returns the maximum amount that the pool may hold now.
func (l *Ledger) poolCapacityLocked(a *account) Micro {
	burst := scale(a.limit.Burst, l.usableFractionLocked(l.clock.Now()))
	return max(0, burst+a.borrowed-a.outstanding)
}

func (l *Ledger) refillLocked(a *account) {
	now := l.clock.Now()
	from := max(a.refilledAt, l.settledAt)
	a.refilledAt = now
	if now <= from {
		return
	}
	// The usable fraction only shrinks between two calls, so its current value is the
	// minimum over the interval.
	rate := scale(a.limit.Rate, l.usableFractionLocked(now))
	a.pool = min(a.pool, l.poolCapacityLocked(a))
	if rate == 0 {
		return
	}
	accrued := Micro(float64(rate) * (now - from).Seconds())
	accepted := max(0, min(accrued, l.poolCapacityLocked(a)-a.pool))
	a.pool += accepted
	if accepted < accrued {
		// The first part of the refill was accepted; the missed rest accrued later.
		start := from + time.Duration(float64(now-from)*float64(accepted)/float64(accrued))
		a.addMissedRefill(refill{from: start, to: now, amount: accrued - accepted})
	}
}

// HandleUsages answers the usages of a heartbeat with grants.
func (l *Ledger) HandleUsages(grantee string, isLeader bool, ledgerID uint64, usages []*wire.Usage, reply *wire.BeatReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expireGranteesLocked()
	l.expireBorrowedLocked()
	reply.Book = ledgerID
	if ledgerID == 0 {
		return
	}
	gl := l.grantees[grantee]
	if gl == nil || gl.id < ledgerID {
		if !hasNoHistory(usages) {
			reply.ResetBook = true
			return
		}
		l.writeOffLocked(grantee)
		gl = &granteeLedger{id: ledgerID, isLeader: isLeader, entries: map[world.CustomerID]*grantEntry{}}
		l.grantees[grantee] = gl
	}
	if gl.id > ledgerID {
		reply.ResetBook = true
		return
	}
	if !gl.hasGranted(usages) {
		// A delayed first heartbeat can reopen a ledger that was written off.
		l.writeOffLocked(grantee)
		reply.ResetBook = true
		return
	}
	gl.lastContact = l.clock.Now()
	for _, u := range usages {
		if g := l.grantLocked(gl, u); g != nil {
			reply.Grants = append(reply.Grants, g)
		}
	}
}

// hasNoHistory reports whether the usages show no earlier grants, which a new ledger
// would not know of.
func hasNoHistory(usages []*wire.Usage) bool {
	for _, u := range usages {
		if u.GetGranted() != 0 || u.GetSpent() != 0 || u.GetReturned() != 0 {
			return false
		}
	}
	return true
}

// hasGranted reports whether all grants that the usages claim are recorded in the ledger.
func (gl *granteeLedger) hasGranted(usages []*wire.Usage) bool {
	for _, u := range usages {
		granted := int64(0)
		if e := gl.entries[world.CustomerID(u.GetCustomer())]; e != nil {
			granted = e.granted
		}
		if u.GetGranted() > granted {
			return false
		}
	}
	return true
}

func (l *Ledger) grantLocked(gl *granteeLedger, u *wire.Usage) *wire.Grant {
	customer := world.CustomerID(u.GetCustomer())
	a := l.accounts[customer]
	if a == nil {
		return nil
	}
	e := gl.entries[customer]
	if e == nil {
		e = &grantEntry{}
		gl.entries[customer] = e
	}
	l.applyUsageLocked(customer, a, gl, e, u)
	l.refillLocked(a)
	granted := l.grantable(a, gl, u)
	if !gl.isLeader && granted < u.GetUrgent() {
		a.recordShortfall(u.GetUrgent()-granted, l.clock.Now())
	}
	e.granted += granted
	l.addOutstandingLocked(a, gl, Micro(granted)*Token)
	a.pool -= Micro(granted) * Token
	l.checks.That(a.pool >= 0 && a.outstanding >= 0, invar.TokensConserved,
		"customer %s: pool %d, outstanding %d", customer, a.pool, a.outstanding)
	return &wire.Grant{Customer: u.GetCustomer(), Granted: e.granted}
}

func (a *account) recordShortfall(missing int64, now time.Duration) {
	if now-a.shortfallAt > shortfallTTL {
		a.shortfall = 0
	}
	a.shortfall = max(a.shortfall, missing)
	a.shortfallAt = now
}

func (l *Ledger) addOutstandingLocked(a *account, gl *granteeLedger, tokens Micro) {
	a.outstanding += tokens
	if gl.isLeader {
		a.lent += tokens
	}
}

// applyUsageLocked records spent and returned tokens.
func (l *Ledger) applyUsageLocked(customer world.CustomerID, a *account, gl *granteeLedger, e *grantEntry, u *wire.Usage) {
	spent := max(0, u.GetSpent()-e.spent)
	returned := max(0, u.GetReturned()-e.returned)
	l.checks.That(spent+returned <= e.outstanding(), invar.TokensConserved,
		"customer %s: grantee reports %d spent and %d returned of %d outstanding tokens", customer, spent, returned, e.outstanding())
	if !gl.isLeader {
		a.measureDemand(spent, l.clock.Now())
	}
	e.spent += spent
	e.returned += returned
	l.refillLocked(a)
	l.addOutstandingLocked(a, gl, -Micro(spent+returned)*Token)
	a.pool += Micro(returned) * Token
	borrowed := l.spendBorrowedLocked(customer, a, spent)
	// A borrowed token that is spent makes room at its lender, not here.
	l.reclaimMissedLocked(a, spent-borrowed, u.GetAgesMs())
}

// spendBorrowedLocked counts spent tokens as borrowed ones first, so that the lenders
// can refill. It returns how many were borrowed.
func (l *Ledger) spendBorrowedLocked(customer world.CustomerID, a *account, spent int64) int64 {
	remaining := spent
	for _, domain := range sortedDomains(l.lenders) {
		borrowed := l.lenders[domain].spend(customer, remaining)
		remaining -= borrowed
		a.borrowed -= Micro(borrowed) * Token
	}
	return spent - remaining
}

// grantable returns the number of complete tokens to grant. Tokens granted ahead of
// demand leave a reserve for calls that wait at other nodes. Lending to another leader
// leaves the part of the burst that is never lent and this domain's own shortfall.
func (l *Ledger) grantable(a *account, gl *granteeLedger, u *wire.Usage) int64 {
	available := a.pool
	want := u.GetWant()
	if !gl.isLeader {
		reserve := Micro(float64(a.limit.Burst) * urgentReserveFraction)
		ahead := max(0, min(want-u.GetUrgent(), int64((available-reserve)/Token)-u.GetUrgent()))
		want = u.GetUrgent() + ahead
	}
	if gl.isLeader {
		if l.clock.Now()-a.shortfallAt <= shortfallTTL {
			available -= Micro(a.shortfall) * Token
		}
		ceiling := Micro(float64(a.limit.Burst) * maxLentFraction)
		available = min(available, ceiling-a.lent)
	}
	return max(0, min(want, int64(available/Token)))
}

// expireGranteesLocked writes off the ledgers of grantees whose tokens have expired.
func (l *Ledger) expireGranteesLocked() {
	now := l.clock.Now()
	var expired []string
	for grantee, gl := range l.grantees {
		if now-gl.lastContact > gl.tokenTTL(l.lease) {
			expired = append(expired, grantee)
		}
	}
	sort.Strings(expired)
	for _, grantee := range expired {
		l.writeOffLocked(grantee)
	}
}

// tokenTTL returns how long a grantee's tokens remain usable without contact. The nodes
// of a borrowing leader may hold them for one more lease time.
func (gl *granteeLedger) tokenTTL(lease time.Duration) time.Duration {
	if gl.isLeader {
		return 2*lease + writeOffMargin
	}
	return lease + writeOffMargin
}

func (l *Ledger) writeOffLocked(grantee string) {
	gl := l.grantees[grantee]
	if gl == nil {
		return
	}
	delete(l.grantees, grantee)
	for _, customer := range sortedCustomers(gl.entries) {
		e := gl.entries[customer]
		a := l.accounts[customer]
		l.refillLocked(a)
		lost := e.outstanding()
		l.addOutstandingLocked(a, gl, -Micro(lost)*Token)
		l.spendBorrowedLocked(customer, a, lost)
	}
}

// HasUnmetDemand reports whether nodes recently requested more than this domain's own
// rate provides.
func (l *Ledger) HasUnmetDemand() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	isUnmet := false
	for _, a := range l.accounts {
		// deficit also closes the demand window, so it is called for every account.
		hasDeficit := a.deficit(now) > 0
		isUnmet = isUnmet || hasDeficit || a.shortfall > 0 && now-a.shortfallAt <= shortfallTTL
	}
	return isUnmet
}
