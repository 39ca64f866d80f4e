package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/tamarackcleat/tamarackcleat/answer"
	"github.com/tamarackcleat/tamarackcleat/balance"
	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/port/porthttp"
	"github.com/tamarackcleat/tamarackcleat/router"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// chunkInterval is the time between two chunks of the streams below. It is well below
// minStallTimeout.
const chunkInterval = 200 * time.Millisecond

// newStreamTask returns a task of a node whose only upstream sends the chunks that next
// returns, one every chunkInterval, without an end.
func newStreamTask(next func(i int) port.Chunk) (*generateTask, balance.Upstream) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 0; r.Context().Err() == nil; i++ {
			data, err := json.Marshal(next(i))
			if err != nil {
				return
			}
			fmt.Fprintf(w, "data: %s\n\n", data)
			w.(http.Flusher).Flush()
			time.Sleep(chunkInterval)
		}
	}))
	DeferCleanup(server.Close)
	n := &Node{
		upstream: porthttp.NewUpstream(nil), kernel: kernel.NewNode(time.Now), logger: slog.New(slog.DiscardHandler),
		traces: newTraces("n"), stats: newStats(metrics.NewRegistry()), streams: newStreamRegistry(),
	}
	n.listener = &listener{post: n.kernel.Post, stats: n.stats, logger: n.logger}
	Expect(n.kernel.Register(router.New(router.Config{Node: "n"}))).To(Succeed())
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go n.kernel.Run(ctx)
	u := balance.Upstream{ID: "r", Pool: "p", Address: strings.TrimPrefix(server.URL, "http://"), Slots: 1}
	n.kernel.Post(router.Name, router.UpstreamsChanged{Upstreams: []balance.Upstream{u}})
	return &generateTask{
		request: &request{node: n, id: "r1", arrivedAt: time.Now(), trace: n.traces.begin("r1", "", "")},
		answer:  answer.New("r1"), maxTokens: 1000,
		writer: &bodyWriter{w: httptest.NewRecorder(), requestID: "r1"},
	}, u
}

// Guards against a stream that an upstream keeps alive with chunks that continue no
// answer: the caller would wait until its deadline.
var _ = Describe("A stream that goes on without an end", func() {
	token := func(i int) port.Chunk { return port.Chunk{RequestID: "r1", Index: i, Text: "x"} }
	run := func(next func(i int) port.Chunk) (*generateTask, *verdict.Error, time.Duration) {
		g, u := newStreamTask(next)
		ctx, cancel := context.WithTimeout(context.Background(), 5*minStallTimeout)
		DeferCleanup(cancel)
		began := time.Now()
		failure := g.streamFrom(ctx, u, newAttemptTiming(0))
		return g, failure, time.Since(began)
	}

	DescribeTable("counts as stalled if its chunks continue no answer", func(next func(i int) port.Chunk, tokens int) {
		g, failure, took := run(next)
		Expect(failure).NotTo(BeNil())
		Expect(failure.Reason).To(Equal(verdict.ReasonStalled))
		Expect(failure.Verdict).To(Equal(verdict.MayHaveRun))
		Expect(took).To(And(BeNumerically(">=", minStallTimeout), BeNumerically("<", 3*minStallTimeout)))
		Expect(g.answer.Tokens()).To(Equal(tokens))
	},
		Entry("the first one again and again", func(int) port.Chunk { return token(0) }, 1),
		Entry("the latest one after a few", func(i int) port.Chunk { return token(min(i, 3)) }, 4),
		Entry("those of another request", func(i int) port.Chunk {
			return port.Chunk{RequestID: "other", Index: i, Text: "x"}
		}, 0),
	)

	It("does not if each chunk continues the answer, however many are repeated", func() {
		last := int((minStallTimeout + time.Second) / chunkInterval)
		_, failure, took := run(func(i int) port.Chunk {
			if i >= last {
				return port.Chunk{RequestID: "r1", Index: last / 2, Final: true, FinishReason: "stop"}
			}
			return token(i / 2)
		})
		Expect(failure).To(BeNil())
		Expect(took).To(BeNumerically(">", minStallTimeout))
	})
})
