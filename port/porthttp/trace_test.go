package porthttp_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/notice"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/port/porthttp"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// answerWith returns a handler that answers with a status, headers and a body.
func answerWith(status int, body string, headers ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		for i := 0; i < len(headers); i += 2 {
			w.Header().Add(headers[i], headers[i+1])
		}
		fixedResponse(status, "application/json", body)(w, r)
	}
}

// listen returns a context whose Trace stores what an upstream says.
func listen(said *porthttp.Said) context.Context {
	return porthttp.WithTrace(context.Background(), &porthttp.Trace{GotHead: func(s porthttp.Said) { *said = s }})
}

// Guards against an announcement that is read in some kinds of answers only.
var _ = Describe("What an upstream says of itself", func() {
	DescribeTable("is read in every kind of answer", func(status int, body string) {
		address, _ := startServer(answerWith(status, body, port.HeaderLeaving, "1", port.HeaderBoot, "b2"))
		upstream := porthttp.NewUpstream(nil)
		for name, send := range map[string]func(context.Context) error{
			"call": func(ctx context.Context) error {
				_, err := upstream.Call(ctx, address, port.CallRequest{RequestID: "r1"})
				return err
			},
			"generate": func(ctx context.Context) error {
				s, err := upstream.Generate(ctx, address, port.GenerateRequest{RequestID: "r1"})
				if err == nil {
					s.Close()
				}
				return err
			},
			"report": func(ctx context.Context) error { _, err := upstream.Report(ctx, address); return err },
			"order":  func(ctx context.Context) error { return upstream.Order(ctx, address, port.Order{}) },
			"cancel": func(ctx context.Context) error { return upstream.Cancel(ctx, address, "r1") },
		} {
			var said porthttp.Said
			_ = send(listen(&said))
			Expect(said).To(Equal(porthttp.Said{Notice: notice.Notice{Leaving: true}, Boot: "b2"}), name)
		}
	},
		Entry("success", 200, `{"request_id":"r1"}`),
		Entry("refusal", 503, refusal),
		Entry("conflict", 409, refusal),
		Entry("failure", 500, "failed"),
	)

	It("is read at the head of a stream", func() {
		address, _ := startServer(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(port.HeaderLeaving, "1")
			w.Header().Set("Content-Type", "text/event-stream")
			w.WriteHeader(http.StatusOK)
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		})
		var said porthttp.Said
		s, err := porthttp.NewUpstream(nil).Generate(listen(&said), address, port.GenerateRequest{RequestID: "r1"})
		Expect(err).NotTo(HaveOccurred())
		s.Close()
		Expect(said.Leaving).To(BeTrue())
	})

	DescribeTable("is a pause only in a refusal with a Retry-After", func(status int, want time.Duration, problem notice.Problem, values ...string) {
		var headers []string
		for _, v := range values {
			headers = append(headers, "Retry-After", v)
		}
		address, _ := startServer(answerWith(status, refusal, headers...))
		var said porthttp.Said
		_, _ = porthttp.NewUpstream(nil).Call(listen(&said), address, port.CallRequest{RequestID: "r1"})
		Expect(said.Notice).To(Equal(notice.Notice{Pause: want, Unused: problem}))
	},
		Entry("503", 503, 1500*time.Millisecond, notice.Problem(""), "1.5"),
		Entry("429", 429, 3*time.Second, notice.Problem(""), "3"),
		Entry("503 without it", 503, time.Duration(0), notice.Problem("")),
		Entry("409", 409, time.Duration(0), notice.Problem(""), "3"),
		Entry("an unreadable one", 503, time.Duration(0), notice.Unreadable, "soon"),
		Entry("a negative one", 503, time.Duration(0), notice.Negative, "-2"),
		Entry("an absurd one", 503, notice.MaxPause, notice.TooLong, "1e12"),
		Entry("two of them", 503, 4*time.Second, notice.Repeated, "4", "1"),
	)

	// Guards against an upstream's pause that is handed to callers as the node's advice.
	It("is the reason of the refusal and no advice to callers", func() {
		address, _ := startServer(answerWith(503, refusal, "Retry-After", "3", port.HeaderLeaving, "1"))
		_, err := porthttp.NewUpstream(nil).Call(context.Background(), address, port.CallRequest{RequestID: "r1"})
		Expect(err).To(haveVerdict(verdict.NotRun, verdict.ReasonUpstreamPaused))
		Expect(verdict.FromError(err).RetryAfter).To(BeZero())
		Expect(verdict.FromError(err).Detail).To(ContainSubstring("3s"))
		address, _ = startServer(answerWith(503, refusal, port.HeaderLeaving, "1"))
		_, err = porthttp.NewUpstream(nil).Call(context.Background(), address, port.CallRequest{RequestID: "r1"})
		Expect(err).To(haveVerdict(verdict.NotRun, verdict.ReasonUpstreamLeaving))
	})
})

// Guards against a request that is written although its upstream paused or left while
// the request waited for a connection.
var _ = Describe("A request that is withheld before it is written", func() {
	It("does not reach the upstream, on a new or a kept connection", func() {
		address, requests := startServer(fixedResponse(200, "application/json", `{"request_id":"r1","body":{}}`))
		upstream := porthttp.NewUpstream(nil)
		withheld := porthttp.WithTrace(context.Background(), &porthttp.Trace{
			BeforeWrite: func() *verdict.Error { return verdict.Refuse(verdict.ReasonUpstreamPaused, "paused") },
		})
		free := porthttp.WithTrace(context.Background(), &porthttp.Trace{BeforeWrite: func() *verdict.Error { return nil }})
		for range 20 {
			_, err := upstream.Call(withheld, address, port.CallRequest{RequestID: "r1"})
			Expect(err).To(haveVerdict(verdict.NotRun, verdict.ReasonUpstreamPaused))
			_, err = upstream.Generate(withheld, address, port.GenerateRequest{RequestID: "r1"})
			Expect(err).To(haveVerdict(verdict.NotRun, verdict.ReasonUpstreamPaused))
			_, err = upstream.Call(free, address, port.CallRequest{RequestID: "r1"})
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(requests.Load()).To(BeEquivalentTo(20))
	})
})
