// Package httpx implements the HTTP handlers of a node's public, egress and ops listeners
// and its HTTP client for the upstream.
//
// # Usage
//
//	public := httpx.NewFront(n.ServePublic, idle)   // an http.Handler
//	upstream := httpx.NewUpstream("127.0.0.1:9000", clock)
package httpx

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"wagtailyoke/core/node"
	"wagtailyoke/core/world"
	"wagtailyoke/io/body"
	"wagtailyoke/io/peer"
)

// ServeFunc serves a call and passes its reply to done. cancel aborts the call.
type ServeFunc func(in node.Incoming, done func(*world.Reply)) (cancel func())

// Problem is the JSON body of a refusal, as defined in RFC 9457.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Code   string `json:"code"`
	// Run is "no" if no upstream received any byte of the request, else "maybe".
	Run string `json:"run"`
	// Elsewhere is an address where the request may succeed now.
	Elsewhere string `json:"elsewhere,omitempty"`
	// RetryAfterMs is the time to wait before a retry in milliseconds. The Retry-After
	// header has only whole seconds.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
}

// ProblemType is the media type of a refusal.
const ProblemType = "application/problem+json"

const problemBase = "urn:wagtailyoke:refusal:"

var titles = map[world.Code]string{
	world.CodeUnknownKey:         "the key is not known or was withdrawn",
	world.CodeUnknownRoute:       "no public route matches",
	world.CodeNotReady:           "the node has no configuration yet",
	world.CodeOverRate:           "the customer's rate and burst are used up",
	world.CodePressure:           "a service that this route needs is overloaded",
	world.CodeQueueFull:          "the service is overloaded",
	world.CodeQueueTimeout:       "the service is overloaded",
	world.CodeDeadline:           "the deadline passed",
	world.CodeCancelled:          "the caller has gone",
	world.CodeNoEndpoint:         "no endpoint of the service can be used",
	world.CodeDraining:           "the upstream starts or leaves",
	world.CodeStopping:           "the node is about to end",
	world.CodeUnreachable:        "the endpoint could not be reached",
	world.CodeUpstreamFailed:     "the upstream failed during the call",
	world.CodeUpstreamShed:       "the upstream refused the call as overloaded",
	world.CodeAnswerCut:          "the answer was cut short",
	world.CodeHomeUnreachable:    "the failure domain that keeps the idempotency key cannot be reached",
	world.CodeMayHaveRun:         "an earlier request with this idempotency key may have run",
	world.CodeKeyInvalid:         "the idempotency key is too long or lies in the future",
	world.CodeKeyReused:          "the idempotency key was used for another request",
	world.CodeStaleEpoch:         "the permission to run belongs to an earlier term",
	world.CodeQuarantined:        "the request was in flight when upstreams died",
	world.CodeBadRequest:         "the request could not be read",
	world.CodeBodyTooLarge:       "the body is larger than 1 MiB",
	world.CodeEvacuated:          "the failure domain is evacuated",
	world.CodeStaleInstance:      "another upstream has the address",
	world.CodeConfigurationStale: "the node was cut off for longer than its keys may be used",
}

// Titles returns the title of each refusal code.
func Titles() map[world.Code]string { return titles }

// NewFront returns the handler of a public or egress listener. While isStopping returns
// true, replies carry Connection: close.
func NewFront(serve ServeFunc, isStopping func() bool) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	f := &front{serve: serve, isStopping: isStopping}
	engine.NoRoute(f.handle)
	engine.NoMethod(f.handle)
	return engine
}

type front struct {
	serve      ServeFunc
	isStopping func() bool
}

func (f *front) handle(c *gin.Context) {
	data, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, peer.MaxBodyBytes))
	if err != nil {
		writeReply(c.Writer, bodyRefusal(err))
		return
	}
	in := node.Incoming{
		Method:  c.Request.Method,
		Path:    c.Request.URL.RequestURI(),
		Header:  c.Request.Header,
		Body:    data,
		Timeout: timeoutOf(c.Request.Header),
	}
	body.DropHopHeaders(in.Header)
	answered := make(chan *world.Reply, 1)
	cancel := f.serve(in, func(r *world.Reply) { answered <- r })
	select {
	case reply := <-answered:
		if f.isStopping() {
			c.Writer.Header().Set("Connection", "close")
		}
		writeReply(c.Writer, reply)
	case <-c.Request.Context().Done():
		cancel()
	}
}

func bodyRefusal(err error) *world.Reply {
	if _, ok := err.(*http.MaxBytesError); ok {
		return world.Refuse(http.StatusRequestEntityTooLarge, world.CodeBodyTooLarge, world.RunNo, 0)
	}
	return world.Refuse(http.StatusBadRequest, world.CodeBadRequest, world.RunNo, 0)
}

func timeoutOf(h http.Header) time.Duration {
	ms, err := strconv.ParseInt(h.Get(node.HeaderTimeout), 10, 32)
	if err != nil || ms <= 0 {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

func writeReply(w http.ResponseWriter, r *world.Reply) {
	if r.IsRefusal() {
		writeProblem(w, r)
		return
	}
	h := w.Header()
	for name, values := range r.Header {
		h[name] = values
	}
	dropHopHeadersButClose(h)
	h.Set("Content-Length", strconv.Itoa(len(r.Body)))
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.Body)
}

// dropHopHeadersButClose removes the hop-by-hop headers, except for a Connection: close
// that this listener has set.
func dropHopHeadersButClose(h http.Header) {
	wantsClose := h.Get("Connection") == "close"
	body.DropHopHeaders(h)
	if wantsClose {
		h.Set("Connection", "close")
	}
}

func writeProblem(w http.ResponseWriter, r *world.Reply) {
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	writeProblemBody(w, r)
}

func writeProblemBody(w http.ResponseWriter, r *world.Reply) {
	run := r.Run
	if run == world.RunDone {
		run = world.RunMaybe
	}
	writeJSON(w, ProblemType, r.Status, Problem{
		Type:         problemBase + string(r.Code),
		Title:        titles[r.Code],
		Status:       r.Status,
		Code:         string(r.Code),
		Run:          run.String(),
		Elsewhere:    string(r.AlternativeAddress),
		RetryAfterMs: r.RetryAfter.Milliseconds(),
	})
}

func writeJSON(w http.ResponseWriter, mediaType string, status int, content any) {
	w.Header().Set("Content-Type", mediaType)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(content)
}
