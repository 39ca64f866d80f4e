package formation

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/fleet"
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
	leftAt time.Duration
	// released says that its members are free for others, since releasedAt.
	released   bool
	releasedAt time.Duration
	// traded says that the replica is closed for one of another model.
	traded bool
	// standby says that the only member holds the model for a repair; such a
	// replica is never opened.
	standby bool
	sentAt  map[string]time.Duration
	// cold holds the members that load from the weight store to join.
	cold map[string]bool
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
	present, ready, leaving, headLeaving := 0, 0, false, false
	for _, m := range rep.Members {
		if m.Member.Generation != a.generation || r.lost(m) {
			continue
		}
		present++
		headLeaving = headLeaving || m.Member.Rank == 0 && (m.Leaving || m.Lapsed)
		leaving = leaving || headLeaving || m.Leaving
		if m.Member.State == fleet.MemberReady || m.Member.State == fleet.MemberOpen {
			ready++
		}
	}
	switch {
	case a.traded && a.openSent && present == size:
		r.dismantle(a, rep, true)
	case a.serves(rep) && present == size && leaving && !headLeaving && r.servesOn(a, rep):
		// It is ended when its turn comes.
	case a.openSent && (present < size || leaving):
		r.dismantle(a, rep, leaving && present == size)
	case !a.openSent && ready == size && !leaving:
		r.open(a, rep)
	case !a.openSent:
		r.await(a, rep, leaving)
	case a.lostAt > 0:
		// It was being ended, so it can't be trusted to be whole.
		r.dismantle(a, rep, false)
	case rep.Members[0].Member.State == fleet.MemberBroken:
		r.release(a, "broken")
	case rep.Members[0].Member.State == fleet.MemberReady:
		r.open(a, rep)
	}
}

// serves reports whether a replica is open and nothing ends it.
func (a *replica) serves(rep fleet.Replica) bool {
	return a.openSent && a.lostAt == 0 && !a.traded && len(rep.Members) > 0 && rep.Members[0].Member.State == fleet.MemberOpen
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
		if !ok || r.lost(vm) || vm.Leaving {
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
		case planned && (state == fleet.MemberOpen || state == fleet.MemberClosing) && r.now-a.lostAt < closeFor:
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

// closeFor is how long the requests of a replica that is ended as planned may go
// on there. Streams that take longer go on at other replicas, which costs each a
// pause; the members that wait for them cost a whole replica.
const closeFor = time.Second

// Closing returns the heads of replicas that are being ended.
func (p *Planner) Closing() []string {
	var out []string
	for _, name := range sortedNames(p.replicas) {
		if a := p.replicas[name]; a.lostAt > 0 && !a.released && !a.standby && len(a.members) > 0 {
			out = append(out, a.members[0])
		}
	}
	return out
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
	a.released, a.releasedAt, r.owners = true, r.now, nil
	r.s.Logger.Info(decisions.ReplicaReleased, "replica", a.name, "generation", a.generation, "why", why,
		"after_ms", (r.now - a.formedAt).Milliseconds())
}

// forget drops a released replica once nobody reports it.
func (r *round) forget(a *replica) {
	if _, reported := r.reported[a.name]; !reported {
		delete(r.replicas, a.name)
	}
}
