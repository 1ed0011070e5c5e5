package mesh

import (
	"hash/fnv"
	"io"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"wagtailyoke/core/event"
	"wagtailyoke/core/world"
)

const (
	// unansweredTime is how long before the end of the upstream a run may have ended
	// without an answer and still have caused it: an upstream may work on at what was
	// given up.
	unansweredTime = 500 * time.Millisecond
	// rebirthTime is the same where the end shows only by the heartbeat of the next
	// process, which takes some seconds to start.
	rebirthTime = 10 * time.Second
	// mostUnanswered bounds the runs that are kept for that.
	mostUnanswered = 256
	// mostLogged bounds the fingerprints in a line of the log.
	mostLogged = 16
)

// lives tells under which runs a process of the upstream has ended. A connection that breaks
// does not show it: upstreams break off single answers too.
type lives struct {
	mu sync.Mutex
	// life counts the processes that have ended.
	life    uint64
	running map[*run]struct{}
	// unanswered are the runs of this life that ended without an answer, oldest first.
	unanswered []unanswered
	probing    bool
}

type unanswered struct {
	fingerprint uint64
	at          time.Duration
}

func (l *lives) begin(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running == nil {
		l.running = map[*run]struct{}{}
	}
	r.life = l.life
	l.running[r] = struct{}{}
}

func (l *lives) ended(r *run, isAnswered bool, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.running, r)
	if isAnswered || r.life != l.life {
		return
	}
	l.unanswered = append(l.unanswered, unanswered{fingerprint: r.call.Fingerprint, at: now})
	if excess := len(l.unanswered) - mostUnanswered; excess > 0 {
		l.unanswered = l.unanswered[excess:]
	}
}

// beginProbe reports whether it is to be looked whether the process of a life lives on.
func (l *lives) beginProbe(life uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if life != l.life || l.probing || len(l.running)+len(l.unanswered) == 0 {
		return false
	}
	l.probing = true
	return true
}

func (l *lives) endProbe() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.probing = false
}

// end ends a life, if it has not ended before, and returns the fingerprints of the runs
// under which it did: those running, and those that ended without an answer since an instant.
func (l *lives) end(life uint64, since time.Duration) []uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if life != l.life {
		return nil
	}
	seen := map[uint64]bool{}
	for r := range l.running {
		seen[r.call.Fingerprint] = true
	}
	for _, u := range l.unanswered {
		if u.at >= since {
			seen[u.fingerprint] = true
		}
	}
	l.life++
	l.unanswered = nil
	return slices.Sorted(maps.Keys(seen))
}

func (l *lives) current() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.life
}

// lookAtUpstream looks whether the upstream has ended, since a run on it broke.
func (n *Node) lookAtUpstream(life uint64) {
	if !n.lives.beginProbe(life) {
		return
	}
	n.Upstream.Probe(func(isGone bool) {
		n.lives.endProbe()
		if isGone {
			n.upstreamEnded(life, n.Clock.Now()-unansweredTime)
		}
	})
}

// upstreamEnded takes in that a process of the upstream has ended. One that was leaving was
// to end.
func (n *Node) upstreamEnded(life uint64, since time.Duration) {
	fingerprints := n.lives.end(life, since)
	if len(fingerprints) == 0 || n.upstream.isLeaving() {
		return
	}
	n.Metrics.Crashed()
	n.quarantine.RecordCrash(n.drawID(), fingerprints)
	n.exchangeSoon()
	n.noteBans(foundHere)
	n.keeper.found()
	n.Events.Log(event.UpstreamSuspected, event.Field{Name: "calls", Value: len(fingerprints)},
		event.Field{Name: "fingerprints", Value: formatFingerprints(fingerprints)})
}

func formatFingerprint(f uint64) string { return strconv.FormatUint(f, 16) }

func formatFingerprints(list []uint64) []string {
	var texts []string
	for _, f := range list[:min(len(list), mostLogged)] {
		texts = append(texts, formatFingerprint(f))
	}
	return texts
}

// fingerprintOf tells a request that comes again: each attempt has an id of its own, but
// customer, method, host, path and body stay.
func fingerprintOf(c *world.Call) uint64 {
	h := fnv.New64a()
	for _, part := range []string{string(c.Customer), c.Method, c.Host, c.Path} {
		_, _ = io.WriteString(h, part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.Body)
	return h.Sum64()
}
