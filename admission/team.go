package admission

import (
	"container/heap"
	"time"
)

// team is one team's requests in a pool.
type team struct {
	name string
	// served is the team's virtual time: the service it was given, brought
	// forward whenever the team comes back from having nothing to do.
	served time.Duration
	// running counts admitted requests.
	running int
	// waiting holds waiting requests by urgency.
	waiting [tiers]waitQueue
}

// Tiers of a pool's queue, in the order in which they are served.
const (
	tierUrgent = iota
	tierNormal
	tiers
)

// waits counts the waiting requests of the team.
func (t *team) waits() int { return len(t.waiting[tierUrgent]) + len(t.waiting[tierNormal]) }

// idle reports whether the team has nothing in the pool.
func (t *team) idle() bool { return t.running == 0 && t.waits() == 0 }

// waitQueue is a heap of waiting requests, the earliest latest start first.
type waitQueue []*request

// Len implements heap.Interface.
func (q waitQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q waitQueue) Less(i, j int) bool {
	if q[i].latest.Equal(q[j].latest) {
		return q[i].seq < q[j].seq
	}
	return q[i].latest.Before(q[j].latest)
}

// Swap implements heap.Interface.
func (q waitQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *waitQueue) Push(x any) {
	r := x.(*request)
	r.index = len(*q)
	*q = append(*q, r)
}

// Pop implements heap.Interface.
func (q *waitQueue) Pop() any {
	old := *q
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return r
}

// last returns the waiting request of the lowest tier that starts last, nil if
// there is none.
func (t *team) last() *request {
	var last *request
	for tier := tiers - 1; tier >= 0 && last == nil; tier-- {
		for _, r := range t.waiting[tier] {
			if last == nil || r.latest.After(last.latest) {
				last = r
			}
		}
	}
	return last
}

// before counts the requests that must start no later than a time.
func (q waitQueue) before(latest time.Time) int {
	n := 0
	for _, r := range q {
		if !r.latest.After(latest) {
			n++
		}
	}
	return n
}

// add lets a request wait.
func (t *team) add(r *request) { heap.Push(&t.waiting[r.tier()], r) }

// remove takes a waiting request out.
func (t *team) remove(r *request) { heap.Remove(&t.waiting[r.tier()], r.index) }
