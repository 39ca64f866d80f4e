package twochoice_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/balance"
	"github.com/tamarackcleat/tamarackcleat/balance/twochoice"
)

var _ = Describe("Strategy", func() {
	candidate := func(id, zone string, load int) *balance.Candidate {
		return &balance.Candidate{Upstream: balance.Upstream{ID: id, Zone: zone, Slots: 4}, Load: load}
	}

	DescribeTable("chooses, of two candidates,",
		func(a, b *balance.Candidate, holder int, want string) {
			candidates := []*balance.Candidate{a, b}
			r := balance.Request{Zone: "z1", Work: time.Second, Prefill: 300 * time.Millisecond}
			if holder >= 0 {
				r.Holders = []balance.Holder{{Candidate: candidates[holder], CachedShare: 1}}
			}
			for seed := range uint64(20) {
				s := twochoice.New(rand.New(rand.NewPCG(seed, 0)))
				Expect(s.Choose(r, candidates).ID).To(Equal(want))
			}
		},
		Entry("the less loaded one", candidate("a", "z1", 2), candidate("b", "z1", 1), -1, "b"),
		Entry("the one in the node's zone if the loads are equal", candidate("a", "z2", 1), candidate("b", "z1", 1), -1, "b"),
		Entry("the less loaded one even in another zone", candidate("a", "z2", 0), candidate("b", "z1", 1), -1, "a"),
		Entry("the holder of a prefix if it is slightly busier", candidate("a", "z1", 1), candidate("b", "z1", 0), 0, "a"),
		Entry("the idle one over a holder without a free slot", candidate("a", "z1", 4), candidate("b", "z1", 0), 0, "b"),
	)
})
