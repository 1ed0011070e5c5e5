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
	"wagtailyoke/io/peer"
)

// Upstream implements node.Upstream over HTTP.
type Upstream struct {
	address   string
	clock     timer.Service
	transport http.RoundTripper
}

const (
	maxIdleUpstreamConns = 512
	probeTimeout         = 300 * time.Millisecond
)

// NewUpstream returns the client of the upstream at an address.
func NewUpstream(address string, clock timer.Service) *Upstream {
	return &Upstream{address: address, clock: clock, transport: peer.NewTransport(maxIdleUpstreamConns)}
}

// Do implements node.Upstream.
func (u *Upstream) Do(c *world.Call, token string, done func(*world.Reply, error)) (cancel func()) {
	req, err := http.NewRequest(c.Method, "http://"+u.address+c.Path, nil)
	if err != nil {
		done(nil, errors.Wrap(world.ErrNotSent, err.Error()))
		return func() {}
	}
	if c.Header != nil {
		req.Header = c.Header.Clone()
	}
	peer.SetBody(req, c.Body)
	req.Header.Set(node.HeaderContext, token)
	req.Header.Set(node.HeaderRequestID, string(c.ID))
	req.Header.Set(node.HeaderTimeout, strconv.FormatInt((c.Deadline-u.clock.Now()).Milliseconds(), 10))
	return peer.RoundTrip(u.transport, req, func(resp *http.Response, data []byte, err error) {
		if err != nil {
			done(nil, err)
			return
		}
		body.DropHopHeaders(resp.Header)
		notice := world.ParseNotice(resp.Header.Get(node.HeaderCallLimit), resp.Header.Get(node.HeaderLeaving))
		done(&world.Reply{Status: resp.StatusCode, Header: resp.Header, Body: data, Notice: notice}, nil)
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
