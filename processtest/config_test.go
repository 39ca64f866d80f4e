package processtest_test

import (
	"fmt"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/api"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

const (
	publishRounds      = 4
	publishersPerRound = 6
)

// publication is one of several concurrent publications, with its result. failure
// is nil if the document was accepted.
type publication struct {
	document string
	view     api.ConfigView
	failure  *api.ErrorDetail
}

var _ = Describe("Operators that publish at the same time", func() {
	var w *world
	BeforeEach(func() { w = newWorld() })

	// Guards against two accepted publications in one round, which happen if the
	// base is not checked, and against nodes that are ready before they have read
	// the log and so show an older version after the restart.
	It("get one accepted publication for each version, which stays in force until the next", func() {
		version, text := w.version, ""
		for round := range publishRounds {
			winner := w.publishConcurrently(round, version)
			version, text = winner.view.Version, winner.document
			for _, n := range w.nodes {
				Eventually(func() int64 { return n.status().ConfigVersion }).Should(Equal(version), n.Name)
				Expect(n.config().Document).To(Equal(text), n.Name)
			}
		}
		for _, n := range w.nodes {
			n.Kill()
		}
		for _, n := range w.nodes {
			n.start()
		}
		for _, n := range w.nodes {
			Eventually(n.ready).Should(BeTrue(), n.Name)
			Expect(n.status().ConfigVersion).To(Equal(version), n.Name)
			Expect(n.config().Document).To(Equal(text), n.Name)
		}
		w.awaitServing(wantedReplicas, w.nodes...)
		expectComplete(w.streams("after", nodeCount, shortAnswerTokens, w.nodes...))
	})
})

// publishConcurrently publishes several documents at once, all made from the version
// base. It requires that one is accepted and the others are refused with a conflict,
// and returns the accepted one.
func (w *world) publishConcurrently(round int, base int64) publication {
	GinkgoHelper()
	results := make([]publication, publishersPerRound)
	var wg sync.WaitGroup
	for i := range publishersPerRound {
		wg.Go(func() {
			p := publication{document: document(2000 + round*publishersPerRound + i)}
			p.view, p.failure = w.nodes[i%nodeCount].publish(fmt.Sprintf("race-%d-%d", round, i), base, p.document)
			results[i] = p
		})
	}
	wg.Wait()
	var accepted []publication
	for _, p := range results {
		if p.failure == nil {
			accepted = append(accepted, p)
			continue
		}
		Expect(p.failure.Reason).To(Equal(verdict.ReasonConflict), "%+v", p.failure)
		Expect(p.failure.Verdict).To(Equal(verdict.NotRun))
	}
	Expect(accepted).To(HaveLen(1))
	Expect(accepted[0].view.Version).To(BeNumerically(">", base))
	return accepted[0]
}
