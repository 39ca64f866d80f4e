package tunnel

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxLifetime bounds the time for which a tunnel is open.
	maxLifetime = time.Minute
	// copyBufferBytes is the size of the buffer of each direction of a tunnel.
	copyBufferBytes = 8 << 10
	// BytesPerTunnel is the memory that a tunnel takes at the serving node: the buffers of
	// both directions and those of its HTTP connection.
	BytesPerTunnel = 2*copyBufferBytes + 16<<10
	// lingerTime is how long after the regular end of the upstream's connection the
	// tunnel's user may take to read the rest and close the tunnel.
	lingerTime = 2 * time.Second
)

// Server serves tunnels.
type Server struct {
	// Admit returns why a tunnel must not be opened or used; nil if it may. It is called
	// before the upstream is connected and once more afterwards.
	Admit func(Request) *Refusal
	// Dial connects to an upstream. It returns an error only once the node knows whether it
	// can reach upstreams itself, which Admit then says.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Max returns the largest number of tunnels.
	Max func() int
	// Done ends all tunnels when it ends.
	Done context.Context
	// Observe is called with the reason of each refusal, and with an empty one for each
	// tunnel that was opened.
	Observe func(Reason)

	open atomic.Int64
}

// Open returns the number of open tunnels.
func (s *Server) Open() int64 { return s.open.Load() }

// ServeHTTP implements http.Handler. It returns when the tunnel has ended, so that the
// connection counts as that of a running request all the while.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer s.open.Add(-1)
	if int(s.open.Add(1)) > s.Max() {
		s.refuse(w, &Refusal{Reason: Full})
		return
	}
	q, err := decodeRequest(r.URL.Query())
	if err != nil || r.Header.Get("Upgrade") != protocol {
		s.refuse(w, &Refusal{Reason: Malformed})
		return
	}
	upstream, refusal := s.connect(r.Context(), q)
	if refusal != nil {
		s.refuse(w, refusal)
		return
	}
	// The upstream is not used afterwards, so an error in closing it is irrelevant.
	defer upstream.Close()
	user, err := hijack(w)
	if err != nil {
		s.refuse(w, &Refusal{Reason: NotConnected, Detail: err.Error()})
		return
	}
	defer user.Close()
	s.Observe("")
	s.carry(user, upstream, q.Lifetime)
}

// connect opens the connection to the upstream of a tunnel that is admitted.
func (s *Server) connect(ctx context.Context, q Request) (net.Conn, *Refusal) {
	if refusal := s.Admit(q); refusal != nil {
		return nil, refusal
	}
	c, err := s.Dial(ctx, q.Address)
	// Connecting takes time.
	refusal := s.Admit(q)
	switch {
	case refusal != nil && err == nil:
		// Nothing was written to the connection.
		_ = c.Close()
	case refusal == nil && err != nil:
		refusal = &Refusal{Reason: NotConnected, PortClosed: errors.Is(err, syscall.ECONNREFUSED), Detail: err.Error()}
	}
	return c, refusal
}

func (s *Server) refuse(w http.ResponseWriter, r *Refusal) {
	s.Observe(r.Reason)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusServiceUnavailable)
	// A write error is ignored: the peer has closed the connection.
	_ = json.NewEncoder(w).Encode(r)
}

// hijack takes the connection of a request over and answers that it is a tunnel now.
func hijack(w http.ResponseWriter) (net.Conn, error) {
	c, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, err
	}
	setLinger(c, 0)
	if err := c.SetDeadline(time.Time{}); err != nil {
		return nil, errors.CombineErrors(err, c.Close())
	}
	if _, err := io.WriteString(c, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+protocol+"\r\n\r\n"); err != nil {
		return nil, errors.CombineErrors(err, c.Close())
	}
	return &buffered{Conn: c, r: buf.Reader}, nil
}

// carry copies both ways until either side ends.
func (s *Server) carry(user, upstream net.Conn, lifetime time.Duration) {
	ctx, cancel := context.WithTimeout(s.Done, lifetime)
	defer cancel()
	userEnded, upstreamEnded := make(chan error, 1), make(chan error, 1)
	go func() { userEnded <- copyAll(upstream, user) }()
	go func() { upstreamEnded <- copyAll(user, upstream) }()
	select {
	case <-ctx.Done():
	case <-userEnded:
	case err := <-upstreamEnded:
		if err == nil {
			endRegularly(user, userEnded)
		}
	}
}

// copyAll copies until src ends. It returns nil only if src has ended regularly and all of
// it was written.
func copyAll(dst io.Writer, src io.Reader) error {
	// The wrappers keep io.CopyBuffer from other ways to copy than by the buffer.
	_, err := io.CopyBuffer(struct{ io.Writer }{dst}, struct{ io.Reader }{src}, make([]byte, copyBufferBytes))
	return err
}

// endRegularly ends the tunnel's side of the user like the upstream has ended its own, and
// waits until the user has closed it: the rest of the answer would be lost otherwise if bytes
// of the user are still to be read.
func endRegularly(user net.Conn, userEnded <-chan error) {
	setLinger(user, -1)
	if half, ok := innermost(user).(*net.TCPConn); ok && half.CloseWrite() == nil {
		select {
		case <-userEnded:
		case <-time.After(lingerTime):
		}
	}
}

// setLinger sets what happens to a connection that is closed: with 0 it is reset, also if
// the process ends, and with -1 it ends regularly.
func setLinger(c net.Conn, seconds int) {
	if tcp, ok := innermost(c).(*net.TCPConn); ok {
		// It fails only for a connection that is closed already.
		_ = tcp.SetLinger(seconds)
	}
}

// innermost returns the connection that others were made of.
func innermost(c net.Conn) net.Conn {
	for {
		outer, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return c
		}
		c = outer.NetConn()
	}
}

// NetConn returns the connection that is read through the buffer.
func (b *buffered) NetConn() net.Conn { return b.Conn }
