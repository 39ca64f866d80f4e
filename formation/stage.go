package formation

import (
	"cmp"
	"slices"
	"time"

	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/fleet"
)

// stagingLoad is a load of a model onto a VM's host that was ordered and is not
// yet reported as done.
type stagingLoad struct {
	model     string
	boot      int64
	startedAt time.Duration
	expiresAt time.Duration
}

// stageModels loads models onto the hosts of VMs that would have to load them
// from the weight store. A VM with one model loaded and another one staged
// joins replicas of either within a second or two, whereas a load takes more
// than ten seconds. Standbys come first, because they are used first. Hosts
// keep staged models when their VMs restart, so in each domain enough hosts
// keep each model for its replicas to be formed again if all VMs restart.
func (r *round) stageModels(s fleet.Service) {
	vms := r.stageableVMs(s)
	if len(vms) == 0 {
		return
	}
	capacity := r.inventory.service(s.Name).hostCapacity
	withModel, models := r.countsWithModel(s), r.modelsByDomain(s, capacity)
	slices.SortStableFunc(vms, func(a, b fleet.VM) int { return cmp.Compare(r.stageOrder(a), r.stageOrder(b)) })
	for _, vm := range vms {
		m, ok := r.modelToStage(s, vm, withModel[vm.Domain])
		displaced, full := displacedModel(vm, capacity)
		if !ok || full && !models[vm.Domain].canDrop(displaced) {
			continue
		}
		if !r.mayStage(s.Engine) {
			return
		}
		r.stage(s, vm, m)
		withModel[vm.Domain][m.Name]++
		models[vm.Domain].staged[m.Name]++
		if full {
			models[vm.Domain].staged[displaced]--
		}
	}
}

// stageOrder is the sort key by which VMs are staged: 0 for standbys and other
// spares, 1 for VMs that are open or members of a larger replica.
func (r *round) stageOrder(vm fleet.VM) int {
	if vm.Member.State == fleet.MemberOpen || len(r.membersOf(vm.Member.Replica)) > 1 {
		return 1
	}
	return 0
}

func (r *round) membersOf(replica string) []string {
	if a, ok := r.replicas[replica]; ok {
		return a.members
	}
	return nil
}

// stageableVMs returns the VMs that have a model loaded, lack another one, are not loading
// one and are not barred, sorted by ID.
func (r *round) stageableVMs(s fleet.Service) []fleet.VM {
	var out []fleet.VM
	for _, vms := range r.inventory.service(s.Name).domains {
		for _, vm := range vms {
			_, underWay := r.staging[vm.ID]
			joined := vm.Member.State == fleet.MemberReady || vm.Member.State == fleet.MemberOpen
			if joined && !underWay && vm.LastModel != "" && !vm.Leaving && !vm.Unlisted && !r.unavailable(vm) && !r.barred(vm) && r.lacksModel(s, vm) {
				out = append(out, vm)
			}
		}
	}
	sortByID(out)
	return out
}

// lacksModel reports whether a VM lacks a model that has a share of the work.
func (r *round) lacksModel(s fleet.Service, vm fleet.VM) bool {
	return slices.ContainsFunc(s.Engine.Models, func(m fleet.Model) bool { return m.Share > 0 && !r.hasModel(vm, m.Name) })
}

// modelToStage returns the model that a VM lacks and that the fewest VMs of its
// domain have (see hasModel) in proportion to the replica's size; false if the VM
// lacks none.
func (r *round) modelToStage(s fleet.Service, vm fleet.VM, withModel map[string]int) (fleet.Model, bool) {
	var best fleet.Model
	found := false
	for _, m := range s.Engine.Models {
		if m.Share <= 0 || r.hasModel(vm, m.Name) {
			continue
		}
		if !found || withModel[m.Name]*best.Size < withModel[best.Name]*m.Size {
			best, found = m, true
		}
	}
	return best, found
}

// countsWithModel counts the VMs that have each model (see hasModel), by domain.
func (r *round) countsWithModel(s fleet.Service) map[string]map[string]int {
	out := map[string]map[string]int{}
	for domain, vms := range r.inventory.service(s.Name).domains {
		counts := map[string]int{}
		out[domain] = counts
		for _, vm := range vms {
			for _, m := range s.Engine.Models {
				if r.hasModel(vm, m.Name) {
					counts[m.Name]++
				}
			}
		}
	}
	return out
}

// hasModel reports whether a VM can join a replica of a model without a load
// from the weight store, now or when the staging under way is done.
func (r *round) hasModel(vm fleet.VM, model string) bool {
	st, underWay := r.staging[vm.ID]
	return vm.LastModel == model || slices.Contains(vm.Staged, model) || underWay && st.model == model
}

// mayStage reports whether staging may start: only if loads for replicas and
// standbys leave room for it.
func (r *round) mayStage(e *fleet.Engine) bool {
	return r.s.NoRequestYet() || r.loadsUnderWay() < e.ConcurrentLoads && r.mayLoad(e, 1)
}

// stage orders a VM's host to load a model into its memory.
func (r *round) stage(s fleet.Service, vm fleet.VM, m fleet.Model) {
	r.staging[vm.ID] = stagingLoad{model: m.Name, boot: vm.Boot, startedAt: r.now, expiresAt: r.now + loadSlowdown*m.LoadTime + joinMargin}
	r.recordLoads(1)
	r.s.Logger.Info(decisions.ModelStaged, "upstream", vm.ID, "model", m.Name, "loaded", vm.LastModel, "staged", vm.Staged,
		"service", s.Name, "under_way", r.loadsUnderWay())
	r.order(Order{Kind: Stage, VM: vm.ID, Address: vm.Address, Model: m.Name})
}

// dropEndedStaging deletes the loads that are done, were cut off by a restart
// or have taken too long.
func (r *round) dropEndedStaging() {
	for id, st := range r.staging {
		vm, known := r.view.VM(id)
		if !known || vm.Boot != st.boot || slices.Contains(vm.Staged, st.model) || r.now > st.expiresAt {
			delete(r.staging, id)
		}
	}
}

// domainModels counts the models of a fabric domain.
type domainModels struct {
	// staged counts, by model, the hosts that hold the model in memory, where it
	// stays when their VMs restart. serving counts, by model, the VMs that have the
	// model loaded and belong to a replica of several VMs.
	staged, serving map[string]int
}

// canDrop reports whether one more of the domain's hosts may drop a model that it
// holds in memory. The domain must keep the model on at least as many hosts as it
// has VMs that serve the model, so that their replicas can be formed again without
// the weight store if all VMs restart.
func (h *domainModels) canDrop(model string) bool { return h.staged[model] > h.serving[model] }

// modelsByDomain counts the models that the hosts and VMs of each domain will
// have once the staging under way is done.
func (r *round) modelsByDomain(s fleet.Service, capacity int) map[string]*domainModels {
	out := map[string]*domainModels{}
	for domain, vms := range r.inventory.service(s.Name).domains {
		h := &domainModels{staged: map[string]int{}, serving: map[string]int{}}
		out[domain] = h
		for _, vm := range vms {
			if !vm.Leaving && !vm.Unlisted {
				r.countModels(h, vm, capacity)
			}
		}
	}
	return out
}

// countModels adds a VM and its host to the counts of their domain.
func (r *round) countModels(h *domainModels, vm fleet.VM, capacity int) {
	for _, model := range vm.Staged {
		h.staged[model]++
	}
	if st, underWay := r.staging[vm.ID]; underWay {
		h.staged[st.model]++
		if displaced, full := displacedModel(vm, capacity); full {
			h.staged[displaced]--
		}
	}
	if len(r.membersOf(vm.Member.Replica)) > 1 {
		h.serving[vm.LastModel]++
	}
}

// displacedModel returns the model that a host drops when it stages one more;
// false if it has room.
func displacedModel(vm fleet.VM, capacity int) (string, bool) {
	if len(vm.Staged) < capacity {
		return "", false
	}
	return vm.Staged[0], true
}
