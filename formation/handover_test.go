package formation

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// maxViewDelay is the age that reports may have at a new holder, which may have them from
// another node.
const maxViewDelay = 1300 * time.Millisecond

var _ = Describe("Planner after a change of the lease's holder", func() {
	var w *world
	AfterEach(func() { Expect(w.violations).To(BeEmpty()) })

	// A new holder whose copy of the reports was older than the former holder's last
	// orders took the members of a replica that had just been opened for free and
	// ordered them to join others.
	It("uses no reports from before the former holder's last orders", func() {
		w = newWorld(1, 3)
		w.gotRequests, w.historyTime = true, maxViewDelay
		for _, e := range w.engines {
			e.vm.LastModel = "small"
		}
		Expect(w.run(5*time.Second, w.servesAtLeast(0, 1))).To(BeTrue())
		w.startPlanner(2)
		w.viewDelay = maxViewDelay
		w.run(10*time.Second, nil)
		Expect(w.serving()).To(HaveKeyWithValue("small", 1))
	})
})
