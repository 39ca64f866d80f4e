package callerlimit_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/callerlimit"
)

func TestCallerlimit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "callerlimit")
}

// waitLimit bounds every wait for a condition.
const waitLimit = 20 * time.Second

// server is an HTTP server whose callers are counted. Its handler reads the body within the
// account, waits at /wait until release is closed, and answers 200, or 503 if it can't read the
// body.
type server struct {
	account *callerlimit.Account
	address string
	release chan struct{}

	mu     sync.Mutex
	causes map[string]int64
	// reports counts the calls of the observer.
	reports int
}

func newServer(limits callerlimit.Limits) *server { return newServerWith(limits, time.Hour) }

func newServerWith(limits callerlimit.Limits, progressTime time.Duration) *server {
	s := &server{release: make(chan struct{}), causes: map[string]int64{}}
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	s.account = callerlimit.NewAccountWith(ctx, limits, s.observe, progressTime)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s.address = l.Addr().String()
	hs := s.account.Attach(&http.Server{Handler: http.HandlerFunc(s.handle), MaxHeaderBytes: 64 << 10})
	go func() { _ = hs.Serve(s.account.Listen(l)) }()
	DeferCleanup(hs.Close)
	return s
}

func (s *server) observe(cause string, count int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.causes[cause] += count
	s.reports++
}

func (s *server) seen(cause string) func() int64 {
	return func() int64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.causes[cause]
	}
}

func (s *server) handle(w http.ResponseWriter, r *http.Request) {
	c := callerlimit.FromContext(r.Context())
	if r.ContentLength > 0 && !c.Take(r.ContentLength) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil || !c.BodyRead() {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.URL.Path == "/wait" {
		<-s.release
	}
	if r.URL.Path == "/long" {
		block := []byte(strings.Repeat("x", 1<<20))
		for range 64 {
			if _, err := w.Write(block); err != nil {
				return
			}
		}
	}
}

func (s *server) dial() net.Conn {
	GinkgoHelper()
	c, err := net.Dial("tcp", s.address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close() })
	return c
}

// send writes a text on a connection.
func send(c net.Conn, text string) {
	GinkgoHelper()
	_, err := io.WriteString(c, text)
	Expect(err).NotTo(HaveOccurred())
}

// status reads an answer and returns its status; 0 if the connection ended without one.
func status(c net.Conn) int {
	_ = c.SetReadDeadline(time.Now().Add(waitLimit))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

// ask sends a request on a new connection and returns the status of the answer.
func (s *server) ask() int {
	GinkgoHelper()
	c := s.dial()
	defer c.Close()
	send(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx")
	return status(c)
}

func (s *server) connections() int { n, _ := s.account.Held(); return n }

func (s *server) bytes() int64 { _, n := s.account.Held(); return n }

const (
	// kept is the number of connections of a small account, and room its bytes.
	kept = 4
	room = 1 << 20
)

var _ = Describe("An account of what callers hold", func() {
	// Guards against a leak, by which a node would refuse more and more callers.
	It("gets everything back, however requests and connections end", func() {
		s := newServer(callerlimit.Limits{Connections: 100, Bytes: 64 << 20})
		starts := []string{
			"", "P", "POST / HTTP/1.1\r\nX: " + strings.Repeat("y", 9000), "\r\n\r\n\r\n", "nonsense\r\n\r\n",
			"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\nabc",
			"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
			"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
			"POST / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("y", 100<<10) + "\r\n\r\n",
			"GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HT",
		}
		var conns []net.Conn
		for _, text := range starts {
			c := s.dial()
			// A write fails if the server has refused the head already.
			_, _ = io.WriteString(c, text)
			conns = append(conns, c)
		}
		Eventually(s.connections, waitLimit).Should(BeNumerically(">", 0))
		Expect(s.ask()).To(Equal(http.StatusOK))
		for _, c := range conns {
			Expect(c.Close()).To(Succeed())
		}
		Eventually(s.connections, waitLimit).Should(BeZero())
		Expect(s.bytes()).To(BeZero())
	})

	It("counts nothing but the connection while a kept one is idle", func() {
		s := newServer(callerlimit.Limits{Connections: kept, Bytes: room})
		c := s.dial()
		for range 3 {
			send(c, "POST / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("y", 15<<10)+"\r\nContent-Length: 9000\r\n\r\n"+strings.Repeat("z", 9000))
			Expect(status(c)).To(Equal(http.StatusOK))
			Eventually(s.bytes, waitLimit).Should(BeEquivalentTo(callerlimit.ConnectionBytes))
		}
	})

	DescribeTable("makes room for a new caller while others hold all connections", func(text, cause string) {
		s := newServer(callerlimit.Limits{Connections: kept, Bytes: room})
		for range kept {
			send(s.dial(), text)
		}
		Eventually(s.connections, waitLimit).Should(Equal(kept))
		for range 3 {
			Expect(s.ask()).To(Equal(http.StatusOK))
			Expect(s.connections()).To(BeNumerically("<=", kept))
		}
		Eventually(s.seen(cause), waitLimit).Should(BeNumerically(">", 0))
	},
		Entry("silent ones", "", callerlimit.CauseSilent),
		Entry("ones with a part of a head", "POST / HTTP/1.1\r\nX: ", callerlimit.CauseHead),
		Entry("ones with a part of a body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nx", callerlimit.CauseBody),
		Entry("idle ones", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", callerlimit.CauseIdle),
		Entry("ones that don't read their answers", "GET /long HTTP/1.1\r\nHost: h\r\n\r\n", callerlimit.CauseUnread),
	)

	It("ends a connection with an incomplete request before an idle one", func() {
		s := newServer(callerlimit.Limits{Connections: kept, Bytes: room})
		ordinary := s.dial()
		send(ordinary, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		Expect(status(ordinary)).To(Equal(http.StatusOK))
		for range kept - 1 {
			send(s.dial(), "POST / HTTP/1.1\r\nX: ")
		}
		Eventually(s.connections, waitLimit).Should(Equal(kept))
		for range kept - 1 {
			Expect(s.ask()).To(Equal(http.StatusOK))
		}
		send(ordinary, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		Expect(status(ordinary)).To(Equal(http.StatusOK))
	})

	// Guards against a new connection that ends many others while it waits for the place of
	// the first.
	It("ends few connections for one new caller", func() {
		const many = 40
		s := newServer(callerlimit.Limits{Connections: many, Bytes: 64 << 20})
		for range many {
			send(s.dial(), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nx")
		}
		Eventually(s.connections, waitLimit).Should(Equal(many))
		Expect(s.ask()).To(Equal(http.StatusOK))
		Expect(s.seen(callerlimit.CauseBody)()).To(BeNumerically("<=", many/10))
	})

	It("ends no connection whose request was read whole, and lets further callers wait", func() {
		s := newServer(callerlimit.Limits{Connections: kept, Bytes: room})
		var waiting []net.Conn
		for range kept {
			c := s.dial()
			send(c, "POST /wait HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx")
			waiting = append(waiting, c)
		}
		Eventually(s.connections, waitLimit).Should(Equal(kept))
		answered := make(chan int, 1)
		go func() { defer GinkgoRecover(); answered <- s.ask() }()
		Consistently(answered, "1s").ShouldNot(Receive())
		close(s.release)
		Eventually(answered, waitLimit).Should(Receive(Equal(http.StatusOK)))
		for _, c := range waiting {
			Expect(status(c)).To(Equal(http.StatusOK))
		}
	})

	It("takes the bytes of a body that hardly comes for one that does, and says not run", func() {
		s := newServer(callerlimit.Limits{Connections: kept, Bytes: room})
		stalled := s.dial()
		send(stalled, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\nx", room*3/4))
		Eventually(s.bytes, waitLimit).Should(BeNumerically(">", room*3/4))
		Eventually(func() int {
			c := s.dial()
			defer c.Close()
			send(c, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", room/2, strings.Repeat("z", room/2)))
			return status(c)
		}, waitLimit).Should(Equal(http.StatusOK))
		Expect(status(stalled)).To(Equal(http.StatusServiceUnavailable))
	})

	It("bounds the bytes of heads", func() {
		s := newServer(callerlimit.Limits{Connections: 100, Bytes: room})
		for range 40 {
			go func() {
				c, err := net.Dial("tcp", s.address)
				if err == nil {
					_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nX: "+strings.Repeat("y", 60<<10))
				}
			}()
		}
		Consistently(s.bytes, "1s", "1ms").Should(BeNumerically("<=", room))
		Eventually(s.ask, waitLimit).Should(Equal(http.StatusOK))
	})

	// Guards against time limits that count from the start, which end a caller on a slow link.
	It("ends a body that makes too little progress, and serves a slow one that makes enough", func() {
		const (
			progressTime = 2 * time.Second
			steps        = 30
			step         = 500
			pause        = 200 * time.Millisecond
		)
		s := newServerWith(callerlimit.Limits{Connections: kept, Bytes: room}, progressTime)
		slow, stalling := s.dial(), s.dial()
		for _, c := range []net.Conn{slow, stalling} {
			send(c, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", steps*step))
		}
		for range steps {
			send(slow, strings.Repeat("x", step))
			// A write fails once the server has ended the connection.
			_, _ = io.WriteString(stalling, "x")
			time.Sleep(pause)
		}
		Expect(status(slow)).To(Equal(http.StatusOK))
		Expect(s.seen(callerlimit.CauseSlow)()).To(BeEquivalentTo(1))
	})

	It("does not keep a process from ending", func() {
		s := newServer(callerlimit.Limits{Connections: kept, Bytes: room})
		c := s.dial()
		send(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nx")
		Eventually(s.connections, waitLimit).Should(Equal(1))
		s.account.Stop()
		Expect(status(c)).To(Equal(http.StatusServiceUnavailable))
		Eventually(s.connections, waitLimit).Should(BeZero())
	})

	// Guards against log lines that fill the disk, or displace others, under attack.
	It("reports a cause at most once a second, with all its effects", func() {
		s := newServer(callerlimit.Limits{Connections: 1, Bytes: room})
		began := time.Now()
		for range 5 {
			_ = s.dial()
		}
		Eventually(s.seen(callerlimit.CauseSilent), waitLimit).Should(BeEquivalentTo(4))
		s.mu.Lock()
		defer s.mu.Unlock()
		Expect(s.reports).To(BeNumerically("<=", 2*(1+int(time.Since(began)/time.Second))))
	})

})
