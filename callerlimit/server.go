package callerlimit

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Listen returns a listener whose connections the account counts. If the account is full
// and no connection may give way, Accept waits and further callers wait in the kernel's
// queue.
func (a *Account) Listen(l net.Listener) net.Listener {
	return &listener{Listener: l, account: a, closed: make(chan struct{})}
}

type listener struct {
	net.Listener
	account *Account
	once    sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: inner, account: l.account}
	began := time.Now()
	if l.account.admit(c, 0) {
		return c, nil
	}
	l.account.report.add(CauseWaiting)
	for !l.account.admit(c, time.Since(began)) {
		select {
		case <-l.closed:
			// The connection has brought no request, so an error in closing it is irrelevant.
			_ = inner.Close()
			return nil, net.ErrClosed
		case <-time.After(roomPoll):
		}
	}
	return c, nil
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// FromContext returns the connection of a request; nil if it is not counted.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Attach makes a server report the requests of its connections. It keeps the hooks that the
// server has. The server must serve a listener that Listen returned.
func (a *Account) Attach(s *http.Server) *http.Server {
	handler, state, inner := s.Handler, s.ConnState, s.ConnContext
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { a.handle(handler, w, r) })
	s.ConnState = func(c net.Conn, now http.ConnState) {
		if counted, ok := c.(*Conn); ok && now == http.StateIdle {
			counted.requestEnded()
		}
		if state != nil {
			state(c, now)
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if inner != nil {
			ctx = inner(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	return s
}

// handle runs a handler. After it, the rest of the body may still be read by the server.
func (a *Account) handle(handler http.Handler, w http.ResponseWriter, r *http.Request) {
	c := FromContext(r.Context())
	if c == nil {
		handler.ServeHTTP(w, r)
		return
	}
	if !c.requestBegun(r.Body != http.NoBody) {
		panic(http.ErrAbortHandler)
	}
	defer c.handlerEnded()
	if a.underPressure() {
		w.Header().Set("Connection", "close")
	}
	handler.ServeHTTP(w, r)
}

// requestBegun notes that the head was read whole. It reports false if the connection gave
// way before: the caller has got an answer that says not run.
func (c *Conn) requestBegun(hasBody bool) bool {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	if c.shed != "" || c.closed {
		return false
	}
	if hasBody {
		c.setPhase(body, time.Now())
	} else {
		c.setPhase(running, time.Now())
	}
	return true
}

// BodyRead notes that the body was read to its end: from now on the request may be sent
// to an upstream. It reports false if the connection gave way before. It does nothing and
// reports true if c is nil.
func (c *Conn) BodyRead() bool {
	if c == nil {
		return true
	}
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	if c.shed != "" || c.closed {
		return false
	}
	c.setPhase(running, time.Now())
	return true
}

// Take counts n bytes of the body of the connection's request before they are read; they
// are given back by Give, or when the handler ends. It reports false if there is no room, and
// true if c is nil.
func (c *Conn) Take(n int64) bool {
	if c == nil {
		return true
	}
	ok := c.account.take(c, n, &c.bodyBytes)
	if !ok {
		c.account.report.add(CauseNoRoom)
	}
	return ok
}

// Give gives bytes back that Take counted.
func (c *Conn) Give(n int64) {
	if c != nil {
		c.account.give(n, &c.bodyBytes)
	}
}

// GaveWay returns why the connection was made to give way; an empty text if it wasn't.
func (c *Conn) GaveWay() string {
	if c == nil {
		return ""
	}
	return c.shedCause()
}

// handlerEnded gives the body back. The server may go on to read the rest of the body.
func (c *Conn) handlerEnded() {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.account.used -= c.bodyBytes
	c.bodyBytes = 0
	c.setPhase(body, time.Now())
	if c.shed != "" {
		// The server may have closed the connection already; the error is irrelevant.
		time.AfterFunc(answerLinger, func() { _ = c.Close() })
	}
}

// requestEnded notes that the connection waits for its next request.
func (c *Conn) requestEnded() {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.account.used -= c.headBytes
	c.headRead, c.headBytes, c.answered = 0, 0, true
	c.setPhase(idle, time.Now())
}
