package mesh

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"wagtailyoke/core/event"
	"wagtailyoke/core/store"
)

// commonRetry is the least time between a failed write of a common object and the next one.
const commonRetry = time.Second

// common is an object of all nodes in the platform's store. It lies among the entries of the nodes,
// so that the same list and watch bring both.
type common[T any] struct {
	n      *Node
	name   string
	encode func(T) ([]byte, error)
	decode func([]byte) (T, error)

	mu sync.Mutex
	// revision is of the object as it was last seen, 0 if there is none, held what is in it.
	revision uint64
	held     T
	writing  bool
	// dueAt is when it may be written again.
	dueAt time.Duration
}

// read takes in the object as the store holds it, false if a newer one was seen. One that is
// malformed holds nothing.
func (c *common[T]) read(o Object) (held T, isNewest bool) {
	if !o.IsDeleted {
		var err error
		if held, err = c.decode(o.Value); err != nil {
			c.n.Events.Log(event.EntryRejected, event.Field{Name: "error", Value: errors.Wrapf(err, "object %q", o.Name).Error()})
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if o.Revision < c.revision {
		return held, false
	}
	c.revision, c.held = o.Revision, held
	if o.IsDeleted {
		c.revision = 0
	}
	return held, true
}

// mayWriteLocked reports whether the object may be written now.
func (c *common[T]) mayWriteLocked() bool { return !c.writing && c.n.Clock.Now() >= c.dueAt }

// write puts the next state into the store. outdone is the object that another node has written
// meanwhile, if that is why it failed.
func (c *common[T]) write(next T, done func(outdone *Object, err error)) {
	value, err := c.encode(next)
	if err != nil {
		c.wrote(next, Object{}, err, done)
		return
	}
	c.mu.Lock()
	revision := c.revision
	c.mu.Unlock()
	c.n.Store.Put(KindNode, c.name, revision, value, func(o Object, err error) { c.wrote(next, o, err, done) })
}

func (c *common[T]) wrote(next T, o Object, err error, done func(outdone *Object, err error)) {
	var outdone *Object
	if errors.Is(err, store.ErrConflict) && o.Revision > 0 {
		outdone = &o
	}
	c.mu.Lock()
	c.writing = false
	switch {
	case err == nil && o.Revision >= c.revision:
		c.revision, c.held = o.Revision, next
	case errors.Is(err, store.ErrNotFound):
		c.revision = 0
	case err != nil && outdone == nil:
		c.dueAt = max(c.dueAt, c.n.Clock.Now()+commonRetry)
	}
	c.mu.Unlock()
	done(outdone, err)
}
