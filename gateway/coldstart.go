package gateway

import (
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/bootclock"
	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/fleet"
	"github.com/tamarackcleat/tamarackcleat/gossip"
	"github.com/tamarackcleat/tamarackcleat/slowstart"
)

// errUpstreamCold is the cause for which a request is not written to a cold upstream.
var errUpstreamCold = errors.New("the upstream is cold and this node may not send to it now")

// Registered records that this node has read its own registration from the log.
func (n *Node) Registered() {
	n.nodesMu.Lock()
	defer n.nodesMu.Unlock()
	n.coldStart.Join(bootclock.Now())
}

// ProcessEnded records that the process of another node has ended, because another one has
// registered its address.
func (n *Node) ProcessEnded(id string) {
	n.nodesMu.Lock()
	defer n.nodesMu.Unlock()
	n.coldStart.Remove(nodeName(id), id)
}

// registerNode records another node's registration.
func (n *Node) registerNode(id string) {
	n.nodesMu.Lock()
	defer n.nodesMu.Unlock()
	n.coldStart.Register(nodeName(id), id)
}

// nodeName returns the name of the node whose process has an id.
func nodeName(id string) string {
	if i := strings.LastIndex(id, "/"); i >= 0 {
		return id[:i]
	}
	return id
}

// observeNodes records how many nodes this one sees, and whether all its copies of streams
// are proved to be current.
func (n *Node) observeNodes() {
	nodes, proved := 1, true
	if n.peers != nil {
		nodes += n.peers.LiveCount()
	}
	for _, f := range n.followedStreams {
		proved = proved && f.stream.Staleness() < slowstart.ProofAge
	}
	n.nodesMu.Lock()
	defer n.nodesMu.Unlock()
	n.coldStart.Observe(bootclock.Now(), nodes, proved)
}

// coldBound returns the number of requests of all nodes that may reach a cold upstream of a
// service in a second.
func (n *Node) coldBound(s fleet.Service) float64 {
	b := n.Settings().Bounds
	return slowstart.Bound(s.ColdPerSecond, b.ColdOvershoot, b.ColdSlack)
}

// splitCold divides targets of a service into the warm ones and those of the cold ones to
// which this node may send now. The results may share memory with targets.
func (n *Node) splitCold(v *fleet.View, s fleet.Service, targets []fleet.Target) (warm, cold []fleet.Target) {
	now := bootclock.Now()
	isCold := func(t fleet.Target) bool { return v.TargetColdUntil(t) > now }
	if s.ColdTime <= 0 || !slices.ContainsFunc(targets, isCold) {
		return targets, nil
	}
	n.observeNodes()
	n.nodesMu.Lock()
	defer n.nodesMu.Unlock()
	for _, t := range targets {
		switch {
		case !isCold(t):
			warm = append(warm, t)
		case n.coldStart.Open(now, t.Incarnation(), n.coldBound(s)):
			cold = append(cold, t)
		}
	}
	return warm, cold
}

// takeColdPermit reports whether a request may be written to a VM as far as its coldness is
// concerned, and counts the request if the VM is cold.
func (n *Node) takeColdPermit(v *fleet.View, vm fleet.VM) bool {
	now := bootclock.Now()
	if v.ColdUntil(vm) <= now {
		return true
	}
	n.observeNodes()
	n.nodesMu.Lock()
	defer n.nodesMu.Unlock()
	return n.coldStart.Take(now, vm.Incarnation(), n.coldBound(v.Config.Services[vm.Service]))
}

// markCold records that an upstream said that it is cold for some time; own says that it told
// this node. The view says so at once if that is new, and peers are told. from says who told
// it, who the peer or the request.
func (n *Node) markCold(i fleet.Incarnation, remaining time.Duration, own bool, from, who string) {
	vm, known := n.View().VM(i.ID)
	now := bootclock.Now()
	if !known || vm.Boot != i.Boot || vm.ColdUntil >= now+remaining {
		return
	}
	if own {
		n.noteColdTold(i, now+remaining)
	}
	if began := n.state.markCold(now, i, remaining); began {
		n.count("upstream.cold")
		n.logger.Info(decisions.UpstreamCold, "upstream", i.ID, "boot", i.Boot, "cold_ms", remaining.Milliseconds(), "told_"+from, who)
	}
}

// noteColdTold records until when an upstream is cold that told this node so, and makes the
// node tell its peers: until the upstream's report reaches them, they would send to it as
// before.
func (n *Node) noteColdTold(i fleet.Incarnation, until time.Duration) {
	n.nodesMu.Lock()
	n.toldCold[i] = until
	n.nodesMu.Unlock()
	if n.peers != nil {
		n.peers.StateChanged()
	}
}

// coldTold returns the upstreams that told this node that they are cold, as long as they
// are. What peers told is left out: nodes that passed it on would prolong it for each other
// by the time that their messages take.
func (n *Node) coldTold() []gossip.ColdUpstream {
	now := bootclock.Now()
	n.nodesMu.Lock()
	defer n.nodesMu.Unlock()
	var out []gossip.ColdUpstream
	for i, until := range n.toldCold {
		if until <= now {
			delete(n.toldCold, i)
			continue
		}
		out = append(out, gossip.ColdUpstream{Incarnation: i, RemainingMs: (until - now).Milliseconds()})
	}
	return out
}

// markCold records that an upstream is cold for some time and publishes a view if that is
// new. It reports whether the upstream was warm before.
func (s *state) markCold(now time.Duration, i fleet.Incarnation, remaining time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.cold[i]
	until := s.cold.Record(now, i, remaining)
	vm := s.latest(i.ID)
	if until == before || vm.Incarnation() != i {
		return false
	}
	vm.ColdUntil = until
	delete(s.unchanged, i.ID)
	s.builder.Put(vm)
	s.publish()
	return before <= now
}

// expireCold drops the marks and permits of incarnations that have ended.
func (n *Node) expireCold() {
	now, v := bootclock.Now(), n.View()
	current := func(i fleet.Incarnation) bool {
		vm, known := v.VM(i.ID)
		return known && vm.Boot == i.Boot
	}
	n.state.mu.Lock()
	n.state.cold.Retain(now, current)
	n.state.mu.Unlock()
	n.nodesMu.Lock()
	defer n.nodesMu.Unlock()
	n.coldStart.Retain(now, func(i fleet.Incarnation) bool {
		vm, known := v.VM(i.ID)
		return known && vm.Boot == i.Boot && v.ColdUntil(vm) > now
	})
}
