// Package hops is an HTTP/1.1 client with a connection pool that matches each response to
// its request. net/http's client may resend a request and accepts the first response on the
// connection. This client sends each request once, reports whether any byte of it was sent,
// and skips responses that belong to other requests. A response that was reset, or that
// net/http accepts although it is not valid HTTP/1.1, is an error.
//
// # Usage
//
//	pool := hops.New(hops.Options{Dial: 300 * time.Millisecond, Matches: isResponseTo})
//	cancel := pool.Do(hops.Request{Address: ..., Method: ...}, func(r *hops.Response, err error) { ... })
//	client := &http.Client{Transport: pool}
//
// Messages are encoded and parsed with net/http.
package hops

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"wagtailyoke/core/world"
)

// Options are the settings of a Pool.
type Options struct {
	// Dial is the timeout for opening a connection.
	Dial time.Duration
	// Idle is how long an idle connection stays open.
	Idle time.Duration
	// IdlePerAddress is the maximum number of idle connections per address.
	IdlePerAddress int
	// Silence is the maximum time that sent bytes may stay unacknowledged.
	Silence time.Duration
	// Whole is the size in bytes up to which a response body is buffered before the
	// response is returned.
	Whole int
	// Matches reports whether a response belongs to the request. Other responses are
	// skipped. If it is nil, all belong.
	Matches func(req *Request, h http.Header) bool
	// Key identifies a request that may be sent again after a response for which IsRefusal is true: one
	// that says that the request was not executed. Both may be nil.
	Key       func(*Request) string
	IsRefusal func(status int, h http.Header) bool
}

// Request is an HTTP request to send.
type Request struct {
	Address string
	Method  string
	// URI is the path and query as received.
	URI    string
	Host   string
	Header http.Header
	// Body is the entire body, or its first part if Rest is set. Length is the length of
	// both, or -1 if unknown.
	Body   []byte
	Rest   io.Reader
	Length int64
}

// Response is an HTTP response. Rest is set if Body holds only the first part of the body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	Rest   io.ReadCloser
	Length int64
}

const (
	// maxSkippedResponses bounds the responses to other requests that one call skips.
	// maxSkippedBodyBytes bounds the body of each. Only a response that is buffered
	// completely may be sent twice, and it is no longer than this.
	maxSkippedResponses = 8
	maxSkippedBodyBytes = 1 << 20
	// maxRefusedPerConn is the number of refused requests after which a connection is closed.
	maxRefusedPerConn = 64
	// maxErrorBytes bounds the text of an error, which is logged.
	maxErrorBytes = 200
	// MaxHeadBytes bounds the status line and headers of a response. Servers usually send
	// a few KiB, and each call in progress may buffer up to this limit.
	MaxHeadBytes = 64 << 10
)

// Errors of a call.
var (
	errCancelled          = errors.New("call was cancelled")
	errTooManySkipped     = errors.New("too many responses to other requests")
	errSkippedBodyTooLong = errors.Errorf("body of a response to another request is longer than %d bytes", maxSkippedBodyBytes)
	errShortBody          = errors.New("request body is shorter than its length")
	// ErrHeadTooLong means that a response head is longer than MaxHeadBytes.
	ErrHeadTooLong = errors.Errorf("response head is longer than %d bytes", MaxHeadBytes)
)

// Pool sends requests and holds the idle connections for reuse.
type Pool struct {
	options Options
	dialer  *net.Dialer

	mu   sync.Mutex
	idle map[string][]*conn
}

// New returns an empty pool.
func New(o Options) *Pool {
	return &Pool{options: o, dialer: NewDialer(o.Dial, o.Silence), idle: map[string][]*conn{}}
}

// conn is a connection of a pool.
type conn struct {
	*resetConn
	r *bufio.Reader
	w *bufio.Writer
	// expiresAt is the time until which the connection may be reused when idle: the server
	// may close it afterwards, or Options.Idle has passed.
	expiresAt time.Time
	// refused holds the keys of the requests that were refused on the connection. The server may repeat a
	// refusal at any later time, so these requests must not be sent on it again.
	refused []string
	// headLeft is the number of bytes that may still be read of the current response
	// head, if inHead is set.
	headLeft int
	inHead   bool
	// head holds the bytes read since the current response head began.
	head []byte
}

// Read limits and records the bytes read while a response head is parsed.
func (c *conn) Read(p []byte) (int, error) {
	if !c.inHead {
		return c.resetConn.Read(p)
	}
	if c.headLeft <= 0 {
		return 0, ErrHeadTooLong
	}
	n, err := c.resetConn.Read(p[:min(len(p), c.headLeft)])
	c.headLeft -= n
	c.head = append(c.head, p[:n]...)
	return n, err
}

// readResponse parses a response head of at most MaxHeadBytes.
func (c *conn) readResponse(req *http.Request) (*http.Response, error) {
	buffered, err := c.r.Peek(c.r.Buffered())
	if err != nil {
		return nil, err
	}
	c.head = slices.Clone(buffered)
	c.inHead, c.headLeft = true, MaxHeadBytes
	defer func() { c.inHead, c.head = false, nil }()
	resp, err := http.ReadResponse(c.r, req)
	if err != nil {
		return nil, err
	}
	if err := checkHead(c.head[:len(c.head)-c.r.Buffered()]); err != nil {
		return nil, err
	}
	if len(resp.TransferEncoding) > 0 && resp.Body != http.NoBody {
		resp.Body = newChunkedBody(c.r)
	}
	return resp, nil
}

// call is the state of a request in progress.
type call struct {
	mu        sync.Mutex
	conn      *conn
	cancelled bool
	finished  bool
}

// Do sends a request in a new goroutine and calls done exactly once. cancel aborts the call;
// it has no effect once the response has been read completely, including Rest.
func (p *Pool) Do(req Request, done func(*Response, error)) (cancel func()) {
	c := &call{}
	go func() {
		resp, err := p.do(c, &req)
		done(resp, err)
	}()
	return c.cancel
}

func (c *call) cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelled = true
	if c.conn != nil && !c.finished {
		_ = c.conn.Close()
	}
}

// attach sets the connection of the call. It returns false if the call was cancelled.
func (c *call) attach(to *conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelled {
		return false
	}
	c.conn = to
	return true
}

// finish ends the call, after which cancel no longer closes the connection. It returns
// false if the call was cancelled, which has closed the connection.
func (c *call) finish() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finished = true
	return !c.cancelled
}

func (p *Pool) do(c *call, req *Request) (*Response, error) {
	to, err := p.getConn(req)
	if err != nil {
		return nil, errors.Wrap(world.ErrNotSent, err.Error())
	}
	if !c.attach(to) {
		p.putIdle(req.Address, to)
		return nil, errors.Wrap(world.ErrNotSent, errCancelled.Error())
	}
	resp, err := p.exchange(c, to, req)
	if err != nil {
		c.finish()
		_ = to.Close()
		// The connection is closed, so that a write in progress ends and no other one begins.
		if to.hasSent() {
			return nil, errors.Wrap(world.ErrBroken, shorten(err.Error()))
		}
		return nil, errors.Wrap(world.ErrNotSent, err.Error())
	}
	return resp, nil
}

// shorten bounds the text of an error, which may quote a whole response head.
func shorten(text string) string {
	if len(text) <= maxErrorBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxErrorBytes], "") + "..."
}

// getConn returns an idle connection that is still usable for a request, or a new one.
func (p *Pool) getConn(req *Request) (*conn, error) {
	for {
		c := p.popIdle(req.Address, p.keyOf(req))
		if c == nil {
			break
		}
		if time.Now().Before(c.expiresAt) && isReusable(c) {
			c.startRequest()
			return c, nil
		}
		_ = c.Close()
	}
	return p.dial(req.Address)
}

func (p *Pool) keyOf(req *Request) string {
	if p.options.Key == nil {
		return ""
	}
	return p.options.Key(req)
}

func (p *Pool) dial(address string) (*conn, error) {
	raw, err := p.dialer.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	c := &conn{resetConn: &resetConn{Conn: raw}}
	c.r = bufio.NewReader(c)
	c.w = bufio.NewWriter(c)
	return c, nil
}

// Probe checks whether connections to an address are refused. If it connects, the connection
// is added to the idle ones for the next call.
func (p *Pool) Probe(address string, done func(isRefused bool)) {
	go func() {
		c, err := p.dial(address)
		if err == nil {
			p.putIdle(address, c)
		}
		done(errors.Is(err, syscall.ECONNREFUSED))
	}()
}

// popIdle removes the idle connection that was used last of those that have not refused a key. It returns nil
// if there is none.
func (p *Pool) popIdle(address, key string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i := len(list) - 1; i >= 0; i-- {
		c := list[i]
		if len(c.refused) > 0 && slices.Contains(c.refused, key) {
			continue
		}
		p.idle[address] = slices.Delete(list, i, i+1)
		return c
	}
	return nil
}

func (p *Pool) putIdle(address string, c *conn) {
	if limit := time.Now().Add(p.options.Idle); c.expiresAt.IsZero() || c.expiresAt.After(limit) {
		c.expiresAt = limit
	}
	p.mu.Lock()
	list := p.idle[address]
	if len(list) >= p.options.IdlePerAddress {
		p.mu.Unlock()
		_ = c.Close()
		return
	}
	p.idle[address] = append(list, c)
	p.mu.Unlock()
}

// Sweep closes the idle connections that have expired.
func (p *Pool) Sweep() {
	now := time.Now()
	p.mu.Lock()
	var expired []*conn
	for address, list := range p.idle {
		unexpired := list[:0]
		for _, c := range list {
			if now.Before(c.expiresAt) {
				unexpired = append(unexpired, c)
				continue
			}
			expired = append(expired, c)
		}
		p.idle[address] = unexpired
		if len(unexpired) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = map[string][]*conn{}
	p.mu.Unlock()
	for _, list := range idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
}

// exchange sends the request and reads the head of its response, and the body up to
// Options.Whole bytes.
func (p *Pool) exchange(c *call, to *conn, req *Request) (*Response, error) {
	written := make(chan error, 1)
	if req.Rest == nil {
		if err := writeRequest(to, req); err != nil {
			return nil, err
		}
		written <- nil
	} else {
		go func() {
			err := writeRequest(to, req)
			written <- err
			if err != nil && to.hasSent() {
				// The caller may send all of its body before it reads the response.
				_, _ = io.Copy(io.Discard, req.Rest)
			}
		}()
	}
	resp, err := p.readHead(to, req)
	if err != nil {
		return nil, err
	}
	if p.options.IsRefusal != nil && p.options.IsRefusal(resp.StatusCode, resp.Header) {
		to.refused = append(to.refused, p.keyOf(req))
	}
	body := &responseBody{pool: p, call: c, conn: to, address: req.Address, resp: resp, written: written}
	body.applyKeepAlive()
	return body.read(p.options.Whole)
}

func writeRequest(to *conn, req *Request) error {
	w := to.w
	uri := req.URI
	if uri == "" {
		uri = "/"
	}
	for _, part := range []string{req.Method, " ", uri, " HTTP/1.1\r\nHost: ", req.Host, "\r\n"} {
		_, _ = w.WriteString(part)
	}
	if err := req.Header.Write(w); err != nil {
		return err
	}
	length := int64(len(req.Body))
	if req.Rest != nil {
		length = req.Length
	}
	switch {
	case length < 0:
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		if err := w.Flush(); err != nil {
			return err
		}
		return writeChunked(to, req)
	case length > 0 || methodAllowsBody(req.Method):
		_, _ = w.WriteString("Content-Length: " + strconv.FormatInt(length, 10) + "\r\n")
	}
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(req.Body)
	if err := w.Flush(); err != nil || req.Rest == nil {
		return err
	}
	// Copy past the buffer, to send each part at once even if the caller is slow.
	rest := length - int64(len(req.Body))
	n, err := io.Copy(to, io.LimitReader(req.Rest, rest))
	if err == nil && n < rest {
		return errShortBody
	}
	return err
}

func methodAllowsBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

func writeChunked(w io.Writer, req *Request) error {
	chunks := httputil.NewChunkedWriter(w)
	if len(req.Body) > 0 {
		if _, err := chunks.Write(req.Body); err != nil {
			return err
		}
	}
	if _, err := io.Copy(chunks, req.Rest); err != nil {
		return err
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	_, err := io.WriteString(w, "\r\n")
	return err
}

// readHead reads the head of the response. An upstream may send a response twice; the
// duplicate then precedes the response to the next request and is skipped.
func (p *Pool) readHead(to *conn, req *Request) (*http.Response, error) {
	for range maxSkippedResponses {
		resp, err := to.readResponse(&http.Request{Method: req.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if p.options.Matches == nil || p.options.Matches(req, resp.Header) {
			return resp, nil
		}
		if resp.Close {
			return nil, errors.New("response belongs to another request")
		}
		if err := discardBody(resp.Body); err != nil {
			return nil, err
		}
	}
	return nil, errTooManySkipped
}

// discardBody reads and discards the body of a response to another request.
func discardBody(body io.Reader) error {
	switch _, err := io.CopyN(io.Discard, body, maxSkippedBodyBytes+1); err {
	case io.EOF:
		return nil
	case nil:
		return errSkippedBodyTooLong
	default:
		return err
	}
}

// responseBody is the body of a response with the connection that it is read from.
type responseBody struct {
	pool    *Pool
	call    *call
	conn    *conn
	address string
	resp    *http.Response
	written chan error
	// ended is set at the end of the body or by Close, which may happen concurrently.
	ended atomic.Bool
}

// applyKeepAlive sets the expiry of the connection from the Keep-Alive header, which says
// how long the server keeps an idle connection open.
func (b *responseBody) applyKeepAlive() {
	b.conn.expiresAt = time.Time{}
	for _, part := range strings.Split(b.resp.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil && seconds >= 0 {
			// Expires half a second earlier, so that a request arrives before the server
			// closes the connection.
			b.conn.expiresAt = time.Now().Add(time.Duration(seconds)*time.Second - 500*time.Millisecond)
		}
	}
}

// read reads up to limit bytes of the body. If the body is longer, Rest is set to the
// remainder, else the connection is released.
func (b *responseBody) read(limit int) (*Response, error) {
	r := &Response{Status: b.resp.StatusCode, Header: b.resp.Header}
	data, err := io.ReadAll(io.LimitReader(b.resp.Body, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	r.Body = data
	if len(data) > limit {
		r.Rest, r.Length = b, b.resp.ContentLength
		return r, nil
	}
	b.releaseConn()
	return r, nil
}

// Read implements io.Reader for the part of the body after Response.Body.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.resp.Body.Read(p)
	if err == io.EOF {
		b.releaseConn()
	}
	return n, err
}

// Close aborts the call and closes the connection, unless the body has been read to its end.
func (b *responseBody) Close() error {
	if b.ended.Swap(true) {
		return nil
	}
	b.call.finish()
	return b.conn.Close()
}

// releaseConn returns the connection to the pool if the request was sent and the response
// read completely, else closes it.
func (b *responseBody) releaseConn() {
	if b.ended.Swap(true) {
		return
	}
	reusable := b.call.finish()
	select {
	case err := <-b.written:
		reusable = reusable && err == nil
	default:
		// The response arrived before the request was sent completely.
		reusable = false
	}
	if !reusable || b.resp.Close || b.conn.r.Buffered() > 0 || len(b.conn.refused) > maxRefusedPerConn {
		_ = b.conn.Close()
		return
	}
	b.pool.putIdle(b.address, b.conn)
}
