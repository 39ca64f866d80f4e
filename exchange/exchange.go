// Package exchange sends HTTP/1.1 requests to upstreams over persistent
// connections.
//
// It guarantees that a request is written to at most one connection and never
// retried by this package, that an error tells whether a byte of the request may
// have reached the upstream, and that a connection is reused only if the previous
// response on it had a length or a transfer encoding and was read exactly to its
// end. A response of any size takes a bounded amount of memory: the error for one
// above a limit is marked as bounded.ErrTooLong, and its connection is closed.
// Responses are parsed by the standard library once package wirecheck has checked their
// heads and trailers.
package exchange

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/bounded"
)

// Errors of an exchange. After an error that is not marked as ErrNotSent, the
// upstream may have executed the request.
var (
	// ErrNotSent marks the failure of a request of which no byte was written.
	ErrNotSent = errors.New("request was not sent")
	// ErrTooManyConnections marks a request that found no idle connection while the
	// upstream already has as many open connections as Options.MaxPerAddress
	// allows.
	ErrTooManyConnections = errors.New("too many connections to the upstream")
	// ErrUnmatchedResponse marks a response that answers another request.
	ErrUnmatchedResponse = errors.New("response belongs to another request")
	// ErrUnprovenEnd marks a response without a length or a transfer encoding on a
	// connection that failed while the request was written. The kernel reports such a
	// failure once, to the write, and then an end of the connection like that of a whole
	// response.
	ErrUnprovenEnd = errors.New("the connection failed before the end of the response")
	// ErrUnattributedResponse marks a response that names no request on a connection
	// that has carried several.
	ErrUnattributedResponse = errors.New("response names no request on a reused connection")
)

// Limits on what an upstream may send for one request.
const (
	// maxSkippedResponses bounds how many responses to earlier requests on the same
	// connection are skipped before the response to the current request.
	maxSkippedResponses = 2
	// maxInterimResponses bounds the interim (1xx) responses before a response.
	maxInterimResponses = 8
	// maxHeadBytes bounds the status line and header of a response together with
	// those of the interim responses before it. The bytes of a body that arrive
	// with them count, up to the size of the read buffer.
	maxHeadBytes = 64 << 10
	// maxSkippedBodyBytes bounds the body of a response that is skipped.
	maxSkippedBodyBytes = 1 << 20
	// maxBodyBytes bounds the body of a response, in particular of a stream, which
	// is handed on as it arrives.
	maxBodyBytes = 64 << 20
)

// Names of the limits, as bounded.Exceeded returns them.
const (
	limitHead        = "response_head"
	limitInterim     = "interim_responses"
	limitSkippedBody = "skipped_body"
	limitBody        = "response_body"
)

// Body is the body of a request. WriteTo is called each time the request is sent.
type Body interface {
	io.WriterTo
	// Len returns the size in bytes.
	Len() int64
}

// Bytes is a Body in one piece.
type Bytes []byte

// Len implements Body.
func (b Bytes) Len() int64 { return int64(len(b)) }

// WriteTo implements Body.
func (b Bytes) WriteTo(w io.Writer) (int64, error) {
	n, err := w.Write(b)
	return int64(n), err
}

// maxJoinedBodyBytes is the size up to which a body is written together with the head of
// its request. A larger one is not copied, because all copies are in memory at once.
const maxJoinedBodyBytes = 64 << 10

// Request is a request to an upstream.
type Request struct {
	Method string
	// Target is the request target, exactly as the caller sent it.
	Target string
	Host   string
	Header http.Header
	// Body is nil for none.
	Body Body
	// ID identifies the request. If it is not empty, the request is not sent on a
	// connection that has carried a request with the same id.
	ID string
	// Matches reports whether a response may answer this request; nil accepts any
	// response.
	Matches func(status int, h http.Header) bool
	// Identifies reports whether a response names the request that it answers; nil
	// stands for one that always does. A response that doesn't may be a copy of an
	// earlier one, so it is accepted only on a connection's first request.
	Identifies func(h http.Header) bool
	// Admit, if it is not nil, is called when a connection is there, right before the
	// first byte is written. If it returns an error, nothing is sent. It may change the
	// header.
	Admit func() error
	// Dial, if it is not nil, opens a connection for the request in place of Pool.Dial. A
	// connection with oneUse is closed after the request.
	Dial func(ctx context.Context) (c net.Conn, oneUse bool, err error)
}

// admitAndEncode returns what encode returns, and an error if the request must not be sent
// now.
func (r *Request) admitAndEncode() ([]byte, Body, error) {
	if r.Admit != nil {
		if err := r.Admit(); err != nil {
			return nil, nil, err
		}
	}
	return r.encode()
}

// encode returns the head of the request in wire format, followed by the body if that is
// small, and the body to write after it; nil for none.
func (r *Request) encode() ([]byte, Body, error) {
	body := r.Body
	if body == nil {
		body = Bytes(nil)
	}
	var b bytes.Buffer
	joined := min(body.Len(), maxJoinedBodyBytes)
	b.Grow(512 + int(joined))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if body.Len() > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.FormatInt(body.Len(), 10) + "\r\n")
	}
	if err := r.Header.Write(&b); err != nil {
		return nil, nil, errors.Wrap(err, "encoding the header")
	}
	b.WriteString("\r\n")
	if body.Len() > maxJoinedBodyBytes {
		return b.Bytes(), body, nil
	}
	if _, err := body.WriteTo(&b); err != nil {
		return nil, nil, errors.Wrap(err, "encoding the body")
	}
	return b.Bytes(), nil, nil
}

// send writes a head and, unless it is nil, a body. It returns the number of bytes written.
func (c *conn) send(head []byte, body Body) (int64, error) {
	n, err := c.net.Write(head)
	if err != nil || body == nil {
		return int64(n), err
	}
	m, err := body.WriteTo(c.net)
	return int64(n) + m, err
}

// Response is an upstream's response whose body has not been read yet. It must be
// closed.
type Response struct {
	Status int
	Header http.Header
	// Reused reports whether the connection had carried an earlier request.
	Reused bool

	conn *conn
	body io.Reader
	// stopAbort keeps the end of the request's context from closing the
	// connection; it returns false if that has happened.
	stopAbort func() bool
	// framed is whether the response has a length or a transfer encoding, so that
	// its end shows without the connection being closed.
	framed bool
	// sendErr is why the request was not written to its end; nil if it was.
	sendErr error
	// atEOF is whether the body was read to its end.
	atEOF bool
	// release returns the connection to its pool, to be kept or closed.
	release func(*conn, bool)
}

// Do sends a request to an address and returns the response once its header was
// read. The context bounds the whole exchange, the body included: when the context
// ends, the connection is closed, which upstreams take as a cancellation. An error
// that is marked as ErrNotSent guarantees that no byte of the request was written.
func (p *Pool) Do(ctx context.Context, address string, r *Request) (*Response, error) {
	c, reused, err := p.get(ctx, address, r)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	head, body, err := r.admitAndEncode()
	if err != nil {
		p.put(c, true)
		return nil, errors.Mark(err, ErrNotSent)
	}
	stopAbort := context.AfterFunc(ctx, c.abort)
	c.noteCarried(r.ID)
	n, sendErr := c.send(head, body)
	if sendErr != nil && n == 0 {
		stopAbort()
		p.put(c, false)
		if !reused && ctx.Err() == nil {
			return nil, errors.Mark(errors.Wrap(sendErr, "sending"), ErrNotSent)
		}
		return nil, errors.Wrap(sendErr, "sending")
	}
	// An upstream may answer a request that it does not read to its end.
	resp, err := c.readMatchingResponse(r, reused)
	if err != nil {
		stopAbort()
		p.put(c, false)
		if sendErr != nil {
			return nil, errors.Wrap(sendErr, "sending")
		}
		return nil, err
	}
	c.closeAfterResponse = c.closeAfterResponse || sendErr != nil
	return &Response{
		Status:    resp.StatusCode,
		Header:    resp.Header,
		Reused:    reused,
		conn:      c,
		body:      limitBodySize(resp.Body),
		stopAbort: stopAbort,
		framed:    resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0,
		sendErr:   sendErr,
		release:   p.put,
	}, nil
}

// readMatchingResponse reads the response to a request. Complete responses to
// earlier requests on the connection are skipped. reused is whether the connection has
// carried an earlier request.
func (c *conn) readMatchingResponse(r *Request, reused bool) (*http.Response, error) {
	for range maxSkippedResponses + 1 {
		resp, err := c.readFinal(r.Method)
		if err != nil {
			return nil, errors.Wrap(err, "reading the response")
		}
		c.applyKeepAlive(resp.Header)
		if reused && r.Identifies != nil && !r.Identifies(resp.Header) {
			return nil, errors.Wrapf(ErrUnattributedResponse, "status %d", resp.StatusCode)
		}
		if r.Matches == nil || r.Matches(resp.StatusCode, resp.Header) {
			c.closeAfterResponse = resp.Close
			return resp, nil
		}
		if resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, ErrUnmatchedResponse
		}
		if err := bounded.Discard(resp.Body, limitSkippedBody, maxSkippedBodyBytes); err != nil {
			return nil, errors.Mark(err, ErrUnmatchedResponse)
		}
	}
	return nil, ErrUnmatchedResponse
}

// readFinal reads the head of the next response that is not an interim (1xx) one.
func (c *conn) readFinal(method string) (*http.Response, error) {
	c.source.SetLimit(limitHead, maxHeadBytes)
	defer c.source.RemoveLimit()
	c.responses.SetWithoutBody(method == http.MethodHead)
	for range maxInterimResponses + 1 {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, c.cause(err)
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, bounded.TooLong(limitInterim, maxInterimResponses)
}

// limitBodySize returns a reader of a body that fails above maxBodyBytes.
func limitBodySize(body io.Reader) io.Reader {
	r := bounded.NewReader(body)
	r.SetLimit(limitBody, maxBodyBytes)
	return r
}

// Read reads the body. It returns io.EOF only at the end of a complete body.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	switch {
	case err == nil:
		return n, nil
	case !errors.Is(err, io.EOF):
		return n, r.conn.cause(err)
	case r.sendErr != nil && !r.framed:
		return n, errors.Mark(errors.Wrap(r.sendErr, "sending"), ErrUnprovenEnd)
	}
	r.atEOF = true
	return n, err
}

// Unread makes later reads return data first, which was read before. It must not be called
// during a Read.
func (r *Response) Unread(data []byte) { r.body = io.MultiReader(bytes.NewReader(data), r.body) }

// Framed reports whether the response has a length or a transfer encoding. The body of
// another response ends with its connection.
func (r *Response) Framed() bool { return r.framed }

// SetReadDeadline sets the deadline for later reads of the body.
func (r *Response) SetReadDeadline(t time.Time) error { return r.conn.net.SetReadDeadline(t) }

// Close ends the exchange. The connection is kept for reuse if the context had not
// ended, the framed body was read to its end, the upstream does not close the
// connection and nothing follows the response in the buffer.
func (r *Response) Close() {
	notAborted := r.stopAbort()
	reusable := notAborted && r.atEOF && r.framed && !r.conn.closeAfterResponse && r.conn.reader.Buffered() == 0 &&
		r.conn.responses.Err() == nil && len(r.conn.carried) < maxRequestsPerConn
	r.release(r.conn, reusable)
}

// applyKeepAlive sets the connection's idle timeout from the timeout parameter of a
// Keep-Alive header, if there is one.
func (c *conn) applyKeepAlive(h http.Header) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil && s > 0 {
			c.idleTimeout = time.Duration(s) * time.Second
		}
	}
}
