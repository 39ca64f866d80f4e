package watch_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/watch"
)

func names(kind string, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("%s-%d", kind, i)
	}
	return out
}

func groups(pool string, n int) []watch.Group {
	out := make([]watch.Group, n)
	for i, id := range names(pool, n) {
		out[i] = watch.Group{ID: id, Pool: pool}
	}
	return out
}

var _ = Describe("Assign", func() {
	DescribeTable("gives every group enough watchers and every node enough groups",
		func(nodeCount, groupCount, maxGroups int) {
			nodes := names("node", nodeCount)
			all := groups("pool", groupCount)
			watchers := map[string]int{}
			for _, n := range nodes {
				assigned := watch.Assign(n, nodes, all)
				Expect(len(assigned)).To(BeNumerically(">=", min(watch.MinGroups, groupCount)))
				Expect(len(assigned)).To(BeNumerically("<=", maxGroups))
				for id := range assigned {
					watchers[id]++
				}
			}
			for _, g := range all {
				Expect(watchers[g.ID]).To(BeNumerically(">=", min(watch.MinWatchers, nodeCount)), g.ID)
			}
		},
		Entry("one node", 1, 70, 70),
		Entry("two nodes", 2, 70, 70),
		Entry("the drafting pool at its present size", 7, 70, 20),
		Entry("the desk pool at its present size", 7, 3, 3),
		Entry("more nodes than groups", 40, 10, 5),
		Entry("the size expected in two years", 390, 1000, 6),
	)

	It("divides each pool separately", func() {
		all := append(groups("draft", 70), groups("desk", 3)...)
		assigned := watch.Assign("node-0", names("node", 7), all)
		for _, id := range names("desk", 3) {
			Expect(assigned).To(HaveKey(id))
		}
	})
})

func BenchmarkAssign(b *testing.B) {
	nodes := names("node", 3900)
	all := groups("pool", 10000)
	for b.Loop() {
		watch.Assign("node-7", nodes, all)
	}
}
