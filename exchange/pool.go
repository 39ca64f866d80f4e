package exchange

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// readerBytes is the size of a connection's read buffer; an event and a
	// header fit.
	readerBytes = 2 << 10
	// defaultIdle is how long an idle connection is used if the upstream
	// doesn't say how long it keeps one.
	defaultIdle = 4 * time.Second
	// idleShare is the part of the upstream's idle timeout in which a
	// connection is used, so that requests don't cross its close.
	idleShare = 0.6
)

// Options configures a Pool.
type Options struct {
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// UserTimeout is how long sent bytes may stay unacknowledged before the
	// kernel gives the connection up.
	UserTimeout time.Duration
	// MaxPerAddress returns the number of connections that this node may
	// have to an address; 0 for no bound.
	MaxPerAddress func(address string) int
	// Opened is called for each new connection; it may be nil.
	Opened func()
}

// Pool keeps connections to upstreams.
type Pool struct {
	options Options
	dialer  net.Dialer

	mu    sync.Mutex
	hosts map[string]*host
}

// host is an address with its connections.
type host struct {
	idle []*conn
	open int
}

// conn is one connection; it carries one request at a time.
type conn struct {
	net     net.Conn
	address string
	reader  *bufio.Reader
	idleFor time.Duration
	usedAt  time.Time
	closing bool
}

// abort ends a blocked read or write.
func (c *conn) abort() {
	// The error of closing an aborted connection has no consequence.
	_ = c.net.Close()
}

// NewPool returns a pool without connections.
func NewPool(o Options) *Pool {
	p := &Pool{options: o, hosts: map[string]*host{}}
	p.dialer = net.Dialer{Timeout: o.DialTimeout, KeepAlive: -1, Control: p.control}
	return p
}

// control sets the user timeout on a new socket.
func (p *Pool) control(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(p.options.UserTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, failure)
}

// get returns a sound idle connection or opens one.
func (p *Pool) get(ctx context.Context, address string) (*conn, bool, error) {
	for {
		c, ok, err := p.takeIdle(address)
		if err != nil {
			return nil, false, err
		}
		if !ok {
			break
		}
		if c.usable() {
			return c, true, nil
		}
		p.put(c, false)
	}
	n, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.closed(address)
		return nil, false, errors.Wrap(err, "connecting")
	}
	if p.options.Opened != nil {
		p.options.Opened()
	}
	c := &conn{net: n, address: address, reader: bufio.NewReaderSize(n, readerBytes), idleFor: defaultIdle}
	return c, false, nil
}

// takeIdle takes the most recently used idle connection, or reserves a place
// for a new one.
func (p *Pool) takeIdle(address string) (*conn, bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[address]
	if !ok {
		h = &host{}
		p.hosts[address] = h
	}
	if n := len(h.idle); n > 0 {
		c := h.idle[n-1]
		h.idle = h.idle[:n-1]
		return c, true, nil
	}
	if p.options.MaxPerAddress != nil {
		if limit := p.options.MaxPerAddress(address); limit > 0 && h.open >= limit {
			return nil, false, ErrCongested
		}
	}
	h.open++
	return nil, false, nil
}

// put keeps a connection or closes it.
func (p *Pool) put(c *conn, keep bool) {
	if !keep {
		c.abort()
		p.closed(c.address)
		return
	}
	c.usedAt = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[c.address]
	h.idle = append(h.idle, c)
	p.expire(h)
}

// expire closes the idle connections that have been idle for too long; the
// oldest stand first.
func (p *Pool) expire(h *host) {
	for len(h.idle) > 0 && h.idle[0].expired() {
		h.idle[0].abort()
		h.idle = h.idle[1:]
		h.open--
	}
}

// closed gives a connection's place back.
func (p *Pool) closed(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	h.open--
	if h.open == 0 && len(h.idle) == 0 {
		delete(p.hosts, address)
	}
}

// Sweep closes connections that have been idle for too long.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, h := range p.hosts {
		p.expire(h)
		if h.open == 0 {
			delete(p.hosts, address)
		}
	}
}

// Forget closes the idle connections to an address whose upstream is gone.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[address]
	if !ok {
		return
	}
	for _, c := range h.idle {
		c.abort()
		h.open--
	}
	h.idle = nil
	if h.open == 0 {
		delete(p.hosts, address)
	}
}

func (c *conn) expired() bool {
	return time.Since(c.usedAt) > time.Duration(float64(c.idleFor)*idleShare)
}

// usable reports whether an idle connection is young enough, open, and has
// nothing to read: a byte that waits there belongs to no request.
func (c *conn) usable() bool {
	if c.expired() {
		return false
	}
	s, ok := c.net.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}
