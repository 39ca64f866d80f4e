package prefix_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/balance/prefix"
	"github.com/tamarackcleat/tamarackcleat/port"
)

var _ = Describe("Index", func() {
	add := func(seq int64, hash uint64) port.CacheEvent {
		return port.CacheEvent{Seq: seq, PrefixHash: hash}
	}
	var index *prefix.Index
	BeforeEach(func() {
		index = prefix.NewIndex()
		index.Apply("b", "boot", []port.CacheEvent{add(1, 10), add(2, 20)})
		index.Apply("a", "boot", []port.CacheEvent{add(1, 10)})
	})

	It("lists the holders of a prefix sorted by id", func() {
		Expect(index.Holders(10)).To(Equal([]string{"a", "b"}))
	})

	DescribeTable("applies cache events of upstream b",
		func(boot string, events []port.CacheEvent, gap bool, of10, of20 []string) {
			Expect(index.Apply("b", boot, events)).To(Equal(gap))
			Expect(index.Holders(10)).To(BeEquivalentTo(of10))
			Expect(index.Holders(20)).To(BeEquivalentTo(of20))
		},
		Entry("eviction", "boot", []port.CacheEvent{{Seq: 3, PrefixHash: 10, Dropped: true}},
			false, []string{"a"}, []string{"b"}),
		Entry("repeated event", "boot", []port.CacheEvent{{Seq: 2, PrefixHash: 10, Dropped: true}},
			false, []string{"a", "b"}, []string{"b"}),
		Entry("gap in the sequence", "boot", []port.CacheEvent{add(9, 20)}, true, []string{"a"}, []string{"b"}),
		Entry("restart of the upstream", "other", []port.CacheEvent{add(1, 20)}, false, []string{"a"}, []string{"b"}),
	)

	It("keeps at most MaxPerUpstream prefixes of an upstream", func() {
		for hash := range uint64(3 * prefix.MaxPerUpstream) {
			index.Add("c", 1000+hash)
		}
		Expect(index.Holders(1000)).To(BeEmpty())
		Expect(index.Holders(1000 + 3*prefix.MaxPerUpstream - 1)).To(Equal([]string{"c"}))
	})

	It("removes an upstream with all its prefixes", func() {
		index.RemoveUpstream("b")
		Expect(index.Holders(10)).To(Equal([]string{"a"}))
		Expect(index.Holders(20)).To(BeEmpty())
	})
})
