package porthttp_test

import (
	"context"
	"errors"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/port/porthttp"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// haveVerdict matches an error with a verdict and a reason.
func haveVerdict(v verdict.Verdict, r verdict.Reason) types.GomegaMatcher {
	return WithTransform(func(err error) []string {
		e := verdict.FromError(err)
		return []string{string(e.Verdict), string(e.Reason)}
	}, Equal([]string{string(v), string(r)}))
}

var (
	notConnected = haveVerdict(verdict.NotRun, verdict.ReasonConnect)
	notRun       = haveVerdict(verdict.NotRun, verdict.ReasonUpstreamRefused)
	busy         = haveVerdict(verdict.NotRun, verdict.ReasonUpstreamBusy)
	mayHaveRun   = haveVerdict(verdict.MayHaveRun, verdict.ReasonUpstreamLost)
)

const refusal = `{"not_run":true,"reason":"busy"}`

// roundTripper is a transport that does not report its connections.
type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

var _ = Describe("verdicts of an upstream", func() {
	ctx := context.Background()

	DescribeTable("by what happened to the connection or the answer",
		func(address func() string, want types.GomegaMatcher) {
			upstream := porthttp.NewUpstream(nil)
			to := address()
			_, err := upstream.Call(ctx, to, port.CallRequest{RequestID: "r1"})
			Expect(err).To(want)
			_, err = upstream.Generate(ctx, to, port.GenerateRequest{RequestID: "r1"})
			Expect(err).To(want)
			Expect(upstream.Order(ctx, to, port.Order{Verb: port.OrderJoin})).To(want)
		},
		Entry("refused dial", closedPort, notConnected),
		Entry("closed before a byte was read", acceptAndClose, mayHaveRun),
		Entry("closed after the request", serving(hangUp), mayHaveRun),
		Entry("409 with a refusal", serving(answer(409, "application/json", refusal)), notRun),
		Entry("422 with a refusal", serving(answer(422, "application/json", refusal)), notRun),
		Entry("429 with a refusal", serving(answer(429, "application/json", refusal)), busy),
		Entry("503 with a refusal", serving(answer(503, "application/json", refusal)), notRun),
		Entry("500 with a refusal", serving(answer(500, "application/json", refusal)), mayHaveRun),
		Entry("503 that says it ran", serving(answer(503, "application/json", `{"not_run":false}`)), mayHaveRun),
		Entry("503 from something else", serving(answer(503, "text/plain", "try later")), mayHaveRun),
		Entry("503 cut off", serving(answer(503, "application/json", refusal[:10])), mayHaveRun),
		Entry("redirect", serving(answer(302, "text/plain", "")), mayHaveRun),
	)

	DescribeTable("a call's answer that must not reach the caller", func(body string) {
		_, err := porthttp.NewUpstream(nil).Call(ctx, serving(answer(200, "application/json", body))(),
			port.CallRequest{RequestID: "r1"})
		Expect(err).To(mayHaveRun)
	},
		Entry("foreign", `{"request_id":"r2","body":{}}`),
		Entry("cut off", `{"request_id":"r1","bo`),
		Entry("empty", ``),
	)

	It("never sends a request twice when a reused connection breaks", func() {
		address, requests := breakSecond("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" +
			"Content-Length: 29\r\n\r\n{\"request_id\":\"r1\",\"body\":{}}")
		upstream := porthttp.NewUpstream(nil)
		_, err := upstream.Call(ctx, address, port.CallRequest{RequestID: "r1"})
		Expect(err).NotTo(HaveOccurred())
		_, err = upstream.Call(ctx, address, port.CallRequest{RequestID: "r2"})
		Expect(err).To(mayHaveRun)
		Expect(requests.Load()).To(BeEquivalentTo(2))
	})

	It("does not follow a redirect", func() {
		target, reached := serve(answer(200, "application/json", `{}`))
		from, _ := serve(func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "http://"+target, http.StatusTemporaryRedirect)
		})
		_, err := porthttp.NewUpstream(nil).Call(ctx, from, port.CallRequest{RequestID: "r1"})
		Expect(err).To(mayHaveRun)
		Expect(reached.Load()).To(BeZero())
	})

	It("takes no word for NotRun from a transport that hides its connections", func() {
		client := &http.Client{Transport: roundTripper(func(*http.Request) (*http.Response, error) {
			return nil, errors.New("cut")
		})}
		_, err := porthttp.NewUpstream(client).Call(ctx, "127.0.0.1:1", port.CallRequest{RequestID: "r1"})
		Expect(err).To(mayHaveRun)
	})

	It("does not connect once the context has ended", func() {
		ended, cancel := context.WithCancel(ctx)
		cancel()
		address, requests := serve(answer(200, "application/json", `{}`))
		_, err := porthttp.NewUpstream(nil).Call(ended, address, port.CallRequest{RequestID: "r1"})
		Expect(err).To(HaveOccurred())
		Expect(requests.Load()).To(BeZero())
	})

	It("gives the upstream's advice on when to retry", func() {
		address, _ := serve(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Retry-After", "3")
			answer(429, "application/json", refusal)(w, r)
		})
		_, err := porthttp.NewUpstream(nil).Call(ctx, address, port.CallRequest{RequestID: "r1"})
		Expect(verdict.FromError(err).RetryAfter.Seconds()).To(BeEquivalentTo(3))
	})

	It("types a stale fencing number", func() {
		address, _ := serve(answer(409, "application/json", `{"not_run":true,"reason":"stale_fencing_number"}`))
		err := porthttp.NewUpstream(nil).Order(ctx, address, port.Order{Verb: port.OrderJoin})
		Expect(errors.Is(err, porthttp.ErrStaleFencing)).To(BeTrue())
		Expect(err).To(notRun)
	})

	It("reads reports and cache events", func() {
		address, _ := serve(answer(200, "application/json", `{"vm":"a","boot":"b","events":[{"seq":4}]}`))
		upstream := porthttp.NewUpstream(nil)
		report, err := upstream.Report(ctx, address)
		Expect(err).NotTo(HaveOccurred())
		Expect(report.VM).To(BeEquivalentTo("a"))
		events, err := upstream.CacheEvents(ctx, address, 3)
		Expect(err).NotTo(HaveOccurred())
		Expect(events.Events).To(HaveLen(1))
		_, err = upstream.Report(ctx, closedPort())
		Expect(err).To(notConnected)
	})
})

// serving defers starting a server until the spec runs.
func serving(handler http.HandlerFunc) func() string {
	return func() string {
		address, _ := serve(handler)
		return address
	}
}
