package entry

import (
	"bytes"
	"log/slog"
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/balance"
	"github.com/tamarackcleat/tamarackcleat/port/porthttp"
)

var _ = Describe("A VM whose connection broke", func() {
	var lines bytes.Buffer
	var node *Node
	BeforeEach(func() {
		lines.Reset()
		node = &Node{upstream: porthttp.NewUpstream(nil), logger: slog.New(slog.NewJSONHandler(&lines, nil))}
	})

	// Guards against a missed crash: the port of a process that was ending accepted
	// the probe's connection and cut it, so the request that had crashed it crashed
	// a third replica.
	It("counts as crashed even if its port accepted one more connection while its process ended", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() {
			defer GinkgoRecover()
			conn, err := l.Accept()
			Expect(err).NotTo(HaveOccurred())
			Expect(conn.Close()).To(Succeed())
			Expect(l.Close()).To(Succeed())
		}()
		Expect(node.hasCrashed(balance.Upstream{ID: "r", Address: l.Addr().String()})).To(BeTrue())
		Expect(lines.String()).To(And(
			ContainSubstring(`"msg":"upstream.probed","upstream":"r"`), MatchRegexp(`"crashed":true,"probes":[2-9]`),
			ContainSubstring("connection refused"),
		))
	})

	It("does not count as crashed if it accepts connections but never replies", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		Expect(node.hasCrashed(balance.Upstream{ID: "r", Address: l.Addr().String()})).To(BeFalse())
		Expect(lines.String()).To(And(
			ContainSubstring(`"msg":"upstream.probed","upstream":"r"`), ContainSubstring(`"crashed":false,"probes":1`),
		))
	})
})
