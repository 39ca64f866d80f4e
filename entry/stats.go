package entry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"

	"github.com/tamarackcleat/tamarackcleat/api"
	"github.com/tamarackcleat/tamarackcleat/config/dynamic"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

const (
	// longestMeasured bounds measured times, in microseconds.
	longestMeasured = int64(time.Hour / time.Microsecond)
	// significantDigits is the precision of measured times.
	significantDigits = 2
)

// stats counts what becomes of requests, by reason and by class.
type stats struct {
	registry metrics.Registry

	mu      sync.Mutex
	classes map[string]*classStats
}

// classStats measures one class.
type classStats struct {
	answered, refused, within int64
	firstToken, whole         *hdrhistogram.Histogram
}

// timing is what was measured of an answered request.
type timing struct {
	firstToken time.Duration
	perToken   time.Duration
	whole      time.Duration
}

func newStats(registry metrics.Registry) *stats {
	return &stats{registry: registry, classes: map[string]*classStats{}}
}

// count increments a counter.
func (s *stats) count(name string) {
	metrics.GetOrRegisterCounter(name, s.registry).Inc(1)
}

// refused counts a refusal by its reason and verdict.
func (s *stats) refused(class string, e *verdict.Error) {
	s.count("refused." + string(e.Reason))
	s.count("refused.verdict." + string(e.Verdict))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.class(class).refused++
}

// answered measures a whole answer against its class's targets.
func (s *stats) answered(c dynamic.Class, t timing) {
	s.count("answered")
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.class(c.Name)
	m.answered++
	if withinTarget(c.Targets, t) {
		m.within++
	}
	_ = m.firstToken.RecordValue(min(longestMeasured, t.firstToken.Microseconds()))
	_ = m.whole.RecordValue(min(longestMeasured, t.whole.Microseconds()))
}

// withinTarget reports whether an answer met every target of its class.
func withinTarget(t dynamic.Targets, got timing) bool {
	return meets(t.FirstTokenWithin, got.firstToken) &&
		meets(t.BetweenTokensWithin, got.perToken) &&
		meets(t.AnsweredWithin, got.whole)
}

// meets reports whether a time is within a target; no target is always met.
func meets(target dynamic.Duration, got time.Duration) bool {
	return target == 0 || got <= time.Duration(target)
}

func (s *stats) class(name string) *classStats {
	m, ok := s.classes[name]
	if !ok {
		m = &classStats{
			firstToken: hdrhistogram.New(1, longestMeasured, significantDigits),
			whole:      hdrhistogram.New(1, longestMeasured, significantDigits),
		}
		s.classes[name] = m
	}
	return m
}

// status describes what was measured of a class.
func (s *stats) status(c dynamic.Class) api.ClassStatus {
	out := api.ClassStatus{Class: c.Name, Target: dynamic.Describe(c), TargetPercent: float64(c.Targets.For), WithinTarget: -1, Obstacles: []string{}}
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.classes[c.Name]
	if !ok {
		return out
	}
	out.Answered, out.Refused = m.answered, m.refused
	if m.answered > 0 {
		out.WithinTarget = 100 * float64(m.within) / float64(m.answered)
		out.FirstTokenMillis = quantileMillis(m.firstToken, c.Targets.For)
		out.AnswerMillis = quantileMillis(m.whole, c.Targets.For)
	}
	return out
}

// quantileMillis returns the time that a share of requests stayed within.
func quantileMillis(h *hdrhistogram.Histogram, share dynamic.Share) float64 {
	return float64(h.ValueAtQuantile(float64(share))) / 1000
}
