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
	// avoidFor is how long the planner leaves a VM out of new replicas after
	// the VM did not finish loading while another member of its replica did.
	avoidFor = 10 * time.Minute
	// acceptShrunkAfter is how long a VM list that lost more than half of its
	// VMs must persist before the service uses it.
	acceptShrunkAfter = 5 * time.Minute
)

// fleetState is what the service knows of the engine VMs.
type fleetState struct {
	// observedAt is the time of the latest observation, accepted or not.
	observedAt time.Time
	// vms holds the engine VMs of the latest accepted observation, sorted by
	// ID.
	vms []health.Observation
	// shrunk says that the latest observation lost more than half of the VMs
	// and is not accepted yet. shrunkSince is the time of the first observation
	// with this loss; zero if the latest observation does not show it.
	shrunk      bool
	shrunkSince time.Time
	// firstSeen holds the time at which each VM was first listed.
	firstSeen map[port.VMID]time.Time
	// joined holds, for each VM of a live replica, the membership in its latest
	// report that agreed with the ledger.
	joined map[port.VMID]membership
	// restarted holds, for each VM that joined a replica and lost its
	// membership, as after a restart, the generation of that replica.
	restarted map[port.VMID]record.Position
	// avoidUntil holds the times until which the planner leaves VMs out of new
	// replicas because they did not finish loading.
	avoidUntil map[port.VMID]time.Time
}

// membership is a VM's membership of one generation of a replica. It ends when
// the VM's process restarts, which changes the boot identifier.
type membership struct {
	generation record.Position
	boot       string
	// seen is the observation that showed the membership earliest.
	seen health.Observation
	// doubted says that an observation has contradicted the membership, and may be
	// an earlier one than seen.
	doubted bool
}

// contradiction is an observation that contradicts a membership, found once for each
// membership and value of lost.
type contradiction struct {
	replica    string
	membership membership
	now        health.Observation
	// lost says that now is certainly later than the observation of the membership.
	lost bool
}

func newFleetState() fleetState {
	return fleetState{
		firstSeen:  map[port.VMID]time.Time{},
		joined:     map[port.VMID]membership{},
		restarted:  map[port.VMID]record.Position{},
		avoidUntil: map[port.VMID]time.Time{},
	}
}

// observe replaces the VMs by those of a new observation, records which members of
// replicas have lost their membership, and returns the new contradictions. An
// observation that lists fewer than half as many VMs as before is ignored until such
// lists have persisted for acceptShrunkAfter.
func (f *fleetState) observe(now time.Time, all []health.Observation, control *ledger.Control) []contradiction {
	f.observedAt = now
	engines := listedEngines(all)
	f.shrunk = 2*len(engines) < len(f.vms)
	if !f.shrunk {
		f.shrunkSince = time.Time{}
	} else if f.shrunkSince.IsZero() {
		f.shrunkSince = now
	}
	if f.shrunk && now.Sub(f.shrunkSince) < acceptShrunkAfter {
		return nil
	}
	f.shrunk = false
	f.vms = engines
	f.updateFirstSeen(now)
	var found []contradiction
	for _, o := range engines {
		if c, ok := f.updateMembership(o, control); ok {
			found = append(found, c)
		}
	}
	return found
}

// listedEngines returns the listed engine VMs, sorted by ID.
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

// updateFirstSeen records now as the time at which newly listed VMs were first
// seen, and drops the VMs that are not listed any more.
func (f *fleetState) updateFirstSeen(now time.Time) {
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

// updateMembership records whether a VM has joined the replica that it belongs
// to by the ledger, or has lost that membership since. It returns a new
// contradiction, and false if there is none.
func (f *fleetState) updateMembership(o health.Observation, control *ledger.Control) (contradiction, bool) {
	id := o.VM.ID
	name, owned := control.ReplicaOf(id)
	if !owned {
		delete(f.joined, id)
		delete(f.restarted, id)
		return contradiction{}, false
	}
	r, _ := control.Replica(name)
	last, joined := f.joined[id]
	joined = joined && last.generation == r.Generation
	agrees := inReplica(o.Report, r) && (!joined || o.Report.Boot == last.boot)
	switch {
	case !joined && agrees:
		f.joined[id] = membership{generation: r.Generation, boot: o.Report.Boot, seen: o}
	case joined && agrees && o.ReportedBy.Before(last.seen.ReportedBy):
		last.seen = o
		f.joined[id] = last
	case joined && !agrees:
		return f.contradict(last, o, r)
	}
	return contradiction{}, false
}

// contradict handles an observation that contradicts a VM's membership of replica r.
// The membership is lost only if the observation is certainly the later one: nodes
// probe a VM at different times, and their reports arrive in any order.
func (f *fleetState) contradict(last membership, o health.Observation, r ledger.Replica) (contradiction, bool) {
	c := contradiction{
		replica: r.Name, membership: last, now: o, lost: o.AsOf.After(last.seen.ReportedBy),
	}
	known := last.doubted
	if c.lost {
		known = f.restarted[o.VM.ID] == r.Generation
		f.restarted[o.VM.ID] = r.Generation
	}
	last.doubted = true
	f.joined[o.VM.ID] = last
	return c, !known
}

// inReplica reports whether, according to its report, a VM is a member of
// replica r in the generation of r.
func inReplica(rep port.Report, r ledger.Replica) bool {
	return rep.Replica == r.Name && rep.Generation == int64(r.Generation) && rep.State != port.EngineIdle
}

// liveness derives a VM's liveness from the time since health checking last
// counted the VM as alive, which is usually the age of its last report. A VM that
// was never alive counts as suspected for LostAfter from when it was first
// listed, then as lost.
func (f *fleetState) liveness(o health.Observation, now time.Time) placement.Liveness {
	aliveAt := o.LastSeen
	if aliveAt.IsZero() {
		if now.Sub(f.firstSeen[o.VM.ID]) < LostAfter {
			return placement.Suspected
		}
		return placement.Lost
	}
	switch age := now.Sub(aliveAt); {
	case age >= LostAfter:
		return placement.Lost
	case age >= SuspectAfter:
		return placement.Suspected
	}
	return placement.Live
}

// isolated reports whether more than half of the VMs that ever reported are
// lost, so that the fault may lie in this node's connection.
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

// plannerVMs returns the VMs in the form that the planner takes.
func (f *fleetState) plannerVMs(now time.Time, control *ledger.Control) []placement.VM {
	vms := make([]placement.VM, len(f.vms))
	for i, o := range f.vms {
		vms[i] = placement.VM{
			VM:        o.VM,
			Liveness:  f.liveness(o, now),
			Restarted: f.hasRestarted(o.VM.ID, control),
			Excluded:  now.Before(f.avoidUntil[o.VM.ID]),
			Report:    o.Report,
		}
	}
	return vms
}

// hasRestarted reports whether a VM had joined the replica that it belongs to by
// the ledger and has lost that membership.
func (f *fleetState) hasRestarted(id port.VMID, control *ledger.Control) bool {
	name, owned := control.ReplicaOf(id)
	if !owned {
		return false
	}
	r, _ := control.Replica(name)
	return f.restarted[id] == r.Generation
}

// find returns a VM of the latest accepted observation, and false if it is not
// listed there.
func (f *fleetState) find(id port.VMID) (health.Observation, bool) {
	i, ok := slices.BinarySearchFunc(f.vms, id, func(o health.Observation, id port.VMID) int {
		return strings.Compare(string(o.VM.ID), string(id))
	})
	if !ok {
		return health.Observation{}, false
	}
	return f.vms[i], true
}

// avoidSlowMembers makes the planner leave out of new replicas, for avoidFor,
// the members of r that are not ready. It does nothing if no member is ready,
// because the fault is then not that of single VMs.
func (f *fleetState) avoidSlowMembers(r ledger.Replica, now time.Time) {
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
