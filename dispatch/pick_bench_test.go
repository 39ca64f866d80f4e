package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tamarackcleat/tamarackcleat/dispatch"
	"github.com/tamarackcleat/tamarackcleat/fleet"
)

// BenchmarkPick measures the selection of one upstream for pools of different sizes.
func BenchmarkPick(b *testing.B) {
	llm := &fleet.Engine{
		Slots: 48, StepTime: 6 * time.Millisecond, StepTimePerRequest: 100 * time.Microsecond, PromptTokensPerSecond: 56_000, StepsPerEvent: 5,
		Models: []fleet.Model{{Name: "m", Size: 8, TimeFactor: 1}},
	}
	for _, replicas := range []int{12, 125, 1250} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			balancer := dispatch.New(rand.New(rand.NewPCG(1, 2)))
			now := time.Unix(1000, 0)
			targets, loads := make([]fleet.Target, replicas), map[string]dispatch.Load{}
			for i := range targets {
				targets[i] = fleet.Target{ID: fmt.Sprintf("vm-%05d", i), Replica: fmt.Sprintf("r-%d", i), Model: "m", Service: "llm", Slots: 48}
				loads[targets[i].ID] = dispatch.Load{InFlight: 20 + i%20, PendingPromptTokens: 100 * (i % 9)}
			}
			balancer.SetPeerLoads(now, "peer", loads)
			r := dispatch.Request{PromptTokens: 800, Target: 400 * time.Millisecond}
			for b.Loop() {
				a, short := balancer.Pick(now, llm, targets, r)
				if short != dispatch.NoShortage {
					b.Fatal(short)
				}
				balancer.Done(now, &a)
			}
		})
	}
}
