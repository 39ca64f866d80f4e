package gossip

import (
	"encoding/json"
	"maps"
	"net/netip"
	"sync"
	"time"

	"github.com/tamarackcleat/tamarackcleat/dispatch"
	"github.com/tamarackcleat/tamarackcleat/relay"
)

const (
	// maxMeshPeers is the largest number of peers with which the nodes form a mesh.
	// In a mesh the number of messages grows with the square of the number of
	// nodes.
	maxMeshPeers = 8
	// peerTimeout is how long a peer may be silent before it counts as gone.
	peerTimeout = 1500 * time.Millisecond
	// forgetAfter is how long a peer in a mesh may be silent before it is removed
	// and gets no more messages, until it registers again or sends a message.
	forgetAfter = 20 * time.Second
	// parentTimeout is how long a parent may be silent before another one is
	// chosen. It covers several messages, so a few lost ones don't matter.
	parentTimeout = 400 * time.Millisecond
	// parentAvoidTime is how long a parent that fell silent is not chosen again,
	// unless it sends a message.
	parentAvoidTime = 20 * time.Second
)

// peer is another node that this one exchanges messages with.
type peer struct {
	relay.Peer
	// lastSeen is when the last message of the peer arrived, or when the peer
	// was registered.
	lastSeen time.Time
	// live is whether the peer has sent a message and not fallen silent since.
	live bool
	// lastMessage is the peer's last message that was not partial.
	lastMessage Message
	// parentSince is when the peer was last chosen as this node's parent.
	// avoidUntil is when it can be chosen again.
	parentSince, avoidUntil time.Time
}

// table holds this node's peers and its parent in the tree, which the nodes form if
// they are too many for a mesh. All nodes use the same order (relay.Precedes). A
// node's parent is the first node of its availability zone, or the first of all nodes
// if none of its zone comes before it. A parent always comes before its children in
// the order, so there are no cycles.
type table struct {
	self relay.Peer
	// peers holds the peers by id.
	peers map[string]*peer
	// parent is the id of the parent; empty if there is none.
	parent string
	// onPeerEvent is called for each event of a peer, to log it.
	onPeerEvent func(event string, p *peer, silent time.Duration)
}

// register adds a peer, or updates the one with the same id, and reports whether the
// peer was added. It removes any other peer with the same address, because its process
// has ended.
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
	t.peers[p.ID] = &peer{Peer: p, lastSeen: now}
	return true
}

// recordMessage records a peer's message and adds the peer if it is unknown. It
// reports false for a message that is not to be used: one with Direction Down from
// a node that is not this node's parent.
func (t *table) recordMessage(now time.Time, m Message, from netip.AddrPort) bool {
	p, known := t.peers[m.Node]
	if !known {
		p = &peer{Peer: relay.Peer{ID: m.Node, Address: from}}
		t.peers[m.Node] = p
	}
	p.Zone, p.Cores = m.Zone, m.Cores
	silent := now.Sub(p.lastSeen)
	p.lastSeen, p.avoidUntil = now, time.Time{}
	if !m.Partial {
		p.lastMessage = m
	}
	if !p.live {
		p.live = true
		t.onPeerEvent(eventHeard, p, silent)
	}
	return m.Direction != Down || m.Node == t.parent
}

// lastLoads returns the loads in the last message of a peer that was not partial.
func (t *table) lastLoads(id string) map[string]dispatch.Load {
	if p, ok := t.peers[id]; ok {
		return p.lastMessage.Loads
	}
	return nil
}

// isTree reports whether there are too many peers for a mesh, so that the nodes form a
// tree.
func (t *table) isTree() bool { return len(t.peers) > maxMeshPeers }

// expirePeers marks peers that fell silent as not live and, in a mesh, removes those
// that have been silent for longer than forgetAfter.
func (t *table) expirePeers(now time.Time) {
	for id, p := range t.peers {
		silent := now.Sub(p.lastSeen)
		if p.live && silent > peerTimeout {
			p.live = false
			t.onPeerEvent(eventSilent, p, silent)
		}
		if silent > forgetAfter && !t.isTree() {
			delete(t.peers, id)
		}
	}
}

// chooseParent chooses this node's parent among the peers that come before it in the
// order of relay.Precedes. It reports false if there is none to choose.
func (t *table) chooseParent(now time.Time) (*peer, bool) {
	if p, ok := t.peers[t.parent]; ok && now.Sub(later(p.lastSeen, p.parentSince)) > parentTimeout {
		p.avoidUntil = now.Add(parentAvoidTime)
		t.onPeerEvent(eventParentLost, p, now.Sub(p.lastSeen))
	}
	var best *peer
	for _, p := range t.peers {
		if now.Before(p.avoidUntil) || !relay.Precedes(p.Peer, t.self) {
			continue
		}
		if best == nil || t.isBetterParent(p, best) {
			best = p
		}
	}
	if best == nil {
		t.parent = ""
		return nil, false
	}
	if best.ID != t.parent {
		t.parent, best.parentSince = best.ID, now
	}
	return best, true
}

// isBetterParent reports whether a is a better parent than b for this node: one of its
// availability zone before others, and else the first in the order of relay.Precedes.
func (t *table) isBetterParent(a, b *peer) bool {
	if inA, inB := a.Zone == t.self.Zone, b.Zone == t.self.Zone; inA != inB {
		return inA
	}
	return relay.Precedes(a.Peer, b.Peer)
}

// isCurrent reports whether the last message of a peer is still to be used: the
// peer is not silent and, if the message has Direction Down, is this node's parent.
func (t *table) isCurrent(now time.Time, p *peer) bool {
	return p.live && now.Sub(p.lastSeen) < peerTimeout && (p.lastMessage.Direction != Down || p.ID == t.parent)
}

// outgoing is a message with the addresses of its receivers.
type outgoing struct {
	message Message
	// loads encodes message.Loads if it is not nil. Messages with the same loads share
	// the function, so that they are encoded once.
	loads func() ([]byte, error)
	to    []netip.AddrPort
}

// nextMessages returns the messages to send now, given the state of this node. In a
// mesh, one message goes to all peers. In a tree, each neighbour gets the merged state
// of this node and its other neighbours.
func (t *table) nextMessages(now time.Time, local Message) []outgoing {
	t.expirePeers(now)
	local.Nodes, local.Direction = 1, Direct
	if !t.isTree() {
		t.parent = ""
		out := outgoing{message: local}
		for _, p := range t.peers {
			out.to = append(out.to, p.Address)
		}
		return []outgoing{out}
	}
	return t.treeMessages(now, local)
}

// treeMessages returns the messages for the neighbours in the tree: the state of this
// node merged with the current state from its other neighbours. The states are merged
// once; the message to a child names the part that came from the child itself.
func (t *table) treeMessages(now time.Time, local Message) []outgoing {
	parent, hasParent := t.chooseParent(now)
	merged := local
	merged.Loads = make(loadMap, len(local.Loads))
	addLoads(merged.Loads, local.Loads)
	var children []*peer
	for _, p := range t.peers {
		if p == parent || p.lastMessage.Direction != Up || !t.isCurrent(now, p) {
			continue
		}
		merged.merge(p.lastMessage)
		if now.Sub(p.lastSeen) < parentTimeout {
			children = append(children, p)
		}
	}
	var out []outgoing
	if hasParent {
		up := merged
		up.Direction, up.Loads = Up, maps.Clone(merged.Loads)
		out = append(out, outgoing{message: up, to: []netip.AddrPort{parent.Address}})
		if t.isCurrent(now, parent) && parent.lastMessage.Direction == Down {
			merged.merge(parent.lastMessage)
		}
	}
	loads := sync.OnceValues(func() ([]byte, error) { return json.Marshal(merged.Loads) })
	for _, p := range children {
		out = append(out, outgoing{message: t.messageToChild(now, local, merged, p), loads: loads, to: []netip.AddrPort{p.Address}})
	}
	return out
}

// messageToChild returns the message to a child, given the state of this node and that of
// this node and all neighbours together.
func (t *table) messageToChild(now time.Time, local, merged Message, child *peer) Message {
	m := merged
	m.Direction = Down
	m.Nodes -= child.lastMessage.Nodes
	m.Excess = child.lastMessage.Loads
	if !child.lastMessage.hasLists() {
		return m
	}
	m.Silent, m.Dead, m.Closing, m.Leaving, m.Cold = local.Silent, local.Dead, local.Closing, local.Leaving, local.Cold
	m.NoTunnels = local.NoTunnels
	for _, p := range t.peers {
		if p != child && t.isCurrent(now, p) && p.lastMessage.Direction != Direct {
			m.mergeLists(p.lastMessage)
		}
	}
	return m
}

// nodeCount returns the number of other nodes whose state the current messages of
// peers hold.
func (t *table) nodeCount(now time.Time) int {
	n := 0
	for _, p := range t.peers {
		if t.isCurrent(now, p) {
			n += max(1, p.lastMessage.Nodes)
		}
	}
	return n
}

// reachable returns the peers that have sent a message lately and, in a tree, also
// those that are not avoided as parents, in no order.
func (t *table) reachable(now time.Time) []relay.Peer {
	out := make([]relay.Peer, 0, len(t.peers))
	for _, p := range t.peers {
		heard := p.live && now.Sub(p.lastSeen) < peerTimeout
		if heard || t.isTree() && !now.Before(p.avoidUntil) {
			out = append(out, p.Peer)
		}
	}
	return out
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
