package mesh

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"wagtailyoke/core/event"
	"wagtailyoke/core/fleet"
	"wagtailyoke/core/invar"
	"wagtailyoke/core/place"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// exchangeTimeout bounds an exchange with another node. A node that takes longer counts as failed.
const exchangeTimeout = 400 * time.Millisecond

// tableTimeout bounds the fetch of a routing table, which can be a megabyte.
const tableTimeout = time.Second

// exchangeState is the state of the exchange with other nodes.
type exchangeState struct {
	mu sync.Mutex
	// inFlight holds the nodes with an exchange in progress, repeat those that need another one
	// immediately afterwards.
	inFlight map[world.NodeID]bool
	repeat   map[world.NodeID]bool
	// fetchingTable means that a routing table is being fetched from a node.
	fetchingTable bool
	// syncs holds the state of the synchronization with each node.
	syncs map[world.NodeID]peerSync
}

// tick runs the periodic work: it measures, exchanges records and applies what was received.
func (n *Node) tick() {
	n.limiter.UpdateDemand()
	n.refreshOwnRecord()
	n.inferGraph()
	n.exchange()
	n.deleteAbandonedEntries()
	n.expireEvacuations()
	n.applyRecords()
	n.quarantineStore.persistIfMissing()
	n.departures.tick()
	n.graphStore.persistIfSettled()
	n.logLevel()
	n.updateCallRate()
	n.reportCutOffs()
	n.reportStats()
}

func (n *Node) reportStats() {
	stats := Stats{Level: n.serviceLevel(n.callerService()), TableVersion: n.tableVersion(), TableAge: n.tableAge()}
	stats.Running, stats.Waiting, stats.Limit = n.queue.Counts()
	evacuated, lost := n.evacuations.Domains()
	stats.IsCold, stats.Evacuated, stats.EvacuationsLost = n.coldGate.IsCold(), len(evacuated), len(lost)
	stats.StoreEra = n.storeEras.Present()
	stats.CallLimit, _ = n.rateGate.Limit()
	stats.CallRate = n.callMeter.callRate()
	stats.Suspects, stats.Banned = n.quarantine.Counts()
	for _, node := range n.view.Nodes() {
		stats.Nodes++
		if node.IsUnreachable {
			stats.Unreachable++
		}
	}
	n.Metrics.ReportStats(stats)
}

// refreshOwnRecord updates the record and load report that this node sends to others.
func (n *Node) refreshOwnRecord() {
	upstreamInfo := n.upstreamTracker.wireInfo()
	usableSlots := n.describeUsableSlots(upstreamInfo)
	service := n.callerService()
	running, waiting, limit := n.queue.Counts()
	isStopping, isLeaving := n.stopState()
	n.offeredLoad.EndWindow()
	report := &wire.Pulse{
		Load: uint32(running + waiting), Level: float32(n.queue.Level()), Needs: fleet.Float32s(n.queue.SlotDemand()),
		Arrivals: float32(n.queue.ArrivalRate()), Offers: n.wireOfferedLoad(),
		UsableSlots: usableSlots,
	}
	n.view.SetSelf(func(r *wire.FleetRecord) {
		r.Upstream, r.Service, r.Limit = upstreamInfo, string(service), uint32(limit)
		r.Stopping, r.Leaving = isStopping, isLeaving
		if acceptsCalls(r) && !n.evacuations.Contains(n.Info.Domain) {
			report.Slots = r.Limit
		}
	})
	n.view.SetLoadReport(report)
	n.view.SetEvidence(wireEvidence(n.graph.Evidence()))
}

func (n *Node) tableVersion() world.ConfigVersion {
	if t := n.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// exchange starts an exchange with each node that is due.
func (n *Node) exchange() {
	for _, name := range n.view.Targets() {
		n.exchangeWith(name)
	}
}

// exchangeSoon sends updates without waiting for the next period.
func (n *Node) exchangeSoon() { n.Clock.After(0, n.exchange) }

func (n *Node) exchangeWith(name world.NodeID) {
	address, ok := n.view.AddressOf(name)
	if !ok || name == n.Info.Name {
		return
	}
	s := &n.exchanges
	s.mu.Lock()
	if s.inFlight == nil {
		s.inFlight, s.repeat, s.syncs = map[world.NodeID]bool{}, map[world.NodeID]bool{}, map[world.NodeID]peerSync{}
	}
	if s.inFlight[name] {
		s.repeat[name] = true
		s.mu.Unlock()
		return
	}
	s.inFlight[name] = true
	syncState := s.syncs[name]
	s.mu.Unlock()
	req := n.view.BuildRequest(name, n.usedServices.list(n.Clock.Now()))
	req.TableVersion, req.TableAgeMs = uint64(n.tableVersion()), n.tableAge().Milliseconds()
	req.QuarantineSince, req.QuarantineIncarnation = syncState.receivedQuarantines, syncState.incarnation
	req.Quarantines, syncState.sentQuarantines = n.quarantine.Export(syncState.sentQuarantines)
	req.Departures, syncState.sentDepartures = n.departures.set.Export(syncState.sentDepartures)
	req.DeparturesSince, req.KnowsDepartures = syncState.receivedDepartures, n.departures.isInformed()
	req.Evacuations, req.StoreEra = n.evacuations.Export(), uint64(n.storeEras.Present())
	sent := n.Clock.Now()
	n.Links.Exchange(address, req, exchangeTimeout, func(reply *wire.ExchangeReply, err error) {
		if err == nil {
			n.handleSyncReply(name, syncState, reply)
		}
		n.handleExchangeResult(name, address, req, sent, reply, err)
	})
}

func (n *Node) handleExchangeResult(name world.NodeID, address world.Address, req *wire.ExchangeRequest, sent time.Duration, reply *wire.ExchangeReply, err error) {
	s := &n.exchanges
	s.mu.Lock()
	delete(s.inFlight, name)
	repeat := s.repeat[name]
	delete(s.repeat, name)
	s.mu.Unlock()
	if err != nil {
		n.view.MarkFailed(name)
		n.Events.Log(event.PeerUnreachable, event.Field{Name: "peer", Value: name}, event.Field{Name: "error", Value: err.Error()})
		return
	}
	n.observeEra(reply.GetStoreEra(), string(name))
	n.mergeEvacuations(reply.GetEvacuations(), name)
	n.view.HandleReply(name, req, reply)
	n.applyRecords()
	n.fetchNewerTable(address, world.ConfigVersion(reply.GetTableVersion()))
	if world.ConfigVersion(reply.GetTableVersion()) == n.tableVersion() {
		n.confirmTable(n.Clock.Now() - sent + time.Duration(reply.GetTableAgeMs())*time.Millisecond)
	}
	if reply.GetIsUnlisted() {
		n.announcer.rewrite()
	}
	if repeat {
		n.exchangeWith(name)
	}
}

// HandleExchange answers an exchange request of another node.
func (n *Node) HandleExchange(req *wire.ExchangeRequest) *wire.ExchangeReply {
	n.observeEra(req.GetStoreEra(), req.GetNode())
	n.mergeEvacuations(req.GetEvacuations(), world.NodeID(req.GetNode()))
	hasCutOffs := n.view.IsRelay() && n.changesCutOffs(req.GetRecords())
	reply := n.view.HandleRequest(req)
	if hasCutOffs {
		n.exchangeSoon()
	}
	reply.Evacuations, reply.StoreEra = n.evacuations.Export(), uint64(n.storeEras.Present())
	reply.TableVersion, reply.TableAgeMs = uint64(n.tableVersion()), n.tableAge().Milliseconds()
	reply.IsUnlisted = n.announcer.isUnlisted(world.NodeID(req.GetNode()))
	n.handleSyncRequest(req, reply)
	if address, ok := n.view.AddressOf(world.NodeID(req.GetNode())); ok {
		n.fetchNewerTable(address, world.ConfigVersion(req.GetTableVersion()))
	}
	return reply
}

// fetchNewerTable fetches the routing table of a node whose version is newer.
func (n *Node) fetchNewerTable(address world.Address, version world.ConfigVersion) {
	if version <= n.tableVersion() {
		return
	}
	s := &n.exchanges
	s.mu.Lock()
	if s.fetchingTable {
		s.mu.Unlock()
		return
	}
	s.fetchingTable = true
	s.mu.Unlock()
	n.Links.FetchTable(address, tableTimeout, func(reply *wire.TableReply, err error) {
		s.mu.Lock()
		s.fetchingTable = false
		s.mu.Unlock()
		if err == nil && len(reply.GetDocument()) > 0 {
			n.installTable(reply.GetDocument(), "node")
		}
	})
}

// HandleTable returns the routing table to another node.
func (n *Node) HandleTable() *wire.TableReply {
	t := n.table.Load()
	if t == nil {
		return &wire.TableReply{}
	}
	return &wire.TableReply{Version: uint64(t.Version), Document: t.document}
}

// ErrOldTable means that a routing table is not newer than the installed one.
var ErrOldTable = errors.New("routing table is not newer than the installed one")

// installTable installs a routing table if it is newer than the present one.
func (n *Node) installTable(document []byte, source string) {
	t, err := n.DecodeTable(document)
	if err != nil {
		n.Events.Log(event.ConfigRejected, event.Field{Name: "source", Value: source}, event.Field{Name: "error", Value: err.Error()})
		return
	}
	installed := &installedTable{Table: t, document: document}
	n.mu.Lock()
	old := n.table.Load()
	isNewer := old == nil || t.Version > old.Version
	if isNewer {
		n.table.Store(installed)
	}
	n.mu.Unlock()
	if !isNewer {
		return
	}
	n.Checks.That(old == nil || old.Version < t.Version, invar.ConfigMonotonic, "version %d after %d", t.Version, n.tableVersion())
	n.limiter.SetCustomers(t.Customers)
	n.queue.SetGrades(t.Grades)
	n.applyColdLimits()
	n.Events.Log(event.ConfigInstalled, event.Field{Name: "version", Value: t.Version}, event.Field{Name: "source", Value: source})
	n.refreshOwnRecord()
	n.exchangeSoon()
}

// acceptsCalls reports whether a node's upstream accepts calls.
func acceptsCalls(r *wire.FleetRecord) bool {
	return r.GetUpstream().GetState() == wire.NodeState_NODE_STATE_READY && !r.GetLeaving()
}

// applyRecords updates the state that depends on the records of other nodes. State that depends on
// these records alone is recomputed only when one has changed.
func (n *Node) applyRecords() {
	// Read the version first: a change after that is applied again rather than missed.
	version, t, evacuation, departure := n.view.Version(), n.table.Load(), n.evacuations.Version(), n.departures.set.Version()
	nodes := n.view.Nodes()
	sharing := n.sharingNodes.update(nodes)
	n.retryBudgets.SetNodeCount(sharing)
	n.appliedMu.Lock()
	hasChanged := n.appliedVersion != version || n.appliedTable != t || n.appliedEvacuation != evacuation || n.appliedDeparture != departure
	n.appliedVersion, n.appliedTable, n.appliedEvacuation, n.appliedDeparture = version, t, evacuation, departure
	n.appliedMu.Unlock()
	if hasChanged {
		n.applyGraph(nodes)
		endpoints := n.endpointsOf(nodes)
		n.picker.Update(endpoints)
		n.noticeBoard.update(endpoints, sharing)
	}
	n.applyServiceSums()
}

func (n *Node) endpointsOf(nodes []fleet.Node) []place.Endpoint {
	var endpoints []place.Endpoint
	for _, node := range nodes {
		r := node.Record
		if !acceptsCalls(r) || n.evacuations.Contains(world.DomainID(r.GetDomain())) || n.departures.set.Has(processOf(r)) {
			continue
		}
		endpoints = append(endpoints, place.Endpoint{
			Node:          world.NodeID(r.GetNode()),
			Domain:        world.DomainID(r.GetDomain()),
			Region:        n.Options.Regions[world.DomainID(r.GetDomain())],
			Service:       world.ServiceID(r.GetService()),
			Peer:          world.Address(r.GetPeerAddress()),
			Instance:      world.InstanceID(r.GetUpstream().GetInstance()),
			Incarnation:   r.GetIncarnation(),
			IsUnreachable: node.IsUnreachable,
			Limit:         int(r.GetLimit()),
			UsableShare:   float64(r.GetUpstream().GetUsableShare()),
			StartedUnixMs: r.GetUpstream().GetBornUnixMs(), FollowsNotices: r.GetUpstream().GetFollowsNotices(),
		})
	}
	return endpoints
}

// applyServiceSums updates the state that depends on the loads that other nodes report.
func (n *Node) applyServiceSums() {
	sums, service := n.view.ServiceSums(), n.callerService()
	n.serviceLoads.setSums(sums)
	own := sums.Of(service)
	n.queue.SetOtherEndpoints(own.SlotDemand, own.Slots)
	n.applyOfferedLoad(own)
	rates := make(map[world.ServiceID]float64, len(sums)+1)
	for s, sum := range sums {
		rates[s] = sum.Arrivals
	}
	rates[service] += n.queue.ArrivalRate()
	n.retryBudgets.SetCallRates(rates)
	loads := n.view.Loads()
	running, waiting, _ := n.queue.Counts()
	loads[n.Info.Name] = running + waiting
	n.picker.SetLoads(loads, n.view.Utilization())
}
