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
	// unansweredSuspectWindow is how long before the end of the upstream an execution may have
	// ended without an answer and still count as a possible cause: an upstream may continue to work
	// on abandoned calls.
	unansweredSuspectWindow = 500 * time.Millisecond
	// restartSuspectWindow is the same if the end is detected only by the heartbeat of the next
	// process, which takes some seconds to start.
	restartSuspectWindow = 10 * time.Second
	// maxUnanswered bounds the executions that are recorded for that.
	maxUnanswered = 256
	// maxLoggedFingerprints bounds the fingerprints in a log line.
	maxLoggedFingerprints = 16
)

// crashDetector determines which executions were in flight when a process of the upstream ended. A
// broken connection alone does not show that the process has ended: upstreams also break off single
// answers.
type crashDetector struct {
	mu sync.Mutex
	// generation counts the processes that have ended.
	generation uint64
	running    map[*execution]struct{}
	// unanswered holds the executions of this generation that ended without an answer, oldest first.
	unanswered []unansweredExecution
	probing    bool
}

type unansweredExecution struct {
	fingerprint uint64
	at          time.Duration
}

func (d *crashDetector) executionStarted(e *execution) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.running == nil {
		d.running = map[*execution]struct{}{}
	}
	e.generation = d.generation
	d.running[e] = struct{}{}
}

func (d *crashDetector) executionEnded(e *execution, isAnswered bool, now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.running, e)
	if isAnswered || e.generation != d.generation {
		return
	}
	d.unanswered = append(d.unanswered, unansweredExecution{fingerprint: e.call.Fingerprint, at: now})
	if excess := len(d.unanswered) - maxUnanswered; excess > 0 {
		d.unanswered = d.unanswered[excess:]
	}
}

// beginProbe reports whether to probe the process of a generation.
func (d *crashDetector) beginProbe(generation uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if generation != d.generation || d.probing || len(d.running)+len(d.unanswered) == 0 {
		return false
	}
	d.probing = true
	return true
}

func (d *crashDetector) endProbe() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.probing = false
}

// endGeneration ends a generation, unless it has ended already, and returns the fingerprints of the
// executions that may have caused the end: those in flight, and those that ended without an answer at
// or after the given time.
func (d *crashDetector) endGeneration(generation uint64, since time.Duration) []uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if generation != d.generation {
		return nil
	}
	fingerprints := map[uint64]bool{}
	for e := range d.running {
		fingerprints[e.call.Fingerprint] = true
	}
	for _, u := range d.unanswered {
		if u.at >= since {
			fingerprints[u.fingerprint] = true
		}
	}
	d.generation++
	d.unanswered = nil
	return slices.Sorted(maps.Keys(fingerprints))
}

func (d *crashDetector) currentGeneration() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.generation
}

// probeUpstream checks whether the upstream has ended, after an execution in it has failed.
func (n *Node) probeUpstream(generation uint64) {
	if !n.crashDetector.beginProbe(generation) {
		return
	}
	n.Upstream.Probe(func(isGone bool) {
		n.crashDetector.endProbe()
		if isGone {
			n.suspectRestart()
			n.handleUpstreamEnd(generation, n.Clock.Now()-unansweredSuspectWindow)
		}
	})
}

// handleUpstreamEnd processes the end of a process of the upstream. The end of a process that was
// leaving is expected.
func (n *Node) handleUpstreamEnd(generation uint64, since time.Duration) {
	fingerprints := n.crashDetector.endGeneration(generation, since)
	if len(fingerprints) == 0 || n.upstreamTracker.isLeaving() {
		return
	}
	n.Metrics.Crashed()
	n.quarantine.RecordCrash(n.randomID(), fingerprints)
	n.exchangeSoon()
	n.logNewBans(banSourceUpstream)
	n.quarantineStore.persistAtOnce()
	n.Events.Log(event.UpstreamSuspected, event.Field{Name: "calls", Value: len(fingerprints)},
		event.Field{Name: "fingerprints", Value: formatFingerprints(fingerprints)})
}

func formatFingerprint(f uint64) string { return strconv.FormatUint(f, 16) }

func formatFingerprints(list []uint64) []string {
	var texts []string
	for _, f := range list[:min(len(list), maxLoggedFingerprints)] {
		texts = append(texts, formatFingerprint(f))
	}
	return texts
}

// fingerprintOf returns a hash that identifies repeated attempts of a request: each attempt has its own
// ID, but customer, method, host, path and body stay the same.
func fingerprintOf(c *world.Call) uint64 {
	h := fnv.New64a()
	for _, part := range []string{string(c.Customer), c.Method, c.Host, c.Path} {
		_, _ = io.WriteString(h, part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.Body)
	return h.Sum64()
}
