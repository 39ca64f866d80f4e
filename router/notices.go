package router

import (
	"slices"
	"time"

	"github.com/tamarackcleat/tamarackcleat/balance"
	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/notice"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

const (
	// maxWaiting bounds the requests of a node that wait for the end of a pause.
	maxWaiting = 1024
	// waitInterval is the time between two tries for a request that waits while an
	// upstream takes few requests after its pause.
	waitInterval = 100 * time.Millisecond
	// retrySpread is the time over which callers are told to return after a pause.
	retrySpread = 2 * time.Second
)

// waitTick is the timer message on which waiting requests are tried again. One whose
// time is not Service.wakeAt has been replaced by an earlier one.
type waitTick struct{ at time.Time }

// waitingPick is a request that waits for the end of a pause.
type waitingPick struct {
	Pick
	since time.Time
}

// handleNoticed records what the process of an upstream said of itself.
func (s *Service) handleNoticed(now time.Time, m Noticed) {
	longer := s.pauses.Record(now, m.Process, m.Notice.Pause)
	if longer {
		s.count("upstream.paused")
		s.config.Logger.Info(decisions.UpstreamPaused, "vm", string(m.Process.VM), "boot", m.Process.Boot,
			"pause_ms", m.Notice.Pause.Milliseconds())
	}
	for _, u := range s.upstreams {
		if u.candidate.Process != m.Process {
			continue
		}
		if longer {
			u.pausedAt = now
		}
		if m.Notice.Leaving && u.leavingSince.IsZero() {
			u.leavingSince = now
			s.count("upstream.leaving")
		}
	}
}

// setUpstream updates an upstream of the same generation. What an ended process has
// said of itself is dropped.
func (s *Service) setUpstream(now time.Time, u *upstream, w balance.Upstream) {
	before := u.candidate.Process
	u.candidate.Upstream = w
	if w.Process == before {
		return
	}
	u.leavingSince, u.pausedAt = time.Time{}, time.Time{}
	s.pauses.Retain(now, func(p port.Incarnation) bool { return p != before })
}

// takes reports whether an upstream takes another request of this node by what it said
// of itself.
func (s *Service) takes(now time.Time, u *upstream) bool {
	return u.leavingSince.IsZero() && u.candidate.InFlight < s.pauses.Limit(now, u.candidate.Process)
}

// paused reports whether an upstream takes no requests because of a pause.
func (s *Service) paused(now time.Time, u *upstream) bool {
	return s.pauses.Remaining(now, u.candidate.Process) > 0
}

// confirm returns the reply to a Confirm message.
func (s *Service) confirm(now time.Time, picked balance.Upstream) kernel.Message {
	failure := s.withhold(now, picked)
	if failure == nil {
		return Confirmed{}
	}
	s.count("withheld." + string(failure.Reason))
	return failure
}

// withhold returns why a request must not be sent to the upstream that was picked for
// it; nil if it may be.
func (s *Service) withhold(now time.Time, picked balance.Upstream) *verdict.Error {
	u, ok := s.upstreams[picked.ID]
	ok = ok && u.candidate.Process == picked.Process && u.candidate.Generation == picked.Generation
	remaining := s.pauses.Remaining(now, picked.Process)
	switch {
	case ok && !u.leavingSince.IsZero():
		return verdict.Refuse(verdict.ReasonUpstreamLeaving, "not sent: the upstream said %s ago that it is leaving", now.Sub(u.leavingSince))
	case ok && remaining > 0:
		return verdict.Refuse(verdict.ReasonUpstreamPaused, "not sent: the upstream asked for a pause %s ago, %s of it are left", now.Sub(u.pausedAt), remaining)
	case !ok || !usable(now, Pick{}, u):
		return verdict.Refuse(verdict.ReasonUpstreamGone, "not sent: the upstream takes requests no more")
	}
	return nil
}

// handlePick picks an upstream for a request, after those that wait. If all upstreams
// pause, the request waits or is refused.
func (s *Service) handlePick(now time.Time, m Pick) []kernel.Effect {
	var out []kernel.Effect
	if len(s.waiting) > 0 && len(s.candidates(now, m)) > 0 {
		out = s.retryWaiting(now)
	}
	if reply := s.pick(now, m); reply != nil {
		return append(out, kernel.Reply{ID: m.Ask, Msg: reply})
	}
	earliest := s.earliestEnd(now, m)
	if refusal := s.refuseWait(now, m, earliest); refusal != nil {
		return append(out, kernel.Reply{ID: m.Ask, Msg: refusal})
	}
	s.count("waited")
	s.waiting = append(s.waiting, waitingPick{Pick: m, since: now})
	return append(out, s.wakeAfter(now, earliest)...)
}

// refuseWait returns the refusal of a request that can't wait for the earliest end of
// the pauses, or nil if it can.
func (s *Service) refuseWait(now time.Time, m Pick, earliest time.Duration) *verdict.Error {
	done := now.Add(earliest + s.knownWork(m))
	if len(s.waiting) < maxWaiting && !m.Deadline.IsZero() && !done.After(m.Deadline) {
		return nil
	}
	s.count("refused." + string(verdict.ReasonAllPaused))
	spread := retrySpread / 2
	if s.config.Rand != nil {
		spread = time.Duration(s.config.Rand.Int64N(int64(retrySpread)))
	}
	return verdict.Refuse(verdict.ReasonAllPaused, "every upstream of pool %q wants no requests, for %s or longer", m.Pool, earliest).
		WithRetryAfter(earliest + spread)
}

// knownWork returns the service time of a request, 0 if nothing is known of it.
func (s *Service) knownWork(m Pick) time.Duration {
	if m.ExpectedWork > 0 {
		return m.ExpectedWork
	}
	return s.estimateFor(m.Class).meanServiceTime
}

// pausing reports whether an upstream that could be picked otherwise takes no request
// now because of a pause.
func (s *Service) pausing(now time.Time, m Pick) bool {
	p, ok := s.pools[m.Pool]
	return ok && slices.ContainsFunc(p.members, func(u *upstream) bool { return s.blocked(now, m, u) })
}

// blocked reports whether a pause, or the steps after it, are all that keeps a request
// from an upstream.
func (s *Service) blocked(now time.Time, m Pick, u *upstream) bool {
	return usable(now, m, u) && u.leavingSince.IsZero() && s.pauses.Limit(now, u.candidate.Process) != notice.Unlimited
}

// earliestEnd returns how long it takes until the first upstream for a request takes
// requests again: 0 if one takes few already.
func (s *Service) earliestEnd(now time.Time, m Pick) time.Duration {
	earliest := notice.MaxPause
	for _, u := range s.pools[m.Pool].members {
		if s.blocked(now, m, u) {
			earliest = min(earliest, s.pauses.Remaining(now, u.candidate.Process))
		}
	}
	return earliest
}

// retryWaiting picks upstreams for the waiting requests that can be sent now, in order
// of arrival, and refuses those that can no longer wait.
func (s *Service) retryWaiting(now time.Time) []kernel.Effect {
	if len(s.waiting) == 0 {
		return nil
	}
	var out []kernel.Effect
	waiting := s.waiting
	s.waiting = nil
	// stuck holds the earliest end by pool, of those pools for which a request that may
	// use any upstream waits on.
	stuck := map[string]time.Duration{}
	for _, w := range waiting {
		reply := s.retryPick(now, w, stuck)
		if reply == nil {
			s.waiting = append(s.waiting, w)
			continue
		}
		out = append(out, kernel.Reply{ID: w.Ask, Msg: reply})
	}
	return append(out, s.wakeWaiting(now)...)
}

// retryPick returns the reply to a request that has waited, or nil if it waits on. It
// does not look again at the upstreams of a stuck pool.
func (s *Service) retryPick(now time.Time, w waitingPick, stuck map[string]time.Duration) kernel.Message {
	earliest, isStuck := stuck[w.Pool]
	if !isStuck || len(w.Exclude) > 0 {
		reply := s.pick(now, w.Pick)
		if picked, ok := reply.(Picked); ok {
			picked.Waited = now.Sub(w.since)
			return picked
		}
		if reply != nil {
			return reply
		}
		earliest = s.earliestEnd(now, w.Pick)
	}
	if refusal := s.refuseWait(now, w.Pick, earliest); refusal != nil {
		return refusal
	}
	if len(w.Exclude) == 0 {
		stuck[w.Pool] = earliest
	}
	return nil
}

// wakeWaiting returns the effect that tries the waiting requests again when the first
// pause that they wait for ends.
func (s *Service) wakeWaiting(now time.Time) []kernel.Effect {
	if len(s.waiting) == 0 {
		return nil
	}
	next := notice.MaxPause
	seen := map[string]bool{}
	for _, w := range s.waiting {
		if !seen[w.Pool] || len(w.Exclude) > 0 {
			seen[w.Pool] = true
			next = min(next, s.earliestEnd(now, w.Pick))
		}
	}
	return s.wakeAfter(now, next)
}

// wakeAfter returns the effect that tries the waiting requests again after a delay of at
// least waitInterval; none if they are tried by then anyway.
func (s *Service) wakeAfter(now time.Time, delay time.Duration) []kernel.Effect {
	delay = max(delay, waitInterval)
	at := now.Add(delay)
	if !s.wakeAt.IsZero() && !at.Before(s.wakeAt) {
		return nil
	}
	s.wakeAt = at
	return []kernel.Effect{kernel.SetTimer{To: Name, After: delay, Msg: waitTick{at}}}
}

// cancelPick withdraws a Pick message: the request no longer waits, or the upstream
// that was picked is no longer used by it.
func (s *Service) cancelPick(now time.Time, m CancelPick) {
	before := len(s.waiting)
	s.waiting = slices.DeleteFunc(s.waiting, func(w waitingPick) bool { return w.Ask == m.Ask })
	if len(s.waiting) < before {
		return
	}
	for _, u := range s.upstreams {
		if r, ok := u.requests[m.RequestID]; ok && r.ask == m.Ask {
			u.recordFinish(now, m.RequestID)
		}
	}
}
