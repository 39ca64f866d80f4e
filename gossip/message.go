package gossip

import (
	"maps"
	"slices"

	"github.com/tamarackcleat/tamarackcleat/dispatch"
	"github.com/tamarackcleat/tamarackcleat/quarantine"
)

// Direction says whom a message speaks for.
type Direction string

// Directions of messages. A direct one speaks for its sender alone; one that
// goes up speaks for the sender and all nodes below it, and one that goes down
// for all the others.
const (
	Direct Direction = "direct"
	Up     Direction = "up"
	Down   Direction = "down"
)

// Message is what a node tells its peers.
type Message struct {
	// Node is the sender's id, unique to its process.
	Node string `json:"node"`
	// Zone is the sender's availability zone, Cores its processor share.
	Zone  string  `json:"zone,omitempty"`
	Cores float64 `json:"cores,omitempty"`
	// Direction says whom the message speaks for, and Nodes how many they are.
	Direction Direction `json:"dir,omitempty"`
	Nodes     int       `json:"nodes,omitempty"`
	// Partial says that Loads holds only what has changed since the sender's
	// last message; nothing else in the message counts.
	Partial bool `json:"partial,omitempty"`
	// Loads holds requests by VM.
	Loads map[string]dispatch.Load `json:"loads,omitempty"`
	// Silent lists heads of replicas that send nothing.
	Silent []string `json:"silent,omitempty"`
	// Crashes holds the latest requests that crashed upstreams; a node tells
	// also those that it heard of.
	Crashes []quarantine.LocalSuspect `json:"crashes,omitempty"`
	// Dead lists VMs that don't answer the holder of the control lease.
	Dead []string `json:"dead,omitempty"`
	// Closing lists heads of replicas that the holder is ending.
	Closing []string `json:"closing,omitempty"`
}

// add makes a message speak also for those of another one.
func (m *Message) add(other Message) {
	m.Nodes += other.Nodes
	m.Loads = sumLoads(m.Loads, other.Loads)
	m.Silent = union(m.Silent, other.Silent)
	m.Dead = union(m.Dead, other.Dead)
	m.Closing = union(m.Closing, other.Closing)
}

// sumLoads adds loads by VM without changing either.
func sumLoads(a, b map[string]dispatch.Load) map[string]dispatch.Load {
	if len(b) == 0 {
		return a
	}
	out := maps.Clone(a)
	if out == nil {
		out = make(map[string]dispatch.Load, len(b))
	}
	for vm, l := range b {
		sum := out[vm]
		sum.InFlight += l.InFlight
		sum.Unread += l.Unread
		out[vm] = sum
	}
	return out
}

// union returns the ids of both lists, in order.
func union(a, b []string) []string {
	if len(b) == 0 {
		return a
	}
	out := slices.Concat(a, b)
	slices.Sort(out)
	return slices.Compact(out)
}
