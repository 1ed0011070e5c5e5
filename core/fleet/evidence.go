package fleet

import (
	"cmp"
	"slices"

	"wagtailyoke/core/wire"
)

// evidenceStep is by how much the number of runs behind a piece of evidence must have changed for
// it to be told anew.
const evidenceStep = 0.25

// SetEvidence takes in what the own upstream's runs tell of the call graph.
func (v *View) SetEvidence(list []*wire.CallEvidence) {
	v.mu.Lock()
	defer v.mu.Unlock()
	self := v.selfLocked()
	if isAsBefore(self.evidence, list) {
		return
	}
	self.evidence = list
	v.evidenceIndex++
	v.addEvidenceLocked()
}

// isAsBefore reports whether evidence has changed too little to be told.
func isAsBefore(old, list []*wire.CallEvidence) bool {
	return slices.EqualFunc(old, list, func(a, b *wire.CallEvidence) bool {
		change := b.GetRuns() - a.GetRuns()
		return a.GetRoute() == b.GetRoute() && a.GetChild() == b.GetChild() && max(change, -change) < evidenceStep*a.GetRuns()
	})
}

// addEvidenceLocked adds up the evidence of the own failure domain anew. Other relays are told if that
// makes a difference: some node's evidence changes each second.
func (v *View) addEvidenceLocked() {
	var lists [][]*wire.CallEvidence
	for _, m := range v.domains[v.self.GetDomain()] {
		lists = append(lists, m.evidence)
	}
	own, sum := v.ownReport(), addEvidence(lists)
	if isAsBefore(own.evidence, sum) {
		return
	}
	v.index++
	own.evidence, own.evidenceIndex = sum, v.index
}

// Evidence returns the evidence of all nodes, added up. Only a relay has it.
func (v *View) Evidence() []*wire.CallEvidence {
	v.mu.Lock()
	defer v.mu.Unlock()
	lists := [][]*wire.CallEvidence{v.ownReport().evidence}
	for domain := range v.domains {
		if r := v.lastLocked(domain); domain != v.self.GetDomain() && r != nil {
			lists = append(lists, r.evidence)
		}
	}
	return addEvidence(lists)
}

// lastLocked is the newest report of a failure domain, however old: calls stay as they are while a
// domain is cut off.
func (v *View) lastLocked(domain string) *report {
	var last *report
	for _, r := range v.reports {
		if r.domain == domain && (last == nil || r.made > last.made) {
			last = r
		}
	}
	return last
}

// SetEdges takes in the call graph that a relay has decided on.
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

// IsSameGraph reports whether two call graphs in a fixed order are the same.
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

// addEvidence adds up lists of evidence.
func addEvidence(lists [][]*wire.CallEvidence) []*wire.CallEvidence {
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
			sum.Sums = addPlaces(sum.Sums, e.GetSums())
			sum.Variances = addPlaces(sum.Variances, e.GetVariances())
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

// addPlaces adds a list to another one, place by place. Places may be below 0.
func addPlaces(sum, list []float32) []float32 {
	for i, x := range list {
		if i == len(sum) {
			sum = append(sum, 0)
		}
		sum[i] += x
	}
	return sum
}
