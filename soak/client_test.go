package soak_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/platform/standin"
)

// request is what a caller asks for.
type request struct {
	kind, path, key string
	// patience is after how long the caller leaves; 0 for never.
	patience time.Duration
}

// attempt is one try of a request, as its caller saw it.
type attempt struct {
	id   string
	node *node
	life int64
	request
	sentAt, endedAt time.Time
	// status is that of the answer; 0 for none.
	status int
	// signed says that an upstream's signature came with it.
	signed bool
	// whole says that the answer was complete, closed that the connection ended
	// without one, hung that nothing came for too long, left that the caller
	// left.
	whole, closed, hung, left bool
	// wrong tells what was wrong with the bytes; empty for nothing.
	wrong string
}

// attemptLog keeps all attempts.
type attemptLog struct {
	mu   sync.Mutex
	all  []*attempt
	next atomic.Int64
}

func newAttemptLog() *attemptLog { return &attemptLog{} }

func (l *attemptLog) add(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, a)
}

func (l *attemptLog) list() []*attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*attempt(nil), l.all...)
}

// caller is a client with one connection at a time, which it goes on using until
// it ends.
type caller struct {
	world *world
	rng   *rand.Rand
	node  *node

	conn   net.Conn
	reader *bufio.Reader
}

func (c *caller) close() {
	if c.conn != nil {
		// Whatever becomes of it, it is not used again.
		_ = c.conn.Close()
		c.conn = nil
	}
}

// hungAfter is added to a request's deadline before a caller takes its connection
// for dead.
const hungAfter = 1500 * time.Millisecond

// try sends a request once and reads its answer.
func (c *caller) try(r request) *attempt {
	a := &attempt{
		id: fmt.Sprintf("a%d", c.world.log.next.Add(1)), node: c.node, life: c.node.life.Load(), request: r, sentAt: time.Now(),
	}
	defer func() {
		a.endedAt = time.Now()
		c.world.log.add(a)
		if !a.whole {
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
	if err := c.send(a); err != nil {
		a.closed = true
		return a
	}
	c.read(a)
	return a
}

// deadline returns how long the caller of a kind waits.
func deadline(kind string) time.Duration {
	if kind == streamKind {
		return streamDeadline
	}
	return callDeadline
}

func (c *caller) send(a *attempt) error {
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
	}
	limit := deadline(a.kind) + hungAfter
	if a.patience > 0 {
		limit = a.patience
	}
	if err := c.conn.SetDeadline(time.Now().Add(limit)); err != nil {
		return err
	}
	return req.Write(c.conn)
}

// read takes the answer and judges its bytes.
func (c *caller) read(a *attempt) {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodGet})
	if err != nil {
		c.ended(a, err)
		return
	}
	defer resp.Body.Close()
	a.status = resp.StatusCode
	a.signed = resp.Header.Get("X-Tamarackcleat-Server-Stamp") != ""
	body, err := io.ReadAll(resp.Body)
	if a.status == http.StatusOK {
		a.judge(resp, string(body), err == nil)
	}
	if err != nil {
		c.ended(a, err)
		return
	}
	a.whole = true
	if resp.Close || c.reader.Buffered() > 0 {
		if c.reader.Buffered() > 0 {
			a.wrong = "bytes after the answer"
		}
		c.close()
	}
}

// ended notes why there is no whole answer.
func (c *caller) ended(a *attempt, err error) {
	var failure net.Error
	timeout := errors.As(err, &failure) && failure.Timeout()
	switch {
	case timeout && a.patience > 0:
		a.left = true
	case timeout:
		a.hung = true
	default:
		a.closed = true
	}
}

// judge checks the bytes of a success.
func (a *attempt) judge(resp *http.Response, body string, complete bool) {
	want := "done " + a.id
	if a.kind == streamKind {
		var b strings.Builder
		for n := 1; n <= streamEvents; n++ {
			b.WriteString(standin.Event(a.id, n))
		}
		want = b.String()
	}
	switch {
	case !a.signed:
		a.wrong = "a success without an upstream's signature"
	case resp.Header.Get("X-Tamarackcleat-Attempt-Id") != a.id:
		a.wrong = "another request's id: " + resp.Header.Get("X-Tamarackcleat-Attempt-Id")
	case !strings.HasPrefix(want, body):
		a.wrong = fmt.Sprintf("other bytes: %.300q", body)
	case complete && body != want:
		a.wrong = fmt.Sprintf("complete with %d of %d bytes", len(body), len(want))
	}
}
