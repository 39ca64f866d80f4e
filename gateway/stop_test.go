package gateway

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/exchange"
	"github.com/tamarackcleat/tamarackcleat/fleet"
	"github.com/tamarackcleat/tamarackcleat/keyed"
)

// plainProtocol is a Protocol that takes each request as it is. No route serves them,
// because the node has no configuration.
type plainProtocol struct {
	// decoding is called with each request that the node decodes; it may be nil.
	decoding func()
}

func (plainProtocol) ReadyPath() string { return "/ready" }

func (p plainProtocol) Decode(r *http.Request) (*Request, error) {
	if p.decoding != nil {
		p.decoding()
	}
	return &Request{ID: "1", Method: r.Method, Host: r.Host, Path: r.URL.Path, Timeout: testPatience}, nil
}

func (plainProtocol) Encode(*Request, Attempt) *exchange.Request { return nil }
func (plainProtocol) Classify(int, http.Header) ResponseInfo     { return ResponseInfo{} }
func (plainProtocol) AddRequestID(h http.Header, r *Request)     {}

// testPatience is how long the callers of a plainProtocol wait.
const testPatience = 300 * time.Millisecond

// freePort returns a loopback address that was free when it was checked.
func freePort() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return l.Addr().String()
}

// runNode runs a node with the protocol p. It returns the address for callers, the
// function that tells the node to stop, and the channel that gets Run's error.
func runNode(p Protocol, grace time.Duration) (string, context.CancelFunc, chan error) {
	address := freePort()
	n := New(Settings{Node: "n", ListenCaller: address, ListenReady: freePort(), Bounds: Bounds{ShutdownGrace: grace}},
		Dependencies{Protocol: p, Log: awayLog{}}, slog.New(slog.DiscardHandler))
	// The node has a configuration without routes, so that it reads the body of a
	// request before it refuses the request.
	n.state.builder.SetConfig(fleet.NewConfig(1, nil))
	n.state.publish()
	ctx, stop := context.WithCancel(context.Background())
	DeferCleanup(stop)
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	Eventually(func() error {
		c, err := net.Dial("tcp", address)
		if err == nil {
			c.Close()
		}
		return err
	}).Should(Succeed())
	return address, stop, ended
}

const plainRequest = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"

// Guards against ending the process as soon as no request is in flight: requests that
// were accepted in that moment, or had just been read, got no answer.
var _ = Describe("A planned stop under load", func() {
	It("answers each request that the node has begun to read", func() {
		var begun, answered atomic.Int64
		address, stop, ended := runNode(plainProtocol{decoding: func() {
			begun.Add(1)
			time.Sleep(2 * time.Millisecond)
		}}, 8*time.Second)
		for range 24 {
			go func() {
				for {
					c, err := net.Dial("tcp", address)
					if err != nil {
						return
					}
					if exchangePlain(c) == nil {
						answered.Add(1)
					}
					c.Close()
				}
			}()
		}
		Eventually(answered.Load, "10s").Should(BeNumerically(">", 100))
		stop()
		Eventually(ended, "10s").Should(Receive(BeNil()))
		// The process would have ended here: requests that are begun later, or are
		// not answered yet, would be cut off.
		atEnd := begun.Load()
		Consistently(begun.Load, "200ms").Should(Equal(atEnd), "requests are still read")
		Expect(answered.Load()).To(Equal(atEnd), "requests were cut off")
	})
})

// Guards against dropping whole requests without an answer: the HTTP server closes a
// connection whose first request it reads after it was told to stop.
var _ = Describe("A connection that was accepted before a planned stop closes the listener", func() {
	It("is answered although its request comes after that", func() {
		address, stop, ended := runNode(plainProtocol{}, 8*time.Second)
		accepted, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		defer accepted.Close()
		stop()
		Eventually(func() error {
			c, err := net.Dial("tcp", address)
			if err == nil {
				c.Close()
			}
			return err
		}, "10s", "1ms").ShouldNot(Succeed())
		Expect(exchangePlain(accepted)).To(Succeed())
		Eventually(ended, "10s").Should(Receive(BeNil()))
	})

	It("does not hold up the stop if it sends nothing", func() {
		address, stop, ended := runNode(plainProtocol{}, 8*time.Second)
		silent, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		defer silent.Close()
		stop()
		Eventually(ended, drainNoticeTime+2*time.Second).Should(Receive(BeNil()))
	})
})

// exchangePlain sends a request on a connection and reads the response.
func exchangePlain(c net.Conn) error {
	if _, err := io.WriteString(c, plainRequest); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

var _ = Describe("A caller that is slow without end", func() {
	// The pace of a byte each 10 ms keeps every timeout from firing that starts again
	// with each byte.
	const pace = 10 * time.Millisecond

	It("does not hold a request by a body that never ends", func() {
		address, _, _ := runNode(plainProtocol{}, time.Second)
		c, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		Expect(io.WriteString(c, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n")).NotTo(BeZero())
		go func() {
			for err := error(nil); err == nil; time.Sleep(pace) {
				_, err = c.Write([]byte("x"))
			}
		}()
		answered := make(chan error, 1)
		go func() {
			_, err := http.ReadResponse(bufio.NewReader(c), nil)
			answered <- err
		}()
		Eventually(answered, 5*testPatience).Should(Receive())
	})

	It("does not hold a connection by a header that never ends", func() {
		address, _, _ := runNode(plainProtocol{}, time.Second)
		c, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		Expect(io.WriteString(c, "POST /a HTTP/1.1\r\nHost: h\r\nA: ")).NotTo(BeZero())
		sending := make(chan error, 1)
		go func() {
			var err error
			for ; err == nil; time.Sleep(pace) {
				_, err = c.Write([]byte("x"))
			}
			sending <- err
		}()
		Eventually(sending, callerHeaderTimeout+2*time.Second).Should(Receive())
	})
})

// awayLog is a log that can't be reached.
type awayLog struct{}

func (awayLog) Newest(context.Context, string) (keyed.Page, error) {
	return keyed.Page{}, errors.New("away")
}

func (awayLog) Read(context.Context, string, int64, time.Duration) (keyed.Page, error) {
	return keyed.Page{}, errors.New("away")
}
