// Package drain stops HTTP servers without dropping the requests of connections that they
// have accepted. http.Server.Shutdown closes a connection whose first request it reads
// after the call, without an answer.
package drain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Server is an HTTP server that knows which of its connections may still bring a request
// that no handler has seen. The fields of the http.Server must not be changed.
type Server struct {
	http     *http.Server
	listener net.Listener

	mu sync.Mutex
	// fresh holds the connections that have not sent the header of their first request;
	// reading holds those whose latest request was read, but has not reached the handler.
	fresh, reading map[net.Conn]struct{}
}

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// New returns a server for the connections of a listener. It uses the hooks ConnState and
// ConnContext of s, which must not be set.
func New(s *http.Server, l net.Listener) *Server {
	d := &Server{http: s, listener: l, fresh: map[net.Conn]struct{}{}, reading: map[net.Conn]struct{}{}}
	handler := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(net.Conn); ok {
			d.handled(c)
		}
		handler.ServeHTTP(w, r)
	})
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	s.ConnState = d.noteState
	return d
}

// Serve serves until the listener is closed or Shutdown is called, and returns the reason.
func (d *Server) Serve() error { return d.http.Serve(d.listener) }

func (d *Server) noteState(c net.Conn, state http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.fresh, c)
	delete(d.reading, c)
	switch state {
	case http.StateNew:
		d.fresh[c] = struct{}{}
	case http.StateActive:
		d.reading[c] = struct{}{}
	case http.StateIdle, http.StateHijacked, http.StateClosed:
	}
}

func (d *Server) handled(c net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.reading, c)
}

// Shutdown closes the listener and gives each accepted connection the time wait for its
// first request, after which one without a request is closed. Then it shuts the server
// down: idle connections are closed, and requests may take until ctx ends.
func (d *Server) Shutdown(ctx context.Context, wait time.Duration) error {
	// The only possible error says that the listener is closed already.
	_ = d.listener.Close()
	limit, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for d.requestsDue() && limit.Err() == nil {
		select {
		case <-poll.C:
		case <-limit.Done():
		}
	}
	d.closeFresh()
	return errors.Wrap(d.http.Shutdown(ctx), "shutting down")
}

// pollInterval is how often Shutdown checks for connections without a request.
const pollInterval = 5 * time.Millisecond

// requestsDue reports whether a connection may bring a request that no handler has seen.
func (d *Server) requestsDue() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.fresh)+len(d.reading) > 0
}

// closeFresh closes the connections that have not sent a request.
func (d *Server) closeFresh() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.fresh {
		// The connection is not used again, so an error in closing it is irrelevant.
		_ = c.Close()
	}
}
