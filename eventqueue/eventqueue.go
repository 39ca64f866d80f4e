// Package eventqueue orders values by the time at which they are due; those due at
// the same time keep the order in which they were added.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue holds values by their time. The zero Queue is empty and ready for use. It
// is not safe for concurrent use.
type Queue[T any] struct {
	entries entries[T]
	seq     uint64
}

// entry is a value with its time; seq keeps equal times in order.
type entry[T any] struct {
	at    time.Time
	seq   uint64
	value T
}

// Push adds a value.
func (q *Queue[T]) Push(at time.Time, value T) {
	q.seq++
	heap.Push(&q.entries, entry[T]{at: at, seq: q.seq, value: value})
}

// Next returns the time of the first value; false if there is none.
func (q *Queue[T]) Next() (time.Time, bool) {
	if len(q.entries) == 0 {
		return time.Time{}, false
	}
	return q.entries[0].at, true
}

// PopDue removes and returns the first value with its time; false if none is due
// at a time.
func (q *Queue[T]) PopDue(now time.Time) (time.Time, T, bool) {
	if at, ok := q.Next(); !ok || at.After(now) {
		var zero T
		return time.Time{}, zero, false
	}
	e := heap.Pop(&q.entries).(entry[T])
	return e.at, e.value, true
}

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
