package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	stopRounds = 3
	// longAnswer is the length of an answer that is sent while it is made.
	longAnswer     = 400_000
	longAnswerTime = 4200 * time.Millisecond
	drainSlack     = time.Second
	graceTime      = 6 * time.Second
	planned        = graceTime + drainSlack
)

// playStop stops machines gracefully, one after the other, each while clients on it receive a long answer.
func playStop(s *site, hasTrouble bool) (isBroken bool, err error) {
	clerk := tenant{name: "clerk", rate: 400, burst: 400}
	if err := s.configure([]string{"stockdesk", "lotbook"}, []tenant{clerk}); err != nil {
		return false, err
	}
	for _, m := range s.machines {
		if m.service == slowService {
			m.endpoint.answerBytes, m.endpoint.answerTime = longAnswer, longAnswerTime
		}
	}
	if err := s.start(); err != nil {
		return false, err
	}
	cut := 0
	for round := range stopRounds {
		m := s.machines[round]
		var wait sync.WaitGroup
		var mu sync.Mutex
		for i := range 10 {
			wait.Add(1)
			method, path := http.MethodGet, "/"+slowService+"-safe/list"
			if i%2 == 0 {
				method, path = http.MethodPost, "/"+slowService+"-unsafe/reserve"
			}
			go func() {
				defer wait.Done()
				a := s.send(m, clerk, method, path)
				mu.Lock()
				defer mu.Unlock()
				wasRun := false
				for _, other := range s.machines {
					wasRun = wasRun || len(other.endpoint.runsOf(a.id)) > 0
				}
				if wasRun && !a.isWhole && a.took() < clientDeadline-100*time.Millisecond {
					cut++
				}
			}()
		}
		time.Sleep(300 * time.Millisecond)
		if hasTrouble {
			s.log("%s gets SIGTERM", m.name)
			m.signal(syscall.SIGTERM)
		}
		wait.Wait()
		if hasTrouble {
			if err := m.waitForEnd(planned); err != nil {
				return false, err
			}
			if err := m.start(); err != nil {
				return false, err
			}
		}
		time.Sleep(5 * time.Second)
	}
	s.report("%d of %d requests were passed on to an endpoint and got no complete answer", cut, 10*stopRounds)
	return cut > 0, nil
}
