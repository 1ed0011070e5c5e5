package node

import (
	"hash/fnv"
	"net/http"
	"strings"
	"time"

	"wagtailyoke/core/admit"
	"wagtailyoke/core/intent"
	"wagtailyoke/core/once"
	"wagtailyoke/core/retry"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// Headers set by callers and upstreams.
const (
	// HeaderKey carries a caller's key; `Authorization: Bearer` is accepted as well.
	HeaderKey            = "X-Api-Key"
	HeaderAuthorization  = "Authorization"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderContext carries the opaque token with which an upstream's child calls
	// are matched to their parent.
	HeaderContext   = "Wagtailyoke-Context"
	HeaderRequestID = "Wagtailyoke-Request-Id"
	// HeaderTimeout is the time left for a call, in milliseconds.
	HeaderTimeout = "Wagtailyoke-Timeout-Ms"
	// HeaderCallLimit is set by upstreams in answers: the calls per second that they take from all nodes
	// together. HeaderLeaving is "1" in the answers of an upstream that takes no new calls.
	HeaderCallLimit = "Wagtailyoke-Call-Limit"
	HeaderLeaving   = "Wagtailyoke-Leaving"
	headerPrefix    = "Wagtailyoke-"
)

const bearerPrefix = "Bearer "

// maxIdempotencyKey is the longest accepted idempotency key, in bytes.
const maxIdempotencyKey = 200

// Incoming is a call as received from a caller or an upstream.
type Incoming struct {
	ID      world.RequestID
	Method  string
	Path    string
	Header  http.Header
	Body    []byte
	Timeout time.Duration
}

// ServePublic serves a caller's call. done is called once. cancel reports that the
// caller has disconnected.
func (n *Node) ServePublic(in Incoming, done func(*world.Reply)) (cancel func()) {
	cfg := n.config.Load()
	refusal := n.checkConfig(cfg)
	if refusal != nil {
		return n.refuseNow(refusal, done)
	}
	key := takeKey(in.Header)
	customer, ok := cfg.CustomerOfKey(intent.Digest(key))
	if key == "" || !ok {
		return n.refuseNow(world.Refuse(http.StatusUnauthorized, world.CodeUnknownKey, world.RunNo, 0), done)
	}
	route, ok := cfg.Match(in.Method, pathOnly(in.Path))
	if !ok || !route.Public {
		return n.refuseNow(world.Refuse(http.StatusNotFound, world.CodeUnknownRoute, world.RunNo, 0), done)
	}
	idempotencyKey := in.Header.Get(HeaderIdempotencyKey)
	if len(idempotencyKey) > maxIdempotencyKey {
		return n.refuseNow(world.Refuse(http.StatusBadRequest, world.CodeKeyInvalid, world.RunNo, 0), done)
	}
	if n.refusesLate(timeoutOf(route, in)) {
		return n.refuseNow(world.Refuse(http.StatusServiceUnavailable, world.CodeStopping, world.RunNo, stopRetryAfter), done)
	}
	stripInternal(in.Header)
	p := n.newProxiedRequest(in, route, customer.ID, route.ParsedImportance(), retry.NewBudget(cfg.Limits.RetryBudget), done)
	p.call.Key = idempotencyKey
	p.call.Fingerprint = fingerprint(&p.call)
	p.isPublic = true
	p.startPublic()
	return p.cancel
}

// checkConfig refuses calls while there is no configuration, or when it has not been
// confirmed as the newest for longer than the limit for keys.
func (n *Node) checkConfig(cfg *intent.Config) *world.Reply {
	const startDelay = time.Second
	if cfg == nil {
		return world.Refuse(http.StatusServiceUnavailable, world.CodeNotReady, world.RunNo, startDelay)
	}
	limit := time.Duration(cfg.Limits.StaleKeysMs) * time.Millisecond
	if limit > 0 && n.Clock.Now()-time.Duration(n.configConfirmedAt.Load()) > limit {
		return world.Refuse(http.StatusServiceUnavailable, world.CodeConfigurationStale, world.RunNo, startDelay)
	}
	return nil
}

func (n *Node) refuseNow(r *world.Reply, done func(*world.Reply)) func() {
	n.Metrics.Refused(r.Code)
	done(r)
	return func() {}
}

// takeKey returns the caller's key and removes it from the header, because no peer or
// upstream may receive it.
func takeKey(h http.Header) string {
	key := h.Get(HeaderKey)
	if key == "" {
		key = strings.TrimPrefix(h.Get(HeaderAuthorization), bearerPrefix)
	}
	h.Del(HeaderKey)
	h.Del(HeaderAuthorization)
	return key
}

// stripInternal removes headers that only nodes may set.
func stripInternal(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, headerPrefix) {
			delete(h, name)
		}
	}
}

func pathOnly(target string) string {
	if i := strings.IndexByte(target, '?'); i >= 0 {
		return target[:i]
	}
	return target
}

// fingerprint identifies calls with the same effect on an upstream. It excludes the
// idempotency key, because callers may generate a new one for each resend.
func fingerprint(c *world.Call) uint64 {
	h := fnv.New64a()
	for _, part := range []string{string(c.Customer), string(c.Route), c.Method, c.Path} {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.Body)
	return h.Sum64()
}

func bodyDigest(c *world.Call) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(c.Method + "\x00" + c.Path + "\x00"))
	_, _ = h.Write(c.Body)
	return h.Sum64()
}

// ServeEgress serves a call from this VM's upstream to another service.
func (n *Node) ServeEgress(in Incoming, done func(*world.Reply)) (cancel func()) {
	cfg := n.config.Load()
	if cfg == nil {
		return n.refuseNow(n.checkConfig(cfg), done)
	}
	route, ok := cfg.Match(in.Method, pathOnly(in.Path))
	if !ok {
		return n.refuseNow(world.Refuse(http.StatusNotFound, world.CodeUnknownRoute, world.RunNo, 0), done)
	}
	idempotencyKey := in.Header.Get(HeaderIdempotencyKey)
	if len(idempotencyKey) > maxIdempotencyKey {
		return n.refuseNow(world.Refuse(http.StatusBadRequest, world.CodeKeyInvalid, world.RunNo, 0), done)
	}
	if n.refusesLate(timeoutOf(route, in)) {
		return n.refuseNow(world.Refuse(http.StatusServiceUnavailable, world.CodeStopping, world.RunNo, stopRetryAfter), done)
	}
	parent := n.parentOf(in.Header.Get(HeaderContext))
	takeKey(in.Header)
	stripInternal(in.Header)
	p := n.newEgressRequest(in, route, parent, done)
	p.call.Key = idempotencyKey
	p.call.Fingerprint = fingerprint(&p.call)
	p.begin()
	return p.cancel
}

func (n *Node) parentOf(token string) *execution {
	if token == "" {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.tokens[token]
}

// newEgressRequest creates the proxied request of an upstream's call. It inherits
// customer, importance, deadline and retry budget from the parent. A call without a
// parent is internal.
func (n *Node) newEgressRequest(in Incoming, route *intent.Route, parent *execution, done func(*world.Reply)) *proxiedRequest {
	if parent == nil {
		return n.newProxiedRequest(in, route, "", world.ImportanceInternal, retry.NewBudget(0), done)
	}
	in.ID = parent.call.ID
	lent := parent.budget.Split()
	parent.childStarted()
	p := n.newProxiedRequest(in, route, parent.call.Customer, parent.call.Importance, retry.NewBudget(lent), nil)
	p.call.Deadline = min(p.call.Deadline, parent.call.Deadline)
	p.done = func(r *world.Reply) {
		parent.childEnded(r)
		done(r)
	}
	return p
}

// ServePeer serves a call that another node forwarded to this node's upstream.
func (n *Node) ServePeer(c *world.Call, done func(*world.Reply)) (cancel func()) {
	return n.admit(c, done)
}

// startPublic applies the checks for callers' calls: quarantine, load of the route and
// rate of the customer. The load is checked before the rate, otherwise a call that is
// shed would cost its customer a token.
func (p *proxiedRequest) startPublic() {
	n := p.n
	if n.quarantine.Status(p.call.Fingerprint) == once.StatusBanned {
		p.finish(quarantined())
		return
	}
	level := n.routeLevels.Level(p.call.Route)
	if admit.IsShed(p.call.Importance, level, n.randomFloat()) {
		p.finish(world.Refuse(http.StatusServiceUnavailable, world.CodePressure, world.RunNo, n.retryAfter(time.Second)))
		return
	}
	n.rateLimiter.Admit(p.call.Customer, func(admitted bool) {
		if !admitted {
			p.finish(world.Refuse(http.StatusTooManyRequests, world.CodeOverRate, world.RunNo, n.retryAfter(time.Second)))
			return
		}
		n.Metrics.Admitted(p.call.Customer)
		p.begin()
	})
}

// quarantined returns the refusal of a quarantined request. It is final, because the
// request was in flight when upstreams crashed and may have run.
func quarantined() *world.Reply {
	r := world.Refuse(http.StatusServiceUnavailable, world.CodeQuarantined, world.RunMaybe, once.QuarantineTTL)
	r.Final = true
	return r
}

// retryAfter returns a random delay between typical and twice typical, which spreads
// the retries of callers.
func (n *Node) retryAfter(typical time.Duration) time.Duration {
	return typical + time.Duration(n.randomFloat()*float64(typical))
}

// answerOf converts a reply to its stored form.
func answerOf(r *world.Reply) *wire.Answer {
	a := &wire.Answer{Status: int32(r.Status), Body: r.Body, Code: string(r.Code), Run: uint32(r.Run)}
	for _, name := range sortedNames(r.Header) {
		for _, value := range r.Header[name] {
			a.Header = append(a.Header, &wire.HeaderField{Name: name, Value: value})
		}
	}
	return a
}

func replyOf(a *wire.Answer) *world.Reply {
	r := &world.Reply{
		Status: int(a.GetStatus()),
		Body:   a.GetBody(),
		Code:   world.Code(a.GetCode()),
		Run:    world.Run(a.GetRun()),
		Header: http.Header{},
	}
	for _, field := range a.GetHeader() {
		r.Header.Add(field.GetName(), field.GetValue())
	}
	return r
}
