package processtest_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("An outage of the log", func() {
	var w *world
	BeforeEach(func() { w = newWorld() })

	// Without snapshots from peers the restarted node never gets ready.
	DescribeTable("leaves generation going, also on a daemon that starts meanwhile",
		func(kind string) {
			restarted := w.nodes[2]
			streams := w.streams("outage", 2*nodeCount, longAnswer, w.without(restarted)...)
			expectUnderWay(streams)
			w.outage(kind)
			for _, n := range w.nodes {
				Eventually(func() bool { return n.status().LogReachable }).Should(BeFalse(), n.Name)
			}
			restarted.Kill()
			restarted.start()
			Eventually(restarted.ready).Should(BeTrue())
			Expect(restarted.status().ConfigVersion).To(Equal(w.version))
			w.awaitServing(wantedReplicas, restarted)
			expectWhole(w.streams("meanwhile", 2*nodeCount, shortAnswer, w.nodes...))
			Expect(restarted.status().LogReachable).To(BeFalse())
			expectWhole(streams)
			w.outage("")
			for _, n := range w.nodes {
				Eventually(func() bool { return n.status().LogReachable }).Should(BeTrue(), n.Name)
			}
			w.awaitFollowing(wantedReplicas, w.nodes...)
			w.expectOneReplicaPerVM()
		},
		Entry("refuse", "refuse"),
		Entry("hang", "hang"),
	)

	It("and a killed VM leave answers whole", func() {
		streams := w.streams("two faults", 4*nodeCount, longAnswer, w.nodes...)
		expectUnderWay(streams)
		members := w.busyReplica()
		w.outage("refuse")
		expectUnderWay(streams)
		members[0].Kill()
		expectWhole(streams)
		expectWhole(w.streams("meanwhile", 2*nodeCount, shortAnswer, w.nodes...))
		Expect(w.retries()).To(BeNumerically(">", 0))
		w.outage("")
		w.awaitFollowing(wantedReplicas, w.nodes...)
		w.expectOneReplicaPerVM()
	})
})
