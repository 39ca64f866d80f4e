// Package health is the kernel service that decides which upstreams may take
// requests. It publishes their state; it does not route requests itself.
//
// A node probes only its share of the VMs (package watch) and evaluates only the
// replicas in that share. It reports the changes in its share to the node that
// holds the control lease, which thus knows all VMs without probing them.
//
// The guarantee: a replica is eligible only while every one of its VMs has
// reported, within ReportTTL, the replica and generation that the control
// ledger holds, and none of them is missing or leaving. A VM that executed an
// outdated order to join or leave therefore makes its replica ineligible, so that the
// replica never serves with a VM that belongs to another replica or generation. A VM
// whose process announced that it is leaving counts as leaving until a later report
// comes from another process, whatever older reports, peers or the VM list say.
package health

import (
	"time"

	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/record"
)

// Name is the service's registered name.
const Name = "health"

const (
	// ProbeInterval is the time between two probes of a VM.
	ProbeInterval = 2 * time.Second
	// ReportTTL is how long the report of a VM is valid.
	ReportTTL = 5 * time.Second
	// inventoryEvery is the time between two reads of the VM and model lists.
	inventoryEvery = 2 * time.Second
	// publishEvery is the interval of publication; it bounds how long a change
	// of state waits to be published.
	publishEvery = 200 * time.Millisecond
	// assignEvery is the interval at which a node recomputes its share.
	assignEvery = time.Second
)

// FetchInventory is the effect that reads the VM list and the model list.
type FetchInventory struct{}

// InventoryFetched is the result of a FetchInventory.
type InventoryFetched struct {
	VMs    []port.VM
	Models port.ModelList
	Err    error
}

// Probe is the effect that asks a VM for its report.
type Probe struct {
	VM      port.VMID
	Address string
	// Boot is that of the VM's latest report.
	Boot string
	// SentAt is when the probe was requested; Probed returns it.
	SentAt time.Time
}

// Probed is the result of a Probe.
type Probed struct {
	VM port.VMID
	// SentAt is the time of the Probe: the report describes the VM at that time
	// or later.
	SentAt time.Time
	Report port.Report
	// Leaving says that the VM announced its leaving with the answer, of which Report
	// may be empty, and Boot which process did; empty if the answer doesn't say.
	Leaving bool
	Boot    string
	Err     error
}

// Announced says that the process on a VM announced in an answer that it is leaving. It
// takes no new requests whatever its reports, peers or the VM list say.
type Announced struct {
	// Process is the process that said so. Its boot is that of the latest report before
	// the request if the answer does not name it.
	Process port.Incarnation
}

// Suspected says that a request found an upstream unreachable or leaving. The
// upstream takes no more requests until its next report.
type Suspected struct {
	// Upstream is the replica's name or the VM of a plain service.
	Upstream string
}

// Upstream is an upstream that may take requests.
type Upstream struct {
	// ID is the replica's name or the VM of a plain service.
	ID string
	// Generation is the replica's generation; 0 for plain services.
	Generation int64
	// Address is the address that requests are sent to.
	Address string
	// Process is the process at Address, by its latest report.
	Process port.Incarnation
	// Pool is the name of the model or plain service.
	Pool string
	// Plain says that Pool is a plain service.
	Plain bool
	// Zone is the availability zone of Address.
	Zone string
	// Slots is the number of requests that the upstream runs at a time: the size
	// of its continuous batch.
	Slots int
	// Report is the latest report of the VM at Address.
	Report port.Report
	// EligibleUntil is when the oldest report on which the eligibility is based
	// expires.
	EligibleUntil time.Time
}

// Changed is sent to subscribers. It lists all eligible upstreams, and the replicas
// that broke since the previous publication.
type Changed struct {
	Upstreams []Upstream
	// Broken names the replicas that lost a VM; requests in flight on them
	// continue on other replicas. A leaving replica is not broken.
	Broken []string
}

// LoadReported tells subscribers the load that an eligible upstream reported.
// The reported load lags behind the actual one.
type LoadReported struct {
	ID     string
	Report port.Report
}

// EligibilityRenewed tells subscribers until when the unchanged eligible
// upstreams may take requests. A node that was paused and routes a request after
// that time must not use them.
type EligibilityRenewed struct {
	EligibleUntil map[string]time.Time
}

// Observation is what a node knows about one VM.
type Observation struct {
	// VM is the VM as the VM list describes it; Leaving also says that the process
	// which gave Report announced to some node that it is leaving.
	VM port.VM
	// Listed says that the current VM list holds the VM.
	Listed bool
	// Report is the VM's latest report; it is zero if none was received.
	Report port.Report
	// LastSeen is the latest time at which the VM counts as alive: the time of
	// its latest report or, on a node that observes all VMs, a later time given
	// by other nodes' reports or by the start of observing.
	LastSeen time.Time
	// AsOf and ReportedBy bound when the VM gave Report, by this node's clock: it
	// had given it by ReportedBy, and gave it still at AsOf or later. They are zero
	// if no report was received.
	AsOf       time.Time
	ReportedBy time.Time
	// Source is the node that probed the VM for Report.
	Source record.NodeID
}

// Observed is sent to the observers. It lists all VMs and models.
type Observed struct {
	VMs    []Observation
	Models port.ModelList
}

// Messages of the service's timers.
type (
	inventoryTick struct{}
	probeTick     struct{ vm port.VMID }
	publishTick   struct{}
	assignTick    struct{}
)
