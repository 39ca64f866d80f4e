package formation

import (
	"slices"
	"time"

	"github.com/tamarackcleat/tamarackcleat/placement"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/record"
)

// run is one run of a policy over a failure sequence.
type run struct {
	planner *placement.Planner
	// ignoreLog lets replicas be formed while the log is out: the bound of
	// what repair during an outage could save.
	ignoreLog bool
	lostAfter time.Duration
	vms       []*vm
	// seen is what the controller sees of the VMs, kept for its memory.
	seen     []placement.VM
	desired  []placement.Demand
	replicas map[string]*replica
	now      time.Duration
	todo     todoHeap
	seq      int
	logDown  int
	// planAt is when the next plan is due.
	planAt     time.Duration
	generation record.Position
	result     Result
}

// Variant is a policy with what the run around it allows.
type Variant struct {
	placement.Policy
	// IgnoreLog lets replicas be formed during a log outage.
	IgnoreLog bool
	// LostAfter is the time until a VM out of reach counts as lost.
	LostAfter time.Duration
}

// epoch is the wall time of the start of every run.
var epoch = time.Unix(0, 0)

// Run measures a policy on the failure sequence of a seed. The fleet is formed
// before the measurement starts.
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
	for _, x := range sequence(f, seed, s) {
		r.schedule(formTime+x.at, func() { r.strike(f, x) })
	}
	r.advance(formTime + s.Length)
	return r.result
}

// advance runs until a time.
func (r *run) advance(end time.Duration) {
	for r.now < end {
		next := min(end, r.planAt)
		if len(r.todo) > 0 {
			next = min(next, r.todo[0].at)
		}
		speeds := r.loadSpeeds()
		next = min(next, r.nextLoaded(speeds))
		r.measure(next - r.now)
		r.load(speeds, next-r.now)
		r.now = next
		r.due()
	}
}

// due does what is due now.
func (r *run) due() {
	for len(r.todo) > 0 && r.todo[0].at <= r.now {
		r.todo.pop().do()
		r.changed()
	}
	if r.now >= r.planAt {
		r.planAt = r.now + r.untilNextPlan()
		r.plan()
	}
}

// untilNextPlan is the time to the next plan if nothing changes: only loads
// can become overdue.
func (r *run) untilNextPlan() time.Duration {
	for _, v := range r.vms {
		if v.state == port.EngineLoading {
			return planEvery
		}
	}
	return time.Hour
}

// changed makes a plan due soon.
func (r *run) changed() { r.planAt = min(r.planAt, r.now+planAfter) }

// plan asks the policy and carries its actions out.
func (r *run) plan() {
	if r.logDown > 0 && !r.ignoreLog {
		return
	}
	in := placement.Input{
		Models:              models(),
		StoreBytesPerSecond: storeBytesPerSecond,
		Demands:             r.desired,
		Now:                 epoch.Add(r.now),
	}
	r.seen = r.seen[:0]
	for _, v := range r.vms {
		r.seen = append(r.seen, v.observe(r.now, r.lostAfter))
	}
	in.VMs = r.seen
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
		r.changed()
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
		x.cross = x.cross || v.domain != x.members[0].domain
		v.replica = x
		v.joined, v.restarted = false, false
		if v.dark == 0 {
			r.join(v)
		}
	}
	r.replicas[a.Replica] = x
}

// join makes a VM load its replica's model, or be ready at once if it holds it.
func (r *run) join(v *vm) {
	model := v.replica.Model
	v.joined = true
	if v.holds == model {
		v.state = port.EngineReady
		return
	}
	v.state = port.EngineLoading
	v.holds = ""
	v.toLoad = float64(weight(model))
}

func weight(model string) int64 {
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
	finish := finishBroken
	if x.complete() || a.Cause == placement.CauseLeaving {
		finish = finishStreams
	}
	for _, v := range x.members {
		v.replica = nil
		if v.dark > 0 {
			v.former = v.joined
			continue
		}
		r.leave(v, finish)
	}
}

// avoidSlow leaves out members that are not ready while others are.
func (r *run) avoidSlow(x *replica) {
	ready := slices.ContainsFunc(x.members, func(v *vm) bool { return v.state == port.EngineReady })
	for _, v := range x.members {
		if ready && v.state != port.EngineReady {
			v.avoidUntil = r.now + avoidFor
			r.schedule(v.avoidUntil, func() {})
		}
	}
}

// leave makes a VM idle after it has finished its streams.
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

// measure adds a time span to the result.
func (r *run) measure(span time.Duration) {
	hours := span.Hours()
	serving := map[string]float64{}
	for _, x := range r.replicas {
		switch {
		case !x.complete():
		case x.cross:
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
		case v.dark > 0:
		case v.stranded():
			r.result.Stranded += hours
		case v.state == port.EngineLoading:
			r.result.Loading += hours
		case v.replica.cross:
			r.result.Stranded += hours * (1 - r.result.CrossSpeed)
		}
	}
}
