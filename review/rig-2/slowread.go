package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Clients that read slowly: nothing for some seconds, as their receive buffer is full, and then the rest.
const (
	slowClients     = 4
	slowAnswerBytes = 120_000
	slowChunk       = 4_000
	slowStart       = 3700 * time.Millisecond
	slowInterval    = 5 * time.Millisecond
	// signalAfter is when SIGTERM follows the requests. They have run and are answered by then.
	signalAfter = 500 * time.Millisecond
)

// playSlowReader lets clients read the answers to reservations slowly while their node is stopped by SIGTERM.
func playSlowReader(s *site, trouble bool) ([]string, error) {
	entry := s.nodes[0]
	if got := s.send(entry, request{id: s.newID(), method: http.MethodPost, path: "/reserve/first", deadline: routeLimit}); got.status != http.StatusOK {
		return nil, fmt.Errorf("status %d before the disruption", got.status)
	}
	var (
		mu     sync.Mutex
		broken []string
		wg     sync.WaitGroup
	)
	for range slowClients {
		q := request{id: s.newID(), method: http.MethodPost, deadline: routeLimit}
		q.path = fmt.Sprintf("/reserve/%s?size=%d", q.id, slowAnswerBytes)
		wg.Add(1)
		go func() {
			defer wg.Done()
			if b := s.readSlowly(entry, q); b != "" {
				mu.Lock()
				broken = append(broken, b)
				mu.Unlock()
			}
		}()
	}
	time.Sleep(signalAfter)
	if trouble {
		ended := entry.signal(syscall.SIGTERM, true)
		go func() {
			<-ended
			s.record.note("the process of %s has ended", entry.name)
		}()
	}
	wg.Wait()
	return broken, nil
}

// readSlowly sends a request and reads the answer slowly. It returns how the rule was broken, if it was. An
// answer that ends at the client's deadline or the route's timeout, which are the same here, is excused.
func (s *site) readSlowly(n *node, q request) string {
	conn, err := dialSlow(n.calls)
	if err != nil {
		return fmt.Sprintf("%s: %v", q.id, err)
	}
	defer func() { _ = conn.Close() }()
	start := time.Now()
	_ = conn.SetDeadline(start.Add(q.deadline))
	s.record.note("client of %s sends %s (%s %s)", n.name, q.id, q.method, q.path)
	if _, err := io.WriteString(conn, q.head()); err != nil {
		return fmt.Sprintf("%s: %v", q.id, err)
	}
	slow := &slowReader{r: conn, chunk: slowChunk, interval: slowInterval, next: start.Add(slowStart)}
	got := readResult(bufio.NewReaderSize(slow, slowChunk), q.method)
	took := time.Since(start)
	s.record.note("client of %s has read %d bytes for %s in %.1f s: status %d, whole %v, error %v", n.name, slow.count, q.id, took.Seconds(), got.status, got.isWhole, got.err)
	if got.isWhole && got.body == bodyOf(q.id, slowAnswerBytes) || took >= q.deadline {
		return ""
	}
	return fmt.Sprintf("LOST: %s was run and answered by an endpoint, and its connection ended after %.1f s of %.0f s with %d of %d bytes",
		q.id, took.Seconds(), q.deadline.Seconds(), len(got.body), slowAnswerBytes)
}
