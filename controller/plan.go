package controller

import (
	"log/slog"
	"math"
	"time"

	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/placement"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/record"
)

// loadHalfLife is the half-life of a measurement's weight in the averaged load.
// The average keeps short peaks from moving replicas between models.
const loadHalfLife = 2 * time.Minute

// pendingRecords holds the formations and dissolutions that were sent to the
// log and have not been read back from it, by record identifier. The planner
// counts them as done.
type pendingRecords struct {
	formations   map[string]placement.Replica
	dissolutions map[string]placement.Dissolve
}

func newPendingRecords() pendingRecords {
	return pendingRecords{
		formations:   map[string]placement.Replica{},
		dissolutions: map[string]placement.Dissolve{},
	}
}

func (p *pendingRecords) remove(id string) {
	delete(p.formations, id)
	delete(p.dissolutions, id)
}

func (p *pendingRecords) len() int { return len(p.formations) + len(p.dissolutions) }

// dissolving reports whether a dissolution of the given generation of a replica
// is pending.
func (p *pendingRecords) dissolving(name string, g record.Position) bool {
	for _, d := range p.dissolutions {
		if d.Replica == name && d.Generation == g {
			return true
		}
	}
	return false
}

// plan runs the planner and returns the effects that append its actions to the
// control stream.
func (s *Service) plan(now time.Time) []kernel.Effect {
	vms := s.fleet.plannerVMs(now, s.Control)
	replicas := s.plannerReplicas(now)
	s.load.add(now, s.measuredLoad())
	models := s.models
	in := placement.Input{
		VMs:                 vms,
		Replicas:            replicas,
		Models:              models.Models,
		StoreBytesPerSecond: models.BytesPerSecond,
		Demands:             placement.Demands(s.document, models.Models, s.load.value, usableVMs(vms)),
		Now:                 now,
	}
	var out []kernel.Effect
	s.planner.Sync(in)
	for _, a := range s.planner.Plan(now) {
		out = append(out, s.appendAction(now, a))
	}
	return out
}

// usableVMs counts the VMs that are neither lost nor leaving: the capacity over
// which the planner shares out replicas.
func usableVMs(vms []placement.VM) int {
	n := 0
	for _, v := range vms {
		if v.Liveness != placement.Lost && !v.Leaving {
			n++
		}
	}
	return n
}

// plannerReplicas returns the live replicas of the ledger and the pending ones.
func (s *Service) plannerReplicas(now time.Time) []placement.Replica {
	var out []placement.Replica
	live := map[string]bool{}
	for _, r := range s.Control.Replicas() {
		live[r.Name] = true
		out = append(out, placement.Replica{
			Name:       r.Name,
			Generation: r.Generation,
			Model:      r.Model,
			VMs:        r.VMs,
			FormedAt:   s.orders.formedAt(r.Generation, now),
			Dissolving: s.pending.dissolving(r.Name, r.Generation),
		})
	}
	for _, r := range s.pending.formations {
		if !live[r.Name] {
			out = append(out, r)
		}
	}
	return out
}

// appendAction adds an action to the pending records and returns the effect that
// appends its record to the control stream.
func (s *Service) appendAction(now time.Time, a placement.Action) kernel.Effect {
	r := s.newRecord(now)
	term := s.Control.Lease().Term
	switch a := a.(type) {
	case placement.Form:
		s.count("form")
		r.Form = &record.Formation{Term: term, Replica: a.Replica, Model: a.Model, VMs: a.VMs}
		s.pending.formations[r.ID] = placement.Replica{
			Name: a.Replica, Model: a.Model, VMs: a.VMs, FormedAt: now, Pending: true,
		}
	case placement.Dissolve:
		s.count("dissolve." + string(a.Cause))
		s.logDissolution(now, a)
		r.Dissolve = &record.Dissolution{
			Term: term, Replica: a.Replica, Generation: a.Generation, Cause: string(a.Cause),
		}
		s.pending.dissolutions[r.ID] = a
		if live, ok := s.Control.Replica(a.Replica); ok && a.Cause == placement.CauseLoadTimeout {
			s.fleet.avoidSlowMembers(live, now)
		}
	}
	return s.append(r, s.lease.validUntil)
}

// logDissolution logs the decision to dissolve a replica, with the state of its
// members.
func (s *Service) logDissolution(now time.Time, a placement.Dissolve) {
	var members []any
	if r, ok := s.Control.Replica(a.Replica); ok {
		for _, id := range r.VMs {
			o, _ := s.fleet.find(id)
			members = append(members, reportGroup(string(id), now, o))
		}
	}
	s.Logger.Info(decisions.ReplicaDissolved, "replica", a.Replica, "generation", int64(a.Generation), "cause", a.Cause,
		slog.Group("members", members...))
}

// measuredLoad returns the load of each model: running and queued requests
// divided by the slots of one replica, summed over the model's replicas. A load
// of 1 is one replica with all slots in use. The figures come from the reports
// of the rank 0 VMs, which take the requests.
func (s *Service) measuredLoad() placement.Load {
	load := placement.Load{}
	for _, r := range s.Control.Replicas() {
		o, ok := s.fleet.find(r.VMs[0])
		if ok && inReplica(o.Report, r) && o.Report.Slots > 0 {
			load[r.Model] += float64(o.Report.Running+o.Report.Queued) / float64(o.Report.Slots)
		}
	}
	return load
}

// loadAverage is an exponentially weighted average of the measured load.
type loadAverage struct {
	value placement.Load
	// updatedAt is the time of the latest measurement.
	updatedAt time.Time
}

func (l *loadAverage) add(now time.Time, measured placement.Load) {
	if l.value == nil {
		l.value, l.updatedAt = measured, now
		return
	}
	decay := math.Pow(0.5, now.Sub(l.updatedAt).Seconds()/loadHalfLife.Seconds())
	l.updatedAt = now
	for model := range l.value {
		l.value[model] *= decay
	}
	for model, v := range measured {
		l.value[model] += (1 - decay) * v
	}
}

// addresses returns the addresses of VMs in the order of ids, and false if a VM
// is not in the latest accepted observation.
func (f *fleetState) addresses(ids []port.VMID) ([]string, bool) {
	out := make([]string, len(ids))
	for i, id := range ids {
		o, ok := f.find(id)
		if !ok {
			return nil, false
		}
		out[i] = o.VM.Address
	}
	return out, true
}
