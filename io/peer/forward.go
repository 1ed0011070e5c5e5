// Package peer transports calls and control messages between nodes. Calls are HTTP
// requests over persistent connections, control messages are drpc calls. Both use one
// listener: a connection that starts with the drpc header is a control connection. With
// Links and Server, each request and each control connection carries the fleet's secret.
//
// # Usage
//
//	links := peer.NewLinks(clock, secret)   // a node.Links
//	server, err := peer.Listen(address, secret, clock, handler)
package peer

import (
	"bytes"
	"context"
	"crypto/subtle"
	"encoding/base64"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"wagtailyoke/core/timer"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
	"wagtailyoke/io/body"
	"wagtailyoke/io/hops"
)

// Headers of the HTTP requests between nodes.
const (
	headerSecret = "Wagtailyoke-Secret"
	headerCall   = "Wagtailyoke-Call"
	headerReply  = "Wagtailyoke-Reply"
)

const (
	dialTimeout = 500 * time.Millisecond
	// forwardIdleTimeout is how long an idle connection for calls stays open.
	forwardIdleTimeout = time.Minute
)

// MaxBodyBytes is the maximum size of a request or response body.
const MaxBodyBytes = 1 << 20

// NewTransport returns an HTTP transport that keeps up to idlePerHost idle connections
// per host. It sends each request once: a resent call would bypass the retry budget and
// could run twice.
func NewTransport(idlePerHost int) *hops.Pool {
	return hops.New(hops.Options{Dial: dialTimeout, Idle: forwardIdleTimeout, IdlePerAddress: idlePerHost, Whole: body.WholeBytes})
}

// RoundTrip sends a request in a new goroutine and reads the complete response. A
// response that is truncated or longer than MaxBodyBytes is an error.
func RoundTrip(t http.RoundTripper, req *http.Request, done func(*http.Response, []byte, error)) (cancel func()) {
	ctx, stop := context.WithCancel(req.Context())
	go func() {
		defer stop()
		resp, err := t.RoundTrip(req.WithContext(ctx))
		if err != nil {
			done(nil, nil, classifyError(err))
			return
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, MaxBodyBytes+1))
		_ = resp.Body.Close()
		if err == nil && len(body) > MaxBodyBytes {
			err = errors.New("response body is longer than 1 MiB")
		}
		if err != nil {
			done(nil, nil, errors.Wrap(world.ErrBroken, err.Error()))
			return
		}
		done(resp, body, nil)
	}()
	return stop
}

func classifyError(err error) error {
	if errors.Is(err, world.ErrNotSent) {
		return err
	}
	return errors.Wrap(world.ErrBroken, err.Error())
}

// Forward implements node.Links.
func (l *Links) Forward(to world.Address, c *world.Call, done func(*world.Reply, error)) (cancel func()) {
	req, err := l.newForward(to, c)
	if err != nil {
		done(nil, errors.Wrap(world.ErrNotSent, err.Error()))
		return func() {}
	}
	return RoundTrip(l.transport, req, func(resp *http.Response, body []byte, err error) {
		if err != nil {
			done(nil, err)
			return
		}
		done(readReply(c.ID, resp.StatusCode, resp.Header, body))
	})
}

func (l *Links) newForward(to world.Address, c *world.Call) (*http.Request, error) {
	req, err := http.NewRequest(c.Method, "http://"+string(to)+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return nil, errors.Wrap(err, "create forwarded request")
	}
	if c.Header != nil {
		req.Header = c.Header.Clone()
	}
	meta, err := proto.Marshal(newCallMeta(c, l.clock))
	if err != nil {
		return nil, errors.Wrap(err, "encode call metadata")
	}
	req.Header.Set(headerCall, base64.StdEncoding.EncodeToString(meta))
	req.Header.Set(headerSecret, l.secret)
	return req, nil
}

func newCallMeta(c *world.Call, clock timer.Service) *wire.CallMeta {
	return &wire.CallMeta{
		RequestId:   string(c.ID),
		Customer:    string(c.Customer),
		Service:     string(c.Service),
		Route:       string(c.Route),
		Importance:  uint32(c.Importance),
		RemainingUs: (c.Deadline - clock.Now()).Microseconds(),
		Budget:      int32(c.Budget),
		Idempotent:  c.Idempotent,
		Key:         c.Key,
		Home:        string(c.Home),
		Epoch:       uint64(c.Epoch),
		Fingerprint: c.Fingerprint,
		Host:        c.Host,
		Caller:      string(c.Caller),
		Grade:       uint32(max(c.Grade, 0)),
		Draw:        float32(c.TieBreaker),
		TargetUs:    remainingTargetUs(c, clock),
		CallLimit:   encodeCallLimit(c.CallLimit),
	}
}

func encodeCallLimit(l *world.CallLimit) *wire.CallLimit {
	if l == nil {
		return nil
	}
	return &wire.CallLimit{Instance: string(l.Instance), CallsPerSecond: l.CallsPerSecond}
}

func remainingTargetUs(c *world.Call, clock timer.Service) int64 {
	if c.Target == 0 {
		return 0
	}
	// 0 means no target, so a target that is reached just now is sent as -1.
	left := (c.Target - clock.Now()).Microseconds()
	if left == 0 {
		return -1
	}
	return left
}

func readReply(id world.RequestID, status int, header http.Header, body []byte) (*world.Reply, error) {
	raw, err := base64.StdEncoding.DecodeString(header.Get(headerReply))
	meta := &wire.ReplyMeta{}
	if err == nil {
		err = proto.Unmarshal(raw, meta)
	}
	if err != nil {
		return nil, errors.Wrap(world.ErrBroken, "reply metadata is missing or malformed")
	}
	if world.RequestID(meta.GetRequestId()) != id {
		return nil, errors.Wrap(world.ErrBroken, "reply belongs to another request")
	}
	header.Del(headerReply)
	return &world.Reply{
		Status:     status,
		Header:     header,
		Body:       body,
		Code:       world.Code(meta.GetCode()),
		Run:        world.Run(meta.GetRun()),
		RetryAfter: time.Duration(meta.GetRetryAfterMs()) * time.Millisecond,
		BudgetLeft: int(meta.GetBudgetLeft()),
		Level:      meta.GetLevel(),
		Load:       int(meta.GetLoad()),
		Limit:      int(meta.GetLimit()),
		Draining:   meta.GetDraining(),
		Final:      meta.GetFinal(),
	}, nil
}

// serveForward serves a call forwarded by another node.
func (s *Server) serveForward(w http.ResponseWriter, r *http.Request) {
	if !sameSecret(r.Header.Get(headerSecret), s.secret) {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	c, err := s.readCall(w, r)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	serveAndWait(r, c, s.handler.ServePeer, func(reply *world.Reply) { writeReply(w, c.ID, reply) })
}

// serveAndWait serves a call and writes its reply. It cancels the call if the forwarding
// node has cancelled the request.
func serveAndWait(r *http.Request, c *world.Call, serve func(*world.Call, func(*world.Reply)) (cancel func()), write func(*world.Reply)) {
	answer := body.NewAnswer()
	cancel := serve(c, answer.Set)
	select {
	case reply := <-answer.Replies():
		write(reply)
	case <-r.Context().Done():
		cancel()
		answer.Abandon()
	}
}

func sameSecret(a, b string) bool { return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1 }

func (s *Server) readCall(w http.ResponseWriter, r *http.Request) (*world.Call, error) {
	c, err := readCallHeader(r, s.clock)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read call body")
	}
	r.Header.Del(headerSecret)
	c.Path = r.URL.RequestURI()
	c.Body = body
	return c, nil
}

// readCallHeader reads a forwarded call except for its path and body.
func readCallHeader(r *http.Request, clock timer.Service) (*world.Call, error) {
	raw, err := base64.StdEncoding.DecodeString(r.Header.Get(headerCall))
	if err != nil {
		return nil, errors.Wrap(err, "decode call metadata")
	}
	meta := &wire.CallMeta{}
	if err := proto.Unmarshal(raw, meta); err != nil {
		return nil, errors.Wrap(err, "decode call metadata")
	}
	r.Header.Del(headerCall)
	now := clock.Now()
	c := &world.Call{
		ID:          world.RequestID(meta.GetRequestId()),
		Customer:    world.CustomerID(meta.GetCustomer()),
		Service:     world.ServiceID(meta.GetService()),
		Route:       world.RouteID(meta.GetRoute()),
		Importance:  world.Importance(meta.GetImportance()),
		Deadline:    now + time.Duration(meta.GetRemainingUs())*time.Microsecond,
		Budget:      int(meta.GetBudget()),
		Idempotent:  meta.GetIdempotent(),
		Key:         meta.GetKey(),
		Home:        world.DomainID(meta.GetHome()),
		Epoch:       world.Epoch(meta.GetEpoch()),
		Fingerprint: meta.GetFingerprint(),
		Host:        meta.GetHost(),
		Caller:      world.ServiceID(meta.GetCaller()),
		Grade:       world.Grade(meta.GetGrade()),
		TieBreaker:  float64(meta.GetDraw()),
		Method:      r.Method,
		Header:      r.Header,
	}
	if l := meta.GetCallLimit(); l != nil {
		c.CallLimit = &world.CallLimit{Instance: world.InstanceID(l.GetInstance()), CallsPerSecond: l.GetCallsPerSecond()}
	}
	if left := meta.GetTargetUs(); left != 0 {
		c.Target = now + time.Duration(left)*time.Microsecond
	}
	return c, nil
}

func writeReply(w http.ResponseWriter, id world.RequestID, r *world.Reply) {
	if err := setReplyHeaders(w.Header(), id, r); err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(r.Body)))
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.Body)
}

// setReplyHeaders sets the headers of a reply, including its encoded wire.ReplyMeta.
func setReplyHeaders(h http.Header, id world.RequestID, r *world.Reply) error {
	meta, err := proto.Marshal(&wire.ReplyMeta{
		RequestId:    string(id),
		Code:         string(r.Code),
		Run:          uint32(r.Run),
		RetryAfterMs: r.RetryAfter.Milliseconds(),
		BudgetLeft:   int32(r.BudgetLeft),
		Level:        r.Level,
		Load:         int32(r.Load),
		Limit:        int32(r.Limit),
		Draining:     r.Draining,
		Final:        r.Final,
	})
	if err != nil {
		return errors.Wrap(err, "encode reply metadata")
	}
	for name, values := range r.Header {
		h[name] = values
	}
	h.Set(headerReply, base64.StdEncoding.EncodeToString(meta))
	return nil
}
