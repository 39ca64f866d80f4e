package drain_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/drain"
)

func TestDrain(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "drain")
}

// firstRequestWait is how long the server under test waits for first requests.
const firstRequestWait = 300 * time.Millisecond

var _ = Describe("A server that shuts down", func() {
	var (
		address string
		server  *drain.Server
		ended   chan error
	)
	BeforeEach(func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address = l.Addr().String()
		server = drain.New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "ok")
		})}, l)
		go func() { _ = server.Serve() }()
	})
	dial := func() net.Conn {
		GinkgoHelper()
		c, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = c.Close() })
		return c
	}
	// shutDown begins the shutdown and returns when the listener is closed.
	shutDown := func() {
		GinkgoHelper()
		ended = make(chan error, 1)
		go func() { ended <- server.Shutdown(context.Background(), firstRequestWait) }()
		Eventually(func() error {
			c, err := net.Dial("tcp", address)
			if err == nil {
				c.Close()
			}
			return err
		}, "1s", "1ms").ShouldNot(Succeed())
	}
	// exchange sends a request and reads its response.
	exchange := func(c net.Conn) error {
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			return err
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}

	// Guards against a whole request that gets neither an answer nor a refusal: its
	// connection was accepted before the listener was closed.
	It("answers the first request of each connection that it has accepted", func() {
		var accepted []net.Conn
		for range 20 {
			accepted = append(accepted, dial())
		}
		// The server accepts connections in their order.
		Expect(exchange(dial())).To(Succeed())
		shutDown()
		for i, c := range accepted {
			Expect(exchange(c)).To(Succeed(), "connection %d", i)
		}
		Eventually(ended, "2s").Should(Receive(BeNil()))
	})

	It("closes a connection that sends no request in time", func() {
		silent := dial()
		Expect(exchange(dial())).To(Succeed())
		shutDown()
		Eventually(ended, "2s").Should(Receive(BeNil()))
		Expect(silent.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
		_, err := silent.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
	})

	It("does not wait for connections whose requests it has answered", func() {
		Expect(exchange(dial())).To(Succeed())
		began := time.Now()
		shutDown()
		Eventually(ended, "2s").Should(Receive(BeNil()))
		Expect(time.Since(began)).To(BeNumerically("<", firstRequestWait))
	})
})
