package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	forgedRequests = 20
	forgedPause    = 200 * time.Millisecond
)

// playForgedHeartbeat sends a heartbeat of another writer to a node: its zone and version are missing, and it
// names another service. It names no endpoint to use.
func playForgedHeartbeat(s *site, trouble bool) ([]string, error) {
	entry := s.nodes[0]
	if got := s.send(entry, request{id: s.newID(), method: http.MethodGet, path: "/view/warm", deadline: routeLimit}); got.status != http.StatusOK {
		return nil, fmt.Errorf("status %d before the disruption", got.status)
	}
	if trouble {
		body := map[string]any{
			"service": services[1], "address": entry.upstream, "slots": endpointSlots, "state": "ready", "sequence": 1,
			"born": time.Now().UnixMilli(), names["beat"]["cold"]: 0,
		}
		status := s.tell(entry, "heartbeat", "i-of-another-writer", body)
		s.record.note("%s gets a heartbeat without zone and version: %v, and answers %d", entry.name, body, status)
	}
	time.Sleep(2 * heartbeatInterval)
	from := time.Now()
	for range forgedRequests {
		q := request{id: s.newID(), method: http.MethodPost, path: "/reserve/lot", deadline: routeLimit}
		s.send(entry, q)
		time.Sleep(forgedPause)
	}
	var broken []string
	for _, n := range s.nodes {
		for _, a := range n.endpoint.arrivalsSince(from) {
			if a.caller != entry.service {
				broken = append(broken, fmt.Sprintf("UNASKED: %s of %s runs %s as a request of service %s; it began on a machine of %s", a.instance, n.name, a.id, a.caller, entry.service))
			}
		}
	}
	return broken, nil
}
