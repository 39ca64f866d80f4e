package router

import (
	"cmp"
	"slices"

	"github.com/tamarackcleat/tamarackcleat/balance"
	"github.com/tamarackcleat/tamarackcleat/outlier"
)

// replaceUpstreams takes the new set of eligible upstreams. What is known of an
// upstream is kept while its generation stays the same.
func (s *Service) replaceUpstreams(all []balance.Upstream) {
	wanted := s.subset(all)
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
	for _, p := range s.pools {
		slices.SortFunc(p.members, func(a, b *upstream) int {
			return cmp.Compare(a.candidate.ID, b.candidate.ID)
		})
	}
}

// subset returns the upstreams that this node uses, by id.
func (s *Service) subset(all []balance.Upstream) map[string]balance.Upstream {
	byID := map[string]balance.Upstream{}
	byPool := map[string][]string{}
	for _, u := range all {
		byID[u.ID] = u
		byPool[u.Pool] = append(byPool[u.Pool], u.ID)
	}
	wanted := map[string]balance.Upstream{}
	for _, ids := range byPool {
		for _, id := range balance.Subset(s.config.Node, ids, s.config.SubsetSize) {
			wanted[id] = byID[id]
		}
	}
	return wanted
}

func (s *Service) addUpstream(w balance.Upstream) {
	u := &upstream{candidate: balance.Candidate{Upstream: w}, requests: map[string]int{}}
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
