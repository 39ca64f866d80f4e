package bench

import (
	"container/heap"
	"time"
)

// epoch is the time at which every run starts.
var epoch = time.Unix(1_700_000_000, 0).UTC()

// loop is a queue of events in simulated time.
type loop struct {
	now    time.Time
	seq    uint64
	events eventHeap
}

func newLoop() *loop { return &loop{now: epoch} }

// after runs fn after a delay in simulated time.
func (l *loop) after(d time.Duration, fn func()) {
	l.seq++
	heap.Push(&l.events, event{at: l.now.Add(max(0, d)), seq: l.seq, fn: fn})
}

// every runs fn periodically, at first after offset.
func (l *loop) every(offset, period time.Duration, fn func()) {
	l.after(offset, func() {
		fn()
		l.every(period, period, fn)
	})
}

// run performs events until the given time.
func (l *loop) run(until time.Time) {
	for len(l.events) > 0 && !l.events[0].at.After(until) {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.fn()
	}
	l.now = until
}

// event is a function that is due at a time; seq keeps equal times in order.
type event struct {
	at  time.Time
	seq uint64
	fn  func()
}

type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}
