package quota

import (
	"time"
)

// refill is an amount of tokens that accrued evenly between two instants.
type refill struct {
	from, to time.Duration
	amount   Micro
}

// missedRefillTTL is how long a missed refill can be reclaimed.
const missedRefillTTL = 2 * time.Second

func (a *account) addMissedRefill(missed refill) {
	a.missedRefills = append(a.missedRefills, missed)
	expired := 0
	for expired < len(a.missedRefills) && a.missedRefills[expired].to < missed.to-missedRefillTTL {
		expired++
	}
	a.missedRefills = a.missedRefills[expired:]
}

// reclaimMissed removes up to one token from the refills that were missed after
// spentAt and returns the amount. The spend at that instant had made room for it.
func (a *account) reclaimMissed(spentAt time.Duration) Micro {
	remaining := Token
	for i := range a.missedRefills {
		m := &a.missedRefills[i]
		if remaining == 0 || m.to <= spentAt || m.amount == 0 {
			continue
		}
		if m.from < spentAt {
			m.split(a, spentAt)
			m = &a.missedRefills[i]
		}
		taken := min(remaining, m.amount)
		m.from += time.Duration(float64(m.to-m.from) * float64(taken) / float64(m.amount))
		m.amount -= taken
		remaining -= taken
	}
	return Token - remaining
}

// reclaimMissedLocked adds missed refills to the pool for newly reported spends. The
// ages are those of the most recent spends, so the last ones in the list belong to the
// new spends. They are subtracted from the arrival time of the message, which makes
// the spends look later than they were.
func (l *Ledger) reclaimMissedLocked(a *account, spent int64, agesMs []int64) {
	first := max(0, len(agesMs)-int(spent))
	now := l.clock.Now()
	for _, age := range agesMs[first:] {
		reclaimed := a.reclaimMissed(now - time.Duration(age)*time.Millisecond)
		a.pool += max(0, min(reclaimed, l.poolCapacityLocked(a)-a.pool))
	}
}

// split divides a refill at an instant. The receiver keeps the later part, and the
// earlier part is appended to the missed refills.
func (m *refill) split(a *account, at time.Duration) {
	earlier := *m
	earlier.to = at
	earlier.amount = Micro(float64(m.amount) * float64(at-m.from) / float64(m.to-m.from))
	m.from = at
	m.amount -= earlier.amount
	a.missedRefills = append(a.missedRefills, earlier)
}
