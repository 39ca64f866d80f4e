package dispatch_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/dispatch"
	"github.com/tamarackcleat/tamarackcleat/fleet"
)

const (
	simReplicas = 18
	simSlots    = 48
	// simUse is the part of all slots that the requests of a simulation fill.
	simUse      = 0.67
	simDuration = time.Second
	simTime     = 12 * time.Second
	simWarmUp   = 4 * time.Second
)

// running is a request of a simulation that ends at a time.
type running struct {
	ends       time.Time
	node       int
	assignment *dispatch.Assignment
}

type runningQueue []running

func (q runningQueue) Len() int           { return len(q) }
func (q runningQueue) Less(i, j int) bool { return q[i].ends.Before(q[j].ends) }
func (q runningQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *runningQueue) Push(x any)        { *q = append(*q, x.(running)) }
func (q *runningQueue) Pop() any {
	old := *q
	r := old[len(old)-1]
	*q = old[:len(old)-1]
	return r
}

// simulate lets nodes send requests to replicas while each node hears of the loads of all
// others only once every age. It returns the part of the requests that met a replica whose
// slots were all taken.
func simulate(nodes int, age time.Duration, seed uint64) float64 {
	rng := rand.New(rand.NewPCG(seed, 7))
	llm := &fleet.Engine{
		Slots: simSlots, StepTime: 6 * time.Millisecond, StepTimePerRequest: 100 * time.Microsecond, PromptTokensPerSecond: 56_000, StepsPerEvent: 5,
		Models: []fleet.Model{{Name: "m", Size: 6, TimeFactor: 0.6}},
	}
	targets := make([]fleet.Target, simReplicas)
	for i := range targets {
		targets[i] = fleet.Target{ID: fmt.Sprintf("vm-%02d", i), Replica: fmt.Sprintf("r-%02d", i), Model: "m", Service: "llm", Slots: simSlots}
	}
	balancers := make([]*dispatch.Balancer, nodes)
	for i := range balancers {
		balancers[i] = dispatch.New(rand.New(rand.NewPCG(seed, uint64(i))))
	}
	rate := simUse * simSlots * simReplicas / simDuration.Seconds()
	start := time.Unix(1000, 0)
	now, reportedAt := start, time.Time{}
	var queue runningQueue
	loads := map[string]int{}
	full, sent := 0, 0
	for now.Sub(start) < simTime {
		now = now.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		for len(queue) > 0 && !queue[0].ends.After(now) {
			r := heap.Pop(&queue).(running)
			balancers[r.node].Done(r.ends, r.assignment)
			loads[r.assignment.Target.ID]--
		}
		if now.Sub(reportedAt) >= age {
			reportedAt = now
			report(now, balancers)
		}
		node := rng.IntN(nodes)
		a, short := balancers[node].Pick(now, llm, targets, dispatch.Request{PromptTokens: 700})
		if short != dispatch.NoShortage {
			continue
		}
		balancers[node].RecordFirstEvent(now, &a)
		if now.Sub(start) > simWarmUp {
			sent++
			if loads[a.Target.ID] >= simSlots {
				full++
			}
		}
		loads[a.Target.ID]++
		heap.Push(&queue, running{now.Add(time.Duration((0.5 + rng.Float64()) * float64(simDuration))), node, &a})
	}
	return float64(full) / float64(sent)
}

// report tells each node the loads of all others.
func report(now time.Time, balancers []*dispatch.Balancer) {
	sum := map[string]dispatch.Load{}
	for _, b := range balancers {
		for vm, l := range b.LocalLoads() {
			s := sum[vm]
			s.InFlight += l.InFlight
			s.PendingPromptTokens += l.PendingPromptTokens
			sum[vm] = s
		}
	}
	for _, b := range balancers {
		others := make(map[string]dispatch.Load, len(sum))
		for vm, s := range sum {
			others[vm] = s
		}
		for vm, l := range b.LocalLoads() {
			s := others[vm]
			s.InFlight -= l.InFlight
			s.PendingPromptTokens -= l.PendingPromptTokens
			others[vm] = s
		}
		b.SetPeerLoads(now, "others", others)
	}
}

// Guards against nodes that all choose the same replica, because it had the least load in
// reports that are old: some replicas are overrun while a third of all slots is free.
var _ = DescribeTable("Nodes that hear of each other's loads late leave few replicas overrun", func(nodes int, age time.Duration) {
	overrun := simulate(nodes, age, 1)
	AddReportEntry(fmt.Sprintf("%d nodes, reports of %v", nodes, age), overrun)
	Expect(overrun).To(BeNumerically("<", 0.01))
},
	Entry(nil, 7, 200*time.Millisecond), Entry(nil, 7, 1400*time.Millisecond),
	Entry(nil, 25, 200*time.Millisecond), Entry(nil, 25, 1400*time.Millisecond),
	Entry(nil, 72, 200*time.Millisecond), Entry(nil, 72, 1400*time.Millisecond),
	Entry(nil, 195, 200*time.Millisecond), Entry(nil, 195, 1400*time.Millisecond),
	Entry(nil, 1000, 200*time.Millisecond), Entry(nil, 1000, 1400*time.Millisecond),
)
