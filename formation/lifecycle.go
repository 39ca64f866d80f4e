package formation

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/fleet"
)

// replica is what the planner knows of a replica or standby in addition to its
// members' reports.
type replica struct {
	name       string
	generation int64
	model      string
	service    string
	members    []string
	// head is the head's VM ID, set once the head was ordered to close or to leave.
	head             string
	formedAt         time.Duration
	expectedJoinTime time.Duration
	openSent         bool
	// headLeft says that the head left the replica, so that no earlier order
	// can open it any more.
	headLeft bool
	// adopted says that the replica was formed under an earlier term of the
	// control lease.
	adopted bool
	// dismantlingSince is when the planner began to dismantle the replica; 0 if
	// it did not.
	dismantlingSince time.Duration
	// left holds when members answered an order to leave, except for those that
	// have reported the replica since.
	left map[string]time.Duration
	// unreportedSince is since when no member reports a replica that is being
	// dismantled; 0 if one does.
	unreportedSince time.Duration
	// released says that the replica's members may join others; releasedAt is
	// since when.
	released   bool
	releasedAt time.Duration
	// headUnseen says that the replica was released while its head could not be reached. A
	// late order may still open it, so a member is free only once it has left.
	headUnseen bool
	// headGone says that the head stopped reporting the replica after the release.
	headGone bool
	// reallocated says that the replica is closed in favour of one of another
	// model.
	reallocated bool
	// standby says that this is a standby: its only member keeps the model
	// loaded to replace a lost member of a replica. It is never opened.
	standby bool
	// sentAt holds when each order was last sent, by the kind of order and the VM.
	sentAt map[string]time.Duration
	// coldMembers holds the members that load the model from the weight store
	// to join.
	coldMembers map[string]bool
}

// handleEnd records the result of an order to leave or to close. A head whose process has
// ended has left: the instance at its address refuses earlier orders to it.
func (p *Planner) handleEnd(now time.Duration, a *replica, o Order, res Result) {
	left := o.Kind == Leave && res.Accepted
	if a.head == o.VM && (left || res.Replaced) {
		a.headLeft = true
		p.replan = true
	}
	if o.Kind == Leave && res.Answered {
		if a.left == nil {
			a.left = map[string]time.Duration{}
		}
		if _, known := a.left[o.VM]; !known {
			a.left[o.VM] = now
		}
	}
}

// adopt starts to track a reported replica that the planner did not form in
// this term.
func (r *round) adopt(rep fleet.Replica) {
	if _, known := r.replicas[rep.Name]; known {
		return
	}
	a := &replica{
		name:             rep.Name,
		generation:       rep.Generation,
		service:          rep.Service,
		formedAt:         r.now,
		expectedJoinTime: minAdoptedJoinTime,
		adopted:          true,
		sentAt:           map[string]time.Duration{},
	}
	a.mergeReport(rep)
	a.standby = strings.HasPrefix(rep.Name, standbyPrefix)
	for _, m := range rep.Members {
		// Only the head's state shows whether the former lease holder opened
		// the replica.
		if s := m.Member.State; s == fleet.MemberOpen || s == fleet.MemberClosing || s == fleet.MemberBroken {
			a.openSent = true
		}
		if s := m.Member.State; s == fleet.MemberJoining {
			a.expectedJoinTime = max(a.expectedJoinTime, r.maxJoinTime(rep.Service))
		}
	}
	if head, ok := rep.Head(); !ok || head.Member.Rank != 0 {
		// The head's report is missing, so the replica may be open.
		a.openSent = true
	}
	r.replicas[rep.Name] = a
	r.s.Logger.Info(decisions.ReplicaAdopted, "replica", a.name, "generation", a.generation, "model", a.model, "members", a.members)
}

// mergeReport adds the model and members that are reported for an adopted
// replica, including members whose reports arrive later.
func (a *replica) mergeReport(rep fleet.Replica) {
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

// maxJoinTime returns the longest time that a member of a replica of the
// service may take to join.
func (r *round) maxJoinTime(service string) time.Duration {
	longest := minAdoptedJoinTime
	if s, ok := r.view.Config.Services[service]; ok && s.Engine != nil {
		for _, m := range s.Engine.Models {
			longest = max(longest, m.LoadTime)
		}
	}
	return longest
}

// advance moves a replica to its next state: it opens, dismantles or releases
// it.
func (r *round) advance(a *replica) {
	if a.released {
		r.dropReleased(a)
		return
	}
	rep := r.reported[a.name]
	if a.adopted {
		a.mergeReport(rep)
	}
	if a.standby {
		r.checkStandby(a)
		return
	}
	size := r.replicaSize(a)
	present, ready, leaving, headLeaving := 0, 0, false, false
	evicted := 0
	for _, m := range rep.Members {
		switch {
		case m.Member.Generation != a.generation || r.isDead(m):
			continue
		case r.unavailable(m):
			evicted++
			continue
		}
		present++
		headLeaving = headLeaving || m.Member.Rank == 0 && (m.Leaving || m.Unlisted)
		leaving = leaving || headLeaving || m.Leaving
		if m.Member.State == fleet.MemberReady || m.Member.State == fleet.MemberOpen {
			ready++
		}
	}
	switch {
	case a.reallocated && a.openSent && present == size:
		r.dismantle(a, rep, true)
	case a.isServing(rep) && present == size && leaving && !headLeaving && r.keepsServing(a, rep):
		// The replica keeps serving until keepsServing allows it to be
		// dismantled.
	case a.openSent && (present < size || leaving):
		r.dismantle(a, rep, (leaving || evicted > 0) && present+evicted == size)
	case a.adopted && !a.openSent && (a.dismantlingSince > 0 || ready == size):
		// Former holders' orders that join a member to a replica of a later
		// generation may still be in flight. Members that have joined a replica of
		// this term refuse them, so the replica is formed again instead of opened.
		r.dismantle(a, rep, false)
	case !a.openSent && ready == size && !leaving:
		r.open(a, rep)
	case !a.openSent:
		r.awaitMembers(a, rep, leaving)
	case a.dismantlingSince > 0:
		// Dismantling had begun, so some members may be leaving although all of
		// them are reported.
		r.dismantle(a, rep, false)
	case rep.Members[0].Member.State == fleet.MemberBroken:
		r.release(a, "broken")
	case rep.Members[0].Member.State == fleet.MemberReady && a.adopted:
		r.dismantle(a, rep, false)
	case rep.Members[0].Member.State == fleet.MemberReady:
		r.open(a, rep)
	}
}

// isServing reports whether a replica was ordered to open, which makes it accept
// requests, and its head (the first member) reports that it is open. A replica that
// is being closed in favour of one of another model, or is being dismantled because
// a member was lost or is leaving, is not serving.
func (a *replica) isServing(rep fleet.Replica) bool {
	return a.openSent && a.dismantlingSince == 0 && !a.reallocated && len(rep.Members) > 0 && rep.Members[0].Member.State == fleet.MemberOpen
}

// replicaSize returns the number of VMs of a complete replica. It returns
// math.MaxInt for an unknown model, so that such a replica never counts as
// complete.
func (r *round) replicaSize(a *replica) int {
	if s, ok := r.view.Config.Services[a.service]; ok && s.Engine != nil {
		if m, ok := s.Engine.Model(a.model); ok {
			return m.Size
		}
	}
	return math.MaxInt
}

// open orders the head to take requests.
func (r *round) open(a *replica, rep fleet.Replica) {
	head, ok := rep.Head()
	if !ok || !r.sendDue(a, "open") {
		return
	}
	if !a.openSent {
		r.s.Logger.Info(decisions.ReplicaOpening, "replica", a.name, "generation", a.generation, "model", a.model,
			"after_ms", (r.now - a.formedAt).Milliseconds())
	}
	a.openSent = true
	r.order(Order{Kind: Open, VM: head.ID, Address: head.Address, Replica: a.name, Generation: a.generation})
}

// sendDue reports whether an order is to be sent now, for the first time or
// again after resendInterval, and records the time if so.
func (r *round) sendDue(a *replica, what string) bool {
	at, sent := a.sentAt[what]
	if sent && r.now-at < resendInterval {
		return false
	}
	a.sentAt[what] = r.now
	return true
}

// awaitMembers handles a replica that is not open yet. It orders members to
// join again if needed, and gives the replica up if a member can't join or too
// much time has passed.
func (r *round) awaitMembers(a *replica, rep fleet.Replica, leaving bool) {
	failed := leaving
	for _, id := range a.members {
		vm, ok := r.view.VM(id)
		if !ok || r.unavailable(vm) || vm.Leaving || r.belongsToOther(a, vm) {
			failed = true
		}
	}
	failed = failed || r.now-a.formedAt > a.expectedJoinTime+joinMargin
	switch {
	case failed && a.adopted:
		// An order of a former lease holder to open the replica may still be in
		// flight.
		r.dismantle(a, rep, false)
		return
	case failed:
		// The replica was never ordered to open, so its members are free at
		// once.
		r.release(a, "incomplete")
		return
	case a.adopted:
		return
	}
	for _, id := range a.members {
		vm, _ := r.view.VM(id)
		if vm.Member.Replica != a.name && r.confirmed(vm) && r.sendDue(a, "join "+id) {
			r.order(r.join(a, vm))
		}
	}
}

// belongsToOther reports whether a VM is a member of another replica, from which it may
// not be taken yet.
func (r *round) belongsToOther(a *replica, vm fleet.VM) bool {
	if vm.Member.Replica == a.name {
		return false
	}
	other, ok := r.replicas[vm.Member.Replica]
	return ok && !other.givesMembers() && !other.standby
}

// givesMembers reports whether VMs that report the replica may join others.
func (a *replica) givesMembers() bool { return a.released && !a.headUnseen }

func (r *round) join(a *replica, vm fleet.VM) Order {
	return Order{
		Kind: Join, VM: vm.ID, Address: vm.Address, Replica: a.name, Generation: a.generation,
		Model: a.model, Members: a.members,
	}
}

// dismantle ends a replica that lost a member or, if planned, one that is
// complete but has a leaving or slow member or is closed in favour of one of another
// model. Its members are free once its head is closed or has left.
func (r *round) dismantle(a *replica, rep fleet.Replica, planned bool) {
	if a.dismantlingSince == 0 {
		a.dismantlingSince = r.now
		r.s.Logger.Info(decisions.ReplicaDismantled, "replica", a.name, "generation", a.generation, "model", a.model,
			"planned", planned, "members", a.members, "reporting", len(rep.Members))
	}
	if a.headLeft {
		r.release(a, "closed")
		return
	}
	head, ok := rep.Head()
	if ok && head.Member.Generation == a.generation && !r.isDead(head) {
		if !r.askedForAccepted(head) {
			return
		}
		switch state := r.memberState(head); {
		case planned && (state == fleet.MemberOpen || state == fleet.MemberClosing) && r.now-a.dismantlingSince < closeTimeout:
			a.head = head.ID
			if r.sendDue(a, "close") {
				r.order(Order{Kind: Close, VM: head.ID, Address: head.Address, Replica: a.name, Generation: a.generation})
			}
		default:
			// The head need not finish its requests: they make no progress
			// without the lost member, or closeTimeout has passed.
			r.removeHead(a, head)
		}
		return
	}
	r.dismantleWithoutHead(a, rep)
}

// closeTimeout is how long requests may continue on a replica that is
// dismantled as planned. Longer streams continue on other replicas, which costs
// each of them a pause; waiting for them would keep the members of a whole
// replica unused.
const closeTimeout = time.Second

// Closing returns the heads of the replicas that are being dismantled.
func (p *Planner) Closing() []string {
	var out []string
	for _, name := range sortedNames(p.replicas) {
		if a := p.replicas[name]; a.dismantlingSince > 0 && !a.released && !a.standby && len(a.members) > 0 {
			out = append(out, a.members[0])
		}
	}
	return out
}

// removeHead orders the head to leave its replica. After that, an order to open
// the replica that is still in flight has no effect.
func (r *round) removeHead(a *replica, head fleet.VM) {
	a.head = head.ID
	if r.sendDue(a, "leave "+head.ID) {
		r.order(Order{Kind: Leave, VM: head.ID, Address: head.Address, Replica: a.name, Generation: a.generation})
	}
}

// dismantleWithoutHead ends a replica whose head is unreachable. It orders the
// other members to leave, and releases the replica once the head must have
// stopped serving for lack of them.
func (r *round) dismantleWithoutHead(a *replica, rep fleet.Replica) {
	r.recordReturns(a, rep)
	r.removeMembers(a, rep)
	timeout := r.s.StallTimeout + stallMargin
	switch {
	case len(a.left) > 0 && r.now-slices.Min(slices.Collect(maps.Values(a.left))) > timeout:
		a.headUnseen = true
		r.release(a, "head_gone")
	case a.unreportedSince > 0 && r.now-a.unreportedSince > timeout:
		// The replica may still serve. It is adopted if a member reports again.
		r.release(a, "unreported")
		delete(r.replicas, a.name)
	}
}

// removeMembers orders the members other than the head to leave their replica.
func (r *round) removeMembers(a *replica, rep fleet.Replica) {
	for _, m := range rep.Members {
		if m.Member.Rank != 0 && !r.isDead(m) && r.sendDue(a, "leave "+m.ID) {
			r.order(Order{Kind: Leave, VM: m.ID, Address: m.Address, Replica: a.name, Generation: a.generation})
		}
	}
}

// recordReturns records which members report a replica that is being dismantled,
// although they had left it, and whether any member reports it.
func (r *round) recordReturns(a *replica, rep fleet.Replica) {
	for _, m := range rep.Members {
		if at, ok := a.left[m.ID]; ok && m.LastSeen > at {
			delete(a.left, m.ID)
		}
	}
	switch {
	case len(rep.Members) > 0:
		a.unreportedSince = 0
	case a.unreportedSince == 0:
		a.unreportedSince = r.now
	}
}

// release makes the members available to other replicas.
func (r *round) release(a *replica, why string) {
	a.released, a.releasedAt = true, r.now
	r.assignmentsChanged()
	r.s.Logger.Info(decisions.ReplicaReleased, "replica", a.name, "generation", a.generation, "why", why,
		"after_ms", (r.now - a.formedAt).Milliseconds())
}

// dropReleased deletes a released replica once no VM reports it. A replica whose head can be
// reached again, or has become a member again through a late order to join, may be opened by a
// late order too, so it is dismantled once more.
func (r *round) dropReleased(a *replica) {
	rep, reported := r.reported[a.name]
	if !reported {
		delete(r.replicas, a.name)
		return
	}
	head, present := rep.Head()
	back := a.headGone && (a.openSent || a.adopted) || a.headUnseen && !r.isDead(head)
	switch {
	case !present:
		a.headGone = true
	case head.Member.State == fleet.MemberBroken:
		a.headUnseen = false
	case back:
		a.released, a.headGone, a.headLeft, a.headUnseen, a.dismantlingSince = false, false, false, false, 0
		r.assignmentsChanged()
		r.dismantle(a, rep, false)
		return
	}
	if a.headUnseen {
		r.removeMembers(a, rep)
	}
}
