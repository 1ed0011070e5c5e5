package timer

import (
	"container/heap"
	"time"
)

// Virtual is a Service for tests. It must be used from one goroutine only: callbacks run
// inside Run, ordered by due time and then by the order of the After calls.
type Virtual struct {
	now    time.Duration
	epoch  time.Time
	seq    uint64
	events eventHeap
}

// NewVirtual returns a clock at instant 0 with a fixed wall-clock origin.
func NewVirtual() *Virtual {
	return &Virtual{epoch: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
}

// Now returns the current virtual instant.
func (v *Virtual) Now() time.Duration { return v.now }

// Wall returns the virtual wall-clock time.
func (v *Virtual) Wall() time.Time { return v.epoch.Add(v.now) }

// After calls f once, after the virtual duration d.
func (v *Virtual) After(d time.Duration, f func()) Stop {
	if d < 0 {
		d = 0
	}
	v.seq++
	e := &event{at: v.now + d, seq: v.seq, f: f}
	heap.Push(&v.events, e)
	return func() { e.f = nil }
}

// Run advances the clock to the given instant and calls all callbacks due by then.
func (v *Virtual) Run(until time.Duration) {
	for len(v.events) > 0 && v.events[0].at <= until {
		e := heap.Pop(&v.events).(*event)
		v.now = e.at
		if e.f != nil {
			e.f()
		}
	}
	v.now = until
}

type event struct {
	at  time.Duration
	seq uint64
	f   func()
}

type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(*event)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
