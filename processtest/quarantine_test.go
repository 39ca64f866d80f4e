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
	// maxReplicasLost is the number of replicas that the request may crash, and
	// maxReplicasCutOff that number if it crashes them in the middle of its answer.
	maxReplicasLost   = 2
	maxReplicasCutOff = 3
)

var _ = Describe("A request that crashes its engines", func() {
	var w *world
	BeforeEach(func() { w = newWorld() })

	// Guards against a request that crashes replica after replica. Without
	// quarantine, each submission of the request crashes up to four replicas, one
	// for each attempt (retry.MaxAttempts).
	It("costs at most two replicas and no other request its answer", func() {
		for _, v := range w.vms {
			setFault(v.address, map[string]any{"crash_on": poison})
		}
		streams := w.streams("beside", 2*nodeCount, longAnswerTokens, w.nodes...)
		expectInProgress(streams)
		for i := range poisonSends {
			s := newStream(w.nodes[i%nodeCount].address, "poison", shortAnswerTokens, poison)
			Eventually(s.ended).Should(BeClosed(), fmt.Sprint(i))
			Expect(s.refusal).NotTo(BeNil(), s.problem)
			Expect(w.crashedVMs()).To(BeNumerically("<=", maxReplicasLost))
		}
		Expect(w.crashedVMs()).To(BeNumerically(">=", 1))
		expectComplete(streams)
		expectComplete(w.streams("after", nodeCount, shortAnswerTokens, w.nodes...))
	})

	// Guards against crashes that count against nothing, because the answer had begun.
	It("costs at most three replicas in the middle of its answer", func() {
		for _, v := range w.vms {
			setFault(v.address, map[string]any{"crash_on": poison, "crash_after": 5})
		}
		for i := range poisonSends {
			s := newStream(w.nodes[i%nodeCount].address, "poison", shortAnswerTokens, poison)
			Eventually(s.ended).Should(BeClosed(), fmt.Sprint(i))
			Expect(w.crashedVMs()).To(BeNumerically("<=", maxReplicasCutOff), fmt.Sprint(i))
		}
		Expect(w.crashedVMs()).To(BeNumerically(">=", 1))
		expectComplete(w.streams("after", nodeCount, shortAnswerTokens, w.nodes...))
	})
})

// crashedVMs counts the engine VMs whose process has ended.
func (w *world) crashedVMs() int {
	n := 0
	for _, v := range w.vms {
		if v.HasExited() {
			n++
		}
	}
	return n
}
