package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/tamarackcleat/tamarackcleat/bounded"
	"github.com/tamarackcleat/tamarackcleat/wirecheck"
)

const (
	// readBufferSize is the size in bytes of a connection's read buffer. A response
	// header or an event of a stream fits.
	readBufferSize = 2 << 10
	// defaultIdleTimeout is assumed to be the upstream's idle timeout if the
	// upstream doesn't state it.
	defaultIdleTimeout = 4 * time.Second
	// maxRequestsPerConn bounds the requests with an id on a connection, and so the
	// memory for their ids.
	maxRequestsPerConn = 512
	// idleTimeoutFraction is the fraction of the upstream's idle timeout after
	// which an idle connection is no longer used, so that no request is sent
	// while the upstream closes the connection.
	idleTimeoutFraction = 0.6
)

// Options configures a Pool.
type Options struct {
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// UserTimeout is how long sent bytes may stay unacknowledged before the
	// kernel closes the connection (TCP_USER_TIMEOUT).
	UserTimeout time.Duration
	// MaxPerAddress returns the largest number of open connections that this
	// node may have to an address, or 0 for no limit. A nil function sets no
	// limit.
	MaxPerAddress func(address string) int
	// MaxOpen returns the largest number of open connections to all addresses together, or
	// 0 for no limit. If it is reached, the connection that has been idle longest makes
	// room. A nil function sets no limit.
	MaxOpen func() int
	// OnOpen is called after each new connection was opened; it may be nil.
	OnOpen func()
	// OnRead is called whenever bytes of an upstream were read from a connection that the
	// pool has opened itself; it may be nil.
	OnRead func()
	// DialContext opens a connection; nil for a net.Dialer.
	DialContext wirecheck.DialFunc
}

// Pool keeps persistent connections to upstreams. It is safe for concurrent use.
type Pool struct {
	options Options
	dial    wirecheck.DialFunc

	mu    sync.Mutex
	hosts map[string]*host
	// open counts the connections of all hosts.
	open int
}

// host holds the connections to one address.
type host struct {
	// idle holds the idle connections, the most recently used one last.
	idle []*conn
	// open counts the connections that are idle, in use or being opened.
	open int
}

// conn is one connection; it carries one request at a time.
type conn struct {
	net     net.Conn
	address string
	// reader buffers the bytes of responses, which checks those of source, which reads from
	// net.
	reader    *bufio.Reader
	responses *wirecheck.Reader
	source    *bounded.Reader
	// idleTimeout is how long the upstream keeps the connection while it is idle.
	idleTimeout time.Duration
	lastUsedAt  time.Time
	// closeAfterResponse is whether the upstream announced that it closes the
	// connection after the latest response.
	closeAfterResponse bool
	// oneUse says that the connection is closed after its first request.
	oneUse bool
	// carried holds the hashes of the ids of the requests that were sent on the
	// connection.
	carried []uint64
}

// observedReader calls a function after each read that brought bytes.
type observedReader struct {
	io.Reader
	onRead func()
}

func (o observedReader) Read(p []byte) (int, error) {
	n, err := o.Reader.Read(p)
	if n > 0 {
		o.onRead()
	}
	return n, err
}

func newConn(n net.Conn, address string) *conn { return newConnReading(n, n, address) }

// newConnReading returns a connection whose bytes are read from r.
func newConnReading(r io.Reader, n net.Conn, address string) *conn {
	source := bounded.NewReader(r)
	responses := wirecheck.NewReader(source)
	return &conn{
		net: n, address: address, reader: bufio.NewReaderSize(responses, readBufferSize), responses: responses, source: source,
		idleTimeout: defaultIdleTimeout,
	}
}

// cause returns the error of the bytes from the upstream if there was one, and else err. A
// parser between them and their user may hide that error, because what it got looks
// malformed or cut off.
func (c *conn) cause(err error) error {
	if e := c.responses.Err(); e != nil {
		return e
	}
	return c.source.Cause(err)
}

// abort closes the connection, which ends a blocked read or write.
func (c *conn) abort() {
	// Nothing can be done about an error here: the connection is not used again.
	_ = c.net.Close()
}

// noteCarried notes that a request is sent on the connection.
func (c *conn) noteCarried(id string) {
	if id != "" {
		c.carried = append(c.carried, xxhash.Sum64String(id))
	}
}

// hasCarried reports whether a request with this id was sent on the connection; never
// for an empty id.
func (c *conn) hasCarried(id string) bool {
	return id != "" && slices.Contains(c.carried, xxhash.Sum64String(id))
}

// NewPool returns a pool without connections.
func NewPool(o Options) *Pool {
	p := &Pool{options: o, hosts: map[string]*host{}}
	p.dial = o.DialContext
	if p.dial == nil {
		dialer := &net.Dialer{Timeout: o.DialTimeout, KeepAlive: -1, Control: p.ControlSocket}
		p.dial = dialer.DialContext
	}
	return p
}

// Dial opens a connection with the options of the pool, which does not keep or count it.
func (p *Pool) Dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.options.DialTimeout)
	defer cancel()
	return p.dial(ctx, "tcp", address)
}

// ControlSocket sets the options of a new socket, for net.Dialer.Control.
func (p *Pool) ControlSocket(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(p.options.UserTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, sockErr)
}

// get returns a usable idle connection that has not carried the request, or else opens
// one. It reports whether the connection was idle before.
func (p *Pool) get(ctx context.Context, address string, r *Request) (*conn, bool, error) {
	for {
		c, ok, err := p.takeIdleOrReserve(address, r.ID)
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
	c, err := p.connect(ctx, address, r)
	if err != nil {
		p.releaseSlot(address)
		return nil, false, errors.Wrap(err, "connecting")
	}
	return c, false, nil
}

// connect opens a connection for a request.
func (p *Pool) connect(ctx context.Context, address string, r *Request) (*conn, error) {
	var n net.Conn
	var err error
	oneUse := false
	if r.Dial != nil {
		n, oneUse, err = r.Dial(ctx)
	} else {
		n, err = p.Dial(ctx, address)
	}
	switch {
	case err != nil:
		return nil, err
	case oneUse:
		c := newConn(n, address)
		c.oneUse = true
		return c, nil
	}
	return p.newObservedConn(n, address), nil
}

// newObservedConn returns a connection to an upstream, of which the options' functions are
// told.
func (p *Pool) newObservedConn(n net.Conn, address string) *conn {
	if p.options.OnOpen != nil {
		p.options.OnOpen()
	}
	if p.options.OnRead == nil {
		return newConn(n, address)
	}
	return newConnReading(observedReader{n, p.options.OnRead}, n, address)
}

// takeIdleOrReserve takes the most recently used idle connection to an address that has
// not carried the request with the given id. If there is none, it reports false and
// counts a connection that the caller may then open, or returns ErrTooManyConnections if
// the limit is reached. An idle connection that has carried the request is closed if it
// takes the place of the new one.
func (p *Pool) takeIdleOrReserve(address, id string) (*conn, bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[address]
	if !ok {
		h = &host{}
		p.hosts[address] = h
	}
	for i, c := range slices.Backward(h.idle) {
		if !c.hasCarried(id) {
			h.idle = slices.Delete(h.idle, i, i+1)
			return c, true, nil
		}
	}
	if p.options.MaxPerAddress != nil {
		if limit := p.options.MaxPerAddress(address); limit > 0 && h.open >= limit && !p.closeOldest(h) {
			return nil, false, ErrTooManyConnections
		}
	}
	if !p.makeRoom() {
		return nil, false, ErrTooManyConnections
	}
	h.open++
	p.open++
	return nil, false, nil
}

// makeRoom closes the connection that has been idle longest, of all addresses, if no
// further connection may be opened. It reports false if none is idle. The lock must be held.
func (p *Pool) makeRoom() bool {
	if p.options.MaxOpen == nil {
		return true
	}
	limit := p.options.MaxOpen()
	if limit <= 0 || p.open < limit {
		return true
	}
	var oldest *host
	for _, h := range p.hosts {
		if len(h.idle) > 0 && (oldest == nil || h.idle[0].lastUsedAt.Before(oldest.idle[0].lastUsedAt)) {
			oldest = h
		}
	}
	return oldest != nil && p.closeOldest(oldest)
}

// closeOldest closes the connection to a host that has been idle longest; it reports
// false if none is idle. The lock must be held.
func (p *Pool) closeOldest(h *host) bool {
	if len(h.idle) == 0 {
		return false
	}
	h.idle[0].abort()
	h.idle = slices.Delete(h.idle, 0, 1)
	p.closed(h)
	return true
}

// closed stops counting a connection. The lock must be held.
func (p *Pool) closed(h *host) {
	h.open--
	p.open--
}

// put returns a connection to the pool if keep is set, and closes it otherwise.
func (p *Pool) put(c *conn, keep bool) {
	if !keep || c.oneUse {
		c.abort()
		p.releaseSlot(c.address)
		return
	}
	c.lastUsedAt = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[c.address]
	h.idle = append(h.idle, c)
	p.closeExpired(h)
}

// closeExpired closes the connections to a host that have been idle for too long.
// It starts with those that have been idle longest, at the front of the list. The
// lock must be held.
func (p *Pool) closeExpired(h *host) {
	for len(h.idle) > 0 && h.idle[0].expired() {
		h.idle[0].abort()
		h.idle = h.idle[1:]
		p.closed(h)
	}
}

// releaseSlot stops counting a connection that was closed or could not be opened.
func (p *Pool) releaseSlot(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	p.closed(h)
	if h.open == 0 && len(h.idle) == 0 {
		delete(p.hosts, address)
	}
}

// CloseExpired closes all connections that have been idle for too long. It should be
// called regularly.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, h := range p.hosts {
		p.closeExpired(h)
		if h.open == 0 {
			delete(p.hosts, address)
		}
	}
}

// CloseIdle closes the idle connections to an address. It is meant for the address of
// an upstream that is gone.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[address]
	if !ok {
		return
	}
	for _, c := range h.idle {
		c.abort()
		p.closed(h)
	}
	h.idle = nil
	if h.open == 0 {
		delete(p.hosts, address)
	}
}

// CloseAllIdle closes all idle connections.
func (p *Pool) CloseAllIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, h := range p.hosts {
		for len(h.idle) > 0 {
			p.closeOldest(h)
		}
		if h.open == 0 {
			delete(p.hosts, address)
		}
	}
}

// expired reports whether a connection has been idle for too long to be used.
func (c *conn) expired() bool {
	return time.Since(c.lastUsedAt) > time.Duration(float64(c.idleTimeout)*idleTimeoutFraction)
}

// usable reports whether an idle connection has not expired, is still open and has
// no bytes to read: bytes that arrive while no request is in progress belong to no
// response.
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
	noPendingData := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noPendingData = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && noPendingData
}
