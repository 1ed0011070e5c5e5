package mesh

import (
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"wagtailyoke/core/event"
	"wagtailyoke/core/share"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

const (
	// minRouteRetry and maxRouteRetry bound the time until a way to a home that has failed is tried again.
	minRouteRetry = 300 * time.Millisecond
	maxRouteRetry = 2400 * time.Millisecond
	// maxForwarders is the number of nodes that are asked in turn to forward a token request.
	maxForwarders = 2
)

// tokenRoutes finds ways to the homes of customers. In a partial cut a home may be reachable only through
// another node.
type tokenRoutes struct {
	n *Node

	mu     sync.Mutex
	byHome map[world.NodeID]*tokenRoute
}

// tokenRoute is what is known about the ways to one home.
type tokenRoute struct {
	direct, forwarded routeState
	// forwarder is the node that last forwarded a request.
	forwarder world.NodeID
}

// routeState tells when a way may be tried again.
type routeState struct {
	retryAt  time.Duration
	failures int
}

func (s *routeState) record(now time.Duration, err error) {
	if err == nil {
		*s = routeState{}
		return
	}
	s.retryAt = now + min(minRouteRetry<<min(s.failures, 4), maxRouteRetry)
	s.failures++
}

func newTokenRoutes(n *Node) *tokenRoutes {
	return &tokenRoutes{n: n, byHome: map[world.NodeID]*tokenRoute{}}
}

// update changes the route to a home.
func (t *tokenRoutes) update(home world.NodeID, change func(*tokenRoute)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byHome[home] == nil {
		t.byHome[home] = &tokenRoute{}
	}
	change(t.byHome[home])
}

func (t *tokenRoutes) routeOf(home world.NodeID) tokenRoute {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.byHome[home]; r != nil {
		return *r
	}
	return tokenRoute{}
}

// requestTokens requests tokens from the node that manages a customer's tokens, if need be through another
// node. done gets world.ErrNotSent if no way is to be tried now.
func (n *Node) requestTokens(home world.NodeID, req *wire.TokenRequest, timeout time.Duration, done func(*wire.TokenReply, error)) {
	if isTransfer(req) {
		// Sent once: a transfer whose answer was lost would count twice.
		n.sendTokenRequest(home, req, timeout, done)
		return
	}
	finish := func(reply *wire.TokenReply, err error) {
		done(reply, err)
		n.reportCutOffs()
	}
	if n.Clock.Now() < n.tokenRoutes.routeOf(home).direct.retryAt {
		n.tokenRoutes.requestForwarded(home, req, timeout, finish)
		return
	}
	n.sendTokenRequest(home, req, timeout, func(reply *wire.TokenReply, err error) {
		n.tokenRoutes.update(home, func(r *tokenRoute) { r.direct.record(n.Clock.Now(), err) })
		if err == nil {
			finish(reply, nil)
			return
		}
		n.tokenRoutes.requestForwarded(home, req, timeout, finish)
	})
}

// isTransfer reports whether a request passes tokens on to their next home.
func isTransfer(req *wire.TokenRequest) bool {
	return slices.ContainsFunc(req.GetWants(), func(w *wire.TokenWant) bool { return w.GetHandsOver() })
}

func (n *Node) sendTokenRequest(to world.NodeID, req *wire.TokenRequest, timeout time.Duration, done func(*wire.TokenReply, error)) {
	address, ok := n.view.AddressOf(to)
	if !ok {
		done(nil, world.ErrNotSent)
		return
	}
	n.Links.RequestTokens(address, req, timeout, done)
}

// requestForwarded asks other nodes in turn to forward a request.
func (t *tokenRoutes) requestForwarded(home world.NodeID, req *wire.TokenRequest, timeout time.Duration, done func(*wire.TokenReply, error)) {
	route := t.routeOf(home)
	forwarders := t.n.forwardersTo(home, route.forwarder)
	if t.n.Clock.Now() < route.forwarded.retryAt || len(forwarders) == 0 {
		done(nil, world.ErrNotSent)
		return
	}
	forwarded := proto.Clone(req).(*wire.TokenRequest)
	forwarded.Home = string(home)
	var try func(i int)
	try = func(i int) {
		// The request takes two hops.
		t.n.sendTokenRequest(forwarders[i], forwarded, 2*timeout, func(reply *wire.TokenReply, err error) {
			if err != nil && i+1 < len(forwarders) {
				try(i + 1)
				return
			}
			t.update(home, func(r *tokenRoute) {
				r.forwarded.record(t.n.Clock.Now(), err)
				r.forwarder = forwarders[i]
			})
			done(reply, err)
		})
	}
	try(0)
}

// forwardersTo returns the nodes that are asked to forward a token request to a home: the one that did so last,
// the relay of the home's failure domain, and the relays of the others.
func (n *Node) forwardersTo(home, last world.NodeID) []world.NodeID {
	forwarders := n.view.RelaysNear(home)
	if i := slices.Index(forwarders, last); i > 0 {
		forwarders[0], forwarders[i] = forwarders[i], forwarders[0]
	}
	return forwarders[:min(len(forwarders), maxForwarders)]
}

// HandleTokens grants tokens of the customers whose home is this node, or forwards the request to the home that
// it names.
func (n *Node) HandleTokens(req *wire.TokenRequest, done func(*wire.TokenReply, error)) {
	home := world.NodeID(req.GetHome())
	if home == "" || home == n.Info.Name {
		done(n.limiter.Grant(req), nil)
		return
	}
	direct := proto.Clone(req).(*wire.TokenRequest)
	direct.Home = ""
	n.sendTokenRequest(home, direct, share.RequestTimeout, done)
}

// reportCutOffs tells other nodes which homes this one cannot reach, so that these do not spend its share of the
// rates.
func (n *Node) reportCutOffs() {
	homes := n.limiter.CutOffFrom()
	names := make([]string, 0, len(homes))
	for _, home := range homes {
		names = append(names, string(home))
	}
	hasChanged := false
	n.view.SetSelf(func(r *wire.FleetRecord) {
		hasChanged = !slices.Equal(r.GetUnreachableHomes(), names)
		if hasChanged {
			r.UnreachableHomes = names
		}
	})
	if hasChanged {
		n.Events.Log(event.HomesUnreachable, event.Field{Name: "homes", Value: names})
		n.exchangeSoon()
	}
}

// changesCutOffs reports whether a record changes which homes its node cannot reach.
func (n *Node) changesCutOffs(records []*wire.FleetRecord) bool {
	return slices.ContainsFunc(records, func(r *wire.FleetRecord) bool {
		return !slices.Equal(r.GetUnreachableHomes(), n.view.UnreachableHomesOf(world.NodeID(r.GetNode())))
	})
}
