package main

import (
	"syscall"
	"time"
)

const (
	drainTime  = 2 * time.Second
	touchTime  = 3 * time.Second
	lateBeat   = 2 * time.Second
	staysFor   = 12 * time.Second
	killedFor  = 500 * time.Millisecond
	leaveCount = 3
)

// playLeave lets an endpoint leave: it says so, goes on serving for some seconds and exits. Its sidecar is
// killed and started again meanwhile, and a heartbeat from before arrives late.
func playLeave(s *site, hasTrouble bool) (isBroken bool, err error) {
	clerk := tenant{name: "clerk", rate: 400, burst: 400}
	if err := s.configure([]string{"stockdesk", "pricebook"}, []tenant{clerk}); err != nil {
		return false, err
	}
	if err := s.start(); err != nil {
		return false, err
	}
	done := make(chan struct{})
	l := &load{}
	for _, m := range s.machines[3:] {
		l.run(s, m, clerk, "/stockdesk-safe/stock", 20, done)
	}
	time.Sleep(4 * time.Second)
	m := s.machines[0]
	late := m.endpoint.newHeartbeat("ready")
	lateSentAt := time.Now()
	time.Sleep(100 * time.Millisecond)
	if !m.endpoint.leave() {
		close(done)
		l.wait.Wait()
		return false, nil
	}
	acknowledgedAt := time.Now()
	s.log("%s has acknowledged that %s leaves", m.name, m.endpoint.instance)
	if hasTrouble {
		time.Sleep(300 * time.Millisecond)
		s.log("%s is killed", m.name)
		m.signal(syscall.SIGKILL)
		if err := m.waitForEnd(time.Second); err != nil {
			return false, err
		}
		time.Sleep(killedFor)
		if err := m.start(); err != nil {
			return false, err
		}
	}
	restartedAt := time.Now()
	time.Sleep(time.Until(lateSentAt.Add(lateBeat)))
	isAccepted := m.endpoint.deliver(late)
	s.log("a heartbeat of %s arrives %d ms late, acknowledged: %v", m.endpoint.instance, time.Since(lateSentAt).Milliseconds(), isAccepted)
	time.Sleep(time.Until(acknowledgedAt.Add(staysFor)))
	exitsAt := time.Now()
	m.endpoint.end()
	time.Sleep(time.Second)
	close(done)
	l.wait.Wait()
	// Requests count from when the restarted machine is in touch again.
	from := acknowledgedAt.Add(drainTime)
	if inTouch := restartedAt.Add(touchTime); hasTrouble && inTouch.After(from) {
		from = inTouch
	}
	runs := m.endpoint.runCount(from.Add(500*time.Millisecond), exitsAt)
	s.report("%d requests ran at the endpoint that had left, later than %v after the acknowledgement", runs, drainTime)
	return runs > 0, nil
}
