package formation

import (
	"maps"
	"math"
	"time"

	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/fleet"
)

// reservationTimeout bounds how long a domain is reserved for the model in
// whose favour a replica is closed; the replica's requests may take some
// seconds to end.
const reservationTimeout = 10 * time.Second

// repairTime is how long a replica that is being dismantled may be expected to be formed
// again from its other members and spares.
const repairTime = time.Second

// reservation reserves the VMs of a domain for a model.
type reservation struct {
	model string
	// replica is being closed to free VMs for the model. No replica is formed
	// in the domain until it is released.
	replica   string
	expiresAt time.Duration
}

// domainOpenTo reports whether a replica of a model may be formed in a domain
// now, given the domain's reservation.
func (r *round) domainOpenTo(domain, model string) bool {
	res, ok := r.reservations[domain]
	if !ok || r.now > res.expiresAt {
		return true
	}
	a, known := r.replicas[res.replica]
	return res.model == model && (!known || a.released)
}

// reallocate closes a replica of a model with high coverage, so that its VMs
// can form one of the model with the lowest coverage, if free VMs can't form
// that one. It does so only where the new replica needs no load; otherwise
// neither the closed nor the new replica would serve during the load, which
// would cost more than the new replica gains.
func (r *round) reallocate(s fleet.Service, d *demand, free map[string][]fleet.VM) {
	if r.s.NoRequestYet() {
		return
	}
	underserved, ok := r.leastCovered(s, d)
	if !ok || r.formableWithoutLoad(underserved, free) || r.beingRepaired(underserved) {
		return
	}
	var best *replica
	var bestDomain string
	fewestLeft := 0
	for _, name := range sortedNames(r.replicas) {
		a := r.replicas[name]
		m, known := s.Engine.Model(a.model)
		if !known || a.service != s.Name || !r.canBeClosed(a) || !closingImproves(d, underserved, m) {
			continue
		}
		vms := r.usableMembers(a)
		if len(vms) < m.Size || !r.domainOpenTo(vms[0].Domain, underserved.Name) {
			continue
		}
		domain := vms[0].Domain
		available := len(free[domain]) + len(vms)
		left := available - underserved.Size
		if canBeUndone(d, underserved, m, available/underserved.Size) {
			continue
		}
		if (best == nil || left < fewestLeft) && formsWithoutLoad(underserved, free[domain], vms) {
			best, bestDomain, fewestLeft = a, domain, left
		}
	}
	if best == nil {
		return
	}
	best.reallocated = true
	r.reservations[bestDomain] = reservation{model: underserved.Name, replica: best.name, expiresAt: r.now + reservationTimeout}
	r.s.Logger.Info(decisions.ReplicaTraded, "replica", best.name, "model", best.model, "for", underserved.Name, "domain", bestDomain,
		"rank", d.formedCoverage(best.model), "for_rank", d.coverage(underserved.Name), "free", len(free[bestDomain]))
}

// leastCovered returns the model with the lowest coverage below 1; false if
// there is none or a domain is already reserved for it.
func (r *round) leastCovered(s fleet.Service, d *demand) (fleet.Model, bool) {
	var underserved fleet.Model
	found := false
	for _, m := range s.Engine.Models {
		if c := d.coverage(m.Name); c < 1 && (!found || c < d.coverage(underserved.Name)) {
			underserved, found = m, true
		}
	}
	for domain, res := range r.reservations {
		if r.now > res.expiresAt {
			delete(r.reservations, domain)
		} else if res.model == underserved.Name {
			return underserved, false
		}
	}
	return underserved, found
}

// beingRepaired reports whether a replica of a model has begun to be dismantled within
// repairTime.
func (r *round) beingRepaired(m fleet.Model) bool {
	for _, a := range r.replicas {
		if a.model == m.Name && !a.standby && !a.released && a.dismantlingSince > 0 && r.now-a.dismantlingSince < repairTime {
			return true
		}
	}
	return false
}

// formableWithoutLoad reports whether free VMs can form a replica of a model
// without a load.
func (r *round) formableWithoutLoad(m fleet.Model, free map[string][]fleet.VM) bool {
	for _, vms := range free {
		if formsWithoutLoad(m, vms) {
			return true
		}
	}
	return false
}

// formsWithoutLoad reports whether lists of VMs of one domain together can form a replica of
// a model without a load.
func formsWithoutLoad(m fleet.Model, lists ...[]fleet.VM) bool {
	n := 0
	for _, vms := range lists {
		for _, vm := range vms {
			if _, load := joinTime(vm, m); !load {
				n++
			}
		}
	}
	return n >= m.Size
}

// canBeClosed reports whether a replica was ordered to open and is neither a
// standby nor released, being closed in favour of one of another model or being
// dismantled, and that it is not in a barred zone.
func (r *round) canBeClosed(a *replica) bool {
	return a.openSent && !a.released && !a.standby && !a.reallocated && a.dismantlingSince == 0 && !r.replicaBarred(a)
}

// usableMembers returns the members of a replica that are listed, available and
// not leaving.
func (r *round) usableMembers(a *replica) []fleet.VM {
	var out []fleet.VM
	for _, id := range a.members {
		if vm, ok := r.view.VM(id); ok && vm.Member.Replica == a.name && !vm.Leaving && !vm.Unlisted && !r.unavailable(vm) {
			out = append(out, vm)
		}
	}
	return out
}

// closingImproves reports whether another model would, with one replica fewer,
// still have a higher coverage than the underserved model has now, without the replicas
// that wait to be formed.
func closingImproves(d *demand, underserved, other fleet.Model) bool {
	if other.Name == underserved.Name || d.desired[other.Name] <= 0 {
		return false
	}
	return d.formedCoverage(other.Name)-1/d.desired[other.Name] > d.coverage(underserved.Name)
}

// canBeUndone reports whether closing a replica of another model would make it an improvement
// to close one of the underserved model instead, given that the VMs that are then free in the
// domain can form up to fitting replicas of the underserved model. Replicas would be closed
// for each other in turn.
func canBeUndone(d *demand, underserved, other fleet.Model, fitting int) bool {
	missing := int(math.Ceil(d.desired[underserved.Name])) - d.formed[underserved.Name] - d.waiting[underserved.Name]
	after := &demand{formed: maps.Clone(d.formed), waiting: d.waiting, desired: d.desired}
	after.formed[underserved.Name] += min(fitting, missing)
	after.formed[other.Name]--
	return closingImproves(after, other, underserved)
}
