package gateway

import (
	"net/netip"
	"time"

	"github.com/tamarackcleat/tamarackcleat/gossip"
	"github.com/tamarackcleat/tamarackcleat/relay"
)

// PeerAddress returns where peers reach this node; invalid if they can't.
func (n *Node) PeerAddress() netip.AddrPort {
	if n.Settings().PeerPort == 0 {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(n.Settings().PeerIP, uint16(n.Settings().PeerPort))
}

// Self returns this node as peers see it.
func (n *Node) Self() relay.Peer {
	s := n.Settings()
	return relay.Peer{ID: n.id, Zone: s.Zone, Address: n.PeerAddress(), Cores: s.Cores}
}

// RegisterPeer adds another node.
func (n *Node) RegisterPeer(p relay.Peer) {
	if n.peers != nil {
		n.peers.Register(p)
	}
}

// OpenPeers opens the socket for messages between nodes; it is called before
// Run.
func (n *Node) OpenPeers() error {
	if !n.PeerAddress().IsValid() {
		return nil
	}
	g, err := gossip.New(gossip.Options{
		Self: n.Self(), Local: n.tell, Heard: n.heard, Logger: n.logger,
	})
	n.peers = g
	return err
}

// tellLoad tells peers that this node sent a request to an upstream.
func (n *Node) tellLoad(vm string) {
	if n.peers != nil {
		n.peers.Changed(vm)
	}
}

// tell returns what peers should know.
func (n *Node) tell() gossip.Message {
	dead := n.dead()
	n.avoidDead(time.Now(), dead)
	closing := n.ending()
	n.avoidClosing(time.Now(), closing)
	return gossip.Message{
		Loads: n.balancer.Own(), Silent: n.flights.silentNow(time.Now()), Dead: dead, Closing: closing, Crashes: n.crashes.recent(),
	}
}

// heard takes a peer's message.
func (n *Node) heard(m gossip.Message) {
	now := time.Now()
	if m.Partial {
		n.balancer.HeardChanges(now, m.Node, m.Loads)
		return
	}
	n.balancer.Heard(now, m.Node, m.Loads)
	if len(m.Loads) > 0 {
		n.asked.Store(true)
	}
	n.avoidDead(now, m.Dead)
	n.avoidClosing(now, m.Closing)
	n.crashes.learn(m.Crashes)
	for _, vm := range m.Silent {
		n.onSilent(vm)
	}
}
