package node

import (
	"time"

	"github.com/pkg/errors"

	"wagtailyoke/core/event"
	"wagtailyoke/core/once"
	"wagtailyoke/core/store"
	"wagtailyoke/core/world"
)

// QuarantineKey is the object store's key for the quarantine, the requests that crashed
// upstreams.
const QuarantineKey = "quarantine"

// quarantineSyncInterval is how often a leader compares its quarantine with the object store.
const quarantineSyncInterval = time.Second

// persistQuarantine synchronizes the quarantine with the object store while this node
// leads. The quarantine thus survives a restart of all nodes and reaches failure domains
// that are isolated from each other.
func (n *Node) persistQuarantine(epoch world.Epoch) {
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
		n.Clock.After(quarantineSyncInterval, func() { n.persistQuarantine(epoch) })
	})
}

func (n *Node) restoreQuarantine(o store.Object) {
	held, err := once.DecodeEntries(o.Value)
	if err != nil {
		n.Events.Log(event.EntryRejected, event.Field{Name: "error", Value: errors.Wrapf(err, "object %q", o.Key).Error()})
	}
	if n.quarantine.Restore(held, n.Clock.Wall()) {
		n.announceQuarantine()
		n.requestHeartbeat()
	}
	n.writeQuarantine(o.Version, held)
}

// writeQuarantine replaces the object of a version if it lacks entries. After a conflict
// with another leader, the next read gets that leader's entries.
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
