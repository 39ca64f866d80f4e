package formation

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/fleet"
)

// Guards against replicas and loads in a zone that gets no requests, and against loads
// after its return.
var _ = Describe("An evacuated zone", func() {
	var w *world
	// changes counts the VMs of a domain that joined another replica or staged a model.
	changes := func(domain string, before map[string]fleet.VM) int {
		n := 0
		for id, vm := range before {
			now := w.engines[id].vm
			if vm.Domain == domain && (now.Member.Replica != vm.Member.Replica || !slices.Equal(now.Staged, vm.Staged)) {
				n++
			}
		}
		return n
	}
	copyVMs := func() map[string]fleet.VM {
		out := map[string]fleet.VM{}
		for id, e := range w.engines {
			out[id] = e.vm
		}
		return out
	}
	start := func(domains ...int) {
		w = newWorld(1, domains...)
		for _, e := range w.engines {
			e.vm.Zone = "z" + e.vm.Domain
		}
	}
	AfterEach(func() { Expect(w.violations).To(BeEmpty()) })

	It("keeps its replicas, and neither replaces nor stages anything until it is back", func() {
		start(11, 11)
		Expect(w.run(2*time.Minute, w.servesAtLeast(2, 2))).To(BeTrue())
		w.run(90*time.Second, nil)
		w.gotRequests = true
		w.evacuated = map[string]bool{"zd0": true}
		// Hosts without a staged model would get one.
		for _, e := range w.engines {
			if e.vm.Domain == "d0" {
				e.vm.Staged = nil
			}
		}
		w.run(time.Second, nil)
		before, joins := copyVMs(), w.coldJoins
		w.run(30*time.Second, nil)
		Expect(changes("d0", before)).To(BeZero())
		w.evacuated = nil
		Expect(w.run(time.Second, w.servesAtLeast(2, 2))).To(BeTrue())
		Expect(w.coldJoins).To(Equal(joins))
	})

	It("gets no new replica for one that it loses, and gets it when it is back", func() {
		start(11, 11)
		Expect(w.run(2*time.Minute, w.servesAtLeast(2, 2))).To(BeTrue())
		w.run(90*time.Second, nil)
		w.gotRequests = true
		w.evacuated = map[string]bool{"zd0": true}
		w.run(time.Second, nil)
		var head *engine
		for _, e := range w.engines {
			if e.vm.Domain == "d0" && e.vm.Member.State == fleet.MemberOpen && e.vm.Model == "large" {
				head = e
			}
		}
		head.down = true
		w.suspect(head.vm.ID)
		Expect(w.run(20*time.Second, w.servesAtLeast(2, 1))).To(BeFalse())
		w.evacuated = nil
		Expect(w.run(10*time.Second, w.servesAtLeast(2, 2))).To(BeTrue())
	})

	It("gets no replica at the start of a deployment while another zone can be used", func() {
		start(9, 9)
		w.evacuated = map[string]bool{"zd0": true}
		Expect(w.run(2*time.Minute, w.servesAtLeast(1, 1))).To(BeTrue())
		for _, e := range w.engines {
			Expect(e.vm.Domain == "d0" && e.vm.Member.Replica != "").To(BeFalse())
		}
	})

	It("is used for replicas like others if all zones are evacuated", func() {
		start(9, 9)
		w.evacuated = map[string]bool{"zd0": true, "zd1": true}
		Expect(w.run(2*time.Minute, w.servesAtLeast(2, 2))).To(BeTrue())
	})

	It("does not count for the demand: a model that only it serves gets a replica elsewhere", func() {
		w = newWorld(1)
		w.addStaged("d0-l", "d0", "large", 6)
		w.addStaged("d0-s", "d0", "small", 6)
		Expect(w.run(2*time.Minute, w.servesAtLeast(1, 2))).To(BeTrue())
		w.gotRequests = true
		w.addStaged("d1", "d1", "small", 6)
		for _, e := range w.engines {
			e.vm.Zone = "z" + e.vm.Domain
		}
		w.evacuated = map[string]bool{"zd0": true}
		Expect(w.run(10*time.Second, w.servesAtLeast(1, 3))).To(BeTrue())
	})
})
