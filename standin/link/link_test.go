package link_test

import (
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/standin/link"
)

func TestLink(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Link Suite")
}

var _ = Describe("A link", func() {
	var k *link.Link
	BeforeEach(func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					_, _ = io.Copy(c, c)
					_ = c.Close()
				}()
			}
		}()
		k, err = link.New("127.0.0.1:0", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(k.Close)
	})
	dial := func() net.Conn {
		c, err := net.Dial("tcp", k.Address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = c.Close() })
		return c
	}
	// echo sends five bytes and returns what the target sends back within
	// timeout, with the error of the read.
	echo := func(c net.Conn, timeout time.Duration) (string, error) {
		_, err := c.Write([]byte("hello"))
		if err != nil {
			return "", err
		}
		Expect(c.SetReadDeadline(time.Now().Add(timeout))).To(Succeed())
		buf := make([]byte, 5)
		n, err := io.ReadFull(c, buf)
		return string(buf[:n]), err
	}

	It("forwards in both directions, and delays each", func() {
		c := dial()
		Expect(echo(c, time.Second)).To(Equal("hello"))
		k.SetDelay(60 * time.Millisecond)
		started := time.Now()
		Expect(echo(c, time.Second)).To(Equal("hello"))
		Expect(time.Since(started)).To(BeNumerically(">=", 120*time.Millisecond))
	})

	DescribeTable("keeps connections open while it drops their traffic", func(mode link.Mode) {
		c := dial()
		Expect(echo(c, time.Second)).To(Equal("hello"))
		k.SetMode(mode)
		_, err := echo(c, 100*time.Millisecond)
		Expect(err).To(MatchError(ContainSubstring("i/o timeout")))
		_, err = echo(dial(), 100*time.Millisecond)
		Expect(err).To(MatchError(ContainSubstring("i/o timeout")))
		k.SetMode(link.Pass)
		Expect(echo(dial(), time.Second)).To(Equal("hello"))
	},
		Entry("silenced", link.Drop),
		Entry("to the target", link.DropToTarget),
		Entry("from the target", link.DropFromTarget),
	)

	It("resets open connections and accepts new ones", func() {
		c := dial()
		Expect(echo(c, time.Second)).To(Equal("hello"))
		k.Reset()
		_, err := echo(c, time.Second)
		Expect(err).To(HaveOccurred())
		Expect(echo(dial(), time.Second)).To(Equal("hello"))
	})

	It("refuses", func() {
		k.SetMode(link.Refuse)
		_, err := echo(dial(), time.Second)
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(ContainSubstring("i/o timeout")))
	})
})
