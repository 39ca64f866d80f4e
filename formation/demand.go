package formation

import "github.com/tamarackcleat/tamarackcleat/fleet"

// demand compares the replicas of a service's models with those that they should have.
type demand struct {
	// counts holds the number of replicas by model, those that are being formed and those
	// that wait to be formed included, and those being dismantled excluded.
	counts map[string]int
	// desired holds the number of replicas that each model should have according to its
	// share of the work.
	desired map[string]float64
}

func (r *round) newDemand(s fleet.Service) *demand {
	d := &demand{counts: map[string]int{}, desired: map[string]float64{}}
	for _, a := range r.replicas {
		if a.service == s.Name && !a.released && !a.standby && a.dismantlingSince == 0 {
			d.counts[a.model]++
		}
	}
	total := float64(r.inventory.service(s.Name).usable)
	for _, m := range s.Engine.Models {
		d.desired[m.Name] = m.Share * total / float64(m.Size)
	}
	return d
}

// coverage returns the number of a model's replicas divided by the number that it should
// have. A model that should have none has coverage 1.
func (d *demand) coverage(model string) float64 {
	if d.desired[model] <= 0 {
		return 1
	}
	return float64(d.counts[model]) / d.desired[model]
}
