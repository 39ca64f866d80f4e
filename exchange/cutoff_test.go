package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// cutOff starts an upstream that answers each connection's request with data and then
// closes the connection, or resets it.
func cutOff(data string, reset bool) *upstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = l.Close() })
	u := &upstream{listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.conns.Add(1)
			go func() {
				readID(c)
				_, _ = io.WriteString(c, data)
				if reset {
					// The bytes must arrive before the reset discards them.
					time.Sleep(20 * time.Millisecond)
					_ = c.(*net.TCPConn).SetLinger(0)
				}
				_ = c.Close()
			}()
		}
	}()
	return u
}

var _ = Describe("An answer that breaks off", func() {
	var pool *Pool
	BeforeEach(func() {
		pool = NewPool(Options{DialTimeout: time.Second, UserTimeout: time.Second})
	})
	// do returns the status and the body of the answer to a request, and the error that
	// ended it.
	do := func(u *upstream) (int, string, error) {
		resp, err := pool.Do(context.Background(), u.address(), request("1"))
		if err != nil {
			return 0, "", err
		}
		defer resp.Close()
		body, err := io.ReadAll(resp)
		return resp.Status, string(body), err
	}
	const head = "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nContent-Length: 0\r\n\r\n"
	const unframedHead = "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nX-Stamp: abc\r\n\r\n"

	// Guards against an answer whose head stopped in the middle: callers got a 200 with
	// an empty body.
	It("anywhere in its head is a failure of a request that was sent", func() {
		for _, whole := range []string{head, unframedHead} {
			for cut := range whole {
				for _, reset := range []bool{false, true} {
					if reset && cut%7 != 0 {
						continue
					}
					_, _, err := do(cutOff(whole[:cut], reset))
					Expect(err).To(HaveOccurred(), "%q, reset %t", whole[:cut], reset)
					Expect(errors.Is(err, ErrNotSent)).To(BeFalse(), "%q, reset %t: %v", whole[:cut], reset, err)
				}
			}
		}
		Expect(pool.hosts).To(BeEmpty())
	})

	// Guards against a body that was cut off and passed on as a whole one.
	DescribeTable("in its body is a failure", func(data string, reset bool) {
		status, body, err := do(cutOff(data, reset))
		Expect(err).To(HaveOccurred(), "%d %q", status, body)
		Expect(pool.hosts).To(BeEmpty())
	},
		Entry("short of its length", "HTTP/1.1 200 OK\r\n"+idHeader+": 1\r\nContent-Length: 9\r\n\r\nhalf", false),
		Entry("short of its length, reset", "HTTP/1.1 200 OK\r\n"+idHeader+": 1\r\nContent-Length: 9\r\n\r\nhalf", true),
		Entry("in a chunk", "HTTP/1.1 200 OK\r\n"+idHeader+": 1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf", false),
		Entry("in a chunk's length", "HTTP/1.1 200 OK\r\n"+idHeader+": 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0", false),
		Entry("before the last chunk", "HTTP/1.1 200 OK\r\n"+idHeader+": 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", false),
		Entry("in the end of the last chunk", "HTTP/1.1 200 OK\r\n"+idHeader+": 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n", false),
		Entry("before the last chunk of a body with both length and chunks",
			"HTTP/1.1 200 OK\r\n"+idHeader+": 1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", false),
		Entry("by a reset where it has no length", unframedHead+"half", true),
		Entry("by a reset where it has no length and no byte of it came", unframedHead, true),
		Entry("by a reset in HTTP/1.0", "HTTP/1.0 200 OK\r\n"+idHeader+": 1\r\n\r\nhalf", true),
		Entry("short of its length in HTTP/1.0", "HTTP/1.0 200 OK\r\n"+idHeader+": 1\r\nContent-Length: 9\r\n\r\nhalf", false),
		Entry("with two lengths", "HTTP/1.1 200 OK\r\n"+idHeader+": 1\r\nContent-Length: 4\r\nContent-Length: 9\r\n\r\nhalf", false),
	)

	DescribeTable("at a clean end of its connection is whole if it has neither a length nor chunks", func(data string) {
		status, body, err := do(cutOff(data, false))
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusOK))
		Expect(body).To(Equal("all"))
	},
		Entry("in HTTP/1.1", unframedHead+"all"),
		Entry("in HTTP/1.0", "HTTP/1.0 200 OK\r\n"+idHeader+": 1\r\n\r\nall"),
	)

	It("says whether its end shows without the end of its connection", func() {
		for data, framed := range map[string]bool{head: true, unframedHead + "all": false} {
			resp, err := pool.Do(context.Background(), cutOff(data, false).address(), request("1"))
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.Framed()).To(Equal(framed))
			resp.Close()
		}
	})
})

// Guards against a part of a body that is passed on as a whole one: the connection failed
// while the request was written, and nothing else stated the end of the body.
var _ = Describe("An answer that breaks off before its request is written", func() {
	// size doesn't fit into the buffers of a connection.
	const size = 8 << 20
	// answer sends a request to an upstream that reads a part of its body, answers with
	// data and ends the connection, and returns what came of it.
	answer := func(pool *Pool, data string, read int64, end func(*net.TCPConn)) (int, string, error) {
		u := serveRaw(func(c io.ReadWriter, n int) {
			r, err := http.ReadRequest(bufio.NewReaderSize(c, 16))
			if err != nil {
				return
			}
			_, _ = io.CopyN(io.Discard, r.Body, read)
			_, _ = io.WriteString(c, data)
			// The bytes must arrive before a reset discards them.
			time.Sleep(50 * time.Millisecond)
			tcp := c.(*net.TCPConn)
			end(tcp)
			_ = tcp.Close()
		})
		r := request("1")
		r.Body = make(Bytes, size)
		resp, err := pool.Do(context.Background(), u.address(), r)
		if err != nil {
			return 0, "", err
		}
		defer resp.Close()
		body, err := io.ReadAll(resp)
		return resp.Status, string(body), err
	}
	ends := map[string]func(*net.TCPConn){
		"reset":                   func(c *net.TCPConn) { _ = c.SetLinger(0) },
		"closed":                  func(*net.TCPConn) {},
		"half closed, then reset": func(c *net.TCPConn) { _ = c.CloseWrite(); _ = c.SetLinger(0) },
	}
	const fields = "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\n"

	DescribeTable("is a failure of a request that may have run", func(data string) {
		for how, end := range ends {
			for _, read := range []int64{0, 100 << 10} {
				pool := NewPool(Options{DialTimeout: time.Second, UserTimeout: time.Second})
				status, body, err := answer(pool, data, read, end)
				Expect(err).To(HaveOccurred(), "%s after %d bytes: %d %q", how, read, status, body)
				Expect(errors.Is(err, ErrNotSent)).To(BeFalse(), how)
				Expect(pool.hosts).To(BeEmpty(), how)
			}
		}
	},
		Entry("without a length", fields+"\r\nhalf"),
		Entry("without a length and before its body", fields+"\r\n"),
		Entry("in HTTP/1.0", "HTTP/1.0 200 OK\r\n"+idHeader+": 1\r\n\r\nhalf"),
		Entry("short of its length", fields+"Content-Length: 9\r\n\r\nhalf"),
		Entry("before its last chunk", fields+"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"),
		Entry("in its head", fields),
	)

	DescribeTable("is whole if it states its end, and its connection is not used again", func(data string) {
		for how, end := range ends {
			pool := NewPool(Options{DialTimeout: time.Second, UserTimeout: time.Second})
			status, body, err := answer(pool, data, 0, end)
			Expect(err).NotTo(HaveOccurred(), how)
			Expect(status).To(Equal(http.StatusOK))
			Expect(body).To(Equal("all"))
			Expect(pool.hosts).To(BeEmpty(), how)
		}
	},
		Entry("by a length", fields+"Content-Length: 3\r\n\r\nall"),
		Entry("by a last chunk", fields+"Transfer-Encoding: chunked\r\n\r\n3\r\nall\r\n0\r\n\r\n"),
	)

	It("is whole without a length if the upstream closes its direction and reads on", func() {
		pool := NewPool(Options{DialTimeout: time.Second, UserTimeout: time.Second})
		status, body, err := answer(pool, fields+"\r\nall", 0, func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_, _ = io.CopyN(io.Discard, c, size)
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusOK))
		Expect(body).To(Equal("all"))
	})
})

// Guards against an upstream's answer that is dropped: it came before the request was
// written to its end, and the upstream did not read the rest.
var _ = Describe("An answer to a request that the upstream does not read to its end", func() {
	const body = 8 << 20
	It("is the answer to the request, and its connection is not used again", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = l.Close() })
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					// The body is not read.
					_, _ = http.ReadRequest(bufio.NewReader(c))
					_, _ = io.WriteString(c, "HTTP/1.1 413 Too Large\r\n"+idHeader+": 1\r\nContent-Length: 3\r\n\r\nbig")
					time.Sleep(50 * time.Millisecond)
					// Closing with unread bytes resets the connection.
					_ = c.Close()
				}()
			}
		}()
		pool := NewPool(Options{DialTimeout: time.Second, UserTimeout: time.Second})
		r := request("1")
		r.Body = make(Bytes, body)
		resp, err := pool.Do(context.Background(), l.Addr().String(), r)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Status).To(Equal(http.StatusRequestEntityTooLarge))
		answer, err := io.ReadAll(resp)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(answer)).To(Equal("big"))
		resp.Close()
		Expect(pool.hosts).To(BeEmpty())
	})
})
