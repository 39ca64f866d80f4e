package dispatch

import (
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
	// Unreported is the estimated number of requests that all nodes together have sent since
	// the loads were reported: to the targets that may be selected, or to all if none may.
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
// request's scores (Request.Failover) is left out. Of more than maxSearched targets, Pick
// considers some that it draws at random, but Explain considers all: the shares are then
// those of a choice among all, and Pick may find that its targets would answer too late
// when others would not.
func (b *Balancer) Explain(now time.Time, engine *fleet.Engine, targets []fleet.Target, r Request) Explanation {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.Failover = false
	search := b.newSearch(now, engine, targets, r)
	s := search.selection(search.candidatesOfAll)
	e := Explanation{Shortage: s.shortage, MeanPeerLoadAge: b.meanPeerLoadAge(now), PeerLoadAge: b.oldestPeerLoadAge(now), Peers: b.livePeers(now)}
	if len(targets) == 0 {
		return e
	}
	if engine != nil && r.Target > 0 {
		e.Limit = max(0, search.stats.limit(now, r)-r.Waited)
	}
	if s.shortage == TooLate {
		e.Closest = s.closest()
	}
	considered, reasons := search.explainTargets(s)
	e.Unreported = search.unreported(considered)
	if len(s.admitted) > 0 {
		e.Unreported = search.unreported(s.admitted)
	}
	shares := sharesByTarget(s.admitted, e.Unreported)
	e.Candidates = make([]ExplainedCandidate, len(considered))
	for i, c := range considered {
		e.Candidates[i] = ExplainedCandidate{
			Target: targets[i], Excluded: reasons[i], Load: c.load, Predicted: c.score, Share: shares[keyOf(targets[i])],
			Pause: b.pauses.Remaining(now, targets[i].Incarnation()),
		}
	}
	return e
}

// explainTargets returns all targets as candidates, and what excludes each, given the
// selection among them.
func (s *search) explainTargets(sel selection) ([]candidate, []Exclusion) {
	// Candidates that were found are not predicted again, because the mutex is held.
	found, admitted := byTarget(sel.found), byTarget(sel.admitted)
	considered, reasons := make([]candidate, len(s.targets)), make([]Exclusion, len(s.targets))
	for i := range s.targets {
		t := &s.targets[i]
		c, ok := found[keyOf(*t)]
		if !ok {
			_, reasons[i] = s.consider(t, sel.suspects)
			c, _ = s.candidate(t, s.loads[keyOf(*t)])
		} else if _, ok := admitted[keyOf(*t)]; !ok {
			reasons[i] = Late
		}
		considered[i] = c
	}
	return considered, reasons
}

// byTarget returns candidates by their targets.
func byTarget(candidates []candidate) map[targetKey]candidate {
	out := make(map[targetKey]candidate, len(candidates))
	for _, c := range candidates {
		out[keyOf(*c.target)] = c
	}
	return out
}

// sharesByTarget returns the probabilities with which the candidates are chosen, without
// those that are never chosen.
func sharesByTarget(admitted []candidate, unreported float64) map[targetKey]float64 {
	if len(admitted) == 0 {
		return nil
	}
	requests := unreported + 1
	low := lowest(admitted, requests)
	out := map[targetKey]float64{}
	for i, share := range sortedShares(low, requests) {
		out[keyOf(*low[i].target)] = share
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
