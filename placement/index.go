package placement

import (
	"maps"
	"slices"
	"strings"

	"github.com/tamarackcleat/tamarackcleat/port"
)

// vmNode is a VM in the planner's index.
type vmNode struct {
	VM
	domain  *domainNode
	replica *replicaNode
	free    bool
	// settling says that the VM is counted as settling in its domain.
	settling bool
	// epoch is that of the last Sync that named the VM.
	epoch int
}

// domainNode is a fabric domain with its free VMs.
type domainNode struct {
	name, zone string
	// free holds free VMs by ID.
	free []*vmNode
	// holders counts free VMs by the model whose weights they hold.
	holders map[string]int
	// replicas counts live replicas of each model in the domain.
	replicas map[string]int
	// settling counts VMs without a replica that finish former work.
	settling int
}

// add puts a VM into the free list.
func (d *domainNode) add(v *vmNode) {
	i, _ := slices.BinarySearchFunc(d.free, v, byID)
	d.free = slices.Insert(d.free, i, v)
	v.free = true
	for _, m := range v.Report.HeldWeights {
		d.holders[m]++
	}
}

// remove takes a VM out of the free list.
func (d *domainNode) remove(v *vmNode) {
	i, found := slices.BinarySearchFunc(d.free, v, byID)
	if !found {
		return
	}
	d.free = slices.Delete(d.free, i, i+1)
	v.free = false
	for _, m := range v.Report.HeldWeights {
		d.holders[m]--
	}
}

func byID(a, b *vmNode) int { return strings.Compare(string(a.ID), string(b.ID)) }

// domain returns the node of a domain, made on first use.
func (p *Planner) domain(name, zone string) *domainNode {
	d, ok := p.domains[name]
	if !ok {
		d = &domainNode{name: name, zone: zone, holders: map[string]int{}, replicas: map[string]int{}}
		p.domains[name] = d
	}
	return d
}

// SetVM adds a VM or replaces what is known of it.
func (p *Planner) SetVM(vm VM) {
	v, known := p.vms[vm.ID]
	if !known {
		v = &vmNode{}
		p.vms[vm.ID] = v
	}
	p.unlist(v)
	v.VM = vm
	v.domain = p.domain(vm.Domain, vm.Zone)
	name, member := p.memberOf[vm.ID]
	switch {
	case member && known:
		p.check(p.replicas[name])
	case member:
		p.SetReplica(p.replicas[name].Replica)
	default:
		p.list(v)
	}
}

// RemoveVM forgets a VM that is no longer listed.
func (p *Planner) RemoveVM(id port.VMID) {
	v, ok := p.vms[id]
	if !ok {
		return
	}
	p.unlist(v)
	delete(p.vms, id)
	if v.replica != nil {
		p.check(v.replica)
	}
}

// list puts a VM into its domain's free list if it is free.
func (p *Planner) list(v *vmNode) {
	switch {
	case v.replica != nil:
	case v.usable():
		v.domain.add(v)
		p.withFree[v.domain.name] = v.domain
	case v.VM.settling():
		v.settling = true
		v.domain.settling++
	}
}

// unlist takes a VM out of its domain's free list or count of settling VMs.
func (p *Planner) unlist(v *vmNode) {
	if v.settling {
		v.settling = false
		v.domain.settling--
	}
	if !v.free {
		return
	}
	v.domain.remove(v)
	if len(v.domain.free) == 0 {
		delete(p.withFree, v.domain.name)
	}
}

// sortedDomains returns the domains with free VMs by name.
func (p *Planner) sortedDomains() []*domainNode {
	names := slices.Sorted(maps.Keys(p.withFree))
	domains := make([]*domainNode, len(names))
	for i, n := range names {
		domains[i] = p.withFree[n]
	}
	return domains
}
