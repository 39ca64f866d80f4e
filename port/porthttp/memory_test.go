package porthttp_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/port/porthttp"
)

// Guards against a node that takes the limit of one response for each of its calls
// and so more memory than it has.
var _ = Describe("Responses to calls that are received together", func() {
	It("share a limit on memory, beside which small ones are received", func() {
		const calls, part = 5, 5 << 20
		ctx, cancel := context.WithCancel(context.Background())
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var request bytes.Buffer
			_, _ = request.ReadFrom(r.Body)
			if strings.Contains(request.String(), "small") {
				_, _ = w.Write([]byte(`{"request_id":"small","body":{}}`))
				return
			}
			_, _ = w.Write(bytes.Repeat([]byte(" "), part))
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}))
		DeferCleanup(server.Close)
		// The server waits for its requests when it is closed.
		DeferCleanup(cancel)
		address := strings.TrimPrefix(server.URL, "http://")
		upstream := porthttp.NewUpstream(nil)
		failures := make(chan error, calls)
		for range calls {
			go func() {
				_, err := upstream.Call(ctx, address, port.CallRequest{RequestID: "large"})
				failures <- err
			}()
		}
		var err error
		Eventually(failures, 20*time.Second).Should(Receive(&err))
		Expect(err).To(mayHaveRun)
		Expect(err).To(MatchError(ContainSubstring("call_responses_memory exceeds")))
		_, err = upstream.Call(ctx, address, port.CallRequest{RequestID: "small"})
		Expect(err).NotTo(HaveOccurred())
		cancel()
		for range calls - 1 {
			Eventually(failures, 20*time.Second).Should(Receive())
		}
	})
})
