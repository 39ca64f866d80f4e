package formation

import (
	"time"

	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/fleet"
)

const (
	// slowPace is the factor on its times from which a VM counts as slow: its
	// replica runs at its pace, and a repair without it costs about a second.
	slowPace = 1.8
	// soundPace is the factor up to which a slow VM counts as recovered. It lies
	// well below slowPace, so that a VM is not taken out and in by turns.
	soundPace = 1.2
	// slowProbes is the number of probes in a row that must find a VM slow; one
	// may meet a short delay.
	slowProbes = 2
	// paceAge is how often a slow VM is probed again; VMs are slow for seconds.
	paceAge = 700 * time.Millisecond
)

// notePace takes the pace of an answered probe.
func (s *probeState) notePace(pace float64) {
	switch {
	case pace >= slowPace:
		s.slow++
	case pace <= soundPace:
		s.slow, s.evicted = 0, false
	}
	s.pace = pace
}

// slow reports whether probes found a VM slow.
func (p *Planner) slow(vm fleet.VM) bool {
	s, ok := p.probes[vm.ID]
	return ok && s.slow >= slowProbes
}

// lost reports whether a VM is dead, or taken out because it is slow.
func (p *Planner) lost(vm fleet.VM) bool {
	s, ok := p.probes[vm.ID]
	return p.dead(vm) || ok && s.evicted
}

// watchSlow probes VMs again that were found slow.
func (r *round) watchSlow() {
	for _, id := range sortedNames(r.probes) {
		vm, known := r.view.VMs[id]
		if s := r.probes[id]; known && s.slow > 0 && s.deadAt == 0 && r.now-s.sentAt > paceAge {
			r.probe(vm)
		}
	}
}

// evictSlow takes slow members out of replicas that can be formed anew without
// them and without a load. Where that can't be, a slow replica is better than
// none.
func (r *round) evictSlow(s fleet.Service) {
	var free map[string][]fleet.VM
	for _, name := range sortedNames(r.replicas) {
		a := r.replicas[name]
		if a.service != s.Name || !r.tradeable(a) {
			continue
		}
		m, known := s.Engine.Model(a.model)
		var slow, sound []fleet.VM
		for _, vm := range r.vmsOf(a) {
			if r.slow(vm) {
				slow = append(slow, vm)
			} else {
				sound = append(sound, vm)
			}
		}
		if !known || len(slow) == 0 {
			continue
		}
		if free == nil {
			free = r.freeByDomain(s.Name)
		}
		domain := slow[0].Domain
		c, ok := newCandidate(m, append(soundOf(r, free[domain]), sound...))
		if !ok || c.loads > 0 {
			continue
		}
		for _, vm := range slow {
			r.probes[vm.ID].evicted = true
			r.s.Logger.Warn(decisions.UpstreamEvicted, "upstream", vm.ID, "replica", a.name, "pace", r.probes[vm.ID].pace,
				"pace_age_ms", (r.now - r.probes[vm.ID].answeredAt).Milliseconds(), "free", len(free[domain]))
		}
		// One replica at a time: what is free now is used for it.
		return
	}
}

// soundOf returns the VMs that are not slow.
func soundOf(r *round, vms []fleet.VM) []fleet.VM {
	var out []fleet.VM
	for _, vm := range vms {
		if !r.slow(vm) {
			out = append(out, vm)
		}
	}
	return out
}
