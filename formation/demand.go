package formation

import "github.com/tamarackcleat/tamarackcleat/fleet"

// demand compares the replicas of a service's models with those that they should have.
type demand struct {
	// formed holds the number of replicas by model, those that are being formed included,
	// those being dismantled and those in barred zones excluded; waiting holds that of the replicas which this
	// round would form if they had not to wait.
	formed, waiting map[string]int
	// desired holds the number of replicas that each model should have according to its
	// share of the work, corrected by the measured demand.
	desired map[string]float64
	// configured is desired without the correction.
	configured map[string]float64
}

func (r *round) newDemand(s fleet.Service) *demand {
	d := &demand{formed: map[string]int{}, waiting: map[string]int{}, desired: map[string]float64{}, configured: map[string]float64{}}
	for _, a := range r.replicas {
		if a.service == s.Name && !a.released && !a.standby && a.dismantlingSince == 0 && !r.replicaBarred(a) {
			d.formed[a.model]++
		}
	}
	total := float64(r.inventory.service(s.Name).placeable())
	for _, m := range s.Engine.Models {
		d.desired[m.Name] = r.shareOf(s, m) * total / float64(m.Size)
		d.configured[m.Name] = m.Share * total / float64(m.Size)
	}
	return d
}

// coverage returns the number of a model's replicas, those that wait included, divided by the
// number that it should have. A model that should have none has coverage 1.
func (d *demand) coverage(model string) float64 {
	return d.share(model, d.formed[model]+d.waiting[model])
}

// scarce reports whether a model is so far below the replicas that it should have, by the
// configured share as well as by the corrected one, that loads are worth their time. The
// demand may have changed again before a load ends.
func (d *demand) scarce(model string) bool {
	count := float64(d.formed[model] + d.waiting[model])
	return count < scarceCoverage*min(d.desired[model], d.configured[model])
}

// formedCoverage is coverage without the replicas that wait, which may never be formed.
func (d *demand) formedCoverage(model string) float64 { return d.share(model, d.formed[model]) }

func (d *demand) share(model string, replicas int) float64 {
	if d.desired[model] <= 0 {
		return 1
	}
	return float64(replicas) / d.desired[model]
}
