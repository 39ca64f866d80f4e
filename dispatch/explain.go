package dispatch

import (
	"slices"
	"time"

	"github.com/tamarackcleat/tamarackcleat/fleet"
)

// Explanation is what Pick would decide on a request.
type Explanation struct {
	// Shortage is the one that Pick would return; with TooLate, Closest is the Assignment.
	Shortage Shortage
	Closest  Assignment
	// Candidates describes all targets, in their order.
	Candidates []ExplainedCandidate
	// Limit is the longest predicted time to the first event with which a replica without
	// a free slot takes the request; 0 if that doesn't matter.
	Limit time.Duration
	// Unreported is the estimated number of requests that all nodes together have sent to
	// the targets since the loads were reported.
	Unreported float64
	// Peers is the number of peers whose reports count. MeanPeerLoadAge and PeerLoadAge
	// are the mean and the highest age of these reports.
	Peers                        int
	MeanPeerLoadAge, PeerLoadAge time.Duration
}

// ExplainedCandidate describes a target as Pick would consider it.
type ExplainedCandidate struct {
	Target   fleet.Target
	Excluded Exclusion
	// Load is the load of all nodes together, as far as this node knows.
	Load Load
	// Predicted is the score: for a replica, the predicted time to the first event. It is
	// 0 without capacity.
	Predicted time.Duration
	// Share is the probability with which Pick would select the target.
	Share float64
	// Pause is how long the target's pause goes on; 0 if there is none.
	Pause time.Duration
}

// Explain returns what Pick would decide on a request at the same moment. It shares the
// code with Pick, counts nothing and draws no random numbers: the random part of a moved
// request's scores (Request.Failover) is left out.
func (b *Balancer) Explain(now time.Time, engine *fleet.Engine, targets []fleet.Target, r Request) Explanation {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.Failover = false
	s := b.selection(now, engine, targets, r)
	e := Explanation{Shortage: s.shortage, Unreported: b.unreported(now, targets), MeanPeerLoadAge: b.meanPeerLoadAge(now), PeerLoadAge: b.oldestPeerLoadAge(now), Peers: b.livePeers(now)}
	if engine != nil && r.Target > 0 && len(targets) > 0 {
		e.Limit = max(0, b.knownPool(targets[0]).limit(now, r)-r.Waited)
	}
	if s.shortage == TooLate {
		e.Closest = s.closest()
	}
	e.Candidates = b.explainCandidates(now, engine, targets, r, s, e.Unreported)
	return e
}

// explainCandidates describes the targets, given the selection among them.
func (b *Balancer) explainCandidates(now time.Time, engine *fleet.Engine, targets []fleet.Target, r Request, s selection, unreported float64) []ExplainedCandidate {
	// Candidates that were found are not predicted again: the mutex is held, and each
	// prediction sums the loads of all peers.
	found := make(map[targetKey]candidate, len(s.found))
	for _, c := range s.found {
		found[keyOf(c.target)] = c
	}
	shares := sharesByTarget(s.admitted, unreported)
	out := make([]ExplainedCandidate, 0, len(targets))
	for _, t := range targets {
		c, ok := found[keyOf(t)]
		why := NotExcluded
		if !ok {
			c, why = b.explainExcluded(now, engine, t, r, s.suspects)
		}
		share, admitted := shares[keyOf(t)]
		if ok && !admitted {
			why = Late
		}
		out = append(out, ExplainedCandidate{
			Target: t, Excluded: why, Load: c.load, Predicted: c.score, Share: share, Pause: b.pauses.Remaining(now, t.Incarnation()),
		})
	}
	return out
}

// explainExcluded returns why a target is no candidate, and the candidate that it would be.
func (b *Balancer) explainExcluded(now time.Time, engine *fleet.Engine, t fleet.Target, r Request, suspects bool) (candidate, Exclusion) {
	_, why := b.consider(now, engine, t, r, suspects)
	c, _ := b.candidate(now, engine, t, r)
	return c, why
}

// sharesByTarget returns the probabilities with which the candidates are chosen; 0 for those
// that are admitted but above the level.
func sharesByTarget(admitted []candidate, unreported float64) map[targetKey]float64 {
	sorted := slices.Clone(admitted)
	slices.SortStableFunc(sorted, compareScores)
	shares := choiceShares(sorted, unreported)
	out := make(map[targetKey]float64, len(sorted))
	for i, c := range sorted {
		out[keyOf(c.target)] = 0
		if i < len(shares) {
			out[keyOf(c.target)] = shares[i]
		}
	}
	return out
}

// livePeers returns the number of peers whose reports count.
func (b *Balancer) livePeers(now time.Time) int {
	n := 0
	for _, p := range b.peers {
		if now.Sub(p.receivedAt) <= peerLoadMaxAge {
			n++
		}
	}
	return n
}
