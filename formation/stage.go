package formation

import (
	"cmp"
	"slices"
	"time"

	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/fleet"
)

// staging is a load onto a VM's host that was ordered and is not reported yet.
type staging struct {
	model string
	boot  int64
	at    time.Duration
	until time.Duration
}

// stageAhead loads onto hosts the models that their VMs don't have at hand. A VM
// with one model loaded and another one staged joins replicas of either within a
// second or two, where a load takes more than ten. Standbys come first, because
// they are used first. Hosts keep what they staged through a restart, so enough of
// a domain's keep each model to form its replicas again if all its VMs restart.
func (r *round) stageAhead(s fleet.Service) {
	r.endStaging()
	vms := r.stageable(s.Name)
	if len(vms) == 0 {
		return
	}
	most := r.hostsKeep(s)
	held, hosts := r.heldByDomain(s), r.hostsByDomain(s, most)
	slices.SortStableFunc(vms, func(a, b fleet.VM) int { return cmp.Compare(r.use(a), r.use(b)) })
	for _, vm := range vms {
		m, ok := r.missing(s, vm, held[vm.Domain])
		dropped, full := drops(vm, most)
		if !ok || full && !hosts[vm.Domain].spare(dropped) {
			continue
		}
		if !r.mayStage(s.Engine) {
			return
		}
		r.stage(s, vm, m)
		held[vm.Domain][m.Name]++
		hosts[vm.Domain].keep[m.Name]++
		if full {
			hosts[vm.Domain].keep[dropped]--
		}
	}
}

// use ranks a VM by what it does now.
func (r *round) use(vm fleet.VM) int {
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

// stageable returns the VMs that have a model loaded and load none, by id.
func (r *round) stageable(service string) []fleet.VM {
	var out []fleet.VM
	for _, id := range sortedNames(r.view.VMs) {
		vm := r.view.VMs[id]
		_, underWay := r.staging[id]
		joined := vm.Member.State == fleet.MemberReady || vm.Member.State == fleet.MemberOpen
		if vm.Service == service && joined && !underWay && vm.LastModel != "" && !vm.Leaving && !vm.Lapsed && !r.lost(vm) {
			out = append(out, vm)
		}
	}
	return out
}

// missing returns the model that the fewest VMs of a VM's domain have at hand,
// in proportion to its replicas' size, if the VM itself has not.
func (r *round) missing(s fleet.Service, vm fleet.VM, held map[string]int) (fleet.Model, bool) {
	var best fleet.Model
	found := false
	for _, m := range s.Engine.Models {
		if m.Share <= 0 || r.atHand(vm, m.Name) {
			continue
		}
		if !found || held[m.Name]*best.Size < held[best.Name]*m.Size {
			best, found = m, true
		}
	}
	return best, found
}

// heldByDomain counts the VMs that have each model at hand, by domain.
func (r *round) heldByDomain(s fleet.Service) map[string]map[string]int {
	out := map[string]map[string]int{}
	for _, vm := range r.view.VMs {
		if vm.Service != s.Name {
			continue
		}
		if out[vm.Domain] == nil {
			out[vm.Domain] = map[string]int{}
		}
		for _, m := range s.Engine.Models {
			if r.atHand(vm, m.Name) {
				out[vm.Domain][m.Name]++
			}
		}
	}
	return out
}

// atHand reports whether a VM can join a replica of a model without a load from
// the weight store, now or when the load under way is done.
func (r *round) atHand(vm fleet.VM, model string) bool {
	st, underWay := r.staging[vm.ID]
	return vm.LastModel == model || slices.Contains(vm.Staged, model) || underWay && st.model == model
}

// mayStage reports whether a load ahead may start: only while loads for replicas
// and standbys leave room.
func (r *round) mayStage(e *fleet.Engine) bool {
	return r.s.Idle() || r.loadsUnderWay() < e.LoadsAtOnce && r.mayLoad(e, 1)
}

// stage orders a load onto a VM's host.
func (r *round) stage(s fleet.Service, vm fleet.VM, m fleet.Model) {
	r.staging[vm.ID] = staging{model: m.Name, boot: vm.Boot, at: r.now, until: r.now + loadSlowdown*m.LoadTime + joinSlack}
	r.noteLoads(1)
	r.s.Logger.Info(decisions.ModelStaged, "upstream", vm.ID, "model", m.Name, "loaded", vm.LastModel, "staged", vm.Staged,
		"service", s.Name, "under_way", r.loadsUnderWay())
	r.order(Order{Kind: Stage, VM: vm.ID, Address: vm.Address, Model: m.Name})
}

// endStaging forgets loads that are done, or that can't be any more.
func (r *round) endStaging() {
	for id, st := range r.staging {
		vm, known := r.view.VMs[id]
		if !known || vm.Boot != st.boot || slices.Contains(vm.Staged, st.model) || r.now > st.until {
			delete(r.staging, id)
		}
	}
}

// domainHosts says what the hosts of a domain keep through a restart.
type domainHosts struct {
	// keep counts the hosts that keep each model, members the VMs that serve it.
	keep, members map[string]int
}

// spare reports whether one host more may give a model up.
func (h *domainHosts) spare(model string) bool { return h.keep[model] > h.members[model] }

// hostsByDomain counts what hosts keep once the loads under way are done.
func (r *round) hostsByDomain(s fleet.Service, most int) map[string]*domainHosts {
	out := map[string]*domainHosts{}
	for _, vm := range r.view.VMs {
		if vm.Service != s.Name || vm.Leaving || vm.Lapsed {
			continue
		}
		h, ok := out[vm.Domain]
		if !ok {
			h = &domainHosts{keep: map[string]int{}, members: map[string]int{}}
			out[vm.Domain] = h
		}
		for _, model := range vm.Staged {
			h.keep[model]++
		}
		if st, underWay := r.staging[vm.ID]; underWay {
			h.keep[st.model]++
			if dropped, full := drops(vm, most); full {
				h.keep[dropped]--
			}
		}
		if len(r.membersOf(vm.Member.Replica)) > 1 {
			h.members[vm.LastModel]++
		}
	}
	return out
}

// hostsKeep returns how many models hosts keep, as far as is seen: as many as the
// one that keeps most.
func (r *round) hostsKeep(s fleet.Service) int {
	most := 1
	for _, vm := range r.view.VMs {
		if vm.Service == s.Name {
			most = max(most, len(vm.Staged))
		}
	}
	return most
}

// drops returns the model that a host gives up for one more; false if it has room.
func drops(vm fleet.VM, most int) (string, bool) {
	if len(vm.Staged) < most {
		return "", false
	}
	return vm.Staged[0], true
}
