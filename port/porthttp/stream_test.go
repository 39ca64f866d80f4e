package porthttp_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/port/porthttp"
)

// event returns one chunk as a server-sent event.
func event(requestID string, index int, final bool) string {
	return fmt.Sprintf("data: {\"request_id\":%q,\"index\":%d,\"text\":\"t\",\"final\":%t}\n\n", requestID, index, final)
}

var _ = Describe("an answer stream", func() {
	ctx := context.Background()

	open := func(body string) *porthttp.Stream {
		address, _ := serve(answer(200, "text/event-stream", body))
		stream, err := porthttp.NewUpstream(nil).Generate(ctx, address, port.GenerateRequest{RequestID: "r1"})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(stream.Close)
		return stream
	}

	DescribeTable("ends", func(body string, chunks int, end types.GomegaMatcher) {
		stream := open(body)
		for range chunks {
			_, err := stream.Next()
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := stream.Next()
		Expect(err).To(end)
		_, again := stream.Next()
		Expect(again).To(Equal(err))
	},
		Entry("whole with its final chunk", event("r1", 0, false)+event("r1", 1, true), 2, Equal(io.EOF)),
		Entry("cut off without a final chunk", event("r1", 0, false), 1, mayHaveRun),
		Entry("cut off after a foreign final chunk", event("r1", 0, false)+event("r2", 1, true), 2, mayHaveRun),
		Entry("cut off inside the final chunk", event("r1", 0, false)+strings.TrimSpace(event("r1", 1, true)), 1, mayHaveRun),
		Entry("empty", "", 0, mayHaveRun),
		Entry("at an event that is no chunk", event("r1", 0, false)+"data: {\"index\":1}\n\n", 1, mayHaveRun),
		Entry("at an event that is too large", event("r1", 0, false)+"data: "+strings.Repeat("x", 65<<10)+"\n\n", 1, mayHaveRun),
		Entry("whole with comments between", ": wait\n\n"+event("r1", 0, true), 1, Equal(io.EOF)),
	)

	It("is unblocked by Close, which the engine sees", func() {
		gone := make(chan struct{})
		address, _ := serve(func(w http.ResponseWriter, r *http.Request) {
			answer(200, "text/event-stream", event("r1", 0, false))(w, r)
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
			close(gone)
		})
		stream, err := porthttp.NewUpstream(nil).Generate(ctx, address, port.GenerateRequest{RequestID: "r1"})
		Expect(err).NotTo(HaveOccurred())
		_, err = stream.Next()
		Expect(err).NotTo(HaveOccurred())
		result := make(chan error, 1)
		go func() {
			_, err := stream.Next()
			result <- err
		}()
		stream.Close()
		Eventually(result).Should(Receive(mayHaveRun))
		Eventually(gone).Should(BeClosed())
		stream.Close()
	})

	It("refuses an answer of another content type", func() {
		address, _ := serve(answer(200, "text/html", event("r1", 0, true)))
		_, err := porthttp.NewUpstream(nil).Generate(ctx, address, port.GenerateRequest{RequestID: "r1"})
		Expect(err).To(mayHaveRun)
	})
})
