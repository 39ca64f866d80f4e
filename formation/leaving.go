package formation

import (
	"time"

	"github.com/tamarackcleat/tamarackcleat/fleet"
)

const (
	// drainShare is the part of Settings.DrainTime after which a replica with a
	// leaving member is dismantled at the latest; the rest is left for the
	// orders to take effect.
	drainShare = 0.8
	// queuedDrainShare takes the place of drainShare while another replica of
	// the domain is being formed or dismantled. It may exceed 1 because a
	// leaving VM stays for up to ten seconds while the head of its replica has
	// requests.
	queuedDrainShare = 1.4
	// leaveBatchWindow is how long the planner waits for more members to leave
	// after the latest one, so that one new replica replaces all of them. It is
	// short compared with a repair, which takes about a second.
	leaveBatchWindow = 300 * time.Millisecond
)

// keepsServing reports whether a replica with a leaving member other than its
// head is to keep serving for now. A domain's replicas are dismantled one at a
// time, and only once the remaining members and free VMs can form a new replica
// without a load. If they can't, the replica serves until drainShare or
// queuedDrainShare of the drain time has passed.
func (r *round) keepsServing(a *replica, rep fleet.Replica) bool {
	firstLeaving, lastLeaving := time.Duration(0), time.Duration(0)
	var healthy []fleet.VM
	for _, m := range rep.Members {
		if !m.Leaving {
			healthy = append(healthy, m)
			continue
		}
		lastLeaving = max(lastLeaving, m.LeavingSince)
		if firstLeaving == 0 || m.LeavingSince < firstLeaving {
			firstLeaving = m.LeavingSince
		}
	}
	domain := rep.Members[0].Domain
	busy, share := r.domainBusy(domain), drainShare
	if busy {
		share = queuedDrainShare
	}
	switch {
	case float64(r.now-firstLeaving) >= share*float64(r.s.DrainTime):
		return false
	case busy || r.now-lastLeaving < leaveBatchWindow:
		return true
	}
	s := r.view.Config.Services[a.service]
	m, ok := s.Engine.Model(a.model)
	if !ok {
		return false
	}
	c, ok := newCandidate(m, append(healthy, r.freeOf(r.inventory.service(a.service).domains[domain])...))
	return !ok || c.loads > 0
}

// domainBusy reports whether a replica of a domain is being formed or
// dismantled. A replica that has just been released counts as well, because its
// members form a new one once they have answered probes.
func (r *round) domainBusy(domain string) bool {
	for _, a := range r.replicas {
		done := a.released && r.now-a.releasedAt >= probeTimeout
		if done || a.standby || len(a.members) == 0 || !a.released && a.isServing(r.reported[a.name]) {
			continue
		}
		if vm, ok := r.view.VM(a.members[0]); ok && vm.Domain == domain {
			return true
		}
	}
	return false
}
