// Package node assembles a complete node from the packages in core/. It opens no
// sockets and reads no system clock: a process passes in real ones, a test virtual ones.
//
// # Usage
//
//	n := node.New(node.Dependencies{Info: info, Clock: clock, Links: links, ...})
//	n.Start()
//	n.ServePublic(incoming, func(r *world.Reply) { ... })
//	n.Stop(func() { ... })
//
// A call enters at ServePublic or ServeEgress (serve.go). A proxiedRequest sends it to
// endpoints until an attempt succeeds or may not be retried (proxiedrequest.go, retry.go),
// with an idempotency record if the call has a key (record.go). The node of the chosen
// endpoint executes it (execution.go). crash.go detects crashes of the upstream,
// heartbeat.go sends heartbeats, notice.go sends updates that cannot wait for a heartbeat,
// config.go distributes the configuration and stop.go shuts the node down gracefully.
// The leader's role is in leaderrole.go, otherleaders.go and handover.go.
package node

import (
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"wagtailyoke/core/admit"
	"wagtailyoke/core/event"
	"wagtailyoke/core/intent"
	"wagtailyoke/core/invar"
	"wagtailyoke/core/once"
	"wagtailyoke/core/quota"
	"wagtailyoke/core/retry"
	"wagtailyoke/core/roster"
	"wagtailyoke/core/route"
	"wagtailyoke/core/store"
	"wagtailyoke/core/term"
	"wagtailyoke/core/timer"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// Links sends calls and control messages to other nodes. Each done is called at
// most once; a message may be lost, delayed or duplicated.
type Links interface {
	// Forward sends a call to the node at an address. cancel cancels it.
	Forward(to world.Address, c *world.Call, done func(*world.Reply, error)) (cancel func())
	// Control sends a control message.
	Control(to world.Address, req proto.Message, timeout time.Duration, done func(proto.Message, error))
}

// Upstream is the service process on this VM.
type Upstream interface {
	// Do executes a call. The upstream sends token with its child calls.
	Do(c *world.Call, token string, done func(*world.Reply, error)) (cancel func())
	// Probe reports whether the upstream accepts connections.
	Probe(done func(alive bool))
}

// Metrics counts calls, and refusals and retries by reason.
type Metrics interface {
	// Admitted counts a call that spent one of its customer's tokens.
	Admitted(customer world.CustomerID)
	Served(route world.RouteID)
	Refused(code world.Code)
	Retried(reason world.Code)
}

// Info describes this node.
type Info struct {
	Name        world.NodeID
	Domain      world.DomainID
	Service     world.ServiceID
	Public      world.Address
	Peer        world.Address
	Ops         world.Address
	Incarnation uint64
}

// Options are the settings of a node. Zero values select the defaults.
type Options struct {
	Limit admit.LimitOptions
	Queue admit.FairQueueOptions
	Term  term.Options
	// HeartbeatInterval is the time between heartbeats.
	HeartbeatInterval time.Duration
	// TokenLease is how long granted tokens stay valid without contact to the leader.
	TokenLease time.Duration
	// TokenWait is how long a call waits for a token.
	TokenWait time.Duration
	// Seeds are peer addresses that are asked for leaders while the own leader does
	// not answer. They work without the platform.
	Seeds []world.Address
	// StopLimit bounds a graceful shutdown.
	StopLimit time.Duration
}

func (o Options) withDefaults() Options {
	if o.Term == (term.Options{}) {
		o.Term = term.DefaultOptions()
	}
	setDefault(&o.HeartbeatInterval, 250*time.Millisecond)
	setDefault(&o.TokenLease, time.Second)
	setDefault(&o.TokenWait, 20*time.Millisecond)
	setDefault(&o.StopLimit, 30*time.Second)
	return o
}

func setDefault(v *time.Duration, d time.Duration) {
	if *v == 0 {
		*v = d
	}
}

// Dependencies are what a node is built from.
type Dependencies struct {
	Info     Info
	Options  Options
	Clock    timer.Service
	Random   *rand.Rand
	Tokens   func() string
	Links    Links
	Upstream Upstream
	Platform store.Platform
	Metrics  Metrics
	Events   event.Log
	Checks   *invar.Checker
	// Configured is called once, when the node has its first configuration and can
	// serve callers.
	Configured func()
}

// Node proxies the calls to and from the upstream of one VM.
type Node struct {
	Dependencies

	rateGate      *admit.RateGate
	queue         *admit.FairQueue
	limiter       *admit.Limiter
	routeLevels   *admit.RouteLevels
	picker        *route.Picker
	rateLimiter   *quota.Gate
	reservedShare *quota.ReservedShare
	quarantine    *once.Quarantine
	roster        *roster.Roster
	term          *term.Term
	buckets       *buckets
	config        atomic.Pointer[intent.Config]
	// configConfirmedAt is the time at which the configuration was last known to be
	// the newest.
	configConfirmedAt atomic.Int64
	configured        sync.Once

	randomMu sync.Mutex

	mu            sync.Mutex
	upstreamState wire.NodeState
	// generation counts the processes of the upstream.
	generation uint64
	// probing means that a probe of the upstream is in progress.
	probing         bool
	inFlight        map[*execution]bool
	tokens          map[string]*execution
	proxiedRequests int
	stopping        bool
	// endsAt is when a stopping node ends at the latest.
	endsAt  time.Duration
	stopped func()
	stops   []timer.Stop

	heartbeats heartbeats
	leaders    *knownLeaders
	role       atomic.Pointer[role]
}

// New builds a node. It does nothing until Start.
func New(d Dependencies) *Node {
	d.Options = d.Options.withDefaults()
	n := &Node{
		Dependencies: d,
		inFlight:     map[*execution]bool{},
		tokens:       map[string]*execution{},
		leaders:      newKnownLeaders(),
		buckets:      &buckets{byService: map[world.ServiceID]*retry.Bucket{}},
	}
	n.limiter = admit.NewLimiter(d.Clock, d.Options.Limit)
	n.rateGate = admit.NewRateGate(d.Clock)
	queueOptions := d.Options.Queue
	queueOptions.Rate = n.rateGate
	n.queue = admit.NewFairQueue(d.Clock, n.limiter, d.Checks, queueOptions)
	n.routeLevels = admit.NewRouteLevels(d.Clock)
	n.picker = route.NewPicker(d.Clock, rand.New(rand.NewSource(d.Random.Int63())), d.Info.Domain)
	n.rateLimiter = quota.NewGate(d.Clock, d.Options.TokenWait, n.requestHeartbeat, n.takeReservedToken)
	n.reservedShare = quota.NewReservedShare(d.Clock, d.Options.TokenLease, d.Info.Domain)
	n.quarantine = once.NewQuarantine(d.Clock, quarantineLimits)
	n.roster = roster.New(d.Clock, d.Info.Domain)
	self := term.Self{
		Member:      term.Member{Node: d.Info.Name, Peer: d.Info.Peer},
		Domain:      d.Info.Domain,
		Incarnation: d.Info.Incarnation,
	}
	n.term = term.New(d.Clock, d.Platform, n, self, d.Options.Term, n)
	n.heartbeats.init(n)
	return n
}

// tickPeriod is the resolution of terms and of the leader's periodic tasks.
const tickPeriod = 100 * time.Millisecond

// Start starts the heartbeats and announces the node.
func (n *Node) Start() {
	n.Events.Log(event.NodeStarted, event.Field{Name: "domain", Value: n.Info.Domain}, event.Field{Name: "service", Value: n.Info.Service})
	n.stops = append(n.stops, timer.Every(n.Clock, tickPeriod, n.tick))
	n.sendRegularHeartbeats()
	n.announce()
	n.fetchConfig()
	n.tick()
}

func (n *Node) tick() {
	n.term.Tick()
	n.runLeaderTasks()
	n.updateTokenSources()
}

// UpstreamAnnounced updates the upstream's state as the upstream reports it.
func (n *Node) UpstreamAnnounced(state wire.NodeState) {
	n.mu.Lock()
	old := n.upstreamState
	n.upstreamState = state
	restarted := old != wire.NodeState_NODE_STATE_READY && state == wire.NodeState_NODE_STATE_READY
	n.mu.Unlock()
	if old == state {
		return
	}
	if restarted {
		n.limiter.Reset()
		n.rateGate.Reset()
		n.queue.Recheck()
		n.Events.Log(event.UpstreamReady)
	}
	if state == wire.NodeState_NODE_STATE_DRAINING {
		n.Events.Log(event.UpstreamDraining)
	}
	n.requestHeartbeat()
}

// state returns the state that this node reports to others.
func (n *Node) state() wire.NodeState {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopping {
		return wire.NodeState_NODE_STATE_DRAINING
	}
	return n.upstreamState
}

func (n *Node) nodeInfo() *wire.NodeInfo {
	return &wire.NodeInfo{
		Name:          string(n.Info.Name),
		Domain:        string(n.Info.Domain),
		Service:       string(n.Info.Service),
		PublicAddress: string(n.Info.Public),
		PeerAddress:   string(n.Info.Peer),
		OpsAddress:    string(n.Info.Ops),
		State:         n.state(),
		Incarnation:   n.Info.Incarnation,
	}
}

// takeReservedToken spends a token of this node's reserved share, which it may use
// while no leader answers.
func (n *Node) takeReservedToken(customer world.CustomerID) bool {
	cfg := n.config.Load()
	if cfg == nil {
		return false
	}
	c, ok := cfg.Customer(customer)
	return ok && n.reservedShare.TakeToken(c, cfg.Domains)
}

func (n *Node) randomFloat() float64 {
	n.randomMu.Lock()
	defer n.randomMu.Unlock()
	return n.Random.Float64()
}

func (n *Node) randomID() uint64 {
	n.randomMu.Lock()
	defer n.randomMu.Unlock()
	return n.Random.Uint64()
}

// buckets holds one retry bucket per service.
type buckets struct {
	mu        sync.Mutex
	byService map[world.ServiceID]*retry.Bucket
}

func (b *buckets) of(service world.ServiceID) *retry.Bucket {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.byService[service]
	if bucket == nil {
		bucket = retry.NewBucket()
		b.byService[service] = bucket
	}
	return bucket
}

// AnnouncementKey returns the key of a node's announcement in the object store.
func AnnouncementKey(name world.NodeID) string { return "node/" + string(name) }

const announceRetry = 2 * time.Second

// announce writes the node's addresses to the object store for operators' commands.
func (n *Node) announce() {
	value, err := encodeInfo(n.nodeInfo())
	if err != nil {
		n.Events.Log(event.AnnounceFailed, event.Field{Name: "error", Value: err})
		return
	}
	again := func() { n.Clock.After(announceRetry, n.announce) }
	n.Platform.Get(AnnouncementKey(n.Info.Name), func(o store.Object, err error) {
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			again()
			return
		}
		n.Platform.Put(AnnouncementKey(n.Info.Name), o.Version, value, func(_ uint64, err error) {
			if err != nil {
				n.Events.Log(event.AnnounceFailed, event.Field{Name: "error", Value: err})
				again()
			}
		})
	})
}
