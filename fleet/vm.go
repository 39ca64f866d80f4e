package fleet

import (
	"cmp"
	"iter"
	"slices"
	"time"
)

// MemberState is the state of a VM's membership in a replica.
type MemberState string

// States of a VM's membership in a replica. A VM is joining until it has joined and
// loaded the model, and then ready. When all members are ready, the head is ordered
// to open; requests go to the replica only while its head is open. A head that is
// ordered to close is closing until its running requests have ended, and then ready
// again. It reports itself as broken if a member is missing for too long. Only the
// head of a replica can be open or closing.
const (
	MemberJoining MemberState = "joining"
	MemberReady   MemberState = "ready"
	MemberOpen    MemberState = "open"
	MemberClosing MemberState = "closing"
	MemberBroken  MemberState = "broken"
)

// Membership is a VM's role in a replica, as the VM reports it.
type Membership struct {
	// Replica is the replica's name; empty if the VM belongs to none.
	Replica string
	// Generation is the fencing number under which the replica was formed.
	Generation int64
	// Rank is the VM's position in the replica; rank 0 is the head, which takes
	// requests.
	Rank  int
	State MemberState
}

// Incarnation identifies a run of a VM's process. It is a part of messages between nodes.
type Incarnation struct {
	ID   string `json:"id"`
	Boot int64  `json:"boot,omitempty"`
}

// Incarnation returns the run of the VM's process that reported itself.
func (v *VM) Incarnation() Incarnation { return Incarnation{v.ID, v.Boot} }

// VM is an upstream VM as it reported itself, with what the node adds to the
// report.
type VM struct {
	ID string
	// Boot identifies a run of the VM's process; it changes with each start.
	Boot int64
	// Revision is the number of the report among those of this run of the process; a later
	// one has a higher number. 0 if the VM doesn't number its reports.
	Revision int64
	Address  string
	Zone     string
	Service  string
	// Slots is the number of requests that the VM runs concurrently.
	Slots int
	// Leaving says that the VM is shutting down and takes no new requests.
	Leaving bool
	// LeavingSince is the time, by the boot clock, at which this node first
	// knew that the VM is leaving.
	LeavingSince time.Duration
	// Unlisted says that the VM's report is no longer in the log. The VM takes
	// no new requests, but a replica keeps serving if only a member other than
	// its head is unlisted: the VM may have lost nothing but its connection to
	// the log.
	Unlisted bool
	// ColdRemaining is how long the VM is cold according to its report. ColdUntil is
	// until when it counts as cold, by the boot clock; 0 if it never was.
	ColdRemaining, ColdUntil time.Duration
	// Domain is the fabric domain; the members of a replica share one.
	Domain string
	// Staged holds the models that are loaded in the memory of the VM's host.
	Staged []string
	// Model is the model that the VM has loaded or is loading.
	Model string
	// LastModel is the model of the VM's last replica since the VM's process
	// started; its weights are still loaded.
	LastModel string
	// Member is the VM's role in its replica, if it belongs to one.
	Member Membership
	// LastSeen is the time, by the boot clock, at which the VM's report arrived
	// at this node.
	LastSeen time.Duration
}

// LocalModel returns the model that the VM can serve without a load from the
// weight store: the loaded one or else the first one staged; empty if there is
// none.
func (v *VM) LocalModel() string {
	if v.LastModel == "" && len(v.Staged) > 0 {
		return v.Staged[0]
	}
	return v.LastModel
}

// Replica is a set of VMs that serve a model together.
type Replica struct {
	Name       string
	Generation int64
	Model      string
	Service    string
	// Members holds the VMs that report a membership in this replica, sorted by
	// rank.
	Members []VM
}

// Head returns the member that takes requests; false if it does not report.
func (r *Replica) Head() (VM, bool) {
	if len(r.Members) == 0 || r.Members[0].Member.Rank != 0 {
		return VM{}, false
	}
	return r.Members[0], true
}

// Replicas groups VMs into replicas by the memberships that they report, sorted
// by name and generation.
func Replicas(vms iter.Seq[VM]) []Replica {
	groups := map[replicaKey][]VM{}
	for vm := range vms {
		if vm.Member.Replica != "" {
			key := keyOfMember(vm)
			groups[key] = append(groups[key], vm)
		}
	}
	out := make([]Replica, 0, len(groups))
	for key, members := range groups {
		out = append(out, newReplica(key, members))
	}
	slices.SortFunc(out, func(a, b Replica) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Generation, b.Generation))
	})
	return out
}

// newReplica returns the replica of members, which has at least one. It sorts them.
func newReplica(key replicaKey, members []VM) Replica {
	slices.SortFunc(members, func(a, b VM) int {
		return cmp.Or(cmp.Compare(a.Member.Rank, b.Member.Rank), cmp.Compare(a.ID, b.ID))
	})
	first := members[0]
	return Replica{Name: key.name, Generation: key.generation, Model: first.Model, Service: first.Service, Members: members}
}
