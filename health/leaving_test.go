package health_test

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/health"
	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/port"
)

var _ = Describe("A VM whose process announced that it is leaving", func() {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var f *fleet
	var s *health.Service
	var vm port.VMID
	boot := func(b string) {
		r := f.reports[vm]
		r.Boot = b
		f.reports[vm] = r
	}
	announce := func(ms int, b string) []kernel.Effect {
		return s.Handle(at(ms), health.Announced{Process: port.Incarnation{VM: vm, Boot: b}})
	}

	BeforeEach(func() {
		f = newFleet(1, 2)
		vm = f.vms[1].ID
		boot("b1")
		s = f.service("n", nil, start)
		s.Subscribe("router")
		f.probe(s, start)
		Expect(publish(s, start)).To(HaveLen(1))
	})

	// Guards against requests to a replica until a report or the list says that a
	// member is leaving, and against streams that are ended for it.
	It("makes its replica ineligible at once, and the replica is not broken", func() {
		effects := announce(1, "b1")
		Expect(s.Eligible()).To(BeEmpty())
		Expect(effects).To(HaveLen(1))
		Expect(broken(effects[0])).To(BeEmpty())
	})

	// Guards against reports and lists that end an announcement although the process
	// is the same.
	It("stays leaving whatever its reports and the list say, until another process reports", func() {
		announce(1, "b1")
		for ms := 100; ms < 20_000; ms += 1000 {
			f.probe(s, at(ms))
			s.Handle(at(ms), health.InventoryFetched{VMs: f.vms})
			Expect(publish(s, at(ms))).To(BeEmpty())
		}
		boot("b2")
		f.probe(s, at(20_000))
		Expect(publish(s, at(20_000))).To(HaveLen(1))
	})

	// Guards against an announcement that a report from before it ends.
	It("stays leaving after a report of its predecessor that was asked for before", func() {
		announce(500, "b2")
		s.Handle(at(600), health.Probed{VM: vm, SentAt: at(400), Report: f.reports[vm]})
		Expect(publish(s, at(600))).To(BeEmpty())
		boot("b2")
		f.probe(s, at(700))
		Expect(publish(s, at(700))).To(BeEmpty())
	})

	// Guards against a late answer of an earlier process that marks its successor.
	It("is not its successor", func() {
		boot("b2")
		f.probe(s, at(100))
		announce(200, "b1")
		Expect(publish(s, at(200))).To(HaveLen(1))
	})

	// Guards against an announcement that is read in answers to requests only.
	It("is known from its answer to a probe, usable or not", func() {
		s.Handle(at(100), health.Probed{VM: vm, SentAt: at(90), Report: f.reports[vm], Leaving: true})
		Expect(publish(s, at(100))).To(BeEmpty())
		other := f.service("n", nil, start)
		f.probe(other, start)
		other.Handle(at(100), health.Probed{VM: vm, SentAt: at(90), Leaving: true, Err: errProbe})
		Expect(publish(other, at(100))).To(BeEmpty())
	})

	// Guards against a node that restarts, while the log is away or not, and sends
	// requests to a VM that had announced its leaving to the process before.
	It("never takes requests of a node that starts later", func() {
		other := f.service("n", nil, start)
		for ms := 0; ms < 10_000; ms += 500 {
			for _, v := range f.vms {
				other.Handle(at(ms), health.Probed{VM: v.ID, SentAt: at(ms), Report: f.reports[v.ID], Leaving: v.ID == vm})
				Expect(publish(other, at(ms))).To(BeEmpty())
			}
		}
	})

	It("takes no calls of a plain service either", func() {
		plain := port.VM{ID: "p", Kind: port.KindPlain, Service: "bookings", Address: "p:1"}
		s.Handle(at(10), health.InventoryFetched{VMs: append(f.vms, plain)})
		s.Handle(at(20), health.Probed{VM: "p", SentAt: at(20), Report: port.Report{VM: "p", Boot: "x", State: port.EngineReady}})
		Expect(publish(s, at(20))).To(ContainElement("p"))
		s.Handle(at(30), health.Announced{Process: port.Incarnation{VM: "p", Boot: "x"}})
		Expect(publish(s, at(30))).NotTo(ContainElement("p"))
		Expect(s.Leaving(port.Incarnation{VM: "p", Boot: "x"})).To(BeTrue())
		Expect(s.Leaving(port.Incarnation{VM: "p", Boot: "y"})).To(BeFalse())
	})

	// Guards against a new process of a plain service that the router takes for the
	// earlier one.
	It("is published anew when its process is another one", func() {
		lead := f.reports[f.vms[0].ID]
		lead.Boot = "other"
		f.reports[f.vms[0].ID] = lead
		f.probe(s, at(200))
		effects := s.Handle(at(200), health.Suspected{Upstream: "nobody"})
		Expect(effects).To(HaveLen(1))
		changed, ok := effects[0].(kernel.Send).Msg.(health.Changed)
		Expect(ok).To(BeTrue(), "the router must be told")
		Expect(changed.Upstreams[0].Process).To(Equal(port.Incarnation{VM: f.vms[0].ID, Boot: "other"}))
	})

	// Guards against a lease holder that learns of it only from a report of the VM, or
	// forgets it for another node's later probe that doesn't show it.
	It("counts as leaving at the lease holder, by any node's word and for that process only", func() {
		nodes := []string{"n1", "n2", "n3"}
		holder, watcher, other := f.service("n1", nodes, start), f.service("n2", nodes, start), f.service("n3", nodes, start)
		watcher.Handle(start, health.Probed{VM: vm, SentAt: start, Report: f.reports[vm]})
		watcher.Handle(at(100), health.Announced{Process: port.Incarnation{VM: vm, Boot: "b1"}})
		other.Handle(at(200), health.Probed{VM: vm, SentAt: at(200), Report: f.reports[vm]})
		publish(other, at(200))
		observed := func() port.VM { return holder.Observations()[1].VM }
		holder.Merge(at(300), "n2", watcher.Share(at(300), health.Acknowledgement{}))
		holder.Merge(at(400), "n3", other.Share(at(400), health.Acknowledgement{}))
		Expect(observed().ID).To(Equal(vm))
		Expect(observed().Leaving).To(BeTrue())
		boot("b2")
		holder.Handle(at(500), health.Probed{VM: vm, SentAt: at(500), Report: f.reports[vm]})
		Expect(observed().Leaving).To(BeFalse())
	})
})

// errProbe is the error of a probe without a usable answer.
var errProbe = errors.New("no report")
