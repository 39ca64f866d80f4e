package processtest_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("An outage of the log", func() {
	var w *world
	BeforeEach(func() { w = newWorld() })

	// Guards against a node that depends on the log to start: without snapshots
	// from its peers, the restarted node would never get ready.
	DescribeTable("leaves generation running, also on a node that restarts during the outage",
		func(kind string) {
			restarted := w.nodes[2]
			streams := w.streams("outage", 2*nodeCount, longAnswerTokens, w.without(restarted)...)
			expectInProgress(streams)
			w.setLogOutage(kind)
			for _, n := range w.nodes {
				Eventually(func() bool { return n.status().LogReachable }).Should(BeFalse(), n.Name)
			}
			restarted.Kill()
			restarted.start()
			Eventually(restarted.ready).Should(BeTrue())
			Expect(restarted.status().ConfigVersion).To(Equal(w.version))
			w.awaitServing(wantedReplicas, restarted)
			expectComplete(w.streams("meanwhile", 2*nodeCount, shortAnswerTokens, w.nodes...))
			Expect(restarted.status().LogReachable).To(BeFalse())
			expectComplete(streams)
			w.setLogOutage("")
			for _, n := range w.nodes {
				Eventually(func() bool { return n.status().LogReachable }).Should(BeTrue(), n.Name)
			}
			w.awaitConvergence(wantedReplicas, w.nodes...)
			w.expectOneReplicaPerVM()
		},
		Entry("refuse", "refuse"),
		Entry("hang", "hang"),
	)

	It("together with a killed VM leaves the answers complete", func() {
		streams := w.streams("two faults", 4*nodeCount, longAnswerTokens, w.nodes...)
		expectInProgress(streams)
		members := w.busyReplica()
		w.setLogOutage("refuse")
		expectInProgress(streams)
		members[0].Kill()
		expectComplete(streams)
		expectComplete(w.streams("meanwhile", 2*nodeCount, shortAnswerTokens, w.nodes...))
		Expect(w.retries()).To(BeNumerically(">", 0))
		w.setLogOutage("")
		w.awaitConvergence(wantedReplicas, w.nodes...)
		w.expectOneReplicaPerVM()
	})
})
