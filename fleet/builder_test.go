package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/fleet"
)

const replicaSize = 4

// testConfig has a service with engines and a plain one.
func testConfig() *fleet.Config {
	c := fleet.NewConfig(1, nil)
	c.Services = map[string]fleet.Service{
		"llm":  {Name: "llm", Engine: &fleet.Engine{Slots: 8, Models: []fleet.Model{{Name: "m", Size: replicaSize}, {Name: "n", Size: 2}}}},
		"desk": {Name: "desk"},
	}
	return c
}

// engineVM returns the nth of many VMs that form open replicas of replicaSize.
func engineVM(n int) fleet.VM {
	state := fleet.MemberReady
	if n%replicaSize == 0 {
		state = fleet.MemberOpen
	}
	return fleet.VM{
		ID: fmt.Sprintf("vm-%05d", n), Service: "llm", Model: "m", Slots: 8, Address: "a",
		Member: fleet.Membership{Replica: fmt.Sprintf("r%d", n/replicaSize), Generation: 1, Rank: n % replicaSize, State: state},
	}
}

// randomVM returns a VM out of few, in any state.
func randomVM(rng *rand.Rand) fleet.VM {
	states := []fleet.MemberState{fleet.MemberReady, fleet.MemberReady, fleet.MemberOpen, fleet.MemberOpen, fleet.MemberJoining, fleet.MemberBroken}
	vm := fleet.VM{
		ID: fmt.Sprintf("vm-%d", rng.IntN(12)), Boot: int64(rng.IntN(2)), Service: "llm", Model: []string{"m", "n"}[rng.IntN(2)], Slots: 3, Address: "a",
		Member:  fleet.Membership{Replica: fmt.Sprintf("r%d", rng.IntN(3)), Generation: int64(rng.IntN(2)), Rank: rng.IntN(2), State: states[rng.IntN(len(states))]},
		Leaving: rng.IntN(6) == 0, Unlisted: rng.IntN(9) == 0,
	}
	switch rng.IntN(4) {
	case 0:
		vm.Service, vm.Model, vm.Member = "desk", "", fleet.Membership{}
	case 1:
		vm.Member = fleet.Membership{}
	}
	if vm.Leaving {
		vm.LeavingSince = time.Duration(1 + rng.IntN(5))
	}
	return vm
}

var _ = Describe("A builder of views", func() {
	// expectSame requires that a view has the VMs and the targets of one that is
	// made at once.
	expectSame := func(got *fleet.View, c *fleet.Config, vms map[string]fleet.VM) {
		GinkgoHelper()
		want := fleet.NewView(c, 0, vms)
		Expect(got.VMs()).To(Equal(vms))
		Expect(got.Len()).To(Equal(len(vms)))
		for _, pool := range [][2]string{{"llm", "m"}, {"llm", "n"}, {"desk", ""}} {
			targets := got.Targets(pool[0], pool[1])
			Expect(targets).To(HaveLen(len(want.Targets(pool[0], pool[1]))))
			for i, t := range want.Targets(pool[0], pool[1]) {
				Expect(targets[i]).To(Equal(t))
			}
		}
	}

	It("makes views that equal those made at once, and never changes them", func() {
		for seed := range uint64(60) {
			rng := rand.New(rand.NewPCG(seed, 1))
			b, c, vms := fleet.NewBuilder(), (*fleet.Config)(nil), map[string]fleet.VM{}
			type made struct {
				view *fleet.View
				c    *fleet.Config
				vms  map[string]fleet.VM
			}
			var views []made
			for range 40 {
				for range 1 + rng.IntN(4) {
					vm := randomVM(rng)
					switch {
					case rng.IntN(5) == 0:
						b.Remove(vm.ID)
						delete(vms, vm.ID)
					case rng.IntN(30) == 0:
						c = testConfig()
						b.SetConfig(c)
					default:
						b.Put(vm)
						vms[vm.ID] = vm
					}
				}
				copied := map[string]fleet.VM{}
				for id, vm := range vms {
					copied[id] = vm
				}
				views = append(views, made{b.View(0), c, copied})
			}
			for _, m := range views {
				expectSame(m.view, m.c, m.vms)
			}
		}
	})

	It("replaces a VM without a change of targets", func() {
		b := fleet.NewBuilder()
		b.SetConfig(testConfig())
		for n := range replicaSize {
			b.Put(engineVM(n))
		}
		before := b.View(0)
		vm := engineVM(1)
		vm.LastSeen = time.Minute
		b.Touch(vm)
		after := b.View(0)
		got, ok := after.VM(vm.ID)
		Expect(ok).To(BeTrue())
		Expect(got).To(Equal(vm))
		got, _ = before.VM(vm.ID)
		Expect(got.LastSeen).To(BeZero())
		Expect(after.Targets("llm", "m")).To(HaveLen(1))
	})
})

// BenchmarkReport measures a view after the report of one VM that changes its replica's
// target, and one that doesn't.
func BenchmarkReport(b *testing.B) {
	for _, count := range []int{66, 875, 10_000} {
		build := fleet.NewBuilder()
		build.SetConfig(testConfig())
		for n := range count {
			build.Put(engineVM(n))
		}
		build.View(0)
		for _, kind := range []string{"target", "member"} {
			b.Run(fmt.Sprintf("%s/%d", kind, count), func(b *testing.B) {
				for i := range b.N {
					vm := engineVM(replicaSize * (i % (count / replicaSize)))
					switch kind {
					case "target":
						vm.Leaving = i%2 == 0
					case "member":
						vm = engineVM(1 + replicaSize*(i%(count/replicaSize)))
						vm.Staged = []string{"m"}
					}
					build.Put(vm)
					build.View(0)
				}
			})
		}
	}
}
