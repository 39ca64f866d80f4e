package router

import (
	"cmp"
	"slices"
	"time"

	"github.com/tamarackcleat/tamarackcleat/balance"
	"github.com/tamarackcleat/tamarackcleat/outlier"
	"github.com/tamarackcleat/tamarackcleat/port"
)

// replaceUpstreams replaces the set of eligible upstreams. The load, cached
// prefixes and latencies of an upstream are kept as long as its generation and
// its pool stay the same.
func (s *Service) replaceUpstreams(now time.Time, m UpstreamsChanged) {
	wanted, sizes := s.selectSubset(m.Upstreams)
	for id, u := range s.upstreams {
		w, ok := wanted[id]
		if !ok || w.Generation != u.candidate.Generation || w.Pool != u.candidate.Pool {
			s.removeUpstream(u)
		}
	}
	for id, w := range wanted {
		if u, ok := s.upstreams[id]; ok {
			s.setUpstream(now, u, w)
			continue
		}
		s.addUpstream(w)
	}
	for name, p := range s.pools {
		p.totalSize = max(sizes[name], m.PoolSizes[name])
		slices.SortFunc(p.members, func(a, b *upstream) int {
			return cmp.Compare(a.candidate.ID, b.candidate.ID)
		})
	}
	s.updateNodeCounts()
	s.pauses.Retain(now, func(port.Incarnation) bool { return true })
}

// extendEligibility sets the time at which the eligibility of upstreams expires.
func (s *Service) extendEligibility(m EligibilityRenewed) {
	for id, until := range m.EligibleUntil {
		if u, ok := s.upstreams[id]; ok {
			u.candidate.EligibleUntil = until
		}
	}
}

// nodesPerUpstream returns the mean number of nodes that have an upstream of the
// pool in their subset, at least 1.
func (s *Service) nodesPerUpstream(p *pool) float64 {
	share := float64(len(p.members)) / float64(max(1, p.totalSize))
	return max(1, float64(s.nodes)*share)
}

// updateNodeCounts sets the number of nodes that use each upstream.
func (s *Service) updateNodeCounts() {
	for _, p := range s.pools {
		for _, u := range p.members {
			u.setNodeCount(s.nodesPerUpstream(p))
		}
	}
}

// selectSubset returns the upstreams that this node uses, by id, and the total
// number of upstreams of each pool.
func (s *Service) selectSubset(all []balance.Upstream) (map[string]balance.Upstream, map[string]int) {
	sizes := map[string]int{}
	byID := map[string]balance.Upstream{}
	byPool := map[string][]string{}
	for _, u := range all {
		byID[u.ID] = u
		byPool[u.Pool] = append(byPool[u.Pool], u.ID)
	}
	wanted := map[string]balance.Upstream{}
	for pool, ids := range byPool {
		sizes[pool] = len(ids)
		for _, id := range balance.Subset(s.config.Node, ids, s.config.SubsetSize) {
			wanted[id] = byID[id]
		}
	}
	return wanted, sizes
}

func (s *Service) addUpstream(added balance.Upstream) {
	u := &upstream{candidate: balance.Candidate{Upstream: added}, requests: map[string]inFlightRequest{}}
	s.upstreams[added.ID] = u
	p, ok := s.pools[added.Pool]
	if !ok {
		p = &pool{outliers: outlier.NewDetector()}
		s.pools[added.Pool] = p
	}
	p.members = append(p.members, u)
	p.outliers.Add(added.ID)
}

func (s *Service) removeUpstream(u *upstream) {
	id, name := u.candidate.ID, u.candidate.Pool
	delete(s.upstreams, id)
	s.prefixes.RemoveUpstream(id)
	p := s.pools[name]
	p.members = slices.DeleteFunc(p.members, func(m *upstream) bool { return m == u })
	p.outliers.Remove(id)
	if len(p.members) == 0 {
		delete(s.pools, name)
	}
}
