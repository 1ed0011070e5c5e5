package main

import (
	"syscall"
	"time"
)

const (
	tokenTenants = 16
	// tenantRate is the rate of each tenant's requests at each machine.
	tenantRate = 30
	lossRounds = 11
	// answerSlack is the time after a route's timeout within which an answer is due.
	answerSlack = 500 * time.Millisecond
)

// playTokens removes half of the machines without notice and adds others in their place, again and again. No
// client is on the removed ones, and their endpoints get no requests. The clients on the machines that stay
// must get an answer at their route's timeout.
func playTokens(s *site, hasTrouble bool) (isBroken bool, err error) {
	var tenants []tenant
	for i := range tokenTenants {
		// More than the tenant sends.
		tenants = append(tenants, tenant{name: "tenant-" + string(rune('a'+i)), rate: 400, burst: 400})
	}
	if err := s.configure([]string{"pricebook", "yardgate"}, tenants); err != nil {
		return false, err
	}
	if err := s.start(); err != nil {
		return false, err
	}
	staying, leaving := s.machines[:6], s.machines[6:]
	done := make(chan struct{})
	l := &load{}
	for _, m := range staying {
		for _, t := range tenants {
			l.run(s, m, t, "/pricebook-safe/price", tenantRate, done)
		}
	}
	time.Sleep(3 * time.Second)
	for round := range lossRounds {
		if hasTrouble {
			s.log("%d machines are lost in round %d", len(leaving), round)
			for _, m := range leaving {
				m.lose()
			}
		}
		time.Sleep(clientDeadline + 500*time.Millisecond)
		if hasTrouble {
			var added []*machine
			for _, m := range leaving {
				next, err := s.add(place{zone: m.zone, service: m.service})
				if err != nil {
					return false, err
				}
				added = append(added, next)
			}
			if err := s.startMachines(added); err != nil {
				return false, err
			}
			leaving = added
		}
		time.Sleep(3 * time.Second)
	}
	close(done)
	l.wait.Wait()
	unanswered, late := 0, 0
	for _, a := range l.answers {
		if a.took() <= routeTimeout {
			continue
		}
		unanswered++
		if a.took() > routeTimeout+answerSlack {
			late++
		}
	}
	s.report("%d requests, %d unanswered at the route's timeout, %d of them still 0.5 s later", len(l.answers), unanswered, late)
	return 2*late > unanswered, nil
}

// lose takes the machine away for good: nothing answers at its addresses, and nothing resets connections to
// them.
func (m *machine) lose() {
	m.signal(syscall.SIGSTOP)
	m.endpoint.mu.Lock()
	m.endpoint.isSilent = true
	m.endpoint.mu.Unlock()
}
