package controller

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/tamarackcleat/tamarackcleat/port"
)

// injectFault draws a fault and a VM or node, and starts or ends the fault there.
func (w *world) injectFault(t *rapid.T, ids []port.VMID) {
	e := w.engines[rapid.SampledFrom(ids).Draw(t, "vm")]
	n := rapid.SampledFrom(w.nodes).Draw(t, "node")
	switch rapid.SampledFrom([]string{"dark", "back", "restart", "log", "twice", "pause", "resume", "cut log", "cut VMs", "domain"}).Draw(t, "fault") {
	case "dark":
		e.unreachable = true
	case "back":
		e.unreachable = false
	case "restart":
		w.restart(e.vm.ID)
	case "log":
		w.logDown = !w.logDown
	case "twice":
		w.duplicateAppends = !w.duplicateAppends
	case "pause":
		n.paused = true
	case "resume":
		if n.paused {
			w.resume(n)
		}
	case "cut log":
		n.cutLog = !n.cutLog
	case "cut VMs":
		n.cutVMs = !n.cutVMs
	case "domain":
		for _, o := range w.engines {
			if o.vm.Domain == e.vm.Domain {
				o.unreachable = !e.unreachable
			}
		}
	}
}

// clearFaults ends all faults but duplicated appends.
func (w *world) clearFaults() {
	w.logDown = false
	for _, e := range w.engines {
		e.unreachable = false
	}
	for _, n := range w.nodes {
		n.cutLog, n.cutVMs = false, false
		if n.paused {
			w.resume(n)
		}
	}
}

var _ = Describe("Controller under random faults", func() {
	// A member of a live replica was ordered to join another one on reports that were older
	// than the former holder's orders.
	It("lets no VM leave a live replica or obey an old order, and forms all replicas again after the faults end", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := newWorld(3, 5, 5, 4)
			var ids []port.VMID
			for id, e := range w.engines {
				ids = append(ids, id)
				e.vm.ChecksFencing = id[2] == '1'
			}
			slices.Sort(ids)
			for _, n := range w.nodes {
				n.orderDelay = time.Duration(rapid.IntRange(0, int(OrderTimeout/time.Second)).Draw(t, "delay")) * time.Second
			}
			for range rapid.IntRange(1, 30).Draw(t, "faults") {
				w.injectFault(t, ids)
				for range rapid.IntRange(1, 30).Draw(t, "steps") {
					w.step()
				}
			}
			if len(w.staleOrders) > 0 {
				t.Fatalf("VMs that obeyed an order of an old generation: %v", w.staleOrders)
			}
			if len(w.taken) > 0 {
				t.Fatalf("VMs that joined another replica while theirs was live: %v", w.taken)
			}
			w.clearFaults()
			if !w.runUntil(30*time.Minute, w.hasComplete(3)) {
				t.Fatalf("%d replicas are complete after the faults ended; nodes:\n%s", len(w.completeReplicas()), w.describe())
			}
		})
	})
})

// describe returns the status of all nodes for the message of a failed run.
func (w *world) describe() string {
	out := ""
	for _, n := range w.nodes {
		out += fmt.Sprintf("%+v\n", n.svc.Status(w.now))
	}
	return out
}
