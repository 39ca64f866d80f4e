package formation

import (
	"time"

	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/fleet"
)

// probeState is what probes say of a VM.
type probeState struct {
	// unanswered counts probes in a row without an answer.
	unanswered int
	pending    bool
	sentAt     time.Duration
	answeredAt time.Duration
	// state is the membership's state in the last answer.
	state fleet.MemberState
	// pace is the factor on its times in the last answer, slow the number of
	// answers in a row that were slow.
	pace float64
	slow int
	// evicted says that the VM is kept out of replicas because it is slow.
	evicted bool
	// deadAt is when the VM was taken for dead; 0 if it wasn't.
	deadAt time.Duration
}

// suspectGap separates probes of a VM on suspicion: all nodes tell of a silence,
// each several times, and one answer is as good as many.
const suspectGap = 150 * time.Millisecond

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
			if s, ok := p.probes[m.ID]; !ok || now-s.sentAt >= suspectGap {
				round.probe(m)
			}
		}
	}
	return round.orders
}

// probed takes the result of a probe. A VM that doesn't answer is probed again
// at once, until it counts as dead.
func (p *Planner) probed(now time.Duration, o Order, res Result) []Order {
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
			p.s.Logger.Info(decisions.UpstreamBack, "upstream", o.VM, "dead_ms", (now - s.deadAt).Milliseconds())
		}
		*s = probeState{answeredAt: now, sentAt: s.sentAt, state: res.State, slow: s.slow, evicted: s.evicted}
		s.notePace(res.Pace)
		p.changed = p.changed || p.confirming
		return nil
	}
	if s.deadAt > 0 || res.Late {
		return nil
	}
	s.unanswered++
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

// Dead returns the VMs that don't answer or were taken out.
func (p *Planner) Dead() []string {
	var out []string
	for id, s := range p.probes {
		if s.deadAt > 0 || s.evicted {
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
