package mesh

import (
	"math"

	"wagtailyoke/core/wire"
)

// minUsableShare keeps a cold or limited endpoint distinct from others, for which no share is sent.
const minUsableShare = 1.0 / 256

// usableSlots returns the number of the upstream's slots that calls can use.
func (n *Node) usableSlots() float64 {
	if n.evacuations.Contains(n.Info.Domain) {
		return 0
	}
	return n.queue.Capacity()
}

// describeUsableSlots adds to the upstream's information which share of its slots calls can use. It returns
// the number of these slots, 0 if they are all usable.
func (n *Node) describeUsableSlots(info *wire.UpstreamInfo) (usableSlots float32) {
	_, isLimited := n.rateGate.Limit()
	if info == nil || !isLimited && !n.coldGate.IsCold() {
		return 0
	}
	capacity := n.queue.Capacity()
	if capacity >= float64(info.Slots) {
		return 0
	}
	share := max(capacity/max(float64(info.Slots), 1), minUsableShare)
	// The record is sent whenever it changes, so the share is rounded to a power of two.
	info.UsableShare = float32(math.Exp2(math.Ceil(math.Log2(share))))
	return float32(max(capacity, minUsableShare))
}
