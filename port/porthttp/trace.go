package porthttp

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/notice"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/verdict"
	"github.com/tamarackcleat/tamarackcleat/wirecheck"
)

// Trace holds functions that the client of an upstream calls in the course of a
// request. Each may be nil.
type Trace struct {
	// BeforeWrite is called once the request has its connection, right before its
	// first byte is written. If it returns an error, no byte is written and the error
	// is that of the request.
	BeforeWrite func() *verdict.Error
	// GotHead is called with what the upstream says of itself, once the head of its
	// answer has arrived.
	GotHead func(Said)
	// Malformed is called with the error for an answer whose head or trailer is malformed,
	// at most once.
	Malformed func(error)
}

// tracedBody is the body of an answer, which passes a malformed trailer to a Trace. The
// error of the body itself doesn't name that cause.
type tracedBody struct {
	io.ReadCloser
	conn  net.Conn
	trace *Trace
	ended bool
}

// Read implements io.Reader.
func (b *tracedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) && !b.ended {
		b.ended = true
		b.trace.noteMalformed(b.conn)
	}
	return n, err
}

// noteMalformed calls Malformed if an answer on a connection was malformed.
func (t *Trace) noteMalformed(c net.Conn) {
	if err := wirecheck.ConnErr(c); errors.Is(err, wirecheck.ErrMalformed) && t.Malformed != nil {
		t.Malformed(err)
	}
}

// Said is what an upstream says of itself in the head of an answer.
type Said struct {
	notice.Notice
	// Boot is the boot identifier of the process that answered; empty if it gave none.
	Boot string
}

// traceKey is the key of the Trace in a context.
type traceKey struct{}

// WithTrace returns a context for one request of an Upstream, whose functions are
// called in the course of it.
func WithTrace(ctx context.Context, t *Trace) context.Context {
	return context.WithValue(ctx, traceKey{}, t)
}

// withheldError is the error of a request that Trace.BeforeWrite withheld.
type withheldError struct{ reason *verdict.Error }

func (e *withheldError) Error() string { return e.reason.Error() }

// tracedTransport calls the functions of a request's Trace.
type tracedTransport struct{ base http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t *tracedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	trace, ok := req.Context().Value(traceKey{}).(*Trace)
	if !ok {
		return t.transport().RoundTrip(req)
	}
	var withheld *verdict.Error
	var conn net.Conn
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn = info.Conn
			if trace.BeforeWrite == nil {
				return
			}
			// Writing to the closed connection fails, so no byte is sent.
			if withheld = trace.BeforeWrite(); withheld != nil {
				info.Conn.Close()
			}
		},
	}))
	resp, err := t.transport().RoundTrip(req)
	if withheld != nil {
		if err == nil {
			// A late answer to an earlier request on the connection.
			resp.Body.Close()
		}
		return nil, &withheldError{withheld}
	}
	if err != nil {
		trace.noteMalformed(conn)
		return nil, err
	}
	if trace.GotHead != nil {
		trace.GotHead(readSaid(resp))
	}
	resp.Body = &tracedBody{ReadCloser: resp.Body, conn: conn, trace: trace}
	return resp, nil
}

// transport returns the transport of the client, or the one that net/http uses if the
// client has none.
func (t *tracedTransport) transport() http.RoundTripper {
	if t.base == nil {
		return http.DefaultTransport
	}
	return t.base
}

// readSaid returns what the head of an answer says of the upstream.
func readSaid(resp *http.Response) Said {
	said := Said{Boot: resp.Header.Get(port.HeaderBoot)}
	said.Leaving = slices.ContainsFunc(resp.Header.Values(port.HeaderLeaving), func(v string) bool {
		return strings.TrimSpace(v) == "1"
	})
	if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
		said.Pause, said.Unused = notice.ParseRetryAfter(resp.Header.Values(port.HeaderRetryAfter))
	}
	return said
}
