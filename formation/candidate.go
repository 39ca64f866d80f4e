package formation

import (
	"cmp"
	"slices"
	"time"

	"github.com/tamarackcleat/tamarackcleat/fleet"
)

// candidate is a set of VMs that could form a replica of a model.
type candidate struct {
	model fleet.Model
	vms   []fleet.VM
	loads int
	// lastSpares lists the models of which only one free VM in the domain holds
	// a copy, if this replica uses that VM for another model.
	lastSpares []string
	joinTime   time.Duration
	coverage   float64
}

// candidates holds the candidates of a service, one for each model and domain whose free VMs
// suffice.
type candidates struct {
	round   *round
	service fleet.Service
	free    map[string][]fleet.VM
	// domains holds the names of the domains in ascending order. stable says for which of
	// them loads may start (see round.freeCountStable).
	domains []string
	stable  map[string]bool
	byModel map[string]map[string]candidate
}

// newCandidates returns the candidates that free VMs, by domain, can form.
func newCandidates(r *round, s fleet.Service, free map[string][]fleet.VM) *candidates {
	c := &candidates{
		round: r, service: s, free: free, domains: sortedNames(free), stable: map[string]bool{}, byModel: map[string]map[string]candidate{},
	}
	for _, m := range s.Engine.Models {
		c.byModel[m.Name] = map[string]candidate{}
	}
	for _, domain := range c.domains {
		c.stable[domain] = r.freeCountStable(domain, len(free[domain]))
		c.update(domain)
	}
	return c
}

// update makes the candidates of a domain anew.
func (c *candidates) update(domain string) {
	for _, m := range c.service.Engine.Models {
		delete(c.byModel[m.Name], domain)
		if made, ok := newCandidate(m, c.free[domain]); ok {
			c.byModel[m.Name][domain] = made
		}
	}
}

// take removes the VMs of a candidate from the free ones.
func (c *candidates) take(taken candidate) {
	domain := taken.vms[0].Domain
	used := map[string]bool{}
	for _, vm := range taken.vms {
		used[vm.ID] = true
	}
	left := slices.DeleteFunc(slices.Clone(c.free[domain]), func(vm fleet.VM) bool { return used[vm.ID] })
	if len(left) == 0 {
		delete(c.free, domain)
	} else {
		c.free[domain] = left
	}
	c.update(domain)
}

// best returns the replica to form next: one of the model with the lowest
// coverage, in the domain where it is ready first.
func (c *candidates) best(d *demand) (candidate, bool) {
	var best candidate
	found := false
	for _, m := range c.service.Engine.Models {
		coverage := d.coverage(m.Name)
		if coverage >= 1 {
			continue
		}
		for _, domain := range c.domains {
			next, ok := c.byModel[m.Name][domain]
			if !ok || !c.round.domainOpenTo(domain, m.Name) || !c.round.worthLoading(next, d) || next.loads > 0 && !c.stable[domain] {
				continue
			}
			next.coverage = coverage
			if !found || preferred(next, best) {
				best, found = next, true
			}
		}
	}
	return best, found
}

// worthLoading reports whether a candidate may be formed if it has to load
// weights. Unless its model is scarce, only a few of its VMs may load, and none
// of them may be the last spare of a model whose coverage is as low or lower.
func (r *round) worthLoading(c candidate, d *demand) bool {
	own := d.coverage(c.model.Name)
	if c.loads == 0 || d.scarce(c.model.Name) || r.s.NoRequestYet() {
		return true
	}
	if c.loads > maxRepairLoads {
		return false
	}
	for _, model := range c.lastSpares {
		if d.coverage(model) <= own {
			return false
		}
	}
	return true
}

// preferred reports whether candidate a is to be formed before candidate b:
// lower coverage first, then the shorter join time, then fewer loads.
func preferred(a, b candidate) bool {
	return cmp.Or(cmp.Compare(a.coverage, b.coverage), cmp.Compare(a.joinTime, b.joinTime), cmp.Compare(a.loads, b.loads)) < 0
}

// newCandidate returns a candidate that consists of those free VMs of a domain
// that can join soonest; false if there are too few free VMs.
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
		c.joinTime = max(c.joinTime, t)
		if load {
			c.loads++
			if countSpares(free, vm.LocalModel()) == 1 {
				c.lastSpares = append(c.lastSpares, vm.LocalModel())
			}
		}
	}
	return c, true
}

// countSpares counts the spares of a model, the free VMs whose LocalModel it
// is. It returns 0 for an empty model name.
func countSpares(free []fleet.VM, model string) int {
	n := 0
	for _, vm := range free {
		if model != "" && vm.LocalModel() == model {
			n++
		}
	}
	return n
}
