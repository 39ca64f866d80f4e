package formation

import (
	"time"

	"github.com/tamarackcleat/tamarackcleat/fleet"
)

const (
	// leavingShare is the part of the time for which a leaving VM goes on after
	// which its replica is ended at the latest; the rest is for orders.
	leavingShare = 0.8
	// turnShare is that of a replica that waits for another one of its domain: a
	// leaving VM stays while its head has work, for up to ten seconds.
	turnShare = 1.4
	// leavingTogether is how long other VMs of a domain that leave with one are
	// waited for, so that a replica is formed anew once for all of them. It is
	// short against a repair, which takes about a second.
	leavingTogether = 300 * time.Millisecond
)

// servesOn reports whether a replica with a leaving member other than its head
// goes on for now. One replica of a domain is ended at a time, and only once its
// sound members and free VMs make a new one without a load; where they don't, it
// serves as long as its members stay.
func (r *round) servesOn(a *replica, rep fleet.Replica) bool {
	first, last := time.Duration(0), time.Duration(0)
	var sound []fleet.VM
	for _, m := range rep.Members {
		if !m.Leaving {
			sound = append(sound, m)
			continue
		}
		last = max(last, m.LeavingSince)
		if first == 0 || m.LeavingSince < first {
			first = m.LeavingSince
		}
	}
	domain := rep.Members[0].Domain
	changing, share := r.changing(domain), leavingShare
	if changing {
		share = turnShare
	}
	switch {
	case float64(r.now-first) >= share*float64(r.s.Drain):
		return false
	case changing || r.now-last < leavingTogether:
		return true
	}
	s := r.view.Config.Services[a.service]
	m, ok := s.Engine.Model(a.model)
	if !ok {
		return false
	}
	c, ok := newCandidate(m, append(sound, r.freeByDomain(a.service)[domain]...))
	return !ok || c.loads > 0
}

// changing reports whether a replica of a domain is being ended or formed. One
// whose members have just become free is formed anew in the same round.
func (r *round) changing(domain string) bool {
	for _, a := range r.replicas {
		over := a.released && a.releasedAt < r.now
		if over || a.standby || len(a.members) == 0 || !a.released && a.serves(r.reported[a.name]) {
			continue
		}
		if vm, ok := r.view.VMs[a.members[0]]; ok && vm.Domain == domain {
			return true
		}
	}
	return false
}
