// Package gossip tells the nodes of a deployment about each other's loads and
// suspicions by datagrams.
//
// Nothing depends on a datagram's arrival: what it says is a hint with a
// sender and a time of arrival, and the next one repeats it.
package gossip

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/dispatch"
	"github.com/tamarackcleat/tamarackcleat/quarantine"
	"github.com/tamarackcleat/tamarackcleat/relay"
)

const (
	// sendEvery is the time between two messages to a peer. Loads change
	// within tens of milliseconds, and a message costs two system calls.
	sendEvery = 60 * time.Millisecond
	// forgetAfter is the silence after which a peer gets no more messages
	// until it registers again or is heard.
	forgetAfter = 20 * time.Second
	// maxMessage bounds a message in bytes; larger ones would be split.
	maxMessage = 8 << 10
)

// Message is what a node tells its peers.
type Message struct {
	// Node is the sender's id, unique to its process.
	Node string `json:"node"`
	// Zone is the sender's availability zone, Cores its processor share.
	Zone  string  `json:"zone,omitempty"`
	Cores float64 `json:"cores,omitempty"`
	// Loads holds the sender's requests by VM.
	Loads map[string]dispatch.Load `json:"loads,omitempty"`
	// Silent lists heads of replicas that send nothing.
	Silent []string `json:"silent,omitempty"`
	// Crashes holds the latest requests that crashed upstreams.
	Crashes []quarantine.LocalSuspect `json:"crashes,omitempty"`
	// Dead lists VMs that don't answer the holder of the control lease.
	Dead []string `json:"dead,omitempty"`
}

// Gossip exchanges messages with peers. It is safe for concurrent use.
type Gossip struct {
	id     string
	conn   *net.UDPConn
	local  func() Message
	heard  func(Message)
	logger *slog.Logger

	mu    sync.Mutex
	peers map[string]*peer
}

// peer is another node.
type peer struct {
	address netip.AddrPort
	zone    string
	cores   float64
	heardAt time.Time
	live    bool
}

// Options configures a Gossip.
type Options struct {
	// ID is this node's id.
	ID string
	// Listen is this node's address.
	Listen netip.AddrPort
	// Local returns what to tell.
	Local func() Message
	// Heard takes a peer's message.
	Heard  func(Message)
	Logger *slog.Logger
}

// New opens the socket.
func New(o Options) (*Gossip, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(o.Listen))
	if err != nil {
		return nil, errors.Wrap(err, "listening for peers")
	}
	return &Gossip{
		id: o.ID, conn: conn, local: o.Local, heard: o.Heard, logger: o.Logger, peers: map[string]*peer{},
	}, nil
}

// Register adds a peer or renews its address. The id is unique to the peer's
// process; a former process of the same address is forgotten.
func (g *Gossip) Register(id string, address netip.AddrPort) {
	if id == g.id {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for other, p := range g.peers {
		if p.address == address && other != id {
			delete(g.peers, other)
		}
	}
	if _, known := g.peers[id]; !known {
		g.peers[id] = &peer{address: address, heardAt: time.Now()}
		g.logger.Info(decisions.PeerRegistered, "peer", id, "address", address.String())
	}
}

// Live returns the number of peers heard of lately.
func (g *Gossip) Live() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, p := range g.peers {
		if p.live {
			n++
		}
	}
	return n
}

// Peers returns the peers heard of lately.
func (g *Gossip) Peers() []relay.Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]relay.Peer, 0, len(g.peers))
	for id, p := range g.peers {
		if p.live && time.Since(p.heardAt) < liveFor {
			out = append(out, relay.Peer{ID: id, Zone: p.zone, Address: p.address, Cores: p.cores})
		}
	}
	return out
}

// Run sends and receives until the context ends.
func (g *Gossip) Run(ctx context.Context) {
	go g.receive(ctx)
	t := time.NewTicker(sendEvery)
	defer t.Stop()
	defer g.conn.Close()
	for tick := 0; ; tick++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if tick%g.skip() == 0 {
				g.Send()
			}
		}
	}
}

// peersAtOnce is the number of peers up to which each tick sends a message.
// With more, messages are rarer, so that a node's cost stays about the same up
// to maxSkip times as many.
const (
	peersAtOnce = 8
	maxSkip     = 8
)

// skip returns the number of ticks between two messages.
func (g *Gossip) skip() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return min(maxSkip, 1+len(g.peers)/peersAtOnce)
}

// Send tells all peers what there is to tell now.
func (g *Gossip) Send() {
	m := g.local()
	m.Node = g.id
	data, err := json.Marshal(m)
	if err != nil || len(data) > maxMessage {
		g.logger.Error(decisions.PeerMessageNotSent, "bytes", len(data), "error", err)
		return
	}
	for _, address := range g.addresses() {
		// A message that is not sent is as one that is lost on the way.
		_, _ = g.conn.WriteToUDPAddrPort(data, address)
	}
}

// liveFor is the silence after which a peer counts as gone.
const liveFor = 1500 * time.Millisecond

// addresses returns where to send, and notes peers that fell silent.
func (g *Gossip) addresses() []netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	out := make([]netip.AddrPort, 0, len(g.peers))
	for id, p := range g.peers {
		silent := now.Sub(p.heardAt)
		if p.live && silent > liveFor {
			p.live = false
			g.logger.Info(decisions.PeerSilent, "peer", id, "silent_ms", silent.Milliseconds())
		}
		if silent > forgetAfter {
			delete(g.peers, id)
			continue
		}
		out = append(out, p.address)
	}
	return out
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
		if m.Node == "" || m.Node == g.id {
			continue
		}
		g.note(m, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
		g.heard(m)
	}
}

// note keeps the time and origin of a peer's message.
func (g *Gossip) note(m Message, from netip.AddrPort) {
	id := m.Node
	g.mu.Lock()
	defer g.mu.Unlock()
	p, known := g.peers[id]
	if !known {
		p = &peer{address: from}
		g.peers[id] = p
	}
	p.zone, p.cores = m.Zone, m.Cores
	p.heardAt = time.Now()
	if !p.live {
		p.live = true
		g.logger.Info(decisions.PeerHeard, "peer", id, "address", from.String())
	}
}
