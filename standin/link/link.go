// Package link simulates the network between two processes: a TCP proxy on
// loopback that delays, drops, refuses and resets the traffic of connections on
// request.
package link

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Mode selects what a link does with connections and their traffic.
type Mode int

const (
	// Pass forwards in both directions.
	Pass Mode = iota
	// Refuse closes all connections and closes new ones as soon as it has
	// accepted them.
	Refuse
	// Drop accepts connections and forwards nothing.
	Drop
	// DropToTarget forwards only what the target sends.
	DropToTarget
	// DropFromTarget forwards only what is sent to the target.
	DropFromTarget
)

const (
	// maxQueuedChunks bounds the chunks that wait for their delay in one
	// direction of one connection. With more, the sender blocks, as it does on a
	// real network.
	maxQueuedChunks = 1024
	// readBufferBytes is the size of the buffer of one read. An event of a stream
	// has a few hundred bytes, so one read usually returns all of it.
	readBufferBytes = 16 << 10
	// dialTimeout bounds the time to connect to the target, which is on loopback.
	dialTimeout = 5 * time.Second
)

// Link is a TCP proxy to one target. It is safe for concurrent use.
type Link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  Mode
	delay time.Duration
	// conns holds the open connections, from callers and to the target.
	conns map[net.Conn]struct{}
}

// New returns a link that listens on an address and forwards to a target, both
// host:port. Its mode is Pass, without delay.
func New(address, target string) (*Link, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listening for a link")
	}
	k := &Link{listener: l, target: target, conns: map[net.Conn]struct{}{}}
	go k.accept()
	return k, nil
}

// Address returns the address on which the link listens, as host:port.
func (k *Link) Address() string { return k.listener.Addr().String() }

// Close stops listening and closes all connections.
func (k *Link) Close() {
	// The error is of no use: the listener is not used again.
	_ = k.listener.Close()
	k.SetMode(Refuse)
}

// SetMode changes the mode. With Pass and Refuse it closes all open connections,
// because bytes sent on them may have been dropped in the previous mode. The other
// modes keep connections open.
func (k *Link) SetMode(mode Mode) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.mode = mode
	if mode == Pass || mode == Refuse {
		k.closeAll()
	}
}

// SetDelay sets the delay of bytes that arrive from now on, in each direction.
func (k *Link) SetDelay(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.delay = d
}

// Reset closes all open connections with a TCP reset.
func (k *Link) Reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			// A linger time of 0 makes Close send a reset. It fails only on a
			// connection that is closed already.
			_ = tcp.SetLinger(0)
		}
	}
	k.closeAll()
}

// closeAll closes all connections. The caller holds mu.
func (k *Link) closeAll() {
	for c := range k.conns {
		// An error is harmless: the connection is not used again.
		_ = c.Close()
	}
	clear(k.conns)
}

// accept serves new connections until the listener is closed.
func (k *Link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.serve(c)
	}
}

// register adds a connection to conns and returns the mode. With Refuse it closes the
// connection instead.
func (k *Link) register(c net.Conn) Mode {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.mode == Refuse {
		_ = c.Close()
	} else {
		k.conns[c] = struct{}{}
	}
	return k.mode
}

// closeConn closes a connection and removes it from conns.
func (k *Link) closeConn(c net.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.conns, c)
	_ = c.Close()
}

// serve connects a new connection to the target and forwards both directions, unless
// the mode is Refuse or Drop.
func (k *Link) serve(c net.Conn) {
	if mode := k.register(c); mode == Refuse || mode == Drop {
		return
	}
	targetConn, err := net.DialTimeout("tcp", k.target, dialTimeout)
	if err != nil {
		k.closeConn(c)
		return
	}
	k.register(targetConn)
	go k.forward(targetConn, c, DropToTarget)
	go k.forward(c, targetConn, DropFromTarget)
}

// chunk holds bytes that are forwarded at dueAt.
type chunk struct {
	dueAt time.Time
	data  []byte
}

// forward copies one direction of a connection until it is closed, and discards what
// is due while the mode is Drop or discardMode. When copying ends it closes both
// connections, except while the mode discards this direction.
func (k *Link) forward(to, from net.Conn, discardMode Mode) {
	chunks := make(chan chunk, maxQueuedChunks)
	go func() {
		defer close(chunks)
		for {
			data := make([]byte, readBufferBytes)
			n, err := from.Read(data)
			if n > 0 {
				chunks <- chunk{time.Now().Add(k.currentDelay()), data[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		time.Sleep(time.Until(c.dueAt))
		if k.discards(discardMode) {
			continue
		}
		if _, err := to.Write(c.data); err != nil {
			break
		}
	}
	if !k.discards(discardMode) {
		k.closeConn(to)
		k.closeConn(from)
	}
	for range chunks {
		// Discards the remaining chunks, so that the reading goroutine doesn't block
		// on a full channel and ends when its connection is closed.
	}
}

func (k *Link) currentDelay() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.delay
}

// discards reports whether the direction that discardMode drops is dropped now.
func (k *Link) discards(discardMode Mode) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.mode == Drop || k.mode == discardMode
}
