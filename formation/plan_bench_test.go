package formation

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/tamarackcleat/tamarackcleat/fleet"
)

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
