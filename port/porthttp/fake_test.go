package porthttp_test

import (
	"bufio"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// serve runs a handler for the length of one spec and counts its requests.
func serve(handler http.HandlerFunc) (address string, requests *atomic.Int64) {
	requests = &atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		handler(w, r)
	}))
	DeferCleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), requests
}

// answer returns a handler with a fixed answer.
func answer(status int, contentType, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentType)
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

// hangUp returns a handler that closes the connection without an answer.
func hangUp(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		conn.Close()
	}
}

// closedPort returns an address on which nothing listens.
func closedPort() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	Expect(l.Close()).To(Succeed())
	return l.Addr().String()
}

// acceptAndClose accepts connections and closes each before it reads a byte.
func acceptAndClose() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			conn.Close()
		}
	}()
	return l.Addr().String()
}

// breakSecond answers the first request of each connection and closes the
// connection when the second one arrives. It counts the requests read.
func breakSecond(first string) (address string, requests *atomic.Int64) {
	requests = &atomic.Int64{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveOnce(conn, first, requests)
		}
	}()
	return l.Addr().String(), requests
}

// serveOnce answers one request and reads a second one without answering it.
func serveOnce(conn net.Conn, first string, requests *atomic.Int64) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for i := range 2 {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		requests.Add(1)
		_ = req.Body.Close()
		if i == 0 {
			_, _ = conn.Write([]byte(first))
		}
	}
}
