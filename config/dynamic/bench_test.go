package dynamic_test

import (
	"os"
	"testing"
	"time"

	"github.com/tamarackcleat/tamarackcleat/config/dynamic"
)

// changesPerDay is the number of configuration changes per day that the design must
// support.
const changesPerDay = 32_000

func BenchmarkParse(b *testing.B) {
	example, err := os.ReadFile("../../examples/agency.yaml")
	if err != nil {
		b.Fatal(err)
	}
	largest, err := dynamic.Marshal(largestDocument())
	if err != nil {
		b.Fatal(err)
	}
	oneClass, err := dynamic.Marshal(&dynamic.Document{Deployment: "agency", Classes: largestDocument().Classes[:1]})
	if err != nil {
		b.Fatal(err)
	}
	cases := []struct {
		name string
		data []byte
	}{{"agency", example}, {"classes=64", largest}, {"classes=1", oneClass}}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := dynamic.Parse(c.name, c.data); err != nil {
					b.Fatal(err)
				}
			}
			reportDailyCost(b, len(c.data))
		})
	}
}

// reportDailyCost reports the average cost of changesPerDay changes for one node
// that parses each of them, in bytes per second and in percent of a core.
func reportDailyCost(b *testing.B, size int) {
	day := (24 * time.Hour).Seconds()
	perChange := b.Elapsed().Seconds() / float64(b.N)
	b.ReportMetric(float64(size), "bytes/document")
	b.ReportMetric(changesPerDay*float64(size)/day, "bytes/s")
	b.ReportMetric(100*changesPerDay*perChange/day, "%core")
}
