package wirecheck_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/bounded"
	"github.com/tamarackcleat/tamarackcleat/wirecheck"
)

func TestWirecheck(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Wirecheck Suite")
}

// fieldLines are sound lines whose meaning is lost or changes if a byte is added.
var fieldLines = []string{
	"Content-Length: 4", "Transfer-Encoding: chunked", "Connection: close", "Content-Type: text/event-stream",
	"Content-Encoding: gzip", "X-Stamp: abc", "X-Foo: bar",
}

// badBytes are the bytes that no name of a field may hold and that a parser may take for
// another part of the syntax.
var badBytes = []string{" ", "\t", "\n", "\r", "\x00", "\x01", "\v", "\f", "\x1b", "\x7f", "\r\n ", "\r\n\t", "\n "}

// damaged calls f with each line, each byte in it and each place in its name, the end
// included.
func damaged(f func(line string)) {
	for _, line := range fieldLines {
		for _, bad := range badBytes {
			for at := range strings.Index(line, ":") + 1 {
				if at == 0 && strings.HasPrefix(bad, "\r\n") {
					// A sound end of the head.
					continue
				}
				f(line[:at] + bad + line[at:])
			}
		}
	}
}

// parse reads the responses of input one after the other, as a client does, and returns
// their bodies and the error that ended them; io.EOF at the end of input.
func parse(r io.Reader) (bodies []string, err error) {
	br := bufio.NewReader(r)
	for {
		if _, err := br.Peek(1); err != nil {
			return bodies, err
		}
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return bodies, err
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return bodies, err
		}
		bodies = append(bodies, string(body))
	}
}

const (
	withLength = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab\n:"
	inChunks   = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=\"y\"\r\n\n\r\n:\r\n2 \r\nab\r\n0\r\nX-Sum: 1\r\n\r\n"
	interim    = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	noContent  = "HTTP/1.1 204 No Content\r\nContent-Length: 4\r\n\r\n"
	unchanged  = "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n"
	old        = "HTTP/1.0 200 OK\r\nTransfer-Encoding: x\r\nContent-Length: 4\r\n\r\nabcd"
	unframed   = "HTTP/1.1 200 OK\r\nX-Odd: \t a\tb \xff: c\r\nX-Empty:\r\n\r\nx: \n y : z\r\n\n"
)

var _ = Describe("Responses", func() {
	It("pass unchanged, one after the other, however their bytes come", func() {
		input := withLength + interim + inChunks + noContent + unchanged + old + withLength + unframed
		want := []string{"ab\n:", "", "\n\r\n:ab", "", "", "abcd", "ab\n:", "x: \n y : z\r\n\n"}
		for _, source := range []io.Reader{
			strings.NewReader(input), iotest.OneByteReader(strings.NewReader(input)), iotest.HalfReader(strings.NewReader(input)),
			iotest.DataErrReader(strings.NewReader(input)),
		} {
			r := wirecheck.NewReader(source)
			bodies, err := parse(r)
			Expect(err).To(Equal(io.EOF))
			Expect(bodies).To(Equal(want))
			Expect(r.Err()).NotTo(HaveOccurred())
		}
	})

	It("have no body if they answer a HEAD request", func() {
		input := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
		r := wirecheck.NewReader(strings.NewReader(input + input + "x y: z\r\n"))
		r.SetWithoutBody(true)
		_, err := io.ReadAll(r)
		Expect(err).NotTo(HaveOccurred())
		r = wirecheck.NewReader(strings.NewReader(input + "HTTP/1.1 200 OK\r\nx y: z\r\n"))
		r.SetWithoutBody(true)
		_, err = io.ReadAll(r)
		Expect(errors.Is(err, wirecheck.ErrMalformed)).To(BeTrue())
	})

	// Guards against a field that a parser takes for another one, for a part of the one
	// before it or for a part of the body.
	It("with a damaged name of a field are malformed, in the first head and in later ones", func() {
		for _, before := range []string{"", withLength, inChunks, interim, unchanged} {
			damaged(func(line string) {
				input := before + "HTTP/1.1 200 OK\r\nX-Id: 1\r\n" + line + "\r\nX-Last: z\r\n\r\nabcd"
				for _, source := range []io.Reader{strings.NewReader(input), iotest.OneByteReader(strings.NewReader(input))} {
					r := wirecheck.NewReader(source)
					bodies, err := parse(r)
					Expect(err).To(HaveOccurred(), "%q", input)
					Expect(errors.Is(r.Err(), wirecheck.ErrMalformed)).To(BeTrue(), "%q", input)
					Expect(len(bodies)).To(BeNumerically("<=", 1), "%q", input)
				}
			})
		}
	})

	It("with a damaged name of a field in their trailer are malformed", func() {
		damaged(func(line string) {
			input := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\nX-Id: 1\r\n" + line + "\r\nX-Last: z\r\n\r\n"
			r := wirecheck.NewReader(strings.NewReader(input))
			bodies, err := parse(r)
			Expect(bodies).To(BeEmpty(), "%q", input)
			Expect(err).To(HaveOccurred())
			Expect(errors.Is(r.Err(), wirecheck.ErrMalformed)).To(BeTrue(), "%q", input)
		})
	})

	DescribeTable("with an invalid status are malformed", func(code string) {
		r := wirecheck.NewReader(strings.NewReader("HTTP/1.1 " + code + " X\r\nContent-Length: 4\r\n\r\n" + withLength))
		data, err := io.ReadAll(r)
		Expect(data).To(BeEmpty())
		Expect(errors.Is(err, wirecheck.ErrMalformed)).To(BeTrue())
	}, Entry(nil, "000"), Entry(nil, "099"), Entry(nil, "+20"), Entry(nil, "-00"), Entry(nil, "-10"))

	It("keep what comes before a malformed line, and the error", func() {
		r := wirecheck.NewReader(strings.NewReader(withLength + "HTTP/1.1 200 OK\r\nX Id: 1\r\n\r\n"))
		data, err := io.ReadAll(r)
		Expect(string(data)).To(Equal(withLength + "HTTP/1.1 200 OK\r\n"))
		Expect(errors.Is(err, wirecheck.ErrMalformed)).To(BeTrue())
		_, again := r.Read(make([]byte, 1))
		Expect(again).To(Equal(err))
	})

	It("may not have a line of any length", func() {
		r := wirecheck.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nX-Id: " + strings.Repeat("x", 1<<20)))
		_, err := io.ReadAll(r)
		Expect(errors.Is(err, bounded.ErrTooLong)).To(BeTrue())
	})

	DescribeTable("that no parser accepts are left to it", func(input string) {
		data, err := io.ReadAll(iotest.OneByteReader(wirecheck.NewReader(strings.NewReader(input))))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(data)).To(Equal(input))
		_, err = http.ReadResponse(bufio.NewReader(strings.NewReader(input)), nil)
		if err == nil {
			_, err = parse(strings.NewReader(input))
		}
		Expect(err).NotTo(Equal(io.EOF))
	},
		Entry("other bytes", "\x16\x03\x01\n\r\n"+strings.Repeat("x y: z", 20<<10)),
		Entry("no version", "HTTP/x 200 OK\r\nx y: z\r\n\r\n"),
		Entry("no status", "HTTP/1.1 OK\r\nx y: z\r\n\r\n"),
		Entry("no size of a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx y: z\r\n"),
		Entry("a size of a chunk that ends with a line feed", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\nabcd\r\n0\r\nx y: z\r\n\r\n"),
	)
})

var _ = Describe("A dialed connection", func() {
	get := func(s *httptest.Server) error {
		transport := s.Client().Transport.(*http.Transport).Clone()
		transport.DialContext = wirecheck.Dial((&net.Dialer{}).DialContext)
		defer transport.CloseIdleConnections()
		for range 3 {
			resp, err := (&http.Client{Transport: transport}).Get(s.URL)
			if err != nil {
				return err
			}
			body, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			if err != nil {
				return err
			}
			Expect(len(body)).To(Equal(100 << 10))
		}
		return nil
	}
	answer := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 100<<10)) })

	It("serves a client of the standard library, with TLS and without", func() {
		plain, secure := httptest.NewServer(answer), httptest.NewTLSServer(answer)
		DeferCleanup(plain.Close)
		DeferCleanup(secure.Close)
		Expect(get(plain)).To(Succeed())
		Expect(get(secure)).To(Succeed())
	})

	It("fails with the cause", func() {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n")
				_ = c.Close()
			}
		}))
		DeferCleanup(s.Close)
		Expect(errors.Is(get(s), wirecheck.ErrMalformed)).To(BeTrue())
	})

	It("returns the error of the dial", func() {
		_, err := wirecheck.Dial(func(context.Context, string, string) (net.Conn, error) { return nil, io.ErrClosedPipe })(context.Background(), "tcp", "")
		Expect(err).To(Equal(io.ErrClosedPipe))
	})
})
