package gateway

import (
	"net/netip"
	"time"

	"github.com/tamarackcleat/tamarackcleat/wirecheck"
)

// Settings are the settings of a node's process.
type Settings struct {
	// Node names the VM; Zone is its availability zone.
	Node, Zone string
	// ListenCaller is the address for callers' requests, ListenReady that for the
	// load balancer's readiness probes; both are host:port.
	ListenCaller, ListenReady string
	// PeerIP and PeerPort are the address at which other nodes reach this one. If
	// the port is 0, the node has no peers. The port is the same on all nodes.
	PeerIP   netip.Addr
	PeerPort int
	// Bootstrap says that the deployment is being started for the first time.
	Bootstrap bool
	// AdmitInTime says that a request which no upstream can answer in time is refused while
	// all slots are taken, in place of being queued at an upstream.
	AdmitInTime bool
	// Cores is the process's share of the VM's processors, in processor cores.
	Cores float64
	// MemoryBytes is the memory limit of the process.
	MemoryBytes int64
	// MaxDescriptors is the limit on the process's open descriptors; 0 for none.
	MaxDescriptors int
	// CallerConnections and CallerBytes bound what callers hold together: connections, and
	// the bytes of connections, heads and bodies. 0 for the default, a part of
	// MaxDescriptors and MemoryBytes.
	CallerConnections int
	CallerBytes       int64
	// Bounds holds the time and retry bounds that the deployment promises.
	Bounds Bounds
	// DialUpstream opens connections to upstreams; nil for a net.Dialer.
	DialUpstream wirecheck.DialFunc
}

// Bounds are the bounds that the deployment promises. Timeouts are derived from them.
type Bounds struct {
	// RevocationTime is the time within which all nodes refuse a revoked API key;
	// 0 for no bound.
	RevocationTime time.Duration
	// DrainTime is how long an upstream continues to work after it reported that
	// it is leaving; no request may reach it later.
	DrainTime time.Duration
	// ShutdownGrace is the time between SIGTERM and SIGKILL.
	ShutdownGrace time.Duration
	// StallTimeout is how long the work of a replica that lost a member makes no
	// progress before it is cut off.
	StallTimeout time.Duration
	// RetryRatio and RetrySlack bound the retries of all nodes together to one
	// service in any RetryWindow: RetryRatio times the service's requests in that
	// window plus RetrySlack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// LoadWindow is the length of the window in which model loads from the
	// weight store are counted against their limit.
	LoadWindow time.Duration
	// EvacuateTime is the time within which no request reaches a zone any more whose
	// evacuation the log has acknowledged; 0 for no bound.
	EvacuateTime time.Duration
	// ColdOvershoot and ColdSlack bound the requests that reach one cold upstream in any
	// second: ColdOvershoot times fleet.Service.ColdPerSecond plus ColdSlack.
	ColdOvershoot, ColdSlack float64
}
