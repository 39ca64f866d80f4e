// Package gossip tells the nodes of a deployment about each other's loads and
// suspicions by datagrams.
//
// A few nodes tell each other directly. Many form a tree, in which each node
// tells its neighbours the sum of what the others said, so that a node's
// messages do not grow with the number of nodes.
//
// Nothing depends on a datagram's arrival: what it says is a hint with a
// sender and a time of arrival, and the next one repeats it.
package gossip

import (
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/dispatch"
	"github.com/tamarackcleat/tamarackcleat/relay"
)

const (
	// sendEvery is the longest time between two messages to a peer.
	sendEvery = 60 * time.Millisecond
	// meshGap and treeGap separate messages that tell of changes: nodes that
	// don't know of each other's sends choose the same upstream. In a mesh
	// such a message holds only the changes; in a tree it goes on to all
	// neighbours.
	meshGap = 4 * time.Millisecond
	treeGap = 20 * time.Millisecond
	// maxMessage bounds a message in bytes; larger ones would be split.
	maxMessage = 32 << 10
)

// What happened to a peer.
const (
	eventHeard      = decisions.PeerHeard
	eventSilent     = decisions.PeerSilent
	eventParentLost = decisions.PeerParentLost
)

// Gossip exchanges messages with peers. It is safe for concurrent use.
type Gossip struct {
	conn   *net.UDPConn
	local  func() Message
	heard  func(Message)
	logger *slog.Logger

	// changed holds the VMs whose loads changed, poked says that there are
	// such.
	poked chan struct{}

	mu      sync.Mutex
	table   table
	changed map[string]bool
}

// Options configures a Gossip.
type Options struct {
	// Self is this node and its address.
	Self relay.Peer
	// Local returns what to tell.
	Local func() Message
	// Heard takes a peer's message.
	Heard  func(Message)
	Logger *slog.Logger
}

// New opens the socket.
func New(o Options) (*Gossip, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(o.Self.Address))
	if err != nil {
		return nil, errors.Wrap(err, "listening for peers")
	}
	g := &Gossip{
		conn: conn, local: o.Local, heard: o.Heard, logger: o.Logger, poked: make(chan struct{}, 1), changed: map[string]bool{},
	}
	g.table = table{self: o.Self, peers: map[string]*peer{}, changed: g.logChange}
	return g, nil
}

// logChange writes a line on a peer.
func (g *Gossip) logChange(event string, p *peer, silent time.Duration) {
	g.logger.Info(event, "peer", p.ID, "address", p.Address.String(), "silent_ms", silent.Milliseconds())
}

// Register adds a peer or renews it. The id is unique to the peer's process; a
// former process of the same address is forgotten.
func (g *Gossip) Register(p relay.Peer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.ID != g.table.self.ID && g.table.register(time.Now(), p) {
		g.logger.Info(decisions.PeerRegistered, "peer", p.ID, "address", p.Address.String(), "zone", p.Zone)
	}
}

// Live returns the number of other nodes heard of lately.
func (g *Gossip) Live() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.nodes(time.Now())
}

// Peers returns the peers that can be asked, as far as is known, in the order
// that all nodes share.
func (g *Gossip) Peers() []relay.Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.reachable(time.Now())
}

// Run sends and receives until the context ends.
func (g *Gossip) Run(ctx context.Context) {
	go g.receive(ctx)
	t := time.NewTicker(sendEvery)
	defer t.Stop()
	defer g.conn.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			g.Send()
		case <-g.poked:
			time.Sleep(g.sendChanges())
		}
	}
}

// Changed says that this node's load on a VM changed; peers are told at once. It
// never blocks.
func (g *Gossip) Changed(vm string) {
	g.mu.Lock()
	g.changed[vm] = true
	g.mu.Unlock()
	g.poke()
}

func (g *Gossip) poke() {
	select {
	case g.poked <- struct{}{}:
	default:
	}
}

// sendChanges tells what has changed and returns how long to wait before the next
// time.
func (g *Gossip) sendChanges() time.Duration {
	g.mu.Lock()
	tree := g.table.tree()
	g.mu.Unlock()
	if tree {
		g.Send()
		return treeGap
	}
	local := g.local()
	g.mu.Lock()
	m := Message{Node: g.table.self.ID, Zone: g.table.self.Zone, Cores: g.table.self.Cores, Direction: Direct, Partial: true}
	m.Loads = make(map[string]dispatch.Load, len(g.changed))
	for vm := range g.changed {
		m.Loads[vm] = local.Loads[vm]
	}
	clear(g.changed)
	o := outgoing{message: m}
	for _, p := range g.table.peers {
		o.to = append(o.to, p.Address)
	}
	g.mu.Unlock()
	if len(m.Loads) > 0 {
		g.write(o)
	}
	return meshGap
}

// Send tells peers what there is to tell now.
func (g *Gossip) Send() {
	local := g.local()
	g.mu.Lock()
	self := g.table.self
	local.Node, local.Zone, local.Cores = self.ID, self.Zone, self.Cores
	round := g.table.send(time.Now(), local)
	clear(g.changed)
	g.mu.Unlock()
	for _, o := range round {
		g.write(o)
	}
}

// write sends a message to its receivers.
func (g *Gossip) write(o outgoing) {
	data, err := json.Marshal(o.message)
	if err != nil || len(data) > maxMessage {
		g.logger.Error(decisions.PeerMessageNotSent, "bytes", len(data), "error", err)
		return
	}
	for _, address := range o.to {
		// A message that is not sent is as one that is lost on the way.
		_, _ = g.conn.WriteToUDPAddrPort(data, address)
	}
}

// receive takes messages until the socket is closed.
func (g *Gossip) receive(ctx context.Context) {
	buf := make([]byte, maxMessage)
	for ctx.Err() == nil {
		n, from, err := g.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() == nil {
				g.logger.Warn(decisions.PeerReceiveFailed, "error", err)
				time.Sleep(sendEvery)
			}
			continue
		}
		var m Message
		if err := json.Unmarshal(buf[:n], &m); err != nil {
			g.logger.Warn(decisions.PeerUnreadable, "from", from.String(), "bytes", n, "error", err)
			continue
		}
		if g.take(m, netip.AddrPortFrom(from.Addr().Unmap(), from.Port())) {
			g.heard(m)
		}
	}
}

// take notes a message and reports whether it counts.
func (g *Gossip) take(m Message, from netip.AddrPort) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m.Node == "" || m.Node == g.table.self.ID {
		return false
	}
	before := g.table.loadsOf(m.Node)
	counts := g.table.note(time.Now(), m, from)
	if counts && m.Direction != Direct && !maps.Equal(before, m.Loads) {
		// The others of the tree are to hear of it soon.
		g.poke()
	}
	return counts
}
