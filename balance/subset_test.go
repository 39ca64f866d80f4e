package balance_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/balance"
)

func names(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("replica-%d", i)
	}
	return ids
}

var _ = Describe("Subset", func() {
	DescribeTable("has at most the requested size",
		func(fleet, size, want int) {
			Expect(balance.Subset("node", names(fleet), size)).To(HaveLen(want))
		},
		Entry("empty", 0, 8, 0),
		Entry("whole pool", 8, 8, 8),
		Entry("part of the pool", 1000, 8, 8),
	)

	It("changes by at most one id when one upstream is removed", func() {
		ids := names(500)
		before := balance.Subset("node", ids, 32)
		for gone := range ids {
			rest := append(append([]string{}, ids[:gone]...), ids[gone+1:]...)
			after := balance.Subset("node", rest, 32)
			kept := 0
			for _, id := range after {
				for _, old := range before {
					if id == old {
						kept++
					}
				}
			}
			Expect(kept).To(BeNumerically(">=", 31))
		}
	})

	It("spreads the nodes evenly over the upstreams", func() {
		users := map[string]int{}
		for node := range 400 {
			for _, id := range balance.Subset(fmt.Sprintf("node-%d", node), names(100), 10) {
				users[id]++
			}
		}
		for _, id := range names(100) {
			Expect(users[id]).To(BeNumerically("~", 40, 25))
		}
	})
})
