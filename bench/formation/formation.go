// Package formation measures policies of replica formation and repair.
//
// It drives placement.Plan, as the controller does, over a fake fleet with a
// rate-limited weight store, through a seeded sequence of failures. Each
// policy meets the same sequence, so the results of one seed are paired.
//
// The measures are group downtime, in replicas missing against what is wanted
// while complete replicas are counted, and stranded accelerators, those of VMs
// that are up but neither serve nor load.
package formation

import (
	"time"

	"github.com/tamarackcleat/tamarackcleat/placement"
	"github.com/tamarackcleat/tamarackcleat/port"
)

// Fleet is a fleet of engine VMs by fabric domain.
type Fleet struct {
	// Name names the fleet.
	Name string
	// Domains holds the number of VMs of each domain; domain i lies in
	// availability zone i modulo Zones.
	Domains []int
	// Zones is the number of availability zones.
	Zones int
}

// Fleets returns the named fleets at today's size. Replicas span four VMs.
func Fleets() []Fleet {
	return []Fleet{
		{Name: "exact", Domains: []int{28, 32, 28, 28, 28, 32, 28, 28, 32, 28}, Zones: 3},
		{Name: "today", Domains: []int{33, 29, 33, 29, 29, 33, 29, 29, 33, 29}, Zones: 3},
		{Name: "even", Domains: []int{30, 30, 30, 30, 30, 30, 30, 30, 30, 30}, Zones: 3},
		{Name: "roomy", Domains: []int{32, 32, 32, 32, 32, 32, 32, 32, 32, 32}, Zones: 3},
	}
}

// FleetByName finds a fleet.
func FleetByName(name string) (Fleet, bool) {
	for _, f := range Fleets() {
		if f.Name == name {
			return f, true
		}
	}
	return Fleet{}, false
}

// Span is how long and how hard a fleet is tried.
type Span struct {
	// Length is the simulated time.
	Length time.Duration
	// SpeedUp multiplies the rates of VM faults.
	SpeedUp float64
	// CrossSpeed is what a replica across domains is worth against one in a
	// domain; the rest of its accelerators counts as stranded.
	CrossSpeed float64
	// Cold measures the first formation of an empty fleet without faults.
	Cold bool
}

// VMs returns the number of VMs.
func (f Fleet) VMs() int {
	n := 0
	for _, size := range f.Domains {
		n += size
	}
	return n
}

// Names of the models.
const (
	modelDesk  = "desk"
	modelDraft = "draft"
)

// Properties of the fake fleet.
const (
	vmsPerReplica = 4
	// storeBytesPerSecond is the rate of the weight store, vmBytesPerSecond
	// that of one VM's link.
	storeBytesPerSecond = 10 << 30
	vmBytesPerSecond    = 2 << 30
	draftWeightBytes    = 40 << 30
	deskWeightBytes     = 16 << 30
	// wantDesk and wantDraft are the replicas wanted.
	wantDesk  = 3
	wantDraft = 70
	// deskWeight is the weight of a missing desk replica against a missing
	// drafting replica: the desk's requests are short, urgent and many.
	deskWeight = 5
	// lostAfter is the time until a VM out of reach counts as lost.
	lostAfter = 10 * time.Second
	// planAfter is the time from a change to the orders that follow from it:
	// a report, an append and its read-back.
	planAfter = time.Second
	// planEvery is the time between plans while nothing changes.
	planEvery = 30 * time.Second
	// finishStreams is how long a replica that is dissolved in good order
	// finishes its streams; finishBroken how long survivors take to leave.
	finishStreams = 20 * time.Second
	finishBroken  = 2 * time.Second
	// stragglerSpeed is the loading speed of a straggler.
	stragglerSpeed = 0.05
	// avoidFor is how long a VM that failed to load is left out.
	avoidFor = 10 * time.Minute
)

// models returns the models of the fake weight store.
func models() []port.Model {
	return []port.Model{
		{Name: modelDesk, VMsPerReplica: vmsPerReplica, WeightBytes: deskWeightBytes},
		{Name: modelDraft, VMsPerReplica: vmsPerReplica, WeightBytes: draftWeightBytes},
	}
}

// demands returns what is wanted; VMs beyond that go to the drafting model.
func demands(vms int) []placement.Demand {
	spare := vms/vmsPerReplica - wantDesk - wantDraft
	return []placement.Demand{
		{Model: modelDesk, Min: placement.MinReplicas, Want: wantDesk, Max: wantDesk, Urgent: true},
		{Model: modelDraft, Min: placement.MinReplicas, Want: wantDraft, Max: wantDraft + max(0, spare)},
	}
}

// Result is the measurement of one policy on one failure sequence.
type Result struct {
	Policy string `json:"policy"`
	Fleet  string `json:"fleet"`
	Seed   uint64 `json:"seed"`
	// Days is the simulated time.
	Days float64 `json:"days"`
	// SpeedUp and CrossSpeed are those of the Span.
	SpeedUp    float64 `json:"speed_up"`
	CrossSpeed float64 `json:"cross_speed"`
	// DeskDown and DraftDown are replica hours missing against what is
	// wanted.
	DeskDown  float64 `json:"desk_down_replica_hours"`
	DraftDown float64 `json:"draft_down_replica_hours"`
	// DeskOut is the time without any complete desk replica, in hours.
	DeskOut float64 `json:"desk_out_hours"`
	// Stranded and Loading are VM hours of VMs that are up and neither
	// serve nor load, and of VMs that load.
	Stranded float64 `json:"stranded_vm_hours"`
	Loading  float64 `json:"loading_vm_hours"`
	// Formed and Dissolved count actions.
	Formed    int `json:"formed"`
	Dissolved int `json:"dissolved"`
}

// Downtime is the group downtime in replica hours, weighted by kind.
func (r Result) Downtime() float64 { return deskWeight*r.DeskDown + r.DraftDown }

// Weights of the deployments' scores: the cost of an hour of group downtime of
// a whole replica's VMs, and of a stranded VM hour.
const (
	heavy = 3
	light = 1
)

// AgencyScore weighs group downtime more heavily; lower is better.
func (r Result) AgencyScore() float64 {
	return heavy*vmsPerReplica*r.Downtime() + light*r.Stranded
}

// JhalmuriScore weighs stranded accelerators more heavily; lower is better.
func (r Result) JhalmuriScore() float64 {
	return light*vmsPerReplica*r.Downtime() + heavy*r.Stranded
}
