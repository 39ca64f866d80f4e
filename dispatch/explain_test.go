package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/dispatch"
	"github.com/tamarackcleat/tamarackcleat/fleet"
)

// Guards against explanations that differ from the real choice, and that change it.
var _ = Describe("The explanation of a choice", func() {
	now := time.Unix(1000, 0)
	// A replica with 8 slots takes one request beyond them, which may be too late.
	const slots = 8
	eightSlots := *engine
	eightSlots.Slots = slots
	// randomRequest returns a request that some of the targets are excluded for.
	randomRequest := func(rng *rand.Rand, targets []fleet.Target) dispatch.Request {
		r := dispatch.Request{PromptTokens: rng.IntN(8000), NeverPaused: rng.IntN(4) == 0, Priority: rng.IntN(3), Failover: rng.IntN(8) == 0}
		if rng.IntN(2) == 0 {
			r.Target, r.Waited = time.Duration(rng.IntN(400))*time.Millisecond, time.Duration(rng.IntN(100))*time.Millisecond
		}
		for _, t := range targets {
			if rng.IntN(6) == 0 {
				r.Exclude = append(r.Exclude, t.InstanceKey())
			}
		}
		return r
	}
	// randomBalancer returns a balancer with random loads, suspects and pauses.
	randomBalancer := func(seed uint64) (*dispatch.Balancer, []fleet.Target, *fleet.Engine) {
		rng := rand.New(rand.NewPCG(seed, 5))
		b := dispatch.New(rand.New(rand.NewPCG(seed, 6)))
		var targets []fleet.Target
		loads := map[string]dispatch.Load{}
		busy := rng.IntN(slots + 3)
		for i := range 1 + rng.IntN(6) {
			t := target(fmt.Sprint(i))
			t.Slots = slots
			targets = append(targets, t)
			loads[t.ID] = dispatch.Load{InFlight: rng.IntN(1 + busy), PendingPromptTokens: rng.IntN(1 + 2000*busy)}
			if rng.IntN(5) == 0 {
				b.MarkSuspect(now, t)
			}
			if rng.IntN(5) == 0 {
				b.Pause(now.Add(-time.Second), t.Incarnation(), time.Duration(1+rng.IntN(1500))*time.Millisecond)
			}
		}
		b.SetPeerLoads(now.Add(-time.Duration(rng.IntN(2000))*time.Millisecond), "peer", loads)
		if rng.IntN(4) == 0 {
			return b, targets, nil
		}
		return b, targets, &eightSlots
	}

	It("agrees with the choice over random loads", func() {
		shortages := map[dispatch.Shortage]int{}
		reasons := map[dispatch.Exclusion]int{}
		for seed := range uint64(2000) {
			b, targets, engine := randomBalancer(seed)
			rng := rand.New(rand.NewPCG(seed, 7))
			for range 8 {
				r := randomRequest(rng, targets)
				e := b.Explain(now, engine, targets, r)
				a, short := b.Pick(now, engine, targets, r)
				shortages[short]++
				Expect(e.Candidates).To(HaveLen(len(targets)))
				sum := 0.0
				for _, c := range e.Candidates {
					reasons[c.Excluded]++
					sum += c.Share
					if c.Excluded != dispatch.NotExcluded {
						Expect(c.Share).To(BeZero(), "seed %d", seed)
					}
					if short == dispatch.NoShortage && c.Target == a.Target && !r.Failover {
						Expect(c.Excluded).To(Equal(dispatch.NotExcluded), "seed %d", seed)
						Expect(c.Share).To(BeNumerically(">", 0), "seed %d", seed)
						Expect(c.Predicted).To(Equal(a.Predicted), "seed %d", seed)
					}
				}
				if r.Failover {
					continue
				}
				Expect(e.Shortage).To(Equal(short), "seed %d", seed)
				if short == dispatch.NoShortage {
					Expect(sum).To(BeNumerically("~", 1, 1e-6), "seed %d", seed)
				}
			}
		}
		Expect(shortages).To(HaveLen(4))
		Expect(reasons).To(HaveLen(6))
	})

	It("changes nothing that later choices depend on", func() {
		for seed := range uint64(300) {
			plain, targets, engine := randomBalancer(seed)
			explained, _, _ := randomBalancer(seed)
			rng := rand.New(rand.NewPCG(seed, 8))
			for range 10 {
				// A more urgent request that arrived would lower the limit of the next one.
				urgent := dispatch.Request{Target: time.Millisecond, Failover: true}
				explained.Explain(now, engine, targets, urgent)
				explained.Explain(now, engine, targets, randomRequest(rand.New(rand.NewPCG(seed, 9)), targets))
				r := randomRequest(rng, targets)
				a, short := plain.Pick(now, engine, targets, r)
				b, alsoShort := explained.Pick(now, engine, targets, r)
				Expect(b).To(Equal(a), "seed %d", seed)
				Expect(alsoShort).To(Equal(short), "seed %d", seed)
				Expect(explained.LocalLoads()).To(Equal(plain.LocalLoads()))
				Expect(explained.PauseCount()).To(Equal(plain.PauseCount()))
			}
		}
	})

	// Pick considers only some of so many targets, which it draws at random.
	It("considers all of many targets and draws nothing", func() {
		const many = 300
		balancers := []*dispatch.Balancer{dispatch.New(rand.New(rand.NewPCG(1, 2))), dispatch.New(rand.New(rand.NewPCG(1, 2)))}
		targets, loads := make([]fleet.Target, many), map[string]dispatch.Load{}
		for i := range targets {
			targets[i] = target(fmt.Sprint(i))
			targets[i].Slots = slots
			loads[targets[i].ID] = dispatch.Load{InFlight: 1 + i%slots}
		}
		delete(loads, targets[many-1].ID)
		for _, b := range balancers {
			b.SetPeerLoads(now, "peer", loads)
		}
		for range 50 {
			e := balancers[0].Explain(now, &eightSlots, targets, dispatch.Request{PromptTokens: 100})
			Expect(e.Candidates).To(HaveLen(many))
			sum, best := 0.0, e.Candidates[many-1]
			for _, c := range e.Candidates {
				sum += c.Share
				Expect(c.Share).To(BeNumerically("<=", best.Share))
				Expect(c.Predicted).To(BeNumerically(">=", best.Predicted))
			}
			Expect(sum).To(BeNumerically("~", 1, 1e-6))
			a, short := balancers[0].Pick(now, &eightSlots, targets, dispatch.Request{PromptTokens: 100})
			plain, plainShort := balancers[1].Pick(now, &eightSlots, targets, dispatch.Request{PromptTokens: 100})
			Expect(a).To(Equal(plain))
			Expect(short).To(Equal(plainShort))
			balancers[0].Done(now, &a)
			balancers[1].Done(now, &plain)
		}
	})
})
