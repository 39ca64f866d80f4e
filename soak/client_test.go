package soak_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"path"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/platform/standin"
)

// request describes one request of a caller: its kind, path and API key.
type request struct {
	kind, path, key string
	// leaveAfter is the time after which the caller disconnects without waiting
	// for the deadline; 0 for never.
	leaveAfter time.Duration
}

// attempt is one transmission of a request, as its caller observed it.
type attempt struct {
	id   string
	node *node
	// incarnation is that of the node when the attempt began.
	incarnation int64
	request
	sentAt, endedAt time.Time
	// status is the HTTP status of the response; 0 for no response.
	status int
	// fromUpstream says that the response carried the header field
	// X-Tamarackcleat-Server-Stamp, which upstreams set.
	fromUpstream bool
	// complete says that the whole response arrived, closed that the connection
	// ended before that, timedOut that the response wasn't complete
	// deadlineSlack after the deadline, left that the caller disconnected after
	// leaveAfter.
	complete, closed, timedOut, left bool
	// mismatch describes how the response differs from the expected one; empty
	// if it doesn't.
	mismatch string
}

// attemptLog records all attempts of a run. It is safe for concurrent use.
type attemptLog struct {
	mu       sync.Mutex
	attempts []*attempt
	lastID   atomic.Int64
}

func newAttemptLog() *attemptLog { return &attemptLog{} }

func (l *attemptLog) add(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts = append(l.attempts, a)
}

func (l *attemptLog) list() []*attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*attempt(nil), l.attempts...)
}

// caller is a client that has one connection at a time and reuses it until it is
// closed. It is used by one goroutine.
type caller struct {
	system *testSystem
	rng    *rand.Rand
	node   *node

	conn   net.Conn
	reader *bufio.Reader
}

func (c *caller) close() {
	if c.conn != nil {
		// The connection is not used again, so a failed close is harmless.
		_ = c.conn.Close()
		c.conn = nil
	}
}

// deadlineSlack is how long after a request's deadline the caller stops waiting for
// the response and counts the attempt as timed out.
const deadlineSlack = 1500 * time.Millisecond

// try sends a request once, reads the response and records the attempt.
func (c *caller) try(r request) *attempt {
	a := &attempt{
		id: fmt.Sprintf("a%d", c.system.attempts.lastID.Add(1)), node: c.node, incarnation: c.node.incarnation.Load(), request: r, sentAt: time.Now(),
	}
	defer func() {
		a.endedAt = time.Now()
		c.system.attempts.add(a)
		if !a.complete {
			c.close()
		}
	}()
	if c.conn == nil {
		conn, err := c.node.dial()
		if err != nil {
			a.closed = true
			return a
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	if err := c.writeRequest(a); err != nil {
		a.closed = true
		return a
	}
	c.readResponse(a)
	return a
}

// deadline returns the deadline of requests of a kind, as a time after sending.
func deadline(kind string) time.Duration {
	if kind == streamKind {
		return streamDeadline
	}
	return callDeadline
}

func (c *caller) writeRequest(a *attempt) error {
	method, body := http.MethodPost, "x"
	if a.kind == readKind {
		method, body = http.MethodGet, ""
	}
	req := &http.Request{
		Method: method, URL: &url.URL{Scheme: "http", Host: host, Path: a.path}, Host: host, Header: http.Header{},
		ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body)),
	}
	if body == "" {
		req.Body = nil
	}
	req.Header.Set("X-Tamarackcleat-Attempt-Id", a.id)
	req.Header.Set("X-Tamarackcleat-Deadline-Ms", strconv.FormatInt(deadline(a.kind).Milliseconds(), 10))
	req.Header.Set("Authorization", "Token "+a.key)
	if a.kind == streamKind {
		req.Header.Set("X-Tamarackcleat-Model", "m")
		req.Header.Set("X-Tamarackcleat-Token-Count", "200,50")
		// Crashes make suspects of the parts that prompts share.
		req.Header.Set("X-Tamarackcleat-Prefix-Hash", fmt.Sprintf("aa11:100,%x:50,%x:50", path.Base(a.path), a.id))
	}
	timeout := deadline(a.kind) + deadlineSlack
	if a.leaveAfter > 0 {
		timeout = a.leaveAfter
	}
	if err := c.conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	return req.Write(c.conn)
}

// readResponse reads the response to an attempt and checks its body.
func (c *caller) readResponse(a *attempt) {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodGet})
	if err != nil {
		c.recordFailure(a, err)
		return
	}
	defer resp.Body.Close()
	a.status = resp.StatusCode
	a.fromUpstream = resp.Header.Get("X-Tamarackcleat-Server-Stamp") != ""
	body, err := io.ReadAll(resp.Body)
	if a.status == http.StatusOK {
		a.checkBody(resp, string(body), err == nil)
	}
	if err != nil {
		c.recordFailure(a, err)
		return
	}
	a.complete = true
	if resp.Close || c.reader.Buffered() > 0 {
		if c.reader.Buffered() > 0 {
			a.mismatch = "bytes after the response"
		}
		c.close()
	}
}

// recordFailure records why the response to an attempt is not complete.
func (c *caller) recordFailure(a *attempt, err error) {
	var netErr net.Error
	timeout := errors.As(err, &netErr) && netErr.Timeout()
	switch {
	case timeout && a.leaveAfter > 0:
		a.left = true
	case timeout:
		a.timedOut = true
	default:
		a.closed = true
	}
}

// checkBody compares the response to an attempt that succeeded with the expected
// one. An incomplete body must be a prefix of the expected body.
func (a *attempt) checkBody(resp *http.Response, body string, complete bool) {
	want := "done " + a.id
	if a.kind == streamKind {
		var b strings.Builder
		for n := 1; n <= streamEvents; n++ {
			b.WriteString(standin.Event(a.id, n))
		}
		want = b.String()
	}
	switch {
	case !a.fromUpstream:
		a.mismatch = "success without an upstream's X-Tamarackcleat-Server-Stamp"
	case resp.Header.Get("X-Tamarackcleat-Attempt-Id") != a.id:
		a.mismatch = "another request's id: " + resp.Header.Get("X-Tamarackcleat-Attempt-Id")
	case !strings.HasPrefix(want, body):
		a.mismatch = fmt.Sprintf("unexpected body: %.300q", body)
	case complete && body != want:
		a.mismatch = fmt.Sprintf("response ended regularly after %d of %d bytes", len(body), len(want))
	}
}
