// Package exchange sends HTTP/1.1 requests to upstreams over kept connections.
//
// The guarantees: a request is written to at most one connection and never sent
// again by this package; a failure says whether a byte of it may have reached
// the upstream; a connection is used again only after an exchange that ended
// exactly at the end of a framed response. Parsing is the standard library's.
package exchange

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of an exchange. All others mean that the request may have run.
var (
	// ErrNotSent marks a request of which no byte was written.
	ErrNotSent = errors.New("request was not sent")
	// ErrCongested marks an upstream to which no connection may be opened now.
	ErrCongested = errors.New("too many connections to the upstream")
	// ErrForeign marks a response that answers another request.
	ErrForeign = errors.New("response belongs to another request")
)

// maxForeign bounds the responses to former requests that are skipped in front
// of the one that is waited for.
const maxForeign = 2

// Request is a request to an upstream.
type Request struct {
	Method string
	// Target is the request target as sent by the caller.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Owns reports whether a response answers this request; nil accepts all.
	Owns func(status int, h http.Header) bool
}

// encode writes the request in wire format.
func (r *Request) encode() ([]byte, error) {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	if err := r.Header.Write(&b); err != nil {
		return nil, errors.Wrap(err, "encoding the header")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes(), nil
}

// Response is an upstream's response whose body is still to be read.
type Response struct {
	Status int
	Header http.Header
	// Reused says that the connection had carried a request before.
	Reused bool

	conn    *conn
	body    io.ReadCloser
	stop    func() bool
	framed  bool
	ended   bool
	release func(*conn, bool)
}

// Do sends a request to an address. The context bounds the whole exchange:
// its end closes the connection, which upstreams take as a cancellation.
func (p *Pool) Do(ctx context.Context, address string, r *Request) (*Response, error) {
	data, err := r.encode()
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	c, reused, err := p.get(ctx, address)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	stop := context.AfterFunc(ctx, c.abort)
	if n, err := c.net.Write(data); err != nil {
		stop()
		p.put(c, false)
		if n == 0 && !reused && ctx.Err() == nil {
			return nil, errors.Mark(errors.Wrap(err, "sending"), ErrNotSent)
		}
		return nil, errors.Wrap(err, "sending")
	}
	resp, err := c.readOwn(r)
	if err != nil {
		stop()
		p.put(c, false)
		return nil, err
	}
	return &Response{
		Status:  resp.StatusCode,
		Header:  resp.Header,
		Reused:  reused,
		conn:    c,
		body:    resp.Body,
		stop:    stop,
		framed:  resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0,
		release: p.put,
	}, nil
}

// readOwn reads the response to a request. Responses to former requests on the
// connection are skipped if they are complete.
func (c *conn) readOwn(r *Request) (*http.Response, error) {
	for range maxForeign + 1 {
		resp, err := readFinal(c.reader, r.Method)
		if err != nil {
			return nil, errors.Wrap(err, "reading the response")
		}
		c.noteKeepAlive(resp.Header)
		if r.Owns == nil || r.Owns(resp.StatusCode, resp.Header) {
			c.closing = resp.Close
			return resp, nil
		}
		if resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, ErrForeign
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, errors.Mark(err, ErrForeign)
		}
	}
	return nil, ErrForeign
}

// readFinal skips interim responses.
func readFinal(r *bufio.Reader, method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// Read reads the body. io.EOF is returned only at the end of a whole body.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if errors.Is(err, io.EOF) {
		r.ended = true
	}
	return n, err
}

// SetReadDeadline bounds the next reads of the body.
func (r *Response) SetReadDeadline(t time.Time) error { return r.conn.net.SetReadDeadline(t) }

// Close ends the exchange. The connection is kept if the body was read to its
// end and nothing came after it.
func (r *Response) Close() {
	intact := r.stop()
	clean := intact && r.ended && r.framed && !r.conn.closing && r.conn.reader.Buffered() == 0
	r.release(r.conn, clean)
}

// noteKeepAlive takes over how long the upstream keeps an idle connection.
func (c *conn) noteKeepAlive(h http.Header) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil && s > 0 {
			c.idleFor = time.Duration(s) * time.Second
		}
	}
}
