package stand

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Host is the host of all routes.
const Host = "ficu95.example"

// Key is the API key of the only tenant.
const Key = "n2ctnfzs989anu6wsjnb"

var attempts atomic.Int64

// Attempt is one client attempt and what the client saw of it.
type Attempt struct {
	ID     string
	SentAt time.Time
	// Status is that of the answer; 0 for none.
	Status int
	Header http.Header
	Body   []byte
	// Err says why there is no complete answer.
	Err error
	// Closed says that the gateway's answer ends the connection.
	Closed bool
}

// RetryAfter returns the time in the answer's Retry-After.
func (a *Attempt) RetryAfter() time.Duration {
	var s float64
	if _, err := fmt.Sscanf(a.Header.Get("Retry-After"), "%g", &s); err != nil {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}

// Conn is a client's connection, which it keeps.
type Conn struct {
	net    net.Conn
	reader *bufio.Reader
}

// Dial connects to a gateway.
func Dial(address string) (*Conn, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{net: c, reader: bufio.NewReader(c)}, nil
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.net.Close() }

// Net returns the connection itself.
func (c *Conn) Net() net.Conn { return c.net }

// NewAttempt returns an attempt with an id of its own.
func NewAttempt() *Attempt {
	return &Attempt{ID: fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, attempts.Add(1))}
}

// Send writes a request with a body.
func (c *Conn) Send(a *Attempt, method, path, body string, deadline time.Duration) error {
	return c.SendWith(a, method, path, "", body, deadline)
}

// SendWith is Send with further lines of the header.
func (c *Conn) SendWith(a *Attempt, method, path, fields, body string, deadline time.Duration) error {
	a.SentAt = time.Now()
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Token %s\r\n", method, path, Host, HeaderAttempt, a.ID,
		HeaderDeadline, deadline.Milliseconds(), Key) + fields
	if method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, err := io.Copy(c.net, strings.NewReader(head+"\r\n"+body))
	return err
}

// Receive reads the answer to an attempt until a time. It returns the error that the attempt
// has then.
func (c *Conn) Receive(a *Attempt, until time.Time) error {
	a.Err = c.receive(a, until)
	return a.Err
}

func (c *Conn) receive(a *Attempt, until time.Time) error {
	if err := c.net.SetReadDeadline(until); err != nil {
		return err
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	a.Status, a.Header, a.Closed = resp.StatusCode, resp.Header, resp.Close
	a.Body, err = io.ReadAll(resp.Body)
	return err
}
