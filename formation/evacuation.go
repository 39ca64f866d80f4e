package formation

import "github.com/tamarackcleat/tamarackcleat/fleet"

// placeable returns the number of VMs on which replicas may be formed: those outside
// evacuated zones, or all if there are no others.
func (s *serviceVMs) placeable() int {
	if s.usable > s.evacuated {
		return s.usable - s.evacuated
	}
	return s.usable
}

// barred reports whether a VM joins no new replica and loads nothing, because its zone is
// evacuated and its service has usable VMs in another one.
func (r *round) barred(vm fleet.VM) bool {
	if !r.view.Evacuated(vm.Zone) {
		return false
	}
	s := r.inventory.service(vm.Service)
	return s.usable > s.evacuated
}

// replicaBarred reports whether a replica is in a zone whose VMs are barred. Such a replica
// stays as it is, so that the zone needs no loads when its evacuation ends, but it does not
// count for the demand. All members are in one fabric domain, so any of them tells the zone.
func (r *round) replicaBarred(a *replica) bool {
	for _, id := range a.members {
		if vm, known := r.view.VM(id); known {
			return r.barred(vm)
		}
	}
	return false
}
