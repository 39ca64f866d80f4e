package formation

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/tamarackcleat/tamarackcleat/fleet"
)

// largeModels are the models of a fleet with domains of 35 VMs.
func largeModels() []fleet.Model {
	return []fleet.Model{
		{Name: "large", Size: 16, Share: 0.5, TimeFactor: 1, LoadTime: 16 * time.Second, WarmTime: 1600 * time.Millisecond},
		{Name: "small", Size: 4, Share: 0.5, TimeFactor: 0.6, LoadTime: 12 * time.Second, WarmTime: 1100 * time.Millisecond},
	}
}

// newLargeWorld returns a world with the given number of domains of 35 VMs.
func newLargeWorld(seed uint64, domains int) *world {
	sizes := make([]int, domains)
	for i := range sizes {
		sizes[i] = 35
	}
	w := newWorld(seed, sizes...)
	w.config.Services[service].Engine.Models = largeModels()
	return w
}

// BenchmarkPlan measures a round of a fleet whose replicas all serve, each after reports of
// a hundredth of the VMs.
func BenchmarkPlan(b *testing.B) {
	for _, domains := range []int{2, 25, 286} {
		b.Run(fmt.Sprintf("%d", domains*35), func(b *testing.B) {
			w := newLargeWorld(1, domains)
			w.run(60*time.Second, nil)
			w.gotRequests = true
			build, vms := fleet.NewBuilder(), slices.Collect(maps.Values(w.seen().vms))
			build.SetConfig(w.config)
			for _, vm := range vms {
				build.Put(vm)
			}
			b.ReportAllocs()
			next := 0
			for b.Loop() {
				for range max(1, len(vms)/100) {
					build.Touch(vms[next%len(vms)])
					next++
				}
				w.planner.Plan(w.now, w.now, build.View(w.now))
			}
		})
	}
}
