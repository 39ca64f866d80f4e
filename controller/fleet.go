package controller

import (
	"slices"
	"strings"
	"time"

	"github.com/tamarackcleat/tamarackcleat/health"
	"github.com/tamarackcleat/tamarackcleat/ledger"
	"github.com/tamarackcleat/tamarackcleat/placement"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/record"
)

const (
	// avoidFor is how long a VM that failed to load while its peers did not
	// is left out of new replicas.
	avoidFor = 10 * time.Minute
	// believeShrunkAfter is how long a list that lost most of its VMs must
	// last before it is believed.
	believeShrunkAfter = 5 * time.Minute
)

// fleetState is what the service knows of the engine VMs.
type fleetState struct {
	// at is the time of the last observation.
	at time.Time
	// vms holds the engine VMs of the last observation by ID.
	vms []health.Observation
	// shrunk says that the present list lost most of its VMs at once, at
	// shrunkSince, and is not believed yet.
	shrunk      bool
	shrunkSince time.Time
	// firstSeen is when a VM was first listed.
	firstSeen map[port.VMID]time.Time
	// joined holds the membership and boot in which a VM was last seen to
	// follow the ledger.
	joined map[port.VMID]membership
	// restarted holds the generation whose membership a VM has lost.
	restarted map[port.VMID]record.Position
	// avoidUntil holds VMs that failed to load.
	avoidUntil map[port.VMID]time.Time
}

// membership is a VM's place in a replica during one boot.
type membership struct {
	generation record.Position
	boot       string
}

func newFleetState() fleetState {
	return fleetState{
		firstSeen:  map[port.VMID]time.Time{},
		joined:     map[port.VMID]membership{},
		restarted:  map[port.VMID]record.Position{},
		avoidUntil: map[port.VMID]time.Time{},
	}
}

// observe replaces the VMs and notes members that lost their membership. A
// list that lost most of its VMs is left aside until it has lasted.
func (f *fleetState) observe(now time.Time, all []health.Observation, control *ledger.Control) {
	f.at = now
	engines := listedEngines(all)
	f.shrunk = 2*len(engines) < len(f.vms)
	if !f.shrunk {
		f.shrunkSince = time.Time{}
	} else if f.shrunkSince.IsZero() {
		f.shrunkSince = now
	}
	if f.shrunk && now.Sub(f.shrunkSince) < believeShrunkAfter {
		return
	}
	f.shrunk = false
	f.vms = engines
	f.noteFirstSeen(now)
	for _, o := range engines {
		f.followMembership(o, control)
	}
}

// listedEngines returns the listed engine VMs by ID.
func listedEngines(all []health.Observation) []health.Observation {
	var engines []health.Observation
	for _, o := range all {
		if o.Listed && o.VM.Kind == port.KindEngine {
			engines = append(engines, o)
		}
	}
	slices.SortFunc(engines, func(a, b health.Observation) int {
		return strings.Compare(string(a.VM.ID), string(b.VM.ID))
	})
	return engines
}

// noteFirstSeen keeps the time at which each listed VM was first listed.
func (f *fleetState) noteFirstSeen(now time.Time) {
	firstSeen := make(map[port.VMID]time.Time, len(f.vms))
	for _, o := range f.vms {
		seen, ok := f.firstSeen[o.VM.ID]
		if !ok {
			seen = now
		}
		firstSeen[o.VM.ID] = seen
	}
	f.firstSeen = firstSeen
}

// followMembership notes that a VM joined its replica or has lost it since.
func (f *fleetState) followMembership(o health.Observation, control *ledger.Control) {
	id := o.VM.ID
	name, owned := control.Owner(id)
	if !owned {
		delete(f.joined, id)
		delete(f.restarted, id)
		return
	}
	r, _ := control.Replica(name)
	was, joined := f.joined[id]
	joined = joined && was.generation == r.Generation
	switch {
	case joined && (!inReplica(o.Report, r) || o.Report.Boot != was.boot):
		f.restarted[id] = r.Generation
	case inReplica(o.Report, r):
		f.joined[id] = membership{generation: r.Generation, boot: o.Report.Boot}
	}
}

// inReplica reports whether a report names a replica and its generation.
func inReplica(rep port.Report, r ledger.Replica) bool {
	return rep.Replica == r.Name && rep.Generation == int64(r.Generation) && rep.State != port.EngineIdle
}

// liveness judges a VM by the age of its last report. A VM that never reported
// is judged by the time since it was first listed.
func (f *fleetState) liveness(o health.Observation, now time.Time) placement.Liveness {
	heard := o.LastSeen
	if heard.IsZero() {
		if now.Sub(f.firstSeen[o.VM.ID]) < LostAfter {
			return placement.Suspected
		}
		return placement.Lost
	}
	switch age := now.Sub(heard); {
	case age >= LostAfter:
		return placement.Lost
	case age >= SuspectAfter:
		return placement.Suspected
	}
	return placement.Live
}

// isolated reports whether most VMs that reported before are out of reach, so
// that the fault may be this node's connection.
func (f *fleetState) isolated(now time.Time) bool {
	lost, known := 0, 0
	for _, o := range f.vms {
		if o.LastSeen.IsZero() {
			continue
		}
		known++
		if f.liveness(o, now) == placement.Lost {
			lost++
		}
	}
	return 2*lost > known
}

// plannerVMs returns the VMs as the planner sees them.
func (f *fleetState) plannerVMs(now time.Time, control *ledger.Control) []placement.VM {
	vms := make([]placement.VM, len(f.vms))
	for i, o := range f.vms {
		vms[i] = placement.VM{
			VM:        o.VM,
			Liveness:  f.liveness(o, now),
			Restarted: f.hasRestarted(o.VM.ID, control),
			Avoid:     now.Before(f.avoidUntil[o.VM.ID]),
			Report:    o.Report,
		}
	}
	return vms
}

// hasRestarted reports whether a VM has lost its membership of the replica
// that it belongs to by the ledger.
func (f *fleetState) hasRestarted(id port.VMID, control *ledger.Control) bool {
	name, owned := control.Owner(id)
	if !owned {
		return false
	}
	r, _ := control.Replica(name)
	return f.restarted[id] == r.Generation
}

// find returns a VM of the last observation.
func (f *fleetState) find(id port.VMID) (health.Observation, bool) {
	i, ok := slices.BinarySearchFunc(f.vms, id, func(o health.Observation, id port.VMID) int {
		return strings.Compare(string(o.VM.ID), string(id))
	})
	if !ok {
		return health.Observation{}, false
	}
	return f.vms[i], true
}

// avoidSlow leaves members out of new replicas that are not ready although
// another member of the replica is.
func (f *fleetState) avoidSlow(r ledger.Replica, now time.Time) {
	var slow []port.VMID
	for _, id := range r.VMs {
		o, ok := f.find(id)
		if ok && inReplica(o.Report, r) && o.Report.State == port.EngineReady {
			continue
		}
		slow = append(slow, id)
	}
	if len(slow) == len(r.VMs) {
		return
	}
	for _, id := range slow {
		f.avoidUntil[id] = now.Add(avoidFor)
	}
}
