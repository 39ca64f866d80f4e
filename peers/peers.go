// Package peers is the kernel service that exchanges heartbeats between entry
// VMs. It spreads the version in force, crashes seen while the log is out, and
// lets a node that can't read the log take snapshots from a node that could.
//
// The guarantee: what a peer tells never moves a node backwards; a snapshot is
// taken only if it covers more of the log than the node has read. A node that
// has had contact with neither the log nor a peer for IsolatedAfter is not
// ready, so that the balancer sends callers elsewhere.
package peers

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tamarackcleat/tamarackcleat/health"
	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/quarantine"
	"github.com/tamarackcleat/tamarackcleat/record"
)

// Name is the service's registered name.
const Name = "peers"

const (
	// HeartbeatEvery is the time between two heartbeats to a peer.
	HeartbeatEvery = time.Second
	// AliveFor is how long a peer counts as live after a heartbeat.
	AliveFor = 5 * time.Second
	// IsolatedAfter is how long a node stays ready without any contact.
	IsolatedAfter = 5 * time.Second
	// fanOut is the number of peers that a node sends heartbeats to; more
	// peers take turns.
	fanOut = 4
	// forgetAfter is how long a silent peer is remembered.
	forgetAfter = time.Hour
)

// Heartbeat is what a node tells a peer about itself.
type Heartbeat struct {
	Node    record.NodeID `json:"node"`
	Address string        `json:"address"`
	Zone    string        `json:"zone"`
	// Ready says that the node takes callers.
	Ready bool `json:"ready"`
	// ConfigVersion is the version in force.
	ConfigVersion int64 `json:"config_version"`
	// Through holds, by stream, the offset up to which the node has read.
	Through map[string]int64 `json:"through"`
	// Suspects holds crashes that the node saw lately.
	Suspects []quarantine.LocalSuspect `json:"suspects,omitempty"`
	// Share tells the lease holder the VMs that the node watches.
	Share *health.ShareReport `json:"share,omitempty"`
	// ShareAck answers a Share with the sequence number that is known now.
	ShareAck int64 `json:"share_ack,omitempty"`
}

// Send is the effect that sends a heartbeat and answers Received with the
// peer's own one.
type Send struct {
	Address   string
	Heartbeat Heartbeat
}

// Received is a peer's heartbeat. Ask is 0 for the answer to a Send.
type Received struct {
	Ask       kernel.AskID
	Heartbeat Heartbeat
}

// FetchSnapshots is the effect that reads a peer's snapshots; they come back
// to the log service as Seed messages.
type FetchSnapshots struct{ Address string }

// Peer is a known entry node.
type Peer struct {
	Heartbeat
	HeardAt time.Time
}

// Self gives this node's own state.
type Self interface {
	// Heartbeat returns what to tell peers.
	Heartbeat(now time.Time) Heartbeat
}

// Log is what the service reads of the log service.
type Log interface {
	Reachable(now time.Time) bool
	CaughtUp(stream string) bool
	Next(stream string) int64
}

// VMs is what the service uses of health checking.
type VMs interface {
	Observations() []health.Observation
	Share(acknowledged int64) health.ShareReport
	Merge(now time.Time, from record.NodeID, r health.ShareReport) int64
}

// Holder returns the holder of the control lease, empty if nobody holds it.
type Holder func() record.NodeID

type tick struct{}

// Service is the kernel service of peers.
type Service struct {
	self    Self
	address string
	log     Log
	vms     VMs
	rng     *rand.Rand
	peers   map[record.NodeID]*Peer
	heardAt time.Time
	fetchAt time.Time
	holder  Holder
	// acked holds, by lease holder, how much of this node's share it knows.
	acked map[record.NodeID]int64
}

// New returns the service of the node at an address.
func New(address string, self Self, log Log, vms VMs, holder Holder, rng *rand.Rand) *Service {
	return &Service{
		address: address,
		self:    self,
		log:     log,
		vms:     vms,
		holder:  holder,
		rng:     rng,
		peers:   map[record.NodeID]*Peer{},
		acked:   map[record.NodeID]int64{},
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Starter.
func (s *Service) Start(time.Time) []kernel.Effect {
	return []kernel.Effect{kernel.SetTimer{To: Name, After: HeartbeatEvery, Msg: tick{}}}
}

// Handle implements kernel.Service.
func (s *Service) Handle(now time.Time, msg kernel.Message) []kernel.Effect {
	switch m := msg.(type) {
	case tick:
		out := s.sendAll(now)
		return append(out, kernel.SetTimer{To: Name, After: HeartbeatEvery, Msg: tick{}})
	case Received:
		return s.received(now, m)
	}
	return nil
}

// sendAll sends heartbeats to the peers whose turn it is.
func (s *Service) sendAll(now time.Time) []kernel.Effect {
	addresses := s.addresses()
	s.rng.Shuffle(len(addresses), func(i, j int) {
		addresses[i], addresses[j] = addresses[j], addresses[i]
	})
	beat := s.self.Heartbeat(now)
	var out []kernel.Effect
	holder, held := s.peers[s.holder()]
	if held {
		share := s.vms.Share(s.acked[holder.Node])
		told := beat
		told.Share = &share
		out = append(out, Send{Address: holder.Address, Heartbeat: told})
	}
	for _, a := range addresses[:min(fanOut, len(addresses))] {
		if !held || a != holder.Address {
			out = append(out, Send{Address: a, Heartbeat: beat})
		}
	}
	return out
}

// addresses returns the addresses of the other entry VMs in the VM list and of
// peers that sent heartbeats themselves.
func (s *Service) addresses() []string {
	found := map[string]bool{}
	for _, o := range s.vms.Observations() {
		if o.VM.Kind == port.KindEntry && o.Listed {
			found[o.VM.Address] = true
		}
	}
	for _, p := range s.peers {
		found[p.Address] = true
	}
	delete(found, s.address)
	return slices.Sorted(maps.Keys(found))
}

func (s *Service) received(now time.Time, m Received) []kernel.Effect {
	var out []kernel.Effect
	if m.Ask != 0 {
		answer := s.self.Heartbeat(now)
		if m.Heartbeat.Share != nil {
			answer.ShareAck = s.vms.Merge(now, m.Heartbeat.Node, *m.Heartbeat.Share)
		}
		out = append(out, kernel.Reply{ID: m.Ask, Msg: answer})
	}
	if m.Heartbeat.Node == "" || m.Heartbeat.Address == s.address {
		return out
	}
	if m.Ask == 0 && m.Heartbeat.Node == s.holder() {
		s.acked = map[record.NodeID]int64{m.Heartbeat.Node: m.Heartbeat.ShareAck}
	}
	s.heardAt = now
	s.peers[m.Heartbeat.Node] = &Peer{Heartbeat: m.Heartbeat, HeardAt: now}
	s.replace(m.Heartbeat)
	if len(m.Heartbeat.Suspects) > 0 {
		out = append(out, kernel.Send{To: quarantine.Name, Msg: quarantine.PeerSuspects{Suspects: m.Heartbeat.Suspects}})
	}
	if s.behind(m.Heartbeat) && now.Sub(s.fetchAt) >= HeartbeatEvery {
		s.fetchAt = now
		out = append(out, FetchSnapshots{Address: m.Heartbeat.Address})
	}
	return out
}

// replace forgets the former process at the address of a new one.
func (s *Service) replace(h Heartbeat) {
	for id, p := range s.peers {
		if p.Address == h.Address && id != h.Node {
			delete(s.peers, id)
		}
	}
}

// behind reports whether a peer has read more of a stream that this node can't
// read itself just now.
func (s *Service) behind(h Heartbeat) bool {
	for stream, through := range h.Through {
		if through > s.log.Next(stream) && !s.log.CaughtUp(stream) {
			return true
		}
	}
	return false
}

// Live returns the live peers by node id.
func (s *Service) Live(now time.Time) []Peer {
	var out []Peer
	for _, id := range slices.Sorted(maps.Keys(s.peers)) {
		p := s.peers[id]
		if now.Sub(p.HeardAt) <= AliveFor {
			out = append(out, *p)
		}
		if now.Sub(p.HeardAt) > forgetAfter {
			delete(s.peers, id)
		}
	}
	return out
}

// Isolated reports whether the node had contact with neither the log nor a
// peer for too long.
func (s *Service) Isolated(now time.Time) bool {
	silent := s.heardAt.IsZero() || now.Sub(s.heardAt) > IsolatedAfter
	return silent && !s.log.Reachable(now)
}
