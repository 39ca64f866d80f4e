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
// snapshot replaces them: a zone whose key it lacks is not evacuated, unless the log was
// restored from a backup just now. It reports whether they have changed.
func (s *state) applyEvacuations(b keyed.Batch) bool {
	now := bootclock.Now()
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
			delete(s.unconfirmed, zone)
		default:
			zones[zone] = true
			delete(s.unconfirmed, zone)
		}
	}
	s.keepUnconfirmed(zones, b.Restored, now)
	if maps.Equal(zones, s.evacuated) {
		return false
	}
	s.logEvacuations(zones, b)
	s.returnedAt = returnTimes(s.returnedAt, s.evacuated, zones, now)
	s.evacuated = zones
	s.builder.SetEvacuated(zones, s.returnedAt)
	return true
}

// returnTimes returns the times at which evacuations ended, given those known before, the
// evacuated zones before a change and after it, and its time.
func returnTimes(known map[string]time.Duration, before, after map[string]bool, now time.Duration) map[string]time.Duration {
	out := maps.Clone(known)
	if out == nil {
		out = map[string]time.Duration{}
	}
	for zone := range before {
		if !after[zone] {
			out[zone] = now
		}
	}
	return out
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
	all := v.Targets(f.service.Name, f.model())
	inUse := withoutEvacuated(v, all)
	isCold := func(t fleet.Target) bool { return v.TargetColdUntil(t) > bootclock.Now() }
	switch {
	case usable == 0 && slices.ContainsFunc(inUse, isCold):
		return verdict.Refuse(verdict.ReasonUpstreamCold, "the upstreams are cold, and this node may not send to them now").WithRetryAfter(noRoomRetryAfter())
	case usable == 0 && len(inUse) < len(all):
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
	n.nodesMu.Lock()
	defer n.nodesMu.Unlock()
	return n.quorum.Lost()
}
