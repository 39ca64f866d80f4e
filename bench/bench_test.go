package bench_test

import (
	"bytes"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/bench"
)

// lengths holds the time of arrivals of suites whose faults come late.
var lengths = map[string]time.Duration{"retries": 3 * time.Minute}

// run performs a policy of a suite for the agency, small and short.
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
	It("gives the same result for the same seed, and another for another", func() {
		first := run("routing", "two-choices", 1)
		Expect(run("routing", "two-choices", 1)).To(Equal(first))
		Expect(run("routing", "two-choices", 2)).NotTo(Equal(first))
	})

	It("accounts for every request", func() {
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

	DescribeTable("keeps a policy ahead of its rival",
		func(suite, policy, rival string) {
			Expect(run(suite, policy, 1).Score).To(BeNumerically(">", run(suite, rival, 1).Score))
		},
		Entry("routing", "routing", "two-choices", "round-robin"),
		Entry("routing by reports", "routing", "two-choices", "least-reported"),
		Entry("admission", "admission", "targets", "fifo"),
		Entry("no admission", "admission", "targets", "none"),
		Entry("retries", "retries", "budget", "blind-3"),
	)

	It("ejects none when all are slow", func() {
		Expect(run("all-slow", "eject", 1).Ejections).To(BeZero())
	})

	It("loses no request that was let in while a domain is dark", func() {
		Expect(run("retries", "budget", 1).Broken).To(BeNumerically("<", run("retries", "none", 1).Broken))
	})

	It("writes results for people and for programs", func() {
		results := []bench.Result{run("routing", "random", 1)}
		var table, json bytes.Buffer
		Expect(bench.WriteTable(&table, results)).To(Succeed())
		Expect(bench.WriteJSON(&json, results)).To(Succeed())
		Expect(table.String()).To(ContainSubstring("booking-desk"))
		Expect(json.String()).To(ContainSubstring(`"score_percent"`))
	})
})
