package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/bootclock"
	"github.com/tamarackcleat/tamarackcleat/fleet"
	"github.com/tamarackcleat/tamarackcleat/gossip"
	"github.com/tamarackcleat/tamarackcleat/keyed"
	"github.com/tamarackcleat/tamarackcleat/notice"
	"github.com/tamarackcleat/tamarackcleat/slowstart"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// Guards against cold upstreams that crash because they get requests like warm ones.
var _ = Describe("A cold upstream", func() {
	// perSecond gives a bound of 7, of which this node may use 3.
	const perSecond, allowed = 7, 3
	var (
		n         *Node
		report    func(...fleet.VM)
		published int
		service   fleet.Service
	)
	a := fleet.VM{ID: "a", Boot: 1, Address: "192.0.2.1:1", Zone: "za"}
	b := fleet.VM{ID: "b", Boot: 1, Address: "192.0.2.2:1", Zone: "zb"}
	cold := func(vm fleet.VM, remaining time.Duration) fleet.VM {
		vm.ColdRemaining = remaining
		return vm
	}
	setService := func(s fleet.Service) {
		service = s
		c := fleet.NewConfig(1, nil)
		c.Services = map[string]fleet.Service{"desk": s}
		n.state.builder.SetConfig(c)
	}
	place := func() (*try, *verdict.Error) {
		f := forwarderFor(n, time.Second)
		f.service = service
		return f.place(context.Background())
	}
	BeforeEach(func() {
		n, report = newPlainNode()
		for _, f := range n.followedStreams {
			f.stream.Apply(keyed.Batch{Snapshot: true, SentAt: bootclock.Now()})
		}
		n.coldStart = slowstart.New("n", n.quorum)
		n.coldStart.Join(-time.Hour)
		setService(fleet.Service{Name: "desk", ColdTime: time.Minute, ColdPerSecond: perSecond})
		published = 0
		n.OnChange(func() { published++ })
	})

	It("gets a request only if no warm one takes it, and few of them", func() {
		report(cold(a, 3*time.Second), b)
		t, e := place()
		Expect(e).To(BeNil())
		Expect(t.assignment.Target.ID).To(Equal("b"))
		n.balancer.Pause(time.Now(), b.Incarnation(), time.Minute)
		var assigned []*try
		for range allowed + 1 {
			t, e := place()
			Expect(e).To(BeNil())
			Expect(t.assignment.Target.ID).To(Equal("a"))
			assigned = append(assigned, t)
		}
		for _, t := range assigned[:allowed] {
			Expect(n.mayWrite(t)).To(Succeed())
		}
		err := n.mayWrite(assigned[allowed])
		Expect(errors.Is(err, errUpstreamCold)).To(BeTrue())
		f := forwarderFor(n, time.Second)
		Expect(f.notSent(assigned[allowed], err).Reason).To(Equal(verdict.ReasonUpstreamCold))
		Expect(assigned[allowed].withheld).To(BeTrue())
	})

	It("is the reason of a refusal at once if all are cold and this node may not send", func() {
		n.coldStart = slowstart.New("n", n.quorum)
		report(cold(a, 3*time.Second))
		_, e := place()
		Expect(e.Reason).To(Equal(verdict.ReasonUpstreamCold))
		Expect(e.Verdict).To(Equal(verdict.NotRun))
		Expect(e.RetryAfter).To(BeNumerically(">", 0))
	})

	It("is seen at once, prolonged at once, and not anew with each report", func() {
		report(a)
		Expect(published).To(Equal(1))
		for _, remaining := range []time.Duration{3 * time.Second, 1800 * time.Millisecond, 600 * time.Millisecond, 0, 0} {
			report(cold(a, remaining))
		}
		Expect(published).To(Equal(2))
		vm, _ := n.View().VM("a")
		Expect(vm.ColdUntil).To(BeNumerically(">=", bootclock.Now()+2*time.Second), "a report without coldness may be late")
		for range 2 {
			report(cold(a, 3*time.Minute))
		}
		Expect(published).To(Equal(3))
		n.heed(a.Incarnation(), notice.Notice{Cold: time.Hour}, "1")
		n.heed(a.Incarnation(), notice.Notice{Cold: time.Hour}, "2")
		Expect(published).To(Equal(4))
		n.heed(fleet.Incarnation{ID: "a", Boot: 7}, notice.Notice{Cold: 2 * time.Hour}, "3")
		Expect(published).To(Equal(4))
	})

	It("is told to peers by those that it told, who don't prolong it for each other", func() {
		report(a, b)
		n.heed(a.Incarnation(), notice.Notice{Cold: 3 * time.Second}, "1")
		n.handleMessage(gossip.Message{Node: "p", Cold: []gossip.ColdUpstream{{Incarnation: a.Incarnation(), RemainingMs: 9000}, {Incarnation: b.Incarnation(), RemainingMs: 3000}}})
		vm, _ := n.View().VM("b")
		Expect(vm.ColdUntil).To(BeNumerically(">", bootclock.Now()+2*time.Second))
		told := n.localMessage().Cold
		Expect(told).To(HaveLen(1))
		Expect(told[0].Incarnation).To(Equal(a.Incarnation()))
		Expect(told[0].RemainingMs).To(BeNumerically("<=", 3000))
	})

	It("is one whose zone has returned from an evacuation", func() {
		n.state.evacuationPrefix = "evacuate/"
		report(a, b)
		n.state.applyConfig(keyed.Batch{Records: []keyed.Record{{Key: "evacuate/za", Value: []byte("{}")}}})
		n.state.applyConfig(keyed.Batch{Records: []keyed.Record{{Key: "evacuate/za"}}})
		for range 4 {
			t, e := place()
			Expect(e).To(BeNil())
			Expect(t.assignment.Target.ID).To(Equal("b"))
		}
	})

	It("is like a warm one if its service has no cold time", func() {
		setService(fleet.Service{Name: "desk"})
		n.coldStart = slowstart.New("n", n.quorum)
		report(cold(a, time.Minute))
		for range 2 * allowed {
			t, e := place()
			Expect(e).To(BeNil())
			Expect(n.mayWrite(t)).To(Succeed())
		}
	})
})
