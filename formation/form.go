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
	// scarceRank is the part of a model's replicas below which one is formed
	// of VMs that hold another model. Above it they wait for a spare, with
	// which they serve their own again in a second or two.
	scarceRank = 0.6
	// rejoinTime is what a VM takes to join a replica of the model that its
	// last one had.
	rejoinTime = 200 * time.Millisecond
)

// free reports whether a VM can join a replica.
func (r *round) free(vm fleet.VM) bool {
	if vm.Leaving || vm.Lapsed || r.lost(vm) {
		return false
	}
	if a, ok := r.ownerOf(vm.ID); ok {
		return a.standby && !r.loadingStandby(a, vm)
	}
	if vm.Member.Replica == "" {
		return true
	}
	a, ok := r.replicas[vm.Member.Replica]
	return ok && (a.released || a.standby && !r.loadingStandby(a, vm))
}

// ownerOf returns the replica or standby that a VM was ordered to join.
func (r *round) ownerOf(vm string) (*replica, bool) {
	if r.owners == nil {
		r.owners = make(map[string]*replica, len(r.view.VMs))
		for _, a := range r.replicas {
			for _, id := range a.members {
				// A replica goes before a standby that it takes a VM from.
				if other, taken := r.owners[id]; !a.released && (!taken || other.standby) {
					r.owners[id] = a
				}
			}
		}
	}
	a, ok := r.owners[vm]
	return a, ok
}

// loadingStandby reports whether a standby still loads its model.
func (r *round) loadingStandby(a *replica, vm fleet.VM) bool {
	joining := vm.Member.Replica != a.name || vm.Member.State == fleet.MemberJoining
	return joining && r.now-a.formedAt < a.expect+joinSlack
}

// keepStandby gives a standby up whose VM is gone or in use elsewhere.
func (r *round) keepStandby(a *replica) {
	if len(a.members) == 0 {
		return
	}
	vm, ok := r.view.VMs[a.members[0]]
	elsewhere := vm.Member.Replica != "" && vm.Member.Replica != a.name && vm.Member.Generation > a.generation
	if !ok || r.lost(vm) || vm.Leaving || vm.Lapsed || elsewhere {
		r.release(a, "standby_lost")
		return
	}
	if vm.Member.Replica != a.name && r.now-a.formedAt > a.expect+joinSlack {
		r.release(a, "standby_failed")
	}
}

// freeByDomain returns the free VMs of a service by domain.
func (r *round) freeByDomain(service string) map[string][]fleet.VM {
	out := map[string][]fleet.VM{}
	for _, id := range sortedNames(r.view.VMs) {
		vm := r.view.VMs[id]
		if vm.Service == service && r.free(vm) {
			out[vm.Domain] = append(out[vm.Domain], vm)
		}
	}
	return out
}

// joinTime returns how long a VM takes to join a replica of a model, and
// whether it loads from the weight store.
func joinTime(vm fleet.VM, m fleet.Model) (time.Duration, bool) {
	switch {
	case vm.LastModel == m.Name:
		return rejoinTime, false
	case slices.Contains(vm.Staged, m.Name):
		return m.WarmTime, false
	}
	return m.LoadTime, true
}

// candidate is a set of VMs that could form a replica.
type candidate struct {
	model fleet.Model
	vms   []fleet.VM
	loads int
	// spoils lists models whose last spare in the domain loads.
	spoils []string
	time   time.Duration
	rank   float64
}

// form begins new replicas while there are VMs, demand and room for loads. It
// reports whether one still waits for its VMs to answer or for room.
func (r *round) form(s fleet.Service) bool {
	for {
		free := r.freeByDomain(s.Name)
		r.trade(s, free)
		c, ok := r.bestCandidate(s, free)
		if !ok {
			return false
		}
		if c.loads > 0 && !r.mayLoad(s.Engine, c.loads) || !r.confirm(c) {
			return true
		}
		r.begin(s, c)
	}
}

// confirm reports whether all VMs of a candidate showed lately that they can be
// ordered, and probes those that didn't.
func (r *round) confirm(c candidate) bool {
	ok := true
	for _, vm := range c.vms {
		if !r.fresh(vm) {
			ok, r.confirming = false, true
			r.probe(vm)
		}
	}
	return ok
}

// bestCandidate returns the replica to form next: that of the model that is
// furthest behind its part, and among its domains the one that is ready first.
func (r *round) bestCandidate(s fleet.Service, free map[string][]fleet.VM) (candidate, bool) {
	ranks := r.ranks(s)
	steady := map[string]bool{}
	for domain, vms := range free {
		steady[domain] = r.steady(domain, len(vms))
	}
	var best candidate
	found := false
	for _, m := range s.Engine.Models {
		if ranks[m.Name] >= 1 {
			continue
		}
		for _, domain := range slices.Sorted(maps.Keys(free)) {
			c, ok := newCandidate(m, free[domain])
			if !ok || !r.reservedFor(domain, m.Name) || !r.worthLoading(c, ranks) || c.loads > 0 && !steady[domain] {
				continue
			}
			c.rank = ranks[m.Name]
			if !found || better(c, best) {
				best, found = c, true
			}
		}
	}
	return best, found
}

// ranks returns the replicas of each model, forming ones included, as a part of
// those that it should have by its share of the work. A model that should have
// none ranks 1.
func (r *round) ranks(s fleet.Service) map[string]float64 {
	counts, want := r.counts(s.Name), r.want(s)
	out := map[string]float64{}
	for _, m := range s.Engine.Models {
		out[m.Name] = 1
		if want[m.Name] > 0 {
			out[m.Name] = float64(counts[m.Name]) / want[m.Name]
		}
	}
	return out
}

// want returns the replicas that each model should have by its share of the work.
func (r *round) want(s fleet.Service) map[string]float64 {
	total := float64(r.total(s.Name))
	out := map[string]float64{}
	for _, m := range s.Engine.Models {
		out[m.Name] = m.Share * total / float64(m.Size)
	}
	return out
}

// worthLoading reports whether a candidate may load weights. Where its model is
// not scarce, only a few VMs do, and none that is the last spare of a model
// further behind.
func (r *round) worthLoading(c candidate, ranks map[string]float64) bool {
	rank := ranks[c.model.Name]
	if c.loads == 0 || rank < scarceRank || r.s.Idle() {
		return true
	}
	if c.loads > repairLoads {
		return false
	}
	for _, model := range c.spoils {
		if ranks[model] <= rank {
			return false
		}
	}
	return true
}

// better orders candidates.
func better(a, b candidate) bool {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.time, b.time), cmp.Compare(a.loads, b.loads)) < 0
}

// newCandidate picks the VMs of a domain that are ready first.
func newCandidate(m fleet.Model, free []fleet.VM) (candidate, bool) {
	if len(free) < m.Size {
		return candidate{}, false
	}
	vms := slices.Clone(free)
	slices.SortStableFunc(vms, func(a, b fleet.VM) int {
		ta, _ := joinTime(a, m)
		tb, _ := joinTime(b, m)
		return cmp.Or(cmp.Compare(ta, tb), cmp.Compare(len(a.Staged), len(b.Staged)))
	})
	c := candidate{model: m, vms: vms[:m.Size]}
	for _, vm := range c.vms {
		t, load := joinTime(vm, m)
		c.time = max(c.time, t)
		if load {
			c.loads++
			if spares(free, vm.Holds()) == 1 {
				c.spoils = append(c.spoils, vm.Holds())
			}
		}
	}
	return c, true
}

// spares counts the VMs that hold a model; none counts for no model.
func spares(free []fleet.VM, model string) int {
	n := 0
	for _, vm := range free {
		if model != "" && vm.Holds() == model {
			n++
		}
	}
	return n
}

// counts returns the replicas of a service by model, those forming included.
func (r *round) counts(service string) map[string]int {
	out := map[string]int{}
	for _, a := range r.replicas {
		if a.service == service && !a.released && !a.standby && a.lostAt == 0 {
			out[a.model]++
		}
	}
	return out
}

// total returns the number of usable VMs of a service.
func (r *round) total(service string) int {
	n := 0
	for _, vm := range r.view.VMs {
		if vm.Service == service && !vm.Leaving && !vm.Lapsed {
			n++
		}
	}
	return n
}

// mayLoad reports whether loads may start now: few at once, because loads
// beyond a number slow each other, and no more in a window than the weight
// store allows.
func (r *round) mayLoad(e *fleet.Engine, n int) bool {
	if r.s.Idle() {
		return true
	}
	r.loads = slices.DeleteFunc(r.loads, func(at time.Duration) bool { return r.now-at > r.s.LoadWindow })
	allowed := int(e.LoadsPerSecond * r.s.LoadWindow.Seconds())
	atOnce := e.LoadsAtOnce
	if n <= repairLoads {
		atOnce *= repairFactor
	}
	return r.loadsUnderWay() < atOnce && len(r.loads)+n <= max(allowed, n)
}

const (
	// repairLoads is the number of loads up to which a replica counts as
	// repaired rather than formed; repairs may slow other loads by
	// repairFactor.
	repairLoads  = 2
	repairFactor = 2
)

// loadsUnderWay counts loads that were ordered and are not reported as done.
func (r *round) loadsUnderWay() int {
	n := 0
	for _, a := range r.replicas {
		if a.released || a.openSent {
			continue
		}
		if a.standby && r.now-a.formedAt > a.expect+joinSlack {
			continue
		}
		for id := range a.cold {
			if vm := r.view.VMs[id]; vm.Member.Replica != a.name || vm.Member.State == fleet.MemberJoining {
				n++
			}
		}
	}
	return n + len(r.staging)
}

// noteLoads counts loads that start now.
func (r *round) noteLoads(n int) {
	for range n {
		r.loads = append(r.loads, r.now)
	}
}

// begin forms a replica.
func (r *round) begin(s fleet.Service, c candidate) { r.start(s, c, replicaPrefix) }

// start orders the VMs of a candidate to join a replica or standby.
func (r *round) start(s fleet.Service, c candidate, prefix string) {
	name, generation := r.newName(prefix)
	a := &replica{
		name:       name,
		generation: generation,
		model:      c.model.Name,
		service:    s.Name,
		formedAt:   r.now,
		standby:    prefix == standbyPrefix,
		sentAt:     map[string]time.Duration{},
		cold:       map[string]bool{},
	}
	longest := time.Duration(0)
	for _, vm := range c.vms {
		a.members = append(a.members, vm.ID)
		t, load := joinTime(vm, c.model)
		longest = max(longest, t)
		if load {
			a.cold[vm.ID] = true
		}
		r.endStandby(vm.ID)
	}
	a.expect = longest * loadSlowdown
	r.replicas[name] = a
	r.owners = nil
	if res, ok := r.reserved[c.vms[0].Domain]; ok && res.model == c.model.Name && !a.standby {
		delete(r.reserved, c.vms[0].Domain)
	}
	r.noteLoads(len(a.cold))
	r.s.Logger.Info(decisions.ReplicaFormed, "replica", name, "generation", generation, "model", a.model, "standby", a.standby,
		"domain", c.vms[0].Domain, "members", a.members, "loads", len(a.cold), "expect_ms", longest.Milliseconds())
	for _, vm := range c.vms {
		a.sentAt["join "+vm.ID] = r.now
		r.order(r.join(a, vm))
	}
}

// endStandby ends the standby of a VM that joins a replica.
func (r *round) endStandby(vm string) {
	for _, a := range r.replicas {
		if a.standby && slices.Contains(a.members, vm) {
			a.released, r.owners = true, nil
		}
	}
}

// loadSlowdown is the factor by which loads may take longer than alone.
const loadSlowdown = 2

// prepare makes standbys of free VMs that hold no model: each loads one, so
// that it can replace a lost member of its domain at once.
func (r *round) prepare(s fleet.Service) {
	free := r.freeByDomain(s.Name)
	for _, domain := range slices.Sorted(maps.Keys(free)) {
		held := r.standbys(s.Name, domain)
		for _, vm := range free[domain] {
			m, ok := r.standbyModel(s, vm, free[domain], held)
			if !ok {
				continue
			}
			held[m.Name]++
			r.start(s, candidate{model: m, vms: []fleet.VM{vm}}, standbyPrefix)
		}
	}
}

// standbyModel returns the model that a free VM should get ready for; false for
// one that has a model loaded, or must wait for its load.
func (r *round) standbyModel(s fleet.Service, vm fleet.VM, free []fleet.VM, held map[string]int) (fleet.Model, bool) {
	if vm.LastModel != "" {
		return fleet.Model{}, false
	}
	if len(vm.Staged) > 0 {
		return s.Engine.Model(vm.Staged[0])
	}
	if !r.mayLoad(s.Engine, 1) {
		return fleet.Model{}, false
	}
	if m, ok := r.incomplete(s, free); ok {
		return m, true
	}
	return fewestSpares(s.Engine.Models, held), true
}

// incomplete returns the model of a lost replica whose members wait in a domain
// for one more VM; of several, the one that is furthest behind its part.
func (r *round) incomplete(s fleet.Service, free []fleet.VM) (fleet.Model, bool) {
	ranks := r.ranks(s)
	var best fleet.Model
	found := false
	for _, m := range s.Engine.Models {
		if ranks[m.Name] >= 1 || spares(free, m.Name)%m.Size != m.Size-1 {
			continue
		}
		if !found || ranks[m.Name] < ranks[best.Name] {
			best, found = m, true
		}
	}
	return best, found
}

// standbys counts the standbys of a domain by model, loading ones included.
func (r *round) standbys(service, domain string) map[string]int {
	out := map[string]int{}
	for _, a := range r.replicas {
		if !a.standby || a.released || a.service != service || len(a.members) == 0 {
			continue
		}
		if vm, ok := r.view.VMs[a.members[0]]; ok && vm.Domain == domain {
			out[a.model]++
		}
	}
	return out
}

// fewestSpares returns the model to prepare the next standby for. Standbys are
// divided by highest averages over the VMs of a replica, each of which may be
// lost; a model without one goes first among equals.
func fewestSpares(models []fleet.Model, held map[string]int) fleet.Model {
	return slices.MinFunc(models, func(a, b fleet.Model) int {
		return cmp.Or(
			cmp.Compare((held[a.Name]+1)*b.Size, (held[b.Name]+1)*a.Size),
			cmp.Compare(held[a.Name], held[b.Name]),
			cmp.Compare(b.Size, a.Size),
		)
	})
}
