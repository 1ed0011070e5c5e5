// Package mesh implements a node of a service mesh: the sidecar process that runs beside each
// upstream. A call starts on the VM of the calling service, passes that VM's node, and is forwarded
// to the node beside the selected upstream. The mesh has no leader: shared state is stored as
// objects in the platform's store, and nodes exchange everything else with each other.
//
// # Usage
//
//	n := mesh.New(mesh.Dependencies{Info: info, Clock: clock, Links: links, ...})
//	n.Start()
//	cancel := n.Serve(mesh.Incoming{...}, func(r *world.Reply) { ... })
//	n.Stop(func() { ... })
//
// A request enters at Serve (serve.go). A proxiedRequest sends it in one or more attempts
// (proxiedrequest.go, retries.go) to the node of the selected endpoint, where an execution queues for the
// upstream (execution.go). callmatch.go finds the execution that a call of the upstream belongs to.
// Heartbeats of the upstream are handled in upstream.go, requests that crash upstreams in crash.go,
// suspect.go and quarantinestore.go. Nodes exchange records in exchange.go and admission levels in
// levels.go. coldstart.go limits the calls to an upstream that has just started, notice.go and
// noticeboard.go those to one that names a limit or leaves, evacuation.go those to the upstreams of
// evacuated failure domains; usableslots.go tells other nodes what is left. departures.go keeps which
// upstreams have left, departureack.go acknowledges that once others hold it, departurerestore.go writes again
// what the store has lost of it. tokens.go reaches the homes of customers' rates, sharing.go tells among which
// nodes these are divided. follow.go and announce.go read and write the store, storeera.go drops what it answered
// before it came back from a copy; the objects that all nodes share are in sharedobject.go, quarantinestore.go and
// graphstore.go.
//
// The package opens no sockets and reads no system clock: a process passes real ones in, a test
// virtual ones.
package mesh

import (
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"wagtailyoke/core/admit"
	"wagtailyoke/core/era"
	"wagtailyoke/core/evac"
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
	// Forward sends a call to the node at an address. cancel abandons it.
	Forward(to world.Address, c *world.Call, done func(*world.Reply, error)) (cancel func())
	// Exchange exchanges fleet records with a node.
	Exchange(to world.Address, req *wire.ExchangeRequest, timeout time.Duration, done func(*wire.ExchangeReply, error))
	// RequestTokens requests rate limit tokens from a node.
	RequestTokens(to world.Address, req *wire.TokenRequest, timeout time.Duration, done func(*wire.TokenReply, error))
	// Depart tells a node of departures of this node's upstream. It fails if the node does not keep them.
	Depart(to world.Address, notice *wire.DepartureNotice, timeout time.Duration, done func(error))
	// FetchTable fetches a node's routing table.
	FetchTable(to world.Address, timeout time.Duration, done func(*wire.TableReply, error))
}

// Upstream is the service process on this VM.
type Upstream interface {
	// Do executes a call if the upstream is still the given instance.
	Do(c *world.Call, instance world.InstanceID, done func(*world.Reply, error)) (cancel func())
	// Probe checks whether the upstream's process is gone. A process that only fails to answer is not.
	Probe(done func(isGone bool))
	// CheckHealth asks the upstream for its state, with a request on the given path. It fails if the
	// upstream answers without its state.
	CheckHealth(path string, done func(Health, error)) (cancel func())
}

// Health is the state that an upstream reports when it is asked.
type Health struct {
	Instance world.InstanceID
	// ColdRemaining is how much longer the upstream is cold.
	ColdRemaining time.Duration
}

// Metrics records counters, durations and gauges of a node.
type Metrics interface {
	Admitted(customer world.CustomerID)
	Served(route world.RouteID)
	Refused(code world.Code)
	Retried(reason world.Code)
	// Crashed counts an exit of the upstream while calls were in flight.
	Crashed()
	// ObserveDuration records the duration of one phase of a request.
	ObserveDuration(phase Phase, route world.RouteID, d time.Duration)
	// ReportStats reports the node's current gauges.
	ReportStats(s Stats)
}

// Phase is a phase of a request's processing that is timed.
type Phase uint8

// Phases of a request.
const (
	// PhaseTotal is the time from the request's arrival to its answer, at the node where it entered.
	PhaseTotal Phase = iota
	// PhaseQueue is the time in the wait queue of the upstream's node.
	PhaseQueue
	// PhaseUpstream is the time in the upstream, including the calls that it makes itself.
	PhaseUpstream
)

// String returns the value of the metric label.
func (p Phase) String() string { return [...]string{"whole", "line", "upstream"}[p] }

// Stats are the gauges of a node.
type Stats struct {
	// Running and Waiting count the calls in the upstream and in its wait queue. Limit is the
	// number of calls that the upstream runs concurrently.
	Running, Waiting, Limit int
	// Level is the admission level of the upstream's service.
	Level float64
	// TableVersion is the version of the routing table in use. TableAge is the time since it was
	// last confirmed to be the newest.
	TableVersion world.ConfigVersion
	TableAge     time.Duration
	// Nodes is the number of known nodes, Unreachable the number of those that do not respond.
	Nodes, Unreachable int
	// StoreEra is the era of the platform's store, 0 if it is not known.
	StoreEra era.Era
	// IsCold means that the upstream is cold, or may be.
	IsCold bool
	// Evacuated is the number of evacuated failure domains, EvacuationsLost that of those whose evacuation
	// the store has lost.
	Evacuated, EvacuationsLost int
	// CallLimit is the number of calls per second that the upstream says it takes from all nodes together,
	// 0 if it names no limit. CallRate is the number that it received in the last second.
	CallLimit, CallRate float64
	// Suspects is the number of requests that were in flight when upstreams ended, Banned the
	// number of those that are refused for it.
	Suspects, Banned int
}

// TableDecoder parses a routing table as the platform stores it.
type TableDecoder func(document []byte) (*table.Table, error)

// Info identifies this node and its upstream.
type Info struct {
	Name        world.NodeID
	Domain      world.DomainID
	Service     world.ServiceID
	PeerAddress world.Address
	// UpstreamAddress is the address of the service process.
	UpstreamAddress world.Address
	// Started is the wall clock time at which the process started.
	Started time.Time
}

// Options are the settings of a node.
type Options struct {
	// ExchangeInterval is the time between exchanges with other nodes.
	ExchangeInterval time.Duration
	// RetryRatio and RetrySlack bound the retries of all nodes together: within RetryWindow, a
	// service may receive RetryRatio retries per call plus RetrySlack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// QuotaTolerance is how far customers may exceed their rates.
	QuotaTolerance share.Tolerance
	// ColdTolerance is how many more calls than its service declares a cold upstream may receive.
	ColdTolerance ColdTolerance
	// EvacuateWithin is the time within which an evacuation must be in force. If it is 0, the node does
	// not follow evacuations.
	EvacuateWithin time.Duration
	// Regions holds the region of each failure domain.
	Regions map[world.DomainID]world.RegionID
	// GracePeriod is the maximum time between Stop and the end of the process.
	GracePeriod time.Duration
}

// Default options.
const (
	defaultExchangeInterval = 250 * time.Millisecond
	defaultGracePeriod      = 6 * time.Second
)

func (o Options) withDefaults() Options {
	if o.ExchangeInterval == 0 {
		o.ExchangeInterval = defaultExchangeInterval
	}
	if o.GracePeriod == 0 {
		o.GracePeriod = defaultGracePeriod
	}
	return o
}

// Dependencies are the inputs of New.
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

// Node is a node of the mesh.
type Node struct {
	Dependencies

	table         atomic.Pointer[installedTable]
	view          *fleet.View
	limiter       *share.Limiter
	tokenRoutes   *tokenRoutes
	sharingNodes  *sharingNodes
	picker        *place.Picker
	queue         *admit.WaitQueue
	coldGate      *admit.ColdGate
	rateGate      *admit.RateGate
	callMeter     callMeter
	noticeBoard   *noticeBoard
	healthChecker *healthChecker
	evacuations   *evacuations
	storeEras     *era.Tracker
	// isColdAnnounced means that other nodes were told that the upstream is cold.
	isColdAnnounced  atomic.Bool
	offeredLoad      *admit.OfferedLoad
	graph            *graph.Learner
	serviceLoads     serviceLoads
	returningCallers *admit.RetryTracker
	callMatcher      *callMatcher
	retryBudgets     *retry.Limiter
	upstreamTracker  upstreamTracker
	crashDetector    crashDetector
	// quarantine tracks the requests that crash upstreams. quarantineStore persists them in the
	// object store, graphStore the call graph.
	quarantine      *once.Quarantine
	quarantineStore *quarantineStore
	graphStore      *graphStore
	departures      *departureKeeper
	exchanges       exchangeState
	usedServices    usedServices
	announcer       *announcer
	tableFollower   *follower

	randomMu sync.Mutex

	// appliedVersion, appliedTable, appliedEvacuation and appliedDeparture are the record version, the
	// table, the versions of the evacuations and of the departures from which the endpoints and the
	// call graph were last computed.
	appliedMu         sync.Mutex
	appliedVersion    uint64
	appliedTable      *installedTable
	appliedEvacuation uint64
	appliedDeparture  uint64

	splitMu  sync.Mutex
	splitter *table.Splitter

	mu             sync.Mutex
	requestCount   int
	executionCount int
	stopping       bool
	// refusesPeerCalls means that the local upstream takes no more calls from other nodes.
	refusesPeerCalls bool
	// refusesCallers means that requests of callers are refused.
	refusesCallers bool
	onStopped      func()
	// endsAt is when a stopping node ends at the latest.
	endsAt   time.Duration
	hasEnded bool
	// tableConfirmedAt is when the routing table was last confirmed to be the newest. It is valid if
	// hasConfirmedTable is set.
	hasConfirmedTable bool
	tableConfirmedAt  time.Duration
	stopTimers        []timer.Stop
	// nextLevelLog is the earliest time of the next log line about the admission level. Only tick
	// uses it.
	nextLevelLog time.Duration
}

// installedTable is a routing table with its encoded document, which other nodes can fetch.
type installedTable struct {
	*table.Table
	document []byte
}

// recordTTL is the age at which the record of a node that the platform does not list is dropped.
const recordTTL = 8 * time.Second

// New creates a node. The node is inactive until Start.
func New(d Dependencies) *Node {
	d.Options = d.Options.withDefaults()
	gate, rate := admit.NewColdGate(d.Clock), admit.NewRateGate(d.Clock)
	n := &Node{
		Dependencies:     d,
		coldGate:         gate,
		rateGate:         rate,
		noticeBoard:      newNoticeBoard(d.Clock),
		storeEras:        &era.Tracker{},
		evacuations:      &evacuations{Set: evac.NewSet(d.Clock)},
		picker:           place.New(d.Clock, rand.New(rand.NewSource(d.Random.Int63())), d.Info.Domain, d.Info.Name),
		queue:            admit.NewWaitQueue(d.Clock, 1, admit.WaitQueueOptions{Gate: gate, Rate: rate}),
		offeredLoad:      admit.NewOfferedLoad(d.Clock),
		graph:            graph.NewLearner(),
		returningCallers: admit.NewRetryTracker(d.Clock),
		retryBudgets:     retry.NewLimiter(d.Clock, d.Options.RetryRatio, d.Options.RetrySlack, d.Options.RetryWindow),
		splitter:         table.NewSplitter(),
		quarantine:       once.NewQuarantine(d.Clock, quarantineLimits),
	}
	n.Store = &presentStore{store: d.Store, eras: n.storeEras, onNewEra: func(e era.Era) { n.handleNewEra(e, eraSourcePlatform) }}
	n.tableFollower = n.newTableFollower()
	n.healthChecker = &healthChecker{n: n}
	n.quarantineStore, n.graphStore, n.announcer = newQuarantineStore(n), newGraphStore(n), &announcer{n: n}
	n.departures = newDepartureKeeper(n)
	n.upstreamTracker.hasLeft = n.departures.hasOwn
	self := &wire.FleetRecord{
		Node:        string(d.Info.Name),
		Domain:      string(d.Info.Domain),
		Service:     string(d.Info.Service),
		PeerAddress: string(d.Info.PeerAddress),
		Incarnation: uint64(max(d.Info.Started.UnixMilli(), 1)),

		ForwardsTokens: true, FollowsEras: true,
	}
	n.callMatcher = newCallMatcher(n.graph)
	n.tokenRoutes, n.sharingNodes = newTokenRoutes(n), &sharingNodes{n: n, lastSeen: map[world.NodeID]time.Duration{}}
	n.limiter = share.New(d.Clock, d.Info.Name, d.Options.QuotaTolerance, n.requestTokens)
	n.view = fleet.New(d.Clock, self, fleet.Options{Period: d.Options.ExchangeInterval, ForgetAfter: recordTTL})
	return n
}

// Start starts watching the platform's objects and exchanging records with other nodes.
func (n *Node) Start() {
	n.Events.Log(event.NodeStarted,
		event.Field{Name: "domain", Value: n.Info.Domain}, event.Field{Name: "service", Value: n.Info.Service})
	n.departures.start()
	n.followNodes()
	// The table lets the node serve, so the evacuations come first.
	n.followEvacuations(n.tableFollower.step)
	n.stopTimers = append(n.stopTimers, timer.Every(n.Clock, n.Options.ExchangeInterval, n.tick))
}

// IsReady reports whether the node accepts requests of callers.
func (n *Node) IsReady() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.stopping && n.table.Load() != nil
}

// IsStopping reports whether Stop has been called.
func (n *Node) IsStopping() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stopping
}

func (n *Node) stopState() (isStopping, isLeaving bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stopping, n.refusesPeerCalls
}

// Limits returns the size limits for requests. It returns false while no routing table is installed.
func (n *Node) Limits() (table.Limits, bool) {
	t := n.table.Load()
	if t == nil {
		return table.Limits{}, false
	}
	return t.Limits, true
}

func (n *Node) randomID() uint64 {
	n.randomMu.Lock()
	defer n.randomMu.Unlock()
	return n.Random.Uint64()
}

func (n *Node) randomFloat() float64 {
	n.randomMu.Lock()
	defer n.randomMu.Unlock()
	return n.Random.Float64()
}
