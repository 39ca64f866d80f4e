package formation

import (
	"flag"
	"maps"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// lateOrderSeeds is the number of seeds of each entry that plays late orders of former holders.
var lateOrderSeeds = flag.Uint64("formation.seeds", 10, "number of seeds of each play with late orders")

const (
	// maxLastMoments is the longest time before the end of a term whose orders all get no
	// answer.
	maxLastMoments = 2 * time.Second
	// maxIsolation is the longest time for which an engine is cut off from the store and from
	// orders.
	maxIsolation = 16 * time.Second
)

// handOverLate lets the orders of the present holder's last moments get no answer, which are
// carried out 2 to 12 s after they were sent, and changes the holder.
func (w *world) handOverLate() {
	share := w.delayedShare
	w.delayedShare = 1
	w.run(time.Duration(w.rng.Int64N(int64(maxLastMoments))), nil)
	w.delayedShare = share
	w.changeHolder(w.rng.IntN(3) == 0)
}

// isolate cuts an engine at random, most often the head of a replica, off from the store and
// from orders. It keeps its state, and carries out orders that reached it before.
func (w *world) isolate() {
	ids := slices.Sorted(maps.Keys(w.engines))
	e := w.engines[ids[w.rng.IntN(len(ids))]]
	if head := w.headOf(e); head != nil && w.rng.IntN(2) == 0 {
		e = head
	}
	until := w.now + time.Duration(w.rng.Int64N(int64(maxIsolation)))
	e.reported, e.cutAt, e.cutUntil, e.unreachableUntil = e.vm, w.now, until, until
}

// changeHoldersAndDisturb changes the holder and disturbs engines many times, while a share of
// the orders gets no answer and is carried out late.
func (w *world) changeHoldersAndDisturb(shareOfLateOrders float64) {
	w.historyTime = maxViewDelay
	w.run(30*time.Second, nil)
	w.gotRequests, w.delayedShare, w.lateOpens = true, shareOfLateOrders, true
	for i := range 40 {
		switch w.rng.IntN(4) {
		case 0:
			w.changeHolder(w.rng.IntN(3) == 0)
		case 1:
			w.handOverLate()
		}
		if w.rng.IntN(3) == 0 {
			w.isolate()
		} else {
			w.disturb(i)
		}
		w.run(time.Duration(w.rng.Int64N(int64(3*time.Second))), nil)
	}
}

// holdOrders lets all orders of the present holder get no answer for a while, and returns them.
// The holder forms the first replicas, or it ends one that has lost a member.
func (w *world) holdOrders(ending bool) []Order {
	if ending {
		w.run(time.Minute, w.servesAtLeast(1, 1))
		w.gotRequests = true
		head := w.member("large", 0)
		w.member("large", 2).down = true
		w.suspect(head.vm.ID)
	}
	var held []Order
	w.lost = func(o Order) bool {
		if o.Kind != Probe {
			held = append(held, o)
		}
		return o.Kind != Probe
	}
	w.run(3*time.Second, nil)
	w.lost = nil
	return held
}

var _ = Describe("Planner of engines that check no fencing numbers", func() {
	// Guards against members of an open replica that join another one, and against replicas
	// that open without all members, where holders change, the former holder's orders are
	// carried out after the next one has formed replicas, and engines start again, are cut
	// off or leave.
	DescribeTable("keeps replicas whole through late orders of former holders",
		func(shareOfLateOrders float64, firstSeed uint64, domains ...int) {
			late, effects := 0, 0
			for seed := firstSeed; seed < firstSeed+*lateOrderSeeds; seed++ {
				w := newWorld(seed, domains...)
				w.changeHoldersAndDisturb(shareOfLateOrders)
				Expect(w.violations).To(BeEmpty(), "seed %d", seed)
				late, effects = late+w.lateOrders, effects+w.lateEffects
			}
			GinkgoWriter.Printf("%d late orders of former holders, %d with an effect\n", late, effects)
			Expect(late).To(BeNumerically(">", 100), "few late orders of former holders met a replica of the present one")
			Expect(effects).To(BeNumerically(">", 0), "no late order of a former holder changed anything")
		},
		Entry("a fifth of the orders is late", 0.2, uint64(1), 8, 8, 8),
		Entry("a half of the orders is late", 0.5, uint64(101), 8, 8, 8),
		Entry("four fifths of the orders are late", 0.8, uint64(201), 8, 8, 8),
		// With this entry, a planner that opens replicas of former holders fails.
		Entry("a half of the orders is late, in small domains", 0.5, uint64(11), 5, 5),
	)

	// Guards against replicas of a new holder that the former holder's orders change: all of
	// them got no answer, and each is carried out after the new holder's replicas serve, by
	// engines of which some have started again and forgotten what they had seen.
	DescribeTable("lets the new holder's replicas serve on through all orders of the former one",
		func(ending bool) {
			const seeds = 40
			for seed := range uint64(seeds) {
				w := newWorld(seed, 8, 8)
				late := w.holdOrders(ending)
				Expect(late).NotTo(BeEmpty(), "seed %d", seed)
				w.startPlanner(2)
				for _, id := range slices.Sorted(maps.Keys(w.engines)) {
					if w.rng.IntN(3) == 0 {
						w.engines[id].forget(w.now)
					}
				}
				Expect(w.run(time.Minute, w.servesAtLeast(1, 1))).To(BeTrue(), "seed %d", seed)
				w.gotRequests = true
				w.run(20*time.Second, nil)
				before := w.serving()
				w.rng.Shuffle(len(late), func(i, j int) { late[i], late[j] = late[j], late[i] })
				for _, o := range late {
					w.executeLate(delayedOrder{w.now, o, 1})
					w.run(time.Duration(w.rng.Int64N(int64(300*time.Millisecond))), nil)
				}
				w.run(10*time.Second, nil)
				Expect(w.violations).To(BeEmpty(), "seed %d", seed)
				Expect(w.lateEffects).To(BeZero(), "seed %d", seed)
				Expect(w.serving()).To(Equal(before), "seed %d", seed)
			}
		},
		Entry("to join replicas", false),
		Entry("to end a replica", true),
	)

	// Guards against a member that is taken from a replica whose head opens late: the head
	// was ready and could not be reached, its order to open was carried out after another
	// member had left, and the orders to leave of a third one got no answer.
	It("takes no member that has not left from a replica whose head may yet open", func() {
		w := newWorld(1, 5)
		for _, e := range w.engines {
			e.vm.LastModel = "small"
		}
		var opening *Order
		w.lost = func(o Order) bool {
			if o.Kind == Open {
				opening = &o
			}
			return o.Kind == Open
		}
		Expect(w.run(10*time.Second, func() bool { return opening != nil })).To(BeTrue())
		head := w.engines[opening.VM]
		left, staying := w.engines[head.members[1]], w.engines[head.members[2]]
		w.gotRequests, w.lateOpens = true, true
		w.startPlanner(2)
		head.reported, head.cutAt, head.cutUntil, head.unreachableUntil = head.vm, w.now, w.now+time.Hour, w.now+time.Hour
		w.lost = func(o Order) bool { return o.Kind == Leave && o.VM == staying.vm.ID }
		Expect(w.run(5*time.Second, func() bool { return left.vm.Member.Replica == "" })).To(BeTrue())
		w.run(2*time.Second, nil)
		Expect(w.execute(*opening, 1)).To(BeTrue())
		w.run(10*time.Second, nil)
		Expect(w.violations).To(BeEmpty())
		w.lost = nil
		w.run(10*time.Second, nil)
		Expect(w.violations).To(BeEmpty())
		Expect(w.serving()).To(HaveKeyWithValue("small", 1))
	})
})
