package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"github.com/tamarackcleat/tamarackcleat/callerlimit"
	"github.com/tamarackcleat/tamarackcleat/decisions"
)

// Limits on what callers hold, if the settings set none. docs/design/caller-limits.md has
// the reasons.
//
// The parts of the descriptors add up to 0.95; the rest is for the store, the listeners and
// the log.
const (
	// callerDescriptorShare is the part of the process's descriptors that callers'
	// connections may hold, and upstreamDescriptorShare that for connections to upstreams,
	// of which each caller with a request needs one.
	callerDescriptorShare   = 0.3
	upstreamDescriptorShare = 0.28
	// callerMemoryShare is the part of the process's memory that callers' connections,
	// heads and bodies may hold. The kernel's buffers and garbage take as much again.
	callerMemoryShare = 0.3
	// defaultCallerConnections and defaultCallerBytes apply without a limit on descriptors
	// or memory.
	defaultCallerConnections = 4096
	defaultCallerBytes       = 64 << 20
	// probeConnections bounds the connections of the listener for readiness probes and of
	// that for metrics, and probeDescriptorShare is the part of the descriptors that one of
	// them may hold.
	probeConnections     = 64
	minProbeConnections  = 4
	probeDescriptorShare = 0.02
	probeBytes           = 4 << 20
	// peerDescriptorShare and peerMemoryShare are the parts of descriptors and memory that
	// peers' connections may hold. The relay of a zone is polled by all its nodes: 1,300 of
	// 3,900 nodes in three zones, and 0.33 of 4,100 descriptors are 1,353.
	peerDescriptorShare = 0.33
	peerMemoryShare     = 0.15
)

// maxUpstreamConnections returns the largest number of open connections to upstreams; 0 for
// no limit. Requests that repeat an id get a connection of their own each, so that without
// a limit few callers could use up the descriptors.
func maxUpstreamConnections(s Settings) int {
	return int(upstreamDescriptorShare * float64(s.MaxDescriptors))
}

// maxOwnConnections is maxUpstreamConnections without the connections that the node has
// opened for others.
func (n *Node) maxOwnConnections() int {
	limit := maxUpstreamConnections(*n.Settings())
	if limit == 0 {
		return 0
	}
	return max(1, limit-int(n.tunnelServer.Open()))
}

// callerLimits returns the limits on what callers hold together.
func callerLimits(s Settings) callerlimit.Limits {
	l := callerlimit.Limits{Connections: s.CallerConnections, Bytes: s.CallerBytes}
	if l.Connections == 0 {
		l.Connections = defaultCallerConnections
		if s.MaxDescriptors > 0 {
			l.Connections = int(callerDescriptorShare * float64(s.MaxDescriptors))
		}
	}
	if l.Bytes == 0 {
		l.Bytes = defaultCallerBytes
		if s.MemoryBytes > 0 {
			l.Bytes = int64(callerMemoryShare * float64(s.MemoryBytes))
		}
	}
	return l
}

// probeLimits returns the limits of a listener for readiness probes or metrics.
func probeLimits(s Settings) callerlimit.Limits {
	l := callerlimit.Limits{Connections: probeConnections, Bytes: probeBytes}
	if s.MaxDescriptors > 0 {
		l.Connections = min(l.Connections, max(minProbeConnections, int(probeDescriptorShare*float64(s.MaxDescriptors))))
	}
	return l
}

// peerLimits returns the limits on what the connections of peers hold.
func peerLimits(s Settings) callerlimit.Limits {
	l := callerlimit.Limits{Connections: defaultCallerConnections, Bytes: defaultCallerBytes}
	if s.MaxDescriptors > 0 {
		l.Connections = int(peerDescriptorShare * float64(s.MaxDescriptors))
	}
	if s.MemoryBytes > 0 {
		l.Bytes = int64(peerMemoryShare * float64(s.MemoryBytes))
	}
	return l
}

// noteCallers returns the function that counts and logs what the clients of a listener lost
// because they exceeded the limits.
func (n *Node) noteCallers(listener string) callerlimit.Observe {
	return func(cause string, count int64) {
		n.countMany("limited."+listener+"."+cause, count)
		n.logger.Warn(decisions.CallersLimited, "listener", listener, "cause", cause, "count", count)
	}
}

// ServeProbes serves readiness probes or metrics, within the limits for them, until ctx ends
// or serving fails. listener names the listener in counters and log lines.
func (n *Node) ServeProbes(ctx context.Context, listener string, s *http.Server, l net.Listener) error {
	return n.serveLimited(ctx, listener, probeLimits(*n.Settings()), s, l)
}

func (n *Node) serveLimited(ctx context.Context, listener string, limits callerlimit.Limits, s *http.Server, l net.Listener) error {
	account := callerlimit.NewAccount(ctx, limits, n.noteCallers(listener))
	return account.Attach(s).Serve(account.Listen(l))
}

// callerLines returns the lines of metrics on what callers hold.
func (n *Node) callerLines() []string {
	a := n.callers.Load()
	if a == nil {
		return nil
	}
	connections, bytes := a.Held()
	return []string{
		fmt.Sprintf("callers.connections %d", connections),
		fmt.Sprintf("callers.connections.limit %d", a.Limits().Connections),
		fmt.Sprintf("callers.bytes %d", bytes),
		fmt.Sprintf("callers.bytes.limit %d", a.Limits().Bytes),
	}
}
