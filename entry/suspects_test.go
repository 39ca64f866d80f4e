package entry

import (
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/balance"
	"github.com/tamarackcleat/tamarackcleat/port/porthttp"
)

var _ = Describe("A VM whose connection broke", func() {
	node := &Node{upstream: porthttp.NewUpstream(nil)}

	// The cause of the third crash in processtest's quarantine spec: the port of
	// a process that was ending still took the question and cut it.
	It("has crashed also if its port took one more connection while it ended", func() {
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
	})

	It("has not crashed for all that is known if nothing can be heard of it", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		Expect(node.hasCrashed(balance.Upstream{ID: "r", Address: l.Addr().String()})).To(BeFalse())
	})
})
