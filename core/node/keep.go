package node

import (
	"time"

	"github.com/pkg/errors"

	"wagtailyoke/core/event"
	"wagtailyoke/core/once"
	"wagtailyoke/core/store"
	"wagtailyoke/core/world"
)

// QuarantineKey is the platform's key of the requests that ended upstreams.
const QuarantineKey = "quarantine"

// keepPeriod is how often a leader compares what it knows of them with the platform's.
const keepPeriod = time.Second

// keepQuarantine keeps what is known of requests that ended upstreams in the platform's store while
// this node leads, so that it outlives all nodes and reaches failure domains that are cut off from
// each other.
func (n *Node) keepQuarantine(epoch world.Epoch) {
	if r := n.role.Load(); r == nil || r.epoch != epoch {
		return
	}
	n.Platform.Get(QuarantineKey, func(o store.Object, err error) {
		switch {
		case err == nil:
			n.restoreQuarantine(o)
		case errors.Is(err, store.ErrNotFound):
			n.writeQuarantine(0, nil)
		}
		n.Clock.After(keepPeriod, func() { n.keepQuarantine(epoch) })
	})
}

func (n *Node) restoreQuarantine(o store.Object) {
	held, err := once.DecodeEntries(o.Value)
	if err != nil {
		n.Events.Log(event.EntryRejected, event.Field{Name: "error", Value: errors.Wrapf(err, "object %q", o.Key).Error()})
	}
	if n.quarantine.Restore(held, n.Clock.Wall()) {
		n.spreadQuarantine()
		n.beatSoon()
	}
	n.writeQuarantine(o.Version, held)
}

// writeQuarantine replaces the object of a version if it lacks something. If another leader was
// faster, the next look finds it.
func (n *Node) writeQuarantine(version uint64, held []once.StoredEntry) {
	wall := n.Clock.Wall()
	if n.quarantine.IsUpToDate(held, wall) {
		return
	}
	value, err := once.EncodeEntries(n.quarantine.Snapshot(wall))
	if err != nil {
		n.Events.Log(event.QuarantineNotStored, event.Field{Name: "error", Value: err.Error()})
		return
	}
	n.Platform.Put(QuarantineKey, version, value, func(_ uint64, err error) {
		if err != nil && !errors.Is(err, store.ErrConflict) {
			n.Events.Log(event.QuarantineNotStored, event.Field{Name: "error", Value: err.Error()})
		}
	})
}
