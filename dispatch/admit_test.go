package dispatch_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/dispatch"
	"github.com/tamarackcleat/tamarackcleat/fleet"
)

var _ = Describe("Admission by the predicted time to the first event", func() {
	const slots = 40
	var (
		b       *dispatch.Balancer
		now     time.Time
		targets []fleet.Target
		llm     = &fleet.Engine{
			Slots: slots, StepTime: 6 * time.Millisecond, StepTimePerRequest: 100 * time.Microsecond, PromptTokensPerSecond: 56_000, StepsPerEvent: 5,
			Models: []fleet.Model{{Name: "m", Size: 6, TimeFactor: 1}},
		}
		inTime = dispatch.Request{Target: 250 * time.Millisecond}
	)
	BeforeEach(func() {
		b = dispatch.New(rand.New(rand.NewPCG(1, 2)))
		now = time.Unix(1000, 0)
		targets = []fleet.Target{{ID: "a", Replica: "r-a", Model: "m", Slots: slots}, {ID: "b", Replica: "r-b", Model: "m", Slots: slots}}
	})
	// fill reports the same load for each replica.
	fill := func(inFlight, pendingTokens int) {
		loads := map[string]dispatch.Load{}
		for _, t := range targets {
			loads[t.ID] = dispatch.Load{InFlight: inFlight, PendingPromptTokens: pendingTokens}
		}
		b.SetPeerLoads(now, "peer", loads)
	}
	pick := func(r dispatch.Request) dispatch.Shortage {
		a, short := b.Pick(now, llm, targets, r)
		if short == dispatch.NoShortage {
			b.Done(now, &a)
		}
		return short
	}

	// Guards against a burst that fills all replicas beyond their slots: each request is
	// sent although it is predicted to be late, and makes the next ones late as well.
	It("refuses a request beyond the slots that all replicas would answer late", func() {
		fill(slots, 0)
		Expect(pick(inTime)).To(Equal(dispatch.NoShortage))
		fill(slots, 12_000)
		Expect(pick(inTime)).To(Equal(dispatch.TooLate))
		Expect(pick(dispatch.Request{})).To(Equal(dispatch.NoShortage))
	})

	// Guards against refusals beside free slots, which a wrong prediction would bring.
	It("refuses nothing while a slot is free", func() {
		fill(slots-1, 50_000)
		Expect(pick(inTime)).To(Equal(dispatch.NoShortage))
	})

	It("says what was predicted for a request that it refuses", func() {
		fill(slots, 12_000)
		a, short := b.Pick(now, llm, targets, inTime)
		Expect(short).To(Equal(dispatch.TooLate))
		Expect(a.Predicted).To(BeNumerically(">", inTime.Target))
		Expect(a.Load).To(Equal(slots))
		Expect(b.LocalLoads()).To(BeEmpty())
	})

	// Guards against callers that return after a refusal, and can't be answered in time any
	// more, in the place of callers that can.
	It("leaves the places beyond the slots to requests that can be answered in time", func() {
		late := dispatch.Request{Target: inTime.Target, Waited: time.Second}
		fill(slots-1, 0)
		Expect(pick(late)).To(Equal(dispatch.NoShortage))
		fill(slots, 0)
		Expect(pick(late)).To(Equal(dispatch.TooLate))
		Expect(pick(inTime)).To(Equal(dispatch.NoShortage))
	})

	// Guards against the least urgent requests being served best: their targets are longer,
	// so replicas that are too full for urgent ones still take them.
	It("admits less urgent requests only where urgent ones stay in time", func() {
		lessUrgent := dispatch.Request{Target: time.Second, Priority: 2}
		fill(slots, 5_000)
		Expect(pick(lessUrgent)).To(Equal(dispatch.NoShortage))
		Expect(pick(inTime)).To(Equal(dispatch.NoShortage))
		Expect(pick(lessUrgent)).To(Equal(dispatch.TooLate))
		now = now.Add(time.Minute)
		fill(slots, 5_000)
		Expect(pick(lessUrgent)).To(Equal(dispatch.NoShortage))
	})

	// Guards against predictions that stay wrong, for example because the engines take
	// longer than their configuration says.
	It("corrects predictions by how late first events came", func() {
		fill(slots, 2_000)
		Expect(pick(inTime)).To(Equal(dispatch.NoShortage))
		for range 40 {
			a, short := b.Pick(now, llm, targets, dispatch.Request{})
			Expect(short).To(Equal(dispatch.NoShortage))
			b.RecordFirstEvent(now.Add(400*time.Millisecond), &a)
			b.Done(now.Add(time.Second), &a)
		}
		Expect(pick(inTime)).To(Equal(dispatch.TooLate))
	})
})
