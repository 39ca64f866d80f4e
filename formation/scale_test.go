package formation

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Planner of a fleet with many domains", func() {
	const domains = 25
	// formed returns the time in which a fleet's VMs form all the replicas that they can.
	formed := func(domains int, planGap time.Duration) time.Duration {
		GinkgoHelper()
		w := newLargeWorld(1, domains)
		w.planGap, w.quickLoads = planGap, true
		began := w.now
		Expect(w.run(time.Minute, w.servesAtLeast(domains, 4*domains))).To(BeTrue())
		Expect(w.violations).To(BeEmpty())
		return w.now - began
	}
	// repaired returns the time in which a fleet replaces one member of each replica of the
	// larger model, all lost at the same moment.
	repaired := func(domains int, planGap time.Duration) time.Duration {
		GinkgoHelper()
		w := newLargeWorld(1, domains)
		w.quickLoads = true
		Expect(w.run(time.Minute, w.servesAtLeast(domains, 4*domains))).To(BeTrue())
		w.run(time.Minute, nil)
		w.gotRequests, w.planGap = true, planGap
		for d := range domains {
			w.lastMemberIn("large", fmt.Sprintf("d%d", d)).down = true
		}
		began := w.now
		for _, head := range w.stalledHeads() {
			w.suspect(head)
		}
		Expect(w.run(time.Minute, w.servesAtLeast(domains, 4*domains))).To(BeTrue())
		Expect(w.violations).To(BeEmpty())
		return w.now - began
	}

	// Guards against callers who get too little (SHORT): a round formed one replica at most,
	// so the rounds that fit into a second bounded the replicas that could be formed in it.
	DescribeTable("forms the replicas of all domains in the time that those of one domain take", func(planGap time.Duration) {
		Expect(formed(domains, planGap)).To(BeNumerically("<=", formed(1, planGap)+2*planGap))
	},
		Entry("with a round every 50 ms", stepTime), Entry("with a round every 150 ms", 3*stepTime),
	)

	// Guards against repairs that wait for each other (SHORT).
	DescribeTable("repairs the replicas of all domains in the time that one repair takes", func(planGap time.Duration) {
		Expect(repaired(domains, planGap)).To(BeNumerically("<=", repaired(1, planGap)+2*planGap))
	},
		Entry("with a round every 50 ms", stepTime), Entry("with a round every 150 ms", 3*stepTime),
	)

	// Guards against replicas that are never formed (SHORT): a report that repeated the last
	// one made the answer to a probe invalid, so that with rare rounds no round found all VMs
	// of a large replica confirmed.
	DescribeTable("repairs a replica within two seconds and some rounds, also if rounds are rare", func(planGap time.Duration) {
		const roundsOfRepair = 4
		Expect(repaired(1, planGap)).To(BeNumerically("<=", 2*time.Second+roundsOfRepair*planGap))
	},
		Entry("with a round every 50 ms", stepTime), Entry("with a round every 150 ms", 3*stepTime), Entry("with a round every 300 ms", 6*stepTime),
	)
})

var _ = Describe("A replica whose loads are not allowed yet", func() {
	// Guards against VMs that stand idle (SHORT): a replica that waited for its loads held up
	// those that need none.
	It("does not hold up a replica that needs none", func() {
		w := newWorld(1, 9)
		engine := w.config.Services[service].Engine
		engine.Models[0].Share, engine.Models[1].Share = 0.82, 0.18
		Expect(w.run(time.Minute, w.servesAtLeast(1, 1))).To(BeTrue())
		w.gotRequests, engine.ConcurrentLoads = true, 0
		for i := range 12 {
			w.add(fmt.Sprintf("new-%02d", i), fmt.Sprintf("d%d", 1+i/6))
		}
		w.run(5*time.Second, nil)
		Expect(w.planner.waiting.loads).To(BeNumerically(">", 0))

		w.addStaged("warm", "d3", "small", 3)
		Expect(w.run(4*time.Second, w.servesAtLeast(1, 2))).To(BeTrue())
		Expect(w.violations).To(BeEmpty())
	})
})
