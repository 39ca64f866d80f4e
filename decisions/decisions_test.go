package decisions

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// blockedWriter is an io.Writer whose writes block until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(b)
}

func (w *blockedWriter) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.String()
}

var _ = Describe("Writer", func() {
	It("does not block while its output is blocked, and logs how many lines it dropped", func() {
		out := &blockedWriter{release: make(chan struct{})}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		w := NewWriter(ctx, out)
		// One write holds up to 32 KiB, so the blocked write holds about a
		// hundred lines of this size in addition to those in the buffer.
		const lines = 3 * bufferedLines
		pad := strings.Repeat("x", 300)
		for i := range lines {
			_, err := fmt.Fprintf(w, "{\"n\":%d,\"pad\":%q}\n", i, pad)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(w.Dropped()).To(BeNumerically(">=", lines-2*bufferedLines))
		close(out.release)
		Eventually(out.text).Should(ContainSubstring(LogDropped))
	})
})

var _ = Describe("The trace of a request", func() {
	log := strings.Join([]string{
		`  1.0 node-1 {"time":"2026-01-01T00:00:01Z","msg":"request.sent","node":"a","id":"x","upstream":"u1"}`,
		`not a line`,
		`{"time":"2026-01-01T00:00:02Z","msg":"upstream.dead","node":"b","upstream":"u1"}`,
		`{"time":"2026-01-01T00:00:02Z","msg":"upstream.dead","node":"b","upstream":"other"}`,
		`{"time":"2026-01-01T00:00:04Z","msg":"request.failed","node":"a","id":"x","reason":"upstream_lost","verdict":"may_have_run","detail":"reset"}`,
		`{"time":"2026-01-01T00:00:03Z","msg":"request.retried","node":"a","id":"x","reason":"upstream_stalled"}`,
	}, "\n")

	It("holds its lines by time, the changes of its upstreams meanwhile, its outcome and the cause", func() {
		lines, err := ReadLog(strings.NewReader(log))
		Expect(err).NotTo(HaveOccurred())
		s := TraceRequest(lines, "x")
		Expect(s.Lines).To(HaveLen(3))
		Expect(s.Lines[1].Event).To(Equal(RequestRetried))
		Expect(s.UpstreamEvents).To(HaveLen(1))
		Expect(s.Outcome).To(Equal(RequestFailed))
		Expect(s.Cause).To(Equal("upstream_lost, may_have_run, reset"))
	})

	It("has no outcome for a request that no line names", func() {
		Expect(TraceRequest(nil, "x").Outcome).To(BeEmpty())
	})
})

var _ = Describe("The operations page", func() {
	It("describes each event in the same words as the code", func() {
		page, err := os.ReadFile("../docs/OPERATIONS.md")
		Expect(err).NotTo(HaveOccurred())
		for _, e := range Events() {
			Expect(string(page)).To(ContainSubstring("| `" + e.Name + "` | " + e.Meaning + " |"))
		}
	})
})

func BenchmarkLine(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w := NewWriter(ctx, &bytes.Buffer{})
	line := []byte(strings.Repeat("x", 300) + "\n")
	for b.Loop() {
		// Write never returns an error.
		_, _ = w.Write(line)
	}
}
