package placement

import (
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/record"
)

// applyRandomChange draws a change of one VM and applies it to the input. Some
// draws change nothing.
func applyRandomChange(t *rapid.T, in *Input) {
	v := &in.VMs[rapid.IntRange(0, len(in.VMs)-1).Draw(t, "vm")]
	switch rapid.IntRange(0, 6).Draw(t, "change") {
	case 0:
		v.Liveness = Lost
	case 1:
		v.Liveness = Suspected
	case 2:
		v.Liveness = Live
	case 3:
		v.Restarted = true
		v.Report = port.Report{VM: v.ID, State: port.EngineIdle}
	case 4:
		v.Leaving = !v.Leaving
	case 5:
		if rapid.Bool().Draw(t, "unlist") && len(in.VMs) > 4 {
			in.VMs = slices.DeleteFunc(in.VMs, func(o VM) bool { return o.ID == v.ID })
		}
	case 6:
		if v.Report.Replica == "" {
			v.Report.State = port.EngineIdle
		}
	}
}

// applySomeActions applies all formations. For each dissolution, it either
// removes the replica or only marks it as dissolving. next is the generation of
// the latest formation.
func applySomeActions(t *rapid.T, in *Input, actions []Action, next *record.Position) {
	for _, d := range dissolves(actions) {
		i := slices.IndexFunc(in.Replicas, func(r Replica) bool { return r.Name == d.Replica })
		if rapid.Bool().Draw(t, "delay") {
			in.Replicas[i].Dissolving = true
			continue
		}
		in.Replicas = slices.Delete(in.Replicas, i, i+1)
		for j := range in.VMs {
			if in.VMs[j].Report.Replica == d.Replica {
				in.VMs[j].Report.State, in.VMs[j].Report.Replica = port.EngineIdle, ""
			}
		}
	}
	for _, f := range forms(actions) {
		*next++
		in.Replicas = append(in.Replicas, Replica{Name: f.Replica, Generation: *next, Model: f.Model, VMs: f.VMs, FormedAt: in.Now})
		for j := range in.VMs {
			if slices.Contains(f.VMs, in.VMs[j].ID) {
				in.VMs[j].Report = port.Report{
					VM: in.VMs[j].ID, State: port.EngineReady, Replica: f.Replica,
					Generation: int64(*next), HeldWeights: []string{f.Model},
				}
			}
		}
	}
}

// checkForms fails if a formation uses a VM of another replica or one that is
// not usable, or if it spans domains.
func checkForms(t *rapid.T, in *Input, got []Form) {
	owner := map[port.VMID]string{}
	for _, r := range in.Replicas {
		for _, id := range r.VMs {
			owner[id] = r.Name
		}
	}
	for _, f := range got {
		domains := map[string]bool{}
		for _, id := range f.VMs {
			if owner[id] != "" {
				t.Fatalf("VM %s is a member of %s and %s", id, owner[id], f.Replica)
			}
			owner[id] = f.Replica
			v := findVM(in, id)
			if v.Liveness != Live || v.Leaving || v.Report.State != port.EngineIdle {
				t.Fatalf("VM %s is not usable but a member of a new replica: %+v", id, v)
			}
			domains[v.Domain] = true
		}
		if len(domains) != 1 {
			t.Fatalf("replica %s spans %d domains, want 1", f.Replica, len(domains))
		}
	}
}

var _ = Describe("Planner", func() {
	It("returns the same plan from its index as Plan does from the whole input, and only valid formations", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			in := input(fleet(9, 6, 10, 4),
				Demand{Model: "desk", Min: 1, Want: 1, Max: 2}, Demand{Model: "draft", Min: 2, Want: 4, Max: 6})
			policy := rapid.SampledFrom(Policies()).Draw(t, "policy")
			policy.CrossDomainDemand = DemandNone
			p := NewPlanner(policy)
			next := record.Position(0)
			for range rapid.IntRange(1, 25).Draw(t, "steps") {
				want := Plan(in, policy)
				p.Sync(in)
				got := p.Plan(in.Now)
				if fmt.Sprint(got) != fmt.Sprint(want) {
					t.Fatalf("plan from the index: %v\nplan from the whole input: %v", got, want)
				}
				checkForms(t, &in, forms(got))
				applySomeActions(t, &in, got, &next)
				applyRandomChange(t, &in)
			}
		})
	})

	It("forms the wanted replicas as far as the domains have room", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			in := input(fleet(5, 4, 3), Demand{Model: "draft", Min: 1, Want: 2, Max: 2})
			for range rapid.IntRange(0, 12).Draw(t, "changes") {
				applyRandomChange(t, &in)
			}
			room := 0
			for _, d := range []string{"a", "b", "c"} {
				free := 0
				for _, v := range in.VMs {
					if v.Domain == d && v.usable() {
						free++
					}
				}
				room += free / 4
			}
			Expect(forms(Plan(in, DefaultPolicy()))).To(HaveLen(min(room, 2)))
		})
	})
})
