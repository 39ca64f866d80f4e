package placement

import (
	"maps"
	"slices"
	"strings"

	"github.com/tamarackcleat/tamarackcleat/port"
)

// vmState is the planner's state of a VM.
type vmState struct {
	VM
	domain  *domainState
	replica *replicaState
	free    bool
	// countedDraining says that domainState.draining counts the VM.
	countedDraining bool
	// epoch is the Planner.epoch of the last Sync whose input held the VM.
	epoch int
}

// domainState is the planner's state of a fabric domain.
type domainState struct {
	name, zone string
	// free holds the usable VMs without a replica, sorted by ID.
	free []*vmState
	// freeHolders counts, by model, the free VMs that hold its weights.
	freeHolders map[string]int
	// replicas counts, by model, the healthy replicas with a member in the
	// domain.
	replicas map[string]int
	// draining counts VMs without a replica that still finish the work of
	// their former one.
	draining int
}

// addFree inserts a VM into the free list.
func (d *domainState) addFree(v *vmState) {
	i, _ := slices.BinarySearchFunc(d.free, v, byID)
	d.free = slices.Insert(d.free, i, v)
	v.free = true
	for _, m := range v.Report.HeldWeights {
		d.freeHolders[m]++
	}
}

// removeFree removes a VM from the free list.
func (d *domainState) removeFree(v *vmState) {
	i, found := slices.BinarySearchFunc(d.free, v, byID)
	if !found {
		return
	}
	d.free = slices.Delete(d.free, i, i+1)
	v.free = false
	for _, m := range v.Report.HeldWeights {
		d.freeHolders[m]--
	}
}

func byID(a, b *vmState) int { return strings.Compare(string(a.ID), string(b.ID)) }

// domain returns the state of a fabric domain and creates it on first use.
func (p *Planner) domain(name, zone string) *domainState {
	d, ok := p.domains[name]
	if !ok {
		d = &domainState{name: name, zone: zone, freeHolders: map[string]int{}, replicas: map[string]int{}}
		p.domains[name] = d
	}
	return d
}

// SetVM adds a VM to the index or replaces its state.
func (p *Planner) SetVM(vm VM) {
	v, known := p.vms[vm.ID]
	if !known {
		v = &vmState{}
		p.vms[vm.ID] = v
	}
	p.untrackUnassigned(v)
	v.VM = vm
	v.domain = p.domain(vm.Domain, vm.Zone)
	name, member := p.replicaOf[vm.ID]
	switch {
	case member && known:
		p.reevaluate(p.replicas[name])
	case member:
		p.SetReplica(p.replicas[name].Replica)
	default:
		p.trackUnassigned(v)
	}
}

// RemoveVM removes a VM that is no longer listed. A replica that it belongs to
// then has a missing member.
func (p *Planner) RemoveVM(id port.VMID) {
	v, ok := p.vms[id]
	if !ok {
		return
	}
	p.untrackUnassigned(v)
	delete(p.vms, id)
	if v.replica != nil {
		p.reevaluate(v.replica)
	}
}

// trackUnassigned adds a VM without a replica to its domain's free list if it
// is usable, or counts it as draining.
func (p *Planner) trackUnassigned(v *vmState) {
	switch {
	case v.replica != nil:
	case v.usable():
		v.domain.addFree(v)
		p.domainsWithFree[v.domain.name] = v.domain
	case v.VM.draining():
		v.countedDraining = true
		v.domain.draining++
	}
}

// untrackUnassigned removes a VM from its domain's free list or its count of
// draining VMs.
func (p *Planner) untrackUnassigned(v *vmState) {
	if v.countedDraining {
		v.countedDraining = false
		v.domain.draining--
	}
	if !v.free {
		return
	}
	v.domain.removeFree(v)
	if len(v.domain.free) == 0 {
		delete(p.domainsWithFree, v.domain.name)
	}
}

// sortedDomainsWithFree returns the domains with free VMs, sorted by name.
func (p *Planner) sortedDomainsWithFree() []*domainState {
	names := slices.Sorted(maps.Keys(p.domainsWithFree))
	domains := make([]*domainState, len(names))
	for i, n := range names {
		domains[i] = p.domainsWithFree[n]
	}
	return domains
}
