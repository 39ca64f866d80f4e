// Package link stands in for the network between two processes: a TCP proxy on
// loopback that delays, cuts, silences and resets connections on command.
package link

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Mode is what a link does with connections.
type Mode int

const (
	// Pass forwards both ways.
	Pass Mode = iota
	// Refuse closes connections at once.
	Refuse
	// Drop takes connections and forwards nothing.
	Drop
	// DropToTarget forwards only what the target sends.
	DropToTarget
	// DropFromTarget forwards only what is sent to the target.
	DropFromTarget
)

const (
	// queued bounds the chunks that wait for their delay, one way of one
	// connection; a reader that is behind by more blocks the sender, as a link does.
	queued = 1024
	// chunkBytes is the size of the buffer of one read; events have some hundred.
	chunkBytes = 16 << 10
	// dialTimeout bounds the time to connect to the target, which is on loopback.
	dialTimeout = 5 * time.Second
)

// Link is a proxy to one target. It is safe for concurrent use.
type Link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  Mode
	delay time.Duration
	conns map[net.Conn]struct{}
}

// New returns a link from an address to a target, both host:port, that passes
// everything.
func New(address, target string) (*Link, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listening for a link")
	}
	k := &Link{listener: l, target: target, conns: map[net.Conn]struct{}{}}
	go k.accept()
	return k, nil
}

// Address returns where the link listens.
func (k *Link) Address() string { return k.listener.Addr().String() }

// Close ends the link and its connections.
func (k *Link) Close() {
	// The listener is closed once, so closing can't fail.
	_ = k.listener.Close()
	k.Set(Refuse)
}

// Set changes the mode. A link that passes again or refuses ends the connections
// of before, because bytes were lost on them; one that drops leaves them open
// without traffic.
func (k *Link) Set(mode Mode) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.mode = mode
	if mode == Pass || mode == Refuse {
		k.closeAll()
	}
}

// SetDelay delays what is forwarded from now on, each way.
func (k *Link) SetDelay(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.delay = d
}

// Reset resets all open connections.
func (k *Link) Reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			// Without lingering the connection ends with a reset. One that is
			// closed already needs none.
			_ = tcp.SetLinger(0)
		}
	}
	k.closeAll()
}

// closeAll ends all connections; the lock is held.
func (k *Link) closeAll() {
	for c := range k.conns {
		// A connection that its other side has closed is as good as closed.
		_ = c.Close()
	}
	clear(k.conns)
}

func (k *Link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.serve(c)
	}
}

// keep notes a connection and returns the mode; a link that refuses keeps none.
func (k *Link) keep(c net.Conn) Mode {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.mode == Refuse {
		_ = c.Close()
	} else {
		k.conns[c] = struct{}{}
	}
	return k.mode
}

func (k *Link) drop(c net.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.conns, c)
	_ = c.Close()
}

func (k *Link) serve(c net.Conn) {
	if mode := k.keep(c); mode == Refuse || mode == Drop {
		return
	}
	up, err := net.DialTimeout("tcp", k.target, dialTimeout)
	if err != nil {
		k.drop(c)
		return
	}
	k.keep(up)
	go k.forward(up, c, DropToTarget)
	go k.forward(c, up, DropFromTarget)
}

// chunk is bytes on their way.
type chunk struct {
	due  time.Time
	data []byte
}

// forward copies one way until the connection ends. What comes while the link
// drops this way is lost.
func (k *Link) forward(to, from net.Conn, dropped Mode) {
	chunks := make(chan chunk, queued)
	go func() {
		defer close(chunks)
		for {
			data := make([]byte, chunkBytes)
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
		time.Sleep(time.Until(c.due))
		if k.drops(dropped) {
			continue
		}
		if _, err := to.Write(c.data); err != nil {
			break
		}
	}
	if !k.drops(dropped) {
		k.drop(to)
		k.drop(from)
	}
	for range chunks {
		// The reader ends once its connection is closed.
	}
}

func (k *Link) currentDelay() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.delay
}

// drops reports whether what goes one way is lost now.
func (k *Link) drops(way Mode) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.mode == Drop || k.mode == way
}
