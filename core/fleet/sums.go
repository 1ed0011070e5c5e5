package fleet

import (
	"maps"
	"slices"

	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// ServiceSum adds up the load reports of several nodes that concern a service. Nodes with an endpoint of the
// service report that endpoint's load. All nodes report the rates of the requests that enter at
// them and reach the service.
type ServiceSum struct {
	// Slots is the number of slots of the endpoints. Load is the number of calls running or waiting there.
	Slots, Load float64
	// WeightedLevels is the sum of the endpoints' admission levels, each multiplied by its slots.
	WeightedLevels float64
	// SlotDemand is the number of slots that calls need, by grade.
	SlotDemand []float64
	// Arrivals is the rate of calls, per second.
	Arrivals float64
	// Requested and Admitted are the rates of requests made by callers and of those admitted, per second,
	// by grade.
	Requested, Admitted []float64
}

// Level returns the mean admission level of the endpoints, weighted by their slots.
func (s ServiceSum) Level() float64 {
	if s.Slots == 0 {
		return 0
	}
	return s.WeightedLevels / s.Slots
}

// ServiceSums are the sums of services.
type ServiceSums map[world.ServiceID]*ServiceSum

// Of returns the sum of a service.
func (s ServiceSums) Of(service world.ServiceID) ServiceSum {
	if sum := s[service]; sum != nil {
		return *sum
	}
	return ServiceSum{}
}

// at returns the sum of a service, and adds an empty one if there is none.
func (s ServiceSums) at(service world.ServiceID) *ServiceSum {
	sum := s[service]
	if sum == nil {
		sum = &ServiceSum{}
		s[service] = sum
	}
	return sum
}

// addLoadReport adds the load report of a node with an endpoint of a service.
func (s ServiceSums) addLoadReport(service world.ServiceID, p *wire.Pulse) {
	s.addScaledLoadReport(service, p, 1)
}

// subtractLoadReport subtracts a load report that was added.
func (s ServiceSums) subtractLoadReport(service world.ServiceID, p *wire.Pulse) {
	s.addScaledLoadReport(service, p, -1)
}

func (s ServiceSums) addScaledLoadReport(service world.ServiceID, p *wire.Pulse, factor float64) {
	sum := s.at(service)
	slots := float64(p.GetSlots())
	if usable := float64(p.GetUsableSlots()); usable > 0 {
		slots = min(slots, usable)
	}
	sum.Slots = max(sum.Slots+factor*slots, 0)
	sum.Load = max(sum.Load+factor*float64(p.GetLoad()), 0)
	sum.Arrivals = max(sum.Arrivals+factor*float64(p.GetArrivals()), 0)
	if slots > 0 {
		sum.WeightedLevels = max(sum.WeightedLevels+factor*slots*float64(p.GetLevel()), 0)
		sum.SlotDemand = addScaled(sum.SlotDemand, p.GetNeeds(), factor)
	}
	for _, o := range p.GetOffers() {
		offered := s.at(world.ServiceID(o.GetService()))
		offered.Requested = addScaled(offered.Requested, o.GetAsked(), factor)
		offered.Admitted = addScaled(offered.Admitted, o.GetLetIn(), factor)
	}
}

// add adds the sums of another failure domain.
func (s ServiceSums) add(other ServiceSums) {
	for service, o := range other {
		sum := s.at(service)
		sum.Slots += o.Slots
		sum.Load += o.Load
		sum.WeightedLevels += o.WeightedLevels
		sum.Arrivals += o.Arrivals
		sum.SlotDemand = addScaled(sum.SlotDemand, o.SlotDemand, 1)
		sum.Requested = addScaled(sum.Requested, o.Requested, 1)
		sum.Admitted = addScaled(sum.Admitted, o.Admitted, 1)
	}
}

// addScaled adds a list, multiplied by a factor, to another one, element by element. No element falls
// below 0.
func addScaled[N float32 | float64](sum []float64, list []N, factor float64) []float64 {
	for i, x := range list {
		if i == len(sum) {
			sum = append(sum, 0)
		}
		sum[i] = max(sum[i]+factor*float64(x), 0)
	}
	return sum
}

// encode encodes the sums of the services in needs, or of all if needs is nil. If needs is set, the lists
// by grade are included only for own, the receiver's service; others get the total slot demand.
func (s ServiceSums) encode(needs map[world.ServiceID]bool, own world.ServiceID) []*wire.ServiceSum {
	var list []*wire.ServiceSum
	for _, service := range slices.Sorted(maps.Keys(s)) {
		if needs != nil && !needs[service] {
			continue
		}
		sum := s[service]
		w := &wire.ServiceSum{
			Service: string(service), Slots: float32(sum.Slots), Load: float32(sum.Load), Levels: float32(sum.WeightedLevels), Arrivals: float32(sum.Arrivals),
		}
		if needs == nil || service == own {
			w.Needs, w.Asked, w.LetIn = Float32s(sum.SlotDemand), Float32s(sum.Requested), Float32s(sum.Admitted)
		} else {
			w.Needs = Float32s([]float64{Total(sum.SlotDemand)})
		}
		list = append(list, w)
	}
	return list
}

// Total adds up a list by grade.
func Total(list []float64) float64 {
	sum := 0.0
	for _, x := range list {
		sum += x
	}
	return sum
}

// Float32s converts a list to the type of the wire messages.
func Float32s(list []float64) []float32 {
	out := make([]float32, 0, len(list))
	for _, x := range list {
		out = append(out, float32(x))
	}
	return out
}

func decodeSums(list []*wire.ServiceSum) ServiceSums {
	sums := ServiceSums{}
	for _, w := range list {
		sums[world.ServiceID(w.GetService())] = &ServiceSum{
			Slots: float64(w.GetSlots()), Load: float64(w.GetLoad()), WeightedLevels: float64(w.GetLevels()), Arrivals: float64(w.GetArrivals()),
			SlotDemand: addScaled(nil, w.GetNeeds(), 1), Requested: addScaled(nil, w.GetAsked(), 1), Admitted: addScaled(nil, w.GetLetIn(), 1),
		}
	}
	return sums
}

// maxLoadsPerReply limits the endpoint loads in one reply. If there are more endpoints, successive replies
// cover different ones.
const maxLoadsPerReply = 32

// sumsExceptLocked returns the sums over all failure domains without the load report of one node of the own
// failure domain. A node that is not the relay has no reports with sums: it uses the sums it received from
// the relay, which exclude its own load report, and adds that for a requesting node.
func (v *View) sumsExceptLocked(except *member) ServiceSums {
	sums := ServiceSums{}
	if !v.isRelayLocked() {
		if v.relaySumsFreshLocked() {
			sums.add(v.relaySums)
		}
		if except.record.GetNode() != v.self.GetNode() {
			sums.addLoadReport(world.ServiceID(v.self.GetService()), v.loadReport)
		}
		return sums
	}
	v.refreshReportLocked()
	sums.add(v.totalSums)
	if except.countedReport != nil {
		sums.subtractLoadReport(world.ServiceID(except.record.GetService()), except.countedReport)
	}
	return sums
}

// relaySumsFreshLocked reports whether the sums from the relay are recent enough to be used.
func (v *View) relaySumsFreshLocked() bool {
	return v.relaySums != nil && v.clock.Now()-v.relaySumsAt <= unreachablePeriods*v.options.Period
}

// storeRelaySumsLocked stores the sums and endpoint loads from a reply of the relay.
func (v *View) storeRelaySumsLocked(reply *wire.ExchangeReply) {
	v.relaySums = decodeSums(reply.GetSums())
	v.relaySumsAt = v.clock.Now()
	v.relayLoads = map[world.NodeID]int{}
	for _, l := range reply.GetLoads() {
		if m := v.byKey[l.GetKey()]; m != nil {
			v.relayLoads[world.NodeID(m.record.GetNode())] = int(l.GetLoad())
		}
	}
}

// ServiceSums returns the sums over the other reachable nodes, by service.
func (v *View) ServiceSums() ServiceSums {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.sumsExceptLocked(v.selfLocked())
}

// Loads returns the last known number of calls at the endpoints of the own failure domain, by node.
func (v *View) Loads() map[world.NodeID]int {
	v.mu.Lock()
	defer v.mu.Unlock()
	loads := map[world.NodeID]int{}
	if !v.isRelayLocked() {
		if v.relaySumsFreshLocked() {
			maps.Copy(loads, v.relayLoads)
		}
		return loads
	}
	for _, m := range v.reportingMembersLocked() {
		loads[world.NodeID(m.record.GetNode())] = int(m.loadReport.GetLoad())
	}
	return loads
}

// reportingMembersLocked returns the nodes of the own failure domain with a recent load report.
func (v *View) reportingMembersLocked() []*member {
	var reporting []*member
	for _, m := range v.byDomain[v.self.GetDomain()] {
		if m.loadReport != nil && v.clock.Now()-m.loadReportedAt <= unreachablePeriods*v.options.Period {
			reporting = append(reporting, m)
		}
	}
	return reporting
}

func (v *View) encodeLoadsLocked(needs map[world.ServiceID]bool) []*wire.EndpointLoad {
	var all []*wire.EndpointLoad
	for _, m := range v.reportingMembersLocked() {
		if m.loadReport.GetSlots() > 0 && needs[world.ServiceID(m.record.GetService())] {
			all = append(all, &wire.EndpointLoad{Key: m.key, Load: m.loadReport.GetLoad()})
		}
	}
	if len(all) <= maxLoadsPerReply {
		return all
	}
	v.loadsOffset = (v.loadsOffset + maxLoadsPerReply) % len(all)
	return append(slices.Clone(all[v.loadsOffset:]), all[:v.loadsOffset]...)[:maxLoadsPerReply]
}

// Utilization returns the fraction of each service's slots in use, by failure domain, as far as known.
func (v *View) Utilization() map[world.DomainID]map[world.ServiceID]float64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	utilization := make(map[world.DomainID]map[world.ServiceID]float64, len(v.byDomain))
	for domain := range v.byDomain {
		if r := v.currentReportLocked(domain); r != nil {
			utilization[world.DomainID(domain)] = r.allUtilization()
		}
	}
	return utilization
}
