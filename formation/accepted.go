package formation

import (
	"slices"
	"time"

	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/fleet"
)

// conflictRetryDelay is the time after which an order is sent again that a VM refused
// because it had accepted another number of orders than was known.
const conflictRetryDelay = 200 * time.Millisecond

// probeLag is the greatest age of what a VM says of itself in its answer to a probe.
const probeLag = 400 * time.Millisecond

// conditional reports whether orders of this kind say how many orders the VM must have
// accepted, so that it begins them only in the state in which the planner saw it.
func (k OrderKind) conditional() bool { return k == Join || k == Open || k == Leave || k == Close }

// acceptedOrders is the number of orders that a VM had accepted in one run of its process
// after it began one of this node's.
type acceptedOrders struct {
	boot  int64
	count int64
	// answeredAt is when the VM answered that order.
	answeredAt time.Duration
}

// acceptedBy returns the number of orders that a VM has accepted, as far as answers have
// shown it in this term; nil if they have not. It is exact unless the VM has accepted
// orders of others since. A probe counts only if it found the VM in the replica that the
// VM reports, as the number must not cover a change that the planner has not seen.
func (r *round) acceptedBy(vm fleet.VM) *int64 {
	var known *int64
	if a, ok := r.accepted[vm.ID]; ok && a.boot == vm.Boot {
		known = &a.count
	}
	if s, ok := r.probes[vm.ID]; ok && s.report.Accepted != nil && !s.contradicts(vm) && (known == nil || *s.report.Accepted > *known) {
		known = s.report.Accepted
	}
	return known
}

// contradicts reports whether the VM's last answer to a probe shows another run of its
// process or another replica than the VM's report.
func (s *probeState) contradicts(vm fleet.VM) bool {
	m := s.report.Member
	return s.report.Boot != vm.Boot || m.Replica != vm.Member.Replica || m.Generation != vm.Member.Generation
}

// reportedOtherwise reports whether a recent probe shows a VM in another state than its
// report, which is older.
func (r *round) reportedOtherwise(vm fleet.VM) bool {
	s, ok := r.probes[vm.ID]
	recent := ok && s.answeredAt > 0 && r.now-s.answeredAt < freshnessLimit
	return recent && s.report.Accepted != nil && s.contradicts(vm) && s.sentAt-vm.LastSeen > probeLag
}

// acceptedSinceReport reports whether the number of orders that a VM has accepted is known
// from an answer that came after its report, or from a recent one since which the VM has
// repeated its report. The number grows without an order when staging is done, which changes
// the report.
func (r *round) acceptedSinceReport(vm fleet.VM) bool {
	if r.acceptedBy(vm) == nil {
		return false
	}
	if r.accepted[vm.ID].answeredAt >= vm.LastSeen {
		return true
	}
	s, ok := r.probes[vm.ID]
	if !ok || s.answeredAt >= vm.LastSeen {
		return ok
	}
	return s.answeredAt >= s.sentAt && r.now-s.answeredAt < freshnessLimit && s.reported.equal(reportOf(vm))
}

// reportedState is what a VM's reports say of the orders that it has accepted.
type reportedState struct {
	boot             int64
	member           fleet.Membership
	model, lastModel string
	staged           []string
}

func reportOf(vm fleet.VM) reportedState {
	return reportedState{boot: vm.Boot, member: vm.Member, model: vm.Model, lastModel: vm.LastModel, staged: vm.Staged}
}

func (s reportedState) equal(other reportedState) bool {
	return s.boot == other.boot && s.member == other.member && s.model == other.model && s.lastModel == other.lastModel &&
		slices.Equal(s.staged, other.staged)
}

// confirmed reports whether a VM can be ordered to join now: it has reported or answered
// recently, and the number of orders that it has accepted is known, if it tells it. It
// probes the VM otherwise.
func (r *round) confirmed(vm fleet.VM) bool {
	s, ok := r.probes[vm.ID]
	silent := ok && s.answeredAt > 0 && s.report.Accepted == nil
	if r.recentlySeen(vm) && (silent || r.acceptedSinceReport(vm)) {
		return true
	}
	r.awaitingProbes = true
	if !ok || r.now-s.sentAt >= suspectProbeInterval {
		r.probe(vm)
	}
	return false
}

// askedForAccepted reports whether the number of orders that a VM has accepted is known, or
// an answer to a probe did not show it. It probes the VM if none has been sent. An order
// that is accepted without that number leaves it unknown until answers show it, which takes
// up to probeLag.
func (r *round) askedForAccepted(vm fleet.VM) bool {
	if r.acceptedBy(vm) != nil {
		return true
	}
	s, ok := r.probes[vm.ID]
	if ok {
		return !s.pending
	}
	r.awaitingProbes = true
	r.probe(vm)
	return false
}

// recordAccepted records that a VM has begun an order, or that it has accepted others than
// was known.
func (p *Planner) recordAccepted(now time.Duration, o Order, res Result) {
	switch {
	case o.Expected == nil:
	case res.Accepted:
		count := *o.Expected + 1
		if a, ok := p.accepted[o.VM]; ok && a.boot == o.Boot {
			count = max(count, a.count)
		}
		p.accepted[o.VM] = acceptedOrders{o.Boot, count, now}
	case res.Conflict:
		delete(p.accepted, o.VM)
	}
}

// handleConflict handles the refusal of an order by a VM that is in another state than was
// known. An order that ends a replica is sent again at once without a condition. Any other
// is sent again soon, and a probe asks for the number of orders that the VM has accepted.
func (p *Planner) handleConflict(now time.Duration, o Order, res Result) []Order {
	if o.Kind == Close || o.Kind == Leave {
		o.Expected = nil
		return []Order{o}
	}
	p.s.Logger.Warn(decisions.OrderNotAccepted, "order", string(o.Kind), "upstream", o.VM, "replica", o.Replica,
		"generation", o.Generation, "model", o.Model, "status", res.Status, "expected", *o.Expected)
	a, ok := p.replicas[o.Replica]
	if !ok {
		return nil
	}
	what := string(o.Kind)
	if o.Kind == Join {
		what += " " + o.VM
	}
	a.sentAt[what] = now - resendInterval + conflictRetryDelay
	s, ok := p.probes[o.VM]
	if !ok {
		s = &probeState{}
		p.probes[o.VM] = s
	}
	if s.pending {
		return nil
	}
	s.pending, s.sentAt, s.reported = true, now, reportedState{}
	return []Order{{Kind: Probe, VM: o.VM, Address: o.Address, Replica: o.Replica}}
}
