package controller

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/configuration"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/record"
)

var _ = Describe("Controller", func() {
	var w *world

	// settled starts the world and waits for its replicas.
	settled := func(nodes, replicas int, domains ...int) {
		w = newWorld(nodes, domains...)
		Expect(w.run(2*time.Minute, w.serves(replicas))).To(BeTrue())
	}
	dark := func(domain string, is bool) {
		for _, e := range w.engines {
			if e.vm.Domain == domain {
				e.dark = is
			}
		}
	}

	It("forms replicas with one of several nodes acting, also when appends are doubled", func() {
		w = newWorld(3, 8, 8)
		w.twice = true
		Expect(w.run(2*time.Minute, w.serves(4))).To(BeTrue())
		acting := 0
		for _, n := range w.nodes {
			if len(n.sent) > 0 {
				acting++
			}
		}
		Expect(acting).To(Equal(1))
	})

	It("re-forms a replica from its survivors and a spare after a VM dies", func() {
		settled(1, 1, 5)
		gen := w.complete()[0].Generation
		w.engines[w.complete()[0].VMs[0]].dark = true
		Expect(w.run(time.Minute, w.serves(1))).To(BeTrue())
		Expect(w.complete()[0].Generation).To(BeNumerically(">", gen))
	})

	It("re-forms a replica with a new generation after a member restarted", func() {
		settled(1, 1, 4)
		r := w.complete()[0]
		w.restart(r.VMs[1])
		Expect(w.run(time.Minute, w.serves(1))).To(BeTrue())
		Expect(w.complete()[0].Generation).To(BeNumerically(">", r.Generation))
	})

	It("orders a VM that comes back as if nothing happened out of its old generation", func() {
		settled(1, 1, 5)
		old := w.complete()[0]
		back := w.engines[old.VMs[2]]
		back.dark = true
		Expect(w.run(time.Minute, w.serves(1))).To(BeTrue())
		now := w.complete()[0]
		back.dark = false
		Expect(inReplica(back.rep, old)).To(BeTrue(), "it still believes in the old generation")
		Expect(w.run(time.Minute, func() bool { return back.rep.State == port.EngineIdle })).To(BeTrue())
		Expect(w.complete()).To(ConsistOf(now))
	})

	It("moves replicas off a dark fabric domain and uses the domain again when it is back", func() {
		settled(1, 3, 4, 8, 2)
		dark("a", true)
		Expect(w.run(time.Minute, w.serves(2))).To(BeTrue())
		dark("a", false)
		Expect(w.run(2*time.Minute, w.serves(3))).To(BeTrue())
	})

	It("forms nothing during a log outage and repairs after it", func() {
		settled(2, 2, 4, 5)
		w.logDown = true
		sent := len(w.nodes[0].sent) + len(w.nodes[1].sent)
		records := len(w.log)
		w.engines["b-1"].dark = true
		w.step()
		Expect(w.nodes[0].svc.Status(w.now).Idle).To(BeElementOf(IdleLogUnavailable, IdleNotHolder))
		Expect(w.nodes[1].svc.Status(w.now).Idle).To(BeElementOf(IdleLogUnavailable, IdleNotHolder))
		w.run(time.Minute, func() bool { return false })
		Expect(w.log).To(HaveLen(records))
		Expect(len(w.nodes[0].sent) + len(w.nodes[1].sent)).To(Equal(sent))
		w.logDown = false
		Expect(w.run(time.Minute, w.serves(2))).To(BeTrue())
	})

	It("lets another node take over from a paused holder, whose later work has no effect", func() {
		settled(2, 2, 9)
		paused := w.holder()
		paused.paused = true
		sent := len(paused.sent)
		Expect(w.run(time.Minute, func() bool { return w.holder() != nil && w.holder() != paused })).To(BeTrue())
		w.engines[w.complete()[0].VMs[0]].dark = true
		w.resume(paused)
		Expect(w.run(time.Minute, w.serves(2))).To(BeTrue())
		Expect(paused.sent).To(HaveLen(sent))
	})

	It("orders careless VMs only after the former holder's last order has ended", func() {
		settled(2, 2, 9)
		first := w.holder()
		first.orderDelay = LongestOrder
		for _, e := range w.engines {
			e.vm.ChecksFencing = false
		}
		// The holder is cut off from the log while a replica breaks. Right
		// before its lease ends it orders a VM that seems to be in a former
		// replica.
		first.cutLog = true
		broken := w.complete()[1]
		for _, id := range broken.VMs {
			w.restart(id)
		}
		w.engines[broken.VMs[0]].dark = true
		last := func() bool { return !first.svc.lease.valid(w.now.Add(2 * step)) }
		Expect(w.run(time.Minute, last)).To(BeTrue())
		spare := w.engines["a-9"]
		spare.rep.Replica, spare.rep.Generation, spare.rep.State = "former", 1, port.EngineReady
		w.step()
		Expect(first.traffic).To(HaveLen(1))
		spare.rep.Replica, spare.rep.Generation, spare.rep.State = "", 0, port.EngineIdle
		Expect(w.run(time.Minute, w.serves(2))).To(BeTrue())
		Expect(first.traffic).To(BeEmpty())
		Expect(w.holder()).NotTo(Equal(first))
		Expect(w.stale).To(BeEmpty())
	})

	It("lets rank 0 finish its streams before other ranks leave", func() {
		settled(1, 2, 8)
		r := w.complete()[0]
		lead := w.engines[r.VMs[0]]
		lead.streams = 3
		w.engines[r.VMs[3]].vm.Leaving = true
		Expect(w.run(time.Minute, func() bool { return lead.rep.State == port.EngineLeaving })).To(BeTrue())
		w.run(20*time.Second, func() bool { return false })
		for _, id := range r.VMs[1:] {
			Expect(w.engines[id].rep.State).To(Equal(port.EngineReady), string(id))
		}
		lead.streams = 0
		Expect(w.run(time.Minute, func() bool { return w.engines[r.VMs[3]].rep.State == port.EngineIdle })).To(BeTrue())
	})

	It("orders a VM to leave that reports itself leaving a dissolved replica without an order", func() {
		settled(1, 1, 4)
		r := w.complete()[0]
		lead := w.engines[r.VMs[0]]
		lead.streams = 1
		lead.rep.State = port.EngineLeaving
		ordered := func() bool {
			n := len(lead.orders)
			return lead.orders[n-1].Verb == port.OrderLeave
		}
		Expect(w.run(time.Minute, ordered)).To(BeTrue())
		lead.streams = 0
		Expect(w.run(time.Minute, w.serves(1))).To(BeTrue())
	})

	It("gives the lease up when it loses most VMs at once, and dissolves nothing", func() {
		settled(2, 2, 8)
		cut := w.holder()
		cut.cutVMs = true
		before := w.complete()
		Expect(w.run(time.Minute, func() bool { return w.holder() != nil && w.holder() != cut })).To(BeTrue())
		w.run(2*time.Minute, func() bool { return false })
		Expect(w.complete()).To(Equal(before))
	})

	It("does not believe a VM list that lost most of its VMs at once", func() {
		settled(1, 2, 8)
		before := w.complete()
		all := w.engines
		w.engines = map[port.VMID]*engine{"a-1": all["a-1"]}
		w.run(time.Minute, func() bool { return false })
		w.engines = all
		Expect(w.complete()).To(Equal(before))
	})

	It("hands the lease over at once when it drains", func() {
		settled(2, 1, 4)
		first := w.holder()
		w.take(first, first.svc.Handle(w.now, Drain{ReplyTo: "drain"}))
		Expect(w.run(3*time.Second, func() bool { return w.holder() != nil && w.holder() != first })).To(BeTrue())
	})

	It("counts its lease from when a renewal was sent, however late it is read back", func() {
		settled(1, 1, 4)
		n := w.holder()
		n.cutLog = true
		sent := n.svc.lease.renewedAt
		Expect(w.run(time.Minute, func() bool { return n.svc.lease.renewedAt.After(sent) })).To(BeTrue())
		w.step()
		sent = n.svc.lease.renewedAt
		n.cutLog = false
		w.step()
		Expect(n.svc.lease.validUntil).To(Equal(sent.Add(LeaseTTL - leaseMargin)))
	})

	It("does not release a lease while it waits out the former one", func() {
		settled(2, 1, 4)
		first := w.holder()
		first.paused = true
		Expect(w.run(time.Minute, func() bool { return w.holder() != nil && w.holder() != first })).To(BeTrue())
		second := w.holder()
		w.take(second, second.svc.Handle(w.now, Drain{ReplyTo: "drain"}))
		w.run(time.Minute, func() bool { return false })
		for _, r := range w.log {
			Expect(r.Renewal == nil || !r.Renewal.Released).To(BeTrue())
		}
	})

	It("does not claim the lease without a configuration", func() {
		w = newWorld(1, 4)
		w.nodes[0].svc.Handle(w.now, configuration.Changed{})
		w.run(time.Minute, func() bool { return false })
		Expect(w.log).To(BeEmpty())
	})

	It("lets exactly one of two racing claims win", func() {
		w = newWorld(2, 4)
		for _, n := range w.nodes {
			n.svc.lease.claimAt = w.now
			w.take(n, n.svc.Handle(w.now, w.observe(n)))
			w.take(n, n.svc.Handle(w.now, tick{}))
		}
		claims := 0
		w.run(10*time.Second, func() bool { return false })
		for _, r := range w.log {
			if r.Lease != nil {
				claims++
			}
		}
		Expect(claims).To(Equal(2))
		Expect(w.nodes[0].control.Lease().Term).To(Equal(record.At(0, 0)))
		Expect(w.nodes[0].svc.holds()).NotTo(Equal(w.nodes[1].svc.holds()))
	})
})
