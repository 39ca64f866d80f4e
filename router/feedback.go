package router

import (
	"time"

	"github.com/tamarackcleat/tamarackcleat/outlier"
)

// handleProgressed updates the class's work estimate and the outlier detection
// with the latencies of a request in flight.
func (s *Service) handleProgressed(now time.Time, m Progressed) {
	u, ok := s.upstreams[m.Upstream]
	if !ok {
		return
	}
	r, ok := u.requests[m.RequestID]
	if !ok {
		return
	}
	s.estimateFor(r.class).observeFirstToken(m.FirstToken, r.coldBytes)
	s.observeSample(now, u, outlier.Sample{OK: true, FirstToken: m.FirstToken, PerToken: m.PerToken})
}

// handleFinished ends a request in flight and passes its result on to the outlier
// detection. It updates the work estimate of the request's class only if the
// request succeeded and has a latency: a request that was canceled before its
// first token has none.
func (s *Service) handleFinished(now time.Time, m Finished) {
	u, ok := s.upstreams[m.Upstream]
	if !ok {
		return
	}
	r, ok := u.recordFinish(now, m.RequestID)
	if !ok || m.NotTaken {
		return
	}
	if m.OK && m.FirstToken+m.PerToken > 0 {
		estimate := s.estimateFor(r.class)
		estimate.observeFirstToken(m.FirstToken, r.coldBytes)
		estimate.observeServiceTime(now.Sub(r.sentAt))
	}
	s.observeSample(now, u, outlier.Sample{OK: m.OK, FirstToken: m.FirstToken, PerToken: m.PerToken})
}

// observeSample passes a sample on to the outlier detector of the upstream's
// pool and counts an ejection that follows from it.
func (s *Service) observeSample(now time.Time, u *upstream, sample outlier.Sample) {
	if s.config.DisableEjection {
		return
	}
	if s.pools[u.candidate.Pool].outliers.Observe(u.candidate.ID, now, sample) {
		s.count("ejected")
	}
}

// applyCacheEvents updates the index of prefixes in the upstream's cache and
// counts gaps in the sequence of cache events.
func (s *Service) applyCacheEvents(m CacheEvents) {
	if _, ok := s.upstreams[m.ID]; !ok {
		return
	}
	if s.prefixes.Apply(m.ID, m.Boot, m.Events) {
		s.count("cache_event_gap")
	}
}
