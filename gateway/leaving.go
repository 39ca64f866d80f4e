package gateway

import (
	"time"

	"github.com/tamarackcleat/tamarackcleat/bootclock"
	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/fleet"
)

const (
	// leavingRetention is how long a leaving upstream is remembered that is not in the
	// view: its record may lapse and come back while the process runs.
	leavingRetention = 5 * time.Minute
	// maxLeavingMarks bounds the remembered upstreams that only peers told of.
	maxLeavingMarks = 16384
)

// leavingMark is what is known of an upstream that said in an answer that it is leaving.
type leavingMark struct {
	// own says that it told this node and not a peer; reported that its own report in
	// the log says so too.
	own, reported bool
	// listedAt is when the incarnation was last seen in the view, by the boot clock.
	listedAt time.Duration
}

// leavingMarks holds the marks by incarnation. A mark ends with the incarnation only: no
// report, which may be older than the answer, takes it back.
type leavingMarks map[fleet.Incarnation]*leavingMark

// apply returns whether a VM is leaving that has reported itself.
func (l leavingMarks) apply(vm fleet.VM) bool {
	m, marked := l[vm.Incarnation()]
	if marked {
		m.reported = vm.Leaving
	}
	return marked || vm.Leaving
}

// markLeaving records that an upstream said in an answer that it is leaving; own says that
// it told this node. If the upstream is in the view, a new view says so at once. It reports
// whether the mark is new, and whether the view said so before.
func (s *state) markLeaving(i fleet.Incarnation, own bool) (added, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, marked := s.leaving[i]; marked {
		m.own = m.own || own
		return false, true
	}
	if !own && len(s.leaving) >= maxLeavingMarks {
		return false, false
	}
	now := bootclock.Now()
	vm := s.latest(i.ID)
	current := vm.Incarnation() == i
	known = current && vm.Leaving
	s.leaving[i] = &leavingMark{own: own, reported: known, listedAt: now}
	if current && !vm.Leaving {
		vm.Leaving, vm.LeavingSince = true, now
		delete(s.unchanged, i.ID)
		s.builder.Put(vm)
		s.publish()
	}
	return true, known
}

// logLeavingEnded logs that a mark no longer counts, because another process reports from
// the VM.
func (s *state) logLeavingEnded(was fleet.VM) {
	if _, marked := s.leaving[was.Incarnation()]; marked {
		s.logger.Info(decisions.UpstreamLeaving, "upstream", was.ID, "boot", was.Boot, "ended", true)
	}
}

// isLeaving reports whether an upstream is known to be leaving, also if it has left the
// view since.
func (s *state) isLeaving(i fleet.Incarnation) bool {
	if vm, known := s.View().VM(i.ID); known && vm.Incarnation() == i {
		return vm.Leaving
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, marked := s.leaving[i]
	return marked
}

// leavingUnreported returns the upstreams in the view that told this node that they are
// leaving, while their reports do not say so.
func (s *state) leavingUnreported() []fleet.Incarnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []fleet.Incarnation
	for i, m := range s.leaving {
		if vm, known := s.builder.VM(i.ID); m.own && !m.reported && known && vm.Boot == i.Boot {
			out = append(out, i)
		}
	}
	return out
}

// expireLeaving drops the marks of incarnations that have not been in the view for
// leavingRetention.
func (s *state) expireLeaving(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, m := range s.leaving {
		vm, known := s.builder.VM(i.ID)
		switch {
		case known && vm.Boot == i.Boot:
			m.listedAt = now
		case now-m.listedAt > leavingRetention:
			delete(s.leaving, i)
		}
	}
}

// markLeaving records that an upstream said that it is leaving, and logs and counts that
// once. from says who told it, who the peer or the request.
func (n *Node) markLeaving(i fleet.Incarnation, own bool, from, who string) {
	added, known := n.state.markLeaving(i, own)
	if !added {
		return
	}
	n.count("upstream.leaving")
	n.logger.Info(decisions.UpstreamLeaving, "upstream", i.ID, "boot", i.Boot, "reported", known, "told_"+from, who)
	if own && n.peers != nil {
		n.peers.StateChanged()
	}
}
