package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/tamarackcleat/tamarackcleat/port"
)

// Planner keeps an index of VMs and replicas by fabric domain, so that a plan
// after a few changes costs work in proportion to the changes and to the
// domains with free VMs, not to the fleet.
type Planner struct {
	policy    Policy
	models    map[string]port.Model
	storeRate int64
	desired   []Demand

	vms      map[port.VMID]*vmNode
	memberOf map[port.VMID]string
	domains  map[string]*domainNode
	withFree map[string]*domainNode
	replicas map[string]*replicaNode
	tallies  map[string]*tally
	// incomplete and broken are replicas that need a look in each plan.
	incomplete map[string]*replicaNode
	broken     map[string]*replicaNode
	// crossing holds the replicas across domains.
	crossing map[string]*replicaNode
	// epoch numbers calls of Sync.
	epoch int
}

// replicaNode is a replica in the planner's index.
type replicaNode struct {
	Replica
	// domains holds the domains of its members; one unless it crosses.
	domains []*domainNode
	// cause is why it must be dissolved; empty if it need not be.
	cause Cause
	// missing counts the members that need a replacement.
	missing int
	// loading is the number of bytes that its members still load.
	loading int64
	// ready counts the members that are ready.
	ready int
	// complete says that every member reported its membership as ready.
	complete bool
	// epoch is that of the last Sync that named the replica.
	epoch int
}

// tally counts the sound replicas of one model.
type tally struct {
	live    int
	domains map[string]int
	zones   map[string]int
}

// NewPlanner returns an empty planner.
func NewPlanner(policy Policy) *Planner {
	return &Planner{
		policy:     policy,
		models:     map[string]port.Model{},
		vms:        map[port.VMID]*vmNode{},
		memberOf:   map[port.VMID]string{},
		domains:    map[string]*domainNode{},
		withFree:   map[string]*domainNode{},
		replicas:   map[string]*replicaNode{},
		tallies:    map[string]*tally{},
		incomplete: map[string]*replicaNode{},
		broken:     map[string]*replicaNode{},
		crossing:   map[string]*replicaNode{},
	}
}

// SetReplica adds a replica or replaces what is known of it.
func (p *Planner) SetReplica(r Replica) {
	p.RemoveReplica(r.Name)
	n := &replicaNode{Replica: r}
	p.replicas[r.Name] = n
	for _, id := range r.VMs {
		p.memberOf[id] = r.Name
		v, ok := p.vms[id]
		if !ok {
			continue
		}
		p.unlist(v)
		v.replica = n
	}
	n.domains = p.domainsOf(n)
	setMember(p.crossing, n, len(n.domains) > 1)
	p.count(n, 1)
	p.check(n)
}

// RemoveReplica forgets a replica that was dissolved.
func (p *Planner) RemoveReplica(name string) {
	n, ok := p.replicas[name]
	if !ok {
		return
	}
	if n.cause == "" {
		p.count(n, -1)
	}
	delete(p.replicas, name)
	delete(p.incomplete, name)
	delete(p.broken, name)
	delete(p.crossing, name)
	for _, id := range n.VMs {
		delete(p.memberOf, id)
		if v, ok := p.vms[id]; ok {
			v.replica = nil
			p.list(v)
		}
	}
}

// domainsOf returns the domains of a replica's known members by name.
func (p *Planner) domainsOf(n *replicaNode) []*domainNode {
	found := map[string]*domainNode{}
	for _, id := range n.VMs {
		if v, ok := p.vms[id]; ok {
			found[v.domain.name] = v.domain
		}
	}
	var domains []*domainNode
	for _, name := range slices.Sorted(maps.Keys(found)) {
		domains = append(domains, found[name])
	}
	return domains
}

// tally returns the counts of a model, made on first use.
func (p *Planner) tally(model string) *tally {
	t, ok := p.tallies[model]
	if !ok {
		t = &tally{domains: map[string]int{}, zones: map[string]int{}}
		p.tallies[model] = t
	}
	return t
}

// count adds a sound replica to the counts of its model, or takes it away.
func (p *Planner) count(n *replicaNode, delta int) {
	t := p.tally(n.Model)
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

// check judges a replica again after one of its members changed.
func (p *Planner) check(n *replicaNode) {
	was := n.cause
	p.judge(n)
	if was == "" && n.cause != "" {
		p.count(n, -1)
	}
	if was != "" && n.cause == "" {
		p.count(n, 1)
	}
	setMember(p.broken, n, n.cause != "")
	setMember(p.incomplete, n, !n.complete && n.cause == "")
}

func setMember(set map[string]*replicaNode, n *replicaNode, in bool) {
	if in {
		set[n.Name] = n
	} else {
		delete(set, n.Name)
	}
}

// judge works out what a replica's members say about it.
func (p *Planner) judge(n *replicaNode) {
	n.cause, n.missing, n.loading, n.ready, n.complete = "", 0, 0, 0, true
	if n.Dissolving {
		n.cause = causeDissolving
	}
	for _, id := range n.VMs {
		v, ok := p.vms[id]
		cause := p.memberFault(v, ok)
		if cause != "" {
			n.missing++
			if n.cause == "" {
				n.cause = cause
			}
			continue
		}
		if v.memberReady(n) {
			n.ready++
			continue
		}
		n.complete = false
		if !v.Holds(n.Model) {
			n.loading += p.models[n.Model].WeightBytes
		}
	}
}

// memberFault returns why a member breaks its replica, empty if it does not.
func (p *Planner) memberFault(v *vmNode, listed bool) Cause {
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

// inCurrentReplica reports whether the last report names the replica that the
// VM belongs to.
func (v *vmNode) inCurrentReplica() bool {
	r := v.replica
	return r != nil && v.Report.Replica == r.Name && v.Report.Generation == int64(r.Generation)
}

// memberReady reports whether the VM is a working member of the replica.
func (v *vmNode) memberReady(n *replicaNode) bool {
	return v.Report.State == port.EngineReady &&
		v.Report.Replica == n.Name && v.Report.Generation == int64(n.Generation)
}

// Plan returns what to do next, dissolutions first. It leaves the index as it
// was: actions show up in it once they are reported by SetReplica.
func (p *Planner) Plan(now time.Time) []Action {
	r := &run{Planner: p, now: now}
	r.dissolveBroken()
	r.dissolveOverdue()
	r.dissolveUnwanted()
	r.retireCrossDomain()
	r.formWanted()
	r.preempt()
	r.undo()
	return r.actions()
}
