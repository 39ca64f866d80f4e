package tunnel

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/bounded"
	"github.com/tamarackcleat/tamarackcleat/fleet"
)

func TestTunnel(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Tunnel Suite")
}

// Guards against an answer without a length that looks whole although its upstream broke it
// off, and against requests that go on at an upstream after their caller has left.
var _ = Describe("A tunnel", func() {
	var (
		server   *Server
		serving  *httptest.Server
		upstream net.Listener
		refusal  atomic.Pointer[Refusal]
		end      context.CancelFunc
	)
	BeforeEach(func() {
		var err error
		upstream, err = net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(upstream.Close)
		refusal.Store(nil)
		server = &Server{
			Admit:   func(Request) *Refusal { return refusal.Load() },
			Dial:    func(_ context.Context, address string) (net.Conn, error) { return net.Dial("tcp", address) },
			Max:     func() int { return 1 },
			Observe: func(Reason) {},
		}
		server.Done, end = context.WithCancel(context.Background())
		DeferCleanup(end)
		mux := http.NewServeMux()
		mux.Handle(Path, server)
		serving = httptest.NewServer(mux)
		DeferCleanup(serving.Close)
	})
	open := func() (net.Conn, error) {
		conn, err := net.Dial("tcp", serving.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		return Open(context.Background(), conn, Request{Upstream: fleet.Incarnation{ID: "u", Boot: 1}, Address: upstream.Addr().String(), Lifetime: time.Minute})
	}
	// both returns both ends of an open tunnel.
	both := func() (user, served *net.TCPConn, tunnel net.Conn) {
		c, err := open()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = c.Close() })
		u, err := upstream.Accept()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = u.Close() })
		return innermost(c).(*net.TCPConn), u.(*net.TCPConn), c
	}

	It("passes on the regular end of the upstream's connection, and all bytes before it", func() {
		_, served, tunnel := both()
		_, err := tunnel.Write([]byte("a request that the upstream does not read"))
		Expect(err).NotTo(HaveOccurred())
		answer := make([]byte, 1<<20)
		go func() {
			_, _ = served.Write(answer)
			_ = served.CloseWrite()
		}()
		got, err := io.ReadAll(tunnel)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(HaveLen(len(answer)))
	})

	It("passes on a reset of the upstream's connection as a reset", func() {
		_, served, tunnel := both()
		_, err := served.Write([]byte("a part"))
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadFull(tunnel, make([]byte, len("a part")))
		Expect(err).NotTo(HaveOccurred())
		Expect(served.SetLinger(0)).To(Succeed())
		Expect(served.Close()).To(Succeed())
		_, err = tunnel.Read(make([]byte, 1))
		Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue(), "%v", err)
	})

	It("is reset when the serving node ends it", func() {
		_, served, tunnel := both()
		end()
		_, err := tunnel.Read(make([]byte, 1))
		Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue(), "%v", err)
		_, err = served.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
	})

	It("ends the upstream's connection when the user leaves", func() {
		user, served, _ := both()
		Expect(user.Close()).To(Succeed())
		Expect(served.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
		_, err := served.Read(make([]byte, 1))
		Expect(err).To(Equal(io.EOF))
		Eventually(server.Open).Should(BeZero())
	})

	It("is refused with the reason of the serving node, and beyond its limit", func() {
		refusal.Store(&Refusal{Reason: Paused, PauseMs: 70})
		_, err := open()
		var r *Refusal
		Expect(errors.As(err, &r)).To(BeTrue())
		Expect(*r).To(Equal(Refusal{Reason: Paused, PauseMs: 70}))
		refusal.Store(nil)
		both()
		_, err = open()
		Expect(errors.As(err, &r)).To(BeTrue())
		Expect(r.Reason).To(Equal(Full))
	})

	// Guards against memory for a peer's response without end, and against a long one that
	// counts as malformed.
	DescribeTable("is refused by its limit if the response has no end", func(begin string) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		go func() {
			c, err := l.Accept()
			for err == nil {
				_, err = io.WriteString(c, begin)
				begin = "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"
			}
		}()
		conn, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		_, err = Open(context.Background(), conn, Request{Lifetime: time.Second})
		limit, exceeded := bounded.Exceeded(err)
		Expect(exceeded).To(BeTrue(), "%v", err)
		Expect(limit).To(Equal("tunnel_refusal"))
	},
		Entry("in its head", "HTTP/1.1 101 Switching Protocols\r\nX: "),
		Entry("in its body", "HTTP/1.1 503 Service Unavailable\r\n\r\n{\"reason\":\""),
	)

	It("is not used if the upstream may get no request once it is connected", func() {
		server.Dial = func(_ context.Context, address string) (net.Conn, error) {
			refusal.Store(&Refusal{Reason: Leaving})
			return net.Dial("tcp", address)
		}
		_, err := open()
		var r *Refusal
		Expect(errors.As(err, &r)).To(BeTrue())
		Expect(r.Reason).To(Equal(Leaving))
	})
})
