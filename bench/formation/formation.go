// Package formation compares policies of replica formation and repair in a
// simulation.
//
// It calls placement.Planner, as the controller does, for a simulated fleet with
// a rate-limited weight store. Faults follow a random sequence that depends on
// the seed. All policies meet the same sequence, so their results on one seed can
// be compared in pairs.
//
// The measures are group downtime and stranded accelerators. Group downtime is
// the number of wanted replicas that are not complete, over time. Stranded
// accelerators are those of VMs that are reachable but neither serve nor load.
package formation

import (
	"time"

	"github.com/tamarackcleat/tamarackcleat/placement"
	"github.com/tamarackcleat/tamarackcleat/port"
)

// Fleet describes a fleet of engine VMs.
type Fleet struct {
	// Name identifies the fleet on the command line and in results.
	Name string
	// Domains holds the number of VMs of each fabric domain. Domain i is in
	// availability zone i modulo Zones.
	Domains []int
	// Zones is the number of availability zones.
	Zones int
}

// Fleets returns the fleets that can be named on the command line. They have 292
// to 320 VMs, and a replica spans four VMs. In "exact" and "roomy" the size of
// each domain is a multiple of four, in "today" and "even" some VMs of each
// domain are left over.
func Fleets() []Fleet {
	return []Fleet{
		{Name: "exact", Domains: []int{28, 32, 28, 28, 28, 32, 28, 28, 32, 28}, Zones: 3},
		{Name: "today", Domains: []int{33, 29, 33, 29, 29, 33, 29, 29, 33, 29}, Zones: 3},
		{Name: "even", Domains: []int{30, 30, 30, 30, 30, 30, 30, 30, 30, 30}, Zones: 3},
		{Name: "roomy", Domains: []int{32, 32, 32, 32, 32, 32, 32, 32, 32, 32}, Zones: 3},
	}
}

// FleetByName returns the fleet of the given name and whether there is one.
func FleetByName(name string) (Fleet, bool) {
	for _, f := range Fleets() {
		if f.Name == name {
			return f, true
		}
	}
	return Fleet{}, false
}

// Span defines the length of a run, its faults and the value of replicas that
// span fabric domains.
type Span struct {
	// Length is the simulated time that is measured.
	Length time.Duration
	// SpeedUp is a factor for the rates of failures, restarts, replacements
	// and pauses of VMs.
	SpeedUp float64
	// CrossSpeed is the value of a replica that spans fabric domains, as a
	// fraction of the value of a replica within one domain. The remaining
	// fraction of its VMs counts as stranded.
	CrossSpeed float64
	// Cold measures the first formation of replicas from an idle fleet,
	// without faults.
	Cold bool
}

// VMs returns the number of VMs in all domains.
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

// Properties of the simulated fleet, the models and the controller.
const (
	vmsPerReplica = 4
	// storeBytesPerSecond is the rate of the weight store, which all loading
	// VMs share. vmBytesPerSecond is the rate of one VM's link.
	storeBytesPerSecond = 10 << 30
	vmBytesPerSecond    = 2 << 30
	draftWeightBytes    = 40 << 30
	deskWeightBytes     = 16 << 30
	// wantDesk and wantDraft are the wanted numbers of replicas of the desk
	// model and of the drafting model.
	wantDesk  = 3
	wantDraft = 70
	// deskDowntimeWeight is the cost of a missing desk replica relative to a
	// missing drafting replica. Requests to the desk model are short, urgent and
	// many.
	deskDowntimeWeight = 5
	// lostAfter is the time after which an unreachable VM counts as lost.
	lostAfter = 10 * time.Second
	// planDelay is the time from a change to the orders that result from it. It
	// stands for the time of a report, of an append to the log and of reading
	// the entry back.
	planDelay = time.Second
	// planInterval is the time between plans while VMs load and nothing else
	// changes.
	planInterval = 30 * time.Second
	// orderlyLeaveTime is the time that the members of a dissolved replica take
	// to finish its streams if the replica was complete or was dissolved because
	// the platform takes a member away. brokenLeaveTime is the time that the
	// members of any other dissolved replica take to leave it.
	orderlyLeaveTime = 20 * time.Second
	brokenLeaveTime  = 2 * time.Second
	// stragglerSpeed is the loading speed of a straggler as a fraction of the
	// normal speed.
	stragglerSpeed = 0.05
	// avoidTime is the time for which a VM that did not load in time is not used
	// for new replicas.
	avoidTime = 10 * time.Minute
)

// models returns the models in the simulated weight store.
func models() []port.Model {
	return []port.Model{
		{Name: modelDesk, VMsPerReplica: vmsPerReplica, WeightBytes: deskWeightBytes},
		{Name: modelDraft, VMsPerReplica: vmsPerReplica, WeightBytes: draftWeightBytes},
	}
}

// demands returns the wanted replicas of each model. VMs beyond the wanted
// replicas may form further replicas of the drafting model.
func demands(vms int) []placement.Demand {
	spare := vms/vmsPerReplica - wantDesk - wantDraft
	return []placement.Demand{
		{Model: modelDesk, Min: placement.MinReplicas, Want: wantDesk, Max: wantDesk, Urgent: true},
		{Model: modelDraft, Min: placement.MinReplicas, Want: wantDraft, Max: wantDraft + max(0, spare)},
	}
}

// Result holds the measurements of one policy on one fault sequence.
type Result struct {
	Policy string `json:"policy"`
	Fleet  string `json:"fleet"`
	Seed   uint64 `json:"seed"`
	// Days is the simulated time in days.
	Days float64 `json:"days"`
	// SpeedUp and CrossSpeed are copied from the Span of the run.
	SpeedUp    float64 `json:"speed_up"`
	CrossSpeed float64 `json:"cross_speed"`
	// DeskDown and DraftDown are the replica hours by which the complete
	// replicas of each model fell short of the wanted number.
	DeskDown  float64 `json:"desk_down_replica_hours"`
	DraftDown float64 `json:"draft_down_replica_hours"`
	// DeskOut is the time without a complete desk replica, in hours.
	DeskOut float64 `json:"desk_out_hours"`
	// Stranded is the VM hours of reachable VMs that neither served nor loaded,
	// Loading the VM hours of VMs that loaded weights.
	Stranded float64 `json:"stranded_vm_hours"`
	Loading  float64 `json:"loading_vm_hours"`
	// Formed and Dissolved are the numbers of replicas that were formed and
	// dissolved.
	Formed    int `json:"formed"`
	Dissolved int `json:"dissolved"`
}

// Downtime returns the group downtime in replica hours. Each replica hour of the
// desk model counts deskDowntimeWeight times.
func (r Result) Downtime() float64 { return deskDowntimeWeight*r.DeskDown + r.DraftDown }

// Costs of a VM hour in the scores. A score adds up group downtime, converted to
// VM hours, and stranded VM hours, one of them multiplied by highCost and the other
// by lowCost.
const (
	highCost = 3
	lowCost  = 1
)

// AgencyScore returns the cost of a run for the agency, to which group downtime
// costs more than stranded accelerators. Lower is better.
func (r Result) AgencyScore() float64 {
	return highCost*vmsPerReplica*r.Downtime() + lowCost*r.Stranded
}

// JhalmuriScore returns the cost of a run for Jhalmuri, to which stranded
// accelerators cost more than group downtime. Lower is better.
func (r Result) JhalmuriScore() float64 {
	return lowCost*vmsPerReplica*r.Downtime() + highCost*r.Stranded
}
