package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/tamarackcleat/tamarackcleat/balance"
	"github.com/tamarackcleat/tamarackcleat/health"
	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/notice"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/port/porthttp"
	"github.com/tamarackcleat/tamarackcleat/router"
	"github.com/tamarackcleat/tamarackcleat/standin/fault"
	"github.com/tamarackcleat/tamarackcleat/standin/plainservice"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// heeded returns what a VM counted of the requests that it did not want.
func heeded(vm http.Handler) fault.Heeded {
	w := httptest.NewRecorder()
	vm.ServeHTTP(w, httptest.NewRequest(http.MethodGet, fault.NoticesPath, nil))
	var h fault.Heeded
	Expect(json.Unmarshal(w.Body.Bytes(), &h)).To(Succeed())
	return h
}

var _ = Describe("What an upstream says of itself", func() {
	var posted []kernel.Message
	var l *listener
	known := port.Incarnation{VM: "v", Boot: "b1"}
	BeforeEach(func() {
		posted = nil
		l = &listener{
			post:   func(_ string, m kernel.Message) { posted = append(posted, m) },
			stats:  newStats(metrics.NewRegistry()),
			logger: slog.New(slog.DiscardHandler),
		}
	})

	// Guards against a mark that the process which answered escapes because the node
	// knew only its predecessor.
	It("counts for the process that was meant and for the one that answered", func() {
		said := porthttp.Said{Notice: notice.Notice{Pause: time.Second}, Boot: "b2"}
		l.heard(known, said)
		Expect(posted).To(ConsistOf(
			router.Noticed{Process: known, Notice: said.Notice},
			router.Noticed{Process: port.Incarnation{VM: "v", Boot: "b2"}, Notice: said.Notice},
		))
	})

	It("is passed on as leaving to health checking too", func() {
		said := porthttp.Said{Notice: notice.Notice{Leaving: true}}
		l.heard(known, said)
		Expect(posted).To(ConsistOf(router.Noticed{Process: known, Notice: said.Notice}, health.Announced{Process: known}))
	})

	It("is counted if it can't be used", func() {
		l.heard(known, porthttp.Said{Notice: notice.Notice{Unused: notice.Negative}})
		Expect(posted).To(BeEmpty())
		Expect(metrics.GetOrRegisterCounter("upstream.unused_word.negative", l.stats.registry).Count()).To(BeEquivalentTo(1))
	})
})

// Guards against calls that reach a VM in a pause that it asked for, and against
// refusals of callers although the pause ends in time.
var _ = Describe("A plain service whose only VM pauses and then leaves", func() {
	It("gets no call in its pause, after which the calls are served in time, and none after leaving", func() {
		c := newCluster()
		c.addPlain("bookings")
		n := c.addNode()
		c.publish(0)
		call := func() int {
			status, _ := n.confirm(newKey(), `{}`)
			return status
		}
		Eventually(call, longTimeout, "100ms").Should(Equal(http.StatusOK))

		c.plainService.Faults.Update(func(f *plainservice.Faults) { f.PauseMillis = 1500 })
		statuses := map[int]int{}
		var mu sync.Mutex
		var wg sync.WaitGroup
		for i := range 30 {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 30 * time.Millisecond)
				status := call()
				mu.Lock()
				defer mu.Unlock()
				statuses[status]++
			})
		}
		wg.Wait()
		h := heeded(c.plainService)
		Expect(h.Pauses).To(Equal(1))
		Expect(h.Refused).To(BeNumerically(">", 0))
		Expect(h.MostInPause).To(BeZero(), fmt.Sprint(h))
		Expect(statuses).To(Equal(map[int]int{http.StatusOK: 30}))

		c.plainService.Faults.Update(func(f *plainservice.Faults) { f.AnnounceLeaving = true })
		Expect(call()).To(BeElementOf(http.StatusOK, http.StatusServiceUnavailable), "an answer to a probe may have said so")
		Expect(call()).To(Equal(http.StatusServiceUnavailable))
		Expect(heeded(c.plainService).AfterLeavingMillis).To(BeEmpty())
	})
})

// Guards against a request that is written although the router would no longer pick its
// upstream, and against a resend that counts it as sent.
var _ = Describe("A request whose upstream pauses between the pick and the sending", func() {
	It("is not sent, is known as withheld, and its trace says so", func() {
		received := 0
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received++ }))
		DeferCleanup(server.Close)
		selection := router.New(router.Config{Node: "n"})
		n := &Node{
			upstream: porthttp.NewUpstream(nil), kernel: kernel.NewNode(time.Now), logger: slog.New(slog.DiscardHandler),
			traces: newTraces("n"), stats: newStats(metrics.NewRegistry()),
		}
		n.listener = &listener{post: n.kernel.Post, stats: n.stats, logger: n.logger}
		Expect(n.kernel.Register(selection)).To(Succeed())
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go n.kernel.Run(ctx)
		u := balance.Upstream{
			ID: "v", Pool: "p", Address: strings.TrimPrefix(server.URL, "http://"), Slots: 1,
			Process: port.Incarnation{VM: "v", Boot: "b1"},
		}
		n.kernel.Post(router.Name, router.UpstreamsChanged{Upstreams: []balance.Upstream{u}})
		q := &request{node: n, id: "r1", trace: n.traces.begin("r1", "", "")}
		send := func() *verdict.Error {
			_, err := n.upstream.Call(q.send(ctx, u), u.Address, port.CallRequest{RequestID: q.id})
			return verdict.FromError(err)
		}
		Expect(send().Reason).To(Equal(verdict.ReasonUpstreamLost), "the server's answer is no answer")
		Expect(received).To(Equal(1))
		n.kernel.Post(router.Name, router.Noticed{Process: u.Process, Notice: notice.Notice{Pause: time.Hour}})
		failure := send()
		Expect(failure.Reason).To(Equal(verdict.ReasonUpstreamPaused))
		Expect(failure.Verdict).To(Equal(verdict.NotRun))
		Expect(q.wasWithheld(failure)).To(BeTrue())
		Expect(received).To(Equal(1))
		explained, _ := n.traces.explain("r1")
		Expect(explained.Events).To(ContainElement(And(HaveField("Step", "withheld"), HaveField("Upstream", "v"),
			HaveField("Detail", MatchRegexp("asked for a pause .* ago")))))
	})
})
