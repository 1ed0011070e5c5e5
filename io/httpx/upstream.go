package httpx

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"wagtailyoke/core/node"
	"wagtailyoke/core/timer"
	"wagtailyoke/core/world"
	"wagtailyoke/io/body"
	"wagtailyoke/io/hops"
	"wagtailyoke/io/peer"
)

// Upstream implements node.Upstream over HTTP.
type Upstream struct {
	address string
	clock   timer.Service
	pool    *hops.Pool
}

const (
	upstreamDialTimeout = 500 * time.Millisecond
	upstreamIdleTimeout = time.Minute
	// upstreamAckTimeout is how long sent bytes may stay unacknowledged.
	upstreamAckTimeout   = 5 * time.Second
	maxIdleUpstreamConns = 512
	probeTimeout         = 300 * time.Millisecond
)

var errAnswerTooLong = errors.Errorf("answer is longer than %d bytes", peer.MaxBodyBytes)

// NewUpstream returns the client of the upstream at an address.
func NewUpstream(address string, clock timer.Service) *Upstream {
	return &Upstream{address: address, clock: clock, pool: hops.New(hops.Options{
		Dial:           upstreamDialTimeout,
		Idle:           upstreamIdleTimeout,
		IdlePerAddress: maxIdleUpstreamConns,
		Silence:        upstreamAckTimeout,
		Whole:          peer.MaxBodyBytes,
		Matches:        answersCall,
	})}
}

// answersCall reports whether an answer can belong to a request. Upstreams need not name the request.
func answersCall(req *hops.Request, h http.Header) bool {
	id := h.Get(node.HeaderRequestID)
	return id == "" || id == req.Header.Get(node.HeaderRequestID)
}

// Sweep closes the idle connections that have expired.
func (u *Upstream) Sweep() { u.pool.Sweep() }

// Close closes the idle connections.
func (u *Upstream) Close() { u.pool.Close() }

// Do implements node.Upstream.
func (u *Upstream) Do(c *world.Call, token string, done func(*world.Reply, error)) (cancel func()) {
	header := c.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set(node.HeaderContext, token)
	header.Set(node.HeaderRequestID, string(c.ID))
	header.Set(node.HeaderTimeout, strconv.FormatInt((c.Deadline-u.clock.Now()).Milliseconds(), 10))
	req := hops.Request{Address: u.address, Method: c.Method, URI: c.Path, Host: u.address, Header: header, Body: c.Body}
	return u.pool.Do(req, func(resp *hops.Response, err error) {
		if err == nil && resp.Rest != nil {
			_ = resp.Rest.Close()
			err = errors.Wrap(world.ErrBroken, errAnswerTooLong.Error())
		}
		if err != nil {
			done(nil, err)
			return
		}
		body.DropHopHeaders(resp.Header)
		notice := world.ParseNotice(resp.Header.Get(node.HeaderCallLimit), resp.Header.Get(node.HeaderLeaving))
		done(&world.Reply{Status: resp.Status, Header: resp.Header, Body: resp.Body, Notice: notice}, nil)
	})
}

// Probe implements node.Upstream.
func (u *Upstream) Probe(done func(alive bool)) {
	go func() {
		conn, err := net.DialTimeout("tcp", u.address, probeTimeout)
		if err == nil {
			_ = conn.Close()
		}
		done(err == nil)
	}()
}
