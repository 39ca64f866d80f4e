package formation

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// maxViewDelay is the age that reports may have at a new holder, which may have them from
// another node.
const maxViewDelay = 1300 * time.Millisecond

var _ = Describe("Planner after a change of the lease's holder", func() {
	var w *world
	// startSmall starts five VMs that hold the small model, and returns the head of its
	// replica.
	startSmall := func() *engine {
		GinkgoHelper()
		w = newWorld(1, 5)
		for _, e := range w.engines {
			e.vm.LastModel = "small"
		}
		Expect(w.run(5*time.Second, w.servesAtLeast(0, 1))).To(BeTrue())
		w.run(5*time.Second, nil)
		w.gotRequests = true
		return w.member("small", 0)
	}
	AfterEach(func() { Expect(w.violations).To(BeEmpty()) })

	// A new holder whose copy of the reports was older than the former holder's last
	// orders took the members of a replica that had just been opened for free and
	// ordered them to join others.
	It("uses no reports from before the former holder's last orders", func() {
		w = newWorld(1, 3)
		w.gotRequests, w.historyTime = true, maxViewDelay
		for _, e := range w.engines {
			e.vm.LastModel = "small"
		}
		Expect(w.run(5*time.Second, w.servesAtLeast(0, 1))).To(BeTrue())
		w.startPlanner(2)
		w.viewDelay = maxViewDelay
		w.run(10*time.Second, nil)
		Expect(w.serving()).To(HaveKeyWithValue("small", 1))
	})

	// A member of an open replica started again, which made it forget its replica. A new
	// holder ordered it to join another one. That order was late, and an earlier late order
	// made the VM a member of the open replica again.
	It("orders no VM to join that may come back to an open replica of an earlier term", func() {
		head := startSmall()
		member := w.member("small", 2)
		former := joinOrder(head, member)
		member.forget(w.now)
		member.vm.Staged = []string{"small"}
		w.startPlanner(2)
		var late []Order
		w.lost = func(o Order) bool {
			if o.Kind == Join && o.VM == member.vm.ID {
				late = append(late, o)
			}
			return o.Kind != Probe
		}
		w.run(2*time.Second, nil)
		w.execute(former, 1)
		for _, o := range late {
			w.execute(o, 2)
		}
		w.lost = nil
		w.run(10*time.Second, nil)
		Expect(w.serving()).To(HaveKeyWithValue("small", 1))
	})
})

// joinOrder returns the order with which an engine joined the replica of a head.
func joinOrder(head, e *engine) Order {
	m := head.vm.Member
	return Order{Kind: Join, VM: e.vm.ID, Replica: m.Replica, Generation: m.Generation, Model: head.vm.Model, Members: head.members}
}
