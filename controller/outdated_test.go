package controller

import (
	"bytes"
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/health"
	"github.com/tamarackcleat/tamarackcleat/ledger"
	"github.com/tamarackcleat/tamarackcleat/port"
)

var _ = Describe("a report that contradicts a VM's membership of its replica", func() {
	var w *world
	var n *node
	var r ledger.Replica
	var lines bytes.Buffer

	BeforeEach(func() {
		lines.Reset()
		w = newWorld(1, 4)
		n = w.nodes[0]
		n.svc.Logger = slog.New(slog.NewJSONHandler(&lines, nil))
		Expect(w.runUntil(time.Minute, w.hasComplete(1))).To(BeTrue())
		r = w.completeReplicas()[0]
	})

	// observe passes the node an observation in which the VM of rank 1 is idle, by a
	// probe that was sent at a time.
	observe := func(sentAt time.Time) {
		observed := w.observe(n)
		for i, o := range observed.VMs {
			if o.VM.ID == r.VMs[1] {
				o.Report = port.Report{VM: o.VM.ID, Boot: o.Report.Boot, State: port.EngineIdle}
				o.AsOf, o.Source = sentAt, "node-2"
				observed.VMs[i] = o
			}
		}
		w.perform(n, n.svc.Handle(w.now, observed))
		w.perform(n, n.svc.Handle(w.now, tick{}))
		w.flush(n)
	}
	joinedBy := func() time.Time { return n.svc.fleet.joined[r.VMs[1]].seen.ReportedBy }

	// Guards against a replica that was dissolved because of a probe from before one
	// of its VMs joined it.
	It("is ignored and logged unless it is certainly later than the report of the membership", func() {
		observe(joinedBy())
		Expect(n.svc.pending.dissolutions).To(BeEmpty())
		Expect(n.svc.fleet.restarted).To(BeEmpty())
		Expect(lines.String()).To(ContainSubstring(`"msg":"upstream.outdated","upstream":"` + string(r.VMs[1])))
		lines.Reset()
		observe(joinedBy())
		Expect(lines.String()).To(BeEmpty(), "logged again")
		Expect(w.runUntil(time.Minute, w.hasComplete(1))).To(BeTrue())
		Expect(w.completeReplicas()[0].Generation).To(Equal(r.Generation))
	})

	It("ends the replica at once if it is later, and the log says why", func() {
		observe(joinedBy().Add(time.Millisecond))
		Expect(n.svc.fleet.restarted).To(HaveKeyWithValue(r.VMs[1], r.Generation))
		Expect(lines.String()).To(And(
			ContainSubstring(`"msg":"upstream.restarted","upstream":"`+string(r.VMs[1])),
			ContainSubstring(`"state":"idle"`), ContainSubstring(`"source":"node-2"`),
			ContainSubstring(`"msg":"replica.dissolved"`), ContainSubstring(`"cause":"vm_restarted"`),
		))
	})

	It("is compared with the earliest report of the membership", func() {
		id := r.VMs[1]
		joined := n.svc.fleet.joined[id].seen
		o := joined
		o.ReportedBy = joined.ReportedBy.Add(-time.Second)
		o.Source = "node-3"
		n.svc.fleet.updateMembership(o, n.control)
		Expect(n.svc.fleet.joined[id].seen.Source).To(BeEquivalentTo("node-3"))
		idle := health.Observation{VM: o.VM, AsOf: joined.ReportedBy.Add(-time.Millisecond), Report: port.Report{VM: id, State: port.EngineIdle}}
		c, found := n.svc.fleet.updateMembership(idle, n.control)
		Expect(found).To(BeTrue())
		Expect(c.lost).To(BeTrue())
	})
})
