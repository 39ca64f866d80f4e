package formation

import (
	"time"

	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/fleet"
)

// probeState is what probes have shown about a VM.
type probeState struct {
	// unanswered counts consecutive probes without an answer.
	unanswered int
	pending    bool
	sentAt     time.Duration
	// reported is what the VM reported when the last probe was sent; empty if that is unknown.
	reported reportedState
	// report is the VM's last answer that could be decoded, which came at answeredAt.
	answeredAt time.Duration
	report     VMReport
	// slowdown is the slowdown in the VM's last answer. slowAnswers counts the
	// answers at slowThreshold or above since the last one at
	// recoveredThreshold or below.
	slowdown    float64
	slowAnswers int
	// evicted says that the VM is kept out of replicas because it is slow.
	evicted bool
	// deadAt is when the VM was declared dead; 0 if it was not.
	deadAt time.Duration
}

// suspectProbeInterval is the shortest time between two probes of a VM that are
// sent because its replica was reported to make no progress. All nodes report
// such a replica, each of them several times, and one answer serves all these
// reports.
const suspectProbeInterval = 150 * time.Millisecond

// ProbeMembers returns probes to the members of the replica with the given
// head, which is reported to make no progress. It probes only the head of a replica that the
// planner does not know yet.
func (p *Planner) ProbeMembers(now time.Duration, v *fleet.View, head string) []Order {
	vm, ok := v.VM(head)
	if !ok || v.Config == nil {
		return nil
	}
	round := &round{Planner: p, now: now, view: v}
	members := []string{head}
	if a, known := p.replicas[vm.Member.Replica]; known {
		members = a.members
	}
	for _, id := range members {
		m, listed := v.VM(id)
		if s, ok := p.probes[id]; listed && m.Member.Replica == vm.Member.Replica && (!ok || now-s.sentAt >= suspectProbeInterval) {
			round.probe(m)
		}
	}
	return round.orders
}

// handleProbe records the result of a probe. A VM that doesn't answer is probed
// again at once until it counts as dead.
func (p *Planner) handleProbe(now time.Duration, o Order, res Result) []Order {
	s, ok := p.probes[o.VM]
	if !ok {
		return nil
	}
	s.pending = false
	if res.Problem != "" {
		p.s.Logger.Warn(decisions.UpstreamUnreadable, "upstream", o.VM, "status", res.Status, "error", res.Problem)
	}
	if res.Answered {
		if s.deadAt > 0 {
			p.replan = true
			p.s.Logger.Info(decisions.UpstreamBack, "upstream", o.VM, "dead_ms", (now - s.deadAt).Milliseconds())
		}
		s.deadAt, s.unanswered = 0, 0
		if res.Problem == "" {
			s.answeredAt, s.report = now, res.Report
			s.recordSlowdown(res.Report.Slowdown)
		}
		p.replan = p.replan || p.awaitingProbes
		return nil
	}
	if s.deadAt > 0 || res.ProcessDelayed || res.NodeUnreachable {
		return nil
	}
	s.unanswered++
	if s.unanswered < deadAfterProbes {
		s.pending, s.sentAt = true, now
		return []Order{o}
	}
	s.deadAt = now
	p.replan = true
	p.s.Logger.Warn(decisions.UpstreamDead, "upstream", o.VM, "probes", s.unanswered, "status", res.Status)
	return nil
}

// isDead reports whether a VM was declared dead and has not reported since.
func (p *Planner) isDead(vm fleet.VM) bool {
	s, ok := p.probes[vm.ID]
	return ok && s.deadAt > 0 && vm.LastSeen <= s.deadAt
}

// Dead returns the VMs that don't answer probes or were evicted as slow.
func (p *Planner) Dead() []string {
	var out []string
	for id, s := range p.probes {
		if s.deadAt > 0 || s.evicted {
			out = append(out, id)
		}
	}
	return out
}

// recentlySeen reports whether a VM has reported or answered a probe recently
// enough to be ordered to join.
func (r *round) recentlySeen(vm fleet.VM) bool {
	s, ok := r.probes[vm.ID]
	return r.now-vm.LastSeen < freshnessLimit || ok && s.answeredAt > 0 && r.now-s.answeredAt < freshnessLimit
}

// probeDeadAndUnlisted probes dead VMs and VMs whose reports are no longer
// listed. It also deletes the probe results of VMs that are gone.
func (r *round) probeDeadAndUnlisted() {
	var due []fleet.VM
	for id, s := range r.probes {
		vm, known := r.view.VM(id)
		switch {
		case !known:
			delete(r.probes, id)
		case s.deadAt > 0 && !s.pending && r.now-s.sentAt > deadProbeInterval:
			due = append(due, vm)
		}
	}
	for _, vm := range r.inventory.unlisted {
		if s, ok := r.probes[vm.ID]; !ok || r.now-s.sentAt > unlistedProbeInterval {
			due = append(due, vm)
		}
	}
	sortByID(due)
	for _, vm := range due {
		r.probe(vm)
	}
}

// memberState returns the state of a VM's membership. For a VM whose report is
// no longer listed, a later answer to a probe takes precedence over the report.
func (r *round) memberState(vm fleet.VM) fleet.MemberState {
	if s, ok := r.probes[vm.ID]; vm.Unlisted && ok && s.answeredAt > vm.LastSeen {
		return s.report.Member.State
	}
	return vm.Member.State
}

// probe sends a probe to a VM unless one is under way.
func (r *round) probe(vm fleet.VM) {
	s, ok := r.probes[vm.ID]
	if !ok {
		s = &probeState{}
		r.probes[vm.ID] = s
	}
	if s.pending {
		return
	}
	s.pending, s.sentAt, s.reported = true, r.now, reportOf(vm)
	r.order(Order{Kind: Probe, VM: vm.ID, Address: vm.Address, Replica: vm.Member.Replica})
}
