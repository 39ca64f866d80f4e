// Package placement decides which VMs form which replicas.
//
// Plan is a pure function: the same input gives the same actions. It keeps
// replicas inside fabric domains where it can, forms replicas for the models of
// urgent classes first, prefers VMs that already hold a model's weights, and
// bounds the number of bytes that are requested from the weight store at once.
//
// The guarantee: no action puts a VM into a replica while the VM belongs to
// another replica that is live or pending, and no VM is used that is lost,
// suspected, leaving or still finishing the work of a former replica.
package placement

import (
	"slices"
	"time"

	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/record"
)

// Liveness is the state of a VM according to health checking.
type Liveness string

const (
	// Live means that a report arrived recently.
	Live Liveness = "live"
	// Suspected means that reports are overdue. The VM joins no new replica,
	// but the replica that it belongs to is not dissolved yet.
	Suspected Liveness = "suspected"
	// Lost means that no report has arrived for so long that the VM counts as
	// failed. The replica that it belongs to is dissolved.
	Lost Liveness = "lost"
)

// VM is the planner's view of an engine VM.
type VM struct {
	port.VM
	// Liveness is the VM's state according to health checking.
	Liveness Liveness
	// Restarted says that the VM has lost its membership since it joined the
	// replica that the ledger assigns it to, for example in a restart.
	Restarted bool
	// Excluded keeps the VM out of new replicas for a while: it did not finish
	// loading in time although another member of its replica did.
	Excluded bool
	// Report is the VM's last report.
	Report port.Report
}

// HoldsWeights reports whether the VM holds the weights of a model.
func (v *VM) HoldsWeights(model string) bool {
	return slices.Contains(v.Report.HeldWeights, model)
}

// usable reports whether the VM's health and state allow it to join a new
// replica now.
func (v *VM) usable() bool {
	return v.Liveness == Live && !v.Leaving && !v.Excluded && v.Report.State == port.EngineIdle
}

// draining reports whether the VM can join a new replica once its engine is
// idle. For a VM without a replica that means that it still finishes the work
// of its former replica.
func (v *VM) draining() bool {
	return v.Liveness == Live && !v.Leaving && !v.Excluded && v.Report.State != port.EngineIdle
}

// Replica is a replica that is live in the control ledger or pending.
type Replica struct {
	// Name is unique among live and pending replicas.
	Name string
	// Generation is the log position of the replica's formation record.
	Generation record.Position
	// Model is the model that the replica serves.
	Model string
	// VMs holds the members in the order of their rank.
	VMs []port.VMID
	// FormedAt is the time at which the planner's node learned of the
	// formation.
	FormedAt time.Time
	// Pending says that the formation record was sent to the log but has not
	// been read back yet.
	Pending bool
	// Dissolving says that the dissolution record was sent to the log but has
	// not been read back yet.
	Dissolving bool
}

// Demand says how many replicas a model should have. The planner brings every
// model to Min before any model to Want, and every model to Want before any
// model to Max, each time in the order of Input.Demands.
type Demand struct {
	// Model is the name of the model.
	Model string
	// Min is the number of replicas that keep the model's classes available.
	// They are placed in different fabric domains if there are enough VMs.
	Min int
	// Want is the number of replicas that the current load needs.
	Want int
	// Max is the number of replicas above which free VMs stay idle.
	Max int
	// Urgent says that at least one class that names the model is urgent.
	Urgent bool
}

// Input holds everything that a plan depends on, except the policy.
type Input struct {
	// VMs holds the engine VMs.
	VMs []VM
	// Replicas holds the live and the pending replicas.
	Replicas []Replica
	// Models describes the models that the weight store can serve.
	Models []port.Model
	// StoreBytesPerSecond is the weight store's rate limit over all readers;
	// 0 if it is unknown.
	StoreBytesPerSecond int64
	// Demands holds the demands, the most important first.
	Demands []Demand
	// Now is the time at which the plan is made.
	Now time.Time
}

// Action is one step of a plan: a Form or a Dissolve.
type Action interface{ action() }

// Form is the action that forms a new replica.
type Form struct {
	// Replica is the name of the new replica.
	Replica string
	// Model is the model to serve.
	Model string
	// VMs holds the members in the order of their rank.
	VMs []port.VMID
}

// Dissolve is the action that dissolves a replica.
type Dissolve struct {
	// Replica and Generation identify the replica.
	Replica    string
	Generation record.Position
	// Cause says why the replica is dissolved.
	Cause Cause
}

func (Form) action()     {}
func (Dissolve) action() {}

// Cause says why a replica is dissolved. Dissolutions are counted by cause.
type Cause string

const (
	// CauseMissing means that a member is lost or no longer listed.
	CauseMissing Cause = "vm_missing"
	// CauseRestarted means that a member lost its membership, for example in
	// a restart.
	CauseRestarted Cause = "vm_restarted"
	// CauseLeaving means that, according to the VM list or the member's own
	// report, the platform will take a member away.
	CauseLeaving Cause = "vm_leaving"
	// CauseLoadTimeout means that the members did not all get ready in time.
	CauseLoadTimeout Cause = "load_timeout"
	// CauseUnwanted means that no class names the replica's model.
	CauseUnwanted Cause = "model_not_wanted"
	// CauseSurplus means that the model has more replicas than Demand.Max.
	CauseSurplus Cause = "surplus"
	// CausePreempted means that another model that lacks replicas needs the
	// VMs.
	CausePreempted Cause = "preempted"
	// causeDissolving means that the dissolution record was sent already.
	causeDissolving Cause = "dissolving"
	// CauseCrossDomain means that the replica spans several fabric domains
	// although one of them now has room for a whole replica.
	CauseCrossDomain Cause = "cross_domain_retired"
)

// Plan returns the next actions for an input, dissolutions first. It is
// equivalent to a Sync and a Plan of a new Planner.
func Plan(in Input, policy Policy) []Action {
	p := NewPlanner(policy)
	p.Sync(in)
	return p.Plan(in.Now)
}
