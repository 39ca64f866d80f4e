// Package eventqueue provides a priority queue that orders values by the time at
// which they are due. Values that are due at the same time keep the order in which
// they were added.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue is a priority queue of values, ordered by the time at which they are due.
// The zero Queue is empty and ready for use. A Queue is not safe for concurrent
// use.
type Queue[T any] struct {
	entries entries[T]
	// seq is the sequence number of the value that was added last.
	seq uint64
}

// entry is a value with the time at which it is due. seq orders entries that are
// due at the same time.
type entry[T any] struct {
	at    time.Time
	seq   uint64
	value T
}

// Push adds a value that is due at the given time.
func (q *Queue[T]) Push(at time.Time, value T) {
	q.seq++
	heap.Push(&q.entries, entry[T]{at: at, seq: q.seq, value: value})
}

// Next returns the time at which the first value is due, and false if the queue is
// empty.
func (q *Queue[T]) Next() (time.Time, bool) {
	if len(q.entries) == 0 {
		return time.Time{}, false
	}
	return q.entries[0].at, true
}

// PopDue removes the first value and returns it with the time at which it was due.
// If no value is due at now, it removes none and returns false.
func (q *Queue[T]) PopDue(now time.Time) (time.Time, T, bool) {
	if at, ok := q.Next(); !ok || at.After(now) {
		var zero T
		return time.Time{}, zero, false
	}
	e := heap.Pop(&q.entries).(entry[T])
	return e.at, e.value, true
}

// entries is the binary heap of a Queue; it implements heap.Interface.
type entries[T any] []entry[T]

// Len implements heap.Interface.
func (h entries[T]) Len() int { return len(h) }

// Less implements heap.Interface.
func (h entries[T]) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}

// Swap implements heap.Interface.
func (h entries[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *entries[T]) Push(x any) { *h = append(*h, x.(entry[T])) }

// Pop implements heap.Interface.
func (h *entries[T]) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = entry[T]{}
	*h = old[:len(old)-1]
	return e
}
