package fleet

import (
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"time"

	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// Times since a node last asked its relay, as multiples of the time between exchanges.
const (
	// lateAfter is when the relay no longer tells others that the node is alive: one period,
	// and half of one for what delays a timer and a message.
	lateAfter = 1.5
	// goneAfter is when its load counts no more: exchanges may be lost.
	goneAfter = 3
)

// enoughHeard is the part of the nodes that a newer report must hear, of those that an older
// one of the same failure domain does, to take its place: a relay that has just become one has
// not heard all yet.
const enoughHeard = 0.8

// report is what a relay tells of the nodes that it hears.
type report struct {
	relay       world.NodeID
	incarnation uint64
	domain      string
	// made is when the report was made, on this node's clock.
	made time.Duration
	// version rises when alive changes, index is the view's index of that.
	version, index uint64
	alive          []uint32
	sums           ServiceSums
	// uses are the parts of the slots in use, where the sums were left out.
	uses map[world.ServiceID]float64
	// evidence adds up what the nodes tell of the call graph, evidenceIndex is as index.
	evidence      []*wire.CallEvidence
	evidenceIndex uint64
}

// KeyOf names a node with its newest record in four bytes.
func KeyOf(r *wire.FleetRecord) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(r.GetNode()))
	_, _ = h.Write(strconv.AppendUint([]byte{0}, r.GetIncarnation(), 10))
	_, _ = h.Write(strconv.AppendUint([]byte{0}, r.GetSequence(), 10))
	return h.Sum32()
}

// renewsPerPeriod is how often in an exchange period a report is made anew at the most: the
// answers of a relay to the nodes of its failure domain share one.
const renewsPerPeriod = 10

// renewLocked makes this node's own report, and the total of all, unless they are new.
func (v *View) renewLocked() *report {
	now := v.clock.Now()
	if own := v.ownReport(); own.version > 0 && now-own.made < v.options.Period/renewsPerPeriod {
		return own
	}
	v.countLocked(v.ownReport(), now)
	v.total = ServiceSums{}
	for domain := range v.domains {
		if r := v.bestLocked(domain); r != nil {
			v.total.add(r.sums)
		}
	}
	return v.own
}

// ownReport returns this node's report as it was made last.
func (v *View) ownReport() *report {
	if v.own == nil {
		v.own = &report{relay: v.selfName()}
	}
	return v.own
}

// countLocked counts the nodes that this one hears in its own report.
func (v *View) countLocked(own *report, now time.Duration) {
	own.incarnation, own.domain, own.made = v.self.GetIncarnation(), v.self.GetDomain(), now
	own.sums = ServiceSums{}
	var alive []uint32
	for _, m := range v.domains[own.domain] {
		m.counted = nil
		if m.record.GetNode() == v.self.GetNode() {
			m.pulse, m.pulsed, m.heard = v.pulse, now, now
		}
		if m.pulse == nil || now-m.pulsed > goneAfter*v.options.Period {
			continue
		}
		if now-m.pulsed <= time.Duration(lateAfter*float64(v.options.Period)) {
			alive = append(alive, m.key)
		}
		m.counted = m.pulse
		own.sums.addPulse(world.ServiceID(m.record.GetService()), m.pulse)
	}
	slices.Sort(alive)
	if !slices.Equal(alive, own.alive) || own.version == 0 {
		v.index++
		own.alive, own.index = alive, v.index
		own.version++
	}
}

// reportLocked puts into an answer what the asking node needs. The relay of another failure
// domain gets the sums of this one, and those that it misses. A node of the own domain gets the
// sums over all, who is heard, and the load of the endpoints around it.
func (v *View) reportLocked(req *wire.ExchangeRequest, reply *wire.ExchangeReply, since uint64) {
	own := v.renewLocked()
	m := v.nodes[world.NodeID(req.GetNode())]
	if m == nil {
		return
	}
	if m.record.GetDomain() != own.domain {
		reply.Reports = append(reply.Reports, v.wireReportLocked(own, since, nil))
		for _, domain := range req.GetMisses() {
			if r := v.bestLocked(domain); r != nil && domain != own.domain {
				reply.Reports = append(reply.Reports, v.wireReportLocked(r, since, nil))
			}
		}
		return
	}
	needs := map[world.ServiceID]bool{}
	for _, service := range req.GetNeeds() {
		needs[world.ServiceID(service)] = true
	}
	for _, domain := range slices.Sorted(maps.Keys(v.domains)) {
		if r := v.bestLocked(domain); r != nil {
			reply.Reports = append(reply.Reports, v.wireReportLocked(r, since, req.GetNeeds()))
		}
	}
	reply.Sums = v.othersLocked(m).wire(needs, world.ServiceID(m.record.GetService()))
	reply.Loads = v.wireLoadsLocked(needs)
}

// wireReportLocked writes a report: with its sums, or for a node that needs some services with
// the use of these.
func (v *View) wireReportLocked(r *report, since uint64, needs []string) *wire.Report {
	w := &wire.Report{Relay: v.nodes[r.relay].key, AgeMs: uint32((v.clock.Now() - r.made).Milliseconds()), Version: r.version}
	if r.index > since {
		w.HasAlive, w.Alive = true, r.alive
	}
	if needs == nil {
		w.Sums = r.sums.wire(nil, "")
		if r.evidenceIndex > since {
			w.Evidence, w.HasEvidence = r.evidence, true
		}
		return w
	}
	for _, service := range needs {
		code := byte(unknownUse)
		if use, ok := r.useOf(world.ServiceID(service)); ok {
			code = byte(min(100*use, unknownUse-1))
		}
		w.Uses = append(w.Uses, code)
	}
	return w
}

// unknownUse stands for the use of a service that is not known.
const unknownUse = 255

// useOf is the part of a service's slots in use in the report's failure domain.
func (r *report) useOf(service world.ServiceID) (use float64, ok bool) {
	if s := r.sums[service]; s != nil && s.Slots > 0 {
		return s.Load / s.Slots, true
	}
	use, ok = r.uses[service]
	return use, ok
}

// allUses is the use of all services that the report tells of.
func (r *report) allUses() map[world.ServiceID]float64 {
	uses := make(map[world.ServiceID]float64, len(r.sums)+len(r.uses))
	maps.Copy(uses, r.uses)
	for service := range r.sums {
		if use, ok := r.useOf(service); ok {
			uses[service] = use
		}
	}
	return uses
}

// takeReportsLocked takes in reports; needs are the services that their uses are of, asked is when
// they were asked for. It returns false if they name nodes that are not known.
//
// A report's age counts from asked: were it counted from the answer, the way of each answer would make
// a report younger, and one that relays pass to each other would never grow old.
func (v *View) takeReportsLocked(list []*wire.Report, needs []string, asked time.Duration) (isKnown bool) {
	isKnown = true
	for _, w := range list {
		relay := v.keys[w.GetRelay()]
		if relay == nil {
			isKnown = false
			continue
		}
		if relay.record.GetNode() != v.self.GetNode() && !v.takeReportLocked(relay.record, w, needs, asked) {
			isKnown = false
		}
	}
	return isKnown
}

func (v *View) takeReportLocked(relay *wire.FleetRecord, w *wire.Report, needs []string, asked time.Duration) (isKnown bool) {
	name, incarnation := world.NodeID(relay.GetNode()), relay.GetIncarnation()
	made := asked - time.Duration(w.GetAgeMs())*time.Millisecond
	r := v.reports[name]
	if r != nil && incarnation == r.incarnation && made <= r.made {
		return true
	}
	isSame := r != nil && incarnation == r.incarnation && w.GetVersion() == r.version
	if !isSame && !w.GetHasAlive() {
		return false
	}
	if r == nil {
		r = &report{relay: name}
		v.reports[name] = r
	}
	if !isSame {
		v.index++
		r.incarnation, r.version, r.alive, r.index = incarnation, w.GetVersion(), w.GetAlive(), v.index
	}
	r.domain, r.made = relay.GetDomain(), made
	r.sums = sumsOf(w.GetSums())
	if w.GetHasEvidence() {
		v.index++
		r.evidence, r.evidenceIndex = w.GetEvidence(), v.index
	}
	r.uses = map[world.ServiceID]float64{}
	for i, code := range w.GetUses() {
		if i < len(needs) && code != unknownUse {
			r.uses[world.ServiceID(needs[i])] = float64(code) / 100
		}
	}
	return v.vouchLocked(r)
}

// vouchLocked notes that the nodes of a report were alive when it was made.
func (v *View) vouchLocked(r *report) (isKnown bool) {
	isKnown = true
	for _, key := range r.alive {
		m := v.keys[key]
		if m == nil {
			isKnown = false
			continue
		}
		m.heard = max(m.heard, r.made)
	}
	return isKnown
}

// bestLocked returns the report of a failure domain that counts, nil if none is fresh: the newest
// that hears enough of the nodes.
func (v *View) bestLocked(domain string) *report {
	now := v.clock.Now()
	most := 0
	var fresh []*report
	consider := func(r *report) {
		if r != nil && r.domain == domain && now-r.made <= silentAfter*v.options.Period && v.isOfNow(r) {
			fresh = append(fresh, r)
			most = max(most, len(r.alive))
		}
	}
	consider(v.own)
	for _, r := range v.reports {
		consider(r)
	}
	var best *report
	for _, r := range fresh {
		if float64(len(r.alive)) < enoughHeard*float64(most) {
			continue
		}
		if best == nil || r.made > best.made || r.made == best.made && r.relay < best.relay {
			best = r
		}
	}
	return best
}

// isOfNow reports whether the process that made a report is the newest that is known of its node.
func (v *View) isOfNow(r *report) bool {
	m := v.nodes[r.relay]
	return m != nil && m.record.GetIncarnation() == r.incarnation
}

// missesAfter is how many exchange periods ago the last report of a failure domain must have
// been made for the node to ask others for it.
const missesAfter = 3

// missesLocked returns the other failure domains of which there is no fresh report, but for one.
func (v *View) missesLocked(but string) []string {
	var misses []string
	for _, domain := range slices.Sorted(maps.Keys(v.domains)) {
		if domain == but || domain == v.self.GetDomain() {
			continue
		}
		if r := v.bestLocked(domain); r == nil || v.clock.Now()-r.made > missesAfter*v.options.Period {
			misses = append(misses, domain)
		}
	}
	return misses
}
