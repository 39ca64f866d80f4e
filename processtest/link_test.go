package processtest_test

import (
	"io"
	"net"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// linkMode is what a link does with connections.
type linkMode int

const (
	// linkPass forwards both ways.
	linkPass linkMode = iota
	// linkRefuse closes connections at once.
	linkRefuse
	// linkDrop takes connections and never forwards a byte.
	linkDrop
)

// link is a TCP proxy that stands for the network between processes.
type link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  linkMode
	conns map[net.Conn]struct{}
}

// newLink returns a link to an address that passes everything.
func newLink(target string) *link {
	l, err := net.Listen("tcp", freeAddress())
	Expect(err).NotTo(HaveOccurred())
	k := &link{listener: l, target: target, conns: map[net.Conn]struct{}{}}
	go k.accept()
	DeferCleanup(func() {
		_ = l.Close()
		k.set(linkRefuse)
	})
	return k
}

func (k *link) address() string { return k.listener.Addr().String() }

// set changes the mode. Connections of the former mode end, but a link that
// drops leaves them open without traffic.
func (k *link) set(mode linkMode) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.mode = mode
	if mode == linkDrop {
		return
	}
	for c := range k.conns {
		_ = c.Close()
	}
	k.conns = map[net.Conn]struct{}{}
}

func (k *link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		k.serve(c)
	}
}

// keep notes a connection and returns the mode; a link that refuses keeps none.
func (k *link) keep(c net.Conn) linkMode {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.mode == linkRefuse {
		_ = c.Close()
	} else {
		k.conns[c] = struct{}{}
	}
	return k.mode
}

func (k *link) serve(c net.Conn) {
	if k.keep(c) != linkPass {
		return
	}
	up, err := net.Dial("tcp", k.target)
	if err != nil {
		_ = c.Close()
		return
	}
	k.keep(up)
	go k.copy(up, c)
	go k.copy(c, up)
}

// copy forwards one way. What comes while the link drops is lost, and so is
// the connection once the link passes again.
func (k *link) copy(to, from net.Conn) {
	_, _ = io.Copy(&gate{k, to}, from)
	if k.passes() {
		_ = to.Close()
		_ = from.Close()
	}
}

func (k *link) passes() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.mode == linkPass
}

// gate writes as long as the link passes.
type gate struct {
	link *link
	to   net.Conn
}

// Write implements io.Writer.
func (g *gate) Write(data []byte) (int, error) {
	if !g.link.passes() {
		return len(data), nil
	}
	return g.to.Write(data)
}
