package proc

import (
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"wagtailyoke/core/timer"
)

const (
	// idleCheckInterval is how often connections that are idle too long are closed.
	idleCheckInterval = time.Second
	// reservedFiles are the descriptors that are not available to sockets.
	reservedFiles = 200
	// idleFileFraction is the fraction of the other descriptors that idle connections of callers may take.
	idleFileFraction = 0.5
)

// idleConns closes the idle connections of a server: those that are idle longer than operators allow, and the ones
// idle for longest if there are too many for the process's descriptors.
type idleConns struct {
	clock timer.Service
	// timeout returns how long a connection may be idle.
	timeout func() time.Duration
	maxIdle int

	mu    sync.Mutex
	since map[net.Conn]time.Duration
}

// limitIdle makes a server close its idle connections.
func limitIdle(server *http.Server, clock timer.Service, timeout func() time.Duration, maxIdle int) {
	i := &idleConns{clock: clock, timeout: timeout, maxIdle: maxIdle, since: map[net.Conn]time.Duration{}}
	server.ConnState = i.setState
	timer.Every(clock, idleCheckInterval, i.closeExpired)
}

// maxIdleConns returns the number of idle connections that the limit of descriptors allows.
func maxIdleConns() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return reservedFiles
	}
	return max(int(idleFileFraction*(float64(limit.Cur)-reservedFiles)), 1)
}

func (i *idleConns) setState(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state != http.StateIdle {
		delete(i.since, c)
		return
	}
	i.since[c] = i.clock.Now()
	if len(i.since) > i.maxIdle {
		i.closeOldestLocked()
	}
}

func (i *idleConns) closeOldestLocked() {
	var oldest net.Conn
	for c, since := range i.since {
		if oldest == nil || since < i.since[oldest] {
			oldest = c
		}
	}
	delete(i.since, oldest)
	_ = oldest.Close()
}

func (i *idleConns) closeExpired() {
	i.mu.Lock()
	defer i.mu.Unlock()
	limit := i.clock.Now() - i.timeout()
	for c, since := range i.since {
		if since <= limit {
			delete(i.since, c)
			_ = c.Close()
		}
	}
}
