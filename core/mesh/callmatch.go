package mesh

import (
	"sync"
	"sync/atomic"
	"time"

	"wagtailyoke/core/graph"
	"wagtailyoke/core/world"
)

// callMatcher finds the execution that a call of the local upstream belongs to. The call does not
// name its execution; its deadline and its time identify it.
//
// Deadline: a call made by an execution usually has the same deadline as the execution, which this
// node set to the millisecond. Calls on routes with a shorter limit do not.
//
// Time: once an execution has the reply to a call, it makes the next call or ends. The calls
// therefore form sequences. The end of an execution shows which sequence was its own, and thereby at
// which age it made its first call. A new sequence is assigned to the execution whose age is nearest
// to that.
type callMatcher struct {
	graph *graph.Learner

	mu         sync.Mutex
	executions map[*execution]struct{}
	// deadlineStats counts, by the route of a call, how often calls share the deadline of an
	// execution.
	deadlineStats map[world.RouteID]*deadlineCounts
	// replies are the last replies to calls, oldest first.
	replies []*lastReply
	// firstCallAges are the typical ages of executions at the start of a call sequence.
	firstCallAges map[firstCall]time.Duration
}

// firstCall is the route of an execution and the route of its first call.
type firstCall struct {
	caller, callee world.RouteID
}

// deadlineCounts counts the calls on a route, and those that share the deadline of an execution more
// often than by chance.
type deadlineCounts struct {
	matching, total float64
}

func (c *deadlineCounts) inheritsDeadline() bool { return c.matching >= minInheritedFraction*c.total }

// callSequence is a sequence of calls of one execution, each made after the reply to the previous
// one.
type callSequence struct {
	parent    *execution
	startedAt time.Duration
	routes    []world.RouteID
	// hasSpentRetry means that a retry was spent on a call of the sequence.
	hasSpentRetry atomic.Bool
}

// lastReply is the reply to the latest call of a sequence.
type lastReply struct {
	at       time.Duration
	sequence *callSequence
	// succeeded means that the call succeeded.
	succeeded bool
	// isConsumed means that another call or the end of an execution followed.
	isConsumed bool
}

const (
	// deadlineTolerance is the maximum difference between the deadlines of a call and of its
	// execution: two roundings to a millisecond, and the round trip to the upstream.
	deadlineTolerance = 2 * time.Millisecond
	// minInheritedFraction is the fraction of the calls on a route that must share the deadline of
	// an execution for the deadline to take precedence over the time.
	minInheritedFraction = 0.5
	// maxDeadlineCount is the number of calls at which the counts are halved, to give recent calls
	// more weight.
	maxDeadlineCount = 200
	// followUpTimeout is the maximum time from a reply to the next step of the execution: the round
	// trip to the upstream.
	followUpTimeout = time.Millisecond
	// firstCallAgeWeight is the weight of a new sample in the typical age at the first call.
	firstCallAgeWeight = 0.1
	// chanceSamples is the number of control samples, taken at shifted times at which only chance
	// produces a match. They are subtracted from the evidence. chanceSampleInterval is the time
	// between them.
	chanceSamples        = 4
	chanceSampleInterval = 5 * time.Millisecond
	// replyTTL is how long replies are kept for the control samples.
	replyTTL = (chanceSamples+1)*chanceSampleInterval + followUpTimeout
)

func newCallMatcher(learner *graph.Learner) *callMatcher {
	return &callMatcher{graph: learner, executions: map[*execution]struct{}{}, deadlineStats: map[world.RouteID]*deadlineCounts{}, firstCallAges: map[firstCall]time.Duration{}}
}

func (m *callMatcher) executionStarted(e *execution) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.executions[e] = struct{}{}
}

// executionEnded removes an execution and learns which calls it made. It reports whether the execution
// ended right after a call had failed.
func (m *callMatcher) executionEnded(e *execution, now time.Duration) (callFailed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.executions, e)
	m.graph.AddExecution(e.call.Route)
	m.dropOldRepliesLocked(now)
	for shift := range chanceSamples + 1 {
		weight := -1.0 / chanceSamples
		if shift == 0 {
			weight = 1
		}
		earliest := now - time.Duration(shift)*chanceSampleInterval - followUpTimeout
		for _, reply := range m.replies {
			if reply.isConsumed || reply.at < earliest || reply.at > earliest+followUpTimeout {
				continue
			}
			callFailed = callFailed || shift == 0 && !reply.succeeded
			for _, route := range reply.sequence.routes {
				m.graph.AddEvidence(graph.EndedAtReply, e.call.Route, route, weight)
			}
		}
	}
	m.learnFirstCallAgeLocked(e, now)
	return callFailed
}

// learnFirstCallAgeLocked learns at which age an ended execution made its first call, provided that
// only one sequence can be its own.
func (m *callMatcher) learnFirstCallAgeLocked(e *execution, now time.Duration) {
	var last *lastReply
	for _, reply := range m.replies {
		if reply.isConsumed || now-reply.at > followUpTimeout || reply.sequence.startedAt < e.startedAt {
			continue
		}
		if last != nil {
			return
		}
		last = reply
	}
	if last == nil {
		return
	}
	last.isConsumed = true
	key := firstCall{caller: e.call.Route, callee: last.sequence.routes[0]}
	age := last.sequence.startedAt - e.startedAt
	old, ok := m.firstCallAges[key]
	if !ok {
		old = age
	}
	m.firstCallAges[key] = old + time.Duration(firstCallAgeWeight*float64(age-old))
}

func (m *callMatcher) dropOldRepliesLocked(now time.Duration) {
	expired := 0
	for expired < len(m.replies) && now-m.replies[expired].at > replyTTL {
		expired++
	}
	m.replies = m.replies[expired:]
}

// matchCall returns the sequence of a call on a route with the given deadline.
func (m *callMatcher) matchCall(route world.RouteID, now, deadline time.Duration) *callSequence {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dropOldRepliesLocked(now)
	counts := m.recordDeadlineLocked(route, deadline)
	byDeadline := m.executionByDeadlineLocked(route, deadline)
	isCertain := byDeadline != nil && counts.inheritsDeadline()
	sequence := m.continuedSequenceLocked(now, byDeadline, isCertain)
	if sequence == nil {
		sequence = &callSequence{parent: byDeadline, startedAt: now}
		if !isCertain {
			if byAge := m.executionByAgeLocked(route, now); byAge != nil {
				sequence.parent = byAge
			}
		}
	}
	sequence.routes = append(sequence.routes, route)
	if sequence.parent != nil {
		sequence.parent.hasMadeCall = true
	}
	return sequence
}

// continuedSequenceLocked returns the sequence that a call continues, if any. If the execution that
// makes the call is certain, it must be the sequence's.
func (m *callMatcher) continuedSequenceLocked(now time.Duration, parent *execution, isCertain bool) *callSequence {
	for _, reply := range m.replies {
		if reply.isConsumed || now-reply.at > followUpTimeout || isCertain && reply.sequence.parent != parent {
			continue
		}
		reply.isConsumed = true
		return reply.sequence
	}
	return nil
}

// callReplied records that the upstream has received the reply to the latest call of a sequence.
func (m *callMatcher) callReplied(sequence *callSequence, now time.Duration, succeeded bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.replies = append(m.replies, &lastReply{at: now, sequence: sequence, succeeded: succeeded})
}

// recordDeadlineLocked counts whether a call shares the deadline of an execution.
func (m *callMatcher) recordDeadlineLocked(route world.RouteID, deadline time.Duration) *deadlineCounts {
	counts := m.deadlineStats[route]
	if counts == nil {
		counts = &deadlineCounts{}
		m.deadlineStats[route] = counts
	}
	weights := map[world.RouteID]float64{}
	for e := range m.executions {
		difference := (deadline - e.upstreamDeadline).Abs()
		if difference <= deadlineTolerance {
			weights[e.call.Route]++
		}
		for shift := range chanceSamples {
			if (difference - time.Duration(shift+2)*chanceSampleInterval).Abs() <= deadlineTolerance {
				// Shifts to both sides of the deadline match here.
				weights[e.call.Route] -= 0.5 / chanceSamples
			}
		}
	}
	for caller, weight := range weights {
		counts.matching += weight
		m.graph.AddEvidence(graph.SameDeadline, caller, route, weight)
	}
	counts.total++
	if counts.total >= maxDeadlineCount {
		counts.total /= 2
		counts.matching /= 2
	}
	return counts
}

// executionByDeadlineLocked returns the execution with the call's deadline, preferably one that is
// known to make such calls.
func (m *callMatcher) executionByDeadlineLocked(route world.RouteID, deadline time.Duration) (best *execution) {
	var distance time.Duration
	bestMakesCall := false
	for e := range m.executions {
		d := (e.upstreamDeadline - deadline).Abs()
		if d > deadlineTolerance {
			continue
		}
		makesCall := m.graph.IsKnownCall(e.call.Route, route)
		if best == nil || makesCall && !bestMakesCall || makesCall == bestMakesCall && e.isCloser(best, d, distance) {
			best, distance, bestMakesCall = e, d, makesCall
		}
	}
	return best
}

// isCloser orders executions by a time difference, then by ID.
func (e *execution) isCloser(other *execution, distance, otherDistance time.Duration) bool {
	return distance < otherDistance || distance == otherDistance && e.call.ID < other.call.ID
}

// executionByAgeLocked returns the execution whose age is nearest to that at which such executions
// make their first call.
func (m *callMatcher) executionByAgeLocked(route world.RouteID, now time.Duration) *execution {
	var best *execution
	var distance time.Duration
	for e := range m.executions {
		if e.hasMadeCall || !m.graph.IsKnownCall(e.call.Route, route) {
			continue
		}
		d := (now - e.startedAt - m.firstCallAges[firstCall{caller: e.call.Route, callee: route}]).Abs()
		if best == nil || e.isCloser(best, d, distance) {
			best, distance = e, d
		}
	}
	return best
}
