package gateway

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/api"
	"github.com/tamarackcleat/tamarackcleat/bootclock"
	"github.com/tamarackcleat/tamarackcleat/fleet"
	"github.com/tamarackcleat/tamarackcleat/keyed"
	"github.com/tamarackcleat/tamarackcleat/slowstart"
)

// Guards against explanations that use up permits of cold upstreams, or that give another
// outcome than a request gets.
var _ = Describe("The explanation of a route with cold and paused upstreams", func() {
	It("takes no permit and has the outcome of a request", func() {
		n, report := newPlainNode()
		for _, f := range n.followedStreams {
			f.stream.Apply(keyed.Batch{Snapshot: true, SentAt: bootclock.Now()})
		}
		n.coldStart = slowstart.New("n", n.quorum)
		n.coldStart.Join(-time.Hour)
		// A bound of 7 leaves 3 permits.
		service := fleet.Service{Name: "desk", ColdTime: time.Minute, ColdPerSecond: 7}
		c := fleet.NewConfig(1, []fleet.Route{{Name: "r", Host: "h", Prefix: "/", Split: []fleet.WeightedService{{Service: "desk", Weight: 1}}}})
		c.Services = map[string]fleet.Service{"desk": service}
		n.state.builder.SetConfig(c)
		a := fleet.VM{ID: "a", Boot: 1, Address: "192.0.2.1:1", Service: "desk", ColdRemaining: time.Minute}
		b := fleet.VM{ID: "b", Boot: 1, Address: "192.0.2.2:1", Service: "desk"}
		report(a, b)
		explain := func() (api.RouteExplanation, map[string]string) {
			e, excluded := n.explainRoute(&Request{Host: "h", Path: "/x"}, nil), map[string]string{}
			for _, c := range e.Candidates {
				excluded[c.Upstream] = c.Excluded
			}
			return e, excluded
		}
		place := func() *forwarder {
			f := forwarderFor(n, time.Second)
			f.service = service
			return f
		}
		_, excluded := explain()
		Expect(excluded).To(Equal(map[string]string{"a": api.ExcludedColdNotNeeded, "b": ""}))
		n.balancer.Pause(time.Now(), b.Incarnation(), time.Minute)
		for range 20 {
			e, excluded := explain()
			Expect(e.Outcome).To(Equal(api.RouteSent))
			Expect(excluded).To(Equal(map[string]string{"a": "", "b": "in_pause"}))
		}
		for range 3 {
			t, e := place().place(context.Background())
			Expect(e).To(BeNil())
			Expect(n.mayWrite(t)).To(Succeed())
		}
		e, excluded := explain()
		Expect(excluded).To(HaveKeyWithValue("a", api.ExcludedColdNoPermit))
		_, refusal := place().place(context.Background())
		Expect(e.Outcome).To(Equal(api.RouteRefused))
		Expect(e.Reason).To(Equal(refusal.Reason))
		Expect(n.metricLines()).NotTo(ContainElement(ContainSubstring("pause.waited")))
	})

	It("says that a request waits for a pause that ends in time", func() {
		n, report := newPlainNode()
		c := fleet.NewConfig(1, []fleet.Route{{Name: "r", Host: "h", Prefix: "/", Split: []fleet.WeightedService{{Service: "desk", Weight: 1}}}})
		c.Services = map[string]fleet.Service{"desk": {Name: "desk"}}
		n.state.builder.SetConfig(c)
		vm := fleet.VM{ID: "a", Boot: 1, Address: "192.0.2.1:1", Service: "desk"}
		report(vm)
		n.balancer.Pause(time.Now(), vm.Incarnation(), 5*time.Second)
		Expect(n.explainRoute(&Request{Host: "h", Path: "/x"}, nil).Outcome).To(Equal(api.RouteWaits))
		Expect(n.explainRoute(&Request{Host: "h", Path: "/x", Timeout: time.Second}, nil).Outcome).To(Equal(api.RouteRefused))
	})
})
