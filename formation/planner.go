// Package formation forms replicas out of upstream VMs and repairs them.
//
// What exists is read from the VMs' own reports, so a new holder of the control
// lease needs no record of what the former one did. The guarantees:
//   - a replica is opened only after every one of its members reported itself
//     ready under its name, generation and list;
//   - no VM joins a replica before the head of its former one was seen closed,
//     or could not have gone on for the time after which it breaks by itself;
//   - loads from the weight store start within its rate.
package formation

import (
	"fmt"
	"log/slog"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/fleet"
)

// OrderKind is what an order asks of a VM.
type OrderKind string

// Kinds of orders. A close lets requests in flight finish. A probe changes nothing: it asks whether the VM answers.
const (
	Join  OrderKind = "join"
	Open  OrderKind = "open"
	Close OrderKind = "close"
	Leave OrderKind = "leave"
	Probe OrderKind = "probe"
)

// Order is an order to one VM.
type Order struct {
	Kind OrderKind
	// VM and Address say whom to send it to.
	VM, Address string
	// Replica and Generation identify the replica.
	Replica    string
	Generation int64
	Model      string
	// Members holds the ids of a joining replica's VMs by rank.
	Members []string
}

// Result is what became of an order.
type Result struct {
	// Accepted says that the VM answered that it has begun or done it.
	Accepted bool
	// Answered says that the VM answered at all.
	Answered bool
	// State is the state of its membership that a probed VM answered.
	State fleet.MemberState
	// Status is for log lines.
	Status string
}

// Settings configures a Planner.
type Settings struct {
	// Heartbeat is the time between two reports of a VM.
	Heartbeat time.Duration
	// Stall is how long a replica that lost a member stands still before it
	// breaks.
	Stall time.Duration
	// LoadWindow is the window in which loads are counted.
	LoadWindow time.Duration
	// Idle reports whether no request has come since the deployment began.
	// Loads are quick until then and don't count against the store's rate.
	Idle   func() bool
	Logger *slog.Logger
}

const (
	// resendAfter is when an order without visible effect is sent again; a
	// report reaches this node within about half a second.
	resendAfter = 700 * time.Millisecond
	// stallMargin is added to the time after which a stalled replica breaks.
	stallMargin = 600 * time.Millisecond
	// joinSlack is the time beyond the expected load after which a replica
	// that is not complete is given up; orders may be carried out late.
	joinSlack = 3 * time.Second
	// adoptAfter is how long an incomplete replica of a former holder may
	// stand before its members are used for others.
	adoptAfter = 3 * time.Second
	// freshFor is the age up to which a report or an answer shows that a VM
	// can be ordered to join.
	freshFor = time.Second
	// reprobeAfter is when a dead VM is probed again.
	reprobeAfter = time.Second
	// watchLapsed is the time between probes of a member that is no longer
	// listed.
	watchLapsed = 400 * time.Millisecond
	// probesToDead is the number of unanswered probes in a row that make a
	// VM count as dead until it reports again.
	probesToDead = 2
	// generationsPerTerm is the number of generations that a term may use.
	generationsPerTerm = 100_000
)

// replica is what the planner knows of a replica besides the reports.
type replica struct {
	name       string
	generation int64
	model      string
	service    string
	members    []string
	// head is the VM of rank 0 as far as it is known.
	head     string
	formedAt time.Duration
	expect   time.Duration
	openSent bool
	// headLeft says that the head left the replica, so that no order of the
	// past can open it any more.
	headLeft bool
	// adopted says that a former term formed it.
	adopted bool
	// lostAt is when the replica was seen to be incomplete after it opened.
	lostAt time.Duration
	// leftAt is when the first member was told to leave a replica whose head
	// is out of reach.
	leftAt   time.Duration
	released bool
	// standby says that the only member holds the model for a repair; such a
	// replica is never opened.
	standby bool
	sentAt  map[string]time.Duration
	// cold holds the members that load from the weight store to join.
	cold map[string]bool
}

// probeState is what probes say of a VM.
type probeState struct {
	// unanswered counts probes in a row without an answer.
	unanswered int
	pending    bool
	sentAt     time.Duration
	answeredAt time.Duration
	// state is the membership's state in the last answer.
	state fleet.MemberState
	// deadAt is when the VM was taken for dead; 0 if it wasn't.
	deadAt time.Duration
}

// Planner decides on orders. It is used from one goroutine.
type Planner struct {
	s          Settings
	term       int64
	generation int64
	replicas   map[string]*replica
	probes     map[string]*probeState
	// loads holds the starts of loads within the window.
	loads []time.Duration
	// changed says that a result calls for a plan at once.
	changed bool
	// listed is the number of VMs of the last plan, grownAt when it grew.
	listed  int
	grownAt time.Duration
}

// NewPlanner returns a Planner without knowledge.
func NewPlanner(s Settings) *Planner {
	p := &Planner{s: s}
	p.Reset(0)
	return p
}

// Reset begins a term; what was known of an earlier one is forgotten.
func (p *Planner) Reset(term int64) {
	p.term, p.generation = term, 0
	p.replicas = map[string]*replica{}
	p.probes = map[string]*probeState{}
	p.loads, p.listed = nil, 0
}

// Changed reports whether a result since the last plan calls for one at once.
func (p *Planner) Changed() bool { return p.changed }

// Plan returns the orders to send now.
func (p *Planner) Plan(now time.Duration, v *fleet.View) []Order {
	p.changed = false
	if v.Config == nil {
		return nil
	}
	round := &round{Planner: p, now: now, view: v, reported: map[string]fleet.Replica{}}
	for _, r := range fleet.Replicas(v.VMs) {
		round.reported[r.Name] = r
		round.adopt(r)
	}
	for _, name := range sortedNames(p.replicas) {
		round.advance(p.replicas[name])
	}
	round.reprobe()
	if !round.settled() {
		return round.orders
	}
	for _, name := range sortedNames(v.Config.Services) {
		if s := v.Config.Services[name]; s.Engine != nil {
			if !round.form(s) {
				round.prepare(s)
			}
		}
	}
	return round.orders
}

// settleFor is how long the list of VMs must not have grown before the first
// replicas are formed: while VMs still register, domains look smaller than they
// are.
const settleFor = 300 * time.Millisecond

// settled reports whether the list of VMs is complete as far as can be told.
func (r *round) settled() bool {
	if n := len(r.view.VMs); n > r.listed {
		r.listed, r.grownAt = n, r.now
	}
	return !r.s.Idle() || r.now-r.grownAt >= settleFor
}

// Suspect asks to probe the members of a replica that stands still.
func (p *Planner) Suspect(now time.Duration, v *fleet.View, head string) []Order {
	vm, ok := v.VMs[head]
	if !ok || v.Config == nil {
		return nil
	}
	round := &round{Planner: p, now: now, view: v}
	for _, r := range fleet.Replicas(v.VMs) {
		if r.Name != vm.Member.Replica {
			continue
		}
		for _, m := range r.Members {
			round.probe(m)
		}
	}
	return round.orders
}

// Done takes the result of an order and returns those that follow from it.
func (p *Planner) Done(now time.Duration, o Order, res Result) []Order {
	switch o.Kind {
	case Probe:
		return p.probed(now, o, res)
	case Leave:
		if r, ok := p.replicas[o.Replica]; ok {
			p.left(now, r, o.VM, res)
		}
	case Open, Close, Join:
		if !res.Accepted {
			p.s.Logger.Warn(decisions.OrderNotAccepted, "order", string(o.Kind), "upstream", o.VM, "replica", o.Replica,
				"generation", o.Generation, "model", o.Model, "status", res.Status)
		}
	}
	return nil
}

// left takes the result of an order to leave.
func (p *Planner) left(now time.Duration, a *replica, vm string, res Result) {
	if res.Accepted && a.head == vm {
		a.headLeft = true
		p.changed = true
	}
	if res.Answered && a.leftAt == 0 {
		a.leftAt = now
	}
}

// probed takes the result of a probe. A VM that doesn't answer is probed again
// at once, until it counts as dead.
func (p *Planner) probed(now time.Duration, o Order, res Result) []Order {
	s, ok := p.probes[o.VM]
	if !ok {
		return nil
	}
	s.pending = false
	if res.Answered {
		if s.deadAt > 0 {
			p.s.Logger.Info(decisions.UpstreamBack, "upstream", o.VM, "dead_ms", (now - s.deadAt).Milliseconds())
		}
		*s = probeState{answeredAt: now, sentAt: s.sentAt, state: res.State}
		return nil
	}
	s.unanswered++
	if s.deadAt > 0 {
		return nil
	}
	if s.unanswered < probesToDead {
		s.pending, s.sentAt = true, now
		return []Order{o}
	}
	s.deadAt = now
	p.changed = true
	p.s.Logger.Warn(decisions.UpstreamDead, "upstream", o.VM, "probes", s.unanswered, "status", res.Status)
	return nil
}

// dead reports whether a VM doesn't answer and has not reported since.
func (p *Planner) dead(vm fleet.VM) bool {
	s, ok := p.probes[vm.ID]
	return ok && s.deadAt > 0 && vm.HeardAt <= s.deadAt
}

// Dead returns the VMs that don't answer.
func (p *Planner) Dead() []string {
	var out []string
	for id, s := range p.probes {
		if s.deadAt > 0 {
			out = append(out, id)
		}
	}
	return out
}

// fresh reports whether a VM showed lately that it can be ordered.
func (r *round) fresh(vm fleet.VM) bool {
	s, ok := r.probes[vm.ID]
	return r.now-vm.HeardAt < freshFor || ok && s.answeredAt > 0 && r.now-s.answeredAt < freshFor
}

// round is one call of Plan.
type round struct {
	*Planner
	now      time.Duration
	view     *fleet.View
	reported map[string]fleet.Replica
	orders   []Order
}

func (r *round) order(o Order) {
	r.orders = append(r.orders, o)
}

// adopt begins to follow a replica that this term did not form.
func (r *round) adopt(rep fleet.Replica) {
	if _, known := r.replicas[rep.Name]; known {
		return
	}
	a := &replica{
		name:       rep.Name,
		generation: rep.Generation,
		service:    rep.Service,
		formedAt:   r.now,
		expect:     adoptAfter,
		adopted:    true,
		sentAt:     map[string]time.Duration{},
	}
	a.learn(rep)
	a.standby = strings.HasPrefix(rep.Name, standbyPrefix)
	for _, m := range rep.Members {
		// Whether the former holder opened it is only seen on the head.
		if s := m.Member.State; s == fleet.MemberOpen || s == fleet.MemberClosing {
			a.openSent = true
		}
		if s := m.Member.State; s == fleet.MemberJoining {
			a.expect = max(a.expect, r.longestLoad(rep.Service))
		}
	}
	if head, ok := rep.Head(); !ok || head.Member.Rank != 0 {
		// The head is out of sight, so it may be open.
		a.openSent = true
	}
	r.replicas[rep.Name] = a
	r.s.Logger.Info(decisions.ReplicaAdopted, "replica", a.name, "generation", a.generation, "model", a.model, "members", a.members)
}

// learn takes over what members of an adopted replica report, late ones
// included.
func (a *replica) learn(rep fleet.Replica) {
	for _, m := range rep.Members {
		if m.Member.Generation != a.generation {
			continue
		}
		if a.model == "" {
			a.model = m.Model
		}
		if !slices.Contains(a.members, m.ID) {
			a.members = append(a.members, m.ID)
		}
	}
}

// longestLoad returns how long a member of a service may take to join.
func (r *round) longestLoad(service string) time.Duration {
	longest := adoptAfter
	if s, ok := r.view.Config.Services[service]; ok && s.Engine != nil {
		for _, m := range s.Engine.Models {
			longest = max(longest, m.LoadTime)
		}
	}
	return longest
}

// advance brings a replica forward: opens, closes or releases it.
func (r *round) advance(a *replica) {
	if a.released {
		r.forget(a)
		return
	}
	rep := r.reported[a.name]
	if a.adopted {
		a.learn(rep)
	}
	if a.standby {
		r.keepStandby(a)
		return
	}
	size := r.size(a)
	present, ready, leaving := 0, 0, false
	for _, m := range rep.Members {
		if m.Member.Generation != a.generation || r.dead(m) {
			continue
		}
		present++
		leaving = leaving || m.Leaving || m.Lapsed && m.Member.Rank == 0
		if m.Member.State == fleet.MemberReady || m.Member.State == fleet.MemberOpen {
			ready++
		}
	}
	switch {
	case a.openSent && (present < size || leaving):
		r.dismantle(a, rep, leaving && present == size)
	case !a.openSent && ready == size && !leaving:
		r.open(a, rep)
	case !a.openSent:
		r.await(a, rep, leaving)
	case a.lostAt > 0:
		// It was being dismantled, so it can't be trusted to be whole.
		r.dismantle(a, rep, false)
	case rep.Members[0].Member.State == fleet.MemberBroken:
		r.release(a, "broken")
	case rep.Members[0].Member.State == fleet.MemberReady:
		r.open(a, rep)
	}
}

// size returns the number of VMs of a replica. One of an unknown model is never
// complete.
func (r *round) size(a *replica) int {
	if s, ok := r.view.Config.Services[a.service]; ok && s.Engine != nil {
		if m, ok := s.Engine.Model(a.model); ok {
			return m.Size
		}
	}
	return math.MaxInt
}

// open orders the head to serve.
func (r *round) open(a *replica, rep fleet.Replica) {
	head, ok := rep.Head()
	if !ok || !r.due(a, "open") {
		return
	}
	if !a.openSent {
		r.s.Logger.Info(decisions.ReplicaOpening, "replica", a.name, "generation", a.generation, "model", a.model,
			"after_ms", (r.now - a.formedAt).Milliseconds())
	}
	a.openSent = true
	r.order(Order{Kind: Open, VM: head.ID, Address: head.Address, Replica: a.name, Generation: a.generation})
}

// due reports whether an order may be sent (again) now.
func (r *round) due(a *replica, what string) bool {
	at, sent := a.sentAt[what]
	if sent && r.now-at < resendAfter {
		return false
	}
	a.sentAt[what] = r.now
	return true
}

// await waits for members to become ready, and gives up if one can't.
func (r *round) await(a *replica, rep fleet.Replica, leaving bool) {
	lost := leaving
	for _, id := range a.members {
		vm, ok := r.view.VMs[id]
		if !ok || r.dead(vm) || vm.Leaving {
			lost = true
		}
	}
	lost = lost || r.now-a.formedAt > a.expect+joinSlack
	switch {
	case lost && a.adopted:
		// An order to open it may be on its way.
		r.dismantle(a, rep, false)
		return
	case lost:
		// It was never opened, so its members are free at once.
		r.release(a, "incomplete")
		return
	case a.adopted:
		return
	}
	for _, id := range a.members {
		vm := r.view.VMs[id]
		if vm.Member.Replica != a.name && r.due(a, "join "+id) {
			r.order(r.join(a, vm))
		}
	}
}

func (r *round) join(a *replica, vm fleet.VM) Order {
	return Order{
		Kind: Join, VM: vm.ID, Address: vm.Address, Replica: a.name, Generation: a.generation,
		Model: a.model, Members: a.members,
	}
}

// dismantle ends a replica that lost a member, or loses one to planned work.
// Its members are free once its head is closed.
func (r *round) dismantle(a *replica, rep fleet.Replica, planned bool) {
	if a.lostAt == 0 {
		a.lostAt = r.now
		r.s.Logger.Info(decisions.ReplicaDismantled, "replica", a.name, "generation", a.generation, "model", a.model,
			"planned", planned, "members", a.members, "reporting", len(rep.Members))
	}
	if a.headLeft {
		r.release(a, "closed")
		return
	}
	head, ok := rep.Head()
	if ok && head.Member.Generation == a.generation && !r.dead(head) {
		switch state := r.state(head); {
		case planned && (state == fleet.MemberOpen || state == fleet.MemberClosing):
			if r.due(a, "close") {
				r.order(Order{Kind: Close, VM: head.ID, Address: head.Address, Replica: a.name, Generation: a.generation})
			}
		default:
			// What runs there stands still, so nothing is lost by leaving.
			r.retire(a, head)
		}
		return
	}
	r.abandon(a, rep)
}

// retire takes the head out of a replica. An order to open it that is still on
// its way has no effect then.
func (r *round) retire(a *replica, head fleet.VM) {
	a.head = head.ID
	if r.due(a, "leave "+head.ID) {
		r.order(Order{Kind: Leave, VM: head.ID, Address: head.Address, Replica: a.name, Generation: a.generation})
	}
}

// abandon ends a replica whose head is out of reach: the other members leave,
// and it breaks when it has stood still for long enough.
func (r *round) abandon(a *replica, rep fleet.Replica) {
	if len(rep.Members) == 0 && a.leftAt == 0 {
		a.leftAt = r.now
	}
	for _, m := range rep.Members {
		if m.Member.Rank != 0 && !r.dead(m) && r.due(a, "leave "+m.ID) {
			r.order(Order{Kind: Leave, VM: m.ID, Address: m.Address, Replica: a.name, Generation: a.generation})
		}
	}
	if a.leftAt > 0 && r.now-a.leftAt > r.s.Stall+stallMargin {
		r.release(a, "head_gone")
	}
}

// release frees the members for other replicas.
func (r *round) release(a *replica, why string) {
	a.released = true
	r.s.Logger.Info(decisions.ReplicaReleased, "replica", a.name, "generation", a.generation, "why", why,
		"after_ms", (r.now - a.formedAt).Milliseconds())
}

// forget drops a released replica once nobody reports it.
func (r *round) forget(a *replica) {
	if _, reported := r.reported[a.name]; !reported {
		delete(r.replicas, a.name)
	}
}

// reprobe asks dead VMs again, and forgets what probes said of VMs that are gone.
func (r *round) reprobe() {
	for _, id := range sortedNames(r.probes) {
		vm, known := r.view.VMs[id]
		switch s := r.probes[id]; {
		case !known:
			delete(r.probes, id)
		case s.deadAt > 0 && !s.pending && r.now-s.sentAt > reprobeAfter:
			r.probe(vm)
		}
	}
	for _, id := range sortedNames(r.view.VMs) {
		vm := r.view.VMs[id]
		if s, ok := r.probes[id]; vm.Lapsed && (!ok || r.now-s.sentAt > watchLapsed) {
			r.probe(vm)
		}
	}
}

// state returns the state of a VM's membership. That of a VM which is no longer
// listed is known from probes only.
func (r *round) state(vm fleet.VM) fleet.MemberState {
	if s, ok := r.probes[vm.ID]; vm.Lapsed && ok && s.answeredAt > vm.HeardAt {
		return s.state
	}
	return vm.Member.State
}

// probe asks a VM whether it answers.
func (r *round) probe(vm fleet.VM) {
	s, ok := r.probes[vm.ID]
	if !ok {
		s = &probeState{}
		r.probes[vm.ID] = s
	}
	if s.pending {
		return
	}
	s.pending, s.sentAt = true, r.now
	r.order(Order{Kind: Probe, VM: vm.ID, Address: vm.Address, Replica: vm.Member.Replica})
}

// sortedNames returns the keys of a map in order.
func sortedNames[T any](m map[string]T) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// Prefixes of names. A standby is a replica of one VM that is never opened.
const (
	replicaPrefix = "r"
	standbyPrefix = "s"
)

// newName returns the name of the next replica; names are never used twice.
func (r *round) newName(prefix string) (string, int64) {
	r.generation++
	g := r.term*generationsPerTerm + r.generation
	return fmt.Sprintf("%s%d", prefix, g), g
}
