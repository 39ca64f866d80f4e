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

var _ = Describe("Planner", func() {
	var w *world
	startFleet := func(large, small int, domains ...int) {
		GinkgoHelper()
		w = newWorld(1, domains...)
		Expect(w.run(2*time.Minute, w.servesAtLeast(large, small))).To(BeTrue())
		w.run(90*time.Second, nil)
		w.gotRequests = true
	}
	AfterEach(func() { Expect(w.violations).To(BeEmpty()) })

	It("forms a replica of each model in every domain", func() {
		startFleet(6, 6, 11, 11, 11, 11, 11, 11)
	})

	// Guards against a replica that may get few requests although a member can take many.
	It("makes a warm VM the head of a replica, and the one that is cold for the shortest time if none is warm", func() {
		s := newWorld(1).config.Services[service]
		s.ColdTime, s.ColdPerSecond = time.Hour, 17
		headWith := func(cold map[string]time.Duration) string {
			w = newWorld(1)
			w.config.Services[service] = s
			w.addStaged("e", "d0", "large", 6)
			for id, remaining := range cold {
				w.engines[id].vm.ColdUntil = w.now + remaining
			}
			Expect(w.run(time.Minute, func() bool { return w.serving()["large"] == 1 })).To(BeTrue())
			return w.member("large", 0).vm.ID
		}
		Expect(headWith(map[string]time.Duration{"e-00": time.Hour, "e-01": time.Hour})).To(Equal("e-02"))
		Expect(headWith(map[string]time.Duration{"e-00": 4 * time.Hour, "e-01": 3 * time.Hour, "e-02": 3 * time.Hour,
			"e-03": 2 * time.Hour, "e-04": 3 * time.Hour, "e-05": 3 * time.Hour})).To(Equal("e-03"))
	})

	It("waits for the list of VMs to settle, so that domains are not split into small replicas", func() {
		w = newWorld(1, 4)
		for i := range 7 {
			w.run(200*time.Millisecond, nil)
			w.add("late-"+string(rune('a'+i)), "d0")
		}
		Expect(w.run(2*time.Minute, w.servesAtLeast(1, 1))).To(BeTrue())
	})

	It("makes standbys of the remaining VMs, one for each model before a second one for the largest", func() {
		startFleet(1, 1, 11)
		standbys := map[string]int{}
		for _, e := range w.engines {
			if e.vm.Member.State == fleet.MemberReady && len(e.members) == 1 {
				standbys[e.vm.Model]++
			}
		}
		Expect(standbys).To(Equal(map[string]int{"large": 1, "small": 1}))
	})

	// A replica makes no progress while a member is down; a standby takes over
	// that member's place.
	It("replaces a dead member with a standby within two seconds of a suspicion", func() {
		startFleet(1, 1, 11)
		w.member("large", 3).down = true
		w.suspect(w.stalledHead("large"))
		Expect(w.run(2*time.Second, w.servesAtLeast(1, 1))).To(BeTrue())
	})

	It("uses the members of a replica with a dead head only once the replica must have broken", func() {
		startFleet(1, 1, 11)
		head := w.member("large", 0)
		head.down = true
		w.suspect(head.vm.ID)
		Expect(w.run(stallTime, w.servesAtLeast(1, 1))).To(BeFalse())
		Expect(w.run(stallTime, w.servesAtLeast(1, 1))).To(BeTrue())
	})

	// Guards against members that stay unused after their head has crashed: another
	// instance answered probes at its address, so the head was taken for a running one.
	DescribeTable("uses the members of a replica as soon as another instance answers for its head", func(crashFirst time.Duration) {
		startFleet(1, 1, 11)
		head := w.member("large", 0)
		head.down = true
		w.run(crashFirst, nil)
		head.replaced = true
		Expect(w.run(stallTime, w.servesAtLeast(1, 1))).To(BeTrue())
	},
		Entry("at once", time.Duration(0)),
		Entry("after probes have shown that the head is gone", time.Second),
	)

	// A member that loses its connection to the log for a few seconds (in one
	// run, seven VMs did for five seconds) is no longer in the list of VMs
	// although it still works.
	It("keeps a replica whose member is no longer listed but answers", func() {
		startFleet(1, 1, 11)
		e := w.member("large", 2)
		before := e.vm.Member
		e.unlisted = true
		w.run(8*time.Second, nil)
		Expect(w.serving()).To(HaveKeyWithValue("large", 1))
		Expect(e.vm.Member).To(Equal(before))
	})

	It("closes a replica whose head is no longer listed, and forms a new one", func() {
		startFleet(1, 1, 11)
		head := w.member("large", 0)
		head.unlisted = true
		Expect(w.run(10*time.Second, func() bool {
			e := w.member("large", 0)
			return e != nil && e != head
		})).To(BeTrue())
	})

	// In one run 14 replicas lost their heads' entries within a second, and
	// their members stayed unused for up to four seconds, until the streams
	// ended.
	It("waits at most a second for the requests of a replica that it dismantles", func() {
		startFleet(1, 1, 11)
		w.requestTime = 20 * time.Second
		head := w.member("large", 0)
		head.unlisted = true
		Expect(w.run(4*time.Second, w.servesAtLeast(1, 1))).To(BeTrue())
		Expect(w.planner.Closing()).To(BeEmpty())
	})

	It("reports which replicas are being dismantled", func() {
		startFleet(1, 1, 11)
		w.requestTime = 20 * time.Second
		head := w.member("large", 0)
		head.unlisted = true
		Expect(w.run(time.Second, func() bool { return slices.Contains(w.planner.Closing(), head.vm.ID) })).To(BeTrue())
	})

	// If a member is lost while its replica opens, the head still reports ready
	// although an order to open it may be in flight, so the other members must
	// not be used before the head has left.
	It("makes the head leave a replica that lost a member while it opened", func() {
		w = newWorld(1, 6)
		Expect(w.run(time.Minute, func() bool {
			for _, e := range w.engines {
				if e.openAt > 0 {
					return true
				}
			}
			return false
		})).To(BeTrue())
		for i := range 6 {
			w.add("spare-"+string(rune('a'+i)), "d0")
		}
		w.engines["d0-03"].down = true
		w.run(20*time.Second, nil)
	})

	It("dismantles a replica with a leaving member and forms a new one without that member", func() {
		startFleet(1, 1, 11)
		e := w.member("large", 4)
		e.vm.Leaving = true
		Expect(w.run(10*time.Second, func() bool {
			h := w.member("large", 0)
			return h != nil && !slices.Contains(h.members, e.vm.ID)
		})).To(BeTrue())
	})

	// When a quarter of the VMs left at once, all replicas with a leaving
	// member were dismantled at the same moment.
	It("dismantles replicas with leaving members one after the other", func() {
		startFleet(1, 1, 11)
		w.member("large", 4).vm.Leaving = true
		w.member("small", 1).vm.Leaving = true
		fewest := 2
		w.run(10*time.Second, func() bool {
			s := w.serving()
			fewest = min(fewest, s["large"]+s["small"])
			return false
		})
		Expect(fewest).To(Equal(1))
		Expect(w.servesAtLeast(1, 1)()).To(BeTrue())
		for _, model := range []string{"large", "small"} {
			for _, id := range w.member(model, 0).members {
				Expect(w.engines[id].vm.Leaving).To(BeFalse(), id)
			}
		}
	})

	It("lets a replica that can't be replaced serve until its leaving member goes", func() {
		startFleet(1, 1, 9)
		w.member("large", 4).vm.Leaving = true
		w.run(drainTime/2, nil)
		Expect(w.serving()["large"]).To(Equal(1))
		w.run(drainTime/2, nil)
		Expect(w.serving()["large"]).To(BeZero())
	})

	It("dismantles a replica at once if its head leaves", func() {
		startFleet(1, 1, 11)
		w.member("large", 0).vm.Leaving = true
		Expect(w.run(time.Second, func() bool { return w.serving()["large"] == 0 })).To(BeTrue())
		Expect(w.run(5*time.Second, w.servesAtLeast(1, 1))).To(BeTrue())
	})

	It("does not form replicas of a model from spares of another model unless the model is scarce", func() {
		startFleet(2, 2, 11, 11)
		for range 2 {
			e := w.member("small", 1)
			e.down = true
			w.suspect(w.engines[e.members[0]].vm.ID)
			w.run(30*time.Second, nil)
		}
		Expect(w.serving()["large"]).To(Equal(2))
	})

	It("keeps the replicas when a new lease holder knows only the VMs' reports", func() {
		startFleet(2, 2, 11, 11)
		w.planner.Reset(2, w.now)
		w.run(10*time.Second, nil)
		Expect(w.serving()).To(Equal(map[string]int{"large": 2, "small": 2}))
	})

	It("does not open a replica of a former lease holder unless all members report", func() {
		w = newWorld(1, 6)
		w.run(time.Second, nil)
		for _, e := range w.engines {
			Expect(e.vm.Member.State).To(Equal(fleet.MemberJoining))
		}
		w.engines["d0-05"].unlisted = true
		w.engines["d0-05"].vm.Member = fleet.Membership{}
		w.planner.Reset(2, w.now)
		w.run(20*time.Second, nil)
	})

	It("stages the other model on VMs before the first request, but keeps enough hosts of each model for a restart", func() {
		startFleet(2, 2, 11, 11)
		bothModels, staged := map[string]int{}, map[string]map[string]int{"d0": {}, "d1": {}}
		for _, e := range w.engines {
			staged[e.vm.Domain][e.vm.Staged[0]]++
			if e.vm.Staged[0] != e.vm.LastModel {
				bothModels[e.vm.Domain]++
			}
		}
		for domain, of := range staged {
			Expect(of["large"]).To(BeNumerically(">=", 6), domain)
			Expect(of["small"]).To(BeNumerically(">=", 3), domain)
			Expect(bothModels[domain]).To(BeNumerically(">=", 9), domain)
		}
	})

	// After a domain was down and its VMs restarted, only the models staged
	// on the hosts load quickly. When six of eleven hosts had staged the small
	// model, too few were left for the large one.
	It("forms a domain's replicas without a load after all its VMs restarted", func() {
		startFleet(2, 2, 11, 11)
		before := w.coldJoins
		for id, e := range w.engines {
			if e.vm.Domain == "d1" {
				staged := e.vm.Staged
				delete(w.engines, id)
				w.add(id, "d1")
				w.engines[id].vm.Staged = staged
			}
		}
		Expect(w.run(10*time.Second, w.servesAtLeast(2, 2))).To(BeTrue())
		Expect(w.coldJoins).To(Equal(before))
	})

	// After the second loss in a domain, the large replica waited 16 s for a
	// load although a spare of the small model was free.
	It("repairs a replica with a spare of the other model once its own spares are used up", func() {
		startFleet(1, 1, 11)
		for range 2 {
			w.member("large", 3).down = true
			w.suspect(w.stalledHead("large"))
			Expect(w.run(4*time.Second, w.servesAtLeast(1, 1))).To(BeTrue())
		}
	})

	// When a domain lost a third VM, the large model fell to half of its
	// replicas while the small model kept all of its own.
	It("closes a replica of a fully served model in favour of an underserved one that is short of VMs", func() {
		startFleet(2, 2, 11, 11)
		domain := w.member("large", 0).vm.Domain
		for range 3 {
			e := w.lastMemberIn("large", domain)
			e.down = true
			w.suspect(w.stalledHead("large"))
			w.run(5*time.Second, nil)
		}
		Expect(w.run(8*time.Second, w.servesAtLeast(2, 1))).To(BeTrue())
	})

	// When replicas with a slow member were kept, requests were routed to them
	// again every two seconds and had to be moved away each time.
	It("replaces a replica with a slow member by one without it, and uses the VM again once it has recovered", func() {
		startFleet(1, 1, 11)
		e := w.member("large", 3)
		e.slowdown = 5
		replica := e.vm.Member.Replica
		w.suspect(e.members[0])
		Expect(w.run(4*time.Second, func() bool {
			h := w.member("large", 0)
			return h != nil && h.vm.Member.Replica != replica && !slices.Contains(h.members, e.vm.ID)
		})).To(BeTrue())
		e.slowdown = 1
		w.run(3*time.Second, nil)
		for range 2 {
			w.member("large", 4).down = true
			w.suspect(w.stalledHead("large"))
			Expect(w.run(6*time.Second, w.servesAtLeast(1, 1))).To(BeTrue())
		}
	})

	// Guards against cutting off answers: a slow replica still makes progress, but its
	// head was ordered to leave at once, with 26 requests running.
	It("gives the requests of a replica with a slow member time to end or to move", func() {
		startFleet(1, 1, 11)
		w.requestTime = closeTimeout / 2
		e, head := w.member("large", 3), w.member("large", 0)
		e.slowdown = 5
		w.suspect(head.vm.ID)
		Expect(w.run(4*time.Second, func() bool { return head.vm.Member.State == fleet.MemberClosing })).To(BeTrue())
		Expect(w.run(4*time.Second, func() bool {
			h := w.member("large", 0)
			return h != nil && !slices.Contains(h.members, e.vm.ID)
		})).To(BeTrue())
	})

	It("keeps a slow replica if there is no VM to replace the slow member", func() {
		startFleet(1, 1, 9)
		e := w.member("large", 3)
		e.slowdown = 5
		before := e.vm.Member
		w.suspect(e.members[0])
		w.run(10*time.Second, nil)
		Expect(e.vm.Member).To(Equal(before))
		Expect(w.serving()).To(HaveKeyWithValue("large", 1))
	})

	// When every report of a silent replica, from each node, caused probes of all
	// members of the replica, 10,200 probes were sent in 50 s.
	It("probes the members of a silent replica once for all reports about it", func() {
		startFleet(1, 1, 11)
		head := w.member("large", 0)
		probes := 0
		for range 20 {
			v := fleet.NewView(w.config, w.now, w.snapshots[0].vms)
			for _, o := range w.planner.ProbeMembers(w.now, v, head.vm.ID) {
				probes++
				w.send([]Order{o})
			}
			w.now += 5 * time.Millisecond
		}
		Expect(probes).To(Equal(6))
	})

	// When a small node held the lease, its probes timed out because its own
	// process was delayed, and it declared healthy VMs dead.
	It("declares no VM dead because its own process was delayed", func() {
		startFleet(1, 1, 11)
		head := w.member("large", 0)
		v := fleet.NewView(w.config, w.now, w.snapshots[0].vms)
		for range 4 {
			for _, o := range w.planner.ProbeMembers(w.now, v, head.vm.ID) {
				Expect(w.planner.HandleResult(w.now, o, Result{Status: "timeout", ProcessDelayed: true})).To(BeEmpty())
			}
			w.now += suspectProbeInterval
		}
		Expect(w.planner.Dead()).To(BeEmpty())
	})

	It("does not reallocate replicas back and forth", func() {
		startFleet(2, 2, 11, 11)
		for range 3 {
			w.lastMemberIn("large", "d0").down = true
			w.suspect(w.stalledHead("large"))
			w.run(5*time.Second, nil)
		}
		w.run(10*time.Second, nil)
		before := w.planner.generation
		w.run(time.Minute, nil)
		Expect(w.planner.generation).To(Equal(before))
	})

	// When the VMs of a failed domain came back one by one, two loads of 12 s
	// began for a replica whose own VMs were back 0.2 s later.
	It("starts no load in a domain while its VMs are still coming back", func() {
		startFleet(1, 1, 11)
		before := w.coldJoins
		for i, staged := range []string{"small", "small", "large", "large", "large", "large", "large", "large"} {
			id := fmt.Sprintf("back-%d", i)
			w.add(id, "d1")
			w.engines[id].vm.Staged = []string{staged}
			w.run(400*time.Millisecond, nil)
		}
		Expect(w.run(5*time.Second, w.servesAtLeast(2, 1))).To(BeTrue())
		Expect(w.coldJoins).To(Equal(before))
	})

	It("starts loads within the weight store's rate once requests have come", func() {
		w = newWorld(1, 11, 11, 11, 11, 11, 11)
		w.gotRequests = true
		w.run(3*time.Minute, nil)
		for i, at := range w.loadStarts {
			n := 0
			for _, other := range w.loadStarts[i:] {
				if other-at <= 5*time.Second {
					n++
				}
			}
			Expect(n).To(BeNumerically("<=", 5.5*5*1.1+3))
		}
		Expect(len(w.loadStarts)).To(BeNumerically(">=", 54))
	})

	DescribeTable("keeps replicas complete and without shared members through random faults and late orders",
		func(seed uint64) {
			w = newWorld(seed, 11, 11, 11)
			w.delayedShare = 0.2
			w.run(30*time.Second, nil)
			w.gotRequests = true
			for i := range 40 {
				w.injectFault(i)
				w.run(time.Duration(w.rng.Int64N(int64(3*time.Second))), nil)
			}
			w.delayedShare = 0
			for i := range 11 {
				w.add(fmt.Sprintf("fresh-%02d", i), "fresh")
			}
			Expect(w.run(3*time.Minute, w.servesAtLeast(1, 1))).To(BeTrue())
		},
		Entry(nil, uint64(1)), Entry(nil, uint64(2)), Entry(nil, uint64(3)), Entry(nil, uint64(4)), Entry(nil, uint64(5)),
		Entry(nil, uint64(6)), Entry(nil, uint64(7)), Entry(nil, uint64(8)), Entry(nil, uint64(9)), Entry(nil, uint64(10)),
	)
	// Engines that don't check fencing numbers carry out what former holders ordered, up
	// to twelve seconds late. An engine that was restarted has also forgotten the
	// generations that it has seen.
	DescribeTable("keeps replicas so although half of the orders come late from former holders and no engine checks fencing numbers",
		func(seed uint64) {
			w = newWorld(seed, 8, 8, 8)
			w.run(30*time.Second, nil)
			w.gotRequests, w.delayedShare, w.lateOpens = true, 0.5, true
			for i := range 60 {
				w.planner.Reset(w.planner.term+1, w.now)
				if i%3 == 0 {
					w.restartEngine()
				}
				w.run(time.Duration(w.rng.Int64N(int64(4*time.Second))), nil)
			}
			w.delayedShare = 0
			Expect(w.run(3*time.Minute, w.servesAtLeast(1, 1))).To(BeTrue())
		},
		Entry(nil, uint64(1)), Entry(nil, uint64(2)), Entry(nil, uint64(3)), Entry(nil, uint64(4)),
		// With these, a member of an open replica joined another one while a replica of
		// a former holder was opened as soon as all of its members were ready.
		Entry(nil, uint64(8)), Entry(nil, uint64(19)), Entry(nil, uint64(20)), Entry(nil, uint64(22)), Entry(nil, uint64(27)), Entry(nil, uint64(30)),
	)
})

// restartEngine restarts one engine under its id: it belongs to no replica and has
// forgotten the generations that it has seen.
func (w *world) restartEngine() {
	ids := slices.Sorted(maps.Keys(w.engines))
	w.engines[ids[w.rng.IntN(len(ids))]].forget(w.now)
}

// forget lets an engine start anew.
func (e *engine) forget(now time.Duration) {
	e.vm.Boot, e.vm.Member, e.vm.Model, e.vm.LastModel = int64(now), fleet.Membership{}, "", ""
	e.accepted = 0
	e.members, e.lastGeneration, e.lastFence, e.readyAt, e.openAt, e.closedAt, e.brokenAt = nil, 0, 0, 0, 0, 0, 0
}

// stalledHead returns the head of an open replica of a model that lacks a
// member; empty if there is none.
func (w *world) stalledHead(model string) string {
	for id, e := range w.engines {
		if e.vm.Model == model && e.vm.Member.State == fleet.MemberOpen && !w.complete(e) {
			return id
		}
	}
	return ""
}

// injectFault stops an engine, changes whether it is listed, marks it as
// leaving, adds an engine or changes the lease's term, at random. It then
// reports the engine's replica as suspect.
func (w *world) injectFault(i int) {
	ids := slices.Sorted(maps.Keys(w.engines))
	e := w.engines[ids[w.rng.IntN(len(ids))]]
	switch w.rng.IntN(6) {
	case 0, 1:
		e.down = true
	case 2:
		e.unlisted = !e.unlisted
	case 3:
		e.vm.Leaving = true
	case 4:
		w.add(fmt.Sprintf("new-%d", i), e.vm.Domain)
	case 5:
		w.planner.Reset(w.planner.term+1, w.now)
	}
	if head := w.headOf(e); head != nil {
		w.suspect(head.vm.ID)
	}
}
