package admission

import (
	"container/heap"
	"time"
)

// team holds one team's requests in a pool.
type team struct {
	name string
	// virtualTime is the team's virtual time for fair queuing: the service
	// time that it was given. It is raised to the pool's virtual time when a
	// request arrives and none of the team is waiting.
	virtualTime time.Duration
	// running is the number of admitted requests.
	running int
	// waiting holds the waiting requests by tier.
	waiting [tierCount]waitQueue
}

// Tiers of a pool's queue, in the order in which they are served.
const (
	tierUrgent = iota
	tierNormal
	tierCount
)

// waitingCount returns the number of waiting requests of the team.
func (t *team) waitingCount() int { return len(t.waiting[tierUrgent]) + len(t.waiting[tierNormal]) }

// idle reports whether the team has no requests in the pool.
func (t *team) idle() bool { return t.running == 0 && t.waitingCount() == 0 }

// waitQueue is a heap of waiting requests with the earliest latestStart on top.
type waitQueue []*request

// Len implements heap.Interface.
func (q waitQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q waitQueue) Less(i, j int) bool {
	if q[i].latestStart.Equal(q[j].latestStart) {
		return q[i].seq < q[j].seq
	}
	return q[i].latestStart.Before(q[j].latestStart)
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

// lastToStart returns the waiting request whose latestStart comes last, of the
// normal tier if any waits there and else of the urgent tier; nil if none waits.
func (t *team) lastToStart() *request {
	var last *request
	for tier := tierCount - 1; tier >= 0 && last == nil; tier-- {
		for _, r := range t.waiting[tier] {
			if last == nil || r.latestStart.After(last.latestStart) {
				last = r
			}
		}
	}
	return last
}

// countBefore returns the number of requests whose latestStart is not after a time.
func (q waitQueue) countBefore(latest time.Time) int {
	n := 0
	for _, r := range q {
		if !r.latestStart.After(latest) {
			n++
		}
	}
	return n
}

// add adds a waiting request.
func (t *team) add(r *request) { heap.Push(&t.waiting[r.tier()], r) }

// remove removes a waiting request.
func (t *team) remove(r *request) { heap.Remove(&t.waiting[r.tier()], r.index) }
