package router_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/balance"
	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/router"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

var start = time.Unix(1_000_000, 0)

func newRouter() *router.Service {
	return router.New(router.Config{Node: "n1", Zone: "z1", Rand: rand.New(rand.NewPCG(1, 1))})
}

func upstreams(n int) []balance.Upstream {
	all := make([]balance.Upstream, n)
	for i := range all {
		all[i] = balance.Upstream{ID: fmt.Sprintf("r%d", i), Generation: 1, Pool: "m", Zone: "z1", Slots: 4}
	}
	return all
}

// sendPick sends a Pick message for the pool "m" and returns the reply.
func sendPick(s *router.Service, now time.Time, p router.Pick) kernel.Message {
	p.Pool = "m"
	effects := s.Handle(now, p)
	Expect(effects).To(HaveLen(1))
	return effects[0].(kernel.Reply).Msg
}

// pick sends a Pick message that must succeed and returns the id of the upstream.
func pick(s *router.Service, now time.Time, p router.Pick) string {
	m := sendPick(s, now, p)
	Expect(m).To(BeAssignableToTypeOf(router.Picked{}))
	return m.(router.Picked).Upstream.ID
}

var _ = Describe("Service", func() {
	var s *router.Service
	BeforeEach(func() {
		s = newRouter()
		s.Handle(start, router.UpstreamsChanged{Upstreams: upstreams(2)})
	})

	It("corrects a lagging load report by the node's own sends and finishes", func() {
		s.Handle(start, router.LoadReported{ID: "r0", Running: 2, LoadAt: start})
		s.Handle(start, router.LoadReported{ID: "r1", Running: 3, LoadAt: start})
		Expect(s.FreeSlots("m")).To(Equal(3))
		id := pick(s, start.Add(time.Second), router.Pick{RequestID: "q"})
		Expect(id).To(Equal("r0"))
		Expect(s.FreeSlots("m")).To(Equal(2))
		s.Handle(start.Add(2*time.Second), router.LoadReported{ID: "r0", Running: 2, LoadAt: start.Add(500 * time.Millisecond)})
		Expect(s.FreeSlots("m")).To(Equal(2), "the report is older than the send and doesn't include it")
		s.Handle(start.Add(3*time.Second), router.LoadReported{ID: "r0", Running: 3, LoadAt: start.Add(2 * time.Second)})
		Expect(s.FreeSlots("m")).To(Equal(2), "the report includes the send")
		done := router.Finished{RequestID: "q", Upstream: "r0", OK: true}
		s.Handle(start.Add(4*time.Second), done)
		s.Handle(start.Add(4*time.Second), done)
		Expect(s.FreeSlots("m")).To(Equal(3), "a finish counts once")
	})

	It("never picks an excluded upstream", func() {
		for range 20 {
			Expect(pick(s, start, router.Pick{RequestID: "q", Exclude: []string{"r0"}})).To(Equal("r1"))
		}
		m := sendPick(s, start, router.Pick{Exclude: []string{"r0", "r1"}})
		Expect(m.(*verdict.Error).Reason).To(Equal(verdict.ReasonNoReplica))
	})

	It("refuses a request as not run when the upstreams of its pool are gone", func() {
		s.Handle(start, router.UpstreamsChanged{})
		Expect(s.Available("m")).To(BeFalse())
		m := sendPick(s, start, router.Pick{})
		Expect(m.(*verdict.Error).Verdict).To(Equal(verdict.NotRun))
	})

	It("drops the load of an upstream when its generation changes", func() {
		s.Handle(start, router.LoadReported{ID: "r0", Running: 4, LoadAt: start})
		newer := upstreams(2)
		newer[0].Generation = 2
		s.Handle(start, router.UpstreamsChanged{Upstreams: newer})
		Expect(s.FreeSlots("m")).To(Equal(8))
	})

	It("prefers the upstream that holds the prompt's prefix", func() {
		s.Handle(start, router.UpstreamsChanged{Upstreams: upstreams(50)})
		s.Handle(start, router.CacheEvents{ID: "r7", Boot: "b",
			Events: []port.CacheEvent{{Seq: 1, PrefixHash: 99}}})
		p := router.Pick{PrefixHashes: []uint64{1, 99}, ExpectedWork: time.Second, ExpectedPrefill: time.Second}
		Expect(pick(s, start, p)).To(Equal("r7"))
	})

	It("uses a bounded subset of a large pool", func() {
		s.Handle(start, router.UpstreamsChanged{Upstreams: upstreams(1000)})
		Expect(s.FreeSlots("m")).To(Equal(4 * router.DefaultSubsetSize))
	})

	It("weights the node's own sends by the square root of the number of nodes", func() {
		s.Handle(start, router.NodesChanged{Nodes: 9})
		s.Handle(start, router.LoadReported{ID: "r0", LoadAt: start})
		Expect(pick(s, start.Add(time.Second), router.Pick{RequestID: "q", Exclude: []string{"r1"}})).To(Equal("r0"))
		Expect(s.FreeSlots("m")).To(Equal(8 - 3))
	})

	DescribeTable("gives a node its share of the slots",
		func(fleet, nodes, load, want int) {
			s.Handle(start, router.UpstreamsChanged{Upstreams: upstreams(fleet)})
			s.Handle(start, router.NodesChanged{Nodes: nodes})
			for i := range fleet {
				s.Handle(start, router.LoadReported{ID: fmt.Sprint("r", i), Running: load, LoadAt: start})
			}
			Expect(s.Share(start, "m")).To(Equal(want))
		},
		Entry("no slots of an empty pool", 0, 7, 0, 0),
		Entry("all usable slots for the only node", 10, 1, 0, 36),
		Entry("an equal part for each of several nodes", 10, 4, 0, 9),
		Entry("an equal part when all slots are in use", 10, 4, 4, 9),
		Entry("a part by the number of nodes per upstream, in a pool larger than the subset", 960, 10, 0, 346),
	)

	It("lets a node exceed its equal part while slots are free", func() {
		s.Handle(start, router.UpstreamsChanged{Upstreams: upstreams(10)})
		s.Handle(start, router.NodesChanged{Nodes: 2})
		for i := range 18 {
			pick(s, start, router.Pick{RequestID: fmt.Sprint(i)})
		}
		Expect(s.Share(start, "m")).To(BeNumerically(">", 18))
	})

	It("neither picks an ejected straggler nor counts its slots", func() {
		s.Handle(start, router.UpstreamsChanged{Upstreams: upstreams(10)})
		before := s.Share(start, "m")
		ejectStraggler(s, "r3")
		Expect(s.Share(start.Add(3*time.Second), "m")).To(BeNumerically("<", before))
		for i := range 100 {
			Expect(pick(s, start.Add(3*time.Second), router.Pick{RequestID: fmt.Sprint(i)})).NotTo(Equal("r3"))
		}
	})
})

var _ = Describe("the eligibility of an upstream", func() {
	It("expires on a node that was paused, until it is renewed", func() {
		start := time.Unix(1000, 0)
		s := router.New(router.Config{Node: "n", Rand: rand.New(rand.NewPCG(1, 1))})
		s.Handle(start, router.UpstreamsChanged{Upstreams: []balance.Upstream{
			{ID: "r1", Pool: "m", Slots: 8, EligibleUntil: start.Add(3 * time.Second)},
		}})
		pick := func(at time.Time) kernel.Message {
			return s.Handle(at, router.Pick{Ask: 1, RequestID: at.String(), Pool: "m"})[0].(kernel.Reply).Msg
		}
		Expect(pick(start)).To(BeAssignableToTypeOf(router.Picked{}))
		resumed := start.Add(time.Minute)
		Expect(pick(resumed)).To(BeAssignableToTypeOf(&verdict.Error{}))
		s.Handle(resumed, router.EligibilityRenewed{EligibleUntil: map[string]time.Time{"r1": resumed.Add(time.Second)}})
		Expect(pick(resumed)).To(BeAssignableToTypeOf(router.Picked{}))
	})
})

// ejectStraggler finishes 200 requests on the pool's upstreams. Those of the
// straggler take ten times as long per token as the others, so it is ejected.
func ejectStraggler(s *router.Service, straggler string) {
	for i := range 200 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		request := fmt.Sprint("eject-", i)
		id := pick(s, now, router.Pick{RequestID: request})
		latency := 20 * time.Millisecond
		if id == straggler {
			latency *= 10
		}
		s.Handle(now, router.Finished{RequestID: request, Upstream: id, OK: true, PerToken: latency})
	}
}
