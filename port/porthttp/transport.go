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

	"github.com/tamarackcleat/tamarackcleat/bounded"
	"github.com/tamarackcleat/tamarackcleat/wirecheck"
)

// Settings of the transport of NewHTTPClient.
const (
	dialTimeout         = 2 * time.Second
	keepAlivePeriod     = 15 * time.Second
	idleConnTimeout     = 90 * time.Second
	maxIdleConnsPerHost = 64
	maxHeaderBytes      = 64 << 10
)

// NewHTTPClient returns the default client of this package. It uses no proxy and
// has no timeout for whole requests, because answer streams take long. Callers
// must limit the time of each request by its context.
func NewHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
	return &http.Client{Transport: &http.Transport{
		DialContext:            wirecheck.Dial(dialer.DialContext),
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}}
}

// withoutRedirects returns a copy of client that follows no redirects, because
// following one sends a second request. A nil client stands for NewHTTPClient.
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

// connTrace records whether a request asked its transport for a connection, whether it
// obtained one, and whether that had carried an earlier request.
type connTrace struct {
	requested atomic.Bool
	obtained  atomic.Bool
	reused    atomic.Bool
}

// attach returns a context for a request whose connections t records.
func (t *connTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { t.requested.Store(true) },
		GotConn: func(i httptrace.GotConnInfo) {
			t.obtained.Store(true)
			t.reused.Store(i.Reused)
		},
	})
}

// neverConnected reports whether it is certain that no byte of the request that
// failed with err was sent: it asked for a connection and obtained none. If the
// transport does not call the hooks of httptrace, only a dial error is proof.
func (t *connTrace) neverConnected(err error) bool {
	if t.obtained.Load() {
		return false
	}
	var op *net.OpError
	return t.requested.Load() || (errors.As(err, &op) && op.Op == "dial")
}

// singleUseBody hides the concrete type of a body. Thus net/http can't rewind the
// body and can't send the request twice.
type singleUseBody struct{ io.Reader }

// postRequest returns a POST request whose body can be sent only once.
func postRequest(ctx context.Context, url string, body io.Reader, length int) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, singleUseBody{body})
	if err != nil {
		return nil, errors.Wrap(err, "building the request")
	}
	req.ContentLength = int64(length)
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

// limitResponse names the limit on the body of a response.
const limitResponse = "response_body"

// readAll reads a whole body. The error for a body of more than limit bytes is marked
// as bounded.ErrTooLong.
func readAll(body io.Reader, limit int64) ([]byte, error) {
	data, err := bounded.ReadAll(body, limitResponse, limit)
	return data, errors.Wrap(err, "reading the answer")
}
