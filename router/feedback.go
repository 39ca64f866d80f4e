package router

import (
	"time"

	"github.com/tamarackcleat/tamarackcleat/outlier"
)

// progressed learns from a request in flight.
func (s *Service) progressed(now time.Time, m Progressed) {
	u, ok := s.upstreams[m.Upstream]
	if !ok {
		return
	}
	r, ok := u.requests[m.RequestID]
	if !ok {
		return
	}
	s.work(r.class).firstToken(m.FirstToken, r.coldBytes)
	s.observe(now, u, outlier.Sample{OK: true, FirstToken: m.FirstToken, PerToken: m.PerToken})
}

// finished ends a request and learns from it, unless it was canceled before there
// was anything to learn.
func (s *Service) finished(now time.Time, m Finished) {
	u, ok := s.upstreams[m.Upstream]
	if !ok {
		return
	}
	r, ok := u.finished(now, m.RequestID)
	if !ok {
		return
	}
	if m.OK && m.FirstToken+m.PerToken > 0 {
		work := s.work(r.class)
		work.firstToken(m.FirstToken, r.coldBytes)
		work.finished(now.Sub(r.at))
	}
	s.observe(now, u, outlier.Sample{OK: m.OK, FirstToken: m.FirstToken, PerToken: m.PerToken})
}

// observe passes a sample on to the pool's judgement of stragglers.
func (s *Service) observe(now time.Time, u *upstream, sample outlier.Sample) {
	if s.config.KeepStragglers {
		return
	}
	if s.pools[u.candidate.Pool].outliers.Observe(u.candidate.ID, now, sample) {
		s.count("ejected")
	}
}

// cacheEvents updates what is known about the upstream's cache.
func (s *Service) cacheEvents(m CacheEvents) {
	if _, ok := s.upstreams[m.ID]; !ok {
		return
	}
	if s.prefixes.Apply(m.ID, m.Boot, m.Events) {
		s.count("cache_event_gap")
	}
}
