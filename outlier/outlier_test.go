package outlier_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/outlier"
)

var _ = Describe("Detector", func() {
	start := time.Unix(1_000_000, 0)
	const rounds = 20

	// run adds rounds of samples for n upstreams and returns the number of ejected
	// upstreams.
	run := func(d *outlier.Detector, n int, at time.Time, sample func(i int) outlier.Sample) int {
		for range rounds {
			for i := range n {
				d.Add(fmt.Sprint(i))
				d.Observe(fmt.Sprint(i), at, sample(i))
			}
		}
		ejected := 0
		for i := range n {
			if d.State(fmt.Sprint(i), at) == outlier.Ejected {
				ejected++
			}
		}
		return ejected
	}
	perToken := func(ms int) outlier.Sample {
		return outlier.Sample{OK: true, PerToken: time.Duration(ms) * time.Millisecond}
	}

	DescribeTable("ejects",
		func(n, want int, sample func(i int) outlier.Sample) {
			Expect(run(outlier.NewDetector(), n, start, sample)).To(Equal(want))
		},
		Entry("none of equally fast upstreams", 30, 0, func(i int) outlier.Sample { return perToken(20 + i%3) }),
		Entry("a slow upstream", 30, 1, func(i int) outlier.Sample { return perToken(20 + 200*(i/29)) }),
		Entry("a slow upstream among three", 3, 1, func(i int) outlier.Sample { return perToken(20 + 200*(i/2)) }),
		Entry("neither of two upstreams", 2, 0, func(i int) outlier.Sample { return perToken(20 + 200*i) }),
		Entry("no upstream when all are slow", 30, 0, func(i int) outlier.Sample { return perToken(500 + i) }),
		Entry("a tenth of the upstreams at most", 30, 3, func(i int) outlier.Sample { return perToken(20 + 200*(i/20)) }),
		Entry("an upstream that fails", 30, 1, func(i int) outlier.Sample { return outlier.Sample{OK: i > 0} }),
		Entry("no upstream when all fail", 30, 0, func(int) outlier.Sample { return outlier.Sample{} }),
	)

	It("puts an upstream on probation after an ejection, and ejects it for longer the next time", func() {
		d := outlier.NewDetector()
		slow := func(i int) outlier.Sample { return perToken(20 + 200*(i/9)) }
		Expect(run(d, 10, start, slow)).To(Equal(1))
		at := start.Add(30 * time.Second)
		Expect(d.State("9", at)).To(Equal(outlier.Probation))
		Expect(run(d, 10, at, slow)).To(Equal(1))
		Expect(d.State("9", at.Add(59*time.Second))).To(Equal(outlier.Ejected))
		at = at.Add(60 * time.Second)
		Expect(run(d, 10, at, func(int) outlier.Sample { return perToken(20) })).To(Equal(0))
		Expect(d.State("9", at)).To(Equal(outlier.Healthy))
	})
})
