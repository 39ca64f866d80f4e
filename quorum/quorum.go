// Package quorum tells a node that lost sight of most other nodes, as in a network
// partition, from one whose deployment became smaller.
//
// The package reads no clock; callers pass times of the boot clock.
package quorum

import "time"

// retention is how long a number of nodes is remembered while the log is proved to be
// current. Nodes that are shut down together count as lost for as long.
const retention = 30 * time.Second

// count is a number of nodes that was seen at a time.
type count struct {
	at    time.Duration
	nodes int
}

// Quorum remembers how many nodes a node saw. The zero value has seen none. It is not safe
// for concurrent use.
type Quorum struct {
	latest int
	// counts holds the counts that no later one exceeds, the oldest and highest first.
	counts []count
}

// Observe records the number of nodes that are seen, the observer included. proved says
// that the observer's copy of the log is proved to be current. Nothing is forgotten while
// it is not: a node that is cut off from the log can't learn that others were shut down.
func (q *Quorum) Observe(now time.Duration, nodes int, proved bool) {
	q.latest = nodes
	for len(q.counts) > 0 && q.counts[len(q.counts)-1].nodes <= nodes {
		q.counts = q.counts[:len(q.counts)-1]
	}
	q.counts = append(q.counts, count{now, nodes})
	for proved && now-q.counts[0].at > retention {
		q.counts = q.counts[1:]
	}
}

// Lost reports whether the latest observation saw fewer than half of the nodes of an
// earlier one.
func (q *Quorum) Lost() bool { return len(q.counts) > 0 && 2*q.latest < q.counts[0].nodes }
