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

	"github.com/tamarackcleat/tamarackcleat/port"
)

// startServer runs a server until the spec ends and counts its requests. Its responses
// name the attempts that they answer.
func startServer(handler http.HandlerFunc) (address string, requests *atomic.Int64) {
	requests = &atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		w.Header().Set(port.HeaderAttempt, r.Header.Get(port.HeaderAttempt))
		handler(w, r)
	}))
	DeferCleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), requests
}

// fixedResponse returns a handler that gives every request the same response.
func fixedResponse(status int, contentType, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentType)
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

// closeConnection is a handler that closes the connection without a response.
func closeConnection(w http.ResponseWriter, _ *http.Request) {
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

// acceptAndClose starts a listener that closes every accepted connection without
// reading from it.
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

// closeOnSecondRequest starts a server that sends firstResponse to the first
// request of each connection and closes the connection after the second one. It
// counts the requests read.
func closeOnSecondRequest(firstResponse string) (address string, requests *atomic.Int64) {
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
			go answerFirstRequest(conn, firstResponse, requests)
		}
	}()
	return l.Addr().String(), requests
}

// answerFirstRequest sends firstResponse to the first request, reads a second
// request and closes the connection.
func answerFirstRequest(conn net.Conn, firstResponse string, requests *atomic.Int64) {
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
			_, _ = conn.Write([]byte(firstResponse))
		}
	}
}
