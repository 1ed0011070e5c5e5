// Package world holds the ids, units and plain objects that all other packages
// share: failure domains, VMs, customers, routes, calls and replies.
//
// # Usage
//
//	call := world.Call{Route: "lotbook.reserve", Importance: world.ImportanceCritical}
//	if call.HasKey() { ... }
//
// The package has no behaviour that depends on time, randomness or input/output.
package world

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Errors of a call that ended without a reply.
var (
	// ErrNotSent means that no byte of the call left.
	ErrNotSent = errors.New("call was not sent")
	// ErrBroken means that the connection failed after the call was sent.
	ErrBroken = errors.New("connection broke before the whole answer came")
)

// Ids of the objects of a fleet.
type (
	// DomainID names a failure domain.
	DomainID string
	// NodeID names a node, which is the name of its VM's slot.
	NodeID string
	// ServiceID names a service.
	ServiceID string
	// CustomerID names a customer.
	CustomerID string
	// RouteID names a route of a service.
	RouteID string
	// RequestID names one whole request, the same at each of its hops.
	RequestID string
	// Address is a host:port with a numeric host.
	Address string
	// Epoch counts the terms of a failure domain.
	Epoch uint64
	// ConfigVersion counts the versions of the configuration object.
	ConfigVersion uint64
	// Grade orders calls by importance where routes and customers have ranks: 0 is the
	// least important.
	Grade int
	// InstanceID names one upstream process; a new process mostly has a new one.
	InstanceID string
	// Rank orders routes and customers: 0 is served first.
	Rank int
)

// Importance orders routes for load shedding. A higher value is shed later.
type Importance uint8

// Importance classes, least important first.
const (
	ImportanceInternal Importance = iota
	ImportanceBrowse
	ImportanceLookup
	ImportanceCritical
	importanceCount
)

// ImportanceCount is the number of importance classes.
const ImportanceCount = int(importanceCount)

var importanceNames = [ImportanceCount]string{"internal", "browse", "lookup", "critical"}

// String returns the name that settings and commands use.
func (i Importance) String() string {
	if int(i) < len(importanceNames) {
		return importanceNames[i]
	}
	return "unknown"
}

// ParseImportance returns the class with the given name.
func ParseImportance(name string) (Importance, bool) {
	for i, candidate := range importanceNames {
		if candidate == name {
			return Importance(i), true
		}
	}
	return 0, false
}

// Run says whether an upstream can have seen a call.
type Run uint8

// Values of Run. RunNo is a promise: no upstream received a byte of the call.
const (
	RunDone Run = iota
	RunNo
	RunMaybe
)

// String returns the value of the `run` member of a refusal.
func (r Run) String() string {
	switch r {
	case RunNo:
		return "no"
	case RunMaybe:
		return "maybe"
	default:
		return "done"
	}
}

// Code is the machine-readable reason of a refusal.
type Code string

// Refusal codes. docs/metrics.md lists them with their meaning.
const (
	CodeNone               Code = ""
	CodeUnknownKey         Code = "unknownKey"
	CodeUnknownRoute       Code = "unknownRoute"
	CodeNotReady           Code = "notReady"
	CodeOverRate           Code = "overRate"
	CodePressure           Code = "pressure"
	CodeQueueFull          Code = "queueFull"
	CodeQueueTimeout       Code = "queueTimeout"
	CodeDeadline           Code = "deadline"
	CodeCancelled          Code = "cancelled"
	CodeNoEndpoint         Code = "noEndpoint"
	CodeDraining           Code = "draining"
	CodeStopping           Code = "stopping"
	CodeUnreachable        Code = "unreachable"
	CodeUpstreamFailed     Code = "upstreamFailed"
	CodeUpstreamShed       Code = "upstreamShed"
	CodeAnswerCut          Code = "answerCut"
	CodeHomeUnreachable    Code = "homeUnreachable"
	CodeMayHaveRun         Code = "mayHaveRun"
	CodeKeyInvalid         Code = "idempotencyKeyInvalid"
	CodeKeyReused          Code = "idempotencyKeyReused"
	CodeStaleEpoch         Code = "staleEpoch"
	CodeQuarantined        Code = "quarantined"
	CodeBadRequest         Code = "badRequest"
	CodeBodyTooLarge       Code = "bodyTooLarge"
	CodeConfigurationStale Code = "configurationStale"
	CodeStaleInstance      Code = "staleInstance"
)

// Call is one request at one hop. It is not changed after it was handed on.
type Call struct {
	ID         RequestID
	Customer   CustomerID
	Service    ServiceID
	Route      RouteID
	Importance Importance
	// Deadline is an instant of the local timer service.
	Deadline time.Duration
	// Budget is the number of retries that the call and all calls below it may make.
	Budget     int
	Idempotent bool
	// Key is the caller's idempotency key, empty if there is none.
	Key string
	// Home and Epoch name the term that granted the idempotency record.
	Home  DomainID
	Epoch Epoch
	// Fingerprint identifies requests with the same effect on an upstream.
	Fingerprint uint64

	// Host is the host that the call was made to, where routes depend on it.
	Host string
	// Caller is the service whose VM the call began on.
	Caller ServiceID
	// Grade orders the call among others.
	Grade Grade
	// TieBreaker, in [0, 1), orders the call among those of its grade; the highest goes first.
	// It is drawn once for a caller's request, so that where not all calls are served, the
	// same requests lose theirs.
	TieBreaker float64
	// Target is the instant until which an answer is of full use, 0 if there is none.
	Target time.Duration

	Method string
	Path   string
	Header http.Header
	Body   []byte
	// Rest is what follows Body, if the body was not read whole. It is read once,
	// so such a call is sent once.
	Rest io.Reader
	// Length is the length of the whole body, or -1 if only its end will tell. It
	// counts only together with Rest.
	Length int64
}

// HasKey reports whether an idempotency record guards the call.
func (c *Call) HasKey() bool { return !c.Idempotent && c.Key != "" }

// Reply is the complete answer to a call, or a refusal when Code is set.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Rest is what follows Body, if the body was not read whole. Its reader closes it.
	Rest io.ReadCloser
	// Length is the length of the whole body, or -1 if only its end will tell. It
	// counts only together with Rest.
	Length     int64
	Code       Code
	Run        Run
	RetryAfter time.Duration
	// BudgetLeft is the unused part of the call's retry budget.
	BudgetLeft int
	// Level is the admission level of the most loaded service at or below the sender.
	Level float64
	// Load is the sender's number of calls in flight and queued, Limit its concurrency limit.
	Load  int
	Limit int
	// Draining tells the receiver to send no further calls to the sender.
	Draining bool
	// Final forbids any retry.
	Final bool
	// AlternativeAddress is a public address where the call could succeed, if one is known.
	AlternativeAddress Address
}

// IsRefusal reports whether the reply was made by a node rather than an upstream.
func (r *Reply) IsRefusal() bool { return r.Code != CodeNone }

// IsSuccess reports whether the reply is a complete answer without a server error.
func (r *Reply) IsSuccess() bool {
	return r.Code == CodeNone && r.Status < http.StatusInternalServerError
}

// Refuse builds a refusal.
func Refuse(status int, code Code, run Run, retryAfter time.Duration) *Reply {
	return &Reply{Status: status, Code: code, Run: run, RetryAfter: retryAfter}
}
