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

// Times since a node's last request to its relay, in exchange periods.
const (
	// alivePeriods is the time after which the relay no longer reports the node as alive: one
	// period, and half of one for delays of the timer and the message.
	alivePeriods = 1.5
	// loadPeriods is the time after which its load is no longer counted. It is longer because
	// exchanges may be lost.
	loadPeriods = 3
)

// minAliveFraction is the number of alive nodes that a newer report must list to replace an older one of
// the same failure domain, as a fraction of those in the older one. A relay that has just taken over has
// not received requests from all nodes yet.
const minAliveFraction = 0.8

// domainReport is what the relay of a failure domain reports about the nodes that it can reach.
type domainReport struct {
	relay       world.NodeID
	incarnation uint64
	domain      string
	// createdAt is when the report was made, by this node's clock.
	createdAt time.Duration
	// version rises when alive changes. index is the view's index at that change. alive holds the
	// keys of the nodes that the relay can reach.
	version, index uint64
	alive          []uint32
	sums           ServiceSums
	// utilization is the fraction of slots in use, for reports received without sums.
	utilization map[world.ServiceID]float64
	// evidence is the sum of the nodes' call graph evidence, evidenceIndex the view's index at its
	// last change.
	evidence      []*wire.CallEvidence
	evidenceIndex uint64
}

// KeyOf returns a 4-byte key that identifies a node and the version of its record.
func KeyOf(r *wire.FleetRecord) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(r.GetNode()))
	_, _ = h.Write(strconv.AppendUint([]byte{0}, r.GetIncarnation(), 10))
	_, _ = h.Write(strconv.AppendUint([]byte{0}, r.GetSequence(), 10))
	return h.Sum32()
}

// maxRebuildsPerPeriod limits how often the own report is rebuilt in an exchange period. The replies of a
// relay to the nodes of its failure domain share one report.
const maxRebuildsPerPeriod = 10

// refreshReportLocked rebuilds this node's own report and the sums over all failure domains, unless they
// are recent enough.
func (v *View) refreshReportLocked() *domainReport {
	now := v.clock.Now()
	if own := v.ownReportLocked(); own.version > 0 && now-own.createdAt < v.options.Period/maxRebuildsPerPeriod {
		return own
	}
	v.rebuildOwnReportLocked(v.ownReportLocked(), now)
	v.totalSums = ServiceSums{}
	for domain := range v.byDomain {
		if r := v.currentReportLocked(domain); r != nil {
			v.totalSums.add(r.sums)
		}
	}
	return v.ownReport
}

// ownReportLocked returns this node's own report without rebuilding it.
func (v *View) ownReportLocked() *domainReport {
	if v.ownReport == nil {
		v.ownReport = &domainReport{relay: v.selfName()}
	}
	return v.ownReport
}

// rebuildOwnReportLocked fills this node's own report with the nodes of its failure domain.
func (v *View) rebuildOwnReportLocked(own *domainReport, now time.Duration) {
	own.incarnation, own.domain, own.createdAt = v.self.GetIncarnation(), v.self.GetDomain(), now
	own.sums = ServiceSums{}
	var alive []uint32
	for _, m := range v.byDomain[own.domain] {
		m.countedReport = nil
		if m.record.GetNode() == v.self.GetNode() {
			m.loadReport, m.loadReportedAt, m.lastSeen = v.loadReport, now, now
		}
		if m.loadReport == nil || now-m.loadReportedAt > loadPeriods*v.options.Period {
			continue
		}
		if now-m.loadReportedAt <= time.Duration(alivePeriods*float64(v.options.Period)) {
			alive = append(alive, m.key)
		}
		m.countedReport = m.loadReport
		own.sums.addLoadReport(world.ServiceID(m.record.GetService()), m.loadReport)
	}
	slices.Sort(alive)
	if !slices.Equal(alive, own.alive) || own.version == 0 {
		v.index++
		own.alive, own.index = alive, v.index
		own.version++
	}
}

// addReportsLocked adds to a reply the reports that the requesting node needs. The relay of another failure
// domain gets the report of this one, and those that its request lists as missing. A node of the own failure
// domain gets the sums over all failure domains, the lists of alive nodes, and the loads of the endpoints
// in its failure domain.
func (v *View) addReportsLocked(req *wire.ExchangeRequest, reply *wire.ExchangeReply, since uint64) {
	own := v.refreshReportLocked()
	m := v.nodes[world.NodeID(req.GetNode())]
	if m == nil {
		return
	}
	if m.record.GetDomain() != own.domain {
		reply.Reports = append(reply.Reports, v.encodeReportLocked(own, since, nil))
		for _, domain := range req.GetMisses() {
			if r := v.currentReportLocked(domain); r != nil && domain != own.domain {
				reply.Reports = append(reply.Reports, v.encodeReportLocked(r, since, nil))
			}
		}
		return
	}
	needs := map[world.ServiceID]bool{}
	for _, service := range req.GetNeeds() {
		needs[world.ServiceID(service)] = true
	}
	for _, domain := range slices.Sorted(maps.Keys(v.byDomain)) {
		if r := v.currentReportLocked(domain); r != nil {
			reply.Reports = append(reply.Reports, v.encodeReportLocked(r, since, req.GetNeeds()))
		}
	}
	reply.Sums = v.sumsExceptLocked(m).encode(needs, world.ServiceID(m.record.GetService()))
	reply.Loads = v.encodeLoadsLocked(needs)
}

// encodeReportLocked encodes a report. If needs is nil it includes the sums, else the utilization of the
// services in needs.
func (v *View) encodeReportLocked(r *domainReport, since uint64, needs []string) *wire.Report {
	w := &wire.Report{Relay: v.nodes[r.relay].key, AgeMs: uint32((v.clock.Now() - r.createdAt).Milliseconds()), Version: r.version}
	if r.index > since {
		w.HasAlive, w.Alive = true, r.alive
	}
	if needs == nil {
		w.Sums = r.sums.encode(nil, "")
		if r.evidenceIndex > since {
			w.Evidence, w.HasEvidence = r.evidence, true
		}
		return w
	}
	for _, service := range needs {
		percent := byte(unknownUtilization)
		if fraction, ok := r.utilizationOf(world.ServiceID(service)); ok {
			percent = byte(min(100*fraction, unknownUtilization-1))
		}
		w.Uses = append(w.Uses, percent)
	}
	return w
}

// unknownUtilization stands for an unknown utilization in a message, where others are in percent.
const unknownUtilization = 255

// utilizationOf returns the fraction of a service's slots in use in the report's failure domain.
func (r *domainReport) utilizationOf(service world.ServiceID) (fraction float64, ok bool) {
	if s := r.sums[service]; s != nil && s.Slots > 0 {
		return s.Load / s.Slots, true
	}
	fraction, ok = r.utilization[service]
	return fraction, ok
}

// allUtilization returns the utilization of all services in the report.
func (r *domainReport) allUtilization() map[world.ServiceID]float64 {
	all := make(map[world.ServiceID]float64, len(r.sums)+len(r.utilization))
	maps.Copy(all, r.utilization)
	for service := range r.sums {
		if fraction, ok := r.utilizationOf(service); ok {
			all[service] = fraction
		}
	}
	return all
}

// mergeReportsLocked stores received reports. needs are the services to which their utilization lists
// refer, requestedAt is when the request was made. It returns false if a report refers to unknown nodes.
//
// A report's age counts from the request. If it counted from the reply, the delay of each reply would make
// the report younger, and one that relays pass to each other would never expire.
func (v *View) mergeReportsLocked(list []*wire.Report, needs []string, requestedAt time.Duration) (allKnown bool) {
	allKnown = true
	for _, w := range list {
		relay := v.byKey[w.GetRelay()]
		if relay == nil {
			allKnown = false
			continue
		}
		if relay.record.GetNode() != v.self.GetNode() && !v.mergeReportLocked(relay.record, w, needs, requestedAt) {
			allKnown = false
		}
	}
	return allKnown
}

// mergeReportLocked stores one received report, see mergeReportsLocked.
func (v *View) mergeReportLocked(relay *wire.FleetRecord, w *wire.Report, needs []string, requestedAt time.Duration) (allKnown bool) {
	name, incarnation := world.NodeID(relay.GetNode()), relay.GetIncarnation()
	createdAt := requestedAt - time.Duration(w.GetAgeMs())*time.Millisecond
	r := v.reports[name]
	if r != nil && incarnation == r.incarnation && createdAt <= r.createdAt {
		return true
	}
	unchanged := r != nil && incarnation == r.incarnation && w.GetVersion() == r.version
	if !unchanged && !w.GetHasAlive() {
		return false
	}
	if r == nil {
		r = &domainReport{relay: name}
		v.reports[name] = r
	}
	if !unchanged {
		v.index++
		r.incarnation, r.version, r.alive, r.index = incarnation, w.GetVersion(), w.GetAlive(), v.index
	}
	r.domain, r.createdAt = relay.GetDomain(), createdAt
	r.sums = decodeSums(w.GetSums())
	if w.GetHasEvidence() {
		v.index++
		r.evidence, r.evidenceIndex = w.GetEvidence(), v.index
	}
	r.utilization = map[world.ServiceID]float64{}
	for i, percent := range w.GetUses() {
		if i < len(needs) && percent != unknownUtilization {
			r.utilization[world.ServiceID(needs[i])] = float64(percent) / 100
		}
	}
	return v.confirmAliveLocked(r)
}

// confirmAliveLocked records that the nodes listed in a report were alive when it was made.
func (v *View) confirmAliveLocked(r *domainReport) (allKnown bool) {
	allKnown = true
	for _, key := range r.alive {
		m := v.byKey[key]
		if m == nil {
			allKnown = false
			continue
		}
		m.lastSeen, m.confirmed = max(m.lastSeen, r.createdAt), true
	}
	return allKnown
}

// currentReportLocked returns the report to use for a failure domain: the newest of those that list enough
// alive nodes (minAliveFraction). It returns nil if no report is recent.
func (v *View) currentReportLocked(domain string) *domainReport {
	now := v.clock.Now()
	maxAlive := 0
	var fresh []*domainReport
	consider := func(r *domainReport) {
		if r != nil && r.domain == domain && now-r.createdAt <= unreachablePeriods*v.options.Period && v.isFromCurrentProcess(r) {
			fresh = append(fresh, r)
			maxAlive = max(maxAlive, len(r.alive))
		}
	}
	consider(v.ownReport)
	for _, r := range v.reports {
		consider(r)
	}
	var best *domainReport
	for _, r := range fresh {
		if float64(len(r.alive)) < minAliveFraction*float64(maxAlive) {
			continue
		}
		if best == nil || r.createdAt > best.createdAt || r.createdAt == best.createdAt && r.relay < best.relay {
			best = r
		}
	}
	return best
}

// isFromCurrentProcess reports whether a report has the newest known incarnation of its relay.
func (v *View) isFromCurrentProcess(r *domainReport) bool {
	m := v.nodes[r.relay]
	return m != nil && m.record.GetIncarnation() == r.incarnation
}

// staleReportPeriods is the age, in exchange periods, from which a failure domain's report is also
// requested from the relays of other failure domains.
const staleReportPeriods = 3

// staleDomainsLocked returns the other failure domains that have no recent report, except one.
func (v *View) staleDomainsLocked(except string) []string {
	var stale []string
	for _, domain := range slices.Sorted(maps.Keys(v.byDomain)) {
		if domain == except || domain == v.self.GetDomain() {
			continue
		}
		if r := v.currentReportLocked(domain); r == nil || v.clock.Now()-r.createdAt > staleReportPeriods*v.options.Period {
			stale = append(stale, domain)
		}
	}
	return stale
}
