package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/tamarackcleat/tamarackcleat/port"
)

// Planner keeps an index of VMs and replicas by fabric domain. The cost of a
// plan after a few changes is therefore proportional to the number of changes
// and of domains with free VMs, not to the size of the fleet.
type Planner struct {
	policy    Policy
	models    map[string]port.Model
	storeRate int64
	desired   []Demand

	vms             map[port.VMID]*vmState
	replicaOf       map[port.VMID]string
	domains         map[string]*domainState
	domainsWithFree map[string]*domainState
	replicas        map[string]*replicaState
	counts          map[string]*modelCounts
	// incomplete holds the replicas with members that are not ready yet, and
	// broken those with a cause to be dissolved. Every plan checks both.
	incomplete map[string]*replicaState
	broken     map[string]*replicaState
	// crossDomain holds the replicas that span several domains.
	crossDomain map[string]*replicaState
	// epoch counts the calls of Sync. Entries of the index that were not in
	// the last input have an older epoch.
	epoch int
}

// replicaState is the planner's state of a replica.
type replicaState struct {
	Replica
	// domains holds the domains of the known members; more than one only if
	// the replica spans domains.
	domains []*domainState
	// cause is why the replica must be dissolved or is being dissolved; empty
	// for a healthy replica.
	cause Cause
	// faultyMembers counts the members that need a replacement.
	faultyMembers int
	// loadingBytes is the number of bytes that members still have to load.
	loadingBytes int64
	// readyMembers counts the members that reported ready for this generation.
	readyMembers int
	// complete says that every member without a fault reported ready for this
	// generation.
	complete bool
	// epoch is the Planner.epoch of the last Sync whose input held the replica.
	epoch int
}

// modelCounts counts the healthy replicas of one model: all of them, and by
// fabric domain and availability zone. A replica that spans domains is counted
// in each of them, and once per domain in its zone.
type modelCounts struct {
	live    int
	domains map[string]int
	zones   map[string]int
}

// NewPlanner returns a planner with an empty index.
func NewPlanner(policy Policy) *Planner {
	return &Planner{
		policy:          policy,
		models:          map[string]port.Model{},
		vms:             map[port.VMID]*vmState{},
		replicaOf:       map[port.VMID]string{},
		domains:         map[string]*domainState{},
		domainsWithFree: map[string]*domainState{},
		replicas:        map[string]*replicaState{},
		counts:          map[string]*modelCounts{},
		incomplete:      map[string]*replicaState{},
		broken:          map[string]*replicaState{},
		crossDomain:     map[string]*replicaState{},
	}
}

// SetReplica adds a replica to the index or replaces its state.
func (p *Planner) SetReplica(r Replica) {
	p.RemoveReplica(r.Name)
	n := &replicaState{Replica: r}
	p.replicas[r.Name] = n
	for _, id := range r.VMs {
		p.replicaOf[id] = r.Name
		v, ok := p.vms[id]
		if !ok {
			continue
		}
		p.untrackUnassigned(v)
		v.replica = n
	}
	n.domains = p.domainsOf(n)
	setContains(p.crossDomain, n, len(n.domains) > 1)
	p.addToCounts(n, 1)
	p.reevaluate(n)
}

// RemoveReplica removes a dissolved replica from the index. Its VMs become free
// as soon as they are usable.
func (p *Planner) RemoveReplica(name string) {
	n, ok := p.replicas[name]
	if !ok {
		return
	}
	if n.cause == "" {
		p.addToCounts(n, -1)
	}
	delete(p.replicas, name)
	delete(p.incomplete, name)
	delete(p.broken, name)
	delete(p.crossDomain, name)
	for _, id := range n.VMs {
		delete(p.replicaOf, id)
		if v, ok := p.vms[id]; ok {
			v.replica = nil
			p.trackUnassigned(v)
		}
	}
}

// domainsOf returns the domains of a replica's known members, sorted by name.
func (p *Planner) domainsOf(n *replicaState) []*domainState {
	found := map[string]*domainState{}
	for _, id := range n.VMs {
		if v, ok := p.vms[id]; ok {
			found[v.domain.name] = v.domain
		}
	}
	var domains []*domainState
	for _, name := range slices.Sorted(maps.Keys(found)) {
		domains = append(domains, found[name])
	}
	return domains
}

// countsOf returns the counts of a model's healthy replicas and creates them on
// first use.
func (p *Planner) countsOf(model string) *modelCounts {
	t, ok := p.counts[model]
	if !ok {
		t = &modelCounts{domains: map[string]int{}, zones: map[string]int{}}
		p.counts[model] = t
	}
	return t
}

// addToCounts adds delta to the counts of a replica's model and domains: 1 when
// the replica becomes healthy, -1 when it no longer is.
func (p *Planner) addToCounts(n *replicaState, delta int) {
	t := p.countsOf(n.Model)
	t.live += delta
	for _, d := range n.domains {
		d.replicas[n.Model] += delta
		t.domains[d.name] += delta
		t.zones[d.zone] += delta
		if t.domains[d.name] == 0 {
			delete(t.domains, d.name)
		}
		if t.zones[d.zone] == 0 {
			delete(t.zones, d.zone)
		}
	}
}

// reevaluate updates the state of a replica after a change of its members or of
// the models.
func (p *Planner) reevaluate(n *replicaState) {
	was := n.cause
	p.evaluateMembers(n)
	if was == "" && n.cause != "" {
		p.addToCounts(n, -1)
	}
	if was != "" && n.cause == "" {
		p.addToCounts(n, 1)
	}
	setContains(p.broken, n, n.cause != "")
	setContains(p.incomplete, n, !n.complete && n.cause == "")
}

// setContains adds a replica to a set or removes it.
func setContains(set map[string]*replicaState, n *replicaState, in bool) {
	if in {
		set[n.Name] = n
	} else {
		delete(set, n.Name)
	}
}

// evaluateMembers derives the state of a replica from that of its members.
func (p *Planner) evaluateMembers(n *replicaState) {
	n.cause, n.faultyMembers, n.loadingBytes, n.readyMembers, n.complete = "", 0, 0, 0, true
	if n.Dissolving {
		n.cause = causeDissolving
	}
	for _, id := range n.VMs {
		v, ok := p.vms[id]
		cause := p.memberFault(v, ok)
		if cause != "" {
			n.faultyMembers++
			if n.cause == "" {
				n.cause = cause
			}
			continue
		}
		if v.memberReady(n) {
			n.readyMembers++
			continue
		}
		n.complete = false
		if !v.HoldsWeights(n.Model) {
			n.loadingBytes += p.models[n.Model].WeightBytes
		}
	}
}

// memberFault returns why a replica with this member must be dissolved, or an
// empty cause if the member has no fault.
func (p *Planner) memberFault(v *vmState, listed bool) Cause {
	switch {
	case !listed || v.Liveness == Lost:
		return CauseMissing
	case v.Restarted:
		return CauseRestarted
	case p.policy.WaitForGone:
	case v.Leaving || v.Report.State == port.EngineLeaving && v.inCurrentReplica():
		return CauseLeaving
	}
	return ""
}

// inCurrentReplica reports whether the VM's last report names the replica, with
// its generation, that the VM is assigned to.
func (v *vmState) inCurrentReplica() bool {
	r := v.replica
	return r != nil && v.Report.Replica == r.Name && v.Report.Generation == int64(r.Generation)
}

// memberReady reports whether the VM's last report names the replica, with its
// generation, and says that the engine is ready.
func (v *vmState) memberReady(n *replicaState) bool {
	return v.Report.State == port.EngineReady &&
		v.Report.Replica == n.Name && v.Report.Generation == int64(n.Generation)
}

// Plan returns the next actions, dissolutions first. It leaves the index as it
// was: the caller reports the effect of actions by Sync or by SetReplica and
// RemoveReplica.
func (p *Planner) Plan(now time.Time) []Action {
	r := &planRun{Planner: p, now: now}
	r.dissolveBroken()
	r.dissolveOverdue()
	r.dissolveUnwanted()
	r.retireCrossDomain()
	r.formWanted()
	r.preempt()
	r.revertForms()
	return r.actions()
}
