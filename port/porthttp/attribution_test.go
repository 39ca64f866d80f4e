package porthttp_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/port/porthttp"
)

// serveEach starts a server that answers the nth request of each connection, counted from
// 0, with the bytes that script returns; an empty answer sends last, if it is given, and
// closes the connection.
func serveEach(script func(n int, r *http.Request) string, last ...string) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for n := 0; ; n++ {
					req, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					// The server reads the whole request before it answers.
					_, _ = io.Copy(io.Discard, req.Body)
					out := script(n, req)
					if out == "" {
						_, _ = io.WriteString(conn, strings.Join(last, ""))
						return
					}
					if _, err := io.WriteString(conn, out); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// refuse returns a refusal in wire format with the given header lines.
func refuse(lines string) string {
	return "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n" + lines +
		"Content-Length: " + strconv.Itoa(len(refusal)) + "\r\n\r\n" + refusal
}

// Guards against "not run, try again" for a request that an upstream ran, and against a
// second run of it: an upstream wrote its refusal of an earlier request once more on a
// kept connection.
var _ = Describe("A refusal on a connection in use again", func() {
	attemptLine := func(r *http.Request) string {
		return fmt.Sprintf("%s: %s\r\n", port.HeaderAttempt, r.Header.Get(port.HeaderAttempt))
	}
	// second returns the error of the second of two requests on one connection, whose
	// upstream refuses both as script says.
	second := func(script func(n int, r *http.Request) string, send func(*porthttp.Upstream, string) error) error {
		address := serveEach(script)
		upstream := porthttp.NewUpstream(nil)
		Expect(send(upstream, address)).To(notRun)
		return send(upstream, address)
	}
	sends := map[string]func(*porthttp.Upstream, string) error{
		"call": func(u *porthttp.Upstream, address string) error {
			_, err := u.Call(context.Background(), address, port.CallRequest{RequestID: "r1"})
			return err
		},
		"generate": func(u *porthttp.Upstream, address string) error {
			_, err := u.Generate(context.Background(), address, port.GenerateRequest{RequestID: "r1"})
			return err
		},
		"order": func(u *porthttp.Upstream, address string) error {
			return u.Order(context.Background(), address, port.Order{Verb: port.OrderJoin})
		},
	}

	It("proves nothing if it names no attempt", func() {
		for name, send := range sends {
			Expect(second(func(int, *http.Request) string { return refuse("") }, send)).To(mayHaveRun, name)
		}
	})

	It("proves nothing if it names an earlier attempt", func() {
		for name, send := range sends {
			first := make(chan string, 1)
			Expect(second(func(n int, r *http.Request) string {
				if n == 0 {
					out := refuse(attemptLine(r))
					first <- out
					return out
				}
				return <-first
			}, send)).To(mayHaveRun, name)
		}
	})

	It("says that the request has not run if it names the attempt", func() {
		for name, send := range sends {
			Expect(second(func(_ int, r *http.Request) string { return refuse(attemptLine(r)) }, send)).To(notRun, name)
		}
	})
})

// Guards against an answer that stops in the middle of its head or body and is taken for
// a whole one.
var _ = Describe("An answer that breaks off", func() {
	const (
		answer = `{"request_id":"r1","body":{}}`
		events = "data: {\"request_id\":\"r1\",\"index\":0,\"text\":\"a\"}\n\n" +
			"data: {\"request_id\":\"r1\",\"index\":1,\"final\":true,\"finish\":\"stop\"}\n\n"
	)
	// whole returns a response in wire format, with a length if framed is set.
	whole := func(contentType, body string, framed bool) string {
		head := "HTTP/1.1 200 OK\r\nContent-Type: " + contentType + "\r\n"
		if framed {
			head += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
		}
		return head + "\r\n" + body
	}
	// cutOff starts a server that sends data on each connection and closes it.
	cutOff := func(data string) string {
		return serveEach(func(int, *http.Request) string { return "" }, data)
	}

	DescribeTable("is a failure of a call that may have run", func(framed bool) {
		response := whole("application/json", answer, framed)
		for cut := range response {
			_, err := porthttp.NewUpstream(nil).Call(context.Background(), cutOff(response[:cut]), port.CallRequest{RequestID: "r1"})
			Expect(err).To(mayHaveRun, "%q", response[:cut])
		}
	}, Entry("with a length", true), Entry("without a length", false))

	DescribeTable("is a failure of a generation unless its final chunk has come", func(framed bool) {
		response := whole("text/event-stream", events, framed)
		for cut := range response {
			tokens, final, err := readStream(cutOff(response[:cut]))
			if final {
				Expect(tokens).To(Equal(1), "%q", response[:cut])
				continue
			}
			Expect(err).To(mayHaveRun, "%q", response[:cut])
		}
	}, Entry("with a length", true), Entry("without a length", false))
})

// readStream generates at an address. It returns the number of tokens, whether the final
// chunk has come, and the error that ended the stream.
func readStream(address string) (tokens int, final bool, err error) {
	s, err := porthttp.NewUpstream(nil).Generate(context.Background(), address, port.GenerateRequest{RequestID: "r1"})
	if err != nil {
		return 0, false, err
	}
	defer s.Close()
	for {
		chunk, err := s.Next()
		switch {
		case err != nil:
			return tokens, final, err
		case chunk.Final:
			final = true
		default:
			tokens++
		}
	}
}
