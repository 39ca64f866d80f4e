package gateway

import (
	"net/netip"
	"time"

	"github.com/tamarackcleat/tamarackcleat/dispatch"
	"github.com/tamarackcleat/tamarackcleat/fleet"
	"github.com/tamarackcleat/tamarackcleat/gossip"
	"github.com/tamarackcleat/tamarackcleat/reach"
	"github.com/tamarackcleat/tamarackcleat/relay"
)

// PeerAddress returns the address at which peers reach this node. It is the zero
// AddrPort, which is not valid, if the node has no port for peers.
func (n *Node) PeerAddress() netip.AddrPort {
	if n.Settings().PeerPort == 0 {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(n.Settings().PeerIP, uint16(n.Settings().PeerPort))
}

// Self returns the description of this node that it gives to its peers.
func (n *Node) Self() relay.Peer {
	s := n.Settings()
	return relay.Peer{ID: n.id, Zone: s.Zone, Address: n.PeerAddress(), Cores: s.Cores}
}

// RegisterPeer adds another node to the known ones, and to the peers if the node has a
// socket for messages between nodes.
func (n *Node) RegisterPeer(p relay.Peer) {
	n.registerNode(p.ID)
	if n.peers != nil {
		n.peers.Register(p)
	}
}

// OpenPeerSocket opens the socket for messages between nodes. It does nothing if the
// node has no port for peers. Call OpenPeerSocket before Run.
func (n *Node) OpenPeerSocket() error {
	if !n.PeerAddress().IsValid() {
		return nil
	}
	g, err := gossip.New(gossip.Options{
		Self: n.Self(), LocalState: n.localMessage, OnMessage: n.handleMessage, Logger: n.logger,
	})
	if err != nil {
		return err
	}
	n.peers = g
	n.state.peersConsulted.Store(false)
	n.balancer.SetReportDelay(g.ChangeDelay)
	return nil
}

// TotalLoad returns the load of all nodes together on an upstream, as far as this node
// knows.
func (n *Node) TotalLoad(t fleet.Target) dispatch.Load { return n.balancer.TotalLoad(time.Now(), t) }

// announceLoad makes the node report its changed load on an upstream to its peers soon.
func (n *Node) announceLoad(vm string) {
	if n.peers != nil {
		n.peers.LoadChanged(vm)
	}
}

// localMessage returns the message of this node to its peers. It also applies
// avoidDead and avoidClosing on this node, as handleMessage does on the peers.
func (n *Node) localMessage() gossip.Message {
	dead, silent := n.deadVMs(), n.silence.recent(time.Now())
	var noTunnels []string
	if n.path.state() != reach.Reachable {
		// What this node sees of upstreams may be the fault of its own path to them.
		dead, silent = nil, nil
	}
	if n.path.lost() || n.draining.Load() {
		noTunnels = []string{n.id}
	}
	n.avoidDead(time.Now(), dead)
	closing := n.closingHeads()
	n.avoidClosing(time.Now(), closing)
	return gossip.Message{
		Loads: n.balancer.LocalLoads(), Silent: silent, Dead: dead, Closing: closing, ConfigVersion: n.state.confirmedVersion(),
		Parts: n.parts.report(time.Now()), Leaving: n.state.leavingUnreported(), Cold: n.coldTold(), NoTunnels: noTunnels,
	}
}

// handleMessage applies a peer's message.
func (n *Node) handleMessage(m gossip.Message) {
	now := time.Now()
	if m.Partial {
		n.balancer.UpdatePeerLoads(now, m.Node, m.Loads)
		return
	}
	n.balancer.SetPeerLoads(now, m.Node, m.Loads)
	if len(m.Loads) > 0 {
		n.requestSeen.Store(true)
	}
	n.noteConfigVersion(m.Node, m.ConfigVersion)
	n.tunnels.noteWithout(now, m.Node, m.NoTunnels)
	n.avoidDead(now, m.Dead)
	n.avoidClosing(now, m.Closing)
	n.mergeParts(now, m.Parts)
	for _, i := range m.Leaving {
		n.markLeaving(i, false, "peer", m.Node)
	}
	for _, c := range m.Cold {
		n.markCold(c.Incarnation, time.Duration(c.RemainingMs)*time.Millisecond, false, "peer", m.Node)
	}
	for _, vm := range m.Silent {
		n.onSilent(vm)
	}
}
