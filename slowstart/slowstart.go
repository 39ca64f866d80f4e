// Package slowstart decides whether a node may send a request to a cold upstream, one that
// has started lately and crashes at rates that it handles when it is warm.
//
// The package guarantees that all nodes together send no more than half of a bound to one
// cold upstream in any Window (one request if the bound is 1 to 4), if each node calls Take
// right before each such request, and if times on all nodes pass at the same rate. The other
// half is a margin for requests that are delayed on their way.
//
// Only maxSenders nodes send to an upstream. They are the first ones in an order of all
// registered nodes by a hash of node and upstream (rendezvous hashing). Nodes don't agree on
// that set and need not: a node sends only if its copy of the list of nodes is proved to
// have been complete at most proofAge ago, and only once it has been on that list for
// joinDelay, which is longer. So each node that sends knows all others that send, and each
// of these precedes or follows it in the same order. A node that is not reachable keeps its
// place, because it may be at the other side of a partition.
//
// The package reads no clock; callers pass times of the boot clock.
package slowstart

import (
	"encoding/binary"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tamarackcleat/tamarackcleat/fleet"
	"github.com/tamarackcleat/tamarackcleat/quorum"
)

const (
	// Window is the time in which a node sends at most its share. It is the second of the
	// bound and the time by which the delays of two requests may differ.
	Window = time.Second + 250*time.Millisecond
	// ProofAge is the age up to which the proof that a node's list of nodes is complete
	// lets it send. On a healthy node the proof is at most 1.3 s old.
	ProofAge = 3 * time.Second
	// joinDelay is how long a node must have been on the list before it sends: ProofAge
	// and a Window, and time for a slow process.
	joinDelay = 5 * time.Second
	// maxSenders is the number of nodes that may send to one cold upstream. With more,
	// each has a smaller share, and a burst at one node finds no place.
	maxSenders = 5
	// safeShare is the part of the bound that the nodes use.
	safeShare = 0.5
)

// Bound returns the number of requests that may reach a cold upstream in a second, given
// the rate that it handles and the bounds of the deployment. Without bounds it is that rate.
func Bound(perSecond, overshoot, slack float64) float64 {
	return perSecond*max(1, overshoot) + max(0, slack)
}

// node is a registered node: the id of its latest process and the hash of its name.
type node struct {
	process string
	hash    uint64
}

// upstream is what a Limiter knows of a cold upstream.
type upstream struct {
	// permits holds the times of the permits within the last Window.
	permits []time.Duration
	// sender says that this node is one of senders nodes that may send; it holds for a
	// version of the list of nodes.
	sender           bool
	senders, version int
}

// Limiter holds the permits of one node. It is not safe for concurrent use.
type Limiter struct {
	self   string
	quorum *quorum.Quorum
	// nodes holds all registered nodes by name, this one included; version counts the
	// changes of their names.
	nodes   map[string]node
	version int
	// joined says that this node is registered, since joinedAt.
	joined   bool
	joinedAt time.Duration
	// proved says that the list was proved to be complete lately.
	proved    bool
	upstreams map[fleet.Incarnation]*upstream
}

// New returns a Limiter of the node with a name, which the node keeps over restarts.
func New(name string, q *quorum.Quorum) *Limiter {
	l := &Limiter{self: name, quorum: q, nodes: map[string]node{}, upstreams: map[fleet.Incarnation]*upstream{}}
	l.Register(name, "")
	return l
}

// Register adds a node, or replaces the id of its process.
func (l *Limiter) Register(name, process string) {
	if _, known := l.nodes[name]; !known {
		l.version++
	}
	l.nodes[name] = node{process, xxhash.Sum64String(name)}
}

// Remove removes a node whose process has ended, unless another one has been registered for
// it. Others that don't answer stay: they may be at the other side of a partition.
func (l *Limiter) Remove(name, process string) {
	if n, known := l.nodes[name]; known && n.process == process && name != l.self {
		delete(l.nodes, name)
		l.version++
	}
}

// Join records that this node has read its own registration.
func (l *Limiter) Join(now time.Duration) {
	if !l.joined {
		l.joined, l.joinedAt = true, now
	}
}

// Observe records the number of nodes that this one sees, itself included, and whether its
// list of nodes is proved to have been complete at most ProofAge ago.
func (l *Limiter) Observe(now time.Duration, nodes int, proved bool) {
	l.proved = proved
	l.quorum.Observe(now, nodes, proved)
}

// Open reports whether this node may send a request to a cold upstream now, given the bound
// for the upstream (see Bound).
func (l *Limiter) Open(now time.Duration, i fleet.Incarnation, bound float64) bool {
	if !l.joined || now-l.joinedAt < joinDelay || !l.proved || l.quorum.Lost() {
		return false
	}
	senders, share := l.shares(bound)
	if share == 0 {
		return false
	}
	u, known := l.upstreams[i]
	if !known {
		u = &upstream{version: -1}
		l.upstreams[i] = u
	}
	if u.version != l.version || u.senders != senders {
		u.sender, u.senders, u.version = l.isSender(i, senders), senders, l.version
	}
	if !u.sender {
		return false
	}
	u.expire(now)
	return len(u.permits) < share
}

// Take is Open, and counts the request if it may be sent.
func (l *Limiter) Take(now time.Duration, i fleet.Incarnation, bound float64) bool {
	if !l.Open(now, i, bound) {
		return false
	}
	u := l.upstreams[i]
	u.permits = append(u.permits, now)
	return true
}

// Retain drops the upstreams for which keep returns false, unless a permit still counts.
func (l *Limiter) Retain(now time.Duration, keep func(fleet.Incarnation) bool) {
	for i, u := range l.upstreams {
		if u.expire(now); len(u.permits) == 0 && !keep(i) {
			delete(l.upstreams, i)
		}
	}
}

// expire drops the permits that are older than a Window.
func (u *upstream) expire(now time.Duration) {
	first := 0
	for first < len(u.permits) && now-u.permits[first] > Window {
		first++
	}
	u.permits = slices.Delete(u.permits, 0, first)
}

// shares returns the number of nodes that send to an upstream with a bound, and how many
// requests each may send in a Window.
func (l *Limiter) shares(bound float64) (senders, share int) {
	if bound < 1 {
		return 0, 0
	}
	safe := max(1, int(safeShare*bound))
	senders = min(maxSenders, safe, len(l.nodes))
	return senders, safe / senders
}

// isSender reports whether fewer than senders other nodes precede this one in the order for
// an upstream.
func (l *Limiter) isSender(i fleet.Incarnation, senders int) bool {
	key := xxhash.Sum64String(i.ID + " " + strconv.FormatInt(i.Boot, 10))
	own, before := weight(l.nodes[l.self].hash, key), 0
	for name, n := range l.nodes {
		if w := weight(n.hash, key); w > own || w == own && name < l.self {
			if before++; before == senders {
				return false
			}
		}
	}
	return true
}

// weight returns the rank of a node for an upstream, from the hashes of both.
func weight(node, upstream uint64) uint64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:], node)
	binary.BigEndian.PutUint64(b[8:], upstream)
	return xxhash.Sum64(b[:])
}
