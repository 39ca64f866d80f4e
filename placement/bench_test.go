package placement

import (
	"fmt"
	"testing"

	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/record"
)

// bigFleet returns idle VMs in domains of 32 VMs over 8 zones, and two models
// whose replicas span 8 VMs.
func bigFleet(vms int) Input {
	in := Input{
		Models: []port.Model{
			{Name: "desk", VMsPerReplica: 8, WeightBytes: 1 << 30},
			{Name: "draft", VMsPerReplica: 8, WeightBytes: 1 << 30},
		},
		Demands: []Demand{
			{Model: "desk", Min: 2, Want: vms / 800, Max: vms / 800, Urgent: true},
			{Model: "draft", Min: 2, Want: vms/8 - vms/800, Max: vms / 8},
		},
		Now: start,
	}
	for i := range vms {
		id := port.VMID(fmt.Sprintf("vm-%06d", i))
		in.VMs = append(in.VMs, VM{
			VM:       port.VM{ID: id, Domain: fmt.Sprintf("d-%05d", i/32), Zone: fmt.Sprint("z", i/32%8)},
			Liveness: Live,
			Report:   port.Report{VM: id, State: port.EngineIdle},
		})
	}
	return in
}

// applyForms adds the replicas that actions form to the input, as live replicas
// with ready members.
func applyForms(in *Input, actions []Action) {
	index := map[port.VMID]int{}
	for i, v := range in.VMs {
		index[v.ID] = i
	}
	for _, f := range forms(actions) {
		g := record.Position(len(in.Replicas) + 1)
		in.Replicas = append(in.Replicas, Replica{Name: f.Replica, Generation: g, Model: f.Model, VMs: f.VMs, FormedAt: start})
		for _, id := range f.VMs {
			r := &in.VMs[index[id]].Report
			r.State, r.Replica, r.Generation = port.EngineReady, f.Replica, int64(g)
			r.HeldWeights = []string{f.Model}
		}
	}
}

var fleetSizes = []int{320, 8000, 80000}

// BenchmarkFormAll measures a plan for a fleet without any replicas.
func BenchmarkFormAll(b *testing.B) {
	for _, vms := range fleetSizes {
		b.Run(fmt.Sprint(vms), func(b *testing.B) {
			in := bigFleet(vms)
			for b.Loop() {
				if got := len(Plan(in, DefaultPolicy())); got < vms/8-2 {
					b.Fatalf("plan has too few actions: %d", got)
				}
			}
		})
	}
}

// formedFleet returns a fleet in which all replicas are formed, and a planner
// with it in its index.
func formedFleet(vms int) (Input, *Planner) {
	in := bigFleet(vms)
	applyForms(&in, Plan(in, DefaultPolicy()))
	p := NewPlanner(DefaultPolicy())
	p.Sync(in)
	return in, p
}

// BenchmarkRepairSync measures the planning of a repair after the loss of one VM,
// if the planner gets the state of the whole fleet by Planner.Sync.
func BenchmarkRepairSync(b *testing.B) {
	for _, vms := range fleetSizes {
		b.Run(fmt.Sprint(vms), func(b *testing.B) {
			in, p := formedFleet(vms)
			i := 0
			for b.Loop() {
				in.VMs[i%vms].Liveness = Live
				i += 97
				in.VMs[i%vms].Liveness = Lost
				p.Sync(in)
				if got := len(p.Plan(start)); got != 1 {
					b.Fatalf("plan has %d actions, want 1", got)
				}
			}
		})
	}
}

// BenchmarkRepairChange measures the planning of a repair after the loss of one
// VM, if the planner gets only the changes by Planner.SetVM: the lost VM, and the
// VM of the previous iteration, which is live again.
func BenchmarkRepairChange(b *testing.B) {
	for _, vms := range fleetSizes {
		b.Run(fmt.Sprint(vms), func(b *testing.B) {
			in, p := formedFleet(vms)
			i := 0
			for b.Loop() {
				back := in.VMs[i%vms]
				i += 97
				lost := in.VMs[i%vms]
				lost.Liveness = Lost
				p.SetVM(back)
				p.SetVM(lost)
				if got := len(p.Plan(start)); got != 1 {
					b.Fatalf("plan has %d actions, want 1", got)
				}
			}
		})
	}
}
