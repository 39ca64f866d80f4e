package placement

import (
	"maps"
	"slices"
	"time"
)

// run is the state of one call of Plan.
type run struct {
	*Planner
	now      time.Time
	dissolve []Action
	form     []Action
	// gone holds the names of replicas that this plan dissolves.
	gone map[string]bool
	// formed holds this plan's replicas; undo takes them out of the index.
	formed []*replicaNode
	// blocked holds models that lack VMs for a replica below their need.
	blocked []blockedDemand
	names   map[string]int
	// loading is the number of bytes being loaded from the weight store.
	loading int64
}

// blockedDemand is a model that could not be brought to its need.
type blockedDemand struct {
	Demand
	belowMin bool
}

func (r *run) actions() []Action { return append(r.dissolve, r.form...) }

// end dissolves a replica once.
func (r *run) end(n *replicaNode, cause Cause) {
	if n.Pending || n.Dissolving || r.gone[n.Name] {
		return
	}
	if r.gone == nil {
		r.gone = map[string]bool{}
	}
	r.gone[n.Name] = true
	r.dissolve = append(r.dissolve, Dissolve{Replica: n.Name, Generation: n.Generation, Cause: cause})
}

// dissolveBroken ends replicas with a member that is missing or leaving. The
// survivors are free as soon as they report idle.
func (r *run) dissolveBroken() {
	for _, name := range slices.Sorted(maps.Keys(r.broken)) {
		n := r.broken[name]
		if !r.policy.Merge && !r.hasReplacements(n) {
			continue
		}
		r.end(n, n.cause)
	}
}

// hasReplacements reports whether the domain has a free VM for each missing
// member, or the members themselves are back.
func (r *run) hasReplacements(n *replicaNode) bool {
	if n.cause == CauseRestarted || len(n.domains) == 0 {
		return true
	}
	return len(n.domains[0].free) >= n.missing
}

// dissolveOverdue ends replicas that do not get complete although another of
// their members has, such as those with a member that loads much more slowly.
// The time allowed grows with all that the weight store has to serve: a slow
// or busy store delays every replica, and forming them anew would only add
// loads.
func (r *run) dissolveOverdue() {
	for _, n := range r.incomplete {
		r.loading += n.loading
	}
	allowed := r.policy.LoadTimeout + loadSlack*r.storeTime(r.loading)
	for _, name := range slices.Sorted(maps.Keys(r.incomplete)) {
		n := r.incomplete[name]
		if n.Pending || n.ready == 0 || r.policy.LoadTimeout <= 0 {
			continue
		}
		if r.now.Sub(n.FormedAt) > allowed {
			r.end(n, CauseLoadTimeout)
		}
	}
}

// loadSlack is how many times longer than expected all loads may take.
const loadSlack = 2

// storeTime is the time that the weight store needs for a number of bytes.
func (r *run) storeTime(bytes int64) time.Duration {
	if r.storeRate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / float64(r.storeRate) * float64(time.Second))
}

// dissolveUnwanted ends replicas of models that no class names.
func (r *run) dissolveUnwanted() {
	if len(r.desired) == 0 {
		return
	}
	wanted := map[string]bool{}
	for _, d := range r.desired {
		wanted[d.Model] = true
	}
	unwanted := false
	for model, t := range r.tallies {
		unwanted = unwanted || !wanted[model] && t.live > 0
	}
	if !unwanted {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(r.replicas)) {
		if n := r.replicas[name]; !wanted[n.Model] {
			r.end(n, CauseUnwanted)
		}
	}
}

// retireCrossDomain ends replicas across domains whose VMs, with free ones of
// their domain, can form a replica within it.
func (r *run) retireCrossDomain() {
	if r.policy.CrossDomain == ReachNone {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(r.crossing)) {
		n := r.crossing[name]
		if n.cause != "" {
			continue
		}
		inside := map[*domainNode]int{}
		for _, id := range n.VMs {
			inside[r.vms[id].domain]++
		}
		for d, members := range inside {
			if members+len(d.free) >= len(n.VMs) {
				r.end(n, CauseCrossDomain)
			}
		}
	}
}

// preempt ends one replica of a model that has more than it needs, so that its
// VMs can serve a blocked model. One at a time keeps the cost of a wrong guess
// at one replica.
func (r *run) preempt() {
	if !r.policy.Preempt || len(r.dissolve) > 0 {
		return
	}
	for _, b := range r.blocked {
		if r.roomComing(b.Model) {
			continue
		}
		if victim := r.victim(b); victim != nil {
			r.end(victim, CausePreempted)
			return
		}
	}
}

// roomComing reports whether VMs that finish former work will make room for a
// replica of the model.
func (r *run) roomComing(model string) bool {
	size := r.models[model].VMsPerReplica
	for _, n := range r.broken {
		if n.Dissolving {
			return true
		}
	}
	for _, d := range r.domains {
		if d.settling > 0 && d.settling+len(d.free) >= size {
			return true
		}
	}
	return false
}

// victim chooses the replica to end for a blocked model: of the models with
// the most to spare, in a domain that then has enough free VMs, the one that
// holds the blocked model's weights least often elsewhere.
func (r *run) victim(b blockedDemand) *replicaNode {
	size := r.models[b.Model].VMsPerReplica
	donors := r.donors(b)
	if len(donors) == 0 || size <= 0 {
		return nil
	}
	hosts := r.tally(b.Model).domains
	var best *replicaNode
	for _, name := range slices.Sorted(maps.Keys(r.replicas)) {
		n := r.replicas[name]
		if !donors[n.Model] || n.Pending || n.Dissolving || n.cause != "" || len(n.domains) != 1 {
			continue
		}
		if len(n.domains[0].free)+len(n.VMs) < size {
			continue
		}
		if best == nil || hosts[n.domains[0].name] < hosts[best.domains[0].name] {
			best = n
		}
	}
	return best
}

// donors returns the models that can give a replica away to a blocked one:
// those with more than they want, and, for a greater need, less important ones
// with more than their minimum.
func (r *run) donors(b blockedDemand) map[string]bool {
	donors := map[string]bool{}
	below := false
	for _, d := range r.desired {
		if d.Model == b.Model {
			below = true
			continue
		}
		live := r.tally(d.Model).live
		greater := b.belowMin || r.policy.UrgentFirst && b.Urgent && !d.Urgent
		if live > max(d.Want, d.Min) || below && greater && live > d.Min {
			donors[d.Model] = true
		}
	}
	return donors
}
