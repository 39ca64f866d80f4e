package placement

import (
	"maps"
	"slices"

	"github.com/tamarackcleat/tamarackcleat/port"
)

// Sync makes the index equal to an input. What did not change costs a
// comparison only.
func (p *Planner) Sync(in Input) {
	p.epoch++
	p.SetModels(in.Models, in.StoreBytesPerSecond)
	p.SetDesired(in.Desired)
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

// markReplica keeps a replica that is in the index unchanged.
func (p *Planner) markReplica(r *Replica) {
	n, ok := p.replicas[r.Name]
	if ok && n.Replica.same(r) {
		n.epoch = p.epoch
	}
}

// markVM takes a VM in if it changed.
func (p *Planner) markVM(vm *VM) {
	v, ok := p.vms[vm.ID]
	if !ok || !v.VM.same(vm) {
		p.SetVM(*vm)
		v = p.vms[vm.ID]
	}
	v.epoch = p.epoch
}

// same reports whether two replicas are equal for planning.
func (r *Replica) same(o *Replica) bool {
	return r.Generation == o.Generation && r.Pending == o.Pending &&
		r.Dissolving == o.Dissolving && r.Model == o.Model &&
		r.FormedAt.Equal(o.FormedAt) && slices.Equal(r.VMs, o.VMs)
}

// same reports whether two VMs are equal for planning.
func (v *VM) same(o *VM) bool {
	a, b := &v.Report, &o.Report
	return v.VM == o.VM && v.Liveness == o.Liveness && v.Restarted == o.Restarted &&
		v.Avoid == o.Avoid && a.State == b.State && a.Replica == b.Replica &&
		a.Generation == b.Generation && slices.Equal(a.HeldWeights, b.HeldWeights)
}

// SetModels replaces what is known of the weight store.
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
		p.check(n)
	}
}

// SetDesired replaces the demands.
func (p *Planner) SetDesired(d []Demand) { p.desired = d }
