package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/tamarackcleat/tamarackcleat/config/dynamic"
	"github.com/tamarackcleat/tamarackcleat/port"
)

// MinReplicas is the number of replicas that every model needs, so that it
// stays available while one of them is being replaced.
const MinReplicas = 2

// Load is the measured load by model, in units of one fully used replica: a
// load of 1.5 keeps one and a half replicas busy.
type Load map[string]float64

// Headroom is the number of replicas wanted per unit of Load.
const Headroom = 1.3

// Desired derives the demands from the configuration document, the available
// models, the load and the number of VMs. Every model that a class names gets
// MinReplicas as far as the VMs allow, models of urgent classes first. Next,
// every model gets the replicas that its load needs, again as far as the VMs
// allow. The remaining VMs are shared in proportion to the load, or evenly if
// there is none.
func Demands(doc *dynamic.Document, models []port.Model, load Load, vmCount int) []Demand {
	demands := demandsOfClasses(doc, models)
	left := vmCount
	for i := range demands {
		left -= demands[i].addReplicas(min(MinReplicas, left/demands[i].size))
	}
	for i := range demands {
		d := &demands[i]
		d.Min = d.Max
		need := int(math.Ceil(load[d.Model]*Headroom)) - d.Max
		left -= d.addReplicas(max(0, min(need, left/d.size)))
		d.Want = d.Max
	}
	shareByLoad(demands, load, left)
	out := make([]Demand, len(demands))
	for i, d := range demands {
		out[i] = d.Demand
	}
	return out
}

// sizedDemand is a demand and the number of VMs that one replica spans.
type sizedDemand struct {
	Demand
	size int
}

// addReplicas raises Max by a number of replicas and returns the number of VMs
// that they use.
func (d *sizedDemand) addReplicas(replicas int) int {
	d.Max += replicas
	return replicas * d.size
}

// demandsOfClasses returns a demand of zero replicas for each available model
// that a class names, urgent ones first, then by name.
func demandsOfClasses(doc *dynamic.Document, models []port.Model) []sizedDemand {
	if doc == nil {
		return nil
	}
	var demands []sizedDemand
	for _, m := range models {
		demand := sizedDemand{Demand: Demand{Model: m.Name}, size: m.VMsPerReplica}
		found := false
		for _, c := range doc.Classes {
			if c.Kind == dynamic.KindGenerate && c.Model == m.Name {
				found = true
				demand.Urgent = demand.Urgent || c.Urgent()
			}
		}
		if found && demand.size > 0 {
			demands = append(demands, demand)
		}
	}
	slices.SortFunc(demands, func(a, b sizedDemand) int {
		if a.Urgent != b.Urgent {
			return cmp.Compare(boolInt(b.Urgent), boolInt(a.Urgent))
		}
		return cmp.Compare(a.Model, b.Model)
	})
	return demands
}

// shareByLoad adds replicas, one at a time, to the model with the fewest
// replicas in proportion to its load, until the remaining VMs are too few.
func shareByLoad(demands []sizedDemand, load Load, left int) {
	// idleLoad is added to the load of every model. It avoids a division by
	// zero and gives models without load a small share.
	const idleLoad = 0.01
	for {
		best := -1
		var lowest float64
		for i := range demands {
			if demands[i].size > left {
				continue
			}
			ratio := float64(demands[i].Max) / (load[demands[i].Model] + idleLoad)
			if best < 0 || ratio < lowest {
				best, lowest = i, ratio
			}
		}
		if best < 0 {
			return
		}
		left -= demands[best].addReplicas(1)
	}
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
