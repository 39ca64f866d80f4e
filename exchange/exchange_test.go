package exchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/standin/fault"
	"github.com/tamarackcleat/tamarackcleat/wirecheck"
)

const idHeader = "X-Id"

// upstream is a test server that answers each request as a script function says.
type upstream struct {
	listener net.Listener
	conns    atomic.Int32
	requests atomic.Int32
}

// serve starts an upstream that answers the nth request of each connection, counted
// from 0, with the bytes that script returns; an empty answer closes the connection.
func serve(script func(n int, r *http.Request) string) *upstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	u := &upstream{listener: l}
	DeferCleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.conns.Add(1)
			go u.handle(c, script)
		}
	}()
	return u
}

func (u *upstream) handle(c net.Conn, script func(n int, r *http.Request) string) {
	defer c.Close()
	br := bufio.NewReader(c)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		u.requests.Add(1)
		out := script(n, r)
		if out == "" {
			return
		}
		if _, err := io.WriteString(c, out); err != nil {
			return
		}
	}
}

func (u *upstream) address() string { return u.listener.Addr().String() }

func request(id string) *Request {
	return &Request{
		Method: http.MethodPost, Target: "/a/b?c=%2F", Host: "host.example", Header: http.Header{idHeader: {id}}, Body: Bytes("body"),
		Matches: func(status int, h http.Header) bool { return h.Get(idHeader) == id },
	}
}

func response(id, body string) string {
	return "HTTP/1.1 200 OK\r\n" + idHeader + ": " + id + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

var _ = Describe("Exchange", func() {
	var pool *Pool
	BeforeEach(func() {
		pool = NewPool(Options{DialTimeout: time.Second, UserTimeout: time.Second})
	})
	// do sends a request and returns the body of the response.
	do := func(u *upstream, id string) (string, error) {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		resp, err := pool.Do(ctx, u.address(), request(id))
		if err != nil {
			return "", err
		}
		defer resp.Close()
		body, err := io.ReadAll(resp)
		return string(body), err
	}

	It("sends the target and host unchanged and reuses the connection", func() {
		var target, host string
		u := serve(func(n int, r *http.Request) string {
			target, host = r.RequestURI, r.Host
			return response(r.Header.Get(idHeader), "ok")
		})
		for _, id := range []string{"1", "2", "3"} {
			Expect(do(u, id)).To(Equal("ok"))
		}
		Expect(target).To(Equal("/a/b?c=%2F"))
		Expect(host).To(Equal("host.example"))
		Expect(u.conns.Load()).To(BeEquivalentTo(1))
	})

	It("marks the request as not sent if the connection is refused", func() {
		u := serve(nil)
		u.listener.Close()
		_, err := do(u, "1")
		Expect(errors.Is(err, ErrNotSent)).To(BeTrue())
	})

	It("does not retry a request when a reused connection closes", func() {
		u := serve(func(n int, r *http.Request) string {
			if n == 1 {
				return ""
			}
			return response(r.Header.Get(idHeader), "ok")
		})
		Expect(do(u, "1")).To(Equal("ok"))
		_, err := do(u, "2")
		Expect(err).To(HaveOccurred())
		Expect(errors.Is(err, ErrNotSent)).To(BeFalse())
		Expect(u.requests.Load()).To(BeEquivalentTo(2))
	})

	It("skips a late second response to an earlier request", func() {
		u := serve(func(n int, r *http.Request) string {
			own := response(r.Header.Get(idHeader), "ok")
			if n == 1 {
				return response("1", "again") + own
			}
			return own
		})
		Expect(do(u, "1")).To(Equal("ok"))
		Expect(do(u, "2")).To(Equal("ok"))
	})

	It("does not reuse a connection that has unread bytes", func() {
		u := serve(func(n int, r *http.Request) string {
			return response(r.Header.Get(idHeader), "ok") + response("other", "extra")
		})
		Expect(do(u, "1")).To(Equal("ok"))
		Expect(do(u, "2")).To(Equal("ok"))
		Expect(u.conns.Load()).To(BeEquivalentTo(2))
	})

	// Guards against a request on a connection whose next bytes are known to be malformed.
	It("does not reuse a connection whose response is followed by a malformed line", func() {
		u := serve(func(n int, r *http.Request) string {
			return response(r.Header.Get(idHeader), "ok") + "HTTP/1.1 200 OK\n"
		})
		Expect(do(u, "1")).To(Equal("ok"))
		Expect(do(u, "2")).To(Equal("ok"))
		Expect(u.conns.Load()).To(BeEquivalentTo(2))
	})

	// Guards against damaged fields that are passed on or change the framing of the body.
	DescribeTable("fails at a malformed line and closes the connection", func(response string) {
		u := serve(func(int, *http.Request) string { return response })
		_, err := do(u, "1")
		Expect(errors.Is(err, wirecheck.ErrMalformed)).To(BeTrue(), "%v", err)
		Expect(errors.Is(err, ErrNotSent)).To(BeFalse())
		Expect(pool.hosts).To(BeEmpty())
	},
		Entry("in a head", "HTTP/1.1 200 OK\r\n"+idHeader+": 1\r\nContent-Length : 2\r\n\r\nok"),
		Entry("in a head after one that is skipped", response("2", "no")+"HTTP/1.1 200 OK\r\n"+idHeader+": 1\r\nX A: b\r\nContent-Length: 2\r\n\r\nok"),
		Entry("in a trailer", "HTTP/1.1 200 OK\r\n"+idHeader+": 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX A: b\r\n\r\n"),
	)

	// Guards against an invalid status that passes for an interim response: what followed it
	// was the answer, be it a part of its own body, or the request was held until its deadline.
	DescribeTable("fails at once at an invalid status", func(rest string) {
		for _, code := range fault.InvalidStatuses {
			u := serve(func(int, *http.Request) string { return "HTTP/1.1 " + code + " X\r\n" + idHeader + ": 1\r\n" + rest })
			begun := time.Now()
			body, err := do(u, "1")
			Expect(errors.Is(err, wirecheck.ErrMalformed)).To(BeTrue(), "%s: %q, %v", code, body, err)
			Expect(time.Since(begun)).To(BeNumerically("<", time.Second), code)
			Expect(pool.hosts).To(BeEmpty())
		}
	},
		Entry("without a body", "Content-Length: 0\r\n\r\n"),
		Entry("with a body", "Content-Length: 2\r\n\r\nok"),
		Entry("with a body that looks like an answer", "Content-Length: 45\r\n\r\n"+response("1", "ok")),
		Entry("before another answer", "Content-Length: 0\r\n\r\n"+response("1", "ok")),
	)

	It("fails if all responses belong to other requests", func() {
		foreign := response("other", "no")
		u := serve(func(int, *http.Request) string { return foreign + foreign + foreign + foreign })
		_, err := do(u, "1")
		Expect(errors.Is(err, ErrUnmatchedResponse)).To(BeTrue())
	})

	It("waits for the matching response after another request's response no longer than the context allows", func() {
		u := serve(func(int, *http.Request) string { return response("other", "no") })
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err := pool.Do(ctx, u.address(), request("1"))
		Expect(err).To(HaveOccurred())
	})

	It("returns an error for a body that is cut off", func() {
		u := serve(func(n int, r *http.Request) string {
			return "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nContent-Length: 9\r\nConnection: close\r\n\r\nhalf"
		})
		l := u.listener
		resp, err := pool.Do(context.Background(), l.Addr().String(), request("1"))
		Expect(err).NotTo(HaveOccurred())
		defer resp.Close()
		go func() {
			time.AfterFunc(50*time.Millisecond, func() { resp.conn.abort() })
		}()
		_, err = io.ReadAll(resp)
		Expect(err).To(HaveOccurred())
	})

	It("ends the exchange when its context ends", func() {
		block := make(chan struct{})
		defer close(block)
		u := serve(func(int, *http.Request) string { <-block; return "" })
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err := pool.Do(ctx, u.address(), request("1"))
		Expect(err).To(HaveOccurred())
	})

	It("opens no more connections to an address than the limit allows", func() {
		pool = NewPool(Options{DialTimeout: time.Second, UserTimeout: time.Second, MaxPerAddress: func(string) int { return 1 }})
		u := serve(func(n int, r *http.Request) string { return response(r.Header.Get(idHeader), "ok") })
		first, err := pool.Do(context.Background(), u.address(), request("1"))
		Expect(err).NotTo(HaveOccurred())
		_, err = do(u, "2")
		Expect(errors.Is(err, ErrTooManyConnections)).To(BeTrue())
		first.Close()
	})

	// Guards against a node that runs out of descriptors: each request that repeats an id gets
	// a connection of its own, and the former ones stayed open, thousands within seconds.
	It("keeps the open connections to all addresses under a limit, closing the one that is idle longest", func() {
		const limit = 3
		pool = NewPool(Options{DialTimeout: time.Second, UserTimeout: time.Second, MaxOpen: func() int { return limit }})
		answer := func(n int, r *http.Request) string { return response(r.Header.Get(idHeader), "ok") }
		upstreams := []*upstream{serve(answer), serve(answer)}
		for i := range 20 {
			Expect(do(upstreams[i%2], "same")).To(Equal("ok"))
			Expect(pool.open).To(BeNumerically("<=", limit))
		}
		var held []*Response
		for i := range limit {
			resp, err := pool.Do(context.Background(), upstreams[0].address(), request(fmt.Sprint(i)))
			Expect(err).NotTo(HaveOccurred())
			held = append(held, resp)
		}
		_, err := do(upstreams[1], "further")
		Expect(errors.Is(err, ErrTooManyConnections)).To(BeTrue())
		for _, resp := range held {
			resp.Close()
		}
		Expect(do(upstreams[1], "further")).To(Equal("ok"))
		pool.CloseIdle(upstreams[0].address())
		pool.CloseIdle(upstreams[1].address())
		Expect(pool.open).To(BeZero())
	})

	It("does not keep a connection after a response without a length", func() {
		u := serve(func(n int, r *http.Request) string { return "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\n\r\nall" })
		resp, err := pool.Do(context.Background(), u.address(), request("1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.framed).To(BeFalse())
		resp.Close()
		Expect(pool.hosts).To(BeEmpty())
	})
})

// serveRaw starts an upstream whose connections are handled by a function, which is
// called for the nth request of each, counted from 0.
func serveRaw(handle func(c io.ReadWriter, n int)) *upstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	u := &upstream{listener: l}
	DeferCleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.conns.Add(1)
			go func() {
				defer c.Close()
				for n := range 2 {
					handle(c, n)
				}
			}()
		}
	}()
	return u
}

// readID reads the head of a request, or the rest of a request, and returns the id in it;
// empty if there is none.
func readID(c io.Reader) string {
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r.Header.Get(idHeader)
}
