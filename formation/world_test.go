package formation

import (
	"cmp"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tamarackcleat/tamarackcleat/fleet"
)

const (
	step       = 50 * time.Millisecond
	reportLag  = 150 * time.Millisecond
	stallAfter = 4 * time.Second
	openTime   = 300 * time.Millisecond
	drainFor   = 2 * time.Second
	service    = "llm"
)

// engine is a VM of the world. It obeys orders as the interface says, and
// checks nobody else.
type engine struct {
	vm fleet.VM
	// dark engines answer nothing and never come back.
	dark bool
	// unlisted engines work, but their reports are not listed.
	unlisted bool
	// leavingSince is when the engine's leaving was first reported.
	leavingSince time.Duration
	// pace is the factor on the engine's times; 0 is as 1.
	pace    float64
	members []string
	readyAt time.Duration
	openAt  time.Duration
	// closedAt is when the last request of a closing head ends.
	closedAt time.Duration
	// brokenAt is when a head that stands still breaks.
	brokenAt time.Duration
	seen     int64
	// staging is the model that the host loads until stagedAt.
	staging  string
	stagedAt time.Duration
}

// world is a fleet of engines with one planner.
type world struct {
	now     time.Duration
	rng     *rand.Rand
	planner *Planner
	engines map[string]*engine
	// late holds orders that are carried out later than their answer.
	late []lateOrder
	// lasting is how long requests of a closing replica take.
	lasting time.Duration
	// lateShare of the orders get no answer and are carried out seconds
	// later; listed holds the reports as the planner sees them.
	lateShare float64
	listed    []listing
	busy      bool
	config    *fleet.Config
	loads     []time.Duration
	// coldJoins counts loads by VMs that joined a replica or standby.
	coldJoins int
	problems  []string
}

type lateOrder struct {
	at    time.Duration
	order Order
}

type listing struct {
	at  time.Duration
	vms map[string]fleet.VM
}

func testModels() []fleet.Model {
	return []fleet.Model{
		{Name: "large", Size: 6, Share: 0.67, Pace: 1, LoadTime: 16 * time.Second, WarmTime: 1600 * time.Millisecond},
		{Name: "small", Size: 3, Share: 0.33, Pace: 0.6, LoadTime: 12 * time.Second, WarmTime: 1100 * time.Millisecond},
	}
}

// newWorld returns a world with domains of the given sizes.
func newWorld(seed uint64, domains ...int) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), engines: map[string]*engine{}, now: time.Minute}
	w.config = fleet.NewConfig(1, nil)
	w.config.Services = map[string]fleet.Service{service: {Name: service, Engine: &fleet.Engine{
		Slots: 26, Models: testModels(), LoadsPerSecond: 5.5, LoadsAtOnce: 8, OpenTime: openTime,
	}}}
	w.planner = NewPlanner(Settings{
		Stall: stallAfter, Drain: drainFor, LoadWindow: 5 * time.Second, Idle: func() bool { return !w.busy }, Logger: slog.New(slog.DiscardHandler),
	})
	w.planner.Reset(1)
	for d, n := range domains {
		for i := range n {
			w.add(fmt.Sprintf("d%d-%02d", d, i), fmt.Sprintf("d%d", d))
		}
	}
	return w
}

// add starts an engine.
func (w *world) add(id, domain string) {
	w.engines[id] = &engine{vm: fleet.VM{ID: id, Boot: int64(w.now), Address: id, Service: service, Slots: 26, Domain: domain, HeardAt: w.now}}
}

// run lets time pass until done or the end, and reports whether it is done.
func (w *world) run(d time.Duration, done func() bool) bool {
	for end := w.now + d; w.now < end; {
		if done != nil && done() {
			return true
		}
		w.step()
	}
	return done != nil && done()
}

func (w *world) step() {
	w.now += step
	for _, id := range slices.Sorted(maps.Keys(w.engines)) {
		w.engines[id].advance(w)
	}
	for i := 0; i < len(w.late); {
		if w.late[i].at > w.now {
			i++
			continue
		}
		w.obey(w.late[i].order)
		w.late = slices.Delete(w.late, i, i+1)
	}
	w.list()
	if len(w.listed) > 0 {
		v := fleet.NewView(w.config, w.now, w.listed[0].vms)
		w.send(w.planner.Plan(w.now, v))
	}
}

// list publishes reports; the planner sees them reportLag later.
func (w *world) list() {
	vms := map[string]fleet.VM{}
	for id, e := range w.engines {
		vm := e.vm
		vm.Lapsed = e.unlisted || e.dark
		if vm.Leaving && e.leavingSince == 0 {
			e.leavingSince = w.now
		}
		vm.LeavingSince = e.leavingSince
		vms[id] = vm
	}
	w.listed = append(w.listed, listing{w.now, vms})
	for len(w.listed) > 1 && w.listed[1].at <= w.now-reportLag {
		w.listed = w.listed[1:]
	}
}

// send carries orders out, or loses some answers.
func (w *world) send(orders []Order) {
	for _, o := range orders {
		e := w.engines[o.VM]
		switch {
		case e == nil || e.dark:
			w.send(w.planner.Done(w.now, o, Result{Status: "timeout"}))
		case o.Kind == Probe:
			w.send(w.planner.Done(w.now, o, Result{Answered: true, Accepted: true, State: e.vm.Member.State, Pace: max(1, e.pace)}))
		case w.rng.Float64() < w.lateShare:
			delay := 2*time.Second + time.Duration(w.rng.Int64N(int64(10*time.Second)))
			w.late = append(w.late, lateOrder{w.now + delay, o})
			w.send(w.planner.Done(w.now, o, Result{Status: "timeout"}))
		default:
			ok := w.obey(o)
			w.send(w.planner.Done(w.now, o, Result{Answered: true, Accepted: ok}))
		}
	}
}

// obey carries an order out and checks what must never happen.
func (w *world) obey(o Order) bool {
	e := w.engines[o.VM]
	if e == nil || e.dark {
		return false
	}
	m := &e.vm.Member
	current := m.Replica == o.Replica && m.Generation == o.Generation
	switch o.Kind {
	case Join:
		return w.join(e, o)
	case Open:
		if !current || m.State != fleet.MemberReady {
			return false
		}
		e.openAt = w.now + openTime
		w.checkComplete(e)
	case Close:
		if !current || m.State != fleet.MemberOpen && m.State != fleet.MemberClosing {
			return false
		}
		m.State, e.openAt = fleet.MemberReady, 0
		if w.lasting > 0 {
			m.State, e.closedAt = fleet.MemberClosing, cmp.Or(e.closedAt, w.now+w.lasting)
		}
	case Stage:
		m, _ := w.config.Services[service].Engine.Model(o.Model)
		w.loads = append(w.loads, w.now)
		e.staging, e.stagedAt = o.Model, w.now+m.LoadTime
	case Leave:
		if !current {
			return false
		}
		*m, e.members, e.openAt, e.closedAt, e.brokenAt = fleet.Membership{}, nil, 0, 0, 0
	}
	return true
}

func (w *world) join(e *engine, o Order) bool {
	if o.Generation < e.seen {
		return false
	}
	m := &e.vm.Member
	if m.Replica == o.Replica && m.Generation == o.Generation {
		return true
	}
	if head := w.headOf(e); head != nil && m.Replica != "" && w.mayServe(head) {
		w.problems = append(w.problems, fmt.Sprintf("%v: %s joins %s while %s of %s may serve", w.now, o.VM, o.Replica, m.Replica, head.vm.ID))
	}
	model, _ := w.config.Services[service].Engine.Model(o.Model)
	wait, load := joinTime(e.vm, model)
	if load {
		w.loads = append(w.loads, w.now)
		w.coldJoins++
	}
	rank := slices.Index(o.Members, o.VM)
	*m = fleet.Membership{Replica: o.Replica, Generation: o.Generation, Rank: rank, State: fleet.MemberJoining}
	e.vm.Model, e.vm.LastModel = o.Model, o.Model
	if load {
		e.vm.Staged = []string{o.Model}
	}
	e.members, e.seen, e.readyAt, e.openAt, e.brokenAt = o.Members, o.Generation, w.now+wait, 0, 0
	return true
}

// headOf returns the head of an engine's replica, if it is still its head.
func (w *world) headOf(e *engine) *engine {
	if len(e.members) == 0 {
		return nil
	}
	head := w.engines[e.members[0]]
	if head == nil || head.vm.Member.Replica != e.vm.Member.Replica || head.vm.Member.Generation != e.vm.Member.Generation {
		return nil
	}
	return head
}

// mayServe reports whether a head is open, or stands still and is not broken.
func (w *world) mayServe(head *engine) bool {
	return !head.dark && (head.vm.Member.State == fleet.MemberOpen || head.vm.Member.State == fleet.MemberClosing)
}

// checkComplete notes a replica that opens without all of its members.
func (w *world) checkComplete(head *engine) {
	for _, id := range head.members {
		e := w.engines[id]
		if e == nil || e.dark {
			continue
		}
		m := e.vm.Member
		if m.Replica != head.vm.Member.Replica || m.State == fleet.MemberJoining {
			w.problems = append(w.problems, fmt.Sprintf("%v: %s opens without %s", w.now, m.Replica, id))
		}
	}
}

// advance lets loads, openings and stalls end.
func (e *engine) advance(w *world) {
	m := &e.vm.Member
	if e.dark {
		return
	}
	e.vm.HeardAt = w.now
	if e.staging != "" && w.now >= e.stagedAt {
		e.vm.Staged, e.staging = []string{e.staging}, ""
	}
	if m.State == fleet.MemberJoining && w.now >= e.readyAt {
		m.State = fleet.MemberReady
	}
	if e.openAt > 0 && w.now >= e.openAt && m.State == fleet.MemberReady {
		m.State, e.openAt = fleet.MemberOpen, 0
	}
	if m.State == fleet.MemberClosing && w.now >= e.closedAt {
		m.State, e.closedAt = fleet.MemberReady, 0
	}
	if m.State != fleet.MemberOpen {
		return
	}
	if w.whole(e) {
		e.brokenAt = 0
		return
	}
	if e.brokenAt == 0 {
		e.brokenAt = w.now + stallAfter
	}
	if w.now >= e.brokenAt {
		m.State = fleet.MemberBroken
	}
}

// whole reports whether all members of a head are there.
func (w *world) whole(head *engine) bool {
	for _, id := range head.members {
		e := w.engines[id]
		if e == nil || e.dark || e.vm.Member.Replica != head.vm.Member.Replica {
			return false
		}
	}
	return len(head.members) > 0
}

// serving counts whole, open replicas by model.
func (w *world) serving() map[string]int {
	out := map[string]int{}
	for _, e := range w.engines {
		if !e.dark && e.vm.Member.Rank == 0 && e.vm.Member.State == fleet.MemberOpen && w.whole(e) {
			out[e.vm.Model]++
		}
	}
	return out
}

// serves returns a condition: as many replicas of each model serve.
func (w *world) serves(large, small int) func() bool {
	return func() bool {
		s := w.serving()
		return s["large"] >= large && s["small"] >= small
	}
}

// member returns an engine of a serving replica of a model, by rank.
func (w *world) member(model string, rank int) *engine {
	for _, id := range slices.Sorted(maps.Keys(w.engines)) {
		e := w.engines[id]
		if !e.dark && e.vm.Model == model && e.vm.Member.State == fleet.MemberOpen && w.whole(e) {
			return w.engines[e.members[rank]]
		}
	}
	return nil
}

// memberIn returns a member of a serving replica of a model in a domain.
func (w *world) memberIn(model, domain string) *engine {
	for _, id := range slices.Sorted(maps.Keys(w.engines)) {
		e := w.engines[id]
		if !e.dark && e.vm.Domain == domain && e.vm.Model == model && e.vm.Member.State == fleet.MemberOpen && w.whole(e) {
			return w.engines[e.members[len(e.members)-1]]
		}
	}
	return nil
}

// suspect tells the planner that a head stands still.
func (w *world) suspect(head string) {
	v := fleet.NewView(w.config, w.now, w.listed[0].vms)
	w.send(w.planner.Suspect(w.now, v, head))
}
