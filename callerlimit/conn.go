package callerlimit

import (
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// phase is what a connection is doing.
type phase int

// Phases of a connection.
const (
	// idle: no byte of a request has come.
	idle phase = iota
	// head: a part of a head has come.
	head
	// body: a handler runs, or has ended, and the body has not been read to its end.
	body
	// running: the request was read whole.
	running
)

// ErrGaveWay is the error of reads and writes on a connection that gave way.
var ErrGaveWay = errors.New("the connection gave way to others: the node is full")

// Conn is a connection of a caller that is counted. All fields but the connection are
// guarded by the account's mutex.
type Conn struct {
	net.Conn
	account *Account

	phase   phase
	phaseAt time.Time
	// answered says that a request on the connection was answered.
	answered bool
	// shed is why the connection gives way; empty if it doesn't.
	shed   string
	closed bool
	// headRead is the number of bytes of the present head, headBytes what they count;
	// bodyBytes is what the request's body counts.
	headRead, headBytes, bodyBytes int64

	// total is the number of bytes that came, lastByte when the last of them did, and
	// recent those of the present window and the one before it.
	total    int64
	lastByte time.Time
	recent   [2]int64
	windowAt time.Time
	// progressTotal is total at progressAt, from where the progress is measured.
	progressTotal int64
	progressAt    time.Time
	// writeAt is when the write began that is in progress; zero if none is.
	writeAt time.Time
}

// NetConn returns the connection that is counted.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// holds returns the bytes that the connection counts. The account must be locked.
func (c *Conn) holds() int64 { return ConnectionBytes + c.headBytes + c.bodyBytes }

// Read implements net.Conn. Bytes of a head are counted before they are read.
func (c *Conn) Read(p []byte) (int, error) {
	if extra := c.headExtra(int64(len(p))); extra > 0 && !c.account.take(c, extra, &c.headBytes) {
		c.refuse()
		return 0, ErrGaveWay
	}
	n, err := c.Conn.Read(p)
	c.arrived(int64(n))
	return n, err
}

// headExtra returns what a read of at most n further bytes of a head counts in addition.
// The first read of a head fills the buffer that ConnectionBytes includes.
func (c *Conn) headExtra(n int64) int64 {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	if c.phase != head {
		return 0
	}
	return headCost*(c.headRead+n) - c.headBytes
}

// arrived counts bytes that came.
func (c *Conn) arrived(n int64) {
	if n == 0 {
		return
	}
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	now := time.Now()
	c.roll(now)
	c.recent[0] += n
	c.total += n
	c.lastByte = now
	switch c.phase {
	case idle:
		c.setPhase(head, now)
		c.headRead = n
	case head:
		c.headRead += n
	}
}

// roll begins a new window if the present one is over.
func (c *Conn) roll(now time.Time) {
	age := now.Sub(c.windowAt)
	switch {
	case age < windowTime:
		return
	case age < 2*windowTime:
		c.recent = [2]int64{0, c.recent[0]}
	default:
		c.recent = [2]int64{}
	}
	c.windowAt = now
}

func (c *Conn) setPhase(p phase, now time.Time) {
	c.phase, c.phaseAt = p, now
	c.progressAt, c.progressTotal = now, c.total
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if !c.beginWrite() {
		return 0, ErrGaveWay
	}
	n, err := c.Conn.Write(p)
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.writeAt = time.Time{}
	return n, err
}

// beginWrite reports whether the connection may write: one that gives way in a head is
// answered by end.
func (c *Conn) beginWrite() bool {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	if c.shed != "" && c.phase != body {
		return false
	}
	c.writeAt = time.Now()
	return true
}

// SetReadDeadline implements net.Conn. The deadline of a connection that gives way stays in
// the past.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if c.shedCause() != "" {
		t = longAgo
	}
	return c.Conn.SetReadDeadline(t)
}

// longAgo is a deadline in the past.
var longAgo = time.Unix(1, 0)

// CloseWrite closes the connection for writing, so that a server can end it without losing
// what it has written.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn and gives back all that the connection holds.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.account.remove(c)
	return err
}

func (c *Conn) shedCause() string {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	return c.shed
}

// Answers to a request whose head was not read whole.
const (
	answerFull = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
	// answerWriteTime bounds the write of such an answer. It fits into the send buffer
	// unless the caller reads nothing.
	answerWriteTime = time.Millisecond
)

// end ends a connection that was marked to give way. If its handler reads the body, the
// handler gets an error and answers; otherwise the connection is closed.
func (c *Conn) end() {
	c.account.mu.Lock()
	now, unread := c.phase, !c.writeAt.IsZero()
	c.account.mu.Unlock()
	// All calls fail only if the connection is closed already.
	switch {
	case now == body && !unread:
		_ = c.Conn.SetReadDeadline(longAgo)
		return
	case now == head && !unread:
		_ = c.Conn.SetWriteDeadline(time.Now().Add(answerWriteTime))
		_, _ = io.WriteString(c.Conn, answerFull)
	}
	_ = c.Close()
}

// refuse makes the connection itself give way, because there is no room for its head.
func (c *Conn) refuse() {
	c.account.mu.Lock()
	already := c.shed != ""
	if !already {
		c.shed = CauseNoRoom
	}
	c.account.mu.Unlock()
	if !already {
		c.account.evict(c)
	}
}
