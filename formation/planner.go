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
	"slices"
	"time"

	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/fleet"
)

// OrderKind is what an order asks of a VM.
type OrderKind string

// Kinds of orders. A close lets requests in flight finish. A probe changes
// nothing: it asks whether the VM answers. Stage loads a model onto the VM's host
// while the VM goes on as it is.
const (
	Join  OrderKind = "join"
	Open  OrderKind = "open"
	Close OrderKind = "close"
	Leave OrderKind = "leave"
	Probe OrderKind = "probe"
	Stage OrderKind = "stage"
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
	// Late says that this process was held up meanwhile, so that a missing
	// answer says nothing of the VM.
	Late bool
	// Pace is the factor on its times that a probed VM answered; over 1 is
	// slow, 0 unknown.
	Pace float64
	// Problem says why an answer could not be read; empty if it could.
	Problem string
	// Status is for log lines.
	Status string
}

// Settings configures a Planner.
type Settings struct {
	// Stall is how long a replica that lost a member stands still before it
	// breaks.
	Stall time.Duration
	// Drain is how long a VM goes on after it reported to leave.
	Drain time.Duration
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
	// stallMargin is added to the time after which a stalled replica breaks. It
	// counts from a member's answer that it has left, and covers the head's
	// notice of that and the way of the next order.
	stallMargin = 300 * time.Millisecond
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

// Planner decides on orders. It is used from one goroutine.
type Planner struct {
	s          Settings
	term       int64
	generation int64
	replicas   map[string]*replica
	probes     map[string]*probeState
	// staging holds loads onto hosts by VM, reserved domains that are kept for
	// a model.
	staging  map[string]staging
	reserved map[string]reservation
	// grown says when the number of free VMs last grew, by domain.
	grown map[string]growth
	// loads holds the starts of loads within the window.
	loads []time.Duration
	// changed says that a result calls for a plan at once, confirming that
	// answers of probes are waited for.
	changed, confirming bool
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
	p.staging, p.reserved, p.grown = map[string]staging{}, map[string]reservation{}, map[string]growth{}
	p.loads, p.listed = nil, 0
}

// Changed reports whether a result since the last plan calls for one at once.
func (p *Planner) Changed() bool { return p.changed }

// Plan returns the orders to send now.
func (p *Planner) Plan(now time.Duration, v *fleet.View) []Order {
	p.changed, p.confirming = false, false
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
	round.watchSlow()
	if !round.settled() {
		return round.orders
	}
	for _, name := range sortedNames(v.Config.Services) {
		if s := v.Config.Services[name]; s.Engine != nil {
			round.evictSlow(s)
			if !round.form(s) {
				round.prepare(s)
				round.stageAhead(s)
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

// growth is when a number last grew.
type growth struct {
	n  int
	at time.Duration
}

// steady reports whether a domain's free VMs have not grown in number for a
// while. VMs that were dark together come back one after the other.
func (r *round) steady(domain string, free int) bool {
	g, known := r.grown[domain]
	if !known || free > g.n {
		g.at = r.now
	}
	g.n = free
	r.grown[domain] = g
	return r.s.Idle() || r.now-g.at >= steadyFor
}

// steadyFor is how long the number of a domain's free VMs must not have grown
// before any of them loads: a load takes more than ten seconds, and a VM that
// needs none may be back in less than one.
const steadyFor = 700 * time.Millisecond

// Done takes the result of an order and returns those that follow from it.
func (p *Planner) Done(now time.Duration, o Order, res Result) []Order {
	switch o.Kind {
	case Probe:
		return p.probed(now, o, res)
	case Leave:
		if r, ok := p.replicas[o.Replica]; ok {
			p.left(now, r, o.VM, res)
		}
	case Open, Close, Join, Stage:
		if !res.Accepted {
			p.s.Logger.Warn(decisions.OrderNotAccepted, "order", string(o.Kind), "upstream", o.VM, "replica", o.Replica,
				"generation", o.Generation, "model", o.Model, "status", res.Status)
		}
	}
	return nil
}

// round is one call of Plan.
type round struct {
	*Planner
	now      time.Duration
	view     *fleet.View
	reported map[string]fleet.Replica
	orders   []Order
	// owners holds the replica of each VM; nil when it must be found anew.
	owners map[string]*replica
}

func (r *round) order(o Order) {
	r.orders = append(r.orders, o)
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
