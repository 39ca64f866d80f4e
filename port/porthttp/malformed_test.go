package porthttp_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/port/porthttp"
	"github.com/tamarackcleat/tamarackcleat/standin/fault"
)

// Guards against answers that are taken as sound ones although the name of a field holds a
// blank or a control byte, which may have changed what the body is, or the status is none.
var _ = Describe("A malformed answer", func() {
	ctx := context.Background()
	// each calls f with the address of a server for each damaged form of an answer.
	each := func(status int, body string, f func(address, answer string)) {
		for _, answer := range fault.MalformedAnswers(status, body) {
			f(serveEach(func(int, *http.Request) string { return "" }, answer), answer)
		}
	}

	DescribeTable("of an upstream is no answer, and proves nothing", func(status int, body string, send func(*porthttp.Upstream, string) error) {
		each(status, body, func(address, answer string) {
			Expect(send(porthttp.NewUpstream(nil), address)).To(mayHaveRun, "%q", answer)
		})
	},
		Entry("to a call", 200, `{"request_id":"r1","body":{}}`, func(u *porthttp.Upstream, address string) error {
			_, err := u.Call(ctx, address, port.CallRequest{RequestID: "r1"})
			return err
		}),
		Entry("that refuses a call", 503, refusal, func(u *porthttp.Upstream, address string) error {
			_, err := u.Call(ctx, address, port.CallRequest{RequestID: "r1"})
			return err
		}),
		Entry("that refuses a generation", 429, refusal, func(u *porthttp.Upstream, address string) error {
			_, err := u.Generate(ctx, address, port.GenerateRequest{RequestID: "r1"})
			return err
		}),
		Entry("that refuses an order", 409, refusal, func(u *porthttp.Upstream, address string) error {
			return u.Order(ctx, address, port.Order{Verb: port.OrderJoin})
		}),
		Entry("to a request for a report", 200, `{}`, func(u *porthttp.Upstream, address string) error {
			_, err := u.Report(ctx, address)
			return err
		}),
		Entry("to a request for cache events", 200, `{}`, func(u *porthttp.Upstream, address string) error {
			_, err := u.CacheEvents(ctx, address, 0)
			return err
		}),
	)

	// The status of an order or a cancellation is its whole answer, so only their heads count.
	It("of an upstream confirms no order and no cancellation", func() {
		for _, line := range fault.DamagedNames("Content-Length: 0") {
			address := serveEach(func(int, *http.Request) string { return "" }, "HTTP/1.1 200 OK\r\n"+line+"\r\n\r\n")
			Expect(porthttp.NewUpstream(nil).Order(ctx, address, port.Order{Verb: port.OrderJoin})).To(mayHaveRun, "%q", line)
			Expect(porthttp.NewUpstream(nil).Cancel(ctx, address, "r1")).To(mayHaveRun, "%q", line)
		}
	})

	It("begins no generation", func() {
		for _, line := range fault.DamagedNames("X-Unknown: a") {
			address := serveEach(func(int, *http.Request) string { return "" },
				"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"+line+"\r\n\r\n"+chunkEvent("r1", 0, true))
			_, err := porthttp.NewUpstream(nil).Generate(ctx, address, port.GenerateRequest{RequestID: "r1"})
			Expect(err).To(mayHaveRun, "%q", line)
		}
	})

	It("of the log leaves open whether an entry was appended", func() {
		each(200, `{"offset":1}`, func(address, answer string) {
			_, err := porthttp.NewLog("http://"+address, nil).Append(ctx, "s", json.RawMessage(`1`))
			Expect(err).To(HaveOccurred(), "%q", answer)
			Expect(errors.Is(err, port.ErrNotAppended)).To(BeFalse(), "%q", answer)
		})
		each(503, `{"appended":false}`, func(address, answer string) {
			_, err := porthttp.NewLog("http://"+address, nil).Append(ctx, "s", json.RawMessage(`1`))
			Expect(err).To(HaveOccurred(), "%q", answer)
			Expect(errors.Is(err, port.ErrNotAppended)).To(BeFalse(), "%q", answer)
		})
	})

	It("of the log or the lists holds nothing", func() {
		each(200, `{"first":1,"next":1,"entries":[],"vms":[],"models":[]}`, func(address, answer string) {
			_, err := porthttp.NewLog("http://"+address, nil).Read(ctx, "s", 1, 0)
			Expect(err).To(HaveOccurred(), "%q", answer)
			lists := porthttp.NewInventory("http://"+address, "http://"+address, nil)
			_, err = lists.VMs(ctx)
			Expect(err).To(HaveOccurred(), "%q", answer)
			_, err = lists.Models(ctx)
			Expect(err).To(HaveOccurred(), "%q", answer)
		})
	})
})

// Guards against a part of an answer that is taken for a whole one: the upstream answered
// before it had read the request, without a length, and reset the connection.
var _ = Describe("An answer that breaks off while its request is written", func() {
	const (
		promptBytes = 8 << 20
		call        = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"request_id\":\"r1\",\"body\":{"
		stream      = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	)
	// resetAfter starts a server that answers the head of a request and resets the connection.
	resetAfter := func(answer string) string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				if _, err := http.ReadRequest(bufio.NewReaderSize(c, 16)); err == nil {
					_, _ = io.WriteString(c, answer)
				}
				// The bytes must arrive before the reset discards them.
				time.Sleep(50 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}
		}()
		return l.Addr().String()
	}

	It("is a failure of a call that may have run", func() {
		body := json.RawMessage(`"` + strings.Repeat("x", promptBytes) + `"`)
		_, err := porthttp.NewUpstream(nil).Call(context.Background(), resetAfter(call), port.CallRequest{RequestID: "r1", Body: body})
		Expect(err).To(mayHaveRun)
	})

	It("is a failure of a generation that may have run", func() {
		s, err := porthttp.NewUpstream(nil).Generate(context.Background(), resetAfter(stream+chunkEvent("r1", 0, false)),
			port.GenerateRequest{RequestID: "r1", Prompt: strings.Repeat("x", promptBytes)})
		if err == nil {
			DeferCleanup(s.Close)
			for err == nil {
				_, err = s.Next()
			}
		}
		Expect(err).To(mayHaveRun)
	})
})
