package gossip

import (
	"cmp"
	"slices"
	"strings"

	"github.com/tamarackcleat/tamarackcleat/dispatch"
	"github.com/tamarackcleat/tamarackcleat/fleet"
	"github.com/tamarackcleat/tamarackcleat/poison"
)

// Direction determines which nodes' state a message holds.
type Direction string

// Directions of messages. A Direct message holds the state of its sender alone. An Up
// message goes to the sender's parent in the tree, and holds the merged state of the
// sender and all nodes below it. A Down message goes to a child of the sender, and
// holds the merged state of all nodes except the child and those below the child.
const (
	Direct Direction = "direct"
	Up     Direction = "up"
	Down   Direction = "down"
)

// Message is a message from one node to another. Its fields hold the merged state of
// the nodes given by Direction.
type Message struct {
	// Node is the sender's id, unique to its process.
	Node string `json:"node"`
	// Zone is the sender's availability zone, Cores its share of the processor in
	// cores.
	Zone  string  `json:"zone,omitempty"`
	Cores float64 `json:"cores,omitempty"`
	// Direction determines which nodes' state the message holds. Nodes is the
	// number of these nodes.
	Direction Direction `json:"dir,omitempty"`
	Nodes     int       `json:"nodes,omitempty"`
	// Partial reports whether Loads holds only the loads that have changed since
	// the sender's last message. The lists in such a message must be ignored.
	Partial bool `json:"partial,omitempty"`
	// Loads holds the loads by the id of the VM that takes the requests. Excess holds
	// those loads in it that the receiver itself reported, and that it must subtract:
	// thus a sender encodes Loads once for all of its children.
	Loads  loadMap `json:"loads,omitempty"`
	Excess loadMap `json:"excess,omitempty"`
	// ConfigVersion is the version of the configuration that the sender itself has in force;
	// 0 for none, or if a later one may be known to its peers.
	ConfigVersion int64 `json:"config,omitempty"`
	// Silent lists the ids of the head VMs of replicas that have requests but send
	// nothing.
	Silent []string `json:"silent,omitempty"`
	// Parts holds the evidence on parts of prompts and contents of requests that are
	// suspected of crashing upstreams. A node also passes on what it received from
	// peers.
	Parts poison.Findings `json:"parts,omitzero"`
	// Dead lists the ids of VMs that don't answer the holder of the control lease.
	Dead []string `json:"dead,omitempty"`
	// Closing lists the ids of the head VMs of replicas that the holder of the
	// control lease is ending.
	Closing []string `json:"closing,omitempty"`
	// Leaving lists the incarnations of VMs that said in an answer that they are
	// leaving, while their reports don't say so; at most maxLeaving.
	Leaving []fleet.Incarnation `json:"leaving,omitempty"`
	// Cold lists the upstreams that said in an answer that they are cold, with the time
	// for which they still are; at most maxCold.
	Cold []ColdUpstream `json:"cold,omitempty"`
	// NoTunnels lists the ids of nodes that open no connections to upstreams for others,
	// because they can't or because they stop; at most maxNoTunnels.
	NoTunnels []string `json:"no_tunnels,omitempty"`
}

// ColdUpstream is an upstream that is cold for a time in milliseconds.
type ColdUpstream struct {
	fleet.Incarnation
	RemainingMs int64 `json:"ms"`
}

// maxCold bounds Message.Cold, since a message that is too large is not sent. Nodes learn of
// an upstream that is left out by its report or by its answers to themselves.
const maxCold = 50

// maxColdMs is longer than any upstream is cold.
const maxColdMs = 3_600_000

// maxCount bounds each count in a message. The sum of all that a node adds up stays far
// below the largest int.
const maxCount = 1 << 31

// maxLeaving bounds Message.Leaving. Reports follow within seconds, and a VM that is left
// out is named in a later message.
const maxLeaving = 200

// maxNoTunnels bounds Message.NoTunnels. A node that is left out refuses what peers ask of it.
const maxNoTunnels = 300

// clampCounts replaces counts that no sound node sends by the nearest possible ones, and
// shortens lists that are too long.
func (m *Message) clampCounts() {
	m.Leaving = m.Leaving[:min(maxLeaving, len(m.Leaving))]
	m.Cold = m.Cold[:min(maxCold, len(m.Cold))]
	m.NoTunnels = m.NoTunnels[:min(maxNoTunnels, len(m.NoTunnels))]
	for i := range m.Cold {
		m.Cold[i].RemainingMs = min(max(0, m.Cold[i].RemainingMs), maxColdMs)
	}
	m.Nodes = clampCount(m.Nodes)
	m.ConfigVersion = max(0, m.ConfigVersion)
	for _, loads := range []loadMap{m.Loads, m.Excess} {
		for vm, l := range loads {
			loads[vm] = dispatch.Load{InFlight: clampCount(l.InFlight), PendingPromptTokens: clampCount(l.PendingPromptTokens)}
		}
	}
}

func clampCount(n int) int { return min(max(0, n), maxCount) }

// subtractExcess removes the receiver's own loads from a received message.
func (m *Message) subtractExcess() {
	for vm, own := range m.Excess {
		l := m.Loads[vm]
		l.InFlight = max(0, l.InFlight-own.InFlight)
		l.PendingPromptTokens = max(0, l.PendingPromptTokens-own.PendingPromptTokens)
		if l == (dispatch.Load{}) {
			delete(m.Loads, vm)
			continue
		}
		m.Loads[vm] = l
	}
	m.Excess = nil
}

// hasLists reports whether any of the message's lists that are merged has an entry.
func (m *Message) hasLists() bool {
	return len(m.Silent)+len(m.Dead)+len(m.Closing)+len(m.Leaving)+len(m.Cold)+len(m.NoTunnels) > 0
}

// mergeLists adds the lists in another message to the message.
func (m *Message) mergeLists(other Message) {
	m.Silent = union(m.Silent, other.Silent)
	m.Dead = union(m.Dead, other.Dead)
	m.Closing = union(m.Closing, other.Closing)
	m.Leaving = unionFunc(m.Leaving, other.Leaving, compareIncarnations)
	m.Leaving = m.Leaving[:min(maxLeaving, len(m.Leaving))]
	m.Cold = mergeCold(m.Cold, other.Cold)
	m.NoTunnels = union(m.NoTunnels, other.NoTunnels)
	m.NoTunnels = m.NoTunnels[:min(maxNoTunnels, len(m.NoTunnels))]
}

// mergeCold returns the upstreams in either of two lists, sorted, each with the longer of
// its times. It returns a itself if b is empty.
func mergeCold(a, b []ColdUpstream) []ColdUpstream {
	if len(b) == 0 {
		return a
	}
	out := slices.Concat(a, b)
	slices.SortFunc(out, func(x, y ColdUpstream) int {
		return cmp.Or(compareIncarnations(x.Incarnation, y.Incarnation), cmp.Compare(y.RemainingMs, x.RemainingMs))
	})
	out = slices.CompactFunc(out, func(x, y ColdUpstream) bool { return x.Incarnation == y.Incarnation })
	return out[:min(maxCold, len(out))]
}

// merge adds the state in another message to the message, whose Loads must not be
// shared.
func (m *Message) merge(other Message) {
	m.Nodes += other.Nodes
	addLoads(m.Loads, other.Loads)
	m.mergeLists(other)
}

// addLoads adds loads to those in sum.
func addLoads(sum, loads loadMap) {
	for vm, l := range loads {
		s := sum[vm]
		s.InFlight += l.InFlight
		s.PendingPromptTokens += l.PendingPromptTokens
		sum[vm] = s
	}
}

// union returns the ids in either of two lists, sorted and without duplicates. It
// returns a itself if b is empty.
func union(a, b []string) []string { return unionFunc(a, b, strings.Compare) }

// unionFunc is union with an order.
func unionFunc[T comparable](a, b []T, compare func(T, T) int) []T {
	if len(b) == 0 {
		return a
	}
	out := slices.Concat(a, b)
	slices.SortFunc(out, compare)
	return slices.Compact(out)
}

func compareIncarnations(a, b fleet.Incarnation) int {
	return cmp.Or(strings.Compare(a.ID, b.ID), cmp.Compare(a.Boot, b.Boot))
}
