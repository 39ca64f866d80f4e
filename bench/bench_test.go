package bench_test

import (
	"bytes"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/bench"
)

// lengths holds the time during which requests arrive after the warm-up, for each
// suite whose faults start later than the default of 30 seconds after the warm-up.
var lengths = map[string]time.Duration{"retries": 3 * time.Minute}

// run simulates one policy of a suite for the deployment "agency", with 10
// engines and 3 nodes and for a short time.
func run(suite, policy string, seed uint64) bench.Result {
	for _, u := range bench.Suites() {
		if u.Name != suite {
			continue
		}
		s := u.Scenarios(bench.Options{
			Seed: seed, Engines: 10, Nodes: 3, Policy: policy, Length: max(30*time.Second, lengths[suite]),
		})[0]
		r, err := bench.Run(s)
		Expect(err).NotTo(HaveOccurred())
		return r
	}
	Fail("no suite " + suite)
	return bench.Result{}
}

var _ = Describe("Run", func() {
	It("gives equal results for equal seeds and different results for different seeds", func() {
		first := run("routing", "two-choices", 1)
		Expect(run("routing", "two-choices", 1)).To(Equal(first))
		Expect(run("routing", "two-choices", 2)).NotTo(Equal(first))
	})

	It("counts every offered request as answered, refused or failed", func() {
		for _, policy := range []string{"targets", "fifo", "none"} {
			for _, c := range run("admission", policy, 1).Classes {
				ended := c.Answered
				for _, n := range c.Refused {
					ended += n
				}
				for _, n := range c.Failed {
					ended += n
				}
				Expect(ended).To(Equal(c.Offered), policy+" "+c.Class)
			}
		}
	})

	DescribeTable("gives the default policy a higher score than the alternative",
		func(suite, policy, alternative string) {
			Expect(run(suite, policy, 1).Score).To(BeNumerically(">", run(suite, alternative, 1).Score))
		},
		Entry("routing", "routing", "two-choices", "round-robin"),
		Entry("routing by reported load", "routing", "two-choices", "least-reported"),
		Entry("admission", "admission", "targets", "fifo"),
		Entry("no admission", "admission", "targets", "none"),
		Entry("retries", "retries", "budget", "blind-3"),
	)

	It("ejects no engine when all engines are slow", func() {
		Expect(run("all-slow", "eject", 1).Ejections).To(BeZero())
	})

	It("loses fewer admitted requests with the retry budget than without retries while a fabric domain is down", func() {
		Expect(run("retries", "budget", 1).Broken).To(BeNumerically("<", run("retries", "none", 1).Broken))
	})

	It("writes results as a table and as JSON", func() {
		results := []bench.Result{run("routing", "random", 1)}
		var table, json bytes.Buffer
		Expect(bench.WriteTable(&table, results)).To(Succeed())
		Expect(bench.WriteJSON(&json, results)).To(Succeed())
		Expect(table.String()).To(ContainSubstring("booking-desk"))
		Expect(json.String()).To(ContainSubstring(`"score_percent"`))
	})
})
