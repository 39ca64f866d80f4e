package processtest_test

import (
	"fmt"
	"sync"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/standin/fault"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

const (
	// endlessStreams and endlessCalls are the numbers of streams and of calls at the
	// same time. They are within what one node may run at a time.
	endlessStreams = 8
	endlessCalls   = 32
	// maxMemoryGrowth bounds the memory, in bytes, that a node may take for answers
	// that do not end.
	maxMemoryGrowth = 64 << 20
)

// Guards against a node that reads an answer without a limit and grows by gigabytes
// within seconds.
var _ = Describe("Upstreams whose answers do not end", func() {
	var w *world
	BeforeEach(func() { w = newWorld() })

	DescribeTable("cost a node little memory and other callers nothing",
		func(part fault.EndlessPart) {
			n := w.nodes[0]
			expectComplete(w.streams("before", endlessStreams, shortAnswerTokens, n))
			before := n.peakMemory()

			members := w.busyReplicaOf(n)
			setFault(members[0].address, map[string]any{"endless": part})
			expectComplete(w.streams("endless", endlessStreams, shortAnswerTokens, n))
			setFault(members[0].address, map[string]any{"endless": ""})
			afterStreams := n.peakMemory()
			Expect(n.counter("retry.allowed.upstream_lost")).To(BeNumerically(">", 0), "no stream reached the faulty VM")

			setFault(w.plainAddress, map[string]any{"endless": part})
			verdicts := map[verdict.Verdict]int{}
			for _, r := range w.callAll(n) {
				Expect(r.err).NotTo(HaveOccurred())
				Expect(r.body.Error).NotTo(BeNil())
				verdicts[r.body.Error.Verdict]++
			}
			Expect(verdicts[verdict.MayHaveRun]).To(BeNumerically(">", 1), fmt.Sprint(verdicts))
			setFault(w.plainAddress, map[string]any{"endless": ""})
			after := n.peakMemory()
			AddReportEntry("peak memory", fmt.Sprintf("before %d MB, after streams %d MB, after calls %d MB; verdicts of the calls %v",
				before>>20, afterStreams>>20, after>>20, verdicts))
			Expect(after - before).To(BeNumerically("<", maxMemoryGrowth))
			Expect(n.alive()).To(BeTrue())
			expectComplete(w.streams("after", nodeCount, shortAnswerTokens, w.nodes...))
		},
		Entry("a header field", fault.EndlessHeader),
		Entry("a head", fault.EndlessHead),
		Entry("a body", fault.EndlessBody),
		Entry("an event", fault.EndlessEvent),
	)
})

// peakMemory returns the largest resident memory of the node so far, in bytes.
func (n *node) peakMemory() int64 {
	GinkgoHelper()
	bytes, err := n.PeakMemory()
	Expect(err).NotTo(HaveOccurred())
	return bytes
}

// busyReplicaOf returns the VMs by rank of a replica that runs a stream of the node.
func (w *world) busyReplicaOf(n *node) []*vm {
	GinkgoHelper()
	streams := w.streams("busy", 1, longAnswerTokens, n)
	expectInProgress(streams)
	members := w.busyReplica()
	expectComplete(streams)
	return members
}

// callAll sends endlessCalls calls at once, each with a new key, and returns the
// answers.
func (w *world) callAll(n *node) []attemptResult {
	c := &confirmations{w: w}
	out := make([]attemptResult, endlessCalls)
	var wg sync.WaitGroup
	for i := range out {
		wg.Go(func() { out[i] = c.attemptWithin(waitLimit, n, uuid.Must(uuid.NewV7()).String()) })
	}
	wg.Wait()
	return out
}
