package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

const (
	// processFiles is the number of descriptors of a process on the sheets.
	processFiles = 4100
	// newPerSecond is the number of connections that clients of the machine open each second.
	newPerSecond = 70
	idleLoadTime = 72 * time.Second
	// refusalTime is the time for which a ready machine may take no new connection, and minTries the number of
	// clients that must have tried meanwhile.
	refusalTime = 3 * time.Second
	minTries    = 7
)

// attempt is a request on a new connection.
type attempt struct {
	at         time.Time
	isAnswered bool
}

// idleClients send each request on a new connection, which they leave open and use no more.
type idleClients struct {
	mu       sync.Mutex
	conns    []net.Conn
	attempts []attempt
	// misses are the times of the readiness checks that failed.
	misses []time.Time
}

func (c *idleClients) send(s *site, m *machine, t tenant, leavesOpen bool) {
	a := attempt{at: time.Now()}
	id, names := s.newID(), s.protocol.Headers
	s.log("%s sent to %s by %s on a new connection", id, m.name, t.name)
	conn, err := net.DialTimeout("tcp", m.calls, time.Second)
	if err == nil {
		_ = conn.SetDeadline(a.at.Add(clientDeadline))
		_, _ = fmt.Fprintf(conn, "GET /stockdesk-safe/stock HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\n\r\n",
			hostName, names["id"], id, names["deadline"], clientDeadline.Milliseconds(), t.key())
		var resp *http.Response
		if resp, err = http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			a.isAnswered = err == nil
			s.log("%s ends: status %d", id, resp.StatusCode)
		}
	}
	if err != nil {
		s.log("%s ends: %v", id, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts = append(c.attempts, a)
	switch {
	case conn == nil:
	case leavesOpen && a.isAnswered:
		c.conns = append(c.conns, conn)
	default:
		_ = conn.Close()
	}
}

// checkReadiness asks once a second whether the machine is ready, on a kept connection, until done is closed.
func (c *idleClients) checkReadiness(s *site, m *machine, done <-chan struct{}) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{}}
	for {
		at := time.Now()
		resp, err := client.Get("http://" + m.ready + s.protocol.Paths["ready"])
		if err == nil {
			_ = resp.Body.Close()
		}
		if err != nil || resp.StatusCode != http.StatusOK {
			s.log("%s misses a readiness check", m.name)
			c.mu.Lock()
			c.misses = append(c.misses, at)
			c.mu.Unlock()
		}
		select {
		case <-done:
			return
		case <-time.After(time.Until(at.Add(time.Second))):
		}
	}
}

// longestRefusal returns the longest span of time in which no attempt was answered and no readiness check
// failed, and the number of attempts in it.
func (c *idleClients) longestRefusal() (longest time.Duration, tries int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sort.Slice(c.attempts, func(i, j int) bool { return c.attempts[i].at.Before(c.attempts[j].at) })
	for i, first := range c.attempts {
		n := 0
		for _, a := range c.attempts[i:] {
			if a.isAnswered || c.missedBetween(first.at, a.at) {
				break
			}
			n++
			if span := a.at.Sub(first.at); span > longest {
				longest, tries = span, n
			}
		}
	}
	return longest, tries
}

func (c *idleClients) missedBetween(from, to time.Time) bool {
	for _, at := range c.misses {
		if at.After(from.Add(-time.Second)) && at.Before(to) {
			return true
		}
	}
	return false
}

// playIdle lets the clients of a machine open a connection for each request and leave it open.
func playIdle(s *site, hasTrouble bool) (isBroken bool, err error) {
	clerk := tenant{name: "clerk", rate: 400, burst: 400}
	if err := s.configure([]string{"stockdesk", "pricebook"}, []tenant{clerk}); err != nil {
		return false, err
	}
	s.maxFiles = processFiles
	if err := s.start(); err != nil {
		return false, err
	}
	m, c := s.machines[0], &idleClients{}
	done := make(chan struct{})
	go c.checkReadiness(s, m, done)
	var wait sync.WaitGroup
	start := time.Now()
	for i := 0; time.Since(start) < idleLoadTime; i++ {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c.send(s, m, clerk, hasTrouble)
		}()
		time.Sleep(time.Until(start.Add(time.Duration(i+1) * time.Second / newPerSecond)))
	}
	wait.Wait()
	close(done)
	longest, tries := c.longestRefusal()
	s.report("%d requests on new connections, %d connections left open; for %.1f s the ready machine answered none of %d",
		len(c.attempts), len(c.conns), longest.Seconds(), tries)
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	return longest > refusalTime && tries >= minTries, nil
}
