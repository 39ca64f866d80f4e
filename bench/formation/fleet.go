package formation

import (
	"fmt"
	"time"

	"github.com/tamarackcleat/tamarackcleat/placement"
	"github.com/tamarackcleat/tamarackcleat/port"
)

// vm is a fake engine VM.
type vm struct {
	vm     port.VM
	domain int
	// dark counts the faults that put the VM out of reach.
	dark int
	// darkSince is when it went out of reach.
	darkSince time.Duration
	state     port.EngineState
	replica   *replica
	// former says that the VM still follows a replica that was dissolved
	// while it was out of reach.
	former bool
	// holds is the model whose weights are on the VM.
	holds string
	// toLoad is the number of bytes still to be loaded.
	toLoad float64
	// slowUntil is the end of its time as a straggler, avoidUntil the end of
	// the time in which the controller leaves it out.
	slowUntil, avoidUntil time.Duration
	// joined says that the VM obeyed the order to join its replica, restarted
	// that it has lost that membership since.
	joined, restarted bool
	// last is what the controller saw before the VM went out of reach.
	last placement.VM
}

// replica is a live replica of the fake ledger.
type replica struct {
	placement.Replica
	members []*vm
	cross   bool
}

// complete reports whether every member is up and ready.
func (r *replica) complete() bool {
	for _, v := range r.members {
		if v.dark > 0 || !v.joined || v.vm.Leaving || v.state != port.EngineReady {
			return false
		}
	}
	return true
}

// newFleet returns the idle VMs of a fleet.
func newFleet(f Fleet) []*vm {
	var vms []*vm
	for d, size := range f.Domains {
		for i := range size {
			vms = append(vms, &vm{
				vm: port.VM{
					ID:     port.VMID(fmt.Sprintf("d%02d-%03d", d, i)),
					Kind:   port.KindEngine,
					Domain: fmt.Sprintf("d%02d", d),
					Zone:   fmt.Sprintf("z%d", d%f.Zones),
				},
				domain: d,
				state:  port.EngineIdle,
			})
		}
	}
	return vms
}

// observe returns a VM as the controller sees it. While the VM is out of reach
// that is its last report.
func (v *vm) observe(now, lostAfter time.Duration) placement.VM {
	if v.dark == 0 {
		v.last = v.report()
	}
	o := v.last
	o.VM = v.vm
	o.Excluded = now < v.avoidUntil
	o.Liveness = placement.Live
	if v.dark > 0 && now >= v.darkSince+lostAfter {
		o.Liveness = placement.Lost
	}
	return o
}

// report returns what the VM says of itself.
func (v *vm) report() placement.VM {
	o := placement.VM{
		Restarted: v.restarted && v.replica != nil,
		Report:    port.Report{VM: v.vm.ID, State: v.state},
	}
	if v.replica != nil && v.joined {
		o.Report.Replica = v.replica.Name
		o.Report.Generation = int64(v.replica.Generation)
	}
	if v.holds != "" {
		o.Report.HeldWeights = []string{v.holds}
	}
	return o
}

// stranded reports whether the VM is up and neither serves nor loads. Members
// of a replica that misses another member, or is about to, are stranded too.
func (v *vm) stranded() bool {
	if v.dark > 0 {
		return false
	}
	if v.replica == nil || v.restarted {
		return true
	}
	for _, m := range v.replica.members {
		if m.dark > 0 || m.restarted || m.vm.Leaving {
			return true
		}
	}
	return false
}
