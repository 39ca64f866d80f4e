package router_test

import (
	"fmt"
	"runtime"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/balance"
	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/notice"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/router"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// at returns the time some milliseconds after start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// processOf returns the process of the upstream with an index.
func processOf(i int, boot string) port.Incarnation {
	return port.Incarnation{VM: port.VMID(fmt.Sprintf("vm%d", i)), Boot: boot}
}

// withProcesses returns upstreams whose processes have a boot identifier.
func withProcesses(n int, boot string) []balance.Upstream {
	all := upstreams(n)
	for i := range all {
		all[i].Process = processOf(i, boot)
	}
	return all
}

// pause reports a pause that the upstream with an index asks for.
func pause(s *router.Service, now time.Time, i int, d time.Duration) []kernel.Effect {
	return s.Handle(now, router.Noticed{Process: processOf(i, "b1"), Notice: notice.Notice{Pause: d}})
}

// replies returns the replies among effects by the ask.
func replies(effects []kernel.Effect) map[kernel.AskID]kernel.Message {
	out := map[kernel.AskID]kernel.Message{}
	for _, e := range effects {
		if r, ok := e.(kernel.Reply); ok {
			out[r.ID] = r.Msg
		}
	}
	return out
}

// confirmed reports whether a request may be sent to an upstream that was picked.
func confirmed(s *router.Service, now time.Time, u balance.Upstream) verdict.Reason {
	msg := s.Handle(now, router.Confirm{Upstream: u})[0].(kernel.Reply).Msg
	if e, ok := msg.(*verdict.Error); ok {
		Expect(e.Verdict).To(Equal(verdict.NotRun))
		return e.Reason
	}
	return ""
}

// reasonOf returns the reason of a refusal, empty for any other reply.
func reasonOf(m kernel.Message) verdict.Reason {
	if e, ok := m.(*verdict.Error); ok {
		return e.Reason
	}
	return ""
}

var _ = Describe("An upstream that asks for a pause", func() {
	var s *router.Service
	BeforeEach(func() {
		s = newRouter()
		s.Handle(start, router.UpstreamsChanged{Upstreams: withProcesses(2, "b1")})
	})

	// Guards against requests to an upstream in the pause that it asked for.
	It("gets none until its end, and then few at first", func() {
		pause(s, start, 0, 2*time.Second)
		for ms := 0; ms < 2000; ms += 10 {
			Expect(pick(s, at(ms), router.Pick{RequestID: fmt.Sprint(ms)})).To(Equal("r1"))
		}
		onPaused := func(ms int) (n int) {
			for i := range 400 {
				if pick(s, at(ms), router.Pick{RequestID: fmt.Sprint(ms, i)}) == "r0" {
					n++
				}
			}
			return n
		}
		Expect(onPaused(2000)).To(Equal(1))
		Expect(onPaused(2200)).To(Equal(1), "the second of two")
		Expect(onPaused(3000)).To(BeNumerically(">", 10))
	})

	// Guards against a shorter Retry-After or another answer that ends a pause.
	It("keeps its pause whatever it says later and whatever lists say", func() {
		pause(s, start, 0, 2*time.Second)
		pause(s, at(100), 0, time.Second)
		pause(s, at(100), 0, 0)
		s.Handle(at(200), router.UpstreamsChanged{Upstreams: withProcesses(2, "b1")[1:]})
		s.Handle(at(300), router.UpstreamsChanged{Upstreams: withProcesses(2, "b1")})
		s.Handle(at(300), router.LoadReported{ID: "r1", Running: 100, LoadAt: at(300)})
		Expect(pick(s, at(1999), router.Pick{RequestID: "q"})).To(Equal("r1"))
	})

	// Guards against a mark on an address, which a new process may have.
	It("keeps it in another replica, and loses it with its process", func() {
		pause(s, start, 0, 2*time.Second)
		again := withProcesses(2, "b1")[:1]
		again[0].ID, again[0].Generation = "r9", 9
		s.Handle(at(100), router.UpstreamsChanged{Upstreams: again})
		Expect(reasonOf(sendPick(s, at(200), router.Pick{}))).To(Equal(verdict.ReasonAllPaused))
		again[0].Process.Boot = "b2"
		s.Handle(at(300), router.UpstreamsChanged{Upstreams: again})
		Expect(pick(s, at(400), router.Pick{RequestID: "q"})).To(Equal("r9"))
	})

	// Guards against a pause that counts as a fault: ejection of an upstream that paused.
	DescribeTable("is not ejected for the requests that it refused", func(notTaken bool, want string) {
		s.Handle(start, router.UpstreamsChanged{Upstreams: withProcesses(10, "b1")})
		others := []string{"r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8"}
		for i := range 100 {
			for _, exclude := range [][]string{{"r0"}, append(others, "r9")} {
				id := pick(s, start, router.Pick{RequestID: fmt.Sprint(i), Exclude: exclude})
				s.Handle(start, router.Finished{RequestID: fmt.Sprint(i), Upstream: id, OK: id != "r0", NotTaken: id == "r0" && notTaken})
			}
		}
		s.Handle(start, router.LoadReported{ID: "r9", Running: 4, LoadAt: start})
		Expect(pick(s, start, router.Pick{RequestID: "q", Exclude: others})).To(Equal(want))
	},
		Entry("by its announcement", true, "r0"),
		Entry("unlike for failures", false, "r9"),
	)

	// Guards against a node that admits requests for the slots of paused upstreams and
	// sends them all to the others.
	It("does not count for admission unless all pause", func() {
		before := s.Share(start, "m")
		pause(s, start, 0, 2*time.Second)
		Expect(s.Share(at(1), "m")).To(Equal((before + 1) / 2))
		pause(s, start, 1, 2*time.Second)
		Expect(s.Share(at(1), "m")).To(Equal(before))
	})

	// Guards against a request that is sent although its upstream paused, left or ended
	// between the pick and the sending.
	It("gets none that was picked before", func() {
		u := sendPick(s, start, router.Pick{RequestID: "q", Exclude: []string{"r1"}}).(router.Picked).Upstream
		Expect(confirmed(s, at(1), u)).To(BeEmpty())
		pause(s, at(2), 0, time.Second)
		Expect(confirmed(s, at(1001), u)).To(Equal(verdict.ReasonUpstreamPaused))
		Expect(confirmed(s, at(1002), u)).To(BeEmpty())
		s.Handle(at(1100), router.Noticed{Process: u.Process, Notice: notice.Notice{Leaving: true}})
		Expect(confirmed(s, at(1101), u)).To(Equal(verdict.ReasonUpstreamLeaving))
		s.Handle(at(1200), router.UpstreamsChanged{Upstreams: withProcesses(2, "b1")[1:]})
		Expect(confirmed(s, at(1201), u)).To(Equal(verdict.ReasonUpstreamGone))
		s.Handle(at(1300), router.UpstreamsChanged{Upstreams: withProcesses(2, "b2")})
		Expect(confirmed(s, at(1301), u)).To(Equal(verdict.ReasonUpstreamGone), "another process")
	})

	// Guards against a request that a node sends late, after it was paused itself.
	It("gets none whose eligibility has expired since", func() {
		list := withProcesses(1, "b1")
		list[0].EligibleUntil = at(3000)
		s.Handle(start, router.UpstreamsChanged{Upstreams: list})
		u := sendPick(s, start, router.Pick{RequestID: "q"}).(router.Picked).Upstream
		Expect(confirmed(s, at(2999), u)).To(BeEmpty())
		Expect(confirmed(s, at(60_000), u)).To(Equal(verdict.ReasonUpstreamGone))
	})
})

var _ = Describe("An upstream that is leaving", func() {
	// Guards against requests to an upstream that said so itself, while lists still
	// name it and requests run there.
	It("gets no request until its process is another one", func() {
		s := newRouter()
		s.Handle(start, router.UpstreamsChanged{Upstreams: withProcesses(2, "b1")})
		for i := range 20 {
			pick(s, start, router.Pick{RequestID: fmt.Sprint(i)})
		}
		s.Handle(start, router.Noticed{Process: processOf(0, "b1"), Notice: notice.Notice{Leaving: true}})
		s.Handle(at(100), router.Noticed{Process: processOf(0, "b1")})
		s.Handle(at(100), router.UpstreamsChanged{Upstreams: withProcesses(2, "b1")})
		for i := range 20 {
			Expect(pick(s, at(200), router.Pick{RequestID: fmt.Sprint("later", i)})).To(Equal("r1"))
		}
		m := sendPick(s, at(200), router.Pick{Exclude: []string{"r1"}, Deadline: at(60_000)})
		Expect(reasonOf(m)).To(Equal(verdict.ReasonNoReplica), "leaving has no end to wait for")
		s.Handle(at(300), router.UpstreamsChanged{Upstreams: withProcesses(2, "b2")})
		Expect(pick(s, at(400), router.Pick{Exclude: []string{"r1"}})).To(Equal("r0"))
	})

	// Guards against a late answer of an earlier process that marks its successor.
	It("is marked by its process only", func() {
		s := newRouter()
		s.Handle(start, router.UpstreamsChanged{Upstreams: withProcesses(1, "b2")})
		s.Handle(start, router.Noticed{Process: processOf(0, "b1"), Notice: notice.Notice{Leaving: true, Pause: time.Second}})
		Expect(pick(s, at(1), router.Pick{})).To(Equal("r0"))
	})
})

var _ = Describe("Requests while all upstreams pause", func() {
	var s *router.Service
	BeforeEach(func() {
		s = newRouter()
		s.Handle(start, router.UpstreamsChanged{Upstreams: withProcesses(2, "b1")})
		pause(s, start, 0, 2*time.Second)
		pause(s, start, 1, 3*time.Second)
	})
	// timers holds the timer messages that are due, by their times in ms.
	var timers map[int][]kernel.Message
	BeforeEach(func() { timers = map[int][]kernel.Message{} })
	perform := func(ms int, effects []kernel.Effect) map[kernel.AskID]kernel.Message {
		for _, e := range effects {
			if t, ok := e.(kernel.SetTimer); ok {
				Expect(t.To).To(Equal(router.Name))
				due := ms + int(t.After.Milliseconds())
				timers[due] = append(timers[due], t.Msg)
			}
		}
		return replies(effects)
	}
	// ask sends a Pick message and returns its reply, nil if the request waits.
	ask := func(ms, id int, p router.Pick) kernel.Message {
		p.Ask, p.RequestID, p.Pool = kernel.AskID(id), fmt.Sprint(id), "m"
		return perform(ms, s.Handle(at(ms), p))[p.Ask]
	}
	// advance delivers the timer messages that are due in a time and returns when the
	// waiting requests were sent, by their asks.
	advance := func(from, to int) map[kernel.AskID]int {
		got := map[kernel.AskID]int{}
		for ms := from; ms <= to; ms++ {
			for _, msg := range timers[ms] {
				for id, m := range perform(ms, s.Handle(at(ms), msg)) {
					Expect(m).To(BeAssignableToTypeOf(router.Picked{}))
					got[id] = ms
				}
			}
		}
		return got
	}

	// Guards against an advice to callers that is not the node's own reasoning.
	It("are refused at once if no pause ends in time, with its earliest end", func() {
		m := ask(500, 1, router.Pick{Deadline: at(2400), ExpectedWork: time.Second})
		Expect(reasonOf(m)).To(Equal(verdict.ReasonAllPaused))
		Expect(m.(*verdict.Error).Verdict).To(Equal(verdict.NotRun))
		distinct := map[time.Duration]bool{}
		for i := range 50 {
			m := ask(500, i, router.Pick{Deadline: at(1000)})
			advised := m.(*verdict.Error).RetryAfter
			Expect(advised).To(BeNumerically(">=", 1500*time.Millisecond))
			Expect(advised).To(BeNumerically("<=", 3500*time.Millisecond))
			distinct[advised] = true
		}
		Expect(len(distinct)).To(BeNumerically(">", 10), "callers must not return together")
	})

	// Guards against waiting requests that are sent all at once, or out of order.
	It("wait in order for the earliest end, and are sent in steps", func() {
		for i := range 4 {
			Expect(ask(500, i+1, router.Pick{Deadline: at(60_000)})).To(BeNil())
		}
		Expect(advance(500, 2150)).To(Equal(map[kernel.AskID]int{1: 2000}))
		Expect(ask(2150, 5, router.Pick{Deadline: at(60_000)})).To(BeNil(), "it comes after those that wait")
		Expect(advance(2151, 2399)).To(Equal(map[kernel.AskID]int{2: 2200}))
		Expect(advance(2400, 2599)).To(Equal(map[kernel.AskID]int{3: 2400, 4: 2400}))
		finished := router.Finished{RequestID: "1", Upstream: "r0", OK: true}
		Expect(replies(s.Handle(at(2600), finished))).To(HaveKey(kernel.AskID(5)))
	})

	It("wait in a bounded number", func() {
		refused := 0
		for i := range 2000 {
			if m := ask(500, i+1, router.Pick{Deadline: at(60_000)}); m != nil {
				Expect(reasonOf(m)).To(Equal(verdict.ReasonAllPaused))
				refused++
			}
		}
		Expect(refused).To(Equal(2000 - 1024))
	})

	// Guards against requests that count as running although their callers went away.
	It("are forgotten when they are withdrawn, waiting or picked", func() {
		ask(500, 1, router.Pick{Deadline: at(60_000)})
		ask(500, 2, router.Pick{Deadline: at(60_000)})
		s.Handle(at(600), router.CancelPick{Ask: 1, RequestID: "1"})
		Expect(advance(500, 2000)).To(Equal(map[kernel.AskID]int{2: 2000}))
		s.Handle(at(2001), router.CancelPick{Ask: 2, RequestID: "2"})
		Expect(s.FreeSlots("m")).To(Equal(8))
	})
})

// Guards against a table that keeps the marks of processes that have ended.
var _ = Describe("The memory of what upstreams announced", func() {
	It("is some MB for 10,000 processes, also when others come after them", func() {
		s := newRouter()
		before := heapBytes()
		var held []int64
		for round := range 10 {
			now := at(round * 120_000)
			for i := range 10_000 {
				process := processOf(i, fmt.Sprint("0190b6a2-7b8e-7c11-9a55-1f2e3d4c5b6a", round))
				s.Handle(now, router.Noticed{Process: process, Notice: notice.Notice{Pause: time.Minute}})
			}
			held = append(held, heapBytes()-before)
			s.Handle(now.Add(110*time.Second), router.UpstreamsChanged{Upstreams: withProcesses(2, "b1")})
		}
		AddReportEntry("bytes", held)
		Expect(held).To(HaveEach(BeNumerically("<", 8<<20)))
	})
})

// heapBytes returns the live bytes of the heap.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
