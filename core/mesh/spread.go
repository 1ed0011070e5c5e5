package mesh

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"wagtailyoke/core/event"
	"wagtailyoke/core/fleet"
	"wagtailyoke/core/invar"
	"wagtailyoke/core/place"
	"wagtailyoke/core/share"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// exchangeTimeout bounds an exchange with another node: a node that does not answer for
// that long is passed over.
const exchangeTimeout = 400 * time.Millisecond

// tableTimeout bounds the fetch of a routing table, which can be a megabyte.
const tableTimeout = time.Second

// spread is the state of the exchange with other nodes.
type spread struct {
	mu sync.Mutex
	// asking holds the nodes with an exchange under way, again those that are due
	// for another one at once.
	asking map[world.NodeID]bool
	again  map[world.NodeID]bool
	// fetching means that a routing table is being fetched from a node.
	fetching bool
	// told says what nodes know of the quarantine.
	told map[world.NodeID]told
}

// tick measures, tells the others and takes in what they told.
func (n *Node) tick() {
	n.gate.UpdateDemand()
	n.refresh()
	n.decideGraph()
	n.exchange()
	n.sweep()
	n.useRecords()
	n.keeper.keep()
	n.recall.keep()
	n.showLevel()
	n.showState()
}

func (n *Node) showState() {
	s := Stats{Level: n.serviceLevel(n.callerService()), TableVersion: n.tableVersion(), TableAge: n.tableAge()}
	s.Running, s.Waiting, s.Limit = n.line.Counts()
	s.Suspects, s.Banned = n.quarantine.Counts()
	for _, node := range n.view.Nodes() {
		s.Nodes++
		if node.IsUnreachable {
			s.Unreachable++
		}
	}
	n.Metrics.ReportStats(s)
}

// refresh renews what this node tells of itself.
func (n *Node) refresh() {
	info := n.upstream.info()
	service := n.callerService()
	running, waiting, limit := n.line.Counts()
	isStopping, isLeaving := n.isStopping()
	n.offers.EndWindow()
	pulse := &wire.Pulse{
		Load: uint32(running + waiting), Level: float32(n.line.Level()), Needs: fleet.Float32s(n.line.SlotDemand()),
		Arrivals: float32(n.line.ArrivalRate()), Offers: n.wireOffers(),
	}
	n.view.SetSelf(func(r *wire.FleetRecord) {
		r.Upstream, r.Service, r.Limit = info, string(service), uint32(limit)
		r.Stopping, r.Leaving = isStopping, isLeaving
		if hasEndpoint(r) {
			pulse.Slots = r.Limit
		}
	})
	n.view.SetLoadReport(pulse)
	n.view.SetEvidence(wireEvidence(n.graph.Evidence()))
}

func (n *Node) tableVersion() world.ConfigVersion {
	if t := n.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// exchange asks the nodes that are due.
func (n *Node) exchange() {
	for _, name := range n.view.Targets() {
		n.ask(name)
	}
}

// exchangeSoon tells news without waiting for the next period.
func (n *Node) exchangeSoon() { n.Clock.After(0, n.exchange) }

func (n *Node) ask(name world.NodeID) {
	address, ok := n.view.AddressOf(name)
	if !ok || name == n.Info.Name {
		return
	}
	s := &n.news
	s.mu.Lock()
	if s.asking == nil {
		s.asking, s.again, s.told = map[world.NodeID]bool{}, map[world.NodeID]bool{}, map[world.NodeID]told{}
	}
	if s.asking[name] {
		s.again[name] = true
		s.mu.Unlock()
		return
	}
	s.asking[name] = true
	known := s.told[name]
	s.mu.Unlock()
	req := n.view.BuildRequest(name, n.needs.list(n.Clock.Now()))
	req.TableVersion, req.TableAgeMs = uint64(n.tableVersion()), n.tableAge().Milliseconds()
	req.QuarantineSince, req.QuarantineIncarnation = known.got, known.incarnation
	req.Quarantines, known.sent = n.quarantine.Export(known.sent)
	sent := n.Clock.Now()
	n.Links.Exchange(address, req, exchangeTimeout, func(reply *wire.ExchangeReply, err error) {
		if err == nil {
			n.noteTold(name, known, reply)
		}
		n.exchanged(name, address, req, sent, reply, err)
	})
}

func (n *Node) exchanged(name world.NodeID, address world.Address, req *wire.ExchangeRequest, sent time.Duration, reply *wire.ExchangeReply, err error) {
	s := &n.news
	s.mu.Lock()
	delete(s.asking, name)
	again := s.again[name]
	delete(s.again, name)
	s.mu.Unlock()
	if err != nil {
		n.view.MarkFailed(name)
		n.Events.Log(event.PeerSilent, event.Field{Name: "peer", Value: name}, event.Field{Name: "error", Value: err.Error()})
		return
	}
	n.view.HandleReply(name, req, reply)
	n.useRecords()
	n.noteVersion(address, world.ConfigVersion(reply.GetTableVersion()))
	if world.ConfigVersion(reply.GetTableVersion()) == n.tableVersion() {
		n.confirmTable(n.Clock.Now() - sent + time.Duration(reply.GetTableAgeMs())*time.Millisecond)
	}
	if reply.GetIsUnlisted() {
		n.entry.rewrite()
	}
	if again {
		n.ask(name)
	}
}

// HandleExchange serves an exchange of another node.
func (n *Node) HandleExchange(req *wire.ExchangeRequest) *wire.ExchangeReply {
	reply := n.view.HandleRequest(req)
	reply.TableVersion, reply.TableAgeMs = uint64(n.tableVersion()), n.tableAge().Milliseconds()
	reply.IsUnlisted = n.entry.misses(world.NodeID(req.GetNode()))
	n.answerQuarantines(req, reply)
	if address, ok := n.view.AddressOf(world.NodeID(req.GetNode())); ok {
		n.noteVersion(address, world.ConfigVersion(req.GetTableVersion()))
	}
	return reply
}

// noteVersion fetches the routing table of a node that is ahead.
func (n *Node) noteVersion(address world.Address, version world.ConfigVersion) {
	if version <= n.tableVersion() {
		return
	}
	s := &n.news
	s.mu.Lock()
	if s.fetching {
		s.mu.Unlock()
		return
	}
	s.fetching = true
	s.mu.Unlock()
	n.Links.FetchTable(address, tableTimeout, func(reply *wire.TableReply, err error) {
		s.mu.Lock()
		s.fetching = false
		s.mu.Unlock()
		if err == nil && len(reply.GetDocument()) > 0 {
			n.install(reply.GetDocument(), "node")
		}
	})
}

// askTokens asks the node that keeps a customer's tokens.
func (n *Node) askTokens(home world.NodeID, req *wire.TokenRequest, timeout time.Duration, done func(*wire.TokenReply, error)) {
	address, ok := n.view.AddressOf(home)
	if !ok {
		done(nil, world.ErrNotSent)
		return
	}
	n.Links.RequestTokens(address, req, timeout, done)
}

// HandleTokens grants tokens of the customers whose home this node is.
func (n *Node) HandleTokens(req *wire.TokenRequest) *wire.TokenReply { return n.gate.Grant(req) }

// HandleTable serves the routing table to another node.
func (n *Node) HandleTable() *wire.TableReply {
	t := n.table.Load()
	if t == nil {
		return &wire.TableReply{}
	}
	return &wire.TableReply{Version: uint64(t.Version), Document: t.document}
}

// ErrOldTable means that a routing table is not newer than the one in force.
var ErrOldTable = errors.New("routing table is not newer than the one in force")

// install puts a routing table in force if it is newer than the present one.
func (n *Node) install(document []byte, source string) {
	t, err := n.DecodeTable(document)
	if err != nil {
		n.Events.Log(event.ConfigRejected, event.Field{Name: "source", Value: source}, event.Field{Name: "error", Value: err.Error()})
		return
	}
	next := &installed{Table: t, document: document}
	n.mu.Lock()
	old := n.table.Load()
	isNewer := old == nil || t.Version > old.Version
	if isNewer {
		n.table.Store(next)
	}
	n.mu.Unlock()
	if !isNewer {
		return
	}
	n.Checks.That(old == nil || old.Version < t.Version, invar.ConfigMonotonic, "version %d after %d", t.Version, n.tableVersion())
	n.gate.SetCustomers(t.Customers)
	n.line.SetGrades(t.Grades)
	n.Events.Log(event.ConfigInstalled, event.Field{Name: "version", Value: t.Version}, event.Field{Name: "source", Value: source})
	n.refresh()
	n.exchangeSoon()
}

// hasEndpoint reports whether a node's upstream takes calls.
func hasEndpoint(r *wire.FleetRecord) bool {
	return r.GetUpstream().GetState() == wire.NodeState_NODE_STATE_READY && !r.GetLeaving()
}

// useRecords takes in what is known of the other nodes. What follows from their records alone
// is made anew only when one has changed.
func (n *Node) useRecords() {
	// The version first: a change in between is then taken in again, not passed over.
	version, t := n.view.Version(), n.table.Load()
	nodes := n.view.Nodes()
	n.gate.SetPeers(n.peersOf(nodes))
	n.usedMu.Lock()
	isNew := n.usedVersion != version || n.usedTable != t
	n.usedVersion, n.usedTable = version, t
	n.usedMu.Unlock()
	if isNew {
		n.learnGraph(nodes)
		n.picker.Update(endpointsOf(nodes))
		n.budgets.SetNodeCount(len(nodes))
	}
	n.useSums()
}

func (n *Node) peersOf(nodes []fleet.Node) []share.Peer {
	peers := make([]share.Peer, 0, len(nodes))
	for _, node := range nodes {
		if name := world.NodeID(node.Record.GetNode()); name != n.Info.Name {
			peers = append(peers, share.Peer{Node: name, Age: node.Age, IsLeaving: node.Record.GetStopping()})
		}
	}
	return peers
}

func endpointsOf(nodes []fleet.Node) []place.Endpoint {
	var endpoints []place.Endpoint
	for _, node := range nodes {
		r := node.Record
		if !hasEndpoint(r) {
			continue
		}
		endpoints = append(endpoints, place.Endpoint{
			Node:          world.NodeID(r.GetNode()),
			Domain:        world.DomainID(r.GetDomain()),
			Service:       world.ServiceID(r.GetService()),
			Peer:          world.Address(r.GetPeerAddress()),
			Instance:      world.InstanceID(r.GetUpstream().GetInstance()),
			Incarnation:   r.GetIncarnation(),
			IsUnreachable: node.IsUnreachable,
			Limit:         int(r.GetLimit()),
		})
	}
	return endpoints
}

// useSums takes in what the other nodes tell of loads.
func (n *Node) useSums() {
	sums, service := n.view.ServiceSums(), n.callerService()
	n.pressures.setSums(sums)
	own := sums.Of(service)
	n.line.SetOtherEndpoints(own.SlotDemand, own.Slots)
	n.heedOffers(own)
	rates := make(map[world.ServiceID]float64, len(sums)+1)
	for s, sum := range sums {
		rates[s] = sum.Arrivals
	}
	rates[service] += n.line.ArrivalRate()
	n.budgets.SetCallRates(rates)
	loads := n.view.Loads()
	running, waiting, _ := n.line.Counts()
	loads[n.Info.Name] = running + waiting
	n.picker.SetLoads(loads, n.view.Utilization())
}
