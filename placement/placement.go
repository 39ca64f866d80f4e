// Package placement decides which VMs form which replicas.
//
// Plan is pure: the same input gives the same actions. It keeps replicas
// inside fabric domains, brings up the models of urgent classes first, prefers
// VMs that already hold the weights, and bounds how many bytes are requested
// from the weight store at once.
//
// The guarantee: no action puts a VM into a replica while the VM belongs to
// another one that is live or pending, and no VM that is lost, suspected,
// leaving or still finishing former work is used.
package placement

import (
	"slices"
	"time"

	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/record"
)

// Liveness is what health checking knows of a VM.
type Liveness string

const (
	// Live means that a report arrived recently.
	Live Liveness = "live"
	// Suspected means that reports are overdue. The VM joins no new replica,
	// and its replica is not dissolved yet.
	Suspected Liveness = "suspected"
	// Lost means that reports have been missing for longer than the bound.
	Lost Liveness = "lost"
)

// VM is an engine VM as the planner sees it.
type VM struct {
	port.VM
	// Liveness is what health checking knows of the VM.
	Liveness Liveness
	// Restarted says that the VM restarted after it had joined the replica
	// that it belongs to.
	Restarted bool
	// Avoid says that the VM lately failed to load while its peers did not.
	Avoid bool
	// Report is the VM's last report.
	Report port.Report
}

// Holds reports whether the weights of a model are on the VM.
func (v *VM) Holds(model string) bool {
	return slices.Contains(v.Report.HeldWeights, model)
}

// usable reports whether the VM can join a new replica now.
func (v *VM) usable() bool {
	return v.Liveness == Live && !v.Leaving && !v.Avoid && v.Report.State == port.EngineIdle
}

// settling reports whether the VM still finishes former work, after which it
// can join a new replica.
func (v *VM) settling() bool {
	return v.Liveness == Live && !v.Leaving && !v.Avoid && v.Report.State != port.EngineIdle
}

// Replica is a replica that is live by the ledger, or pending.
type Replica struct {
	// Name names the replica.
	Name string
	// Generation is the position of its formation.
	Generation record.Position
	// Model is the model that it serves.
	Model string
	// VMs holds its members by rank.
	VMs []port.VMID
	// FormedAt is when the planner's node learned of the formation.
	FormedAt time.Time
	// Pending says that the formation was sent but not read back yet.
	Pending bool
	// Dissolving says that the dissolution was sent but not read back yet.
	Dissolving bool
}

// Demand is the number of replicas that a model should have. The planner
// brings every model to Min before any to Want, and every model to Want before
// any to Max, each time in the order of the list.
type Demand struct {
	// Model names the model.
	Model string
	// Min replicas keep the model's classes available; they lie in
	// different fabric domains where VMs allow.
	Min int
	// Want replicas serve the present demand.
	Want int
	// Max is the number of replicas beyond which VMs are left idle.
	Max int
	// Urgent says that a class of the model is urgent.
	Urgent bool
}

// Input is all that a plan depends on.
type Input struct {
	// VMs holds the engine VMs.
	VMs []VM
	// Replicas holds live and pending replicas.
	Replicas []Replica
	// Models describes the models that the weight store can serve.
	Models []port.Model
	// StoreBytesPerSecond is the rate limit of the weight store.
	StoreBytesPerSecond int64
	// Desired holds the demands in order of priority.
	Desired []Demand
	// Now is the time of the plan.
	Now time.Time
}

// Action is a Form or a Dissolve.
type Action interface{ action() }

// Form asks for a new replica.
type Form struct {
	// Replica names it.
	Replica string
	// Model is the model to serve.
	Model string
	// VMs holds the members by rank.
	VMs []port.VMID
}

// Dissolve asks for the end of a replica.
type Dissolve struct {
	// Replica and Generation identify it.
	Replica    string
	Generation record.Position
	// Cause says why.
	Cause Cause
}

func (Form) action()     {}
func (Dissolve) action() {}

// Cause says why a replica is dissolved. Each cause has a counter.
type Cause string

const (
	// CauseMissing marks a member that is lost or no longer listed.
	CauseMissing Cause = "vm_missing"
	// CauseRestarted marks a member that lost its membership in a restart.
	CauseRestarted Cause = "vm_restarted"
	// CauseLeaving marks a member that the platform takes away.
	CauseLeaving Cause = "vm_leaving"
	// CauseLoadTimeout marks a replica that was not complete in time.
	CauseLoadTimeout Cause = "load_timeout"
	// CauseUnwanted marks a replica of a model that no class names.
	CauseUnwanted Cause = "model_not_wanted"
	// CauseSurplus marks a replica beyond the model's maximum.
	CauseSurplus Cause = "surplus"
	// CausePreempted marks a replica whose VMs a model below its minimum needs.
	CausePreempted Cause = "preempted"
	// causeDissolving marks a replica whose dissolution is on its way.
	causeDissolving Cause = "dissolving"
	// CauseCrossDomain marks a replica across fabric domains whose VMs can
	// now serve within one.
	CauseCrossDomain Cause = "cross_domain_retired"
)

// Plan returns what to do next, dissolutions first.
func Plan(in Input, policy Policy) []Action {
	p := NewPlanner(policy)
	p.Sync(in)
	return p.Plan(in.Now)
}
