package fleet

import (
	"cmp"
	"slices"

	"wagtailyoke/core/wire"
)

// minEvidenceChange is the relative change in the number of executions behind an item of evidence from
// which the evidence is sent again.
const minEvidenceChange = 0.25

// SetEvidence sets the call graph evidence from the executions of the own upstream.
func (v *View) SetEvidence(list []*wire.CallEvidence) {
	v.mu.Lock()
	defer v.mu.Unlock()
	self := v.selfLocked()
	if evidenceUnchanged(self.evidence, list) {
		return
	}
	self.evidence = list
	v.evidenceIndex++
	v.updateOwnEvidenceLocked()
}

// evidenceUnchanged reports whether evidence has changed too little to be sent again.
func evidenceUnchanged(old, list []*wire.CallEvidence) bool {
	return slices.EqualFunc(old, list, func(a, b *wire.CallEvidence) bool {
		change := b.GetRuns() - a.GetRuns()
		return a.GetRoute() == b.GetRoute() && a.GetChild() == b.GetChild() && max(change, -change) < minEvidenceChange*a.GetRuns()
	})
}

// updateOwnEvidenceLocked adds up the evidence of the own failure domain. The sum is sent to other relays
// only after a significant change, as the evidence of some node changes every second.
func (v *View) updateOwnEvidenceLocked() {
	var lists [][]*wire.CallEvidence
	for _, m := range v.byDomain[v.self.GetDomain()] {
		lists = append(lists, m.evidence)
	}
	own, sum := v.ownReportLocked(), sumEvidence(lists)
	if evidenceUnchanged(own.evidence, sum) {
		return
	}
	v.index++
	own.evidence, own.evidenceIndex = sum, v.index
}

// Evidence returns the sum of the evidence of all nodes. It is complete only at a relay.
func (v *View) Evidence() []*wire.CallEvidence {
	v.mu.Lock()
	defer v.mu.Unlock()
	lists := [][]*wire.CallEvidence{v.ownReportLocked().evidence}
	for domain := range v.byDomain {
		if r := v.newestReportLocked(domain); domain != v.self.GetDomain() && r != nil {
			lists = append(lists, r.evidence)
		}
	}
	return sumEvidence(lists)
}

// newestReportLocked returns the newest report of another relay of a failure domain, regardless of its age:
// the call graph does not change because a failure domain is cut off.
func (v *View) newestReportLocked(domain string) *domainReport {
	var newest *domainReport
	for _, r := range v.reports {
		if r.domain == domain && (newest == nil || r.createdAt > newest.createdAt) {
			newest = r
		}
	}
	return newest
}

// SetEdges sets the call graph that a relay has inferred.
func (v *View) SetEdges(edges []*wire.CallEdge) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.setEdgesLocked(edges)
}

func (v *View) setEdgesLocked(edges []*wire.CallEdge) {
	if IsSameGraph(v.edges, edges) {
		return
	}
	v.index++
	v.version++
	v.edges, v.edgesIndex = edges, v.index
}

// IsSameGraph reports whether two call graphs are equal. Both must have the same order.
func IsSameGraph(a, b []*wire.CallEdge) bool {
	return slices.EqualFunc(a, b, func(a, b *wire.CallEdge) bool {
		return a.GetRoute() == b.GetRoute() && a.GetChild() == b.GetChild()
	})
}

// Edges returns the call graph.
func (v *View) Edges() []*wire.CallEdge {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.edges
}

// sumEvidence adds up lists of evidence, by route and child.
func sumEvidence(lists [][]*wire.CallEvidence) []*wire.CallEvidence {
	sums := map[[2]string]*wire.CallEvidence{}
	for _, list := range lists {
		for _, e := range list {
			key := [2]string{e.GetRoute(), e.GetChild()}
			sum := sums[key]
			if sum == nil {
				sum = &wire.CallEvidence{Route: e.GetRoute(), Child: e.GetChild()}
				sums[key] = sum
			}
			sum.Runs += e.GetRuns()
			sum.Sums = addElements(sum.Sums, e.GetSums())
			sum.Variances = addElements(sum.Variances, e.GetVariances())
		}
	}
	all := make([]*wire.CallEvidence, 0, len(sums))
	for _, e := range sums {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *wire.CallEvidence) int {
		return cmp.Or(cmp.Compare(a.GetRoute(), b.GetRoute()), cmp.Compare(a.GetChild(), b.GetChild()))
	})
	return all
}

// addElements adds a list to another one, element by element. Elements may fall below 0.
func addElements(sum, list []float32) []float32 {
	for i, x := range list {
		if i == len(sum) {
			sum = append(sum, 0)
		}
		sum[i] += x
	}
	return sum
}
