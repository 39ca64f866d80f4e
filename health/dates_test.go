package health_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/health"
	"github.com/tamarackcleat/tamarackcleat/port"
)

// A VM that joins a replica, with a lease holder n1 and another watcher n2 of it.
var _ = Describe("the order of a VM's reports at the lease holder", func() {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	nodes := []string{"n1", "n2"}
	var f *fleet
	var vm port.VMID
	var holder, watcher *health.Service
	var last health.Acknowledgement
	var joined port.Report

	BeforeEach(func() {
		f = newFleet(1, 1)
		vm = f.vms[0].ID
		joined = f.reports[vm]
		holder, watcher = f.service("n1", nodes, start), f.service("n2", nodes, start)
		last = health.Acknowledgement{}
	})

	// probe makes a node receive a report of the VM.
	probe := func(s *health.Service, sentAt, answeredAt time.Time, r port.Report) {
		s.Handle(answeredAt, health.Probed{VM: vm, SentAt: sentAt, Report: r})
		publish(s, answeredAt)
	}
	idle := func() port.Report { return port.Report{VM: vm, State: port.EngineIdle} }
	// deliver passes a report of the watcher's share to the holder and the
	// acknowledgement back.
	deliver := func(r health.ShareReport, arrival, back time.Time) {
		last = health.Acknowledgement{
			Holder: "n1", Seq: holder.Merge(arrival, "n2", r), ClockMillis: holder.Clock(arrival), ReceivedAt: back,
		}
	}
	observed := func() health.Observation { return holder.Observations()[0] }

	// Guards against a VM that was taken for restarted because another node's probe
	// from before the VM joined its replica was reported after the join was seen.
	It("is that of the probes, not that of their arrival", func() {
		probe(watcher, at(0), at(10), idle())
		probe(holder, at(500), at(510), joined)
		deliver(watcher.Share(at(700), last), at(800), at(900))
		Expect(observed().Report.State).To(Equal(port.EngineReady))
		Expect(observed().Source).To(BeEquivalentTo("n1"))
	})

	// Guards against the full share, which is sent again after a lost answer, making
	// each status in it look new.
	It("does not change when an unchanged status is sent again", func() {
		probe(watcher, at(0), at(10), idle())
		deliver(watcher.Share(at(100), last), at(110), at(120))
		probe(holder, at(1500), at(1510), joined)
		last.Seq = 0
		deliver(watcher.Share(at(1600), last), at(1610), at(1620))
		Expect(observed().Report.State).To(Equal(port.EngineReady))
	})

	// Guards against reports that waited while the lease holder was paused.
	It("does not depend on how long a report was on its way", func() {
		probe(watcher, at(0), at(10), idle())
		deliver(watcher.Share(at(100), last), at(110), at(120))
		probe(watcher, at(1000), at(1010), idle())
		late := watcher.Share(at(1100), last)
		probe(holder, at(5000), at(5010), joined)
		deliver(late, at(30_000), at(30_010))
		Expect(observed().Report.State).To(Equal(port.EngineReady))
		Expect(observed().AsOf).To(Equal(at(5000)))
	})

	It("follows a later probe of another node at once", func() {
		probe(holder, at(0), at(10), joined)
		deliver(watcher.Share(at(100), last), at(110), at(120))
		restarted := idle()
		restarted.Boot = "2"
		probe(watcher, at(500), at(510), restarted)
		deliver(watcher.Share(at(600), last), at(650), at(660))
		Expect(observed().Report.Boot).To(Equal("2"))
		Expect(observed().AsOf).To(BeTemporally(">", at(10)))
		Expect(observed().AsOf).To(BeTemporally("<=", at(500)))
		Expect(observed().ReportedBy).To(BeTemporally(">=", at(510)))
		Expect(observed().ReportedBy).To(BeTemporally("<=", at(650)))
	})

	// A node of an earlier version sends no ages.
	It("takes a status without an age for as old as it can be", func() {
		undated := health.ShareReport{Seq: 1, VMs: []health.VMStatus{{VM: vm, Alive: true, State: port.EngineIdle}}}
		probe(holder, at(0), at(10), joined)
		holder.Merge(at(2000), "n2", undated)
		Expect(observed().Report.State).To(Equal(port.EngineReady))
		later := at(0).Add(health.ReportTTL + 2*time.Second)
		undated = health.ShareReport{Base: 1, Seq: 2, VMs: undated.VMs}
		holder.Merge(later, "n2", undated)
		Expect(observed().Report.State).To(Equal(port.EngineIdle))
	})

	// Guards against a state that only the holder saw, in a probe between two of a
	// node that still watches the VM, and that would never be replaced.
	It("follows a status that later probes show again", func() {
		probe(watcher, at(0), at(10), idle())
		deliver(watcher.Share(at(100), last), at(110), at(120))
		probe(holder, at(1000), at(1010), joined)
		probe(watcher, at(2000), at(2010), idle())
		deliver(watcher.Share(at(2100), last), at(2110), at(2120))
		Expect(observed().Report.State).To(Equal(port.EngineIdle))
		Expect(observed().AsOf).To(BeTemporally(">", at(1010)))
	})
})
