package formation

import (
	"slices"
	"time"

	"github.com/tamarackcleat/tamarackcleat/placement"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/record"
)

// run is the state of one run of a policy over a fault sequence. Its times are
// simulated and start at 0.
type run struct {
	planner *placement.Planner
	// ignoreLog allows replicas to be formed and dissolved while the log is
	// unavailable. Such a run gives an upper bound on the downtime that repair
	// during an outage of the log could save.
	ignoreLog bool
	lostAfter time.Duration
	vms       []*vm
	// observed holds the VMs as the controller sees them. It is a field so that
	// its memory is reused.
	observed   []placement.VM
	desired    []placement.Demand
	replicas   map[string]*replica
	now        time.Duration
	events     eventHeap
	seq        int
	logOutages int
	// planAt is the time of the next plan.
	planAt     time.Duration
	generation record.Position
	result     Result
}

// Variant is a placement policy with settings of the simulated controller.
type Variant struct {
	placement.Policy
	// IgnoreLog allows replicas to be formed and dissolved during a log outage.
	IgnoreLog bool
	// LostAfter is the time after which an unreachable VM counts as lost.
	LostAfter time.Duration
}

// epoch is the wall-clock time that simulated time 0 stands for.
var epoch = time.Unix(0, 0)

// Run measures a policy on the fault sequence of a seed. Replicas are formed
// before the measurement starts, unless Span.Cold is set.
func Run(f Fleet, p Variant, seed uint64, s Span) Result {
	const formTime = 2 * time.Hour
	r := &run{
		planner:   placement.NewPlanner(p.Policy),
		ignoreLog: p.IgnoreLog,
		lostAfter: p.LostAfter,
		vms:       newFleet(f),
		desired:   demands(f.VMs()),
		replicas:  map[string]*replica{},
	}
	result := Result{Policy: p.Name, Fleet: f.Name, Seed: seed, Days: s.Length.Hours() / 24, SpeedUp: s.SpeedUp, CrossSpeed: s.CrossSpeed}
	if s.Cold {
		r.result = result
		r.advance(s.Length)
		return r.result
	}
	r.advance(formTime)
	r.result = result
	for _, x := range drawFaults(f, seed, s) {
		r.schedule(formTime+x.at, func() { r.applyFault(f, x) })
	}
	r.advance(formTime + s.Length)
	return r.result
}

// advance runs the simulation until the given time.
func (r *run) advance(end time.Duration) {
	for r.now < end {
		next := min(end, r.planAt)
		if len(r.events) > 0 {
			next = min(next, r.events[0].at)
		}
		speeds := r.loadSpeeds()
		next = min(next, r.nextLoaded(speeds))
		r.measure(next - r.now)
		r.load(speeds, next-r.now)
		r.now = next
		r.runDueEvents()
	}
}

// runDueEvents runs the events that are due and the plan if it is due.
func (r *run) runDueEvents() {
	for len(r.events) > 0 && r.events[0].at <= r.now {
		r.events.pop().do()
		r.planSoon()
	}
	if r.now >= r.planAt {
		r.planAt = r.now + r.untilNextPlan()
		r.plan()
	}
}

// untilNextPlan returns the time until the next plan if no event happens before.
// It is planInterval while a VM loads weights, because the policy must notice loads
// that take too long, and an hour otherwise.
func (r *run) untilNextPlan() time.Duration {
	for _, v := range r.vms {
		if v.state == port.EngineLoading {
			return planInterval
		}
	}
	return time.Hour
}

// planSoon schedules a plan after planDelay at the latest. It is called after
// each event and after each plan that has actions.
func (r *run) planSoon() { r.planAt = min(r.planAt, r.now+planDelay) }

// plan asks the policy for actions and applies them. It does nothing during a log
// outage unless ignoreLog is set.
func (r *run) plan() {
	if r.logOutages > 0 && !r.ignoreLog {
		return
	}
	in := placement.Input{
		Models:              models(),
		StoreBytesPerSecond: storeBytesPerSecond,
		Demands:             r.desired,
		Now:                 epoch.Add(r.now),
	}
	r.observed = r.observed[:0]
	for _, v := range r.vms {
		r.observed = append(r.observed, v.observe(r.now, r.lostAfter))
	}
	in.VMs = r.observed
	for _, x := range r.replicas {
		in.Replicas = append(in.Replicas, x.Replica)
	}
	r.planner.Sync(in)
	actions := r.planner.Plan(in.Now)
	for _, a := range actions {
		switch a := a.(type) {
		case placement.Form:
			r.form(a)
		case placement.Dissolve:
			r.dissolve(a)
		}
	}
	if len(actions) > 0 {
		r.planSoon()
	}
}

func (r *run) form(a placement.Form) {
	r.result.Formed++
	r.generation++
	x := &replica{Replica: placement.Replica{
		Name: a.Replica, Generation: r.generation, Model: a.Model, VMs: a.VMs, FormedAt: epoch.Add(r.now),
	}}
	for _, v := range r.vms {
		if !slices.Contains(a.VMs, v.vm.ID) {
			continue
		}
		x.members = append(x.members, v)
		x.crossDomain = x.crossDomain || v.domain != x.members[0].domain
		v.replica = x
		v.joined, v.restarted = false, false
		if v.unreachableFaults == 0 {
			r.join(v)
		}
	}
	r.replicas[a.Replica] = x
}

// join makes a VM join its replica. The VM loads the replica's model, or is ready
// at once if it holds the model's weights.
func (r *run) join(v *vm) {
	model := v.replica.Model
	v.joined = true
	if v.heldModel == model {
		v.state = port.EngineReady
		return
	}
	v.state = port.EngineLoading
	v.heldModel = ""
	v.bytesToLoad = float64(weightBytes(model))
}

func weightBytes(model string) int64 {
	if model == modelDesk {
		return deskWeightBytes
	}
	return draftWeightBytes
}

func (r *run) dissolve(a placement.Dissolve) {
	r.result.Dissolved++
	x := r.replicas[a.Replica]
	delete(r.replicas, a.Replica)
	if a.Cause == placement.CauseLoadTimeout {
		r.avoidSlow(x)
	}
	finish := brokenLeaveTime
	if x.complete() || a.Cause == placement.CauseLeaving {
		finish = orderlyLeaveTime
	}
	for _, v := range x.members {
		v.replica = nil
		if v.unreachableFaults > 0 {
			v.inDissolvedReplica = v.joined
			continue
		}
		r.leave(v, finish)
	}
}

// avoidSlow excludes the members that are not ready from new replicas for
// avoidTime, if another member is ready.
func (r *run) avoidSlow(x *replica) {
	ready := slices.ContainsFunc(x.members, func(v *vm) bool { return v.state == port.EngineReady })
	for _, v := range x.members {
		if ready && v.state != port.EngineReady {
			v.avoidUntil = r.now + avoidTime
			r.schedule(v.avoidUntil, func() {})
		}
	}
}

// leave makes a VM leave its replica. The VM is idle after the given time, in
// which it finishes its streams.
func (r *run) leave(v *vm, after time.Duration) {
	if v.state == port.EngineIdle {
		return
	}
	v.state = port.EngineLeaving
	r.schedule(r.now+after, func() {
		if v.state == port.EngineLeaving {
			v.state = port.EngineIdle
		}
	})
}

// measure adds the downtime, stranded time and loading time of a time span to the
// result.
func (r *run) measure(span time.Duration) {
	hours := span.Hours()
	serving := map[string]float64{}
	for _, x := range r.replicas {
		switch {
		case !x.complete():
		case x.crossDomain:
			serving[x.Model] += r.result.CrossSpeed
		default:
			serving[x.Model]++
		}
	}
	r.result.DeskDown += hours * max(0, wantDesk-serving[modelDesk])
	r.result.DraftDown += hours * max(0, wantDraft-serving[modelDraft])
	if serving[modelDesk] == 0 {
		r.result.DeskOut += hours
	}
	for _, v := range r.vms {
		switch {
		case v.unreachableFaults > 0:
		case v.stranded():
			r.result.Stranded += hours
		case v.state == port.EngineLoading:
			r.result.Loading += hours
		case v.replica.crossDomain:
			r.result.Stranded += hours * (1 - r.result.CrossSpeed)
		}
	}
}
