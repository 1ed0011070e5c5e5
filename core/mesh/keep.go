package mesh

import (
	"time"

	"wagtailyoke/core/event"
	"wagtailyoke/core/once"
)

// quarantineName is the name of the object that holds the requests that ended upstreams.
const quarantineName = "quarantine"

// relayDelay is how long relays leave it to the node whose upstream ended to write.
const relayDelay = time.Second

// keeper keeps what is known of requests that ended upstreams in the platform's store, so that
// it outlives all nodes and passes where the nodes do not reach each other.
type keeper struct {
	common[[]once.StoredEntry]

	// logged are the bans in force that stand in the log.
	logged map[uint64]bool
	// since is when something was first seen to be missing in the store, 0 if nothing is.
	since time.Duration
	// isFinder means that the upstream of this node has ended since the store held all.
	isFinder bool
}

func newKeeper(n *Node) *keeper {
	return &keeper{
		common: common[[]once.StoredEntry]{n: n, name: quarantineName, encode: once.EncodeEntries, decode: once.DecodeEntries},
		logged: map[uint64]bool{},
	}
}

// take takes in the object as the store holds it. One that is malformed is written anew.
func (k *keeper) take(o Object) {
	held, isNewest := k.read(o)
	if !isNewest {
		return
	}
	if k.n.quarantine.Restore(held, k.n.Clock.Wall()) {
		k.n.noteBans(heldBefore)
		k.n.exchangeSoon()
	}
}

// found notes that the upstream of this node has ended.
func (k *keeper) found() {
	k.mu.Lock()
	k.isFinder = true
	k.mu.Unlock()
	k.keep()
}

// keep writes the object if it lacks something. The node whose upstream ended does so at once,
// the relays if it has not.
func (k *keeper) keep() {
	now := k.n.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.n.quarantine.IsUpToDate(k.held, k.n.Clock.Wall()) {
		k.since, k.isFinder = 0, false
		return
	}
	if k.since == 0 {
		k.since = now
	}
	mayWrite := k.isFinder || k.n.view.IsRelay() && now-k.since >= relayDelay
	if !mayWrite || !k.mayWriteLocked() {
		return
	}
	k.writing = true
	k.n.Clock.After(0, func() { k.write(k.n.quarantine.Snapshot(k.n.Clock.Wall()), k.wasWritten) })
}

func (k *keeper) wasWritten(outdone *Object, err error) {
	switch {
	case outdone != nil:
		// Others have written meanwhile: what they know counts too.
		k.take(*outdone)
		k.keep()
	case err != nil:
		k.n.Events.Log(event.QuarantineNotKept, event.Field{Name: "error", Value: err.Error()})
	}
}

// noteBans logs the requests that are banned from now on.
func (n *Node) noteBans(source string) {
	var fresh []uint64
	inForce := map[uint64]bool{}
	k := n.keeper
	k.mu.Lock()
	for _, fingerprint := range n.quarantine.Banned() {
		inForce[fingerprint] = true
		if !k.logged[fingerprint] {
			fresh = append(fresh, fingerprint)
		}
	}
	k.logged = inForce
	k.mu.Unlock()
	if len(fresh) == 0 {
		return
	}
	n.Events.Log(event.RequestsBanned, event.Field{Name: "requests", Value: len(fresh)},
		event.Field{Name: "fingerprints", Value: formatFingerprints(fresh)}, event.Field{Name: "source", Value: source})
}
