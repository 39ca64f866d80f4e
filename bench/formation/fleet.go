package formation

import (
	"fmt"
	"time"

	"github.com/tamarackcleat/tamarackcleat/placement"
	"github.com/tamarackcleat/tamarackcleat/port"
)

// vm is a simulated engine VM.
type vm struct {
	vm     port.VM
	domain int
	// unreachableFaults is the number of current faults that make the VM
	// unreachable.
	unreachableFaults int
	// unreachableSince is the time at which the VM last became unreachable.
	unreachableSince time.Duration
	state            port.EngineState
	replica          *replica
	// inDissolvedReplica says that the VM still belongs to a replica that was
	// dissolved while the VM was unreachable.
	inDissolvedReplica bool
	// heldModel is the model whose weights are on the VM; empty if none.
	heldModel string
	// bytesToLoad is the number of bytes of weights that the VM still has to
	// load.
	bytesToLoad float64
	// slowUntil is the end of the VM's time as a straggler. avoidUntil is the
	// end of the time in which the VM is not used for new replicas.
	slowUntil, avoidUntil time.Duration
	// joined says that the VM has joined its replica, restarted that it lost
	// that membership in a restart.
	joined, restarted bool
	// lastObserved is the VM's last report before it became unreachable.
	lastObserved placement.VM
}

// replica is a live replica. crossDomain says that its members are in more than
// one fabric domain.
type replica struct {
	placement.Replica
	members     []*vm
	crossDomain bool
}

// complete reports whether every member of the replica is reachable, has joined,
// is ready and is not leaving.
func (r *replica) complete() bool {
	for _, v := range r.members {
		if v.unreachableFaults > 0 || !v.joined || v.vm.Leaving || v.state != port.EngineReady {
			return false
		}
	}
	return true
}

// newFleet returns the VMs of a fleet, all idle and without weights.
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

// observe returns the VM as the controller sees it: its current report, or the
// last one while the VM is unreachable, and whether it counts as lost.
func (v *vm) observe(now, lostAfter time.Duration) placement.VM {
	if v.unreachableFaults == 0 {
		v.lastObserved = v.report()
	}
	o := v.lastObserved
	o.VM = v.vm
	o.Excluded = now < v.avoidUntil
	o.Liveness = placement.Live
	if v.unreachableFaults > 0 && now >= v.unreachableSince+lostAfter {
		o.Liveness = placement.Lost
	}
	return o
}

// report returns the VM's current report.
func (v *vm) report() placement.VM {
	o := placement.VM{
		Restarted: v.restarted && v.replica != nil,
		Report:    port.Report{VM: v.vm.ID, State: v.state},
	}
	if v.replica != nil && v.joined {
		o.Report.Replica = v.replica.Name
		o.Report.Generation = int64(v.replica.Generation)
	}
	if v.heldModel != "" {
		o.Report.HeldWeights = []string{v.heldModel}
	}
	return o
}

// stranded reports whether the VM is reachable but has no use: it belongs to no
// replica, has lost its membership, or another member of its replica is
// unreachable, has lost its membership or is leaving.
func (v *vm) stranded() bool {
	if v.unreachableFaults > 0 {
		return false
	}
	if v.replica == nil || v.restarted {
		return true
	}
	for _, m := range v.replica.members {
		if m.unreachableFaults > 0 || m.restarted || m.vm.Leaving {
			return true
		}
	}
	return false
}
