package porthttp

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Settings of the default transport.
const (
	dialTimeout         = 2 * time.Second
	keepAlivePeriod     = 15 * time.Second
	idleConnTimeout     = 90 * time.Second
	maxIdleConnsPerHost = 64
	maxHeaderBytes      = 64 << 10
)

// NewHTTPClient returns a client for the constructors of this package. It uses
// no proxy and has no overall timeout, because answer streams are long;
// callers bound each request by its context.
func NewHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
	return &http.Client{Transport: &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}}
}

// withoutRedirects copies client so that it never follows a redirect, because
// following one sends a second request.
func withoutRedirects(client *http.Client) *http.Client {
	if client == nil {
		client = NewHTTPClient()
	}
	c := *client
	c.CheckRedirect = func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}
	return &c
}

// connTrace observes whether a request obtained a connection.
type connTrace struct {
	asked    atomic.Bool
	obtained atomic.Bool
}

// attach returns a context that reports connections to t.
func (t *connTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { t.asked.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { t.obtained.Store(true) },
	})
}

// neverConnected reports whether err proves that no byte was sent. A transport
// that does not report its connections proves it only by a dial error.
func (t *connTrace) neverConnected(err error) bool {
	if t.obtained.Load() {
		return false
	}
	var op *net.OpError
	return t.asked.Load() || (errors.As(err, &op) && op.Op == "dial")
}

// singleUse hides the concrete type of a body, so that net/http can't rewind
// it and so can't send a request twice.
type singleUse struct{ io.Reader }

// postRequest returns a POST request whose body can be sent only once.
func postRequest(ctx context.Context, url string, body io.Reader, length int) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, singleUse{body})
	if err != nil {
		return nil, errors.Wrap(err, "building the request")
	}
	req.ContentLength = int64(length)
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

// errBodyTooLarge marks an answer over its size limit.
var errBodyTooLarge = errors.New("answer is larger than the limit")

// readAll reads a body of at most limit bytes.
func readAll(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "reading the answer")
	}
	if int64(len(data)) > limit {
		return nil, errors.Wrapf(errBodyTooLarge, "over %d bytes", limit)
	}
	return data, nil
}
