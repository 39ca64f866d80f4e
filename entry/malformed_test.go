package entry

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/standin/fault"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// Guards against a malformed answer of which nothing is to be found if the request is then
// answered by another upstream.
var _ = DescribeTable("A malformed answer is logged with the request and counted, once", func(answer string) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		fault.ServeRaw(w, answer)
	}))
	DeferCleanup(server.Close)
	g, u := newStreamTask(func(int) port.Chunk { return port.Chunk{} })
	u.Address = server.Listener.Addr().String()
	var lines bytes.Buffer
	g.node.logger = slog.New(slog.NewJSONHandler(&lines, nil))
	_, err := g.node.upstream.Call(g.send(context.Background(), u), u.Address, port.CallRequest{RequestID: g.id})
	Expect(verdict.FromError(err).Verdict).To(Equal(verdict.MayHaveRun))
	Expect(metrics.GetOrRegisterCounter("upstream.malformed", g.node.stats.registry).Count()).To(BeEquivalentTo(1))
	Expect(bytes.Count(lines.Bytes(), []byte("\n"))).To(Equal(1))
	Expect(lines.String()).To(And(ContainSubstring(`"msg":"upstream.malformed"`), ContainSubstring(`"request_id":"r1"`),
		ContainSubstring(`"upstream":"r"`), ContainSubstring(`"reason":"upstream_lost"`), ContainSubstring("malformed response")))
},
	Entry("in its head", "HTTP/1.1 200 OK\r\nX Unknown: a\r\nContent-Length: 2\r\n\r\n{}"),
	Entry("in its status", "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\n{}"),
	Entry("in its trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX Sum: 1\r\n\r\n"),
)
