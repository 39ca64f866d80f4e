// Package health is the kernel service that knows which upstreams may take
// work. It publishes state; it routes nothing itself.
//
// A node probes only its share of the VMs (package watch) and judges only the
// replicas in it. It tells the holder of the control lease what changed in its
// share, so that the holder knows all VMs without probing them.
//
// The guarantee: a replica is eligible only while every one of its VMs has
// reported, within FreshFor, the replica and generation that the control
// ledger holds, and none of them is missing or leaving. A VM that obeyed a
// stale order therefore makes its replica ineligible instead of letting it
// serve with a foreign member.
package health

import (
	"time"

	"github.com/tamarackcleat/tamarackcleat/port"
)

// Name is the service's registered name.
const Name = "health"

const (
	// ProbeEvery is the time between two probes of a VM.
	ProbeEvery = 2 * time.Second
	// FreshFor is how long a report counts.
	FreshFor = 5 * time.Second
	// inventoryEvery is the time between two reads of the VM list.
	inventoryEvery = 2 * time.Second
	// publishEvery bounds how long a change of state waits for publication.
	publishEvery = 200 * time.Millisecond
	// assignEvery is how often the division of probes among nodes is renewed.
	assignEvery = time.Second
)

// FetchInventory is the effect that reads the VM list and the model list.
type FetchInventory struct{}

// InventoryDone is the result of a FetchInventory.
type InventoryDone struct {
	VMs    []port.VM
	Models port.ModelList
	Err    error
}

// Probe is the effect that asks a VM for its report.
type Probe struct {
	VM      port.VMID
	Address string
	// AskedAt goes back in Probed.
	AskedAt time.Time
}

// Probed is the result of a Probe.
type Probed struct {
	VM port.VMID
	// AskedAt is the time of the Probe: what the report says was true then
	// or later.
	AskedAt time.Time
	Report  port.Report
	Err     error
}

// Suspected says that a request found an upstream unreachable or leaving. It
// takes no more work until its next report.
type Suspected struct {
	// Upstream is the replica's name or the VM of a plain service.
	Upstream string
}

// Upstream is an upstream that may take work.
type Upstream struct {
	// ID is the replica's name or the VM of a plain service.
	ID string
	// Generation is the replica's; 0 for plain services.
	Generation int64
	// Address takes the requests.
	Address string
	// Pool is the model's name or that of the plain service.
	Pool string
	// Plain says that Pool is a plain service.
	Plain bool
	// Zone is the availability zone of Address.
	Zone string
	// Slots is the size of the continuous batch.
	Slots int
	// Report is the latest report of the VM at Address.
	Report port.Report
	// FreshUntil is when the first report behind the judgement expires.
	FreshUntil time.Time
}

// Changed tells subscribers the whole set of eligible upstreams, and the
// replicas that stopped being complete since the last time.
type Changed struct {
	Upstreams []Upstream
	// Broken names replicas that lost a VM; requests in flight on them go
	// on elsewhere. A leaving replica is not broken.
	Broken []string
}

// LoadSeen tells subscribers the lagging load of an eligible upstream.
type LoadSeen struct {
	ID     string
	Report port.Report
}

// Renewed tells subscribers until when eligible upstreams may take work. A
// request that is routed later, by a node that was paused, must not use them.
type Renewed struct {
	FreshUntil map[string]time.Time
}

// Observation is what is known of one VM.
type Observation struct {
	VM port.VM
	// Listed says that the VM list holds the VM.
	Listed bool
	// Report is the latest report and HeardAt its time; zero if none came.
	Report  port.Report
	HeardAt time.Time
}

// Observed tells the controller all VMs and models.
type Observed struct {
	VMs    []Observation
	Models port.ModelList
}

type (
	inventoryTick struct{}
	probeTick     struct{ vm port.VMID }
	publishTick   struct{}
	assignTick    struct{}
)
