package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/tamarackcleat/tamarackcleat/config/dynamic"
	"github.com/tamarackcleat/tamarackcleat/port"
)

// MinReplicas is the number of replicas that keep a model available while one
// of them is being repaired.
const MinReplicas = 2

// Load is the measured need of each model in whole and partial replicas: 1.5
// means that one and a half replicas at full work would serve it.
type Load map[string]float64

// Headroom is the number of replicas wanted for one replica's worth of load.
const Headroom = 1.3

// Desired derives the demands from the configuration: every model that a class
// names gets at least MinReplicas, the models of urgent classes first; what
// the VMs allow beyond that is shared by load. Without any load the VMs are
// shared evenly.
func Desired(doc *dynamic.Document, models []port.Model, load Load, vmCount int) []Demand {
	named := namedModels(doc, models)
	left := vmCount
	for i := range named {
		left -= named[i].take(min(MinReplicas, left/named[i].size))
	}
	for i := range named {
		n := &named[i]
		n.Min = n.Max
		need := int(math.Ceil(load[n.Model]*Headroom)) - n.Max
		left -= n.take(max(0, min(need, left/n.size)))
		n.Want = n.Max
	}
	share(named, load, left)
	demands := make([]Demand, len(named))
	for i, n := range named {
		demands[i] = n.Demand
	}
	return demands
}

// sizedDemand is a demand with the number of VMs that one replica spans.
type sizedDemand struct {
	Demand
	size int
}

// take raises the maximum by some replicas and returns the VMs they use.
func (d *sizedDemand) take(replicas int) int {
	d.Max += replicas
	return replicas * d.size
}

// namedModels returns a demand of zero replicas for each known model that a
// class names, urgent ones first, then by name.
func namedModels(doc *dynamic.Document, models []port.Model) []sizedDemand {
	if doc == nil {
		return nil
	}
	var named []sizedDemand
	for _, m := range models {
		d := sizedDemand{Demand: Demand{Model: m.Name}, size: m.VMsPerReplica}
		found := false
		for _, c := range doc.Classes {
			if c.Kind == dynamic.KindGenerate && c.Model == m.Name {
				found = true
				d.Urgent = d.Urgent || c.Urgent()
			}
		}
		if found && d.size > 0 {
			named = append(named, d)
		}
	}
	slices.SortFunc(named, func(a, b sizedDemand) int {
		if a.Urgent != b.Urgent {
			return cmp.Compare(boolInt(b.Urgent), boolInt(a.Urgent))
		}
		return cmp.Compare(a.Model, b.Model)
	})
	return named
}

// share gives the remaining VMs, one replica at a time, to the model with the
// least replicas for its load.
func share(named []sizedDemand, load Load, left int) {
	const idleLoad = 0.01
	for {
		best := -1
		var lowest float64
		for i := range named {
			if named[i].size > left {
				continue
			}
			ratio := float64(named[i].Max) / (load[named[i].Model] + idleLoad)
			if best < 0 || ratio < lowest {
				best, lowest = i, ratio
			}
		}
		if best < 0 {
			return
		}
		left -= named[best].take(1)
	}
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
