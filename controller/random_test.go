package controller

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/tamarackcleat/tamarackcleat/port"
)

// fault draws one change of what is broken.
func (w *world) fault(t *rapid.T, ids []port.VMID) {
	e := w.engines[rapid.SampledFrom(ids).Draw(t, "vm")]
	n := rapid.SampledFrom(w.nodes).Draw(t, "node")
	switch rapid.SampledFrom([]string{"dark", "back", "restart", "log", "twice", "pause", "resume", "cut log", "cut VMs", "domain"}).Draw(t, "fault") {
	case "dark":
		e.dark = true
	case "back":
		e.dark = false
	case "restart":
		w.restart(e.vm.ID)
	case "log":
		w.logDown = !w.logDown
	case "twice":
		w.twice = !w.twice
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
				o.dark = !e.dark
			}
		}
	}
}

// heal ends every fault.
func (w *world) heal() {
	w.logDown = false
	for _, e := range w.engines {
		e.dark = false
	}
	for _, n := range w.nodes {
		n.cutLog, n.cutVMs = false, false
		if n.paused {
			w.resume(n)
		}
	}
}

var _ = Describe("Controller under random faults", func() {
	It("never orders a VM with an old generation and recovers in the end", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := newWorld(3, 5, 5, 4)
			var ids []port.VMID
			for id, e := range w.engines {
				ids = append(ids, id)
				e.vm.ChecksFencing = id[2] == '1'
			}
			slices.Sort(ids)
			for _, n := range w.nodes {
				n.orderDelay = time.Duration(rapid.IntRange(0, int(LongestOrder/time.Second)).Draw(t, "delay")) * time.Second
			}
			for range rapid.IntRange(1, 30).Draw(t, "faults") {
				w.fault(t, ids)
				for range rapid.IntRange(1, 30).Draw(t, "steps") {
					w.step()
				}
			}
			if len(w.stale) > 0 {
				t.Fatalf("stale orders obeyed by %v", w.stale)
			}
			w.heal()
			if !w.run(30*time.Minute, w.serves(3)) {
				t.Fatalf("%d replicas complete: %s", len(w.complete()), w.describe())
			}
		})
	})
})

// describe shows the nodes' states for a failed run.
func (w *world) describe() string {
	out := ""
	for _, n := range w.nodes {
		out += fmt.Sprintf("%+v\n", n.svc.Status(w.now))
	}
	return out
}
