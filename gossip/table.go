package gossip

import (
	"net/netip"
	"slices"
	"time"

	"github.com/tamarackcleat/tamarackcleat/dispatch"
	"github.com/tamarackcleat/tamarackcleat/relay"
)

const (
	// meshPeers is the number of peers up to which each node tells all others
	// directly. Messages grow with the square of the nodes there.
	meshPeers = 8
	// liveFor is the silence after which a peer counts as gone.
	liveFor = 1500 * time.Millisecond
	// forgetAfter is the silence after which a peer in a mesh gets no more
	// messages until it registers again or is heard.
	forgetAfter = 20 * time.Second
	// parentFor is the silence after which another parent is chosen: several
	// messages in a row must have been lost.
	parentFor = 400 * time.Millisecond
	// avoidParentFor is how long a silent parent is left out.
	avoidParentFor = 20 * time.Second
)

// peer is another node.
type peer struct {
	relay.Peer
	heardAt time.Time
	live    bool
	last    Message
	// triedAt is since when the peer has been this node's parent, avoidUntil
	// how long it can't be.
	triedAt, avoidUntil time.Time
}

// table holds the peers and this node's place among them. With many peers they
// form a tree: a node's parent is the first of its zone, or the first of all for
// one without such, in an order that all nodes share. A parent is always before
// its children in that order, so there are no cycles.
type table struct {
	self   relay.Peer
	peers  map[string]*peer
	parent string
	// changed takes what happened to peers, for log lines.
	changed func(event string, p *peer, silent time.Duration)
}

// register adds a peer or renews it. A former process of its address is gone.
func (t *table) register(now time.Time, p relay.Peer) bool {
	for id, other := range t.peers {
		if other.Address == p.Address && id != p.ID {
			delete(t.peers, id)
		}
	}
	if known, ok := t.peers[p.ID]; ok {
		known.Zone, known.Cores = p.Zone, p.Cores
		return false
	}
	t.peers[p.ID] = &peer{Peer: p, heardAt: now}
	return true
}

// note takes a peer's message. It reports false for one that does not count: a
// message down from a node that is not this one's parent.
func (t *table) note(now time.Time, m Message, from netip.AddrPort) bool {
	p, known := t.peers[m.Node]
	if !known {
		p = &peer{Peer: relay.Peer{ID: m.Node, Address: from}}
		t.peers[m.Node] = p
	}
	p.Zone, p.Cores = m.Zone, m.Cores
	silent := now.Sub(p.heardAt)
	p.heardAt, p.avoidUntil = now, time.Time{}
	if !m.Partial {
		p.last = m
	}
	if !p.live {
		p.live = true
		t.changed(eventHeard, p, silent)
	}
	return m.Direction != Down || m.Node == t.parent
}

// loadsOf returns the loads that a peer told last.
func (t *table) loadsOf(id string) map[string]dispatch.Load {
	if p, ok := t.peers[id]; ok {
		return p.last.Loads
	}
	return nil
}

// tree reports whether the peers are too many for a mesh.
func (t *table) tree() bool { return len(t.peers) > meshPeers }

// expire notes peers that fell silent and, in a mesh, forgets them.
func (t *table) expire(now time.Time) {
	for id, p := range t.peers {
		silent := now.Sub(p.heardAt)
		if p.live && silent > liveFor {
			p.live = false
			t.changed(eventSilent, p, silent)
		}
		if silent > forgetAfter && !t.tree() {
			delete(t.peers, id)
		}
	}
}

// findParent chooses the parent among the peers before this node.
func (t *table) findParent(now time.Time) (*peer, bool) {
	if p, ok := t.peers[t.parent]; ok && now.Sub(later(p.heardAt, p.triedAt)) > parentFor {
		p.avoidUntil = now.Add(avoidParentFor)
		t.changed(eventParentLost, p, now.Sub(p.heardAt))
	}
	var best *peer
	for _, p := range t.peers {
		if now.Before(p.avoidUntil) || !relay.Before(p.Peer, t.self) {
			continue
		}
		if best == nil || t.nearer(p, best) {
			best = p
		}
	}
	if best == nil {
		t.parent = ""
		return nil, false
	}
	if best.ID != t.parent {
		t.parent, best.triedAt = best.ID, now
	}
	return best, true
}

// nearer reports whether a is a better parent than b.
func (t *table) nearer(a, b *peer) bool {
	if inA, inB := a.Zone == t.self.Zone, b.Zone == t.self.Zone; inA != inB {
		return inA
	}
	return relay.Before(a.Peer, b.Peer)
}

// counts reports whether what a peer said last counts now.
func (t *table) counts(now time.Time, p *peer) bool {
	return p.live && now.Sub(p.heardAt) < liveFor && (p.last.Direction != Down || p.ID == t.parent)
}

// outgoing is a message with its receivers.
type outgoing struct {
	message Message
	to      []netip.AddrPort
}

// send returns the messages of one round. In a tree each neighbour is told of
// all others.
func (t *table) send(now time.Time, local Message) []outgoing {
	t.expire(now)
	local.Nodes, local.Direction = 1, Direct
	if !t.tree() {
		t.parent = ""
		out := outgoing{message: local}
		for _, p := range t.peers {
			out.to = append(out.to, p.Address)
		}
		return []outgoing{out}
	}
	parent, ok := t.findParent(now)
	var out []outgoing
	if ok {
		out = append(out, t.compose(now, local, parent, Up))
	}
	for _, p := range t.peers {
		if p != parent && p.last.Direction == Up && now.Sub(p.heardAt) < parentFor {
			out = append(out, t.compose(now, local, p, Down))
		}
	}
	return out
}

// compose returns the message for a neighbour.
func (t *table) compose(now time.Time, local Message, to *peer, d Direction) outgoing {
	m := local
	m.Direction = d
	for _, p := range t.peers {
		if p != to && t.counts(now, p) && p.last.Direction != Direct {
			m.add(p.last)
		}
	}
	return outgoing{message: m, to: []netip.AddrPort{to.Address}}
}

// nodes returns the number of other nodes that this one hears of.
func (t *table) nodes(now time.Time) int {
	n := 0
	for _, p := range t.peers {
		if t.counts(now, p) {
			n += max(1, p.last.Nodes)
		}
	}
	return n
}

// reachable returns the peers that are heard or, in a tree, not known to be
// silent, by id.
func (t *table) reachable(now time.Time) []relay.Peer {
	var out []relay.Peer
	for _, p := range t.peers {
		heard := p.live && now.Sub(p.heardAt) < liveFor
		if heard || t.tree() && !now.Before(p.avoidUntil) {
			out = append(out, p.Peer)
		}
	}
	slices.SortFunc(out, func(a, b relay.Peer) int {
		if relay.Before(a, b) {
			return -1
		}
		return 1
	})
	return out
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
