package formation

import (
	"math"
	"time"

	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/fleet"
)

const (
	// demandPeriod is the time constant of the moving average of the demand. With 2 s, a
	// short burst for one model traded replicas that the other model needed right after.
	demandPeriod = 4 * time.Second
	// minMeasuredUse is the use of the busiest model's replicas below which the shares
	// are not corrected: there is room everywhere.
	minMeasuredUse = 0.4
	// maxCorrection bounds the correction of a model's share, as a part of the share.
	maxCorrection = 0.5
	// promptReadTime is the time in which a full replica reads its pending prompts. Without
	// a part for prompts, models with long prompts and short answers lost replicas that
	// they needed; with twice the part, bursts of long prompts took too many.
	promptReadTime = 400 * time.Millisecond
	// shareLogStep is the change of a share from which on it is logged.
	shareLogStep = 0.05
)

// ReplicaLoad is the load of all nodes together on one replica.
type ReplicaLoad struct{ Requests, PendingPromptTokens int }

// measuredDemand corrects the shares of a service's models by the measured use of their
// replicas.
type measuredDemand struct {
	// use holds the moving averages of the use of a model's replicas, in VMs: 1 is a VM
	// whose replica is full.
	use map[string]float64
	// shares holds the corrected shares. A new holder of the lease begins with those by
	// which the replicas are divided, so that it does not undo the trades of the former one.
	shares map[string]float64
	// logged holds the shares as they were logged last.
	logged map[string]float64
	// since is when the measurement began, updatedAt when it was last updated.
	since, updatedAt time.Duration
}

// measureDemand updates the measured demand for a service. It does nothing if the loads
// are not known.
func (r *round) measureDemand(s fleet.Service) {
	if r.s.ReplicaLoad == nil || r.s.NoRequestYet() {
		return
	}
	d := r.measured[s.Name]
	if d == nil {
		d = &measuredDemand{use: map[string]float64{}, since: r.now, updatedAt: r.now}
		d.divide(s.Engine.Models, r.formedVMs(s))
		r.measured[s.Name] = d
	}
	weight := 1 - math.Exp(-float64(r.now-d.updatedAt)/float64(demandPeriod))
	d.updatedAt = r.now
	busiest := 0.0
	for _, m := range s.Engine.Models {
		use, vms := r.useOf(s, m)
		d.use[m.Name] += weight * (use - d.use[m.Name])
		if vms > 0 {
			busiest = max(busiest, d.use[m.Name]/vms)
		}
	}
	if busiest >= minMeasuredUse && r.now-d.since >= demandPeriod {
		d.divide(s.Engine.Models, d.use)
		r.logShares(s, d)
	}
}

// useOf returns the use of a model's replicas that take requests, in VMs, and the number
// of these VMs.
func (r *round) useOf(s fleet.Service, m fleet.Model) (use, vms float64) {
	for _, t := range r.view.Targets(s.Name, m.Name) {
		l := r.s.ReplicaLoad(t)
		full := float64(l.Requests) / float64(max(1, s.Engine.Slots))
		if perSecond := s.Engine.PromptTokensPerSecond; perSecond > 0 {
			full += m.TimeFactor * float64(l.PendingPromptTokens) / (perSecond * promptReadTime.Seconds())
		}
		use += full * float64(m.Size)
		vms += float64(m.Size)
	}
	return use, vms
}

// formedVMs returns the number of VMs in replicas of each model of a service.
func (r *round) formedVMs(s fleet.Service) map[string]float64 {
	out, d := map[string]float64{}, r.newDemand(s)
	for _, m := range s.Engine.Models {
		out[m.Name] = float64(d.formed[m.Name] * m.Size)
	}
	return out
}

// divide sets the corrected shares to the models' parts of a number of VMs, within
// maxCorrection of the configured shares. It does nothing if there are none.
func (d *measuredDemand) divide(models []fleet.Model, vms map[string]float64) {
	sum, configured := 0.0, 0.0
	for _, m := range models {
		sum += vms[m.Name]
		configured += m.Share
	}
	if sum <= 0 || configured <= 0 {
		return
	}
	shares, total := map[string]float64{}, 0.0
	for _, m := range models {
		share := configured * vms[m.Name] / sum
		shares[m.Name] = min(max(share, (1-maxCorrection)*m.Share), (1+maxCorrection)*m.Share)
		total += shares[m.Name]
	}
	for name := range shares {
		shares[name] *= configured / total
	}
	d.shares = shares
}

// logShares logs the corrected shares once one of them has changed by shareLogStep.
func (r *round) logShares(s fleet.Service, d *measuredDemand) {
	changed := false
	for name, share := range d.shares {
		changed = changed || math.Abs(share-d.logged[name]) >= shareLogStep
	}
	if !changed {
		return
	}
	d.logged = d.shares
	for _, m := range s.Engine.Models {
		r.s.Logger.Info(decisions.ShareCorrected, "service", s.Name, "model", m.Name, "configured", m.Share,
			"corrected", d.shares[m.Name], "use_vms", d.use[m.Name])
	}
}

// shareOf returns a model's share of the work of its service, corrected by the measured
// demand.
func (r *round) shareOf(s fleet.Service, m fleet.Model) float64 {
	if d := r.measured[s.Name]; d != nil {
		if share, ok := d.shares[m.Name]; ok {
			return share
		}
	}
	return m.Share
}
