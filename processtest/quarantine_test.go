package processtest_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	poison = "poison"
	// poisonSends is how often the request that crashes engines is sent.
	poisonSends = 4 * nodeCount
	// mostLost is the number of replicas that such a request may cost.
	mostLost = 2
)

var _ = Describe("A request that crashes its engines", func() {
	var w *world
	BeforeEach(func() { w = newWorld() })

	// Without quarantine each send costs up to four replicas.
	It("costs at most two replicas and no other request its answer", func() {
		for _, v := range w.vms {
			setFault(v.address, map[string]any{"crash_on": poison})
		}
		streams := w.streams("beside", 2*nodeCount, longAnswer, w.nodes...)
		expectUnderWay(streams)
		for i := range poisonSends {
			s := newStream(w.nodes[i%nodeCount].address, "poison", shortAnswer, poison)
			Eventually(s.ended).Should(BeClosed(), fmt.Sprint(i))
			Expect(s.refusal).NotTo(BeNil(), s.problem)
			Expect(w.crashed()).To(BeNumerically("<=", mostLost))
		}
		Expect(w.crashed()).To(BeNumerically(">=", 1))
		expectWhole(streams)
		expectWhole(w.streams("after", nodeCount, shortAnswer, w.nodes...))
	})
})

// crashed counts the engine VMs whose process has ended.
func (w *world) crashed() int {
	n := 0
	for _, v := range w.vms {
		if v.HasExited() {
			n++
		}
	}
	return n
}
