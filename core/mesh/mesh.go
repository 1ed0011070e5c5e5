// Package mesh puts together a node of a deployment in which callers sit beside the
// upstreams: each call begins on the VM of a service, passes that VM's node, and the node
// beside the chosen upstream. There is no leader; what is agreed lies in the platform's
// objects, and nodes tell each other the rest.
//
// # Usage
//
//	n := mesh.New(mesh.Dependencies{Info: info, Clock: clock, Links: links, ...})
//	n.Start()
//	cancel := n.Serve(mesh.Incoming{...}, func(r *world.Reply) { ... })
//	n.Stop(func() { ... })
//
// A call comes in at Serve (serve.go). A flight carries it over its attempts (flight.go)
// to the node of the chosen endpoint, where a run waits for the upstream (run.go). The
// upstream's heartbeats are in upstream.go, requests under which upstreams end in crash.go,
// suspect.go and keep.go, the exchange with other nodes in spread.go,
// the platform's objects in follow.go and announce.go, those of all nodes in common.go, keep.go
// and recall.go.
//
// The package holds no socket and no clock: a process gives it real ones, a test virtual
// ones.
package mesh

import (
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"wagtailyoke/core/admit"
	"wagtailyoke/core/event"
	"wagtailyoke/core/fleet"
	"wagtailyoke/core/graph"
	"wagtailyoke/core/invar"
	"wagtailyoke/core/once"
	"wagtailyoke/core/place"
	"wagtailyoke/core/retry"
	"wagtailyoke/core/share"
	"wagtailyoke/core/table"
	"wagtailyoke/core/timer"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// Links carries calls and messages to other nodes. Each done is called at most once.
type Links interface {
	// Forward sends a call to the node at an address. cancel gives it up.
	Forward(to world.Address, c *world.Call, done func(*world.Reply, error)) (cancel func())
	// Exchange trades records with a node.
	Exchange(to world.Address, req *wire.ExchangeRequest, timeout time.Duration, done func(*wire.ExchangeReply, error))
	// RequestTokens asks a node for tokens.
	RequestTokens(to world.Address, req *wire.TokenRequest, timeout time.Duration, done func(*wire.TokenReply, error))
	// FetchTable asks a node for its routing table.
	FetchTable(to world.Address, timeout time.Duration, done func(*wire.TableReply, error))
}

// Upstream is the service process on this VM.
type Upstream interface {
	// Do runs a call, if the upstream is still the given instance.
	Do(c *world.Call, instance world.InstanceID, done func(*world.Reply, error)) (cancel func())
	// Probe looks whether the upstream's process is gone. One that just does not answer is not.
	Probe(done func(isGone bool))
}

// Metrics counts calls, and refusals and retries by reason.
type Metrics interface {
	Admitted(customer world.CustomerID)
	Served(route world.RouteID)
	Refused(code world.Code)
	Retried(reason world.Code)
	// Crashed counts an end of the upstream with calls in flight.
	Crashed()
	// ObserveDuration measures a part of a request's time.
	ObserveDuration(part Phase, route world.RouteID, d time.Duration)
	// ReportStats shows what the node is at now.
	ReportStats(s Stats)
}

// Phase is a part of a request's time.
type Phase uint8

// Parts of a request's time.
const (
	// PhaseTotal is from the request's arrival to its answer, at the entry.
	PhaseTotal Phase = iota
	// PhaseQueue is the wait in line, at the node of the upstream.
	PhaseQueue
	// PhaseUpstream is the time in the upstream, calls of its own included.
	PhaseUpstream
)

// String returns the name that metrics show.
func (p Phase) String() string { return [...]string{"whole", "line", "upstream"}[p] }

// Stats is what a node is at.
type Stats struct {
	// Running and Waiting are calls at the upstream, Limit how many it runs at once.
	Running, Waiting, Limit int
	// Level is the admission level of the upstream's service.
	Level float64
	// TableVersion is in force and was known to be the newest TableAge ago.
	TableVersion world.ConfigVersion
	TableAge     time.Duration
	// Nodes is the number of nodes known, Unreachable that of those not heard of.
	Nodes, Unreachable int
	// Suspects were in flight when upstreams ended, Banned are refused for it.
	Suspects, Banned int
}

// TableDecoder reads a routing table as the platform holds it.
type TableDecoder func(document []byte) (*table.Table, error)

// Info describes this node.
type Info struct {
	Name        world.NodeID
	Domain      world.DomainID
	Service     world.ServiceID
	PeerAddress world.Address
	// UpstreamAddress is the address of the service process.
	UpstreamAddress world.Address
	// Started is the wall clock at the start of the process.
	Started time.Time
}

// Options are the settings of the decisions.
type Options struct {
	// ExchangeInterval is the time between exchanges with other nodes.
	ExchangeInterval time.Duration
	// RetryRatio and RetrySlack bound retries over all nodes: in RetryWindow, the ratio
	// of the calls to a service, and the slack besides.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// QuotaTolerance is how far customers may exceed their rates.
	QuotaTolerance share.Tolerance
	// GracePeriod is the longest time between a stop and the end of the process.
	GracePeriod time.Duration
}

// Defaults of the options.
const (
	defaultExchange = 250 * time.Millisecond
	defaultGrace    = 6 * time.Second
)

func (o Options) withDefaults() Options {
	if o.ExchangeInterval == 0 {
		o.ExchangeInterval = defaultExchange
	}
	if o.GracePeriod == 0 {
		o.GracePeriod = defaultGrace
	}
	return o
}

// Dependencies are what a node is built from.
type Dependencies struct {
	Info        Info
	Options     Options
	Clock       timer.Service
	Random      *rand.Rand
	Links       Links
	Upstream    Upstream
	Store       ObjectStore
	DecodeTable TableDecoder
	Metrics     Metrics
	Events      event.Log
	Checks      *invar.Checker
}

// Node is one node.
type Node struct {
	Dependencies

	table     atomic.Pointer[installed]
	view      *fleet.View
	gate      *share.Limiter
	picker    *place.Picker
	line      *admit.WaitQueue
	offers    *admit.OfferedLoad
	graph     *graph.Learner
	pressures pressures
	returns   *admit.RetryTracker
	active    *active
	budgets   *retry.Limiter
	upstream  upstreams
	lives     lives
	// quarantine knows the requests that ended upstreams; keeper keeps them in the store, recall
	// the call graph.
	quarantine *once.Quarantine
	keeper     *keeper
	recall     *recall
	news       spread
	needs      needs
	entry      *announcer

	randomMu sync.Mutex

	// usedVersion and usedTable are what endpoints and call graph were last made from.
	usedMu      sync.Mutex
	usedVersion uint64
	usedTable   *installed

	splitMu  sync.Mutex
	splitter *table.Splitter

	mu       sync.Mutex
	flights  int
	runs     int
	stopping bool
	// leaving means that the own upstream takes no more calls from other nodes.
	leaving bool
	// isClosed means that requests of callers are refused.
	isClosed bool
	stopped  func()
	isEnded  bool
	// tableSeen is when the routing table was last known to be the newest, if it ever was.
	hasSeenTable bool
	tableSeen    time.Duration
	stops        []timer.Stop
	// levelLogDue is when the admission level is logged again. Only ticks use it.
	levelLogDue time.Duration
}

// installed is a routing table with the document that it was read from, for other nodes.
type installed struct {
	*table.Table
	document []byte
}

// forgetAfter is the age from which the record of a node that the platform does not list
// is dropped.
const forgetAfter = 8 * time.Second

// New builds a node. It does nothing until Start.
func New(d Dependencies) *Node {
	d.Options = d.Options.withDefaults()
	n := &Node{
		Dependencies: d,
		picker:       place.New(d.Clock, rand.New(rand.NewSource(d.Random.Int63())), d.Info.Domain, d.Info.Name),
		line:         admit.NewWaitQueue(d.Clock, 1, admit.WaitQueueOptions{}),
		offers:       admit.NewOfferedLoad(d.Clock),
		graph:        graph.NewLearner(),
		returns:      admit.NewRetryTracker(d.Clock),
		budgets:      retry.NewLimiter(d.Clock, d.Options.RetryRatio, d.Options.RetrySlack, d.Options.RetryWindow),
		splitter:     table.NewSplitter(),
		quarantine:   once.NewQuarantine(d.Clock, quarantineLimits),
	}
	n.keeper, n.recall = newKeeper(n), newRecall(n)
	self := &wire.FleetRecord{
		Node:        string(d.Info.Name),
		Domain:      string(d.Info.Domain),
		Service:     string(d.Info.Service),
		PeerAddress: string(d.Info.PeerAddress),
		Incarnation: uint64(max(d.Info.Started.UnixMilli(), 1)),
	}
	n.active = newActive(n.graph)
	n.gate = share.New(d.Clock, d.Info.Name, d.Options.QuotaTolerance, n.askTokens)
	n.view = fleet.New(d.Clock, self, fleet.Options{Period: d.Options.ExchangeInterval, ForgetAfter: forgetAfter})
	return n
}

// Start begins to follow the platform's objects and to exchange records.
func (n *Node) Start() {
	n.Events.Log(event.NodeStarted,
		event.Field{Name: "domain", Value: n.Info.Domain}, event.Field{Name: "service", Value: n.Info.Service})
	n.followNodes()
	n.followTables()
	n.stops = append(n.stops, timer.Every(n.Clock, n.Options.ExchangeInterval, n.tick))
}

// IsReady reports whether callers may send requests here.
func (n *Node) IsReady() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.stopping && n.table.Load() != nil
}

// IsStopping reports whether the node has begun to stop.
func (n *Node) IsStopping() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stopping
}

func (n *Node) isStopping() (isStopping, isLeaving bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stopping, n.leaving
}

// Limits returns what callers may send, false as long as no table is in force.
func (n *Node) Limits() (table.Limits, bool) {
	t := n.table.Load()
	if t == nil {
		return table.Limits{}, false
	}
	return t.Limits, true
}

func (n *Node) drawID() uint64 {
	n.randomMu.Lock()
	defer n.randomMu.Unlock()
	return n.Random.Uint64()
}

func (n *Node) draw() float64 {
	n.randomMu.Lock()
	defer n.randomMu.Unlock()
	return n.Random.Float64()
}
