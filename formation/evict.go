package formation

import (
	"slices"
	"time"

	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/fleet"
)

const (
	// slowThreshold is the slowdown (see Result.Slowdown) from which a VM
	// counts as slow. A replica is as slow as its slowest member, and forming
	// it again without that member takes about a second.
	slowThreshold = 1.8
	// recoveredThreshold is the slowdown up to which a slow VM counts as
	// recovered. It lies well below slowThreshold, so that a VM is not evicted
	// and used again in alternation.
	recoveredThreshold = 1.2
	// minSlowAnswers is the number of answers to probes with a slowdown of at
	// least slowThreshold, and none of at most recoveredThreshold in between,
	// from which a VM counts as slow. A single such answer may be due to a
	// short delay.
	minSlowAnswers = 2
	// slowProbeInterval is the time between probes of a slow VM. A VM that is
	// slow stays so for seconds.
	slowProbeInterval = 700 * time.Millisecond
)

// recordSlowdown records the slowdown that a VM reported in its answer to a
// probe.
func (s *probeState) recordSlowdown(slowdown float64) {
	switch {
	case slowdown >= slowThreshold:
		s.slowAnswers++
	case slowdown <= recoveredThreshold:
		s.slowAnswers, s.evicted = 0, false
	}
	s.slowdown = slowdown
}

// isSlow reports whether enough probes found a VM slow.
func (p *Planner) isSlow(vm fleet.VM) bool {
	s, ok := p.probes[vm.ID]
	return ok && s.slowAnswers >= minSlowAnswers
}

// anySlow reports whether enough probes found any VM slow.
func (p *Planner) anySlow() bool {
	for _, s := range p.probes {
		if s.slowAnswers >= minSlowAnswers {
			return true
		}
	}
	return false
}

// unavailable reports whether a VM is dead or was evicted because it is slow.
func (p *Planner) unavailable(vm fleet.VM) bool {
	s, ok := p.probes[vm.ID]
	return p.isDead(vm) || ok && s.evicted
}

// probeSlow probes the VMs whose last probes found them slow.
func (r *round) probeSlow() {
	var due []string
	for id, s := range r.probes {
		if s.slowAnswers > 0 && s.deadAt == 0 && r.now-s.sentAt > slowProbeInterval {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	for _, id := range due {
		if vm, known := r.view.VM(id); known {
			r.probe(vm)
		}
	}
}

// evictSlow evicts slow members of one replica, if a replica of its model can
// be formed without them and without loading weights from the weight store.
// Otherwise the replica stays, as a slow replica is better than none.
func (r *round) evictSlow(s fleet.Service, free map[string][]fleet.VM) {
	if !r.anySlow() {
		return
	}
	for _, name := range sortedNames(r.replicas) {
		a := r.replicas[name]
		if a.service != s.Name || !r.canBeClosed(a) {
			continue
		}
		m, known := s.Engine.Model(a.model)
		var slow, healthy []fleet.VM
		for _, vm := range r.usableMembers(a) {
			if r.isSlow(vm) {
				slow = append(slow, vm)
			} else {
				healthy = append(healthy, vm)
			}
		}
		if !known || len(slow) == 0 {
			continue
		}
		domain := slow[0].Domain
		c, ok := newCandidate(m, append(withoutSlow(r, free[domain]), healthy...))
		if !ok || c.loads > 0 {
			continue
		}
		for _, vm := range slow {
			r.probes[vm.ID].evicted = true
			r.s.Logger.Warn(decisions.UpstreamEvicted, "upstream", vm.ID, "replica", a.name, "pace", r.probes[vm.ID].slowdown,
				"pace_age_ms", (r.now - r.probes[vm.ID].answeredAt).Milliseconds(), "free", len(free[domain]))
		}
		// Only one replica is changed in a round: the replica that takes its
		// place may need the VMs that are free now, so they can't be counted on
		// for a second one.
		return
	}
}

// withoutSlow returns the VMs that are not slow.
func withoutSlow(r *round, vms []fleet.VM) []fleet.VM {
	var out []fleet.VM
	for _, vm := range vms {
		if !r.isSlow(vm) {
			out = append(out, vm)
		}
	}
	return out
}
