package placement

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/tamarackcleat/tamarackcleat/port"
)

// formWanted forms replicas: first every model up to its minimum, then to what
// is wanted, then from VMs left over.
func (r *run) formWanted() {
	for _, d := range r.desired {
		r.fill(d, d.Min, ReachMin)
	}
	for _, d := range r.desired {
		r.fill(d, d.Want, ReachWant)
	}
	if !r.policy.Surplus {
		return
	}
	for _, d := range r.desired {
		r.fillSurplus(d)
	}
}

// fill forms replicas of a model until it has enough, and notes a model that
// lacks VMs.
func (r *run) fill(d Demand, enough int, need Reach) {
	missing := enough - r.tally(d.Model).live
	if missing <= 0 {
		return
	}
	if r.formUpTo(d, missing, need) == shortOfVMs {
		r.blocked = append(r.blocked, blockedDemand{Demand: d, belowMin: need == ReachMin})
	}
}

func (r *run) fillSurplus(d Demand) {
	if missing := d.Max - r.tally(d.Model).live; missing > 0 {
		r.formUpTo(d, missing, ReachSurplus)
	}
}

// outcome says why formUpTo stopped.
type outcome int

const (
	formedAll outcome = iota
	shortOfVMs
	storeBusy
)

// formUpTo forms at most count replicas of a model, across domains only if the
// policy goes that far for the need.
func (r *run) formUpTo(d Demand, count int, need Reach) outcome {
	m, ok := r.models[d.Model]
	if !ok || m.VMsPerReplica <= 0 {
		return shortOfVMs
	}
	c := newCandidates(r, m)
	for range count {
		members := c.best()
		if members == nil && r.mayCross(d, need) {
			members = r.acrossDomains(m)
		}
		if members == nil {
			return shortOfVMs
		}
		if !r.storeAllows(m, members) {
			return storeBusy
		}
		r.add(m, members)
		c.update(members[0].domain)
	}
	return formedAll
}

// mayCross reports whether a replica may be formed across domains: only if the
// policy goes that far for the need, and no domain can be expected to have room
// soon.
func (r *run) mayCross(d Demand, need Reach) bool {
	if need > r.policy.CrossDomain || len(r.gone) > 0 || r.roomComing(d.Model) {
		return false
	}
	blocked := blockedDemand{Demand: d, belowMin: need == ReachMin}
	return !r.policy.Preempt || need == ReachSurplus || r.victim(blocked) == nil
}

// storeAllows reports whether the weight store can serve the members' loads
// within the load window, next to the loads that run already.
func (r *run) storeAllows(m port.Model, members []*vmNode) bool {
	bytes := bytesToLoad(m, members)
	if r.policy.LoadWindow <= 0 || r.storeRate <= 0 || bytes == 0 || r.loading == 0 {
		return true
	}
	window := int64(float64(r.storeRate) * r.policy.LoadWindow.Seconds())
	return r.loading+bytes <= window
}

func bytesToLoad(m port.Model, members []*vmNode) int64 {
	var bytes int64
	for _, v := range members {
		if !v.Holds(m.Name) {
			bytes += m.WeightBytes
		}
	}
	return bytes
}

// add records a new replica in the plan and in the index.
func (r *run) add(m port.Model, members []*vmNode) {
	ids := make([]port.VMID, len(members))
	for i, v := range members {
		ids[i] = v.ID
	}
	name := r.freeName(m.Name)
	r.loading += bytesToLoad(m, members)
	r.SetReplica(Replica{Name: name, Model: m.Name, VMs: ids, FormedAt: r.now, Pending: true})
	r.formed = append(r.formed, r.replicas[name])
	r.form = append(r.form, Form{Replica: name, Model: m.Name, VMs: ids})
}

// undo takes the plan's replicas out of the index.
func (r *run) undo() {
	for _, n := range r.formed {
		r.RemoveReplica(n.Name)
	}
}

// freeName returns the first name of a model that no replica has.
func (r *run) freeName(model string) string {
	if r.names == nil {
		r.names = map[string]int{}
	}
	for {
		r.names[model]++
		name := model + "-" + strconv.Itoa(r.names[model])
		if _, used := r.replicas[name]; !used {
			return name
		}
	}
}

// pick chooses the members in a domain: VMs that hold the weights, then VMs
// that hold none, then those that hold other models' weights.
func (r *run) pick(d *domainNode, m port.Model) []*vmNode {
	chosen := slices.Clone(d.free)
	if r.policy.HoldersFirst {
		slices.SortStableFunc(chosen, func(a, b *vmNode) int {
			return cmp.Compare(holderRank(a, m.Name), holderRank(b, m.Name))
		})
	}
	chosen = chosen[:m.VMsPerReplica]
	slices.SortFunc(chosen, byID)
	return chosen
}

func holderRank(v *vmNode, model string) int {
	switch {
	case v.Holds(model):
		return 0
	case len(v.Report.HeldWeights) == 0:
		return 1
	}
	return 2
}

// acrossDomains chooses members from the domains of the zone with the most
// free VMs, the fullest domains first so that few are involved.
func (r *run) acrossDomains(m port.Model) []*vmNode {
	byZone := map[string][]*domainNode{}
	count := map[string]int{}
	best := ""
	for _, d := range r.sortedDomains() {
		byZone[d.zone] = append(byZone[d.zone], d)
		count[d.zone] += len(d.free)
		if best == "" || count[d.zone] > count[best] {
			best = d.zone
		}
	}
	if count[best] < m.VMsPerReplica {
		return nil
	}
	domains := byZone[best]
	slices.SortStableFunc(domains, func(a, b *domainNode) int {
		return cmp.Compare(len(b.free), len(a.free))
	})
	var members []*vmNode
	for _, d := range domains {
		members = append(members, d.free...)
	}
	return slices.Clone(members[:m.VMsPerReplica])
}
