// Package world defines the ids, enumerations and plain data types that all other packages
// share: failure domains, VMs, customers, routes, calls and replies.
//
// # Usage
//
//	call := world.Call{Route: "lotbook.reserve", Importance: world.ImportanceCritical}
//	if call.HasKey() { ... }
//
// Nothing in the package depends on time, randomness or I/O.
package world

import (
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Errors of a call that ended without a complete reply.
var (
	// ErrNotSent means that no byte of the call was sent.
	ErrNotSent = errors.New("call was not sent")
	// ErrBroken means that the connection failed after the call was sent.
	ErrBroken = errors.New("connection failed before the complete response was received")
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
	// RequestID identifies a request. It is the same for all calls made on its behalf.
	RequestID string
	// Address is a host:port pair with a numeric host.
	Address string
	// Epoch numbers the leadership terms of a failure domain.
	Epoch uint64
	// ConfigVersion is the version number of the configuration object.
	ConfigVersion uint64
	// Grade is the combined importance of a call where routes and customers have ranks: 0 is
	// the least important.
	Grade int
	// InstanceID identifies one upstream process. A new process usually has a new one.
	InstanceID string
	// Rank is the priority of a route or customer: 0 is served first.
	Rank int
)

// Importance is the load shedding priority of a route. Routes with a higher value are shed
// later.
type Importance uint8

// RegionID names a region, a group of failure domains.
type RegionID string

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

// String returns the name used in settings and commands.
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

// Run tells whether an upstream can have received a call.
type Run uint8

// Values of Run. RunNo guarantees that no upstream received a byte of the call.
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

// Refusal codes, described in docs/metrics.md.
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
	CodeEvacuated          Code = "evacuated"
)

// CallLimit is a call limit that an upstream instance has named.
type CallLimit struct {
	Instance InstanceID
	// CallsPerSecond is what the instance takes from all nodes together.
	CallsPerSecond float64
}

// Call is one request from one node to the next, or from a node to its upstream. It is not
// modified after it was passed on.
type Call struct {
	ID         RequestID
	Customer   CustomerID
	Service    ServiceID
	Route      RouteID
	Importance Importance
	// Deadline is an instant of the local timer.Service.
	Deadline time.Duration
	// Budget is the number of retries that the call and all its downstream calls may make.
	Budget     int
	Idempotent bool
	// Key is the caller's idempotency key, empty if there is none.
	Key string
	// Home and Epoch identify the leadership term in which the idempotency record was granted.
	Home  DomainID
	Epoch Epoch
	// Fingerprint identifies requests with the same effect on an upstream.
	Fingerprint uint64

	// Host is the requested host, set where routes depend on it.
	Host string
	// Caller is the service on whose VM the call originated.
	Caller ServiceID
	// Grade is the combined importance of the call.
	Grade Grade
	// TieBreaker, in [0, 1), orders calls of the same grade; the highest goes first. It is
	// chosen at random once per client request, so that under overload all services shed the
	// calls of the same requests.
	TieBreaker float64
	// Target is the instant until which a response has its full value, 0 if there is none.
	Target time.Duration
	// CallLimit is the limit of the endpoint's upstream that the sender knows of, nil if it knows none.
	CallLimit *CallLimit

	Method string
	Path   string
	Header http.Header
	Body   []byte
	// Rest is the remainder of the body after Body, if the body was not read completely.
	// It can be read only once, so such a call is sent only once.
	Rest io.Reader
	// Length is the length of the complete body, or -1 if it is not known in advance. It is
	// valid only together with Rest.
	Length int64
}

// HasKey reports whether the call is protected by an idempotency record.
func (c *Call) HasKey() bool { return !c.Idempotent && c.Key != "" }

// UpstreamNotice is what an upstream's answer says about the upstream itself.
type UpstreamNotice struct {
	// HasCallLimit means that the upstream takes no more than CallLimit calls per second from all nodes
	// together, for as long as its answers say so.
	HasCallLimit bool
	CallLimit    float64
	// IsLeaving means that the upstream will end and takes no new calls.
	IsLeaving bool
}

// maxRetryAfter bounds what an upstream may tell callers to wait.
const maxRetryAfter = 30 * time.Second

// ParseRetryAfter parses the time in seconds after which an upstream that refused a call takes it. It returns 0
// if the value is no such time.
func ParseRetryAfter(value string) time.Duration {
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// ParseNotice parses the header values in which an upstream names a call limit and says that it leaves. A
// malformed limit is ignored.
func ParseNotice(callLimit, leaving string) *UpstreamNotice {
	notice := &UpstreamNotice{IsLeaving: leaving == "1"}
	limit, err := strconv.ParseFloat(callLimit, 64)
	if err == nil && limit >= 0 && !math.IsInf(limit, 0) {
		notice.HasCallLimit, notice.CallLimit = true, limit
	}
	return notice
}

// Reply is the response to a call, or a refusal if Code is set.
type Reply struct {
	Status int
	Header http.Header
	// Notice is nil if no upstream made the answer, or another one than the call was for.
	Notice *UpstreamNotice
	Body   []byte
	// Rest is the remainder of the body after Body, if the body was not read completely.
	// The receiver of the reply closes it.
	Rest io.ReadCloser
	// Length is the length of the complete body, or -1 if it is not known in advance. It is
	// valid only together with Rest.
	Length     int64
	Code       Code
	Run        Run
	RetryAfter time.Duration
	// BudgetLeft is the unused part of the call's retry budget.
	BudgetLeft int
	// Level is the admission level of the most loaded service at or below the sender.
	Level float64
	// Load is the number of calls in flight and queued at the sender, Limit its concurrency
	// limit.
	Load  int
	Limit int
	// Draining tells the receiver to send no further calls to the sender.
	Draining bool
	// Final means that the call must not be retried.
	Final bool
	// AlternativeAddress is a public address at which the call could succeed, if one is known.
	AlternativeAddress Address
}

// IsRefusal reports whether the reply was made by a node and not by an upstream.
func (r *Reply) IsRefusal() bool { return r.Code != CodeNone }

// IsSuccess reports whether the reply is neither a refusal nor a server error.
func (r *Reply) IsSuccess() bool {
	return r.Code == CodeNone && r.Status < http.StatusInternalServerError
}

// Refuse returns a refusal.
func Refuse(status int, code Code, run Run, retryAfter time.Duration) *Reply {
	return &Reply{Status: status, Code: code, Run: run, RetryAfter: retryAfter}
}
