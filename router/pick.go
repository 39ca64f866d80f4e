package router

import (
	"cmp"
	"slices"
	"time"

	"github.com/tamarackcleat/tamarackcleat/balance"
	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/outlier"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// pick returns the reply to a Pick message, Picked or *verdict.Error, or nil if the
// upstreams that could be picked all pause.
func (s *Service) pick(now time.Time, m Pick) kernel.Message {
	candidates := s.candidates(now, m)
	if len(candidates) == 0 && s.pausing(now, m) {
		return nil
	}
	if len(candidates) == 0 {
		s.count("refused." + string(verdict.ReasonNoReplica))
		return verdict.Refuse(verdict.ReasonNoReplica, "no upstream of pool %q", m.Pool).
			WithRetryAfter(noReplicaRetryAfter)
	}
	r := s.balanceRequest(m)
	r.Holders = s.holders(m.PrefixHashes, candidates)
	chosen := s.config.Strategy.Choose(r, candidates)
	coldBytes := m.PromptBytes
	if s.cached(chosen.ID, m.PrefixHashes) {
		coldBytes = 0
	}
	s.upstreams[chosen.ID].recordSend(now, m, coldBytes)
	for _, h := range m.PrefixHashes {
		s.prefixes.Add(chosen.ID, h)
	}
	s.count("picked")
	return Picked{Upstream: chosen.Upstream}
}

// balanceRequest returns the request of a Pick message in the form that the load
// balancing strategy takes. An expected work or prefill that the message doesn't
// give is estimated from earlier requests of the class.
func (s *Service) balanceRequest(m Pick) balance.Request {
	estimate := s.estimateFor(m.Class)
	r := balance.Request{Zone: s.config.Zone, Work: m.ExpectedWork, Prefill: m.ExpectedPrefill}
	if r.Work == 0 {
		r.Work = estimate.expectedServiceTime()
	}
	if r.Prefill == 0 {
		r.Prefill = estimate.expectedPrefill(m.PromptBytes)
	}
	return r
}

// estimateFor returns the work estimate of a class, an empty one for a new class.
func (s *Service) estimateFor(class string) *workEstimate {
	w, ok := s.estimates[class]
	if !ok {
		w = &workEstimate{}
		s.estimates[class] = w
	}
	return w
}

// cached reports whether an upstream is known to hold any of the prefixes in its
// cache.
func (s *Service) cached(id string, hashes []uint64) bool {
	for _, h := range hashes {
		if _, found := slices.BinarySearch(s.prefixes.Holders(h), id); found {
			return true
		}
	}
	return false
}

// candidates returns the upstreams that may be picked, ordered by id: none that is
// leaving or has asked for a pause that goes on. Upstreams that the outlier detection
// holds back are used only if there are no others. The slice is valid until the next call for the same pool.
func (s *Service) candidates(now time.Time, m Pick) []*balance.Candidate {
	p, ok := s.pools[m.Pool]
	if !ok {
		return nil
	}
	p.scratch = p.scratch[:0]
	for _, u := range p.members {
		if usable(now, m, u) && s.takes(now, u) && s.inService(now, p, u) {
			p.scratch = append(p.scratch, &u.candidate)
		}
	}
	if len(p.scratch) > 0 {
		return p.scratch
	}
	for _, u := range p.members {
		if usable(now, m, u) && s.takes(now, u) {
			p.scratch = append(p.scratch, &u.candidate)
		}
	}
	return p.scratch
}

// usable reports whether u is eligible and not listed in m.Exclude. Eligibility
// expires, so that a node that was paused sends nothing to an upstream until
// health checking has confirmed it again.
func usable(now time.Time, m Pick, u *upstream) bool {
	fresh := u.candidate.EligibleUntil.IsZero() || now.Before(u.candidate.EligibleUntil)
	return fresh && !slices.Contains(m.Exclude, u.candidate.ID)
}

// inService reports whether the outlier detection allows a request to u: u is
// neither ejected nor, on probation, at its limit of requests in flight.
func (s *Service) inService(now time.Time, p *pool, u *upstream) bool {
	if s.config.DisableEjection {
		return true
	}
	switch p.outliers.State(u.candidate.ID, now) {
	case outlier.Ejected:
		return false
	case outlier.Probation:
		return u.candidate.InFlight < probationRequests
	}
	return true
}

// holders returns the candidates that hold the longest prefix which any candidate
// is known to hold. The share of a holder is computed from the prefix's place in
// hashes, which lists the longest prefix first.
func (s *Service) holders(hashes []uint64, candidates []*balance.Candidate) []balance.Holder {
	for i, h := range hashes {
		var holders []balance.Holder
		for _, id := range s.prefixes.Holders(h) {
			if at, ok := findCandidate(candidates, id); ok {
				share := float64(len(hashes)-i) / float64(len(hashes))
				holders = append(holders, balance.Holder{Candidate: candidates[at], CachedShare: share})
			}
		}
		if len(holders) > 0 {
			return holders
		}
	}
	return nil
}

// findCandidate returns the index of the candidate with an id. The candidates
// must be ordered by id.
func findCandidate(candidates []*balance.Candidate, id string) (int, bool) {
	return slices.BinarySearchFunc(candidates, id, func(c *balance.Candidate, id string) int {
		return cmp.Compare(c.ID, id)
	})
}
