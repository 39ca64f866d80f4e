package engine

import (
	"container/heap"
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// errBusy means that the queue is full.
var errBusy = errors.New("queue is full")

// batch hands out the slots of the continuous batch by priority, then by order
// of arrival.
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

// waiter is a request that waits for a slot.
type waiter struct {
	priority int
	arrival  int64
	admitted chan struct{}
	index    int
}

// await waits until a queued request gets its slot. Every slot needs a leave.
func (b *batch) await(ctx context.Context, w *waiter) error {
	select {
	case <-w.admitted:
		return nil
	case <-ctx.Done():
	}
	if b.withdraw(w) {
		return context.Cause(ctx)
	}
	return nil
}

// queue takes a free slot, and returns nil then, or queues a waiter.
func (b *batch) queue(priority int) (*waiter, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.running < b.slots {
		b.running++
		return nil, nil
	}
	if len(b.waiting) >= b.maxQueue {
		return nil, errBusy
	}
	b.arrivals++
	w := &waiter{priority: priority, arrival: b.arrivals, admitted: make(chan struct{})}
	heap.Push(&b.waiting, w)
	return w, nil
}

// withdraw takes a waiter out of the queue. It returns false if the waiter got
// its slot before.
func (b *batch) withdraw(w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.index < 0 {
		return false
	}
	heap.Remove(&b.waiting, w.index)
	return true
}

// leave gives a slot back or hands it to the first waiter.
func (b *batch) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) == 0 {
		b.running--
		return
	}
	w := heap.Pop(&b.waiting).(*waiter)
	close(w.admitted)
}

// counts returns the requests in slots and in the queue.
func (b *batch) counts() (running, queued int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running, len(b.waiting)
}

// waiters is a heap of waiters; a waiter outside it has a negative index.
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
