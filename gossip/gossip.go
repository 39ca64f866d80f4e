// Package gossip exchanges the nodes' loads and suspected failures between the nodes
// of a deployment, by UDP datagrams.
//
// In a small deployment the nodes form a mesh, in which each node sends its own state
// to every other one. In a large one they form a tree, in which each node sends a
// neighbour the merged state of itself and its other neighbours, so that a node's
// messages do not grow with the number of nodes.
//
// Nothing depends on the arrival of a single datagram: its content is a hint with a
// sender and a time of arrival, and is repeated in the next one.
package gossip

import (
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"net"
	"net/netip"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/dispatch"
	"github.com/tamarackcleat/tamarackcleat/relay"
)

const (
	// sendInterval is the longest time between two messages to a peer.
	sendInterval = 60 * time.Millisecond
	// meshChangeInterval and treeChangeInterval are the least times between two
	// messages that are sent because loads have changed. They are short because
	// nodes that don't know of each other's requests choose the same upstream. In
	// a mesh such a message holds only the changed loads; in a tree it holds the
	// whole state and makes each neighbour send on the change, so its interval is
	// longer.
	meshChangeInterval = 4 * time.Millisecond
	treeChangeInterval = 20 * time.Millisecond
	// treeHops is the number of messages that bring a change from one node to another of
	// another zone. Each waits for half of treeChangeInterval on average.
	treeHops = 4
	// maxMessageBytes is the size of the largest message that is sent or received.
	// A larger one would be split on the way; it is logged as an error and not
	// sent.
	maxMessageBytes = 32 << 10
)

// Events of a peer, as they are logged.
const (
	eventHeard      = decisions.PeerHeard
	eventSilent     = decisions.PeerSilent
	eventParentLost = decisions.PeerParentLost
)

// Gossip exchanges messages with peers. It is safe for concurrent use.
type Gossip struct {
	conn         *net.UDPConn
	localMessage func() Message
	onMessage    func(Message)
	logger       *slog.Logger

	// wake holds a value while a message is to be sent without waiting for
	// sendInterval.
	wake chan struct{}

	mu    sync.Mutex
	table table
	// changedVMs holds the ids of the VMs whose loads have changed since the last
	// message.
	changedVMs map[string]bool
	// fullRequested says that the next message is to hold the whole state.
	fullRequested bool
}

// Options configures a Gossip.
type Options struct {
	// Self describes this node. Its address is the one on which the node receives
	// messages.
	Self relay.Peer
	// LocalState returns the state of this node that is to be sent to peers.
	LocalState func() Message
	// OnMessage is called for each message from a peer that is to be used.
	OnMessage func(Message)
	Logger    *slog.Logger
}

// New returns a Gossip that listens on the address of this node, and an error if it
// can't. Run sends and receives.
func New(o Options) (*Gossip, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(o.Self.Address))
	if err != nil {
		return nil, errors.Wrap(err, "listening for peers")
	}
	g := &Gossip{
		conn: conn, localMessage: o.LocalState, onMessage: o.OnMessage, logger: o.Logger, wake: make(chan struct{}, 1), changedVMs: map[string]bool{},
	}
	g.table = table{self: o.Self, peers: map[string]*peer{}, onPeerEvent: g.logPeerEvent}
	return g, nil
}

// logPeerEvent logs an event of a peer that has been silent for a time.
func (g *Gossip) logPeerEvent(event string, p *peer, silent time.Duration) {
	g.logger.Info(event, "peer", p.ID, "address", p.Address.String(), "silent_ms", silent.Milliseconds())
}

// Register adds a peer, or updates the one with the same id. The id is unique to the
// peer's process; any other peer with the same address is removed, because its
// process has ended.
func (g *Gossip) Register(p relay.Peer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.ID != g.table.self.ID && g.table.register(time.Now(), p) {
		g.logger.Info(decisions.PeerRegistered, "peer", p.ID, "address", p.Address.String(), "zone", p.Zone)
	}
}

// LiveCount returns the number of other nodes whose state this node has received
// lately, directly or through other nodes.
func (g *Gossip) LiveCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.nodeCount(time.Now())
}

// ChangeDelay returns about how long a change of a node's load takes to reach the others:
// in a tree, up to a node of the zone and one of all zones, and down again.
func (g *Gossip) ChangeDelay() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.table.isTree() {
		return treeHops * treeChangeInterval / 2
	}
	return meshChangeInterval / 2
}

// Peers returns the peers that are probably reachable, in no order.
func (g *Gossip) Peers() []relay.Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.reachable(time.Now())
}

// Run sends and receives messages until the context ends, then closes the socket.
func (g *Gossip) Run(ctx context.Context) {
	go g.receive(ctx)
	t := time.NewTicker(sendInterval)
	defer t.Stop()
	defer g.conn.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			g.Send()
		case <-g.wake:
			time.Sleep(g.sendChanges())
		}
	}
}

// LoadChanged records that this node's load on a VM has changed. Peers are told at the
// next opportunity, within milliseconds. It does not wait for the sending.
func (g *Gossip) LoadChanged(vm string) {
	g.mu.Lock()
	g.changedVMs[vm] = true
	g.mu.Unlock()
	g.requestSend()
}

// StateChanged records that a part of this node's state other than loads has changed.
// Peers are told at the next opportunity. It does not wait for the sending.
func (g *Gossip) StateChanged() {
	g.mu.Lock()
	g.fullRequested = true
	g.mu.Unlock()
	g.requestSend()
}

// requestSend makes Run send a message without waiting for sendInterval.
func (g *Gossip) requestSend() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// sendChanges sends the changed loads to the peers, or in a tree and after a call of
// StateChanged the whole state, and returns how long to wait before it is called again.
func (g *Gossip) sendChanges() time.Duration {
	g.mu.Lock()
	full := g.table.isTree() || g.fullRequested
	g.mu.Unlock()
	if full {
		g.Send()
		return treeChangeInterval
	}
	local := g.localMessage()
	g.mu.Lock()
	m := Message{Node: g.table.self.ID, Zone: g.table.self.Zone, Cores: g.table.self.Cores, Direction: Direct, Partial: true}
	m.Loads = make(map[string]dispatch.Load, len(g.changedVMs))
	for vm := range g.changedVMs {
		m.Loads[vm] = local.Loads[vm]
	}
	clear(g.changedVMs)
	o := outgoing{message: m}
	for _, p := range g.table.peers {
		o.to = append(o.to, p.Address)
	}
	g.mu.Unlock()
	if len(m.Loads) > 0 {
		g.write(o)
	}
	return meshChangeInterval
}

// Send sends the current state to the peers: to all in a mesh, to the neighbours in a
// tree.
func (g *Gossip) Send() {
	local := g.localMessage()
	g.mu.Lock()
	self := g.table.self
	local.Node, local.Zone, local.Cores = self.ID, self.Zone, self.Cores
	local.Leaving = local.Leaving[:min(maxLeaving, len(local.Leaving))]
	local.Cold = local.Cold[:min(maxCold, len(local.Cold))]
	messages := g.table.nextMessages(time.Now(), local)
	clear(g.changedVMs)
	g.fullRequested = false
	g.mu.Unlock()
	for _, o := range messages {
		g.write(o)
	}
}

// write sends a message to its receivers, without a guarantee of arrival.
func (g *Gossip) write(o outgoing) {
	data, err := o.encode()
	if err != nil || len(data) > maxMessageBytes {
		g.logger.Error(decisions.PeerMessageNotSent, "bytes", len(data), "error", err)
		return
	}
	for _, address := range o.to {
		// An error is ignored, because a message that can't be sent is no worse
		// than a datagram that is lost.
		_, _ = g.conn.WriteToUDPAddrPort(data, address)
	}
}

// encode returns the message as it is sent.
func (o *outgoing) encode() ([]byte, error) {
	if o.loads == nil {
		return json.Marshal(o.message)
	}
	loads, err := o.loads()
	if err != nil {
		return nil, err
	}
	rest := o.message
	rest.Loads = nil
	data, err := json.Marshal(rest)
	if err != nil {
		return nil, err
	}
	// The encoded loads are added as the last field. json.RawMessage would do the
	// same, but scans them again for each receiver.
	return slices.Concat(data[:len(data)-1], []byte(`,"loads":`), loads, []byte("}")), nil
}

// handle handles a datagram. Anybody on the network can send one, so a fault in the
// handling is an error of this datagram and does not end the process.
func (g *Gossip) handle(data []byte, from netip.AddrPort) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errors.AssertionFailedf("handling a message: %v\n%s", r, debug.Stack())
		}
	}()
	m, err := decodeMessage(data)
	if err != nil {
		return err
	}
	if g.acceptMessage(m, netip.AddrPortFrom(from.Addr().Unmap(), from.Port())) {
		g.onMessage(m)
	}
	return nil
}

// decodeMessage decodes a message as it is sent.
func decodeMessage(data []byte) (Message, error) {
	var m Message
	if err := json.Unmarshal(data, &m); err != nil {
		return Message{}, err
	}
	m.clampCounts()
	m.subtractExcess()
	return m, nil
}

// receive receives messages until the context ends.
func (g *Gossip) receive(ctx context.Context) {
	buf := make([]byte, maxMessageBytes)
	for ctx.Err() == nil {
		n, from, err := g.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() == nil {
				g.logger.Warn(decisions.PeerReceiveFailed, "error", err)
				time.Sleep(sendInterval)
			}
			continue
		}
		if err := g.handle(buf[:n], from); err != nil {
			g.logger.Warn(decisions.PeerUnreadable, "from", from.String(), "bytes", n, "error", err)
		}
	}
}

// acceptMessage records a peer's message and reports whether it is to be used.
func (g *Gossip) acceptMessage(m Message, from netip.AddrPort) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m.Node == "" || m.Node == g.table.self.ID {
		return false
	}
	before := g.table.lastLoads(m.Node)
	current := g.table.recordMessage(time.Now(), m, from)
	if current && m.Direction != Direct && !maps.Equal(before, m.Loads) {
		// This node's neighbours other than the sender should learn of the changed
		// loads soon.
		g.requestSend()
	}
	return current
}
