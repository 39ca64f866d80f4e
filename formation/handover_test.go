package formation

import (
	"fmt"
	"maps"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/fleet"
)

const (
	// maxViewDelay is the age that reports may have at a new holder, which may have them
	// from another node.
	maxViewDelay = 1300 * time.Millisecond
	maxPause     = 8 * time.Second
)

// changeHolder lets another node, which knows nothing and may see older reports, hold
// the lease. If the former holder was paused, its last orders are sent when it goes on.
func (w *world) changeHolder(paused bool) {
	if paused {
		pause := time.Duration(w.rng.Int64N(int64(maxPause)))
		for _, o := range w.planner.Plan(w.now, w.seen().at, w.view()) {
			if o.Kind != Probe {
				w.delayed = append(w.delayed, delayedOrder{w.now + pause, o, w.planner.term})
			}
		}
	}
	w.startPlanner(w.planner.term + 1)
	w.viewDelay = reportDelay + time.Duration(w.rng.Int64N(int64(maxViewDelay-reportDelay)))
}

// disturb lets something happen to one engine, at random.
func (w *world) disturb(i int) {
	ids := slices.Sorted(maps.Keys(w.engines))
	e := w.engines[ids[w.rng.IntN(len(ids))]]
	head := w.headOf(e)
	switch w.rng.IntN(6) {
	case 0, 1:
		e.forget(w.now)
	case 2:
		e.down, e.downUntil = true, w.now+time.Duration(w.rng.Int64N(int64(5*time.Second)))
	case 3:
		e.reported, e.cutAt = e.vm, w.now
		e.cutUntil = w.now + time.Duration(w.rng.Int64N(int64(16*time.Second)))
	case 4:
		e.vm.Leaving = true
		w.add(fmt.Sprintf("new-%d", i), e.vm.Domain)
	case 5:
		head = nil
	}
	if head != nil && w.rng.IntN(2) == 0 {
		w.send(w.planner.ProbeMembers(w.now, w.view(), head.vm.ID))
	}
}

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

	// A holder waited longer than needed after it had taken over, since it counted from its
	// first plan.
	It("waits for reports from after the claim of the lease only", func() {
		w = newWorld(1, 1)
		w.planner.Reset(2, w.now)
		Expect(w.planner.seesFormerOrders(w.now+reportTime, w.now+reportTime-1)).To(BeFalse())
		Expect(w.planner.seesFormerOrders(w.now+time.Second, w.now+reportTime)).To(BeTrue())
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

	// Late orders brought the head of a replica that had ended back and opened it, while
	// its members were being ordered to join another replica.
	It("ends a replica again whose head comes back through late orders", func() {
		head := startSmall()
		former := joinOrder(head, head)
		opening := Order{Kind: Open, VM: head.vm.ID, Replica: former.Replica, Generation: former.Generation}
		w.member("small", 2).down = true
		w.suspect(head.vm.ID)
		ordered := false
		w.lost = func(o Order) bool {
			ordered = ordered || o.Kind == Join && o.VM == head.vm.ID
			return o.Kind == Join
		}
		Expect(w.run(3*time.Second, func() bool { return ordered })).To(BeTrue())
		w.run(300*time.Millisecond, nil)
		w.execute(former, 1)
		w.lost = func(o Order) bool { return o.Kind == Join || o.Kind == Leave }
		w.run(rejoinTime+reportDelay+stepTime, nil)
		w.execute(opening, 1)
		w.lost = func(o Order) bool { return o.Kind == Leave }
		w.run(time.Second, nil)
		w.lost = nil
		w.run(10*time.Second, nil)
		Expect(w.serving()).To(HaveKeyWithValue("small", 1))
	})

	// Late copies of the orders that had formed a replica brought its head back after the
	// replica had ended, and the head's late order to join the next one arrived before any
	// report had shown that. Fencing numbers were not checked.
	It("lets no late orders bring a head back that has accepted others since", func() {
		w = newWorld(1, 5)
		for _, e := range w.engines {
			e.vm.LastModel = "small"
		}
		var sent, late []Order
		w.lost = func(o Order) bool {
			sent = append(sent, o)
			return false
		}
		Expect(w.run(5*time.Second, w.servesAtLeast(0, 1))).To(BeTrue())
		w.run(5*time.Second, nil)
		head := w.member("small", 0)
		w.member("small", 2).down = true
		w.lost = func(o Order) bool {
			if o.Kind == Join {
				late = append(late, o)
			}
			return o.Kind == Join
		}
		w.gotRequests = true
		w.suspect(head.vm.ID)
		rejoins := func(o Order) bool { return o.VM == head.vm.ID }
		Expect(w.run(3*time.Second, func() bool { return slices.ContainsFunc(late, rejoins) })).To(BeTrue())
		w.lost = func(o Order) bool { return o.Kind != Probe }
		for _, o := range sent {
			if o.VM == head.vm.ID && (o.Kind == Join || o.Kind == Open) {
				w.execute(o, 1)
				w.run(time.Second, nil)
			}
		}
		for _, o := range late {
			w.execute(o, 1)
		}
		w.lost = nil
		w.run(10*time.Second, nil)
		Expect(w.serving()).To(HaveKeyWithValue("small", 1))
	})

	// The members of an open replica vanished from the log one after the other and could not
	// be reached. One came back before the head, and was ordered to join another replica
	// although its order to leave was late and the head still served.
	It("takes no member from a replica whose other members only vanished from the log", func() {
		head := startSmall()
		w.historyTime = maxViewDelay
		member := w.member("small", 1)
		for _, id := range head.members {
			e := w.engines[id]
			e.reported, e.cutAt, e.cutUntil = e.vm, w.now, w.now+time.Hour
		}
		w.lost = func(o Order) bool { return slices.Contains(head.members, o.VM) }
		w.run(unlistedAfter+unlistedRetention+time.Second, nil)
		member.cutUntil = w.now
		w.lost = func(o Order) bool {
			return slices.Contains(head.members, o.VM) && (o.VM != member.vm.ID || o.Kind == Leave)
		}
		w.run(2*stallTime, nil)
		w.lost = nil
		for _, id := range head.members {
			w.engines[id].cutUntil = w.now
		}
		w.run(20*time.Second, nil)
		Expect(w.serving()).To(HaveKeyWithValue("small", 1))
	})

	// A new holder waited until a replica of an earlier term must have failed to form,
	// although its head had reported it as broken, which only an open one becomes. The
	// member that it lacked was no longer in the log.
	It("ends a replica of an earlier term at once if its head is broken", func() {
		head := startSmall()
		delete(w.engines, head.members[2])
		w.lost = func(o Order) bool { return o.Kind != Probe }
		Expect(w.run(2*stallTime, func() bool { return head.vm.Member.State == fleet.MemberBroken })).To(BeTrue())
		w.lost = nil
		w.startPlanner(2)
		Expect(w.run(3*time.Second, w.servesAtLeast(0, 1))).To(BeTrue())
	})

	// A member that had left a replica with an unreachable head became a member again
	// through a late order. The others were taken for free when the head would have broken
	// if the member had stayed away.
	It("takes no member from a replica that a member has come back to", func() {
		head := startSmall()
		member, other := w.member("small", 1), w.member("small", 2)
		again := joinOrder(head, member)
		head.reported, head.cutAt, head.cutUntil = head.vm, w.now-unlistedAfter, w.now+time.Hour
		refused := true
		w.lost = func(o Order) bool { return o.VM == head.vm.ID || o.VM == other.vm.ID && refused && o.Kind == Leave }
		Expect(w.run(5*time.Second, func() bool { return member.vm.Member.Replica == "" })).To(BeTrue())
		w.run(stallTime-time.Second, nil)
		w.execute(again, 1)
		w.run(2*time.Second, nil)
		refused = false
		w.run(20*time.Second, nil)
	})

	// A member of an open replica was ordered to join another one where holders changed
	// while orders were late and VMs started again, were cut off from the log or left.
	DescribeTable("keeps replicas without shared members through changes of the holder, late orders and restarts",
		func(seed uint64) {
			w = newWorld(seed, 8, 8, 8)
			w.fenced, w.historyTime = true, maxViewDelay
			w.run(30*time.Second, nil)
			w.gotRequests, w.delayedShare, w.lateOpens = true, 0.5, true
			for i := range 40 {
				if w.rng.IntN(2) == 0 {
					w.changeHolder(w.rng.IntN(3) == 0)
				}
				w.disturb(i)
				w.run(time.Duration(w.rng.Int64N(int64(3*time.Second))), nil)
			}
		},
		Entry(nil, uint64(41)), Entry(nil, uint64(51)), Entry(nil, uint64(199)), Entry(nil, uint64(201)), Entry(nil, uint64(447)),
	)
})

// joinOrder returns the order with which an engine joined the replica of a head.
func joinOrder(head, e *engine) Order {
	m := head.vm.Member
	return Order{Kind: Join, VM: e.vm.ID, Replica: m.Replica, Generation: m.Generation, Model: head.vm.Model, Members: head.members}
}
