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

// roundTripFunc is a transport that does not call the hooks of httptrace.
type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

var _ = Describe("verdicts of an upstream", func() {
	ctx := context.Background()

	DescribeTable("say NotRun only if the connection or the response proves it",
		func(address func() string, want types.GomegaMatcher) {
			upstream := porthttp.NewUpstream(nil)
			upstreamAddress := address()
			_, err := upstream.Call(ctx, upstreamAddress, port.CallRequest{RequestID: "r1"})
			Expect(err).To(want)
			_, err = upstream.Generate(ctx, upstreamAddress, port.GenerateRequest{RequestID: "r1"})
			Expect(err).To(want)
			Expect(upstream.Order(ctx, upstreamAddress, port.Order{Verb: port.OrderJoin})).To(want)
		},
		Entry("refused dial", closedPort, notConnected),
		Entry("closed before a byte was read", acceptAndClose, mayHaveRun),
		Entry("closed after the request", serverStarter(closeConnection), mayHaveRun),
		Entry("409 with a refusal", serverStarter(fixedResponse(409, "application/json", refusal)), notRun),
		Entry("422 with a refusal", serverStarter(fixedResponse(422, "application/json", refusal)), notRun),
		Entry("429 with a refusal", serverStarter(fixedResponse(429, "application/json", refusal)), busy),
		Entry("503 with a refusal", serverStarter(fixedResponse(503, "application/json", refusal)), notRun),
		Entry("500 with a refusal", serverStarter(fixedResponse(500, "application/json", refusal)), mayHaveRun),
		Entry("503 that says it ran", serverStarter(fixedResponse(503, "application/json", `{"not_run":false}`)), mayHaveRun),
		Entry("503 without a refusal", serverStarter(fixedResponse(503, "text/plain", "try later")), mayHaveRun),
		Entry("503 with a truncated refusal", serverStarter(fixedResponse(503, "application/json", refusal[:10])), mayHaveRun),
		Entry("redirect", serverStarter(fixedResponse(302, "text/plain", "")), mayHaveRun),
	)

	DescribeTable("report an unusable answer to a call as MayHaveRun", func(body string) {
		_, err := porthttp.NewUpstream(nil).Call(ctx, serverStarter(fixedResponse(200, "application/json", body))(),
			port.CallRequest{RequestID: "r1"})
		Expect(err).To(mayHaveRun)
	},
		Entry("foreign", `{"request_id":"r2","body":{}}`),
		Entry("truncated answer", `{"request_id":"r1","bo`),
		Entry("empty", ``),
	)

	It("never sends a request twice when a reused connection breaks", func() {
		address, requests := closeOnSecondRequest("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" +
			"Content-Length: 29\r\n\r\n{\"request_id\":\"r1\",\"body\":{}}")
		upstream := porthttp.NewUpstream(nil)
		_, err := upstream.Call(ctx, address, port.CallRequest{RequestID: "r1"})
		Expect(err).NotTo(HaveOccurred())
		_, err = upstream.Call(ctx, address, port.CallRequest{RequestID: "r2"})
		Expect(err).To(mayHaveRun)
		Expect(requests.Load()).To(BeEquivalentTo(2))
	})

	It("does not follow a redirect", func() {
		target, reached := startServer(fixedResponse(200, "application/json", `{}`))
		redirector, _ := startServer(func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "http://"+target, http.StatusTemporaryRedirect)
		})
		_, err := porthttp.NewUpstream(nil).Call(ctx, redirector, port.CallRequest{RequestID: "r1"})
		Expect(err).To(mayHaveRun)
		Expect(reached.Load()).To(BeZero())
	})

	It("does not conclude NotRun if the transport does not report its connections", func() {
		client := &http.Client{Transport: roundTripFunc(func(*http.Request) (*http.Response, error) {
			return nil, errors.New("cut")
		})}
		_, err := porthttp.NewUpstream(client).Call(ctx, "127.0.0.1:1", port.CallRequest{RequestID: "r1"})
		Expect(err).To(mayHaveRun)
	})

	It("sends no request after the context has ended", func() {
		canceled, cancel := context.WithCancel(ctx)
		cancel()
		address, requests := startServer(fixedResponse(200, "application/json", `{}`))
		_, err := porthttp.NewUpstream(nil).Call(canceled, address, port.CallRequest{RequestID: "r1"})
		Expect(err).To(HaveOccurred())
		Expect(requests.Load()).To(BeZero())
	})

	It("returns ErrStaleFencing for a stale fencing number", func() {
		address, _ := startServer(fixedResponse(409, "application/json", `{"not_run":true,"reason":"stale_fencing_number"}`))
		err := porthttp.NewUpstream(nil).Order(ctx, address, port.Order{Verb: port.OrderJoin})
		Expect(errors.Is(err, porthttp.ErrStaleFencing)).To(BeTrue())
		Expect(err).To(notRun)
	})

	It("reads reports and cache events", func() {
		address, _ := startServer(fixedResponse(200, "application/json", `{"vm":"a","boot":"b","events":[{"seq":4}]}`))
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

// serverStarter returns a function that starts a server with the handler and
// returns its address, so that the server starts only when the spec runs.
func serverStarter(handler http.HandlerFunc) func() string {
	return func() string {
		address, _ := startServer(handler)
		return address
	}
}
