package quota

import (
	"time"
)

// inflow is an amount of tokens that came evenly between two instants.
type inflow struct {
	from, to time.Duration
	amount   Micro
}

// missedLife is how long missed inflow can come back.
const missedLife = 2 * time.Second

func (a *account) miss(in inflow) {
	a.missed = append(a.missed, in)
	old := 0
	for old < len(a.missed) && a.missed[old].to < in.to-missedLife {
		old++
	}
	a.missed = a.missed[old:]
}

// regain returns up to one token of the inflow that was missed after an instant at
// which a token was spent: the spend had made room for it.
func (a *account) regain(spentAt time.Duration) Micro {
	wanted := Token
	for i := range a.missed {
		m := &a.missed[i]
		if wanted == 0 || m.to <= spentAt || m.amount == 0 {
			continue
		}
		if m.from < spentAt {
			m.split(a, spentAt)
			m = &a.missed[i]
		}
		taken := min(wanted, m.amount)
		m.from += time.Duration(float64(m.to-m.from) * float64(taken) / float64(m.amount))
		m.amount -= taken
		wanted -= taken
	}
	return Token - wanted
}

// regainLocked brings back missed inflow for newly reported spends. The ages are
// those of the last spends, so the newest ones belong to the new spends. They count
// from the message's arrival, which makes them look younger than they are.
func (l *Ledger) regainLocked(a *account, spent int64, agesMs []int64) {
	first := max(0, len(agesMs)-int(spent))
	now := l.clock.Now()
	for _, age := range agesMs[first:] {
		back := a.regain(now - time.Duration(age)*time.Millisecond)
		a.pool += max(0, min(back, l.roomLocked(a)-a.pool))
	}
}

// split divides an inflow at an instant and leaves the later part in its place.
func (m *inflow) split(a *account, at time.Duration) {
	early := *m
	early.to = at
	early.amount = Micro(float64(m.amount) * float64(at-m.from) / float64(m.to-m.from))
	m.from = at
	m.amount -= early.amount
	a.missed = append(a.missed, early)
}
