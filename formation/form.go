package formation

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/fleet"
)

const (
	// scarceCoverage is the coverage of a model (see demand.coverage) below
	// which any number of a new replica's VMs may have to load the model from
	// the weight store because they hold another one. At or above it, VMs of a
	// lost replica wait for a spare, a free VM that holds their model, with
	// which they can serve that model again in a second or two.
	scarceCoverage = 0.6
	// rejoinTime is the time that a VM takes to join a replica of the model
	// that its last replica served.
	rejoinTime = 200 * time.Millisecond
)

// free reports whether a VM can be ordered to join a replica.
func (r *round) free(vm fleet.VM) bool {
	if vm.Leaving || vm.Unlisted || r.unavailable(vm) || r.reportedOtherwise(vm) {
		return false
	}
	if a, ok := r.assignedReplica(vm.ID); ok {
		return a.standby && !r.standbyLoading(a, vm)
	}
	if vm.Member.Replica == "" {
		return !r.adoptedLacksMember(vm)
	}
	a, ok := r.replicas[vm.Member.Replica]
	return ok && (a.givesMembers() || a.standby && !r.standbyLoading(a, vm))
}

// adoptedLacksMember reports whether a replica that was formed under an earlier term, and
// that has not ended, lacks a member that a VM without a membership may be. A VM that
// started again has forgotten its membership, and a late order can make it a member again
// while the head is open.
func (r *round) adoptedLacksMember(vm fleet.VM) bool {
	if r.lackingDomains == nil {
		r.lackingDomains = map[string]bool{}
		for _, a := range r.replicas {
			if !a.adopted || a.released || a.standby || len(a.members) == 0 || len(a.members) >= r.replicaSize(a) {
				continue
			}
			if m, ok := r.view.VM(a.members[0]); ok {
				r.lackingDomains[m.Domain] = true
			}
		}
	}
	return r.lackingDomains[vm.Domain]
}

// assignmentsChanged is called when VMs were ordered to join a replica or were released
// from one.
func (r *round) assignmentsChanged() { r.assignments, r.lackingDomains = nil, nil }

// assignedReplica returns the replica or standby that a VM was ordered to join.
func (r *round) assignedReplica(vm string) (*replica, bool) {
	if r.assignments == nil {
		r.assignments = make(map[string]*replica, r.view.Len())
		for _, a := range r.replicas {
			for _, id := range a.members {
				// A replica that takes over a standby's VM has precedence over
				// the standby.
				if other, taken := r.assignments[id]; !a.released && (!taken || other.standby) {
					r.assignments[id] = a
				}
			}
		}
	}
	a, ok := r.assignments[vm]
	return a, ok
}

// standbyLoading reports whether a standby's VM is still loading its model,
// within the time that this may take.
func (r *round) standbyLoading(a *replica, vm fleet.VM) bool {
	joining := vm.Member.Replica != a.name || vm.Member.State == fleet.MemberJoining
	return joining && r.now-a.formedAt < a.expectedJoinTime+joinMargin
}

// checkStandby releases a standby whose VM can't be used any more, joined
// another replica or did not join the standby in time.
func (r *round) checkStandby(a *replica) {
	if len(a.members) == 0 {
		return
	}
	vm, ok := r.view.VM(a.members[0])
	movedOn := vm.Member.Replica != "" && vm.Member.Replica != a.name && vm.Member.Generation > a.generation
	if !ok || r.unavailable(vm) || vm.Leaving || vm.Unlisted || movedOn {
		r.release(a, "standby_lost")
		return
	}
	if vm.Member.Replica != a.name && r.now-a.formedAt > a.expectedJoinTime+joinMargin {
		r.release(a, "standby_failed")
	}
}

// joinTime returns how long a VM takes to join a replica of a model, and
// whether it must load the model from the weight store.
func joinTime(vm fleet.VM, m fleet.Model) (time.Duration, bool) {
	switch {
	case vm.LastModel == m.Name:
		return rejoinTime, false
	case slices.Contains(vm.Staged, m.Name):
		return m.WarmTime, false
	}
	return m.LoadTime, true
}

// form forms all replicas that models need and that free VMs can form, and removes their VMs
// from free. A replica that has to wait, until its VMs have answered probes or its loads are
// allowed, holds up no other one: it keeps its VMs, and loads that start in the meantime
// leave room for its own.
func (r *round) form(s fleet.Service, free map[string][]fleet.VM) {
	d := r.newDemand(s)
	candidates := newCandidates(r, s, free)
	for {
		r.reallocate(s, d, free)
		best, ok := candidates.best(d)
		if !ok {
			return
		}
		switch {
		case best.loads > 0 && !r.mayLoad(s.Engine, best.loads):
			r.waiting.loads++
			r.plannedLoads += best.loads
			d.waiting[best.model.Name]++
		case !r.confirmReachable(best):
			r.waiting.probes++
			r.plannedLoads += best.loads
			d.waiting[best.model.Name]++
		default:
			r.formReplica(s, best)
			d.formed[best.model.Name]++
		}
		candidates.take(best)
	}
}

// confirmReachable reports whether all VMs of a candidate are confirmed.
func (r *round) confirmReachable(c candidate) bool {
	ok := true
	for _, vm := range c.vms {
		ok = r.confirmed(vm) && ok
	}
	return ok
}

// mayLoad reports whether n loads from the weight store may start now. Two
// limits apply: loads beyond Engine.ConcurrentLoads slow each other, and the
// weight store limits the number of loads that start in each LoadWindow.
func (r *round) mayLoad(e *fleet.Engine, n int) bool {
	if r.s.NoRequestYet() {
		return true
	}
	r.loadStarts = slices.DeleteFunc(r.loadStarts, func(at time.Duration) bool { return r.now-at > r.s.LoadWindow })
	allowed := int(e.LoadsPerSecond * r.s.LoadWindow.Seconds())
	atOnce := e.ConcurrentLoads
	if n <= maxRepairLoads {
		atOnce *= repairLoadFactor
	}
	return r.loadsUnderWay()+r.plannedLoads < atOnce && len(r.loadStarts)+r.plannedLoads+n <= max(allowed, n)
}

const (
	// maxRepairLoads is the number of loads up to which forming a replica
	// counts as a repair. A repair may start while up to repairLoadFactor times
	// Engine.ConcurrentLoads loads are under way, although it slows them.
	maxRepairLoads   = 2
	repairLoadFactor = 2
)

// loadsUnderWay counts the loads that were ordered and are not yet reported as
// done. It searches the replicas once a round, after they have been advanced.
func (r *round) loadsUnderWay() int {
	if r.underWay == nil {
		n := r.countLoads()
		r.underWay = &n
	}
	return *r.underWay
}

func (r *round) countLoads() int {
	n := len(r.staging)
	for _, a := range r.replicas {
		if a.released || a.openSent {
			continue
		}
		if a.standby && r.now-a.formedAt > a.expectedJoinTime+joinMargin {
			continue
		}
		for id := range a.coldMembers {
			if vm, _ := r.view.VM(id); vm.Member.Replica != a.name || vm.Member.State == fleet.MemberJoining {
				n++
			}
		}
	}
	return n
}

// recordLoads records that n loads start now.
func (r *round) recordLoads(n int) {
	*r.underWay = r.loadsUnderWay() + n
	for range n {
		r.loadStarts = append(r.loadStarts, r.now)
	}
}

// formReplica orders the VMs of a candidate to form a replica.
func (r *round) formReplica(s fleet.Service, c candidate) { r.orderJoins(s, c, replicaPrefix) }

// orderJoins orders the VMs of a candidate to join a new replica or standby,
// depending on the prefix of its name.
func (r *round) orderJoins(s fleet.Service, c candidate, prefix string) {
	name, generation := r.newName(prefix)
	a := &replica{
		name:        name,
		generation:  generation,
		model:       c.model.Name,
		service:     s.Name,
		formedAt:    r.now,
		standby:     prefix == standbyPrefix,
		sentAt:      map[string]time.Duration{},
		coldMembers: map[string]bool{},
	}
	longest := time.Duration(0)
	r.warmFirst(c.vms)
	for _, vm := range c.vms {
		a.members = append(a.members, vm.ID)
		t, load := joinTime(vm, c.model)
		longest = max(longest, t)
		if load {
			a.coldMembers[vm.ID] = true
		}
		r.releaseStandby(vm.ID)
	}
	a.expectedJoinTime = longest * loadSlowdown
	r.replicas[name] = a
	r.assignmentsChanged()
	if res, ok := r.reservations[c.vms[0].Domain]; ok && res.model == c.model.Name && !a.standby {
		delete(r.reservations, c.vms[0].Domain)
	}
	r.recordLoads(len(a.coldMembers))
	r.s.Logger.Info(decisions.ReplicaFormed, "replica", name, "generation", generation, "model", a.model, "standby", a.standby,
		"domain", c.vms[0].Domain, "members", a.members, "loads", len(a.coldMembers), "expect_ms", longest.Milliseconds())
	for _, vm := range c.vms {
		a.sentAt["join "+vm.ID] = r.now
		r.order(r.join(a, vm))
	}
}

// warmFirst sorts VMs by the time for which they are still cold. The first one becomes the
// head of a replica, which takes its requests; the order of the others does not matter.
func (r *round) warmFirst(vms []fleet.VM) {
	remaining := func(vm fleet.VM) time.Duration { return max(0, r.view.ColdUntil(vm)-r.now) }
	slices.SortStableFunc(vms, func(a, b fleet.VM) int { return cmp.Compare(remaining(a), remaining(b)) })
}

// releaseStandby releases the standby of a VM that joins a replica.
func (r *round) releaseStandby(vm string) {
	for _, a := range r.replicas {
		if a.standby && slices.Contains(a.members, vm) {
			a.released = true
			r.assignmentsChanged()
		}
	}
}

// loadSlowdown is the factor by which concurrent loads may take longer than a
// single one.
const loadSlowdown = 2

// formStandbys orders free VMs that have no model loaded to load one as
// standbys, so that each can replace a lost member of its domain at once.
func (r *round) formStandbys(s fleet.Service, free map[string][]fleet.VM) {
	if len(free) == 0 {
		return
	}
	d, counts := r.newDemand(s), r.standbyCounts(s.Name)
	for _, domain := range slices.Sorted(maps.Keys(free)) {
		standbys := counts[domain]
		if standbys == nil {
			standbys = map[string]int{}
		}
		for _, vm := range free[domain] {
			m, ok := r.standbyModel(s, vm, free[domain], d, standbys)
			if !ok || !r.confirmed(vm) {
				continue
			}
			standbys[m.Name]++
			r.orderJoins(s, candidate{model: m, vms: []fleet.VM{vm}}, standbyPrefix)
		}
	}
}

// standbyModel returns the model that a free VM should load as a standby; false
// if the VM has a model loaded already or its load is not allowed yet.
func (r *round) standbyModel(s fleet.Service, vm fleet.VM, free []fleet.VM, d *demand, standbys map[string]int) (fleet.Model, bool) {
	if vm.LastModel != "" {
		return fleet.Model{}, false
	}
	if len(vm.Staged) > 0 {
		return s.Engine.Model(vm.Staged[0])
	}
	if !r.mayLoad(s.Engine, 1) {
		return fleet.Model{}, false
	}
	if m, ok := modelOneVMShort(s, free, d); ok {
		return m, true
	}
	return nextStandbyModel(s.Engine.Models, standbys), true
}

// modelOneVMShort returns the model for which the free VMs of a domain that
// hold it lack one VM to form another replica, as after the loss of a member;
// of several such models, the one with the lowest coverage.
func modelOneVMShort(s fleet.Service, free []fleet.VM, d *demand) (fleet.Model, bool) {
	var best fleet.Model
	found := false
	for _, m := range s.Engine.Models {
		if d.coverage(m.Name) >= 1 || countSpares(free, m.Name)%m.Size != m.Size-1 {
			continue
		}
		if !found || d.coverage(m.Name) < d.coverage(best.Name) {
			best, found = m, true
		}
	}
	return best, found
}

// standbyCounts counts the standbys of a service by domain and model, those still loading
// included.
func (r *round) standbyCounts(service string) map[string]map[string]int {
	out := map[string]map[string]int{}
	for _, a := range r.replicas {
		if !a.standby || a.released || a.service != service || len(a.members) == 0 {
			continue
		}
		vm, ok := r.view.VM(a.members[0])
		if !ok {
			continue
		}
		if out[vm.Domain] == nil {
			out[vm.Domain] = map[string]int{}
		}
		out[vm.Domain][a.model]++
	}
	return out
}

// nextStandbyModel returns the model for the next standby. Any VM of a replica
// may be lost, so standbys are divided among the models in proportion to their
// replicas' sizes, by the highest averages method. Of models that tie, the one
// with the fewest standbys goes first, then the one with the larger replicas.
func nextStandbyModel(models []fleet.Model, standbys map[string]int) fleet.Model {
	return slices.MinFunc(models, func(a, b fleet.Model) int {
		return cmp.Or(
			cmp.Compare((standbys[a.Name]+1)*b.Size, (standbys[b.Name]+1)*a.Size),
			cmp.Compare(standbys[a.Name], standbys[b.Name]),
			cmp.Compare(b.Size, a.Size),
		)
	})
}
