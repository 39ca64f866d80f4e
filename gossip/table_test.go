package gossip

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackcleat/tamarackcleat/dispatch"
	"github.com/tamarackcleat/tamarackcleat/fleet"
	"github.com/tamarackcleat/tamarackcleat/poison"
	"github.com/tamarackcleat/tamarackcleat/relay"
)

// simulation simulates a deployment of nodes without a network: messages arrive at once
// or are lost.
type simulation struct {
	now   time.Time
	nodes map[netip.AddrPort]*simulatedNode
	// order holds the addresses of the nodes in the order in which they send.
	order []netip.AddrPort
	rng   *rand.Rand
	// lossRate is the fraction of the messages that are lost.
	lossRate float64
	// sent counts messages, lost ones included.
	sent int
}

// simulatedNode is a node of the simulation. It keeps the last message that it received
// from each peer, apart from messages that are not to be used.
type simulatedNode struct {
	table
	down  bool
	heard map[string]Message
	// parts is what the node knows of parts of prompts.
	parts *poison.Table
}

// newSimulation returns a deployment in which all nodes are registered with each other.
// Of each availability zone's nodes, the one in the middle has more cores than the rest,
// so it comes first in the order of relay.Precedes.
func newSimulation(zones, perZone int) *simulation {
	s := &simulation{now: time.Unix(0, 0), nodes: map[netip.AddrPort]*simulatedNode{}, rng: rand.New(rand.NewPCG(1, 2))}
	for z := range zones {
		for i := range perZone {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(z), byte(i >> 8), byte(i)}), 7000)
			self := relay.Peer{ID: fmt.Sprintf("z%d-%03d", z, i), Zone: fmt.Sprint(z), Address: address, Cores: 0.2}
			if i == perZone/2 {
				self.Cores = 0.8
			}
			s.nodes[address] = &simulatedNode{
				table: table{self: self, peers: map[string]*peer{}, onPeerEvent: func(string, *peer, time.Duration) {}},
				heard: map[string]Message{},
				parts: poison.NewTable(self.ID),
			}
			s.order = append(s.order, address)
		}
	}
	for _, n := range s.nodes {
		for _, other := range s.nodes {
			if n != other {
				n.register(s.now, other.self)
			}
		}
	}
	return s
}

// runRounds lets all running nodes send their messages once in each round; rounds are
// sendInterval apart.
func (s *simulation) runRounds(rounds int) {
	for range rounds {
		s.now = s.now.Add(sendInterval)
		for _, address := range s.order {
			n := s.nodes[address]
			if n.down {
				continue
			}
			local := Message{Node: n.self.ID, Zone: n.self.Zone, Cores: n.self.Cores,
				Loads: map[string]dispatch.Load{"vm": {InFlight: 1, PendingPromptTokens: 10}}, Silent: []string{"head of " + n.self.ID},
				Leaving: []fleet.Incarnation{{ID: "engine of " + n.self.ID, Boot: 7}},
				Cold:    []ColdUpstream{{fleet.Incarnation{ID: "engine of " + n.self.ID, Boot: 7}, 1000}},
				Parts:   n.parts.Report(s.now)}
			for _, o := range n.nextMessages(s.now, local) {
				s.deliver(address, o)
			}
		}
	}
}

// deliver hands a message to those of its receivers that are running, unless it is lost.
func (s *simulation) deliver(from netip.AddrPort, o outgoing) {
	data, err := o.encode()
	Expect(err).NotTo(HaveOccurred())
	for _, to := range o.to {
		s.sent++
		n := s.nodes[to]
		if n.down || s.rng.Float64() < s.lossRate {
			continue
		}
		m, err := decodeMessage(data)
		Expect(err).NotTo(HaveOccurred())
		if n.recordMessage(s.now, m, from) {
			n.heard[m.Node] = m
			n.parts.Merge(s.now, m.Parts)
		}
	}
}

// inFlight returns the number of other nodes' requests in flight that a node currently
// knows of.
func (s *simulation) inFlight(n *simulatedNode) int {
	sum := 0
	for _, p := range n.peers {
		if n.isCurrent(s.now, p) {
			sum += p.lastMessage.Loads["vm"].InFlight
		}
	}
	return sum
}

// runningNodes returns the nodes that are not down.
func (s *simulation) runningNodes() []*simulatedNode {
	var out []*simulatedNode
	for _, a := range s.order {
		if !s.nodes[a].down {
			out = append(out, s.nodes[a])
		}
	}
	return out
}

var _ = Describe("Nodes in a simulated deployment", func() {
	// expectSums checks that each running node knows the load of each other one
	// exactly once.
	expectSums := func(s *simulation) {
		GinkgoHelper()
		up := s.runningNodes()
		for _, n := range up {
			Expect(s.inFlight(n)).To(Equal(len(up)-1), n.self.ID)
			Expect(n.nodeCount(s.now)).To(Equal(len(up)-1), n.self.ID)
		}
	}

	It("know the sum of all other nodes' loads within eight rounds after the start", func() {
		s := newSimulation(3, 28)
		s.runRounds(8)
		expectSums(s)
	})

	It("send a number of messages in proportion to the number of nodes", func() {
		small, large := newSimulation(3, 10), newSimulation(3, 100)
		for _, s := range []*simulation{small, large} {
			s.runRounds(10)
			s.sent = 0
			s.runRounds(10)
		}
		Expect(large.sent).To(BeNumerically("~", 10*small.sent, small.sent))
	})

	It("receive the suspected failures of all other nodes, and each only once", func() {
		s := newSimulation(3, 10)
		s.runRounds(8)
		n := s.nodes[s.order[0]]
		var silent []string
		for _, p := range n.peers {
			if n.isCurrent(s.now, p) {
				silent = append(silent, p.lastMessage.Silent...)
			}
		}
		slices.Sort(silent)
		Expect(silent).To(HaveLen(29))
		Expect(slices.Compact(silent)).To(HaveLen(29))
	})

	// Guards against a failure in which only the nodes that a leaving upstream had told knew it.
	It("receive the upstreams that told any other node that they are leaving or cold, and each only once", func() {
		s := newSimulation(3, 10)
		s.runRounds(8)
		n := s.nodes[s.order[0]]
		leaving, cold := map[fleet.Incarnation]int{}, map[ColdUpstream]int{}
		for _, p := range n.peers {
			if n.isCurrent(s.now, p) {
				for _, i := range p.lastMessage.Leaving {
					leaving[i]++
				}
				for _, c := range p.lastMessage.Cold {
					cold[c]++
				}
			}
		}
		Expect(leaving).To(And(HaveLen(29), HaveEach(1)))
		Expect(cold).To(And(HaveLen(29), HaveEach(1)))
		Expect(leaving).To(HaveKey(fleet.Incarnation{ID: "engine of " + s.runningNodes()[1].self.ID, Boot: 7}))
	})

	It("send and use no more than a bounded number of leaving upstreams", func() {
		var m, other Message
		for i := range maxLeaving {
			m.Leaving = append(m.Leaving, fleet.Incarnation{ID: fmt.Sprint("a", i)})
			other.Leaving = append(other.Leaving, fleet.Incarnation{ID: fmt.Sprint("b", i)})
		}
		m.mergeLists(other)
		Expect(m.Leaving).To(HaveLen(maxLeaving))
		long, err := json.Marshal(Message{Node: "n", Leaving: append(m.Leaving, other.Leaving...)})
		Expect(err).NotTo(HaveOccurred())
		received, err := decodeMessage(long)
		Expect(err).NotTo(HaveOccurred())
		Expect(received.Leaving).To(HaveLen(maxLeaving))
	})

	It("send and use no more than a bounded number of cold upstreams, each with its longest time", func() {
		m, other := Message{Node: "n"}, Message{}
		for i := range maxCold {
			m.Cold = append(m.Cold, ColdUpstream{fleet.Incarnation{ID: fmt.Sprint("a", i)}, 1})
			other.Cold = append(other.Cold, ColdUpstream{fleet.Incarnation{ID: fmt.Sprint("a", 2*i)}, int64(i)})
		}
		m.mergeLists(other)
		Expect(m.Cold).To(HaveLen(maxCold))
		Expect(m.Cold).To(ContainElement(ColdUpstream{fleet.Incarnation{ID: "a10"}, 5}))
		long, err := json.Marshal(Message{Node: "n", Cold: append(append(other.Cold, m.Cold...), ColdUpstream{})})
		Expect(err).NotTo(HaveOccurred())
		received, err := decodeMessage(bytes.Replace(long, []byte(`"ms":0`), []byte(`"ms":-7`), 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(received.Cold).To(HaveLen(maxCold))
		Expect(received.Cold[0].RemainingMs).To(BeZero())
	})

	// Guards against findings that stay in one part of the tree, so that each part loses
	// upstreams of its own to the same part of a prompt.
	It("know within eight rounds what crashes upstreams by crashes that two of them saw", func() {
		s := newSimulation(3, 28)
		s.runRounds(8)
		for i, a := range []netip.AddrPort{s.order[0], s.order[len(s.order)-1]} {
			s.nodes[a].parts.RecordCrash(s.now, []string{"deadly", fmt.Sprint("other", i)}, poison.CrashID(i), false)
			s.runRounds(3)
		}
		s.runRounds(8)
		for _, n := range s.nodes {
			Expect(n.parts.Standing(s.now, "deadly")).To(Equal(poison.Convicted), n.self.ID)
			Expect(n.parts.Standing(s.now, "other0")).To(Equal(poison.Sound), n.self.ID)
		}
	})

	// Guards against a deadly part that each node knows of too few crashes of, because they
	// came in the middle of answers.
	It("know within eight rounds what crashes upstreams in the middle of answers, by crashes that three of them saw", func() {
		s := newSimulation(3, 28)
		s.runRounds(8)
		for i, a := range []netip.AddrPort{s.order[0], s.order[len(s.order)/2], s.order[len(s.order)-1]} {
			parts := s.nodes[a].parts
			parts.RecordCrash(s.now, []string{"deadly", "common", fmt.Sprint("other", i)}, poison.CrashID(i), true)
			s.runRounds(3)
			parts.RecordEnd(s.now, []string{"common"})
		}
		s.runRounds(8)
		for _, n := range s.nodes {
			Expect(n.parts.Standing(s.now, "deadly")).To(Equal(poison.Convicted), n.self.ID)
			Expect(n.parts.Standing(s.now, "common")).To(Equal(poison.Sound), n.self.ID)
			Expect(n.parts.Standing(s.now, "other0")).NotTo(Equal(poison.Convicted), n.self.ID)
		}
	})

	// Half of the nodes fail at once, the parents of all availability zones among them.
	It("form a tree again after the nodes between them have failed, and after those have come back", func() {
		s := newSimulation(3, 28)
		s.runRounds(8)
		for i, a := range s.order {
			s.nodes[a].down = i%2 == 0
		}
		s.runRounds(int(2*peerTimeout/sendInterval) + 40)
		expectSums(s)
		for _, n := range s.nodes {
			n.down = false
		}
		s.runRounds(int(2 * parentAvoidTime / sendInterval))
		expectSums(s)
	})

	It("know the sums in more than nine of ten cases when a twentieth of the messages is lost", func() {
		s := newSimulation(3, 28)
		s.lossRate = 0.05
		s.runRounds(100)
		wrong := 0
		for range 20 {
			s.runRounds(1)
			for _, n := range s.runningNodes() {
				Expect(s.inFlight(n)).To(BeNumerically("<=", len(s.order)+28), "loads are counted twice")
				if s.inFlight(n) != len(s.order)-1 {
					wrong++
				}
			}
		}
		Expect(wrong).To(BeNumerically("<", 20*len(s.order)/10))
	})

	It("form a mesh if they are few", func() {
		s := newSimulation(3, 3)
		s.runRounds(2)
		for _, n := range s.runningNodes() {
			Expect(n.isTree()).To(BeFalse())
			Expect(n.heard).To(HaveLen(8))
		}
		expectSums(s)
	})
})

var _ = DescribeTable("Loads are the same after they are sent", func(loads map[string]dispatch.Load) {
	data, err := json.Marshal(Message{Node: "n", Loads: loads})
	Expect(err).NotTo(HaveOccurred())
	m, err := decodeMessage(data)
	Expect(err).NotTo(HaveOccurred())
	Expect(m.Loads).To(BeEquivalentTo(loads))
},
	Entry("none", map[string]dispatch.Load(nil)),
	Entry("some", map[string]dispatch.Load{"i-1": {InFlight: 2}, "i-2": {InFlight: 1, PendingPromptTokens: 900}, "i-3": {PendingPromptTokens: 4}}),
	Entry("of VMs with separators in their ids", map[string]dispatch.Load{`a;b,c"d%3B`: {InFlight: 1}, "": {InFlight: 2}}),
)

var _ = It("reads the loads that older nodes send", func() {
	m, err := decodeMessage([]byte(`{"node":"n","loads":{"a":{"n":3,"u":5}}}`))
	Expect(err).NotTo(HaveOccurred())
	Expect(m.Loads).To(BeEquivalentTo(map[string]dispatch.Load{"a": {InFlight: 3, PendingPromptTokens: 5}}))
})

var _ = DescribeTable("A message with loads of its receiver leaves these out",
	func(loads, excess, want loadMap) {
		m := Message{Loads: loads, Excess: excess}
		m.subtractExcess()
		Expect(m.Loads).To(Equal(want))
		Expect(m.Excess).To(BeNil())
	},
	Entry("a part of a load", loadMap{"a": {InFlight: 3, PendingPromptTokens: 5}},
		loadMap{"a": {InFlight: 1, PendingPromptTokens: 5}}, loadMap{"a": {InFlight: 2}}),
	Entry("a whole load", loadMap{"a": {InFlight: 1}, "b": {InFlight: 1}}, loadMap{"a": {InFlight: 1}}, loadMap{"b": {InFlight: 1}}),
	Entry("more than there is", loadMap{"a": {InFlight: 1}}, loadMap{"a": {InFlight: 2}, "c": {InFlight: 1}}, loadMap{}),
	Entry("without any loads", loadMap(nil), loadMap{"c": {InFlight: 1}}, loadMap(nil)),
)

// BenchmarkParent measures a round of messages of a parent in the tree, encoded.
func BenchmarkParent(b *testing.B) {
	const heads, loadsPerChild = 150, 10
	for _, children := range []int{9, 39} {
		now := time.Unix(0, 0)
		self := relay.Peer{ID: "0", Zone: "z", Cores: 1}
		t := &table{self: self, peers: map[string]*peer{}, onPeerEvent: func(string, *peer, time.Duration) {}}
		for i := range children {
			m := Message{Node: fmt.Sprintf("n%d", i), Zone: "z", Direction: Up, Nodes: 1, Loads: map[string]dispatch.Load{}}
			for j := range loadsPerChild {
				m.Loads[fmt.Sprintf("i-%08x", (i*loadsPerChild+j)%heads)] = dispatch.Load{InFlight: 1, PendingPromptTokens: 100}
			}
			t.recordMessage(now, m, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1))
		}
		b.Run(fmt.Sprint(children), func(b *testing.B) {
			for range b.N {
				for _, o := range t.nextMessages(now, Message{Node: "0", Zone: "z"}) {
					if _, err := o.encode(); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}

// BenchmarkDecode measures the decoding of a message with the loads of many replicas, as
// a string and as the object that older nodes send.
func BenchmarkDecode(b *testing.B) {
	const heads = 150
	loads := map[string]dispatch.Load{}
	for i := range heads {
		loads[fmt.Sprintf("i-%08x", i)] = dispatch.Load{InFlight: i, PendingPromptTokens: 100 * i}
	}
	text, err := json.Marshal(Message{Node: "n", Loads: loads})
	if err != nil {
		b.Fatal(err)
	}
	object, err := json.Marshal(map[string]any{"node": "n", "loads": loads})
	if err != nil {
		b.Fatal(err)
	}
	for name, data := range map[string][]byte{"string": text, "object": object} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				if _, err := decodeMessage(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
