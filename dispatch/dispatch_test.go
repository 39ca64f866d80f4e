package dispatch_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/dispatch"
	"github.com/tamarackcleat/tamarackcleat/fleet"
)

var engine = &fleet.Engine{
	Slots: 4, StepTime: 6 * time.Millisecond, StepTimePerRequest: 100 * time.Microsecond, PromptTokensPerSecond: 56_000, StepsPerEvent: 6,
	Models: []fleet.Model{{Name: "m", Size: 6, TimeFactor: 1}},
}

func target(id string) fleet.Target {
	return fleet.Target{ID: id, Replica: "r-" + id, Model: "m", Slots: 4}
}

var _ = Describe("Balancer", func() {
	var (
		b       *dispatch.Balancer
		now     time.Time
		targets []fleet.Target
	)
	BeforeEach(func() {
		b = dispatch.New(rand.New(rand.NewPCG(1, 2)))
		now = time.Unix(1000, 0)
		targets = []fleet.Target{target("a"), target("b"), target("c")}
	})
	pick := func(r dispatch.Request) *dispatch.Assignment {
		t, short := b.Pick(now, engine, targets, r)
		if short != dispatch.NoShortage {
			return nil
		}
		return &t
	}

	It("spreads requests evenly over idle replicas", func() {
		counts := map[string]int{}
		for range 9 {
			counts[pick(dispatch.Request{PromptTokens: 2000}).Target.ID]++
		}
		Expect(counts).To(Equal(map[string]int{"a": 3, "b": 3, "c": 3}))
	})

	// Nodes learn late what other nodes have selected. Without a random part, equal
	// predictions would make all nodes select the same replica.
	It("spreads selections over upstreams with about equal predictions", func() {
		first := map[string]bool{}
		for seed := range uint64(30) {
			b := dispatch.New(rand.New(rand.NewPCG(seed, 1)))
			t, _ := b.Pick(now, engine, targets, dispatch.Request{})
			first[t.Target.ID] = true
		}
		Expect(first).To(HaveLen(3))
	})

	// While a replica processes a long prompt, it makes no progress on other
	// requests.
	It("counts the tokens of prompts that are not processed yet", func() {
		first := pick(dispatch.Request{PromptTokens: 6000})
		for range 4 {
			Expect(pick(dispatch.Request{PromptTokens: 100}).Target.ID).NotTo(Equal(first.Target.ID))
		}
		b.RecordFirstEvent(now, first)
		Expect(b.LocalLoads()[first.Target.ID]).To(Equal(dispatch.Load{InFlight: 1}))
	})

	It("counts the loads that peers reported within the last second", func() {
		b.SetPeerLoads(now, "peer", map[string]dispatch.Load{"a": {InFlight: 3, PendingPromptTokens: 4000}, "b": {InFlight: 3, PendingPromptTokens: 4000}})
		Expect(pick(dispatch.Request{}).Target.ID).To(Equal("c"))
		now = now.Add(2 * time.Second)
		picked := map[string]bool{}
		for range 6 {
			picked[pick(dispatch.Request{}).Target.ID] = true
		}
		Expect(picked).To(HaveLen(3))
	})

	It("merges changes into a peer's loads", func() {
		b.SetPeerLoads(now, "peer", map[string]dispatch.Load{"a": {InFlight: 1, PendingPromptTokens: 4000}, "b": {InFlight: 1, PendingPromptTokens: 4000}})
		b.UpdatePeerLoads(now, "peer", map[string]dispatch.Load{"a": {}, "c": {InFlight: 1, PendingPromptTokens: 4000}})
		Expect(pick(dispatch.Request{}).Target.ID).To(Equal("a"))
	})

	// When a replica fails, all nodes move its requests at the same moment. In the
	// fault that this guards against, each of six nodes moved four requests to the
	// same other replica.
	It("spreads requests that many nodes move at once", func() {
		counts := map[string]int{}
		for seed := range uint64(60) {
			b := dispatch.New(rand.New(rand.NewPCG(seed, 1)))
			b.SetPeerLoads(now, "peer", map[string]dispatch.Load{"a": {}, "b": {PendingPromptTokens: 1500}, "c": {PendingPromptTokens: 1500}})
			t, _ := b.Pick(now, engine, targets, dispatch.Request{PromptTokens: 2000, Failover: true})
			counts[t.Target.ID]++
		}
		Expect(counts["a"]).To(BeNumerically("<", 45))
	})

	It("accepts no more requests than fit into the slots and a short queue", func() {
		n := 0
		for pick(dispatch.Request{}) != nil {
			n++
		}
		Expect(n).To(Equal(3 * 4))
	})

	It("selects a suspect upstream only if no other one can be selected", func() {
		b.MarkSuspect(now, targets[0])
		for range 4 {
			Expect(pick(dispatch.Request{}).Target.ID).NotTo(Equal("a"))
		}
		Expect(pick(dispatch.Request{Exclude: []string{"b r-b", "c r-c"}}).Target.ID).To(Equal("a"))
	})

	It("prefers replicas that are not about to end, and uses one that is when the others are full", func() {
		targets[0].MemberLeavingSince = time.Second
		for range 8 {
			Expect(pick(dispatch.Request{}).Target.ID).NotTo(Equal("a"))
		}
		Expect(pick(dispatch.Request{}).Target.ID).To(Equal("a"))
	})

	// After a failure, a new replica may be formed with the same head VM.
	It("may select a new replica on a VM whose earlier replica was tried", func() {
		targets[0].Replica = "later"
		Expect(pick(dispatch.Request{Exclude: []string{"a r-a", "b r-b", "c r-c"}}).Target.ID).To(Equal("a"))
	})

	It("never selects an excluded upstream", func() {
		Expect(pick(dispatch.Request{Exclude: []string{"a r-a", "b r-b", "c r-c"}})).To(BeNil())
	})

	It("uses the shorter limit for silence once the upstream has begun to answer a request", func() {
		limits := dispatch.StallTimeouts{Decode: 300 * time.Millisecond, Prefill: time.Second}
		assignment := pick(dispatch.Request{})
		silentCount := func(after time.Duration) int { return len(b.Silent(now.Add(after), targets, limits)) }
		Expect(silentCount(500 * time.Millisecond)).To(BeZero())
		Expect(silentCount(1100 * time.Millisecond)).To(Equal(1))
		b.RecordFirstEvent(now, assignment)
		Expect(silentCount(500 * time.Millisecond)).To(Equal(1))
		b.Done(now, assignment)
		Expect(silentCount(time.Minute)).To(BeZero())
		Expect(b.LocalLoads()).To(BeEmpty())
	})

	It("does not carry loads over to a restarted VM", func() {
		pick(dispatch.Request{Exclude: []string{"b r-b", "c r-c"}})
		restarted := targets[0]
		restarted.Boot = 7
		Expect(b.Silent(now.Add(time.Minute), []fleet.Target{restarted}, dispatch.StallTimeouts{})).To(BeEmpty())
	})
})
