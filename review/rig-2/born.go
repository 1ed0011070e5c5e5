package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// clockStep is how far the time of day of a machine is ahead for some seconds.
	clockStep = 2400 * time.Millisecond
	// flapUp and flapDown are how long the endpoint is up and down by turns.
	flapUp, flapDown = 700 * time.Millisecond, 700 * time.Millisecond
	// calm is how long nothing happens before the endpoint leaves: beyond the window after which a machine
	// is in touch.
	calm       = 6 * time.Second
	afterDrain = 4 * time.Second
	sameID     = "i-same"
)

// playClockBack lets an endpoint go down and up under its id while its machine's time of day jumps ahead and back,
// and then drain.
func playClockBack(s *site, trouble bool) ([]string, error) {
	n := s.nodes[0]
	e := n.endpoint
	step := time.Duration(0)
	if trouble {
		step = clockStep
	}
	e.crash()
	time.Sleep(flapDown)
	if err := e.start(sameID, time.Now().Add(step).UnixMilli()); err != nil {
		return nil, err
	}
	s.record.note("the endpoint of %s starts as %s, the time of day is %v ahead; its heartbeat gets %d", n.name, sameID, step, e.beat())
	time.Sleep(flapUp)
	e.crash()
	s.record.note("the endpoint of %s goes down, and the time of day jumps back by %v", n.name, step)
	time.Sleep(flapDown)
	if err := e.start(sameID, time.Now().UnixMilli()); err != nil {
		return nil, err
	}
	s.record.note("the endpoint of %s starts again as %s; its heartbeat gets %d", n.name, sameID, e.beat())
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	for i := range s.nodes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.sendUntil(ctx, s.nodes[i], "/view/")
		}()
	}
	time.Sleep(calm)
	e.setState("draining")
	status := e.beat()
	acked := time.Now()
	s.record.note("the endpoint of %s says that it is draining, and gets %d", n.name, status)
	if status != http.StatusOK {
		return nil, fmt.Errorf("the message that it is draining is answered with %d", status)
	}
	time.Sleep(afterDrain)
	stop()
	wg.Wait()
	var broken []string
	for _, a := range e.arrivalsSince(acked.Add(drainBound)) {
		broken = append(broken, fmt.Sprintf("DRAIN: %s reaches %s %.1f s after its draining was acknowledged", a.id, a.instance, a.at.Sub(acked).Seconds()))
	}
	return broken, nil
}

// setState changes what the endpoint's heartbeats say.
func (e *endpoint) setState(state string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = state
}

// sendUntil sends requests one after the other.
func (s *site) sendUntil(ctx context.Context, n *node, prefix string) {
	for ctx.Err() == nil {
		q := request{id: s.newID(), method: http.MethodGet, deadline: routeLimit}
		q.path = prefix + q.id
		s.send(n, q)
		time.Sleep(50 * time.Millisecond)
	}
}
