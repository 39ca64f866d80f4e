package controller

import (
	"math"
	"time"

	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/placement"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/record"
)

// loadHalfLife is the time in which the averaged load forgets half of what it
// was, so that short peaks do not move replicas between models.
const loadHalfLife = 2 * time.Minute

// pendingRecords holds the formations and dissolutions that were sent and not
// read back yet, by record identifier. The planner counts them as done.
type pendingRecords struct {
	forms     map[string]placement.Replica
	dissolves map[string]placement.Dissolve
}

func newPendingRecords() pendingRecords {
	return pendingRecords{
		forms:     map[string]placement.Replica{},
		dissolves: map[string]placement.Dissolve{},
	}
}

func (p *pendingRecords) settle(id string) {
	delete(p.forms, id)
	delete(p.dissolves, id)
}

func (p *pendingRecords) len() int { return len(p.forms) + len(p.dissolves) }

// dissolving reports whether a replica's dissolution is on its way.
func (p *pendingRecords) dissolving(name string, g record.Position) bool {
	for _, d := range p.dissolves {
		if d.Replica == name && d.Generation == g {
			return true
		}
	}
	return false
}

// plan asks the planner what to do and appends it to the control stream.
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
		Desired:             placement.Desired(s.document, models.Models, s.load.value, usableVMs(vms)),
		Now:                 now,
	}
	var out []kernel.Effect
	s.planner.Sync(in)
	for _, a := range s.planner.Plan(now) {
		out = append(out, s.appendAction(now, a))
	}
	return out
}

// usableVMs counts the VMs over which replicas are shared.
func usableVMs(vms []placement.VM) int {
	n := 0
	for _, v := range vms {
		if v.Liveness != placement.Lost && !v.Leaving {
			n++
		}
	}
	return n
}

// plannerReplicas returns live and pending replicas.
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
	for _, r := range s.pending.forms {
		if !live[r.Name] {
			out = append(out, r)
		}
	}
	return out
}

// appendAction returns the effect that appends an action's record.
func (s *Service) appendAction(now time.Time, a placement.Action) kernel.Effect {
	r := s.newRecord(now)
	term := s.Control.Lease().Term
	switch a := a.(type) {
	case placement.Form:
		s.count("form")
		r.Form = &record.Formation{Term: term, Replica: a.Replica, Model: a.Model, VMs: a.VMs}
		s.pending.forms[r.ID] = placement.Replica{
			Name: a.Replica, Model: a.Model, VMs: a.VMs, FormedAt: now, Pending: true,
		}
	case placement.Dissolve:
		s.count("dissolve." + string(a.Cause))
		r.Dissolve = &record.Dissolution{
			Term: term, Replica: a.Replica, Generation: a.Generation, Cause: string(a.Cause),
		}
		s.pending.dissolves[r.ID] = a
		if live, ok := s.Control.Replica(a.Replica); ok && a.Cause == placement.CauseLoadTimeout {
			s.fleet.avoidSlow(live, now)
		}
	}
	return s.append(r, s.lease.validUntil)
}

// measuredLoad returns the work of each model in replicas at full work, by the
// reports of the VMs that take the requests.
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
	at    time.Time
}

func (l *loadAverage) add(now time.Time, measured placement.Load) {
	if l.value == nil {
		l.value, l.at = measured, now
		return
	}
	keep := math.Pow(0.5, now.Sub(l.at).Seconds()/loadHalfLife.Seconds())
	l.at = now
	for model := range l.value {
		l.value[model] *= keep
	}
	for model, v := range measured {
		l.value[model] += (1 - keep) * v
	}
}

// addresses returns the addresses of VMs, false if one is not listed.
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
