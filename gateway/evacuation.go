package gateway

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/bootclock"
	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/fleet"
	"github.com/tamarackcleat/tamarackcleat/keyed"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// Causes for which a request is not written to an upstream in an evacuated zone, or to any.
var (
	errZoneEvacuated = errors.New("the upstream's zone is evacuated")
	errCutOff        = errors.New("the node is cut off from the log and from most other nodes")
)

// applyEvacuations applies a batch of the configuration's stream to the evacuated zones. A
// snapshot replaces them: a zone whose key it lacks is not evacuated. It reports whether
// they have changed.
func (s *state) applyEvacuations(b keyed.Batch) bool {
	zones := maps.Clone(s.evacuated)
	if b.Snapshot || zones == nil {
		zones = map[string]bool{}
	}
	for _, r := range b.Records {
		zone, ok := strings.CutPrefix(r.Key, s.evacuationPrefix)
		switch {
		case s.evacuationPrefix == "" || !ok:
		case zone == "":
			s.logger.Warn(decisions.ConfigUnreadable, "offset", r.Offset, "error", "a key that names no zone")
		case len(r.Value) == 0:
			delete(zones, zone)
		default:
			zones[zone] = true
		}
	}
	if maps.Equal(zones, s.evacuated) {
		return false
	}
	s.logEvacuations(zones, b)
	s.evacuated = zones
	s.builder.SetEvacuated(zones)
	return true
}

// logEvacuations logs and counts the zones whose evacuation begins or ends with a batch.
func (s *state) logEvacuations(zones map[string]bool, b keyed.Batch) {
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		if !s.evacuated[zone] {
			s.count("zone.evacuated")
			s.logger.Info(decisions.ZoneEvacuated, "zone", zone, "next", b.Next, "snapshot", b.Snapshot)
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(s.evacuated)) {
		if !zones[zone] {
			s.count("zone.returned")
			s.logger.Info(decisions.ZoneReturned, "zone", zone, "next", b.Next, "snapshot", b.Snapshot)
		}
	}
}

// withoutEvacuated returns targets without those in evacuated zones. The result may share
// memory with targets.
func withoutEvacuated(v *fleet.View, targets []fleet.Target) []fleet.Target {
	evacuated := func(t fleet.Target) bool { return v.Evacuated(t.Zone) }
	if !slices.ContainsFunc(targets, evacuated) {
		return targets
	}
	return slices.DeleteFunc(slices.Clone(targets), evacuated)
}

// refuseNoRoom returns the refusal of a request that none of the usable upstreams can take.
func (f *forwarder) refuseNoRoom(usable, exclude int) *verdict.Error {
	v := f.node.state.View()
	if all := v.Targets(f.service.Name, f.model()); usable == 0 && len(withoutEvacuated(v, all)) < len(all) {
		return verdict.Refuse(verdict.ReasonZoneEvacuated, "the zones of the %d upstreams are evacuated", len(all)).WithRetryAfter(noRoomRetryAfter())
	}
	return verdict.Refuse(verdict.ReasonNoReplica, "no room at %d upstreams, %d tried", usable, exclude).WithRetryAfter(noRoomRetryAfter())
}

// cutOff reports whether this node may have missed an evacuation: its copy of the log was
// not proved to be current within the time in which evacuations must take effect, and it
// sees fewer than half of the nodes. Without the second condition each outage of the log,
// in which no evacuation can be acknowledged, would stop the whole deployment.
func (n *Node) cutOff() bool {
	limit := n.Settings().Bounds.EvacuateTime
	if limit <= 0 || n.state.configAge() <= limit-arrivalMargin {
		return false
	}
	n.quorumMu.Lock()
	defer n.quorumMu.Unlock()
	return n.quorum.Lost()
}

// provedAge is the age up to which the proof that the copy of the log is current lets
// nodes be forgotten that are not seen any more. On a healthy node the proof is at most
// 1.3 s old.
const provedAge = 3 * time.Second

// observeNodes records how many nodes this one sees.
func (n *Node) observeNodes() {
	nodes := 1
	if n.peers != nil {
		nodes += n.peers.LiveCount()
	}
	n.quorumMu.Lock()
	defer n.quorumMu.Unlock()
	n.quorum.Observe(bootclock.Now(), nodes, n.state.configAge() < provedAge)
}
