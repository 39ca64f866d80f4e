package gateway

import (
	"net/netip"
	"time"
)

// Settings are the process settings of a gateway node.
type Settings struct {
	// Node names the VM; Zone is its availability zone.
	Node, Zone string
	// ListenCaller takes requests of callers, ListenReady the balancer's
	// question whether the node is ready; both are host:port.
	ListenCaller, ListenReady string
	// PeerIP and PeerPort are where other nodes reach this one; port 0 for
	// none. The port is the same on all nodes.
	PeerIP   netip.Addr
	PeerPort int
	// Bootstrap says that the whole deployment starts for the first time.
	Bootstrap bool
	// Cores is the VM's share of a processor core.
	Cores float64
	// MemoryBytes is the process's limit.
	MemoryBytes int64
	// Bounds holds what the deployment promises.
	Bounds Bounds
}

// Bounds are the deployment's promises, from which timeouts are derived.
type Bounds struct {
	// Revoke is when a revoked key is refused everywhere; 0 for no bound.
	Revoke time.Duration
	// Drain is how long an upstream goes on after it reported to leave; no
	// request may reach it later.
	Drain time.Duration
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// Stall is how long an upstream's work stands still before it is cut off
	// because a member is lost.
	Stall time.Duration
	// RetryRatio and RetrySlack bound all nodes' retries to a service in a
	// RetryWindow: the ratio times its requests plus the slack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// CeilingWindow is the window in which loads from the weight store are
	// counted.
	CeilingWindow time.Duration
}
