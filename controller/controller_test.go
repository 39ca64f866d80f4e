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

	// startWith starts a world and waits until it has the given number of
	// complete replicas.
	startWith := func(nodes, replicas int, domains ...int) {
		w = newWorld(nodes, domains...)
		Expect(w.runUntil(2*time.Minute, w.hasComplete(replicas))).To(BeTrue())
	}
	setDomainUnreachable := func(domain string, unreachable bool) {
		for _, e := range w.engines {
			if e.vm.Domain == domain {
				e.unreachable = unreachable
			}
		}
	}

	It("forms replicas while only one of several nodes sends orders, also when the log stores each append twice", func() {
		w = newWorld(3, 8, 8)
		w.duplicateAppends = true
		Expect(w.runUntil(2*time.Minute, w.hasComplete(4))).To(BeTrue())
		acting := 0
		for _, n := range w.nodes {
			if len(n.sent) > 0 {
				acting++
			}
		}
		Expect(acting).To(Equal(1))
	})

	It("forms a replica again from its remaining VMs and a spare one when a VM becomes unreachable", func() {
		startWith(1, 1, 5)
		generation := w.completeReplicas()[0].Generation
		w.engines[w.completeReplicas()[0].VMs[0]].unreachable = true
		Expect(w.runUntil(time.Minute, w.hasComplete(1))).To(BeTrue())
		Expect(w.completeReplicas()[0].Generation).To(BeNumerically(">", generation))
	})

	It("forms a replica again with a new generation after a member has restarted", func() {
		startWith(1, 1, 4)
		r := w.completeReplicas()[0]
		w.restart(r.VMs[1])
		Expect(w.runUntil(time.Minute, w.hasComplete(1))).To(BeTrue())
		Expect(w.completeReplicas()[0].Generation).To(BeNumerically(">", r.Generation))
	})

	It("orders a VM to leave its old generation when it becomes reachable again unchanged", func() {
		startWith(1, 1, 5)
		old := w.completeReplicas()[0]
		returning := w.engines[old.VMs[2]]
		returning.unreachable = true
		Expect(w.runUntil(time.Minute, w.hasComplete(1))).To(BeTrue())
		current := w.completeReplicas()[0]
		returning.unreachable = false
		Expect(inReplica(returning.rep, old)).To(BeTrue(), "the VM still reports the old generation")
		Expect(w.runUntil(time.Minute, func() bool { return returning.rep.State == port.EngineIdle })).To(BeTrue())
		Expect(w.completeReplicas()).To(ConsistOf(current))
	})

	It("moves replicas off an unreachable fabric domain and uses the domain again when it is reachable", func() {
		startWith(1, 3, 4, 8, 2)
		setDomainUnreachable("a", true)
		Expect(w.runUntil(time.Minute, w.hasComplete(2))).To(BeTrue())
		setDomainUnreachable("a", false)
		Expect(w.runUntil(2*time.Minute, w.hasComplete(3))).To(BeTrue())
	})

	It("appends no records and sends no orders during a log outage, and forms a broken replica again after it", func() {
		startWith(2, 2, 4, 5)
		w.logDown = true
		sent := len(w.nodes[0].sent) + len(w.nodes[1].sent)
		records := len(w.log)
		w.engines["b-1"].unreachable = true
		w.step()
		Expect(w.nodes[0].svc.Status(w.now).Idle).To(BeElementOf(IdleLogUnavailable, IdleNotHolder))
		Expect(w.nodes[1].svc.Status(w.now).Idle).To(BeElementOf(IdleLogUnavailable, IdleNotHolder))
		w.runUntil(time.Minute, func() bool { return false })
		Expect(w.log).To(HaveLen(records))
		Expect(len(w.nodes[0].sent) + len(w.nodes[1].sent)).To(Equal(sent))
		w.logDown = false
		Expect(w.runUntil(time.Minute, w.hasComplete(2))).To(BeTrue())
	})

	It("lets another node take over from a paused lease holder, which sends no orders after it resumes", func() {
		startWith(2, 2, 9)
		paused := w.holder()
		paused.paused = true
		sent := len(paused.sent)
		Expect(w.runUntil(time.Minute, func() bool { return w.holder() != nil && w.holder() != paused })).To(BeTrue())
		w.engines[w.completeReplicas()[0].VMs[0]].unreachable = true
		w.resume(paused)
		Expect(w.runUntil(time.Minute, w.hasComplete(2))).To(BeTrue())
		Expect(paused.sent).To(HaveLen(sent))
	})

	It("sends orders to VMs without a fencing check only after the former holder's last order has ended", func() {
		startWith(2, 2, 9)
		first := w.holder()
		first.orderDelay = OrderTimeout
		for _, e := range w.engines {
			e.vm.ChecksFencing = false
		}
		// The lease holder is cut off from the log while the VMs of a replica
		// restart and one of them becomes unreachable. Right before its lease
		// expires, the holder sends a leave order to a VM whose report names a
		// former replica, and that order takes LongestOrder to arrive.
		first.cutLog = true
		broken := w.completeReplicas()[1]
		for _, id := range broken.VMs {
			w.restart(id)
		}
		w.engines[broken.VMs[0]].unreachable = true
		leaseAlmostOver := func() bool { return !first.svc.lease.valid(w.now.Add(2 * step)) }
		Expect(w.runUntil(time.Minute, leaseAlmostOver)).To(BeTrue())
		spare := w.engines["a-9"]
		spare.rep.Replica, spare.rep.Generation, spare.rep.State = "former", 1, port.EngineReady
		w.step()
		Expect(first.inTransit).To(HaveLen(1))
		spare.rep.Replica, spare.rep.Generation, spare.rep.State = "", 0, port.EngineIdle
		Expect(w.runUntil(time.Minute, w.hasComplete(2))).To(BeTrue())
		Expect(first.inTransit).To(BeEmpty())
		Expect(w.holder()).NotTo(Equal(first))
		Expect(w.staleOrders).To(BeEmpty())
	})

	It("orders the other ranks to leave only after rank 0 has finished its streams", func() {
		startWith(1, 2, 8)
		r := w.completeReplicas()[0]
		rank0 := w.engines[r.VMs[0]]
		rank0.streams = 3
		w.engines[r.VMs[3]].vm.Leaving = true
		Expect(w.runUntil(time.Minute, func() bool { return rank0.rep.State == port.EngineLeaving })).To(BeTrue())
		w.runUntil(20*time.Second, func() bool { return false })
		for _, id := range r.VMs[1:] {
			Expect(w.engines[id].rep.State).To(Equal(port.EngineReady), string(id))
		}
		rank0.streams = 0
		Expect(w.runUntil(time.Minute, func() bool { return w.engines[r.VMs[3]].rep.State == port.EngineIdle })).To(BeTrue())
	})

	It("sends a leave order to a VM that reports the leaving state without having got one", func() {
		startWith(1, 1, 4)
		r := w.completeReplicas()[0]
		rank0 := w.engines[r.VMs[0]]
		rank0.streams = 1
		rank0.rep.State = port.EngineLeaving
		ordered := func() bool {
			n := len(rank0.orders)
			return rank0.orders[n-1].Verb == port.OrderLeave
		}
		Expect(w.runUntil(time.Minute, ordered)).To(BeTrue())
		rank0.streams = 0
		Expect(w.runUntil(time.Minute, w.hasComplete(1))).To(BeTrue())
	})

	It("gives the lease up and dissolves nothing when it can't reach the VMs but another node can", func() {
		startWith(2, 2, 8)
		isolated := w.holder()
		isolated.cutVMs = true
		before := w.completeReplicas()
		Expect(w.runUntil(time.Minute, func() bool { return w.holder() != nil && w.holder() != isolated })).To(BeTrue())
		w.runUntil(2*time.Minute, func() bool { return false })
		Expect(w.completeReplicas()).To(Equal(before))
	})

	It("dissolves nothing when the VM list loses most of its VMs at once", func() {
		startWith(1, 2, 8)
		before := w.completeReplicas()
		all := w.engines
		w.engines = map[port.VMID]*engine{"a-1": all["a-1"]}
		w.runUntil(time.Minute, func() bool { return false })
		w.engines = all
		Expect(w.completeReplicas()).To(Equal(before))
	})

	It("releases the lease at once when it drains, so that another node takes over within seconds", func() {
		startWith(2, 1, 4)
		first := w.holder()
		w.perform(first, first.svc.Handle(w.now, Drain{ReplyTo: "drain"}))
		Expect(w.runUntil(3*time.Second, func() bool { return w.holder() != nil && w.holder() != first })).To(BeTrue())
	})

	It("counts its lease's TTL from when a renewal was sent, however late the renewal is read back", func() {
		startWith(1, 1, 4)
		n := w.holder()
		n.cutLog = true
		sent := n.svc.lease.renewalSentAt
		Expect(w.runUntil(time.Minute, func() bool { return n.svc.lease.renewalSentAt.After(sent) })).To(BeTrue())
		w.step()
		sent = n.svc.lease.renewalSentAt
		n.cutLog = false
		w.step()
		Expect(n.svc.lease.validUntil).To(Equal(sent.Add(LeaseTTL - leaseMargin)))
	})

	It("does not release its lease while an order of the former holder may be in flight", func() {
		startWith(2, 1, 4)
		first := w.holder()
		first.paused = true
		Expect(w.runUntil(time.Minute, func() bool { return w.holder() != nil && w.holder() != first })).To(BeTrue())
		second := w.holder()
		w.perform(second, second.svc.Handle(w.now, Drain{ReplyTo: "drain"}))
		w.runUntil(time.Minute, func() bool { return false })
		for _, r := range w.log {
			Expect(r.Renewal == nil || !r.Renewal.Released).To(BeTrue())
		}
	})

	It("does not claim the lease without a configuration", func() {
		w = newWorld(1, 4)
		w.nodes[0].svc.Handle(w.now, configuration.Changed{})
		w.runUntil(time.Minute, func() bool { return false })
		Expect(w.log).To(BeEmpty())
	})

	It("gives the lease to exactly one of two nodes that claim it at the same time", func() {
		w = newWorld(2, 4)
		for _, n := range w.nodes {
			n.svc.lease.claimAt = w.now
			w.perform(n, n.svc.Handle(w.now, w.observe(n)))
			w.perform(n, n.svc.Handle(w.now, tick{}))
		}
		claims := 0
		w.runUntil(10*time.Second, func() bool { return false })
		for _, r := range w.log {
			if r.Lease != nil {
				claims++
			}
		}
		Expect(claims).To(Equal(2))
		Expect(w.nodes[0].control.Lease().Term).To(Equal(record.At(0, 0)))
		Expect(w.nodes[0].svc.holdsLease()).NotTo(Equal(w.nodes[1].svc.holdsLease()))
	})
})
