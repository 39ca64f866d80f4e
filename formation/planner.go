// Package formation forms replicas out of upstream VMs and repairs them.
//
// The planner learns which replicas exist from the VMs' own reports, so a new
// holder of the control lease needs no record of what the former one did. The
// package guarantees:
//   - a replica is opened only after every one of its members reported itself
//     ready under the replica's name, generation and list of members;
//   - a VM joins another replica only after the head of its former one was seen
//     closed, or after the former replica was stalled for longer than the time
//     after which its head reports it as broken;
//   - loads from the weight store start within its rate;
//   - no replica is formed and no model loaded in an evacuated zone while the service
//     has usable VMs in another one.
package formation

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/fleet"
)

// OrderKind is the operation that an order asks of a VM.
type OrderKind string

// Kinds of orders. Close lets requests in flight finish. Probe changes nothing;
// it asks whether the VM answers. Stage loads a model into the memory of the
// VM's host and leaves the VM's membership as it is.
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
	// VM and Address are the ID and the address of the VM that receives the
	// order.
	VM, Address string
	// Replica and Generation identify the replica that the order concerns.
	Replica    string
	Generation int64
	Model      string
	// Members holds the IDs of the replica's VMs by rank, in an order to join.
	Members []string
	// Expected is the number of orders that the VM must have accepted to begin the order;
	// nil if it may be any. Boot identifies the run of the VM's process meant.
	Expected *int64
	Boot     int64
}

// Result is the outcome of an order.
type Result struct {
	// Accepted says that the VM answered that it has begun or carried out the
	// order.
	Accepted bool
	// Answered says that the VM answered at all, even with a refusal.
	Answered bool
	// Conflict says that the VM refused the order because it is in another state than
	// the order supposes, or has accepted another number of orders.
	Conflict bool
	// Report is the answer to a probe.
	Report VMReport
	// Replaced says that an order was answered by another instance at the VM's address:
	// the VM's process has ended.
	Replaced bool
	// ProcessDelayed says that this process was delayed while it waited for the
	// answer, so that a missing answer does not show that the VM is
	// unreachable.
	ProcessDelayed bool
	// NodeUnreachable says that this node may be unable to reach any VM, so that a missing
	// answer does not show that the VM is unreachable.
	NodeUnreachable bool
	// Problem says why the VM's answer could not be decoded; empty if it could.
	Problem string
	// Status is the HTTP status or the error, for log lines only.
	Status string
}

// VMReport is what a VM says of itself in its answer to a probe.
type VMReport struct {
	// Boot identifies the run of the VM's process; Accepted is the number of orders that
	// it has accepted, nil if it does not say.
	Boot     int64
	Accepted *int64
	Member   fleet.Membership
	// Slowdown is the factor by which the VM's work takes longer than normal. It is
	// above 1 for a slow VM and 0 if unknown.
	Slowdown float64
}

// Settings configures a Planner.
type Settings struct {
	// StallTimeout is how long a replica that lost a member makes no progress
	// before its head reports it as broken.
	StallTimeout time.Duration
	// DrainTime is how long a VM goes on serving after it reported that it is
	// leaving.
	DrainTime time.Duration
	// LoadWindow is the time window in which the starts of loads are counted
	// against the weight store's rate.
	LoadWindow time.Duration
	// NoRequestYet reports whether the deployment has received no request since
	// it began. Until the first request, loads are quick and don't count
	// against the weight store's rate.
	NoRequestYet func() bool
	// ReplicaLoad returns the load of all nodes together on a replica; nil if it is not
	// known, and the models' shares of the work are then those of the configuration.
	ReplicaLoad func(fleet.Target) ReplicaLoad
	Logger      *slog.Logger
}

const (
	// resendInterval is the time after which an order without visible effect is
	// sent again. A VM's report reaches this node within about half a second.
	resendInterval = 700 * time.Millisecond
	// stallMargin is added to Settings.StallTimeout before a stalled replica
	// counts as broken. The sum counts from a member's answer that it has left;
	// the margin covers the time until the head notices that and the delivery
	// time of the next order.
	stallMargin = 300 * time.Millisecond
	// joinMargin is the time beyond the expected join time after which an
	// incomplete replica is given up. VMs may carry out orders late.
	joinMargin = 3 * time.Second
	// minAdoptedJoinTime is the least time that an incomplete replica of a
	// former lease holder is expected to need to become ready. Its members are
	// used for other replicas joinMargin later.
	minAdoptedJoinTime = 3 * time.Second
	// freshnessLimit is the age up to which a report or an answer to a probe
	// shows that a VM can be ordered to join.
	freshnessLimit = time.Second
	// deadProbeInterval is the time between probes of a dead VM.
	deadProbeInterval = time.Second
	// unlistedProbeInterval is the time between probes of a member whose report
	// is no longer listed.
	unlistedProbeInterval = 400 * time.Millisecond
	// deadAfterProbes is the number of consecutive unanswered probes from which
	// a VM counts as dead until it reports or answers again.
	deadAfterProbes = 2
	// generationsPerTerm is the number of generations that each term of the
	// control lease may use.
	generationsPerTerm = 100_000
)

// Planner decides which orders to send. It is not safe for concurrent use.
type Planner struct {
	s          Settings
	term       int64
	generation int64
	replicas   map[string]*replica
	probes     map[string]*probeState
	// accepted holds what orders showed of the numbers of orders that VMs have accepted.
	accepted map[string]acceptedOrders
	// staging holds the loads onto hosts by VM; reservations holds the domains
	// that are reserved for a model.
	staging      map[string]stagingLoad
	reservations map[string]reservation
	// freeCounts holds the number of free VMs by domain.
	freeCounts map[string]freeCount
	// measured holds the measured demand by service.
	measured map[string]*measuredDemand
	// loadStarts holds the times at which loads within the window started.
	loadStarts []time.Duration
	// replan says that a result calls for a plan soon; awaitingProbes says
	// that a replica is formed once its VMs have answered probes.
	replan, awaitingProbes bool
	// waiting describes the last round.
	waiting waiting
	// vmCount is the highest number of VMs seen in a plan; vmCountGrownAt is
	// when it last grew.
	vmCount        int
	vmCountGrownAt time.Duration
	// takeover is what the planner waits for before the first plan of a term.
	takeover takeover
}

// NewPlanner returns a Planner that knows no replicas yet.
func NewPlanner(s Settings) *Planner {
	p := &Planner{s: s}
	p.Reset(0, 0)
	return p
}

// Reset begins a term of the control lease, whose claim was sent at claimedAt, and
// discards what was known in an earlier one.
func (p *Planner) Reset(term int64, claimedAt time.Duration) {
	p.term, p.generation = term, 0
	p.replicas = map[string]*replica{}
	p.probes = map[string]*probeState{}
	p.accepted = map[string]acceptedOrders{}
	p.staging, p.reservations, p.freeCounts = map[string]stagingLoad{}, map[string]reservation{}, map[string]freeCount{}
	p.measured = map[string]*measuredDemand{}
	p.loadStarts, p.vmCount, p.takeover = nil, 0, takeover{claimedAt: claimedAt}
}

// NeedsReplan reports whether a result since the last plan calls for a new plan soon.
func (p *Planner) NeedsReplan() bool { return p.replan }

// Plan updates the replicas from the VMs' reports and returns the orders to
// send now. The reports were current at verifiedAt or later. The times are those of
// the boot clock.
func (p *Planner) Plan(now, verifiedAt time.Duration, v *fleet.View) []Order {
	p.replan, p.awaitingProbes, p.waiting = false, false, waiting{}
	if v.Config == nil || !p.seesFormerOrders(now, verifiedAt) {
		return nil
	}
	round := &round{Planner: p, now: now, view: v, inventory: newInventory(v), reported: map[string]fleet.Replica{}}
	for _, r := range fleet.Replicas(v.All()) {
		round.reported[r.Name] = r
		round.adopt(r)
	}
	for _, name := range sortedNames(p.replicas) {
		round.advance(p.replicas[name])
	}
	round.assignmentsChanged()
	round.dropEndedStaging()
	round.probeDeadAndUnlisted()
	round.probeSlow()
	if !round.vmListSettled() {
		return round.orders
	}
	for _, name := range sortedNames(v.Config.Services) {
		if s := v.Config.Services[name]; s.Engine != nil {
			round.measureDemand(s)
			free := round.freeByDomain(name)
			round.evictSlow(s, free)
			round.form(s, free)
			round.formStandbys(s, free)
			round.stageModels(s)
		}
	}
	return round.orders
}

// takeover is the start of a term of the control lease, as far as the planner knows it.
type takeover struct {
	// claimedAt is when the claim of the lease was sent; former holders have sent no
	// orders since.
	claimedAt time.Duration
	// done says that the reports show what the former holder's orders had done by then.
	done bool
}

// reportTime is how long a VM's report takes at most to reach the log after an order that
// the VM carries out at once. Orders that are carried out later are a different matter: a
// replica of this term is opened only once its members refuse them.
const reportTime = 200 * time.Millisecond

// seesFormerOrders reports whether the view is recent enough to plan with: it must show
// what the former holder of the lease had ordered up to its end. A VM that seems to be free
// in an older view may be a member of an open replica.
func (p *Planner) seesFormerOrders(now, verifiedAt time.Duration) bool {
	t := &p.takeover
	if !t.done && verifiedAt-t.claimedAt >= reportTime {
		t.done = true
		p.s.Logger.Info(decisions.PlanningBegun, "term", p.term, "waited_ms", (now - t.claimedAt).Milliseconds(), "reports_age_ms", (now - verifiedAt).Milliseconds())
	}
	return t.done
}

// vmListSettleTime is how long the list of VMs must not have grown before the
// first replicas are formed. While VMs are still registering, domains look
// smaller than they are.
const vmListSettleTime = 300 * time.Millisecond

// vmListSettled reports whether the list of VMs has stopped growing. Once
// requests have come, it always reports true.
func (r *round) vmListSettled() bool {
	if n := r.view.Len(); n > r.vmCount {
		r.vmCount, r.vmCountGrownAt = n, r.now
	}
	return !r.s.NoRequestYet() || r.now-r.vmCountGrownAt >= vmListSettleTime
}

// freeCount is the number of free VMs of a domain and the time at which it last
// grew.
type freeCount struct {
	n       int
	grownAt time.Duration
}

// freeCountStable reports whether the number of a domain's free VMs has not
// grown for freeCountStableFor. VMs that failed together come back one after
// the other.
func (r *round) freeCountStable(domain string, free int) bool {
	g, known := r.freeCounts[domain]
	if !known || free > g.n {
		g.grownAt = r.now
	}
	g.n = free
	r.freeCounts[domain] = g
	return r.s.NoRequestYet() || r.now-g.grownAt >= freeCountStableFor
}

// freeCountStableFor is how long the number of a domain's free VMs must not
// have grown before any of them loads a model. A load takes more than ten
// seconds, and a VM that needs none may be back in less than one.
const freeCountStableFor = 700 * time.Millisecond

// HandleResult handles the result of an order and returns the orders that
// follow from it.
func (p *Planner) HandleResult(now time.Duration, o Order, res Result) []Order {
	p.recordAccepted(now, o, res)
	if res.Conflict && o.Expected != nil {
		return p.handleConflict(now, o, res)
	}
	switch o.Kind {
	case Probe:
		return p.handleProbe(now, o, res)
	case Leave, Close:
		if r, ok := p.replicas[o.Replica]; ok {
			p.handleEnd(now, r, o, res)
		}
	case Open, Join, Stage:
	}
	if !res.Accepted && (o.Kind != Leave || res.Replaced) {
		p.s.Logger.Warn(decisions.OrderNotAccepted, "order", string(o.Kind), "upstream", o.VM, "replica", o.Replica,
			"generation", o.Generation, "model", o.Model, "status", res.Status)
	}
	return nil
}

// round is the state of one call of Plan or ProbeMembers.
type round struct {
	*Planner
	now      time.Duration
	view     *fleet.View
	reported map[string]fleet.Replica
	orders   []Order
	// inventory holds the view's VMs; nil in ProbeMembers.
	inventory *inventory
	// underWay is the number of loads under way; nil until it is first asked for.
	underWay *int
	// plannedLoads is the number of loads of the replicas that wait to be formed.
	plannedLoads int
	// lackingDomains holds the domains for adoptedLacksMember; nil if it must be computed
	// again.
	lackingDomains map[string]bool
	// assignments holds the replica or standby that each VM was ordered to
	// join; nil if it must be computed again.
	assignments map[string]*replica
}

func (r *round) order(o Order) {
	if vm, ok := r.view.VM(o.VM); ok && o.Kind.conditional() {
		o.Boot, o.Expected = vm.Boot, r.acceptedBy(vm)
	}
	r.orders = append(r.orders, o)
}

// sortedNames returns the keys of a map in ascending order.
func sortedNames[T any](m map[string]T) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// Prefixes of the names of replicas and of standbys. A standby is a replica of
// one VM that is never opened.
const (
	replicaPrefix = "r"
	standbyPrefix = "s"
)

// newName returns the name and generation of a new replica or standby; neither
// is ever used again.
func (r *round) newName(prefix string) (string, int64) {
	r.generation++
	g := r.term*generationsPerTerm + r.generation
	return fmt.Sprintf("%s%d", prefix, g), g
}
