package gossip_test

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/dispatch"
	"github.com/tamarackcleat/tamarackcleat/gossip"
	"github.com/tamarackcleat/tamarackcleat/relay"
)

// node is a running Gossip together with the messages that it received.
type node struct {
	*gossip.Gossip
	address netip.AddrPort
	stop    context.CancelFunc
	mu      sync.Mutex
	last    gossip.Message
	partial []gossip.Message
}

// changes returns the partial messages that the node received.
func (n *node) changes() []gossip.Message {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.partial)
}

// heard returns the last message that the node received.
func (n *node) heard() gossip.Message {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.last
}

// start runs a node on a free port.
func start(id string) *node {
	probe, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	Expect(err).NotTo(HaveOccurred())
	n := &node{address: probe.LocalAddr().(*net.UDPAddr).AddrPort()}
	Expect(probe.Close()).To(Succeed())
	n.Gossip, err = gossip.New(gossip.Options{
		Self: relay.Peer{ID: id, Address: n.address}, Logger: slog.New(slog.DiscardHandler),
		LocalState: func() gossip.Message {
			return gossip.Message{Loads: map[string]dispatch.Load{id + "-vm": {InFlight: 3}}}
		},
		OnMessage: func(m gossip.Message) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.last = m
			if m.Partial {
				n.partial = append(n.partial, m)
			}
		},
	})
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	DeferCleanup(cancel)
	go n.Run(ctx)
	return n
}

var _ = Describe("Gossip", func() {
	It("sends to a registered peer, which sends back although no node was registered with it", func() {
		a, b := start("a"), start("b")
		a.Register(relay.Peer{ID: "b", Address: b.address})
		Eventually(func() int { return b.heard().Loads["a-vm"].InFlight }).Should(Equal(3))
		Eventually(func() int { return a.heard().Loads["b-vm"].InFlight }).Should(Equal(3))
		Expect(a.LiveCount()).To(Equal(1))
	})

	// Guards against nodes that choose the same upstream at the same moment: six
	// nodes once sent requests to one replica within 20 ms, because none of them
	// knew of the others' requests yet.
	It("sends a change at once, without the loads that have not changed", func() {
		a, b := start("a"), start("b")
		a.Register(relay.Peer{ID: "b", Address: b.address})
		Eventually(a.LiveCount).Should(Equal(1))
		// A regular message may carry a change before a partial message does, so
		// changes are repeated until a partial message arrives.
		for range 10 {
			before := len(b.changes())
			Eventually(func() int {
				a.LoadChanged("a-vm")
				return len(b.changes())
			}).Should(BeNumerically(">", before))
		}
		for _, m := range b.changes() {
			Expect(m.Loads).To(BeEquivalentTo(map[string]dispatch.Load{"a-vm": {InFlight: 3}}))
			Expect(m.Silent).To(BeEmpty())
		}
	})

	It("stops counting a peer that falls silent", func() {
		a, b := start("a"), start("b")
		a.Register(relay.Peer{ID: "b", Address: b.address})
		Eventually(a.LiveCount).Should(Equal(1))
		b.stop()
		Eventually(a.LiveCount, "4s").Should(Equal(0))
	})

	It("ignores messages that can't be decoded or that carry its own id", func() {
		a, b := start("a"), start("b")
		a.Register(relay.Peer{ID: "a", Address: a.address})
		conn, err := net.Dial("udp4", a.address.String())
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		for _, bad := range []string{"{", "{}", `{"node":7}`, `{"node":"a"}`} {
			_, err := conn.Write([]byte(bad))
			Expect(err).NotTo(HaveOccurred())
		}
		a.Register(relay.Peer{ID: "b", Address: b.address})
		Eventually(a.LiveCount).Should(Equal(1))
	})

	It("removes an earlier process with the same address", func() {
		a, b := start("a"), start("b")
		a.Register(relay.Peer{ID: "before", Address: b.address})
		a.Register(relay.Peer{ID: "b", Address: b.address})
		Eventually(a.LiveCount).Should(Equal(1))
		Consistently(a.LiveCount, "300ms").Should(Equal(1))
	})
})
