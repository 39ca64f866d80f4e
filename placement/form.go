package placement

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/tamarackcleat/tamarackcleat/port"
)

// formWanted forms replicas: first for every model up to Demand.Min, then for
// every model up to Demand.Want and, if the policy forms surplus replicas, then
// for every model up to Demand.Max.
func (r *planRun) formWanted() {
	for _, d := range r.demands {
		r.formUpToTotal(d, d.Min, DemandBelowMin)
	}
	for _, d := range r.demands {
		r.formUpToTotal(d, d.Want, DemandBelowWant)
	}
	if !r.policy.FormSurplus {
		return
	}
	for _, d := range r.demands {
		r.formSurplus(d)
	}
}

// formUpToTotal forms replicas of a model until it has total healthy ones. If
// there are too few VMs, it records the model as blocked.
func (r *planRun) formUpToTotal(d Demand, total int, need DemandLevel) {
	missing := total - r.countsOf(d.Model).live
	if missing <= 0 {
		return
	}
	if r.formAtMost(d, missing, need) == shortOfVMs {
		r.blocked = append(r.blocked, blockedDemand{Demand: d, belowMin: need == DemandBelowMin})
	}
}

func (r *planRun) formSurplus(d Demand) {
	if missing := d.Max - r.countsOf(d.Model).live; missing > 0 {
		r.formAtMost(d, missing, DemandSurplus)
	}
}

// formOutcome says why formAtMost stopped.
type formOutcome int

const (
	formedAll formOutcome = iota
	shortOfVMs
	storeBusy
)

// formAtMost forms at most count replicas of a model. need is the kind of
// demand that the new replicas serve; it decides whether they may span domains.
func (r *planRun) formAtMost(d Demand, count int, need DemandLevel) formOutcome {
	m, ok := r.models[d.Model]
	if !ok || m.VMsPerReplica <= 0 {
		return shortOfVMs
	}
	c := newCandidates(r, m)
	for range count {
		members := c.bestMembers()
		if members == nil && r.mayCrossDomains(d, need) {
			members = r.pickAcrossDomains(m)
		}
		if members == nil {
			return shortOfVMs
		}
		if !r.storeAllows(m, members) {
			return storeBusy
		}
		r.planForm(m, members)
		c.rescore(members[0].domain)
	}
	return formedAll
}

// mayCrossDomains reports whether a replica may span fabric domains. The policy
// must allow it for the kind of demand. It is not allowed if a single domain is
// likely to have room soon, which is the case if a dissolution is planned or
// under way, if enough VMs are still finishing requests of their former
// replica, or if another replica can be preempted.
func (r *planRun) mayCrossDomains(d Demand, need DemandLevel) bool {
	if need > r.policy.CrossDomainDemand || len(r.dissolvedNames) > 0 || r.roomExpected(d.Model) {
		return false
	}
	blocked := blockedDemand{Demand: d, belowMin: need == DemandBelowMin}
	return !r.policy.Preempt || need == DemandSurplus || r.victim(blocked) == nil
}

// storeAllows reports whether the weight store can serve the members' loads
// and all loads that are running already within the policy's LoadWindow. A
// load is always allowed while no other is running.
func (r *planRun) storeAllows(m port.Model, members []*vmState) bool {
	bytes := bytesToLoad(m, members)
	if r.policy.LoadWindow <= 0 || r.storeRate <= 0 || bytes == 0 || r.loadingBytes == 0 {
		return true
	}
	window := int64(float64(r.storeRate) * r.policy.LoadWindow.Seconds())
	return r.loadingBytes+bytes <= window
}

func bytesToLoad(m port.Model, members []*vmState) int64 {
	var bytes int64
	for _, v := range members {
		if !v.HoldsWeights(m.Name) {
			bytes += m.WeightBytes
		}
	}
	return bytes
}

// planForm adds the action for a new replica to the plan. It also adds the
// replica to the index, from which revertForms removes it.
func (r *planRun) planForm(m port.Model, members []*vmState) {
	ids := make([]port.VMID, len(members))
	for i, v := range members {
		ids[i] = v.ID
	}
	name := r.freeName(m.Name)
	r.loadingBytes += bytesToLoad(m, members)
	r.SetReplica(Replica{Name: name, Model: m.Name, VMs: ids, FormedAt: r.now, Pending: true})
	r.formed = append(r.formed, r.replicas[name])
	r.form = append(r.form, Form{Replica: name, Model: m.Name, VMs: ids})
}

// revertForms removes the replicas of this plan from the index.
func (r *planRun) revertForms() {
	for _, n := range r.formed {
		r.RemoveReplica(n.Name)
	}
}

// freeName returns the first unused name of the form MODEL-NUMBER. Within one
// plan the numbers of a model only grow.
func (r *planRun) freeName(model string) string {
	if r.lastNumber == nil {
		r.lastNumber = map[string]int{}
	}
	for {
		r.lastNumber[model]++
		name := model + "-" + strconv.Itoa(r.lastNumber[model])
		if _, used := r.replicas[name]; !used {
			return name
		}
	}
}

// pickInDomain chooses the members of a replica in a domain. If the policy
// prefers holders, VMs that hold the model's weights come first, then VMs that
// hold no weights, then VMs that hold those of other models. The ranks follow
// the VM IDs.
func (r *planRun) pickInDomain(d *domainState, m port.Model) []*vmState {
	members := slices.Clone(d.free)
	if r.policy.PreferWeightHolders {
		slices.SortStableFunc(members, func(a, b *vmState) int {
			return cmp.Compare(weightPreference(a, m.Name), weightPreference(b, m.Name))
		})
	}
	members = members[:m.VMsPerReplica]
	slices.SortFunc(members, byID)
	return members
}

// weightPreference orders VMs as members for a model; lower is better.
func weightPreference(v *vmState, model string) int {
	switch {
	case v.HoldsWeights(model):
		return 0
	case len(v.Report.HeldWeights) == 0:
		return 1
	}
	return 2
}

// pickAcrossDomains chooses the members of a replica from all domains of the
// availability zone with the most free VMs. Domains with more free VMs come
// first, so that the replica spans few of them. It returns nil if no zone has
// enough free VMs.
func (r *planRun) pickAcrossDomains(m port.Model) []*vmState {
	byZone := map[string][]*domainState{}
	freeVMs := map[string]int{}
	best := ""
	for _, d := range r.sortedDomainsWithFree() {
		byZone[d.zone] = append(byZone[d.zone], d)
		freeVMs[d.zone] += len(d.free)
		if best == "" || freeVMs[d.zone] > freeVMs[best] {
			best = d.zone
		}
	}
	if freeVMs[best] < m.VMsPerReplica {
		return nil
	}
	domains := byZone[best]
	slices.SortStableFunc(domains, func(a, b *domainState) int {
		return cmp.Compare(len(b.free), len(a.free))
	})
	var members []*vmState
	for _, d := range domains {
		members = append(members, d.free...)
	}
	return slices.Clone(members[:m.VMsPerReplica])
}
