package exchange

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// refusal returns an error response that names the request with the given id, or no
// request if the id is empty.
func refusal(id string) string {
	name := ""
	if id != "" {
		name = idHeader + ": " + id + "\r\n"
	}
	return "HTTP/1.1 503 Service Unavailable\r\n" + name + "Content-Length: 0\r\n\r\n"
}

// lenientRequest returns a request whose response may lack the id if it is an error.
func lenientRequest(id string, body []byte) *Request {
	return &Request{
		Method: http.MethodPost, Target: "/a", Host: "host.example", Header: http.Header{idHeader: {id}}, Body: Bytes(body), ID: id,
		Matches: func(status int, h http.Header) bool {
			got := h.Get(idHeader)
			return got == id || got == "" && status >= http.StatusBadRequest
		},
		Identifies: func(h http.Header) bool { return h.Get(idHeader) != "" },
	}
}

// Guards against a refusal of an earlier request that an upstream writes once more on a
// kept connection: the exchange took it for the refusal of the current request, which
// was running, and callers were told that it had not run.
var _ = Describe("A refusal that names no request", func() {
	var pool *Pool
	BeforeEach(func() {
		pool = NewPool(Options{DialTimeout: time.Second, UserTimeout: time.Second})
	})
	// do sends a request and returns the status of the response.
	do := func(u *upstream, r *Request) (int, error) {
		resp, err := pool.Do(context.Background(), u.address(), r)
		if err != nil {
			return 0, err
		}
		defer resp.Close()
		_, err = io.Copy(io.Discard, resp)
		return resp.Status, err
	}

	It("answers the first request of a connection", func() {
		u := serve(func(int, *http.Request) string { return refusal("") })
		Expect(do(u, lenientRequest("1", nil))).To(Equal(http.StatusServiceUnavailable))
	})

	DescribeTable("answers no later request of a connection, which is closed", func(idle time.Duration, bodyBytes int) {
		u := serve(func(n int, r *http.Request) string {
			if n == 0 {
				return refusal("")
			}
			return refusal("") + response(r.Header.Get(idHeader), "ok")
		})
		Expect(do(u, lenientRequest("1", nil))).To(Equal(http.StatusServiceUnavailable))
		time.Sleep(idle)
		_, err := do(u, lenientRequest("2", make([]byte, bodyBytes)))
		Expect(errors.Is(err, ErrUnattributedResponse)).To(BeTrue(), "%v", err)
		Expect(errors.Is(err, ErrNotSent)).To(BeFalse())
		Expect(pool.hosts).To(BeEmpty(), "the connection was kept")
	},
		Entry("right after the first", time.Duration(0), 4),
		Entry("after an idle time", 200*time.Millisecond, 4),
		Entry("with a large body", time.Duration(0), 4<<20),
	)

	It("answers no request if it arrives while the request is still being written", func() {
		u := serveRaw(func(c io.ReadWriter, n int) {
			if n > 0 {
				// Reads a part of the request, so that the node is still writing it.
				_, _ = io.ReadFull(c, make([]byte, 1<<10))
				_, _ = io.WriteString(c, refusal(""))
			}
			id := readID(c)
			_, _ = io.WriteString(c, response(id, "ok"))
		})
		Expect(do(u, lenientRequest("1", nil))).To(Equal(http.StatusOK))
		_, err := do(u, lenientRequest("2", make([]byte, 8<<20)))
		Expect(err).To(HaveOccurred())
		Expect(errors.Is(err, ErrNotSent)).To(BeFalse())
		Expect(pool.hosts).To(BeEmpty(), "the connection was kept")
	})

	It("is skipped if it names an earlier request", func() {
		u := serve(func(n int, r *http.Request) string {
			if n == 0 {
				return refusal("1")
			}
			return refusal("1") + response(r.Header.Get(idHeader), "ok")
		})
		Expect(do(u, lenientRequest("1", nil))).To(Equal(http.StatusServiceUnavailable))
		Expect(do(u, lenientRequest("2", nil))).To(Equal(http.StatusOK))
	})
})

// Guards against a copy of a refusal that names the request itself: the request comes
// to the same upstream again, and the copy would deny that it runs.
var _ = Describe("A request that is sent to an address again", func() {
	It("is not sent on a connection that has carried it", func() {
		pool := NewPool(Options{DialTimeout: time.Second, UserTimeout: time.Second, MaxPerAddress: func(string) int { return 1 }})
		u := serve(func(n int, r *http.Request) string {
			if n == 0 {
				return refusal(r.Header.Get(idHeader))
			}
			return refusal(r.Header.Get(idHeader)) + response(r.Header.Get(idHeader), "ok")
		})
		for range 2 {
			resp, err := pool.Do(context.Background(), u.address(), lenientRequest("1", nil))
			Expect(err).NotTo(HaveOccurred())
			_, err = io.Copy(io.Discard, resp)
			Expect(err).NotTo(HaveOccurred())
			resp.Close()
		}
		Expect(u.conns.Load()).To(BeEquivalentTo(2))
		Expect(pool.hosts[u.address()].open).To(Equal(1))
	})

	It("finds the ids of all requests of a connection, which carries a limited number of them", func() {
		pool := NewPool(Options{DialTimeout: time.Second, UserTimeout: time.Second})
		u := serve(func(n int, r *http.Request) string { return response(r.Header.Get(idHeader), "ok") })
		for i := range maxRequestsPerConn + 1 {
			resp, err := pool.Do(context.Background(), u.address(), lenientRequest(strconv.Itoa(i), nil))
			Expect(err).NotTo(HaveOccurred())
			_, err = io.Copy(io.Discard, resp)
			Expect(err).NotTo(HaveOccurred())
			resp.Close()
		}
		Expect(u.conns.Load()).To(BeEquivalentTo(2))
	})
})
