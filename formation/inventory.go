package formation

import (
	"cmp"
	"slices"

	"github.com/tamarackcleat/tamarackcleat/fleet"
)

// inventory holds the VMs of a view by service and fabric domain. It is made once a round,
// so that the steps of the round need not search all VMs.
type inventory struct {
	services map[string]*serviceVMs
	// unlisted holds the VMs whose reports are no longer listed, in no order.
	unlisted []fleet.VM
}

// serviceVMs holds the VMs of a service.
type serviceVMs struct {
	// domains holds the VMs by fabric domain, in no order.
	domains map[string][]fleet.VM
	// usable is the number of VMs that are listed and not leaving, evacuated that of
	// those of them that are in an evacuated zone.
	usable, evacuated int
	// hostCapacity is the number of models that a host can keep. It is estimated as the
	// largest number that any host reports, and at least 1.
	hostCapacity int
}

func newInventory(v *fleet.View) *inventory {
	inv := &inventory{services: map[string]*serviceVMs{}}
	for vm := range v.All() {
		s, ok := inv.services[vm.Service]
		if !ok {
			s = &serviceVMs{domains: map[string][]fleet.VM{}, hostCapacity: 1}
			inv.services[vm.Service] = s
		}
		s.domains[vm.Domain] = append(s.domains[vm.Domain], vm)
		s.hostCapacity = max(s.hostCapacity, len(vm.Staged))
		if !vm.Leaving && !vm.Unlisted {
			s.usable++
			if v.Evacuated(vm.Zone) {
				s.evacuated++
			}
		}
		if vm.Unlisted {
			inv.unlisted = append(inv.unlisted, vm)
		}
	}
	return inv
}

// service returns the VMs of a service, which may be none.
func (inv *inventory) service(name string) *serviceVMs {
	if s, ok := inv.services[name]; ok {
		return s
	}
	return &serviceVMs{hostCapacity: 1}
}

// freeByDomain returns the free VMs, without barred ones, of a service by fabric
// domain, sorted by ID.
func (r *round) freeByDomain(service string) map[string][]fleet.VM {
	out := map[string][]fleet.VM{}
	for domain, vms := range r.inventory.service(service).domains {
		if free := r.freeOf(vms); len(free) > 0 {
			out[domain] = free
		}
	}
	return out
}

// freeOf returns those of the VMs that are free and not barred, sorted by ID.
func (r *round) freeOf(vms []fleet.VM) []fleet.VM {
	var out []fleet.VM
	for _, vm := range vms {
		if r.free(vm) && !r.barred(vm) {
			out = append(out, vm)
		}
	}
	sortByID(out)
	return out
}

func sortByID(vms []fleet.VM) {
	slices.SortFunc(vms, func(a, b fleet.VM) int { return cmp.Compare(a.ID, b.ID) })
}
