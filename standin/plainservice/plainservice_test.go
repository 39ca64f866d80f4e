package plainservice_test

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/port/porthttp"
	"github.com/tamarackcleat/tamarackcleat/standin/plainservice"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

var _ = Describe("the plain service stand-in", func() {
	var (
		service *plainservice.Service
		call    func(ctx context.Context, key string) (port.CallResponse, error)
		report  func() port.Report
	)
	ctx := context.Background()

	BeforeEach(func() {
		service = plainservice.New(plainservice.Settings{VM: "p-1", Clock: time.Now})
		server := httptest.NewServer(service)
		DeferCleanup(server.Close)
		address := strings.TrimPrefix(server.URL, "http://")
		upstream := porthttp.NewUpstream(nil)
		call = func(ctx context.Context, key string) (port.CallResponse, error) {
			return upstream.Call(ctx, address, port.CallRequest{
				RequestID: "r1", Class: "confirm", IdempotencyKey: key, Body: json.RawMessage(`{"wall":4}`),
			})
		}
		report = func() port.Report {
			r, err := upstream.Report(ctx, address)
			Expect(err).NotTo(HaveOccurred())
			return r
		}
	})

	It("answers with the body of the call and counts effects by key", func() {
		for _, key := range []string{"k", "k", ""} {
			_, err := call(ctx, key)
			Expect(err).NotTo(HaveOccurred())
		}
		answer, err := call(ctx, "other")
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Body).To(MatchJSON(`{"effect":1,"vm":"p-1","request":{"wall":4}}`))
		Expect(service.Effects()).To(Equal(plainservice.Effects{ByKey: map[string]int{"k": 2, "other": 1}, Unkeyed: 1}))
	})

	DescribeTable("fails the next call only", func(faults string, want verdict.Verdict, effects int, restarts bool) {
		before := report().Boot
		Expect(service.Faults.SetJSON(faults)).To(Succeed())
		_, err := call(ctx, "k")
		Expect(verdict.FromError(err).Verdict).To(Equal(want))
		Expect(service.Effects().ByKey["k"]).To(Equal(effects))
		Expect(report().Boot != before).To(Equal(restarts))
		_, err = call(ctx, "k")
		Expect(err).NotTo(HaveOccurred())
	},
		Entry("by refusing it as not run", `{"refuse_next":1}`, verdict.NotRun, 0, false),
		Entry("by losing the answer after the effect", `{"lose_answers":1}`, verdict.MayHaveRun, 1, false),
		Entry("by crashing before the effect", `{"crash_before":1}`, verdict.MayHaveRun, 0, true),
		Entry("by crashing after the effect", `{"crash_after":1}`, verdict.MayHaveRun, 1, true),
	)

	It("refuses new calls while leaving, and has left once its calls have ended", func() {
		Expect(service.Faults.SetJSON(`{"hang_answers":1}`)).To(Succeed())
		cancelable, cancel := context.WithCancel(ctx)
		go func() { _, _ = call(cancelable, "k") }()
		Eventually(func() int { return service.Effects().ByKey["k"] }).Should(Equal(1))
		left := make(chan struct{})
		go func() {
			service.Leave(ctx)
			close(left)
		}()
		Eventually(report).Should(HaveField("State", port.EngineLeaving))
		_, err := call(ctx, "other")
		Expect(verdict.FromError(err).Verdict).To(Equal(verdict.NotRun))
		Expect(left).NotTo(BeClosed())
		cancel()
		Eventually(left).Should(BeClosed())
	})
})
