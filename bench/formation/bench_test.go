package formation

import (
	"testing"
	"time"
)

// BenchmarkRun measures each policy on one simulated day with seed 1. It reports
// the run time, the group downtime in replica hours and the stranded VM hours.
func BenchmarkRun(b *testing.B) {
	f, _ := FleetByName("today")
	for _, v := range Variants() {
		b.Run(v.Name, func(b *testing.B) {
			var r Result
			for b.Loop() {
				r = Run(f, v, 1, Span{Length: 24 * time.Hour, SpeedUp: 10, CrossSpeed: 0.25})
			}
			b.ReportMetric(r.Downtime(), "downtime-replica-h")
			b.ReportMetric(r.Stranded, "stranded-vm-h")
		})
	}
}
