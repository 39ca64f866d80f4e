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
	raceRounds = 4
	racers     = 6
)

// publication is the result of one racing publication.
type publication struct {
	document string
	view     api.ConfigView
	failure  *api.ErrorDetail
}

var _ = Describe("Racing operators", func() {
	var w *world
	BeforeEach(func() { w = newWorld() })

	// Without the check of the base two publications of a round are accepted.
	// A node that is ready before it has read the log shows an older version.
	It("get one accepted publication for each version, which stays", func() {
		version, text := w.version, ""
		for round := range raceRounds {
			winner := w.race(round, version)
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
		expectWhole(w.streams("after", nodeCount, shortAnswer, w.nodes...))
	})
})

// race publishes several documents with the same base at once and returns the
// only one that is accepted.
func (w *world) race(round int, base int64) publication {
	GinkgoHelper()
	results := make([]publication, racers)
	var wg sync.WaitGroup
	for i := range racers {
		wg.Go(func() {
			p := publication{document: document(2000 + round*racers + i)}
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
