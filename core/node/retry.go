package node

import (
	"net/http"

	"wagtailyoke/core/once"
	"wagtailyoke/core/world"
)

func isEndpointFault(r *world.Reply) bool {
	switch r.Code {
	case world.CodeUnreachable, world.CodeUpstreamFailed, world.CodeAnswerCut:
		return true
	case world.CodeNone:
		return r.Status == http.StatusInternalServerError || r.Status == http.StatusBadGateway
	default:
		return false
	}
}

func reasonOf(r *world.Reply) world.Code {
	if r.Code == world.CodeNone {
		return world.CodeUpstreamFailed
	}
	return r.Code
}

// shouldRetry reports whether the call is sent again: the failure must be retryable and
// repeating the call safe. It spends a retry unless the retry is free.
func (p *proxiedRequest) shouldRetry(r *world.Reply) bool {
	if r.Final || !isRetryable(r) {
		return false
	}
	if !p.call.Idempotent && r.Run != world.RunNo {
		return false
	}
	if p.n.quarantine.Status(p.call.Fingerprint) != once.StatusClear {
		return false
	}
	if p.n.Clock.Now() >= p.call.Deadline {
		return false
	}
	if isFreeRetry(r) && len(p.tried) <= freeRetries {
		return true
	}
	return p.n.buckets.of(p.call.Service).Spend() && p.budget.Spend()
}

// freeRetries is the maximum number of free retries per call, see isFreeRetry.
const freeRetries = 1

// isFreeRetry reports whether a retry costs no budget. A draining endpoint did no work
// for the call, hence sending it elsewhere only reroutes it.
func isFreeRetry(r *world.Reply) bool { return r.Code == world.CodeDraining && r.Run == world.RunNo }

func isRetryable(r *world.Reply) bool {
	switch r.Code {
	case world.CodeUnreachable, world.CodeDraining, world.CodeQueueFull, world.CodeUpstreamFailed,
		world.CodeUpstreamShed, world.CodeAnswerCut, world.CodeStaleEpoch:
		return true
	case world.CodeNone:
		return r.Status >= http.StatusInternalServerError
	default:
		return false
	}
}
