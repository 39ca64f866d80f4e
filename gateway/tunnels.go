package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/fleet"
	"github.com/tamarackcleat/tamarackcleat/notice"
	"github.com/tamarackcleat/tamarackcleat/relay"
	"github.com/tamarackcleat/tamarackcleat/tunnel"
)

const (
	// tunnelTimeout bounds the opening of a tunnel, in which the other node connects to the
	// upstream.
	tunnelTimeout = upstreamDialTimeout + 100*time.Millisecond
	// peerDialTimeout bounds the time to connect to another node.
	peerDialTimeout = 300 * time.Millisecond
	// tunnelTries is the number of nodes that are asked for a tunnel for one attempt.
	tunnelTries = 3
	// avoidPeerTime is how long a node gets no tunnel that could not open one.
	avoidPeerTime = 500 * time.Millisecond
	// withoutTTL is how long a node counts as one that serves no tunnels after a message has
	// said so.
	withoutTTL = time.Second
	// tunnelDescriptorShare and tunnelMemoryShare are the parts of a node's descriptors and
	// memory that the tunnels that it serves may hold. Each takes one descriptor of the part
	// for peers and one of that for upstreams.
	tunnelDescriptorShare = upstreamDescriptorShare / 2
	tunnelMemoryShare     = 0.05
	// defaultMaxTunnels applies without a limit on descriptors and memory.
	defaultMaxTunnels = 1024
)

// errNoTunnel marks a request that no other node has opened a tunnel for.
var errNoTunnel = errors.New("neither upstreams nor a node that could reach them can be connected to")

// tunnelChoice chooses the nodes that this one opens tunnels through. It is safe for
// concurrent use.
type tunnelChoice struct {
	// opened counts the tunnels of the process.
	opened atomic.Int64

	mu sync.Mutex
	// open counts the open tunnels by the id of the serving node.
	open map[string]int
	// avoidUntil holds until when nodes are not asked.
	avoidUntil map[string]time.Time
	// without holds, by sender, the nodes that a message named as serving no tunnels.
	without map[string]nodesWithout
}

// nodesWithout are nodes that serve no tunnels, as a message said.
type nodesWithout struct {
	at  time.Time
	ids []string
}

func newTunnelChoice() *tunnelChoice {
	return &tunnelChoice{open: map[string]int{}, avoidUntil: map[string]time.Time{}, without: map[string]nodesWithout{}}
}

// noteWithout records which nodes a message names as serving no tunnels.
func (c *tunnelChoice) noteWithout(now time.Time, sender string, ids []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(ids) == 0 {
		delete(c.without, sender)
		return
	}
	c.without[sender] = nodesWithout{now, ids}
}

// usable returns those of the peers that are not known to serve no tunnels.
func (c *tunnelChoice) usable(now time.Time, peers []relay.Peer) []relay.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	without := map[string]bool{}
	for sender, u := range c.without {
		if now.Sub(u.at) > withoutTTL {
			delete(c.without, sender)
			continue
		}
		for _, id := range u.ids {
			without[id] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(peers), func(p relay.Peer) bool { return without[p.ID] })
}

// choose returns the node to open a tunnel through, of all peers of a node of a zone that
// were not tried, and counts a tunnel there; false if there is none. It prefers the node's
// own zone unless at most half of that zone's nodes serve tunnels.
func (c *tunnelChoice) choose(now time.Time, zone string, peers []relay.Peer, tried []string) (relay.Peer, bool) {
	usable := c.usable(now, peers)
	inZone := func(p relay.Peer) bool { return p.Zone == zone }
	near := filterPeers(usable, inZone)
	if 2*len(near) <= len(filterPeers(peers, inZone)) {
		near = nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	untried := func(p relay.Peer) bool { return !slices.Contains(tried, p.ID) }
	welcome := func(p relay.Peer) bool { return untried(p) && !now.Before(c.avoidUntil[p.ID]) }
	for _, open := range [][]relay.Peer{filterPeers(near, welcome), filterPeers(usable, welcome), filterPeers(usable, untried), filterPeers(peers, welcome), filterPeers(peers, untried)} {
		if len(open) == 0 {
			continue
		}
		a, b := open[rand.N(len(open))], open[rand.N(len(open))]
		if c.loadOf(b) < c.loadOf(a) {
			a = b
		}
		c.open[a.ID]++
		return a, true
	}
	return relay.Peer{}, false
}

func filterPeers(peers []relay.Peer, keep func(relay.Peer) bool) []relay.Peer {
	return slices.DeleteFunc(slices.Clone(peers), func(p relay.Peer) bool { return !keep(p) })
}

// loadOf returns the number of this node's tunnels through a peer for each of its cores. The
// lock must be held.
func (c *tunnelChoice) loadOf(p relay.Peer) float64 {
	return float64(c.open[p.ID]) / max(p.Cores, minPeerCores)
}

// minPeerCores is assumed to be the processor share of a peer that states less.
const minPeerCores = 0.1

// ended stops counting a tunnel through a peer.
func (c *tunnelChoice) ended(peer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[peer]--; c.open[peer] <= 0 {
		delete(c.open, peer)
	}
}

// avoid keeps further tunnels from a peer for a while.
func (c *tunnelChoice) avoid(now time.Time, peer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, until := range c.avoidUntil {
		if now.After(until) {
			delete(c.avoidUntil, id)
		}
	}
	c.avoidUntil[peer] = now.Add(avoidPeerTime)
}

// tunnelConn is the user's end of a tunnel.
type tunnelConn struct {
	net.Conn
	once  sync.Once
	ended func()
}

// Close implements net.Conn.
func (c *tunnelConn) Close() error {
	c.once.Do(c.ended)
	return c.Conn.Close()
}

// openTunnel opens a connection to an upstream through another node, for a request that ends
// at a deadline. It returns the address of that node.
func (n *Node) openTunnel(ctx context.Context, t fleet.Target, deadline time.Time) (net.Conn, string, error) {
	if n.peers == nil {
		return nil, "", errNoTunnel
	}
	q := tunnel.Request{Upstream: t.Incarnation(), Address: t.Address, Lifetime: time.Until(deadline) + writeGrace}
	var tried []string
	var last error
	for len(tried) < tunnelTries && ctx.Err() == nil {
		p, ok := n.tunnels.choose(time.Now(), n.Settings().Zone, n.peers.Peers(), tried)
		if !ok {
			break
		}
		tried = append(tried, p.ID)
		c, err := n.openTunnelThrough(ctx, p, q)
		if err == nil {
			return c, p.Address.String(), nil
		}
		last = err
		if !n.noteTunnelFailure(ctx, p, t, err) {
			break
		}
	}
	return nil, "", n.tunnelError(t, last)
}

// openTunnelThrough opens a tunnel through a peer that was chosen.
func (n *Node) openTunnelThrough(ctx context.Context, p relay.Peer, q tunnel.Request) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, tunnelTimeout)
	defer cancel()
	dialer := net.Dialer{Timeout: peerDialTimeout, KeepAlive: -1, Control: n.pool.ControlSocket}
	conn, err := dialer.DialContext(ctx, "tcp", p.Address.String())
	if err == nil {
		conn, err = tunnel.Open(ctx, conn, q)
	}
	if err != nil {
		n.tunnels.ended(p.ID)
		return nil, err
	}
	n.tunnels.opened.Add(1)
	n.count("tunnel.opened")
	return &tunnelConn{Conn: conn, ended: func() { n.tunnels.ended(p.ID) }}, nil
}

// noteTunnelFailure records that a peer did not open a tunnel. It reports whether another
// peer might.
func (n *Node) noteTunnelFailure(ctx context.Context, p relay.Peer, t fleet.Target, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	reason, refusal := tunnel.Reason("no_answer"), (*tunnel.Refusal)(nil)
	if errors.As(err, &refusal) {
		reason = refusal.Reason
	}
	n.count("tunnel.denied." + string(reason))
	n.logger.Info(decisions.TunnelRefused, "peer", p.ID, "upstream", t.ID, "reason", reason, "error", err)
	switch reason {
	case tunnel.NotConnected, tunnel.Gone, tunnel.Leaving, tunnel.Evacuated:
		return false
	case tunnel.Paused:
		return true
	}
	n.tunnels.avoid(time.Now(), p.ID)
	return true
}

// tunnelError returns the error of a request without a tunnel, given the last peer's answer.
func (n *Node) tunnelError(t fleet.Target, last error) error {
	var refusal *tunnel.Refusal
	if !errors.As(last, &refusal) {
		return errors.CombineErrors(errNoTunnel, last)
	}
	switch refusal.Reason {
	case tunnel.NotConnected:
		if refusal.PortClosed {
			return errors.Mark(last, syscall.ECONNREFUSED)
		}
		return last
	case tunnel.Gone:
		return errors.Mark(last, errUpstreamGone)
	case tunnel.Leaving:
		n.markLeaving(t.Incarnation(), false, "peer", "tunnel")
		return errors.Mark(last, errUpstreamLeaving)
	case tunnel.Evacuated:
		return errors.Mark(last, errZoneEvacuated)
	case tunnel.Paused:
		n.balancer.Pause(time.Now(), t.Incarnation(), time.Duration(refusal.PauseMs)*time.Millisecond)
		return errors.Mark(last, errUpstreamPaused)
	}
	return errors.Mark(last, errNoTunnel)
}

// tellPause tells the node through which a request was sent that the upstream wants no
// requests from it for a while.
func (n *Node) tellPause(t *try) {
	pause := t.info.Notice.Pause
	if t.via == "" || pause <= 0 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), peerDialTimeout)
		defer cancel()
		if err := tunnel.TellPause(ctx, t.via, t.assignment.Target.Incarnation(), pause); err != nil {
			n.count("tunnel.pause_untold")
			n.logger.Warn(decisions.TunnelPauseUntold, "peer", t.via, "upstream", t.assignment.Target.ID, "pause_ms", pause.Milliseconds(), "error", err)
		}
	}()
}

// pausedForPeer heeds a pause that an upstream asked this node for in an answer to a peer.
func (n *Node) pausedForPeer(i fleet.Incarnation, pause time.Duration) {
	n.heed(i, notice.Notice{Pause: pause}, "tunnel")
}

// newTunnelServer returns the server of tunnels for other nodes.
func (n *Node) newTunnelServer() *tunnel.Server {
	return &tunnel.Server{
		Admit: n.admitTunnel, Dial: n.dialForPeer, Max: func() int { return maxTunnels(*n.Settings()) }, Done: n.requestsEnd,
		Observe: func(refused tunnel.Reason) {
			if refused == "" {
				n.count("tunnel.served")
				return
			}
			n.count("tunnel.refused." + string(refused))
		},
	}
}

// dialForPeer opens a connection to an upstream for another node.
func (n *Node) dialForPeer(ctx context.Context, address string) (net.Conn, error) {
	c, err := n.dialDirect(ctx, address)
	if err != nil {
		n.path.settled(ctx)
	}
	return c, err
}

// maxTunnels returns the largest number of tunnels that a node serves.
func maxTunnels(s Settings) int {
	out := defaultMaxTunnels
	if s.MaxDescriptors > 0 {
		out = min(out, int(tunnelDescriptorShare*float64(s.MaxDescriptors)))
	}
	if s.MemoryBytes > 0 {
		out = min(out, int(tunnelMemoryShare*float64(s.MemoryBytes)/tunnel.BytesPerTunnel))
	}
	return max(1, out)
}

// admitTunnel returns why this node must not open a tunnel to an upstream now; nil if it may.
// These are the conditions under which it sends requests of its own.
func (n *Node) admitTunnel(q tunnel.Request) *tunnel.Refusal {
	v := n.View()
	vm, known := v.VM(q.Upstream.ID)
	pause := n.balancer.PauseRemaining(time.Now(), q.Upstream)
	switch {
	case n.path.lost():
		return &tunnel.Refusal{Reason: tunnel.Unreachable}
	case n.cannotFinish(time.Now().Add(min(q.Lifetime, streamAnswerTime))):
		return &tunnel.Refusal{Reason: tunnel.Stopping}
	case n.cutOff():
		return &tunnel.Refusal{Reason: tunnel.Stale}
	case !known || vm.Incarnation() != q.Upstream || vm.Address != q.Address || vm.Unlisted:
		return &tunnel.Refusal{Reason: tunnel.Gone}
	case vm.Leaving:
		return &tunnel.Refusal{Reason: tunnel.Leaving}
	case v.Evacuated(vm.Zone):
		return &tunnel.Refusal{Reason: tunnel.Evacuated}
	case pause > 0:
		return &tunnel.Refusal{Reason: tunnel.Paused, PauseMs: pause.Milliseconds()}
	}
	return nil
}
