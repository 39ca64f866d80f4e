package engine

import (
	"container/heap"
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// errQueueFull says that no slot is free and the queue for slots is full.
var errQueueFull = errors.New("queue is full")

// batch assigns the slots of the continuous batch to requests by priority, then
// by order of arrival.
type batch struct {
	mu       sync.Mutex
	slots    int
	maxQueue int
	running  int
	arrivals int64
	waiting  waiters
}

func newBatch(slots, maxQueue int) *batch {
	return &batch{slots: slots, maxQueue: maxQueue}
}

// waiter is a request in the queue for a slot.
type waiter struct {
	priority int
	arrival  int64
	admitted chan struct{}
	index    int
}

// wait waits until a queued request gets its slot, and returns nil then. The
// slot must be given back with release. If the context ends first, wait takes
// the request out of the queue and returns the context's cause.
func (b *batch) wait(ctx context.Context, w *waiter) error {
	select {
	case <-w.admitted:
		return nil
	case <-ctx.Done():
	}
	if b.dequeue(w) {
		return context.Cause(ctx)
	}
	return nil
}

// acquireOrQueue takes a free slot and returns a nil waiter, or else queues and
// returns a waiter. It fails with errQueueFull if the queue is full.
func (b *batch) acquireOrQueue(priority int) (*waiter, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.running < b.slots {
		b.running++
		return nil, nil
	}
	if len(b.waiting) >= b.maxQueue {
		return nil, errQueueFull
	}
	b.arrivals++
	w := &waiter{priority: priority, arrival: b.arrivals, admitted: make(chan struct{})}
	heap.Push(&b.waiting, w)
	return w, nil
}

// dequeue takes a waiter out of the queue. It returns false if the waiter has
// got a slot already.
func (b *batch) dequeue(w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.index < 0 {
		return false
	}
	heap.Remove(&b.waiting, w.index)
	return true
}

// release gives a slot to the first waiter in the queue, or frees it if the
// queue is empty.
func (b *batch) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) == 0 {
		b.running--
		return
	}
	w := heap.Pop(&b.waiting).(*waiter)
	close(w.admitted)
}

// counts returns the number of requests in slots and in the queue.
func (b *batch) counts() (running, queued int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running, len(b.waiting)
}

// waiters is a heap of queued requests. A waiter that has left the heap has a
// negative index.
type waiters []*waiter

func (h waiters) Len() int { return len(h) }
func (h waiters) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority > h[j].priority
	}
	return h[i].arrival < h[j].arrival
}
func (h waiters) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *waiters) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waiters) Pop() any {
	old := *h
	w := old[len(old)-1]
	w.index = -1
	*h = old[:len(old)-1]
	return w
}
