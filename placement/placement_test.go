package placement

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/config/dynamic"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/record"
)

var start = time.Unix(1_000_000, 0)

// fleet returns idle VMs of domains with the given sizes. VMs are named after
// their domain, such as a-1. The domains are assigned to the zones z0, z1 and
// z2 in rotation.
func fleet(sizes ...int) []VM {
	var vms []VM
	for d, size := range sizes {
		domain := string(rune('a' + d))
		for i := range size {
			id := port.VMID(fmt.Sprintf("%s-%d", domain, i+1))
			vms = append(vms, VM{
				VM:       port.VM{ID: id, Kind: port.KindEngine, Domain: domain, Zone: fmt.Sprint("z", d%3)},
				Liveness: Live,
				Report:   port.Report{VM: id, State: port.EngineIdle},
			})
		}
	}
	return vms
}

var (
	draft = port.Model{Name: "draft", VMsPerReplica: 4, WeightBytes: 40 << 30}
	desk  = port.Model{Name: "desk", VMsPerReplica: 4, WeightBytes: 10 << 30}
)

func input(vms []VM, demands ...Demand) Input {
	return Input{VMs: vms, Models: []port.Model{draft, desk}, Demands: demands, Now: start}
}

// addReplica adds a live replica to the input and makes the VMs its ready
// members.
func addReplica(in *Input, name, model string, ids ...port.VMID) {
	g := record.Position(len(in.Replicas) + 1)
	in.Replicas = append(in.Replicas, Replica{Name: name, Generation: g, Model: model, VMs: ids, FormedAt: start})
	for _, id := range ids {
		r := &findVM(in, id).Report
		r.State, r.Replica, r.Generation, r.HeldWeights = port.EngineReady, name, int64(g), []string{model}
	}
}

func findVM(in *Input, id port.VMID) *VM {
	for i := range in.VMs {
		if in.VMs[i].ID == id {
			return &in.VMs[i]
		}
	}
	panic("unknown VM " + id)
}

func forms(actions []Action) []Form {
	var out []Form
	for _, a := range actions {
		if f, ok := a.(Form); ok {
			out = append(out, f)
		}
	}
	return out
}

func dissolves(actions []Action) []Dissolve {
	var out []Dissolve
	for _, a := range actions {
		if d, ok := a.(Dissolve); ok {
			out = append(out, d)
		}
	}
	return out
}

func domainsOf(f Form) map[byte]int {
	m := map[byte]int{}
	for _, id := range f.VMs {
		m[id[0]]++
	}
	return m
}

var _ = Describe("Plan", func() {
	It("forms replicas within domains, and the first two of a model in different zones", func() {
		in := input(fleet(9, 9, 9), Demand{Model: "desk", Min: 2, Want: 2, Max: 2}, Demand{Model: "draft", Min: 2, Want: 4, Max: 4})
		got := forms(Plan(in, DefaultPolicy()))
		Expect(got).To(HaveLen(6))
		used := map[port.VMID]bool{}
		for _, f := range got {
			Expect(domainsOf(f)).To(HaveLen(1))
			for _, id := range f.VMs {
				Expect(used).NotTo(HaveKey(id))
				used[id] = true
			}
		}
		Expect(got[0].Model).To(Equal("desk"))
		Expect(got[0].VMs[0][0]).NotTo(Equal(got[1].VMs[0][0]))
	})

	It("returns the same plan for any order of the VMs", func() {
		vms := fleet(9, 5, 12)
		a := Plan(input(vms, Demand{Model: "draft", Min: 2, Want: 6, Max: 6}), DefaultPolicy())
		for i, j := 0, len(vms)-1; i < j; i, j = i+1, j-1 {
			vms[i], vms[j] = vms[j], vms[i]
		}
		Expect(Plan(input(vms, Demand{Model: "draft", Min: 2, Want: 6, Max: 6}), DefaultPolicy())).To(Equal(a))
	})

	DescribeTable("dissolves a replica whose member", func(change func(*VM), cause Cause) {
		in := input(fleet(5), Demand{Model: "draft", Min: 1, Want: 1, Max: 1})
		addReplica(&in, "draft-1", "draft", "a-1", "a-2", "a-3", "a-4")
		Expect(Plan(in, DefaultPolicy())).To(BeEmpty())
		change(findVM(&in, "a-2"))
		Expect(dissolves(Plan(in, DefaultPolicy()))).To(Equal([]Dissolve{{Replica: "draft-1", Generation: 1, Cause: cause}}))
	},
		Entry("is lost", func(v *VM) { v.Liveness = Lost }, CauseMissing),
		Entry("restarted", func(v *VM) { v.Restarted = true }, CauseRestarted),
		Entry("is leaving according to the VM list", func(v *VM) { v.Leaving = true }, CauseLeaving),
		Entry("is leaving according to its own report", func(v *VM) { v.Report.State = port.EngineLeaving }, CauseLeaving),
	)

	It("keeps a replica with a suspected member and uses no suspected VM", func() {
		in := input(fleet(8), Demand{Model: "draft", Min: 2, Want: 2, Max: 2})
		addReplica(&in, "draft-1", "draft", "a-1", "a-2", "a-3", "a-4")
		findVM(&in, "a-1").Liveness = Suspected
		findVM(&in, "a-8").Liveness = Suspected
		Expect(Plan(in, DefaultPolicy())).To(BeEmpty())
	})

	It("prefers VMs that hold the weights and adds one that does not", func() {
		in := input(fleet(8), Demand{Model: "draft", Min: 1, Want: 1, Max: 1})
		for _, id := range []port.VMID{"a-6", "a-7", "a-8"} {
			findVM(&in, id).Report.HeldWeights = []string{"draft"}
		}
		Expect(forms(Plan(in, DefaultPolicy()))[0].VMs).To(ConsistOf(
			port.VMID("a-6"), port.VMID("a-7"), port.VMID("a-8"), port.VMID("a-1")))
	})

	It("does not use a VM that still finishes the streams of its former replica", func() {
		in := input(fleet(4), Demand{Model: "draft", Min: 1, Want: 1, Max: 1})
		findVM(&in, "a-1").Report.State = port.EngineReady
		Expect(Plan(in, DefaultPolicy())).To(BeEmpty())
	})

	It("bounds concurrent loads by the rate of the weight store", func() {
		in := input(fleet(8, 8), Demand{Model: "draft", Min: 2, Want: 4, Max: 4})
		in.StoreBytesPerSecond = 6 << 30
		Expect(forms(Plan(in, DefaultPolicy()))).To(HaveLen(2), "2 x 160 GiB fit into 60 s at 6 GiB/s")
	})

	It("preempts one replica at a time of a model above its minimum for a model below its minimum", func() {
		in := input(fleet(4, 4, 4), Demand{Model: "desk", Min: 1, Want: 1, Max: 1}, Demand{Model: "draft", Min: 1, Want: 2, Max: 3})
		for i, d := range []string{"a", "b", "c"} {
			id := func(n int) port.VMID { return port.VMID(fmt.Sprint(d, "-", n)) }
			addReplica(&in, fmt.Sprint("draft-", i+1), "draft", id(1), id(2), id(3), id(4))
		}
		got := dissolves(Plan(in, DefaultPolicy()))
		Expect(got).To(HaveLen(1))
		Expect(got[0].Cause).To(Equal(CausePreempted))
		in.Replicas[0].Dissolving = true
		Expect(Plan(in, DefaultPolicy())).To(BeEmpty(), "the dissolution will free VMs")
	})

	It("preempts a replica of a model above its minimum for an urgent model below the replicas wanted", func() {
		in := input(fleet(4, 4, 4), Demand{Model: "desk", Min: 1, Want: 2, Max: 2, Urgent: true}, Demand{Model: "draft", Min: 1, Want: 2, Max: 2})
		addReplica(&in, "desk-1", "desk", "a-1", "a-2", "a-3", "a-4")
		addReplica(&in, "draft-1", "draft", "b-1", "b-2", "b-3", "b-4")
		addReplica(&in, "draft-2", "draft", "c-1", "c-2", "c-3", "c-4")
		Expect(dissolves(Plan(in, DefaultPolicy()))).To(Equal([]Dissolve{{Replica: "draft-1", Generation: 2, Cause: CausePreempted}}))
		minOnly, _ := PolicyByName(PolicyPreemptMinOnly)
		Expect(Plan(in, minOnly)).To(BeEmpty())
	})

	It("keeps broken replicas without replacements only if the policy does not merge survivors", func() {
		in := input(fleet(8), Demand{Model: "draft", Min: 2, Want: 2, Max: 2})
		addReplica(&in, "draft-1", "draft", "a-1", "a-2", "a-3", "a-4")
		addReplica(&in, "draft-2", "draft", "a-5", "a-6", "a-7", "a-8")
		findVM(&in, "a-1").Liveness = Lost
		findVM(&in, "a-5").Liveness = Lost
		noMerge, _ := PolicyByName(PolicyNoMerge)
		Expect(Plan(in, noMerge)).To(BeEmpty())
		Expect(dissolves(Plan(in, DefaultPolicy()))).To(HaveLen(2))
	})
})

var _ = Describe("Desired", func() {
	doc := &dynamic.Document{Classes: []dynamic.Class{
		{Name: "drafting", Kind: dynamic.KindGenerate, Model: "draft", Targets: dynamic.Targets{AnsweredWithin: dynamic.Duration(time.Minute)}},
		{Name: "desk", Kind: dynamic.KindGenerate, Model: "desk", Targets: dynamic.Targets{AnsweredWithin: dynamic.Duration(5 * time.Second)}},
		{Name: "booking", Kind: dynamic.KindCall, Service: "booking"},
	}}
	models := []port.Model{draft, desk, {Name: "unused", VMsPerReplica: 4}}

	DescribeTable("shares the VMs", func(vms int, load Load, want ...Demand) {
		Expect(Demands(doc, models, load, vms)).To(Equal(want))
	},
		Entry("with the models of urgent classes first if there are few VMs", 11, nil,
			Demand{Model: "desk", Min: 2, Want: 2, Max: 2, Urgent: true}, Demand{Model: "draft"}),
		Entry("in proportion to load", 300, Load{"desk": 2, "draft": 50},
			Demand{Model: "desk", Min: 2, Want: 3, Max: 3, Urgent: true}, Demand{Model: "draft", Min: 2, Want: 65, Max: 72}),
	)
})
