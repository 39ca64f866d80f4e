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
	stepTime    = 50 * time.Millisecond
	reportDelay = 150 * time.Millisecond
	stallTime   = 4 * time.Second
	openTime    = 300 * time.Millisecond
	drainTime   = 2 * time.Second
	service     = "llm"
	// unlistedAfter is how long an engine that is cut off from the store stays listed,
	// unlistedRetention how long nodes keep it in their view after that.
	unlistedAfter     = 1500 * time.Millisecond
	unlistedRetention = 12 * time.Second
)

// engine simulates a model engine on a VM. It carries out orders as the
// engines' interface requires and does not check what other engines do.
type engine struct {
	vm fleet.VM
	// down engines answer nothing and never recover.
	down bool
	// replaced engines are down, and another instance answers at their address.
	replaced bool
	// unlisted engines work, but their reports are marked as no longer listed.
	unlisted bool
	// leavingSince is when the engine was first reported as leaving.
	leavingSince time.Duration
	// slowdown is the factor by which the engine takes longer than normal; 0
	// counts as 1.
	slowdown float64
	members  []string
	readyAt  time.Duration
	openAt   time.Duration
	// closedAt is when the last request of a closing head ends.
	closedAt time.Duration
	// brokenAt is when a head whose replica lacks a member breaks.
	brokenAt       time.Duration
	lastGeneration int64
	// accepted is the number of orders accepted since the start.
	accepted int64
	// lastFence is the highest fencing number of an order since the start.
	lastFence int64
	// downUntil is when an engine that crashed starts again, cutUntil when one that was
	// cut off from the store at cutAt reaches it again; reported is its report at cutAt.
	downUntil, cutAt, cutUntil time.Duration
	// unreachableUntil is when an engine that no order or probe reaches can be reached
	// again. Orders that reached it before may still be carried out.
	unreachableUntil time.Duration
	reported         fleet.VM
	// readyIn names the replicas in which the engine has been ready.
	readyIn map[string]bool
	// staging is the model that the host is loading until stagedAt.
	staging  string
	stagedAt time.Duration
}

// world simulates a fleet of engines that are controlled by one planner.
type world struct {
	now     time.Duration
	rng     *rand.Rand
	planner *Planner
	engines map[string]*engine
	// viewDelay is the age of the reports that the planner sees, historyTime how
	// long reports are kept for planners that see older ones.
	viewDelay, historyTime time.Duration
	// fenced says that engines refuse orders with a fencing number lower than one
	// that they have seen since their start.
	fenced bool
	// lost reports whether an order gets no answer and is never carried out; nil if none.
	lost func(Order) bool
	// delayed holds orders that got no answer and are carried out later.
	delayed []delayedOrder
	// lateOpens says that orders to open may be carried out after the members have left;
	// see checkComplete.
	lateOpens bool
	// planGap is the least time between planning rounds; plannedAt is when the last began.
	planGap, plannedAt time.Duration
	// quickLoads says that loads take a tenth of their time until a request has come.
	quickLoads bool
	// requestTime is how long the requests of a closing replica take.
	requestTime time.Duration
	// delayedShare is the part of the orders that get no answer and are carried
	// out seconds later. snapshots holds the reports; the planner sees the
	// oldest.
	delayedShare float64
	snapshots    []snapshot
	gotRequests  bool
	config       *fleet.Config
	// evacuated holds the evacuated zones.
	evacuated  map[string]bool
	loadStarts []time.Duration
	// coldJoins counts the loads from the weight store by VMs that joined a
	// replica or a standby.
	coldJoins  int
	violations []string
	// lateOrders counts the orders of former holders that were carried out late, after the
	// present holder had formed a replica; lateEffects counts those that changed something.
	lateOrders, lateEffects int
}

type delayedOrder struct {
	at    time.Duration
	order Order
	fence int64
}

type snapshot struct {
	at  time.Duration
	vms map[string]fleet.VM
}

func testModels() []fleet.Model {
	return []fleet.Model{
		{Name: "large", Size: 6, Share: 0.67, TimeFactor: 1, LoadTime: 16 * time.Second, WarmTime: 1600 * time.Millisecond},
		{Name: "small", Size: 3, Share: 0.33, TimeFactor: 0.6, LoadTime: 12 * time.Second, WarmTime: 1100 * time.Millisecond},
	}
}

// newWorld returns a world with one fabric domain of each given number of VMs.
func newWorld(seed uint64, domains ...int) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), engines: map[string]*engine{}, now: time.Minute, viewDelay: reportDelay}
	w.config = fleet.NewConfig(1, nil)
	w.config.Services = map[string]fleet.Service{service: {Name: service, Engine: &fleet.Engine{
		Slots: 26, Models: testModels(), LoadsPerSecond: 5.5, ConcurrentLoads: 8, OpenTime: openTime,
	}}}
	w.startPlanner(1)
	for d, n := range domains {
		for i := range n {
			w.add(fmt.Sprintf("d%d-%02d", d, i), fmt.Sprintf("d%d", d))
		}
	}
	return w
}

// largeModels are the models of a fleet with domains of 35 VMs.
func largeModels() []fleet.Model {
	return []fleet.Model{
		{Name: "large", Size: 16, Share: 0.5, TimeFactor: 1, LoadTime: 16 * time.Second, WarmTime: 1600 * time.Millisecond},
		{Name: "small", Size: 4, Share: 0.5, TimeFactor: 0.6, LoadTime: 12 * time.Second, WarmTime: 1100 * time.Millisecond},
	}
}

// newLargeWorld returns a world with the given number of domains of 35 VMs.
func newLargeWorld(seed uint64, domains int) *world {
	sizes := make([]int, domains)
	for i := range sizes {
		sizes[i] = 35
	}
	w := newWorld(seed, sizes...)
	w.config.Services[service].Engine.Models = largeModels()
	return w
}

// startPlanner starts a planner that knows nothing and holds the lease with the given term.
func (w *world) startPlanner(term int64) {
	w.planner = NewPlanner(Settings{
		StallTimeout: stallTime, DrainTime: drainTime, LoadWindow: 5 * time.Second, NoRequestYet: func() bool { return !w.gotRequests }, Logger: slog.New(slog.DiscardHandler),
	})
	w.planner.Reset(term, w.now)
}

// add adds a running engine to a domain.
func (w *world) add(id, domain string) {
	w.engines[id] = &engine{vm: fleet.VM{ID: id, Boot: int64(w.now), Address: id, Service: service, Slots: 26, Domain: domain, LastSeen: w.now}}
}

// addStaged adds running engines to a domain whose hosts hold a model.
func (w *world) addStaged(prefix, domain, model string, n int) {
	for i := range n {
		id := fmt.Sprintf("%s-%02d", prefix, i)
		w.add(id, domain)
		w.engines[id].vm.Staged = []string{model}
	}
}

// run advances the time until the condition holds or the duration has passed,
// and reports whether the condition holds.
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
	w.now += stepTime
	for _, id := range slices.Sorted(maps.Keys(w.engines)) {
		w.engines[id].advance(w)
	}
	for i := 0; i < len(w.delayed); {
		if w.delayed[i].at > w.now {
			i++
			continue
		}
		d := w.delayed[i]
		w.delayed = slices.Delete(w.delayed, i, i+1)
		w.executeLate(d)
	}
	w.publishReports()
	if len(w.snapshots) > 0 && w.now-w.plannedAt >= w.planGap {
		w.plannedAt = w.now
		w.send(w.planner.Plan(w.now, w.seen().at, w.view()))
	}
}

// view returns what the planner's node knows: the reports of viewDelay ago.
func (w *world) view() *fleet.View {
	b := fleet.NewBuilder()
	b.SetConfig(w.config)
	b.SetEvacuated(w.evacuated, nil)
	for _, vm := range w.seen().vms {
		b.Put(vm)
	}
	return b.View(w.now)
}

// seen returns the reports that the planner's node knows.
func (w *world) seen() snapshot {
	s := w.snapshots[0]
	for _, later := range w.snapshots[1:] {
		if later.at <= w.now-w.viewDelay {
			s = later
		}
	}
	return s
}

// publishReports records the engines' current reports. The planner sees them
// after reportDelay.
func (w *world) publishReports() {
	vms := map[string]fleet.VM{}
	for id, e := range w.engines {
		vm := e.vm
		vm.Unlisted = e.unlisted || e.down && e.downUntil == 0
		if w.now < e.cutUntil {
			if w.now-e.cutAt > unlistedAfter+unlistedRetention {
				continue
			}
			vm = e.reported
			vm.Unlisted = w.now-e.cutAt > unlistedAfter
		}
		if vm.Leaving && e.leavingSince == 0 {
			e.leavingSince = w.now
		}
		vm.LeavingSince = e.leavingSince
		vms[id] = vm
	}
	w.snapshots = append(w.snapshots, snapshot{w.now, vms})
	for len(w.snapshots) > 1 && w.snapshots[1].at <= w.now-max(w.viewDelay, w.historyTime) {
		w.snapshots = w.snapshots[1:]
	}
}

// send carries out orders and passes the results to the planner. Some orders
// get no answer and are carried out later.
func (w *world) send(orders []Order) {
	for _, o := range orders {
		e := w.engines[o.VM]
		switch {
		case e != nil && e.replaced && o.Kind == Probe:
			w.send(w.planner.HandleResult(w.now, o, Result{Answered: true, Accepted: true, Report: VMReport{
				Boot: e.vm.Boot + 1, Accepted: new(int64), Slowdown: 1,
			}}))
		case e != nil && e.replaced:
			w.send(w.planner.HandleResult(w.now, o, Result{Answered: true, Replaced: true, Status: "421"}))
		case e == nil || e.down || w.now < e.unreachableUntil || w.lost != nil && w.lost(o):
			w.send(w.planner.HandleResult(w.now, o, Result{Status: "timeout"}))
		case o.Kind == Probe:
			accepted := e.accepted
			w.send(w.planner.HandleResult(w.now, o, Result{Answered: true, Accepted: true, Report: VMReport{
				Boot: e.vm.Boot, Accepted: &accepted, Member: e.vm.Member, Slowdown: max(1, e.slowdown),
			}}))
		case w.rng.Float64() < w.delayedShare:
			delay := 2*time.Second + time.Duration(w.rng.Int64N(int64(10*time.Second)))
			w.delayed = append(w.delayed, delayedOrder{w.now + delay, o, w.planner.term})
			w.send(w.planner.HandleResult(w.now, o, Result{Status: "timeout"}))
		default:
			ok := w.execute(o, w.planner.term)
			w.send(w.planner.HandleResult(w.now, o, Result{Answered: true, Accepted: ok, Conflict: !ok}))
		}
	}
}

// executeLate carries out a delayed order.
func (w *world) executeLate(d delayedOrder) {
	e, former := w.engines[d.order.VM], d.fence < w.planner.term && w.planner.generation > 0
	if e == nil || !former {
		w.execute(d.order, d.fence)
		return
	}
	before := e.accepted
	w.execute(d.order, d.fence)
	w.lateOrders++
	if e.accepted > before {
		w.lateEffects++
	}
}

// execute carries out an order and records violations of the planner's
// guarantees.
func (w *world) execute(o Order, fence int64) bool {
	e := w.engines[o.VM]
	if e == nil || e.down || w.fenced && fence < e.lastFence {
		return false
	}
	e.lastFence = max(e.lastFence, fence)
	if o.Expected != nil && *o.Expected != e.accepted {
		return false
	}
	begun := w.begin(e, o)
	if begun && o.Kind != Stage {
		e.accepted++
	}
	return begun || w.holds(e, o)
}

// holds reports whether an engine is already in the state that an order to join asks for.
func (w *world) holds(e *engine, o Order) bool {
	m := e.vm.Member
	return o.Kind == Join && m.Replica == o.Replica && m.Generation == o.Generation
}

// begin begins an order and reports whether it changed anything.
func (w *world) begin(e *engine, o Order) bool {
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
		if w.requestTime > 0 {
			m.State, e.closedAt = fleet.MemberClosing, cmp.Or(e.closedAt, w.now+w.requestTime)
		}
	case Stage:
		m, _ := w.config.Services[service].Engine.Model(o.Model)
		w.loadStarts = append(w.loadStarts, w.now)
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
	if o.Generation < e.lastGeneration {
		return false
	}
	m := &e.vm.Member
	if w.holds(e, o) {
		return false
	}
	if head := w.headOf(e); head != nil && m.Replica != "" && w.mayServe(head) {
		w.violations = append(w.violations, fmt.Sprintf("%v: %s joins %s while %s of %s may serve", w.now, o.VM, o.Replica, m.Replica, head.vm.ID))
	}
	model, _ := w.config.Services[service].Engine.Model(o.Model)
	wait, load := joinTime(e.vm, model)
	if load {
		if w.quickLoads && !w.gotRequests {
			wait /= 10
		}
		w.loadStarts = append(w.loadStarts, w.now)
		w.coldJoins++
	}
	rank := slices.Index(o.Members, o.VM)
	*m = fleet.Membership{Replica: o.Replica, Generation: o.Generation, Rank: rank, State: fleet.MemberJoining}
	e.vm.Model, e.vm.LastModel = o.Model, o.Model
	if load {
		e.vm.Staged = []string{o.Model}
	}
	e.members, e.lastGeneration, e.readyAt, e.openAt, e.brokenAt = o.Members, o.Generation, w.now+wait, 0, 0
	return true
}

// headOf returns the head of an engine's replica; nil if the head is gone or
// has joined another replica.
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

// mayServe reports whether a head may still serve requests: it is open or
// closing and not down.
func (w *world) mayServe(head *engine) bool {
	return !head.down && (head.vm.Member.State == fleet.MemberOpen || head.vm.Member.State == fleet.MemberClosing)
}

// checkComplete records a violation if a replica opens with fewer or more members than its
// model has, with a member that has never been ready in it, lost or not, or while a member
// is still joining or belongs to another replica. With lateOpens, the last is no violation:
// a former holder's order to open may be carried out after the replica was dismantled, and
// nodes send nothing to a replica unless all members report that they belong to it.
func (w *world) checkComplete(head *engine) {
	name := head.vm.Member.Replica
	if m, ok := w.config.Services[service].Engine.Model(head.vm.Model); !ok || len(head.members) != m.Size {
		w.violations = append(w.violations, fmt.Sprintf("%v: %s opens with members %v for model %q", w.now, name, head.members, head.vm.Model))
	}
	for _, id := range head.members {
		e := w.engines[id]
		if e == nil {
			continue
		}
		m := e.vm.Member
		elsewhere := !w.lateOpens && !e.down && (m.Replica != name || m.State == fleet.MemberJoining)
		if !e.readyIn[name] || elsewhere {
			w.violations = append(w.violations, fmt.Sprintf("%v: %s opens without %s", w.now, name, id))
		}
	}
}

// advance ends the engine's loads, its opening and closing, and breaks a head
// whose replica has lacked a member for stallTime.
func (e *engine) advance(w *world) {
	m := &e.vm.Member
	if e.down && e.downUntil > 0 && w.now >= e.downUntil {
		e.down, e.downUntil = false, 0
		e.forget(w.now)
	}
	if e.down {
		return
	}
	e.vm.LastSeen = w.now
	if e.staging != "" && w.now >= e.stagedAt {
		e.vm.Staged, e.staging = []string{e.staging}, ""
	}
	if m.State == fleet.MemberJoining && w.now >= e.readyAt {
		m.State = fleet.MemberReady
		if e.readyIn == nil {
			e.readyIn = map[string]bool{}
		}
		e.readyIn[m.Replica] = true
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
	if w.complete(e) {
		e.brokenAt = 0
		return
	}
	if e.brokenAt == 0 {
		e.brokenAt = w.now + stallTime
	}
	if w.now >= e.brokenAt {
		m.State = fleet.MemberBroken
	}
}

// complete reports whether all members of a head's replica are up and still
// belong to it.
func (w *world) complete(head *engine) bool {
	for _, id := range head.members {
		e := w.engines[id]
		if e == nil || e.down || e.vm.Member.Replica != head.vm.Member.Replica {
			return false
		}
	}
	return len(head.members) > 0
}

// serving counts the complete, open replicas by model.
func (w *world) serving() map[string]int {
	out := map[string]int{}
	for _, e := range w.engines {
		if !e.down && e.vm.Member.Rank == 0 && e.vm.Member.State == fleet.MemberOpen && w.complete(e) {
			out[e.vm.Model]++
		}
	}
	return out
}

// servesAtLeast returns a condition for run: at least the given numbers of
// replicas of both models serve.
func (w *world) servesAtLeast(large, small int) func() bool {
	return func() bool {
		s := w.serving()
		return s["large"] >= large && s["small"] >= small
	}
}

// member returns the member with the given rank of a serving replica of a
// model; nil if there is none.
func (w *world) member(model string, rank int) *engine {
	for _, id := range slices.Sorted(maps.Keys(w.engines)) {
		e := w.engines[id]
		if !e.down && e.vm.Model == model && e.vm.Member.State == fleet.MemberOpen && w.complete(e) {
			return w.engines[e.members[rank]]
		}
	}
	return nil
}

// stalledHeads returns the heads of the open replicas that lack a member.
func (w *world) stalledHeads() []string {
	var out []string
	for _, id := range slices.Sorted(maps.Keys(w.engines)) {
		if e := w.engines[id]; e.vm.Member.State == fleet.MemberOpen && !w.complete(e) {
			out = append(out, id)
		}
	}
	return out
}

// lastMemberIn returns the member with the highest rank of a serving replica of
// a model in a domain; nil if there is none.
func (w *world) lastMemberIn(model, domain string) *engine {
	for _, id := range slices.Sorted(maps.Keys(w.engines)) {
		e := w.engines[id]
		if !e.down && e.vm.Domain == domain && e.vm.Model == model && e.vm.Member.State == fleet.MemberOpen && w.complete(e) {
			return w.engines[e.members[len(e.members)-1]]
		}
	}
	return nil
}

// suspect reports to the planner that the replica with the given head makes no
// progress.
func (w *world) suspect(head string) {
	v := fleet.NewView(w.config, w.now, w.snapshots[0].vms)
	w.send(w.planner.ProbeMembers(w.now, v, head))
}
