package gossip

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/dispatch"
	"github.com/tamarackcleat/tamarackcleat/relay"
)

// world is a deployment of tables whose messages arrive at once, or not at all.
type world struct {
	now   time.Time
	nodes map[netip.AddrPort]*worldNode
	order []netip.AddrPort
	rng   *rand.Rand
	// lose is the part of the messages that is lost.
	lose float64
	sent int
}

type worldNode struct {
	table
	down  bool
	heard map[string]Message
}

func newWorld(zones, perZone int) *world {
	w := &world{now: time.Unix(0, 0), nodes: map[netip.AddrPort]*worldNode{}, rng: rand.New(rand.NewPCG(1, 2))}
	for z := range zones {
		for i := range perZone {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(z), byte(i >> 8), byte(i)}), 7000)
			self := relay.Peer{ID: fmt.Sprintf("z%d-%03d", z, i), Zone: fmt.Sprint(z), Address: address, Cores: 0.2}
			if i == perZone/2 {
				self.Cores = 0.8
			}
			w.nodes[address] = &worldNode{
				table: table{self: self, peers: map[string]*peer{}, changed: func(string, *peer, time.Duration) {}},
				heard: map[string]Message{},
			}
			w.order = append(w.order, address)
		}
	}
	for _, n := range w.nodes {
		for _, other := range w.nodes {
			if n != other {
				n.register(w.now, other.self)
			}
		}
	}
	return w
}

// run lets rounds pass.
func (w *world) run(rounds int) {
	for range rounds {
		w.now = w.now.Add(sendEvery)
		for _, address := range w.order {
			n := w.nodes[address]
			if n.down {
				continue
			}
			local := Message{Node: n.self.ID, Zone: n.self.Zone, Cores: n.self.Cores,
				Loads: map[string]dispatch.Load{"vm": {InFlight: 1, Unread: 10}}, Silent: []string{"head of " + n.self.ID}}
			for _, o := range n.send(w.now, local) {
				w.deliver(address, o)
			}
		}
	}
}

func (w *world) deliver(from netip.AddrPort, o outgoing) {
	for _, to := range o.to {
		w.sent++
		n := w.nodes[to]
		if n.down || w.rng.Float64() < w.lose {
			continue
		}
		if n.note(w.now, o.message, from) {
			n.heard[o.message.Node] = o.message
		}
	}
}

// inFlight returns the others' requests as a node sees them now.
func (w *world) inFlight(n *worldNode) int {
	sum := 0
	for _, p := range n.peers {
		if n.counts(w.now, p) {
			sum += p.last.Loads["vm"].InFlight
		}
	}
	return sum
}

// up returns the nodes that run.
func (w *world) up() []*worldNode {
	var out []*worldNode
	for _, a := range w.order {
		if !w.nodes[a].down {
			out = append(out, w.nodes[a])
		}
	}
	return out
}

var _ = Describe("Many nodes", func() {
	expectSums := func(w *world) {
		GinkgoHelper()
		up := w.up()
		for _, n := range up {
			Expect(w.inFlight(n)).To(Equal(len(up)-1), n.self.ID)
			Expect(n.nodes(w.now)).To(Equal(len(up)-1), n.self.ID)
		}
	}

	It("know the sum of all others' loads a few rounds after the start", func() {
		w := newWorld(3, 28)
		w.run(8)
		expectSums(w)
	})

	It("send messages in proportion to their number", func() {
		small, large := newWorld(3, 10), newWorld(3, 100)
		for _, w := range []*world{small, large} {
			w.run(10)
			w.sent = 0
			w.run(10)
		}
		Expect(large.sent).To(BeNumerically("~", 10*small.sent, small.sent))
	})

	It("hear of all suspicions, and of none twice", func() {
		w := newWorld(3, 10)
		w.run(8)
		n := w.nodes[w.order[0]]
		var silent []string
		for _, p := range n.peers {
			if n.counts(w.now, p) {
				silent = append(silent, p.last.Silent...)
			}
		}
		slices.Sort(silent)
		Expect(silent).To(HaveLen(29))
		Expect(slices.Compact(silent)).To(HaveLen(29))
	})

	// Half the nodes, the parents of all zones among them, lose power at once.
	It("find each other again when those in between are gone", func() {
		w := newWorld(3, 28)
		w.run(8)
		for i, a := range w.order {
			w.nodes[a].down = i%2 == 0
		}
		w.run(int(2*liveFor/sendEvery) + 40)
		expectSums(w)
		for _, n := range w.nodes {
			n.down = false
		}
		w.run(int(2 * avoidParentFor / sendEvery))
		expectSums(w)
	})

	It("keep their sums where a twentieth of the messages is lost", func() {
		w := newWorld(3, 28)
		w.lose = 0.05
		w.run(100)
		wrong := 0
		for range 20 {
			w.run(1)
			for _, n := range w.up() {
				Expect(w.inFlight(n)).To(BeNumerically("<=", len(w.order)+28), "loads are counted twice")
				if w.inFlight(n) != len(w.order)-1 {
					wrong++
				}
			}
		}
		Expect(wrong).To(BeNumerically("<", 20*len(w.order)/10))
	})

	It("are a mesh when they are few", func() {
		w := newWorld(3, 3)
		w.run(2)
		for _, n := range w.up() {
			Expect(n.tree()).To(BeFalse())
			Expect(n.heard).To(HaveLen(8))
		}
		expectSums(w)
	})
})
