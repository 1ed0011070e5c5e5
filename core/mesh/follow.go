package mesh

import (
	"time"

	"github.com/pkg/errors"

	"wagtailyoke/core/event"
	"wagtailyoke/core/store"
)

// Kind is a kind of objects in the platform's store.
type Kind uint8

// Kinds of objects.
const (
	// KindTable holds the routing table, which operators write.
	KindTable Kind = iota
	// KindNode holds the entries of the nodes.
	KindNode
)

// Object is an object of the platform's store.
type Object struct {
	Name     string
	Revision uint64
	Value    []byte
	// IsDeleted is set in a change that deleted the object.
	IsDeleted bool
}

// Objects is the platform's store. Each done is called once. Errors are those of
// core/store.
type Objects interface {
	// List returns all objects of a kind, with the store's revision.
	List(kind Kind, done func(objects []Object, revision uint64, err error))
	// Watch returns the changes after a revision, or none when the wait ends.
	Watch(kind Kind, after uint64, wait time.Duration, done func(changes []Object, revision uint64, err error))
	// Put creates an object (revision 0) or replaces the one of a revision.
	Put(kind Kind, name string, revision uint64, value []byte, done func(Object, error))
	// Delete deletes the object of a revision.
	Delete(kind Kind, name string, revision uint64, done func(error))
}

// Timing of a follower.
const (
	// watchWait is how long the store holds a watch without a change. A silent store is
	// noticed that much later.
	watchWait = 10 * time.Second
	// leastFollowRetry and mostFollowRetry bound the wait after a failed call. All
	// nodes start again together after an outage, so the wait is spread.
	leastFollowRetry = 150 * time.Millisecond
	mostFollowRetry  = 900 * time.Millisecond
)

// follower keeps up with the objects of a kind.
type follower struct {
	n    *Node
	kind Kind
	// listed takes in all objects, changed one change.
	listed  func([]Object)
	changed func(Object)

	revision uint64
	failures int
}

func (f *follower) list() {
	f.n.Objects.List(f.kind, func(objects []Object, revision uint64, err error) {
		if err != nil {
			f.retry(err, f.list)
			return
		}
		f.succeeded()
		f.revision = revision
		f.listed(objects)
		f.watch()
	})
}

func (f *follower) watch() {
	if f.n.isOver() {
		return
	}
	f.n.Objects.Watch(f.kind, f.revision, watchWait, func(changes []Object, revision uint64, err error) {
		if errors.Is(err, store.ErrCompacted) {
			f.list()
			return
		}
		if err != nil {
			f.retry(err, f.watch)
			return
		}
		f.succeeded()
		f.revision = max(f.revision, revision)
		for _, o := range changes {
			f.changed(o)
		}
		f.watch()
	})
}

func (f *follower) succeeded() {
	if f.failures > 0 {
		f.n.Events.Log(event.PlatformBack, event.Field{Name: "kind", Value: int(f.kind)}, event.Field{Name: "failures", Value: f.failures})
	}
	f.failures = 0
}

func (f *follower) retry(err error, again func()) {
	if f.n.isOver() {
		return
	}
	if f.failures == 0 {
		f.n.Events.Log(event.PlatformLost, event.Field{Name: "kind", Value: int(f.kind)}, event.Field{Name: "error", Value: err.Error()})
	}
	f.failures++
	wait := min(leastFollowRetry<<min(f.failures-1, 3), mostFollowRetry)
	f.n.Clock.After(wait/2+time.Duration(f.n.draw()*float64(wait)), again)
}

// followTables keeps the newest routing table in force.
func (n *Node) followTables() {
	take := func(o Object) {
		if !o.IsDeleted && o.Name == tableName {
			n.install(o.Value, "platform")
		}
	}
	f := &follower{n: n, kind: KindTable, changed: take, listed: func(objects []Object) {
		for _, o := range objects {
			take(o)
		}
	}}
	f.list()
}

// tableName is the name of the object that holds the routing table.
const tableName = "main"

// followNodes keeps up with the entries of the nodes.
func (n *Node) followNodes() {
	a := &announcer{n: n}
	f := &follower{n: n, kind: KindNode, listed: a.listed, changed: a.changed}
	n.entry = a
	f.list()
}

func (n *Node) isOver() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isEnded
}
