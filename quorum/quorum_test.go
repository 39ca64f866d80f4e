package quorum

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestQuorum(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Quorum Suite")
}

// Guards against a node in the smaller part of a partition that takes itself for the rest
// of the deployment, and against a deployment that never recovers from becoming smaller.
var _ = Describe("A quorum", func() {
	It("is lost with fewer than half of the nodes, also for as long as the log is not proved", func() {
		var q Quorum
		Expect(q.Lost()).To(BeFalse())
		q.Observe(time.Second, 5, true)
		q.Observe(2*time.Second, 10, true)
		q.Observe(3*time.Second, 5, true)
		Expect(q.Lost()).To(BeFalse())
		q.Observe(4*time.Second, 4, true)
		Expect(q.Lost()).To(BeTrue())
		for i := range 1000 {
			q.Observe(time.Duration(5+i)*time.Second, 4, false)
		}
		Expect(q.Lost()).To(BeTrue())
		Expect(len(q.counts)).To(BeNumerically("<=", 3))
	})

	It("is found again in a smaller deployment after some time", func() {
		var q Quorum
		for i := range 31 {
			nodes := 10
			if i > 0 {
				nodes = 2
			}
			q.Observe(time.Duration(i)*time.Second, nodes, true)
		}
		Expect(q.Lost()).To(BeTrue())
		q.Observe(31*time.Second, 2, true)
		Expect(q.Lost()).To(BeFalse())
	})
})
