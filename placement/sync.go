package placement

import (
	"maps"
	"slices"

	"github.com/tamarackcleat/tamarackcleat/port"
)

// Sync makes the index equal to an input. An entry that did not change costs
// only a comparison.
func (p *Planner) Sync(in Input) {
	p.epoch++
	p.SetModels(in.Models, in.StoreBytesPerSecond)
	p.SetDemands(in.Demands)
	for i := range in.Replicas {
		p.markReplica(&in.Replicas[i])
	}
	for name, n := range p.replicas {
		if n.epoch != p.epoch {
			p.RemoveReplica(name)
		}
	}
	for i := range in.VMs {
		p.markVM(&in.VMs[i])
	}
	for id, v := range p.vms {
		if v.epoch != p.epoch {
			p.RemoveVM(id)
		}
	}
	for i := range in.Replicas {
		if _, ok := p.replicas[in.Replicas[i].Name]; !ok {
			p.SetReplica(in.Replicas[i])
			p.replicas[in.Replicas[i].Name].epoch = p.epoch
		}
	}
}

// markReplica marks a replica as part of the current input if the index holds
// an equal one. Sync removes the replicas that are not marked from the index
// and adds those that the input has.
func (p *Planner) markReplica(updated *Replica) {
	n, ok := p.replicas[updated.Name]
	if ok && n.Replica.same(updated) {
		n.epoch = p.epoch
	}
}

// markVM marks a VM as part of the current input and updates the index if the
// VM is new or changed.
func (p *Planner) markVM(vm *VM) {
	v, ok := p.vms[vm.ID]
	if !ok || !v.VM.same(vm) {
		p.SetVM(*vm)
		v = p.vms[vm.ID]
	}
	v.epoch = p.epoch
}

// same reports whether two replicas are equal in every field that plans use.
func (r *Replica) same(o *Replica) bool {
	return r.Generation == o.Generation && r.Pending == o.Pending &&
		r.Dissolving == o.Dissolving && r.Model == o.Model &&
		r.FormedAt.Equal(o.FormedAt) && slices.Equal(r.VMs, o.VMs)
}

// same reports whether two VMs are equal in every field that plans use.
func (v *VM) same(o *VM) bool {
	a, b := &v.Report, &o.Report
	return v.VM == o.VM && v.Liveness == o.Liveness && v.Restarted == o.Restarted &&
		v.Excluded == o.Excluded && a.State == b.State && a.Replica == b.Replica &&
		a.Generation == b.Generation && slices.Equal(a.HeldWeights, b.HeldWeights)
}

// SetModels replaces the available models and the weight store's rate limit in
// bytes per second.
func (p *Planner) SetModels(models []port.Model, storeBytesPerSecond int64) {
	p.storeRate = storeBytesPerSecond
	byName := make(map[string]port.Model, len(models))
	for _, m := range models {
		byName[m.Name] = m
	}
	if maps.Equal(byName, p.models) {
		return
	}
	p.models = byName
	for _, n := range p.replicas {
		p.reevaluate(n)
	}
}

// SetDemands replaces the demands; the most important comes first.
func (p *Planner) SetDemands(d []Demand) { p.demands = d }
