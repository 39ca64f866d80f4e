package placement

import (
	"maps"
	"slices"
	"time"
)

// planRun is the state of one call of Planner.Plan.
type planRun struct {
	*Planner
	now time.Time
	// dissolve and form hold the actions of this plan.
	dissolve []Action
	form     []Action
	// dissolvedNames holds the names of the replicas that this plan dissolves.
	dissolvedNames map[string]bool
	// formed holds the replicas that this plan forms. revertForms removes them
	// from the index.
	formed []*replicaState
	// blocked holds the models below Demand.Min or Demand.Want for which there
	// are too few free VMs.
	blocked []blockedDemand
	// lastNumber is the last number that freeName tried, by model.
	lastNumber map[string]int
	// loadingBytes is the number of bytes that are still to be loaded from the
	// weight store, including those for the replicas that this plan forms.
	loadingBytes int64
}

// blockedDemand is the demand of a model that lacks VMs. belowMin says that the
// model is below Demand.Min; otherwise it is below Demand.Want.
type blockedDemand struct {
	Demand
	belowMin bool
}

func (r *planRun) actions() []Action { return append(r.dissolve, r.form...) }

// planDissolve adds the dissolution of a replica to the plan, unless the plan
// has it already, or the replica is pending or being dissolved.
func (r *planRun) planDissolve(n *replicaState, cause Cause) {
	if n.Pending || n.Dissolving || r.dissolvedNames[n.Name] {
		return
	}
	if r.dissolvedNames == nil {
		r.dissolvedNames = map[string]bool{}
	}
	r.dissolvedNames[n.Name] = true
	r.dissolve = append(r.dissolve, Dissolve{Replica: n.Name, Generation: n.Generation, Cause: cause})
}

// dissolveBroken dissolves replicas with a faulty member. The members without a
// fault are free as soon as they report that they are idle. Without
// Policy.DissolveBrokenAtOnce, a replica is not dissolved until its faulty
// members can be replaced.
func (r *planRun) dissolveBroken() {
	for _, name := range slices.Sorted(maps.Keys(r.broken)) {
		n := r.broken[name]
		if !r.policy.DissolveBrokenAtOnce && !r.hasReplacements(n) {
			continue
		}
		r.planDissolve(n, n.cause)
	}
}

// hasReplacements reports whether the replica's first domain has a free VM for
// each faulty member. It also returns true if the first fault is a restarted
// member, which can join again, or if the planner knows none of the members.
func (r *planRun) hasReplacements(n *replicaState) bool {
	if n.cause == CauseRestarted || len(n.domains) == 0 {
		return true
	}
	return len(n.domains[0].free) >= n.faultyMembers
}

// dissolveOverdue dissolves replicas that have members which are not ready in
// time although at least one member is, for example because one VM loads much
// more slowly than the others. The time allowed grows with the number of bytes
// that the weight store has to serve for all replicas: a slow or busy store
// delays every replica, and replacing them would only add loads.
func (r *planRun) dissolveOverdue() {
	for _, n := range r.incomplete {
		r.loadingBytes += n.loadingBytes
	}
	allowed := r.policy.LoadTimeout + loadTimeFactor*r.storeLoadTime(r.loadingBytes)
	for _, name := range slices.Sorted(maps.Keys(r.incomplete)) {
		n := r.incomplete[name]
		if n.Pending || n.readyMembers == 0 || r.policy.LoadTimeout <= 0 {
			continue
		}
		if r.now.Sub(n.FormedAt) > allowed {
			r.planDissolve(n, CauseLoadTimeout)
		}
	}
}

// loadTimeFactor is how many times longer than expected the running loads may
// take in total.
const loadTimeFactor = 2

// storeLoadTime returns the time that the weight store needs to serve a number
// of bytes, or 0 if its rate is unknown.
func (r *planRun) storeLoadTime(bytes int64) time.Duration {
	if r.storeRate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / float64(r.storeRate) * float64(time.Second))
}

// dissolveUnwanted dissolves replicas of models that no class names. It does
// nothing if there are no demands at all.
func (r *planRun) dissolveUnwanted() {
	if len(r.demands) == 0 {
		return
	}
	wanted := map[string]bool{}
	for _, d := range r.demands {
		wanted[d.Model] = true
	}
	found := false
	for model, t := range r.counts {
		found = found || !wanted[model] && t.live > 0
	}
	if !found {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(r.replicas)) {
		if n := r.replicas[name]; !wanted[n.Model] {
			r.planDissolve(n, CauseUnwanted)
		}
	}
}

// retireCrossDomain dissolves a replica that spans domains if, in one of these
// domains, its members and the free VMs together are enough for a replica.
func (r *planRun) retireCrossDomain() {
	if r.policy.CrossDomainDemand == DemandNone {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(r.crossDomain)) {
		n := r.crossDomain[name]
		if n.cause != "" {
			continue
		}
		membersIn := map[*domainState]int{}
		for _, id := range n.VMs {
			membersIn[r.vms[id].domain]++
		}
		for d, members := range membersIn {
			if members+len(d.free) >= len(n.VMs) {
				r.planDissolve(n, CauseCrossDomain)
			}
		}
	}
}

// preempt dissolves one replica of a model that can spare it, so that the VMs
// can serve a blocked model. It does so only in a plan without other
// dissolutions, and for one replica at a time: a wrong decision then costs no
// more than one replica.
func (r *planRun) preempt() {
	if !r.policy.Preempt || len(r.dissolve) > 0 {
		return
	}
	for _, b := range r.blocked {
		if r.roomExpected(b.Model) {
			continue
		}
		if victim := r.victim(b); victim != nil {
			r.planDissolve(victim, CausePreempted)
			return
		}
	}
}

// roomExpected reports whether there may soon be room for a replica of the
// model: a dissolution is under way, or a domain has enough VMs if those that
// still finish requests of their former replica are counted as free.
func (r *planRun) roomExpected(model string) bool {
	size := r.models[model].VMsPerReplica
	for _, n := range r.broken {
		if n.Dissolving {
			return true
		}
	}
	for _, d := range r.domains {
		if d.draining > 0 && d.draining+len(d.free) >= size {
			return true
		}
	}
	return false
}

// victim chooses the replica to dissolve for a blocked model. It belongs to a
// model that can spare it and lies in a single domain, which then has enough
// free VMs. Of these, victim prefers the domain with the fewest replicas of the
// blocked model, then the lowest name. It returns nil if there is none.
func (r *planRun) victim(b blockedDemand) *replicaState {
	size := r.models[b.Model].VMsPerReplica
	preemptible := r.preemptibleModels(b)
	if len(preemptible) == 0 || size <= 0 {
		return nil
	}
	replicasIn := r.countsOf(b.Model).domains
	var best *replicaState
	for _, name := range slices.Sorted(maps.Keys(r.replicas)) {
		n := r.replicas[name]
		if !preemptible[n.Model] || n.Pending || n.Dissolving || n.cause != "" || len(n.domains) != 1 {
			continue
		}
		if len(n.domains[0].free)+len(n.VMs) < size {
			continue
		}
		if best == nil || replicasIn[n.domains[0].name] < replicasIn[best.domains[0].name] {
			best = n
		}
	}
	return best
}

// preemptibleModels returns the models that can lose a replica to a blocked
// model: those above their Demand.Want and, if the blocked model outranks them,
// those of lower priority above their Demand.Min. A model outranks others if it
// is below its Demand.Min or, by Policy.PreemptForUrgent, urgent while they are
// not.
func (r *planRun) preemptibleModels(b blockedDemand) map[string]bool {
	models := map[string]bool{}
	lowerPriority := false
	for _, d := range r.demands {
		if d.Model == b.Model {
			lowerPriority = true
			continue
		}
		live := r.countsOf(d.Model).live
		outranks := b.belowMin || r.policy.PreemptForUrgent && b.Urgent && !d.Urgent
		if live > max(d.Want, d.Min) || lowerPriority && outranks && live > d.Min {
			models[d.Model] = true
		}
	}
	return models
}
