package formation

import (
	"slices"
	"time"

	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/fleet"
)

// reserveFor bounds how long a domain is kept for the model that a replica was
// closed for: its requests may take some seconds to end.
const reserveFor = 10 * time.Second

// reservation keeps the VMs of a domain for a model.
type reservation struct {
	model string
	// replica is closed to make room; until it is released nothing is formed.
	replica string
	until   time.Duration
}

// reservedFor reports whether a replica of a model may be formed in a domain now.
func (r *round) reservedFor(domain, model string) bool {
	res, ok := r.reserved[domain]
	if !ok || r.now > res.until {
		return true
	}
	a, known := r.replicas[res.replica]
	return res.model == model && (!known || a.released)
}

// trade closes a replica of a model that has more than its part for one that is
// behind and can't be formed of free VMs. It needs no load, or it would not be
// worth the time in which both are missing.
func (r *round) trade(s fleet.Service, free map[string][]fleet.VM) {
	if r.s.Idle() {
		return
	}
	ranks := r.ranks(s)
	needy, ok := r.furthestBehind(s, ranks)
	if !ok || r.formable(needy, free) {
		return
	}
	var best *replica
	var bestDomain string
	fewest := 0
	for _, name := range sortedNames(r.replicas) {
		a := r.replicas[name]
		m, known := s.Engine.Model(a.model)
		if !known || a.service != s.Name || !r.tradeable(a) || !improves(ranks, needy, m, r.want(s)) {
			continue
		}
		vms := r.vmsOf(a)
		if len(vms) < m.Size || !r.reservedFor(vms[0].Domain, needy.Name) {
			continue
		}
		domain := vms[0].Domain
		c, fits := newCandidate(needy, slices.Concat(free[domain], vms))
		left := len(free[domain]) + len(vms) - needy.Size
		if fits && c.loads == 0 && (best == nil || left < fewest) {
			best, bestDomain, fewest = a, domain, left
		}
	}
	if best == nil {
		return
	}
	best.traded = true
	r.reserved[bestDomain] = reservation{model: needy.Name, replica: best.name, until: r.now + reserveFor}
	r.s.Logger.Info(decisions.ReplicaTraded, "replica", best.name, "model", best.model, "for", needy.Name, "domain", bestDomain,
		"rank", ranks[best.model], "for_rank", ranks[needy.Name], "free", len(free[bestDomain]))
}

// furthestBehind returns the model that is furthest behind its part, if no domain
// is being cleared for it.
func (r *round) furthestBehind(s fleet.Service, ranks map[string]float64) (fleet.Model, bool) {
	var needy fleet.Model
	found := false
	for _, m := range s.Engine.Models {
		if ranks[m.Name] < 1 && (!found || ranks[m.Name] < ranks[needy.Name]) {
			needy, found = m, true
		}
	}
	for domain, res := range r.reserved {
		if r.now > res.until {
			delete(r.reserved, domain)
		} else if res.model == needy.Name {
			return needy, false
		}
	}
	return needy, found
}

// formable reports whether a replica can be formed of free VMs without a load.
func (r *round) formable(m fleet.Model, free map[string][]fleet.VM) bool {
	for _, vms := range free {
		if c, ok := newCandidate(m, vms); ok && c.loads == 0 {
			return true
		}
	}
	return false
}

// tradeable reports whether a replica serves and nothing else ends it.
func (r *round) tradeable(a *replica) bool {
	return a.openSent && !a.released && !a.standby && !a.traded && a.lostAt == 0
}

// vmsOf returns the usable members of a replica.
func (r *round) vmsOf(a *replica) []fleet.VM {
	var out []fleet.VM
	for _, id := range a.members {
		if vm, ok := r.view.VMs[id]; ok && vm.Member.Replica == a.name && !vm.Leaving && !vm.Lapsed && !r.lost(vm) {
			out = append(out, vm)
		}
	}
	return out
}

// improves reports whether the model furthest behind is better off after one
// replica less of another model, and that one not worse than it was.
func improves(ranks map[string]float64, needy, other fleet.Model, want map[string]float64) bool {
	if other.Name == needy.Name || want[other.Name] == 0 {
		return false
	}
	return ranks[other.Name]-1/want[other.Name] > ranks[needy.Name]
}
