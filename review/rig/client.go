package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Host is the host of all routes.
const Host = "desk.example"

// Request is a client's request.
type Request struct {
	Method, Path, ID, Key string
	Deadline              time.Duration
	// Header holds further header fields, each with its line end.
	Header string
	Body   string
	// BodyDelay is how long after the header the body is sent.
	BodyDelay time.Duration
}

// Answer is what the client saw.
type Answer struct {
	// SentAt is when the first byte of the request was sent.
	SentAt, EndedAt time.Time
	// Status is 0 if there was no answer.
	Status int
	Header http.Header
	Body   string
	// Complete says that the answer's framing says that it is complete.
	Complete bool
	Err      error
}

// Client sends requests to a node, one at a time, and keeps its connection while the node
// does. It is used by one goroutine.
type Client struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// NewClient returns a client of a node without a connection.
func NewClient(n *Node) *Client { return &Client{address: n.Front()} }

// Close closes the connection.
func (c *Client) Close() {
	if c.conn != nil {
		// The connection is not used again.
		_ = c.conn.Close()
		c.conn = nil
	}
}

// Send sends a request and reads the answer to its end.
func (c *Client) Send(r Request) Answer {
	a := Answer{SentAt: time.Now()}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			a.Err, a.EndedAt = err, time.Now()
			return a
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	a.SentAt = time.Now()
	// The client waits a little longer than it says, so that a late answer shows. An
	// error shows with the first write.
	_ = c.conn.SetDeadline(a.SentAt.Add(r.Deadline + 500*time.Millisecond))
	if _, a.Err = io.WriteString(c.conn, r.head()); a.Err == nil {
		time.Sleep(r.BodyDelay)
		// A node may answer before it has read the body, so an error shows with
		// the answer.
		_, _ = io.WriteString(c.conn, r.Body)
		c.read(&a, r.Method)
	}
	a.EndedAt = time.Now()
	if !a.Complete || a.Header.Get("Connection") == "close" {
		c.Close()
	}
	return a
}

// Send sends a request on a connection of its own.
func Send(n *Node, r Request) Answer {
	c := NewClient(n)
	defer c.Close()
	return c.Send(r)
}

func (r *Request) head() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Tamarackcleat-Attempt-Id: %s\r\nX-Tamarackcleat-Deadline-Ms: %d\r\n",
		r.Method, r.Path, Host, r.ID, r.Deadline.Milliseconds())
	if r.Key != "" {
		fmt.Fprintf(&b, "Authorization: Token %s\r\n", r.Key)
	}
	if r.Method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString(r.Header + "\r\n")
	return b.String()
}

func (c *Client) read(a *Answer, method string) {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		a.Err = err
		return
	}
	defer resp.Body.Close()
	a.Status, a.Header = resp.StatusCode, resp.Header
	body, err := io.ReadAll(resp.Body)
	a.Body, a.Err, a.Complete = string(body), err, err == nil
	if resp.Close {
		a.Header.Set("Connection", "close")
	}
}

// Connected reports whether the client keeps a connection.
func (c *Client) Connected() bool { return c.conn != nil }
