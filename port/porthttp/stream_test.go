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

// chunkEvent returns a server-sent event with one chunk.
func chunkEvent(requestID string, index int, final bool) string {
	return fmt.Sprintf("data: {\"request_id\":%q,\"index\":%d,\"text\":\"t\",\"final\":%t}\n\n", requestID, index, final)
}

var _ = Describe("an answer stream", func() {
	ctx := context.Background()

	openStream := func(body string) *porthttp.Stream {
		address, _ := startServer(fixedResponse(200, "text/event-stream", body))
		stream, err := porthttp.NewUpstream(nil).Generate(ctx, address, port.GenerateRequest{RequestID: "r1"})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(stream.Close)
		return stream
	}

	DescribeTable("ends", func(body string, chunks int, end types.GomegaMatcher) {
		stream := openStream(body)
		for range chunks {
			_, err := stream.Next()
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := stream.Next()
		Expect(err).To(end)
		_, again := stream.Next()
		Expect(again).To(Equal(err))
	},
		Entry("with io.EOF after its final chunk", chunkEvent("r1", 0, false)+chunkEvent("r1", 1, true), 2, Equal(io.EOF)),
		Entry("with an error if there is no final chunk", chunkEvent("r1", 0, false), 1, mayHaveRun),
		Entry("with an error after the final chunk of another request", chunkEvent("r1", 0, false)+chunkEvent("r2", 1, true), 2, mayHaveRun),
		Entry("with an error if the final chunk is truncated", chunkEvent("r1", 0, false)+strings.TrimSpace(chunkEvent("r1", 1, true)), 1, mayHaveRun),
		Entry("with an error if the final chunk lacks its blank line", chunkEvent("r1", 0, false)+strings.TrimSuffix(chunkEvent("r1", 1, true), "\n"), 1, mayHaveRun),
		Entry("empty", "", 0, mayHaveRun),
		Entry("with an error at an event that is not a chunk", chunkEvent("r1", 0, false)+"data: {\"index\":1}\n\n", 1, mayHaveRun),
		Entry("with an error at an event that is too large", chunkEvent("r1", 0, false)+"data: "+strings.Repeat("x", 65<<10)+"\n\n", 1, mayHaveRun),
		Entry("with io.EOF if there are comments before the final chunk", ": wait\n\n"+chunkEvent("r1", 0, true), 1, Equal(io.EOF)),
	)

	It("returns from Next when it is closed, and the engine sees the request end", func() {
		disconnected := make(chan struct{})
		address, _ := startServer(func(w http.ResponseWriter, r *http.Request) {
			fixedResponse(200, "text/event-stream", chunkEvent("r1", 0, false))(w, r)
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
			close(disconnected)
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
		Eventually(disconnected).Should(BeClosed())
		stream.Close()
	})

	It("refuses a response that is not an event stream", func() {
		address, _ := startServer(fixedResponse(200, "text/html", chunkEvent("r1", 0, true)))
		_, err := porthttp.NewUpstream(nil).Generate(ctx, address, port.GenerateRequest{RequestID: "r1"})
		Expect(err).To(mayHaveRun)
	})
})
