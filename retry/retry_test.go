package retry_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/tamarackcleat/tamarackcleat/retry"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

var start = time.Unix(1_000_000, 0)

func newPolicy(c retry.BudgetConfig, registry metrics.Registry) *retry.Policy {
	return retry.NewPolicy(rand.New(rand.NewPCG(1, 1)), c, registry)
}

var _ = Describe("Policy", func() {
	lost := verdict.New(verdict.MayHaveRun, verdict.ReasonUpstreamLost, "lost")
	refused := verdict.Refuse(verdict.ReasonConnect, "refused")

	DescribeTable("decides by the verdict, the attempts so far and the time left",
		func(f retry.Failure, want bool, reason verdict.Reason) {
			registry := metrics.NewRegistry()
			d := newPolicy(retry.DefaultBudgetConfig(), registry).Next(start, f)
			Expect(d.Retry).To(Equal(want))
			Expect(d.Reason).To(Equal(reason))
			name := map[bool]string{true: "allowed", false: "refused"}[want]
			Expect(metrics.GetOrRegisterCounter("retry."+name+"."+string(reason), registry).Count()).To(Equal(int64(1)))
		},
		Entry("request not executed, not repeatable", retry.Failure{Err: refused, Attempt: 1, Remaining: time.Minute},
			true, verdict.ReasonConnect),
		Entry("request may have been executed, not repeatable", retry.Failure{Err: lost, Attempt: 1, Remaining: time.Minute},
			false, verdict.ReasonUpstreamLost),
		Entry("request may have been executed, repeatable", retry.Failure{Err: lost, Repeatable: true, Attempt: 1, Remaining: time.Minute},
			true, verdict.ReasonUpstreamLost),
		Entry("last attempt", retry.Failure{Err: refused, Attempt: retry.MaxAttempts, Remaining: time.Minute},
			false, verdict.ReasonConnect),
		Entry("not enough time left for another attempt", retry.Failure{Err: refused, Attempt: 1, Remaining: time.Second, MinDuration: time.Second},
			false, verdict.ReasonDeadline),
		Entry("all upstreams pause for too long, which is refused at once",
			retry.Failure{Err: verdict.Refuse(verdict.ReasonAllPaused, "paused").WithRetryAfter(time.Second), Attempt: 1, Remaining: time.Minute},
			false, verdict.ReasonAllPaused),
		Entry("upstream asks for a delay beyond the deadline",
			retry.Failure{Err: refused.WithRetryAfter(time.Minute), Attempt: 1, Remaining: time.Second},
			false, verdict.ReasonDeadline),
	)

	It("bounds retries by the number of successful requests", func() {
		p := newPolicy(retry.BudgetConfig{Ratio: 0.1, Max: 5}, nil)
		allowed := 0
		for i := range 1000 {
			if i%2 == 0 {
				p.RecordSuccess(start, "c")
			}
			if p.Next(start, retry.Failure{Class: "c", Err: refused, Attempt: 1, Remaining: time.Minute}).Retry {
				allowed++
			}
		}
		Expect(allowed).To(BeNumerically("~", 5+50, 1))
	})

	It("refills the budget with time and has a separate one for each class", func() {
		p := newPolicy(retry.BudgetConfig{PerSecond: 1, Max: 1}, nil)
		next := func(class string, at time.Time) retry.Decision {
			return p.Next(at, retry.Failure{Class: class, Err: refused, Attempt: 1, Remaining: time.Minute})
		}
		Expect(next("a", start).Retry).To(BeTrue())
		Expect(next("a", start).Reason).To(Equal(verdict.ReasonRetryBudget))
		Expect(next("b", start).Retry).To(BeTrue())
		Expect(next("a", start.Add(time.Second)).Retry).To(BeTrue())
	})

	It("doubles the mean delay with each attempt and draws the same delays for the same seed", func() {
		total := func(attempt int) (sum time.Duration) {
			p := newPolicy(retry.BudgetConfig{Max: 1000}, nil)
			for range 100 {
				sum += p.Next(start, retry.Failure{Err: refused, Attempt: attempt, Remaining: time.Hour}).Wait
			}
			return sum
		}
		Expect(total(1)).To(Equal(total(1)))
		Expect(total(2)).To(BeNumerically("~", 2*total(1), time.Millisecond))
		Expect(total(3)).To(BeNumerically("~", 4*total(1), time.Millisecond))
	})
})
