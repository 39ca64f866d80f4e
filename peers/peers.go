// Package peers is the kernel service that exchanges heartbeats between entry
// VMs. Heartbeats carry the configuration version in force and recently seen
// crashes, so that these spread also while the log is unavailable. A node that
// can't read the log fetches snapshots of the log's streams from a peer that has
// read further.
//
// Guarantees: a peer's data never replaces newer data, because a snapshot is
// applied only if it covers more of the log than the node has read. A node that
// has had contact with neither the log nor a peer for IsolationTimeout is not
// ready, so that the load balancer sends callers to other nodes.
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
	// HeartbeatInterval is the interval at which a node sends heartbeats.
	HeartbeatInterval = time.Second
	// LivenessTimeout is how long a peer counts as live after its last
	// heartbeat.
	LivenessTimeout = 5 * time.Second
	// IsolationTimeout is how long a node stays ready without contact to the
	// log or a peer.
	IsolationTimeout = 5 * time.Second
	// fanOut is the number of peers, chosen at random, that get a heartbeat in
	// one interval, not counting the lease holder.
	fanOut = 4
	// forgetAfter is the time after which a peer without heartbeats is removed.
	forgetAfter = time.Hour
)

// Heartbeat is the message in which a node reports its state to a peer.
type Heartbeat struct {
	Node    record.NodeID `json:"node"`
	Address string        `json:"address"`
	Zone    string        `json:"zone"`
	// Ready says that the node accepts requests of callers.
	Ready bool `json:"ready"`
	// ConfigVersion is the configuration version in force at the node.
	ConfigVersion int64 `json:"config_version"`
	// Through holds, by stream, the offset up to which the node has read.
	Through map[string]int64 `json:"through"`
	// Suspects holds the crashes of replicas that the node saw recently.
	Suspects []quarantine.LocalSuspect `json:"suspects,omitempty"`
	// Share reports the VMs that the node watches; it is sent to the lease
	// holder only.
	Share *health.ShareReport `json:"share,omitempty"`
	// ShareAck acknowledges a Share: it is the sequence number up to which the
	// lease holder knows the receiver's share, 0 if it needs the full share.
	ShareAck int64 `json:"share_ack,omitempty"`
	// ShareClockMillis is, with ShareAck, the sender's health.Service.Clock.
	ShareClockMillis int64 `json:"share_clock_ms,omitempty"`
}

// Send is the effect that sends a heartbeat. The peer's heartbeat in response comes
// back as Received.
type Send struct {
	Address   string
	Heartbeat Heartbeat
}

// Received is a peer's heartbeat. Ask identifies the request to reply to; it is 0
// if the heartbeat is the response to a Send.
type Received struct {
	Ask       kernel.AskID
	Heartbeat Heartbeat
}

// FetchSnapshots is the effect that reads a peer's snapshots of the log's streams.
// They are delivered to the log service as messages of type OfferSnapshot.
type FetchSnapshots struct{ Address string }

// Peer is another entry node and its last heartbeat.
type Peer struct {
	Heartbeat
	// LastSeen is when the heartbeat arrived.
	LastSeen time.Time
}

// Self provides this node's own state.
type Self interface {
	// Heartbeat returns the heartbeat to send to peers.
	Heartbeat(now time.Time) Heartbeat
}

// Log is the part of the log service that this service uses.
type Log interface {
	Reachable(now time.Time) bool
	CaughtUp(stream string) bool
	NextOffset(stream string) int64
}

// VMs is the part of health checking that this service uses.
type VMs interface {
	Observations() []health.Observation
	Share(now time.Time, last health.Acknowledgement) health.ShareReport
	Clock(now time.Time) int64
	Merge(now time.Time, from record.NodeID, r health.ShareReport) int64
}

// LeaseHolder returns the node that holds the control lease, or "" if no node
// does.
type LeaseHolder func() record.NodeID

// tick is the message of the timer that sends heartbeats.
type tick struct{}

// Service is the kernel service that exchanges heartbeats with peers.
type Service struct {
	self        Self
	address     string
	log         Log
	vms         VMs
	rng         *rand.Rand
	peers       map[record.NodeID]*Peer
	lastContact time.Time
	lastFetch   time.Time
	holder      LeaseHolder
	// acknowledged is the latest acknowledgement of this node's share by a lease
	// holder.
	acknowledged health.Acknowledgement
}

// New returns the service of the node at an address. rng chooses the peers that
// get heartbeats.
func New(address string, self Self, log Log, vms VMs, holder LeaseHolder, rng *rand.Rand) *Service {
	return &Service{
		address: address,
		self:    self,
		log:     log,
		vms:     vms,
		holder:  holder,
		rng:     rng,
		peers:   map[record.NodeID]*Peer{},
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Starter.
func (s *Service) Start(time.Time) []kernel.Effect {
	return []kernel.Effect{kernel.SetTimer{To: Name, After: HeartbeatInterval, Msg: tick{}}}
}

// Handle implements kernel.Service.
func (s *Service) Handle(now time.Time, msg kernel.Message) []kernel.Effect {
	switch m := msg.(type) {
	case tick:
		out := s.sendHeartbeats(now)
		return append(out, kernel.SetTimer{To: Name, After: HeartbeatInterval, Msg: tick{}})
	case Received:
		return s.handleHeartbeat(now, m)
	}
	return nil
}

// sendHeartbeats sends heartbeats to fanOut random peers and to the lease holder,
// which also gets the report of this node's share of the VMs.
func (s *Service) sendHeartbeats(now time.Time) []kernel.Effect {
	addresses := s.addresses()
	s.rng.Shuffle(len(addresses), func(i, j int) {
		addresses[i], addresses[j] = addresses[j], addresses[i]
	})
	heartbeat := s.self.Heartbeat(now)
	var out []kernel.Effect
	holder, holderKnown := s.peers[s.holder()]
	if holderKnown {
		share := s.vms.Share(now, s.acknowledgedBy(holder.Node))
		withShare := heartbeat
		withShare.Share = &share
		out = append(out, Send{Address: holder.Address, Heartbeat: withShare})
	}
	for _, a := range addresses[:min(fanOut, len(addresses))] {
		if !holderKnown || a != holder.Address {
			out = append(out, Send{Address: a, Heartbeat: heartbeat})
		}
	}
	return out
}

// acknowledgedBy returns the latest acknowledgement of this node's share if holder
// sent it, and an empty one otherwise.
func (s *Service) acknowledgedBy(holder record.NodeID) health.Acknowledgement {
	if s.acknowledged.Holder != holder {
		return health.Acknowledgement{}
	}
	return s.acknowledged
}

// addresses returns the addresses of the other entry VMs in the VM list and of
// peers that sent heartbeats themselves.
func (s *Service) addresses() []string {
	known := map[string]bool{}
	for _, o := range s.vms.Observations() {
		if o.VM.Kind == port.KindEntry && o.Listed {
			known[o.VM.Address] = true
		}
	}
	for _, p := range s.peers {
		known[p.Address] = true
	}
	delete(known, s.address)
	return slices.Sorted(maps.Keys(known))
}

// handleHeartbeat records a peer's heartbeat and replies to it if it is a request.
// It fetches the peer's snapshots if this node is behind.
func (s *Service) handleHeartbeat(now time.Time, m Received) []kernel.Effect {
	var out []kernel.Effect
	if m.Ask != 0 {
		answer := s.self.Heartbeat(now)
		if m.Heartbeat.Share != nil {
			answer.ShareAck = s.vms.Merge(now, m.Heartbeat.Node, *m.Heartbeat.Share)
			answer.ShareClockMillis = s.vms.Clock(now)
		}
		out = append(out, kernel.Reply{ID: m.Ask, Msg: answer})
	}
	if m.Heartbeat.Node == "" || m.Heartbeat.Address == s.address {
		return out
	}
	if m.Ask == 0 && m.Heartbeat.Node == s.holder() {
		s.acknowledged = health.Acknowledgement{
			Holder:      m.Heartbeat.Node,
			Seq:         m.Heartbeat.ShareAck,
			ClockMillis: m.Heartbeat.ShareClockMillis,
			ReceivedAt:  now,
		}
	}
	s.lastContact = now
	s.peers[m.Heartbeat.Node] = &Peer{Heartbeat: m.Heartbeat, LastSeen: now}
	s.removePredecessor(m.Heartbeat)
	if len(m.Heartbeat.Suspects) > 0 {
		out = append(out, kernel.Send{To: quarantine.Name, Msg: quarantine.PeerSuspects{Suspects: m.Heartbeat.Suspects}})
	}
	if s.behind(m.Heartbeat) && now.Sub(s.lastFetch) >= HeartbeatInterval {
		s.lastFetch = now
		out = append(out, FetchSnapshots{Address: m.Heartbeat.Address})
	}
	return out
}

// removePredecessor removes peers with the address of h and another node ID: they
// are earlier processes of the same node.
func (s *Service) removePredecessor(h Heartbeat) {
	for id, p := range s.peers {
		if p.Address == h.Address && id != h.Node {
			delete(s.peers, id)
		}
	}
}

// behind reports whether the peer that sent h has read further in a stream in which
// this node is not caught up.
func (s *Service) behind(h Heartbeat) bool {
	for stream, through := range h.Through {
		if through > s.log.NextOffset(stream) && !s.log.CaughtUp(stream) {
			return true
		}
	}
	return false
}

// LivePeers returns the live peers sorted by node ID, and removes peers that were
// silent for longer than forgetAfter.
func (s *Service) LivePeers(now time.Time) []Peer {
	var out []Peer
	for _, id := range slices.Sorted(maps.Keys(s.peers)) {
		p := s.peers[id]
		if now.Sub(p.LastSeen) <= LivenessTimeout {
			out = append(out, *p)
		}
		if now.Sub(p.LastSeen) > forgetAfter {
			delete(s.peers, id)
		}
	}
	return out
}

// Isolated reports whether the node has had contact with neither the log nor a
// peer for longer than IsolationTimeout.
func (s *Service) Isolated(now time.Time) bool {
	silent := s.lastContact.IsZero() || now.Sub(s.lastContact) > IsolationTimeout
	return silent && !s.log.Reachable(now)
}
