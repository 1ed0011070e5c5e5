package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	uploads     = 4
	uploadBytes = 120_000
	// firstBytes is what an endpoint that reads slowly reads at once. The rest follows after workTime.
	firstBytes = 8 << 10
	workTime   = 2200 * time.Millisecond
)

// playSlowUpload sends reservations with bodies, and stops the clients' node by SIGTERM while endpoints work on
// them. With the disruption, endpoints read the bodies slowly.
func playSlowUpload(s *site, trouble bool) ([]string, error) {
	entry := s.nodes[0]
	first := int64(uploadBytes)
	if trouble {
		first = firstBytes
	}
	var working sync.WaitGroup
	for _, n := range s.nodes {
		n.endpoint.work = func(e *endpoint, w http.ResponseWriter, r *http.Request) {
			working.Add(1)
			defer working.Done()
			s.readLate(e, w, r, first)
		}
	}
	var (
		mu     sync.Mutex
		broken []string
		wg     sync.WaitGroup
	)
	for range uploads {
		q := request{id: s.newID(), method: http.MethodPost, path: "/reserve/lot", deadline: routeLimit, length: uploadBytes}
		wg.Add(1)
		go func() {
			defer wg.Done()
			start := time.Now()
			got := s.send(entry, q)
			took := time.Since(start)
			if got.status == http.StatusOK && got.isWhole && got.body == bodyOf(q.id, 0) || took >= q.deadline {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			broken = append(broken, fmt.Sprintf("LOST: the endpoint was at work on %s, and its client got %d without the endpoint's signature %q after %.1f s of %.0f s (%v)",
				q.id, got.status, got.signature, took.Seconds(), q.deadline.Seconds(), got.err))
		}()
	}
	time.Sleep(200 * time.Millisecond)
	entry.signal(syscall.SIGTERM, true)
	wg.Wait()
	working.Wait()
	return broken, nil
}

// readLate works on a request, and reads only the first bytes of its body before.
func (s *site) readLate(e *endpoint, w http.ResponseWriter, r *http.Request, first int64) {
	id := r.Header.Get(header("id"))
	count, err := io.CopyN(io.Discard, r.Body, first)
	s.record.note("the endpoint of %s has read %d bytes of %s and works on it, error %v", e.n.name, count, id, err)
	time.Sleep(workTime)
	rest, err := io.Copy(io.Discard, r.Body)
	s.record.note("the endpoint of %s has read %d bytes of %s and answers, error %v", e.n.name, count+rest, id, err)
	if err == nil {
		answer(w, r, id)
	}
}
