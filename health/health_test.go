package health_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/health"
	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/ledger"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/record"
)

func TestHealth(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "health")
}

// fleet holds a control ledger with replicas, their VMs and the VMs' reports.
type fleet struct {
	control *ledger.Control
	vms     []port.VM
	reports map[port.VMID]port.Report
}

func newFleet(replicas, vmsPerReplica int) *fleet {
	f := &fleet{control: ledger.NewControl(), reports: map[port.VMID]port.Report{}}
	term := record.At(0, 0)
	f.control.Apply(term, record.Record{ID: "lease", Lease: &record.LeaseClaim{Holder: "n", TTLMillis: 6000}})
	for r := range replicas {
		var members []port.VMID
		for v := range vmsPerReplica {
			id := port.VMID(fmt.Sprintf("vm-%d-%d", r, v))
			members = append(members, id)
			f.vms = append(f.vms, port.VM{ID: id, Kind: port.KindEngine, Address: string(id) + ":1"})
		}
		name := fmt.Sprintf("replica-%d", r)
		pos := record.At(int64(r+1), 0)
		f.control.Apply(pos, record.Record{ID: name, Form: &record.Formation{Term: term, Replica: name, Model: "m", VMs: members}})
		for rank, id := range members {
			f.reports[id] = port.Report{VM: id, State: port.EngineReady, Replica: name, Generation: int64(pos), Rank: rank, Model: "m", Slots: 8}
		}
	}
	return f
}

// service returns the health service of the node self among nodes, with the full
// VM list.
func (f *fleet) service(self string, nodes []string, now time.Time) *health.Service {
	s := health.New(record.NodeID(self), func(time.Time) []string { return nodes }, func(time.Time) bool { return true }, f.control, rand.New(rand.NewPCG(1, 1)))
	s.Handle(now, health.InventoryFetched{VMs: f.vms, Models: port.ModelList{Models: []port.Model{{Name: "m"}}}})
	return s
}

// probe passes the report of every VM to s, except of those in silent.
func (f *fleet) probe(s *health.Service, now time.Time, silent ...port.VMID) {
	for _, vm := range f.vms {
		skip := false
		for _, id := range silent {
			skip = skip || id == vm.ID
		}
		if !skip {
			s.Handle(now, health.Probed{VM: vm.ID, SentAt: now, Report: f.reports[vm.ID]})
		}
	}
}

// publish makes s evaluate its share, by suspecting an unknown upstream, and returns
// the ids of the eligible upstreams.
func publish(s *health.Service, now time.Time) []string {
	s.Handle(now, health.Suspected{Upstream: "nobody"})
	var out []string
	for _, u := range s.Eligible() {
		out = append(out, u.ID)
	}
	return out
}

var _ = Describe("eligibility", func() {
	start := time.Unix(1000, 0)

	DescribeTable("requires from every VM a fresh report of the ledger's replica and generation",
		func(change func(r *port.Report, vm *port.VM), want int) {
			f := newFleet(1, 2)
			r := f.reports[f.vms[1].ID]
			change(&r, &f.vms[1])
			f.reports[f.vms[1].ID] = r
			s := f.service("n", nil, start)
			f.probe(s, start)
			Expect(publish(s, start)).To(HaveLen(want))
		},
		Entry("all VMs working", func(*port.Report, *port.VM) {}, 1),
		Entry("a stale generation", func(r *port.Report, _ *port.VM) { r.Generation-- }, 0),
		Entry("another replica", func(r *port.Report, _ *port.VM) { r.Replica = "other" }, 0),
		Entry("still loading", func(r *port.Report, _ *port.VM) { r.State = port.EngineLoading }, 0),
		Entry("leaving according to its report", func(r *port.Report, _ *port.VM) { r.State = port.EngineLeaving }, 0),
		Entry("leaving according to the VM list", func(_ *port.Report, vm *port.VM) { vm.Leaving = true }, 0),
		Entry("a report of another VM", func(r *port.Report, _ *port.VM) { r.VM = "other" }, 0),
	)

	It("ends when a VM stops reporting, and the replica is published as broken", func() {
		f := newFleet(2, 2)
		s := f.service("n", nil, start)
		s.Subscribe("router")
		f.probe(s, start)
		Expect(publish(s, start)).To(HaveLen(2))
		later := start.Add(health.ReportTTL + time.Second)
		f.probe(s, later, f.vms[1].ID)
		effects := s.Handle(later, health.Suspected{Upstream: "nobody"})
		Expect(effects).To(ContainElement(WithTransform(broken, ConsistOf("replica-0"))))
		Expect(publish(s, later)).To(ConsistOf("replica-1"))
	})

	It("ends for an upstream that a request found unreachable, until its next report", func() {
		f := newFleet(1, 2)
		s := f.service("n", nil, start)
		f.probe(s, start)
		Expect(publish(s, start)).To(HaveLen(1))
		s.Handle(start, health.Suspected{Upstream: "replica-0"})
		Expect(s.Eligible()).To(BeEmpty())
		f.probe(s, start)
		Expect(publish(s, start)).To(HaveLen(1))
	})

	It("reaches the lease holder as the changes of a share, and as the full share after a missed report", func() {
		f := newFleet(1, 2)
		watcher := f.service("n1", []string{"n1", "n2"}, start)
		holder := f.service("n2", []string{"n1", "n2"}, start)
		f.probe(watcher, start)
		publish(watcher, start)
		acked := holder.Merge(start, "n1", watcher.Share(start, health.Acknowledgement{}))
		Expect(acked).To(BeNumerically(">", 0))
		Expect(holder.Observations()[0].Report.Replica).To(Equal("replica-0"))
		Expect(watcher.Share(start, health.Acknowledgement{Seq: acked}).VMs).To(BeEmpty())
		Expect(holder.Merge(start, "n1", health.ShareReport{Base: acked + 5, Seq: acked + 6})).To(BeZero())
		Expect(holder.Merge(start, "n1", watcher.Share(start, health.Acknowledgement{}))).To(Equal(acked))
	})
})

// broken returns the broken replicas in a Changed message, or nil for other effects.
func broken(e kernel.Effect) []string {
	send, _ := e.(kernel.Send)
	changed, _ := send.Msg.(health.Changed)
	return changed.Broken
}

// BenchmarkPublish measures the evaluation of one node's share among 390 nodes, for
// different numbers of replicas.
func BenchmarkPublish(b *testing.B) {
	nodes := make([]string, 390)
	for i := range nodes {
		nodes[i] = fmt.Sprintf("n%d", i)
	}
	now := time.Unix(1000, 0)
	for _, replicas := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			f := newFleet(replicas, 8)
			s := f.service("n7", nodes, now)
			f.probe(s, now)
			for b.Loop() {
				s.Handle(now, health.Suspected{Upstream: "nobody"})
			}
		})
	}
}

var _ = Describe("a node that takes over the control lease", func() {
	It("does not count VMs that it never watched as lost before other nodes have reported them", func() {
		f := newFleet(40, 2)
		nodes := []string{"n1", "n2", "n3", "n4", "n5", "n6", "n7"}
		start := time.Unix(1000, 0)
		s := f.service("n1", nodes, start)
		f.probe(s, start)
		later := start.Add(time.Hour)
		var observed health.Observed
		s.Observe("controller")
		for _, e := range s.Handle(later, health.AssignTick()) {
			if send, ok := e.(kernel.Send); ok {
				observed, _ = send.Msg.(health.Observed)
			}
		}
		unwatched := 0
		for _, o := range observed.VMs {
			if o.LastSeen.Equal(later) {
				unwatched++
			}
		}
		Expect(unwatched).To(BeNumerically(">", 40))
	})
})

var _ = Describe("the VM state known to the lease holder", func() {
	It("is not replaced by that of a watcher that has not probed the VM since a change", func() {
		f := newFleet(1, 1)
		vm := f.vms[0].ID
		nodes := []string{"n1", "n2", "n3"}
		start := time.Unix(1000, 0)
		holder := f.service("n1", nodes, start)
		share := func(seq int64, state port.EngineState) health.ShareReport {
			return health.ShareReport{Seq: seq, VMs: []health.VMStatus{{VM: vm, Alive: true, State: state}}}
		}
		holder.Merge(start, "n3", share(1, port.EngineIdle))
		at := func(ms int) time.Time { return start.Add(10*time.Second + time.Duration(ms)*time.Millisecond) }
		holder.Merge(at(0), "n3", health.ShareReport{Base: 1, Seq: 1})
		holder.Merge(at(300), "n2", share(1, port.EngineReady))
		holder.Merge(at(800), "n3", health.ShareReport{Base: 1, Seq: 1})
		Expect(holder.Observations()[0].Report.State).To(Equal(port.EngineReady))
	})
})

var _ = Describe("a replica that is dissolved for a leaving VM", func() {
	It("gets no new requests, but its streams are not ended", func() {
		f := newFleet(1, 2)
		now := time.Unix(1000, 0)
		s := f.service("n", nil, now)
		s.Subscribe("router")
		f.probe(s, now)
		Expect(publish(s, now)).To(HaveLen(1))
		r, _ := f.control.Replica("replica-0")
		f.control.Apply(record.At(9, 0), record.Record{ID: "d", Dissolve: &record.Dissolution{
			Term: f.control.Lease().Term, Replica: r.Name, Generation: r.Generation,
		}})
		effects := s.Handle(now, health.Suspected{Upstream: "nobody"})
		Expect(effects).To(HaveLen(1))
		Expect(broken(effects[0])).To(BeEmpty())
		Expect(s.Eligible()).To(BeEmpty())
	})
})
