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

// pick answers a Pick with Picked or *verdict.Error.
func (s *Service) pick(now time.Time, m Pick) kernel.Message {
	candidates := s.candidates(now, m)
	if len(candidates) == 0 {
		s.count("refused." + string(verdict.ReasonNoReplica))
		return verdict.Refuse(verdict.ReasonNoReplica, "no upstream of pool %q", m.Pool).
			WithRetryAfter(noReplicaRetry)
	}
	r := s.request(m)
	r.Holders = s.holders(m.PrefixHashes, candidates)
	chosen := s.config.Strategy.Choose(r, candidates)
	coldBytes := m.PromptBytes
	if s.cached(chosen.ID, m.PrefixHashes) {
		coldBytes = 0
	}
	s.upstreams[chosen.ID].sent(now, m.RequestID, m.Class, coldBytes)
	for _, h := range m.PrefixHashes {
		s.prefixes.Add(chosen.ID, h)
	}
	s.count("picked")
	return Picked{Upstream: chosen.Upstream}
}

// request returns what the strategy knows about a Pick, with what was learned of
// the class where the Pick says nothing.
func (s *Service) request(m Pick) balance.Request {
	learned := s.work(m.Class)
	r := balance.Request{Zone: s.config.Zone, Work: m.ExpectedWork, Prefill: m.ExpectedPrefill}
	if r.Work == 0 {
		r.Work = learned.work()
	}
	if r.Prefill == 0 {
		r.Prefill = learned.prefill(m.PromptBytes)
	}
	return r
}

// work returns what was learned of a class.
func (s *Service) work(class string) *workEstimate {
	w, ok := s.works[class]
	if !ok {
		w = &workEstimate{}
		s.works[class] = w
	}
	return w
}

// cached reports whether an upstream is known to hold a prefix.
func (s *Service) cached(id string, hashes []uint64) bool {
	for _, h := range hashes {
		if _, found := slices.BinarySearch(s.prefixes.Holders(h), id); found {
			return true
		}
	}
	return false
}

// candidates returns the upstreams that may be picked, in order of their ids.
// If stragglers are all that is left, they are better than nothing.
func (s *Service) candidates(now time.Time, m Pick) []*balance.Candidate {
	p, ok := s.pools[m.Pool]
	if !ok {
		return nil
	}
	p.scratch = p.scratch[:0]
	for _, u := range p.members {
		if usable(now, m, u) && s.inService(now, p, u) {
			p.scratch = append(p.scratch, &u.candidate)
		}
	}
	if len(p.scratch) > 0 {
		return p.scratch
	}
	for _, u := range p.members {
		if usable(now, m, u) {
			p.scratch = append(p.scratch, &u.candidate)
		}
	}
	return p.scratch
}

// usable reports whether a request may be sent to u. A node that was paused
// finds its judgements expired until health checking has renewed them.
func usable(now time.Time, m Pick, u *upstream) bool {
	fresh := u.candidate.FreshUntil.IsZero() || now.Before(u.candidate.FreshUntil)
	return fresh && !slices.Contains(m.Exclude, u.candidate.ID)
}

// inService reports whether u is no ejected straggler.
func (s *Service) inService(now time.Time, p *pool, u *upstream) bool {
	if s.config.KeepStragglers {
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

// holders returns the candidates that hold the longest known prefix.
func (s *Service) holders(hashes []uint64, candidates []*balance.Candidate) []balance.Holder {
	for i, h := range hashes {
		var holders []balance.Holder
		for _, id := range s.prefixes.Holders(h) {
			if at, ok := find(candidates, id); ok {
				share := float64(len(hashes)-i) / float64(len(hashes))
				holders = append(holders, balance.Holder{Candidate: candidates[at], Share: share})
			}
		}
		if len(holders) > 0 {
			return holders
		}
	}
	return nil
}

func find(candidates []*balance.Candidate, id string) (int, bool) {
	return slices.BinarySearchFunc(candidates, id, func(c *balance.Candidate, id string) int {
		return cmp.Compare(c.ID, id)
	})
}
