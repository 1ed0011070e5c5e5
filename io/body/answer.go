package body

import (
	"sync"

	"wagtailyoke/core/world"
)

// Answer passes a reply to the handler that waits for it. It closes the body of a reply for which nobody waits any
// more.
type Answer struct {
	replies chan *world.Reply

	mu          sync.Mutex
	isAbandoned bool
}

// NewAnswer returns an Answer without a reply.
func NewAnswer() *Answer { return &Answer{replies: make(chan *world.Reply, 1)} }

// Set passes the reply. It must be called at most once.
func (a *Answer) Set(r *world.Reply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isAbandoned {
		closeRest(r)
		return
	}
	a.replies <- r
}

// Replies returns the channel that receives the reply.
func (a *Answer) Replies() <-chan *world.Reply { return a.replies }

// Abandon says that nobody waits for the reply any more.
func (a *Answer) Abandon() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.isAbandoned = true
	select {
	case r := <-a.replies:
		closeRest(r)
	default:
	}
}

func closeRest(r *world.Reply) {
	if r.Rest != nil {
		_ = r.Rest.Close()
	}
}
