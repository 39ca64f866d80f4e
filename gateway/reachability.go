package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tamarackcleat/tamarackcleat/bootclock"
	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/fleet"
	"github.com/tamarackcleat/tamarackcleat/reach"
)

// pathCheckTimeout bounds a connection attempt that checks whether this node can reach
// upstreams.
const pathCheckTimeout = 300 * time.Millisecond

// upstreamPath is what a node knows of its own path to upstreams. It is safe for concurrent
// use.
type upstreamPath struct {
	// watching is Monitor.Watching, for the many reads while nothing is wrong.
	watching atomic.Bool

	mu      sync.Mutex
	monitor reach.Monitor
	// changed is closed at the next change of the state.
	changed chan struct{}
	// lostAt is when the node became unreachable, and tunnelsThen how many tunnels it had
	// opened by then.
	lostAt      time.Duration
	tunnelsThen int64
}

func newUpstreamPath() *upstreamPath { return &upstreamPath{changed: make(chan struct{})} }

// update changes the monitor and tells those who wait for a change.
func (p *upstreamPath) update(f func(*reach.Monitor)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.monitor.State()
	f(&p.monitor)
	p.watching.Store(p.monitor.Watching())
	if p.monitor.State() != before {
		close(p.changed)
		p.changed = make(chan struct{})
	}
}

func (p *upstreamPath) state() reach.State {
	s, _ := p.watch()
	return s
}

// watch returns the state and a channel that is closed when it changes.
func (p *upstreamPath) watch() (reach.State, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.monitor.State(), p.changed
}

// lost reports whether the node can connect to no upstream.
func (p *upstreamPath) lost() bool { return p.state() == reach.Unreachable }

// alive records that an upstream has sent something on a connection of this node.
func (p *upstreamPath) alive() {
	if p.watching.Load() {
		p.update((*reach.Monitor).Alive)
	}
}

// connected records that an upstream has accepted a connection of this node.
func (p *upstreamPath) connected() {
	if p.watching.Load() {
		p.update((*reach.Monitor).Connected)
	}
}

// untilLost returns a context that also ends when the node becomes unreachable.
func (p *upstreamPath) untilLost(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for {
			s, changed := p.watch()
			if s == reach.Unreachable {
				cancel()
				return
			}
			select {
			case <-ctx.Done():
				return
			case <-changed:
			}
		}
	}()
	return ctx, cancel
}

// settled waits while a check is under way, and returns the state after it.
func (p *upstreamPath) settled(ctx context.Context) reach.State {
	for {
		s, changed := p.watch()
		if s != reach.Doubtful {
			return s
		}
		select {
		case <-ctx.Done():
			return s
		case <-changed:
		}
	}
}

// pathFailed records a failure at the upstream with an address, and begins a check of this
// node's path to upstreams if it is due.
func (n *Node) pathFailed(address string, kind reach.Kind) {
	check := false
	known := n.View().Len()
	n.path.update(func(m *reach.Monitor) { check = m.Failed(bootclock.Now(), address, kind, known) })
	if check {
		go n.checkPath()
	}
}

// recheckPath begins another check if the node is unreachable and one is due.
func (n *Node) recheckPath() {
	if !n.path.lost() {
		return
	}
	due := false
	n.path.update(func(m *reach.Monitor) { due = m.Due(bootclock.Now()) })
	if due {
		go n.checkPath()
	}
}

// RecordProbe records whether the VM at an address has answered a probe. It returns false
// if this node may be unable to reach any upstream.
func (n *Node) RecordProbe(address string, answered bool) bool {
	if answered {
		n.path.alive()
		return true
	}
	n.pathFailed(address, reach.NoAnswer)
	return n.path.state() == reach.Reachable
}

// LeavesControl reports whether this node must leave the control lease to others: it can
// connect to no upstream while another node can.
func (n *Node) LeavesControl() bool {
	return n.path.lost() && n.peers != nil && len(n.tunnels.usable(time.Now(), n.peers.Peers())) > 0
}

// checkPath tries to connect to some upstreams and acts on the result.
func (n *Node) checkPath() {
	targets := n.checkTargets()
	accepted := n.countAccepting(targets)
	var before, after reach.State
	changed := false
	n.path.update(func(m *reach.Monitor) {
		before = m.State()
		changed = m.Checked(len(targets), accepted)
		after = m.State()
	})
	switch {
	case changed && after == reach.Unreachable:
		n.beginDetour(len(targets))
	case changed && before == reach.Unreachable:
		n.endDetour()
	}
}

// checkTargets returns some random upstreams of all services.
func (n *Node) checkTargets() []string {
	var addresses []string
	seen := 0
	for vm := range n.View().All() {
		if vm.Leaving || vm.Unlisted {
			continue
		}
		seen++
		if len(addresses) < reach.CheckTargets {
			addresses = append(addresses, vm.Address)
		} else if i := rand.N(seen); i < reach.CheckTargets {
			addresses[i] = vm.Address
		}
	}
	return addresses
}

// countAccepting returns how many of some upstreams accept a connection. It returns at the
// first one that does if that decides the check.
func (n *Node) countAccepting(addresses []string) int {
	oneDecides := !n.path.lost()
	results := make(chan bool, len(addresses))
	for _, a := range addresses {
		go func() {
			c, err := n.dialWithin(a, pathCheckTimeout)
			if err == nil {
				// The connection was not used.
				_ = c.Close()
			}
			results <- err == nil
		}()
	}
	accepted := 0
	for range addresses {
		if <-results {
			accepted++
			if oneDecides {
				break
			}
		}
	}
	n.countMany("path.checks", int64(len(addresses)))
	return accepted
}

// dialWithin opens a connection to an upstream that carries no request.
func (n *Node) dialWithin(address string, limit time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return n.pool.Dial(ctx, address)
}

// beginDetour makes the node use what is left to it once it can connect to no upstream.
func (n *Node) beginDetour(tried int) {
	now := bootclock.Now()
	n.path.mu.Lock()
	since, lively := n.path.monitor.Since(), n.path.monitor.Lively()
	n.path.lostAt, n.path.tunnelsThen = now, n.tunnels.opened.Load()
	n.path.mu.Unlock()
	if !lively {
		n.pool.CloseAllIdle()
	}
	// What failed since then was this node's path and not the upstreams.
	n.balancer.ForgetSuspects(time.Now().Add(since - now))
	n.count("path.lost")
	n.logger.Warn(decisions.UpstreamsUnreachable, "tried", tried, "upstreams", n.View().Len(), "after_ms", (now - since).Milliseconds(), "connections_work", lively)
	if n.peers != nil {
		n.peers.StateChanged()
	}
}

// endDetour makes the node connect to upstreams by itself again.
func (n *Node) endDetour() {
	n.path.mu.Lock()
	lostAt, tunnelsThen := n.path.lostAt, n.path.tunnelsThen
	n.path.mu.Unlock()
	n.logger.Info(decisions.UpstreamsReachable, "after_ms", (bootclock.Now() - lostAt).Milliseconds(), "tunnels", n.tunnels.opened.Load()-tunnelsThen)
	if n.peers != nil {
		n.peers.StateChanged()
	}
}

// dialUpstream opens a connection for a request that ends at a deadline: to its upstream, or
// through another node if this one can connect to none. It returns that node's address, or
// an empty one. A connection through another node serves one request.
func (n *Node) dialUpstream(ctx context.Context, t fleet.Target, deadline time.Time) (c net.Conn, via string, err error) {
	if !n.path.lost() {
		c, err = n.dialDirect(ctx, t.Address)
		if err == nil || ctx.Err() != nil || n.path.settled(ctx) != reach.Unreachable {
			return c, "", err
		}
	}
	return n.openTunnel(ctx, t, deadline)
}

// dialDirect opens a connection to an upstream. It gives up when the node turns out to be
// unreachable.
func (n *Node) dialDirect(ctx context.Context, address string) (net.Conn, error) {
	direct, cancel := n.path.untilLost(ctx)
	defer cancel()
	c, err := n.pool.Dial(direct, address)
	switch {
	case err == nil:
		n.path.connected()
	case direct.Err() == nil:
		n.pathFailed(address, reach.NoConnection)
	}
	return c, err
}
