package processtest_test

import (
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against answers that a lost VM cuts off: if nodes did not check chunks and
// resume streams, a stream of the killed VM would end without its end marker, and
// expectComplete would fail. The retry counters show that the fault hit streams.
var _ = Describe("Engine VMs", func() {
	var w *world
	BeforeEach(func() { w = newWorld() })

	DescribeTable("give complete answers although one is killed in mid-stream",
		func(rank int) {
			streams := w.streams("cut", 4*nodeCount, longAnswerTokens, w.nodes...)
			expectInProgress(streams)
			members := w.busyReplica()
			expectInProgress(streams)
			members[rank].Kill()
			expectComplete(streams)
			w.awaitConvergence(wantedReplicas, w.nodes...)
			expectComplete(w.streams("after", nodeCount, shortAnswerTokens, w.nodes...))
			w.expectOneReplicaPerVM()
			if rank == 0 {
				Expect(w.retries()).To(BeNumerically(">", 0))
			}
		},
		Entry("rank 0, which carries the streams", 0),
		Entry("rank 1", 1),
	)

	It("of a whole fabric domain pause and come back, with complete answers throughout", func() {
		streams := w.streams("dark", 4*nodeCount, longAnswerTokens, w.nodes...)
		expectInProgress(streams)
		for _, v := range w.vmsInDomain(0) {
			v.pause()
		}
		streams = append(streams, w.streams("while dark", nodeCount, longAnswerTokens, w.nodes...)...)
		expectComplete(streams)
		Eventually(func() int { return w.replicasInDomain(0) }).Should(BeZero())
		expectComplete(w.streams("later", nodeCount, shortAnswerTokens, w.nodes...))
		for _, v := range w.vmsInDomain(0) {
			v.resume()
		}
		w.awaitConvergence(wantedReplicas, w.nodes...)
		Expect(w.replicasInDomain(0)).To(Equal(wantedReplicas / domainCount))
		expectComplete(w.streams("after", 4*nodeCount, shortAnswerTokens, w.nodes...))
		w.expectOneReplicaPerVM()
	})

	It("stop as planned without cutting a request off", func() {
		streams := w.streams("stop", 4*nodeCount, longAnswerTokens, w.nodes...)
		expectInProgress(streams)
		members := w.busyReplica()
		members[1].signal(syscall.SIGTERM)
		streams = append(streams, w.streams("meanwhile", nodeCount, shortAnswerTokens, w.nodes...)...)
		expectComplete(streams)
		Expect(members[1].exitCode()).To(BeZero())
		w.awaitConvergence(wantedReplicas, w.nodes...)

		streams = w.streams("stop whole", 4*nodeCount, longAnswerTokens, w.nodes...)
		expectInProgress(streams)
		members = w.busyReplica()
		for _, v := range members {
			v.signal(syscall.SIGTERM)
		}
		streams = append(streams, w.streams("meanwhile whole", nodeCount, shortAnswerTokens, w.nodes...)...)
		expectComplete(streams)
		for _, v := range members {
			Expect(v.exitCode()).To(BeZero())
		}
		expectComplete(w.streams("after", nodeCount, shortAnswerTokens, w.nodes...))
		Expect(w.retries("retry.allowed.upstream_lost")).To(BeZero(), "a stream was cut off")
		w.expectOneReplicaPerVM()
	})
})

// replicasInDomain counts the live replicas that have a VM in a fabric domain.
func (w *world) replicasInDomain(d int) int {
	n := 0
	found := map[string]bool{}
	for _, v := range w.vmsInDomain(d) {
		if r, ok := w.replicaOf(v); ok && !found[r.Name] {
			found[r.Name] = true
			n++
		}
	}
	return n
}

// retries sums the named counters of all nodes. Without names it sums the retries
// for the reasons that the loss of a VM usually causes.
func (w *world) retries(names ...string) int64 {
	if len(names) == 0 {
		names = []string{"retry.allowed.upstream_lost", "retry.allowed.connect_failed", "retry.allowed.upstream_stalled"}
	}
	var sum int64
	for _, n := range w.nodes {
		for _, name := range names {
			sum += n.counter(name)
		}
	}
	return sum
}
