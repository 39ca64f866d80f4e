package fleet

import (
	"cmp"
	"slices"
	"time"
)

// MemberState is the state of a VM's membership of a replica.
type MemberState string

// States of a membership. Only the head of a replica is open or closing.
const (
	MemberJoining MemberState = "joining"
	MemberReady   MemberState = "ready"
	MemberOpen    MemberState = "open"
	MemberClosing MemberState = "closing"
	MemberBroken  MemberState = "broken"
)

// Membership is a VM's place in a replica, as the VM reports it.
type Membership struct {
	// Replica names the replica; empty for none.
	Replica string
	// Generation is the fencing number of the formation.
	Generation int64
	// Rank is the VM's place; rank 0 is the head, which takes requests.
	Rank  int
	State MemberState
}

// VM is an upstream VM as it reported itself.
type VM struct {
	ID string
	// Boot changes with each start of the VM's process.
	Boot    int64
	Address string
	Zone    string
	Service string
	// Slots is the number of requests that run at once.
	Slots int
	// Leaving VMs take no new requests.
	Leaving bool
	// LeavingSince is when it was first known to leave, by the boot clock.
	LeavingSince time.Duration
	// Lapsed says that the VM's report is no longer listed. It takes no new
	// requests, but a replica whose other members are well goes on: the VM may
	// have lost only its way to the list.
	Lapsed bool
	// Domain is the fabric domain.
	Domain string
	// Staged holds the models in the host's memory.
	Staged []string
	// Model is the model loaded or being loaded.
	Model string
	// LastModel is the model of the VM's last replica since its start; its
	// weights are still loaded.
	LastModel string
	// Member is the VM's place in a replica.
	Member Membership
	// HeardAt is when the report arrived at this node, by the boot clock.
	HeardAt time.Duration
}

// Holds returns the model whose weights are at the VM's hand; empty for none.
func (v *VM) Holds() string {
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
	// Members holds the VMs that report the membership, by rank.
	Members []VM
}

// Head returns the member that takes requests.
func (r *Replica) Head() (VM, bool) {
	if len(r.Members) == 0 || r.Members[0].Member.Rank != 0 {
		return VM{}, false
	}
	return r.Members[0], true
}

// Replicas groups VMs by the memberships that they report, by name.
func Replicas(vms map[string]VM) []Replica {
	type key struct {
		name       string
		generation int64
	}
	groups := map[key]*Replica{}
	for _, vm := range vms {
		m := vm.Member
		if m.Replica == "" {
			continue
		}
		k := key{m.Replica, m.Generation}
		r, ok := groups[k]
		if !ok {
			r = &Replica{Name: m.Replica, Generation: m.Generation, Model: vm.Model, Service: vm.Service}
			groups[k] = r
		}
		r.Members = append(r.Members, vm)
	}
	out := make([]Replica, 0, len(groups))
	for _, r := range groups {
		slices.SortFunc(r.Members, func(a, b VM) int { return cmp.Compare(a.Member.Rank, b.Member.Rank) })
		r.Model = r.Members[0].Model
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b Replica) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Generation, b.Generation))
	})
	return out
}
