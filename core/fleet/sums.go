package fleet

import (
	"maps"
	"slices"

	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// ServiceSum adds up what several nodes tell that concerns a service: those beside its endpoints tell
// of these, and all tell how many requests that reach it callers asked for.
type ServiceSum struct {
	// Slots are those of the endpoints, Load the calls in them and in line.
	Slots, Load float64
	// WeightedLevels is the sum of the admission levels, each times its slots.
	WeightedLevels float64
	// SlotDemand are the slots that the calls need, by grade.
	SlotDemand []float64
	// Arrivals are the calls a second.
	Arrivals float64
	// Requested and Admitted are requests a second, by grade.
	Requested, Admitted []float64
}

// Level is the mean of the endpoints' admission levels.
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

func (s ServiceSums) at(service world.ServiceID) *ServiceSum {
	sum := s[service]
	if sum == nil {
		sum = &ServiceSum{}
		s[service] = sum
	}
	return sum
}

// addPulse adds the pulse of a node beside an endpoint of a service.
func (s ServiceSums) addPulse(service world.ServiceID, p *wire.Pulse) { s.scalePulse(service, p, 1) }

// takePulse takes out a pulse that was added.
func (s ServiceSums) takePulse(service world.ServiceID, p *wire.Pulse) { s.scalePulse(service, p, -1) }

func (s ServiceSums) scalePulse(service world.ServiceID, p *wire.Pulse, by float64) {
	sum := s.at(service)
	slots := float64(p.GetSlots())
	sum.Slots = max(sum.Slots+by*slots, 0)
	sum.Load = max(sum.Load+by*float64(p.GetLoad()), 0)
	sum.Arrivals = max(sum.Arrivals+by*float64(p.GetArrivals()), 0)
	if slots > 0 {
		sum.WeightedLevels = max(sum.WeightedLevels+by*slots*float64(p.GetLevel()), 0)
		sum.SlotDemand = addScaled(sum.SlotDemand, p.GetNeeds(), by)
	}
	for _, o := range p.GetOffers() {
		of := s.at(world.ServiceID(o.GetService()))
		of.Requested = addScaled(of.Requested, o.GetAsked(), by)
		of.Admitted = addScaled(of.Admitted, o.GetLetIn(), by)
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

// addScaled adds a list to another one, place by place. No place falls below 0.
func addScaled[N float32 | float64](sum []float64, list []N, by float64) []float64 {
	for i, x := range list {
		if i == len(sum) {
			sum = append(sum, 0)
		}
		sum[i] = max(sum[i]+by*float64(x), 0)
	}
	return sum
}

// wire writes the sums of some services, all if needs is nil. Of those other than the receiver's
// own service, it leaves out what only the service itself needs.
func (s ServiceSums) wire(needs map[world.ServiceID]bool, own world.ServiceID) []*wire.ServiceSum {
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

// Float32s shortens a list by grade for a message.
func Float32s(list []float64) []float32 {
	short := make([]float32, 0, len(list))
	for _, x := range list {
		short = append(short, float32(x))
	}
	return short
}

func sumsOf(list []*wire.ServiceSum) ServiceSums {
	sums := ServiceSums{}
	for _, w := range list {
		sums[world.ServiceID(w.GetService())] = &ServiceSum{
			Slots: float64(w.GetSlots()), Load: float64(w.GetLoad()), WeightedLevels: float64(w.GetLevels()), Arrivals: float64(w.GetArrivals()),
			SlotDemand: addScaled(nil, w.GetNeeds(), 1), Requested: addScaled(nil, w.GetAsked(), 1), Admitted: addScaled(nil, w.GetLetIn(), 1),
		}
	}
	return sums
}

// mostLoads bounds the endpoints whose load is told in one answer. Where there are more, they
// take turns.
const mostLoads = 32

// othersLocked adds up the reports of all failure domains, but for what one node of the own
// domain told. A node that is not the relay has no reports with sums, and tells what the relay
// told it.
func (v *View) othersLocked(but *member) ServiceSums {
	sums := ServiceSums{}
	if !v.isRelayLocked() {
		if v.areSumsFreshLocked() {
			sums.add(v.sums)
		}
		if but.record.GetNode() != v.self.GetNode() {
			sums.addPulse(world.ServiceID(v.self.GetService()), v.pulse)
		}
		return sums
	}
	v.renewLocked()
	sums.add(v.total)
	if but.counted != nil {
		sums.takePulse(world.ServiceID(but.record.GetService()), but.counted)
	}
	return sums
}

func (v *View) areSumsFreshLocked() bool {
	return v.sums != nil && v.clock.Now()-v.summed <= silentAfter*v.options.Period
}

// takeSumsLocked takes in what the relay told of the other nodes.
func (v *View) takeSumsLocked(reply *wire.ExchangeReply) {
	v.sums = sumsOf(reply.GetSums())
	v.summed = v.clock.Now()
	v.loads = map[world.NodeID]int{}
	for _, l := range reply.GetLoads() {
		if m := v.keys[l.GetKey()]; m != nil {
			v.loads[world.NodeID(m.record.GetNode())] = int(l.GetLoad())
		}
	}
}

// ServiceSums returns what the other nodes that are heard tell, by service.
func (v *View) ServiceSums() ServiceSums {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.othersLocked(v.selfLocked())
}

// Loads returns the calls at the endpoints of the own failure domain that were told last, by node.
func (v *View) Loads() map[world.NodeID]int {
	v.mu.Lock()
	defer v.mu.Unlock()
	loads := map[world.NodeID]int{}
	if !v.isRelayLocked() {
		if v.areSumsFreshLocked() {
			maps.Copy(loads, v.loads)
		}
		return loads
	}
	for _, m := range v.heardLocked() {
		loads[world.NodeID(m.record.GetNode())] = int(m.pulse.GetLoad())
	}
	return loads
}

// heardLocked returns the nodes of the own failure domain whose pulse is known.
func (v *View) heardLocked() []*member {
	var heard []*member
	for _, m := range v.domains[v.self.GetDomain()] {
		if m.pulse != nil && v.clock.Now()-m.pulsed <= silentAfter*v.options.Period {
			heard = append(heard, m)
		}
	}
	return heard
}

func (v *View) wireLoadsLocked(needs map[world.ServiceID]bool) []*wire.EndpointLoad {
	var all []*wire.EndpointLoad
	for _, m := range v.heardLocked() {
		if m.pulse.GetSlots() > 0 && needs[world.ServiceID(m.record.GetService())] {
			all = append(all, &wire.EndpointLoad{Key: m.key, Load: m.pulse.GetLoad()})
		}
	}
	if len(all) <= mostLoads {
		return all
	}
	v.turn = (v.turn + mostLoads) % len(all)
	return append(slices.Clone(all[v.turn:]), all[:v.turn]...)[:mostLoads]
}

// Utilization returns the part of the slots of services that is in use, by failure domain, as far as it
// was told.
func (v *View) Utilization() map[world.DomainID]map[world.ServiceID]float64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	uses := make(map[world.DomainID]map[world.ServiceID]float64, len(v.domains))
	for domain := range v.domains {
		if r := v.bestLocked(domain); r != nil {
			uses[world.DomainID(domain)] = r.allUses()
		}
	}
	return uses
}
