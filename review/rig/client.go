package main

import (
	"context"
	"io"
	"math/rand"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// answer is what a client has received.
type answer struct {
	id      string
	entry   *machine
	tenant  string
	path    string
	sentAt  time.Time
	endedAt time.Time
	// status is 0 if there was no answer. isWhole means that the body came to its end.
	status  int
	isWhole bool
	bytes   int64
	err     error
}

func (a *answer) took() time.Duration { return a.endedAt.Sub(a.sentAt) }

// send sends a request to the client's own machine and waits for the answer until the deadline.
func (s *site) send(m *machine, t tenant, method, path string) *answer {
	a := &answer{id: s.newID(), entry: m, tenant: t.name, path: path, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.calls+path, nil)
	if err != nil {
		a.err, a.endedAt = err, time.Now()
		return a
	}
	// With a body of its own, the transport does not send the request a second time by itself.
	req.Body, req.ContentLength = io.NopCloser(emptyBody{}), 0
	req.Host = hostName
	req.Header.Set(s.protocol.Headers["id"], a.id)
	req.Header.Set(s.protocol.Headers["deadline"], strconv.FormatInt(clientDeadline.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer "+t.key())
	s.log("%s sent to %s by %s: %s %s", a.id, m.name, t.name, method, path)
	resp, err := m.client.Do(req)
	if err == nil {
		a.status = resp.StatusCode
		a.bytes, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		a.isWhole = err == nil
	}
	a.err, a.endedAt = err, time.Now()
	s.log("%s ends after %d ms: status %d, %d bytes, whole %v, error %v", a.id, a.took().Milliseconds(), a.status, a.bytes, a.isWhole, a.err)
	return a
}

type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// load sends requests at random times until done is closed, and collects the answers.
type load struct {
	mu      sync.Mutex
	answers []*answer
	wait    sync.WaitGroup
}

func (l *load) run(s *site, m *machine, t tenant, path string, perSecond float64, done <-chan struct{}) {
	l.wait.Add(1)
	go func() {
		defer l.wait.Done()
		next := time.Now()
		for {
			next = next.Add(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
			select {
			case <-done:
				return
			case <-time.After(time.Until(next)):
			}
			if !m.takesClients() {
				continue
			}
			l.wait.Add(1)
			go func() {
				defer l.wait.Done()
				a := s.send(m, t, http.MethodGet, path)
				l.mu.Lock()
				defer l.mu.Unlock()
				l.answers = append(l.answers, a)
			}()
		}
	}()
}
