package processtest_test

import (
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Without checking chunks and resuming, a stream of the killed VM ends without
// its marker: expectWhole fails. The counters of retries show that the fault
// met streams.
var _ = Describe("Engine VMs", func() {
	var w *world
	BeforeEach(func() { w = newWorld() })

	DescribeTable("give whole answers though one is killed in mid-stream",
		func(rank int) {
			streams := w.streams("cut", 4*nodeCount, longAnswer, w.nodes...)
			expectUnderWay(streams)
			members := w.busyReplica()
			expectUnderWay(streams)
			members[rank].Kill()
			expectWhole(streams)
			w.awaitFollowing(wantedReplicas, w.nodes...)
			expectWhole(w.streams("after", nodeCount, shortAnswer, w.nodes...))
			w.expectOneReplicaPerVM()
			if rank == 0 {
				Expect(w.retries()).To(BeNumerically(">", 0))
			}
		},
		Entry("rank 0, which carries the streams", 0),
		Entry("rank 1", 1),
	)

	It("go dark as a whole fabric domain and come back", func() {
		streams := w.streams("dark", 4*nodeCount, longAnswer, w.nodes...)
		expectUnderWay(streams)
		for _, v := range w.domain(0) {
			v.pause()
		}
		streams = append(streams, w.streams("while dark", nodeCount, longAnswer, w.nodes...)...)
		expectWhole(streams)
		Eventually(func() int { return w.inDomain(0) }).Should(BeZero())
		expectWhole(w.streams("later", nodeCount, shortAnswer, w.nodes...))
		for _, v := range w.domain(0) {
			v.resume()
		}
		w.awaitFollowing(wantedReplicas, w.nodes...)
		Expect(w.inDomain(0)).To(Equal(wantedReplicas / domainCount))
		expectWhole(w.streams("after", 4*nodeCount, shortAnswer, w.nodes...))
		w.expectOneReplicaPerVM()
	})

	It("stop as planned without cutting a request off", func() {
		streams := w.streams("stop", 4*nodeCount, longAnswer, w.nodes...)
		expectUnderWay(streams)
		members := w.busyReplica()
		members[1].signal(syscall.SIGTERM)
		streams = append(streams, w.streams("meanwhile", nodeCount, shortAnswer, w.nodes...)...)
		expectWhole(streams)
		Expect(members[1].exitCode()).To(BeZero())
		w.awaitFollowing(wantedReplicas, w.nodes...)

		streams = w.streams("stop whole", 4*nodeCount, longAnswer, w.nodes...)
		expectUnderWay(streams)
		members = w.busyReplica()
		for _, v := range members {
			v.signal(syscall.SIGTERM)
		}
		streams = append(streams, w.streams("meanwhile whole", nodeCount, shortAnswer, w.nodes...)...)
		expectWhole(streams)
		for _, v := range members {
			Expect(v.exitCode()).To(BeZero())
		}
		expectWhole(w.streams("after", nodeCount, shortAnswer, w.nodes...))
		Expect(w.retries("retry.allowed.upstream_lost")).To(BeZero(), "a stream was cut off")
		w.expectOneReplicaPerVM()
	})
})

// inDomain counts the live replicas with a VM of a fabric domain.
func (w *world) inDomain(d int) int {
	n := 0
	found := map[string]bool{}
	for _, v := range w.domain(d) {
		if r, ok := w.replicaOf(v); ok && !found[r.Name] {
			found[r.Name] = true
			n++
		}
	}
	return n
}

// retries counts retries of all nodes, for the usual reasons of a VM's end.
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
