package router

import (
	"cmp"
	"slices"

	"github.com/tamarackcleat/tamarackcleat/balance"
	"github.com/tamarackcleat/tamarackcleat/outlier"
)

// replaceUpstreams takes the new set of eligible upstreams. What is known of an
// upstream is kept while its generation stays the same.
func (s *Service) replaceUpstreams(m UpstreamsChanged) {
	wanted, sizes := s.subset(m.Upstreams)
	for id, u := range s.upstreams {
		w, ok := wanted[id]
		if !ok || w.Generation != u.candidate.Generation || w.Pool != u.candidate.Pool {
			s.removeUpstream(u)
		}
	}
	for id, w := range wanted {
		if u, ok := s.upstreams[id]; ok {
			u.candidate.Upstream = w
			continue
		}
		s.addUpstream(w)
	}
	for name, p := range s.pools {
		p.size = max(sizes[name], m.PoolSizes[name])
		slices.SortFunc(p.members, func(a, b *upstream) int {
			return cmp.Compare(a.candidate.ID, b.candidate.ID)
		})
	}
	s.updateSharers()
}

// renew prolongs the eligibility of upstreams.
func (s *Service) renew(m Renewed) {
	for id, until := range m.FreshUntil {
		if u, ok := s.upstreams[id]; ok {
			u.candidate.FreshUntil = until
		}
	}
}

// sharers returns the number of nodes that use each upstream of a pool.
func (s *Service) sharers(p *pool) float64 {
	used := float64(len(p.members)) / float64(max(1, p.size))
	return max(1, float64(s.nodes)*used)
}

// updateSharers passes the number of sharers on to the upstreams.
func (s *Service) updateSharers() {
	for _, p := range s.pools {
		for _, u := range p.members {
			u.setSharers(s.sharers(p))
		}
	}
}

// subset returns the upstreams that this node uses by id, and the size of each
// pool.
func (s *Service) subset(all []balance.Upstream) (map[string]balance.Upstream, map[string]int) {
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

func (s *Service) addUpstream(w balance.Upstream) {
	u := &upstream{candidate: balance.Candidate{Upstream: w}, requests: map[string]sending{}}
	s.upstreams[w.ID] = u
	p, ok := s.pools[w.Pool]
	if !ok {
		p = &pool{outliers: outlier.NewDetector()}
		s.pools[w.Pool] = p
	}
	p.members = append(p.members, u)
	p.outliers.Add(w.ID)
}

func (s *Service) removeUpstream(u *upstream) {
	id, name := u.candidate.ID, u.candidate.Pool
	delete(s.upstreams, id)
	s.prefixes.Forget(id)
	p := s.pools[name]
	p.members = slices.DeleteFunc(p.members, func(m *upstream) bool { return m == u })
	p.outliers.Remove(id)
	if len(p.members) == 0 {
		delete(s.pools, name)
	}
}
