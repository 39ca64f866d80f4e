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
	// maxMeasuredMicros is the longest recorded time in microseconds; longer times
	// are recorded as this one.
	maxMeasuredMicros = int64(time.Hour / time.Microsecond)
	// significantDigits is the number of significant digits of recorded times.
	significantDigits = 2
)

// stats counts answered requests by class and failed ones by class, reason and
// verdict, and records answer times.
type stats struct {
	registry metrics.Registry

	mu      sync.Mutex
	classes map[string]*classStats
}

// classStats holds the counts and times of one class.
type classStats struct {
	answered, refused, withinTarget int64
	firstToken, answerTime          *hdrhistogram.Histogram
}

// answerTiming holds the measured times of an answered request.
type answerTiming struct {
	firstToken time.Duration
	perToken   time.Duration
	total      time.Duration
}

func newStats(registry metrics.Registry) *stats {
	return &stats{registry: registry, classes: map[string]*classStats{}}
}

// count increments a counter.
func (s *stats) count(name string) {
	metrics.GetOrRegisterCounter(name, s.registry).Inc(1)
}

// countRefused counts a failed request by its class, reason and verdict.
func (s *stats) countRefused(class string, e *verdict.Error) {
	s.count("refused." + string(e.Reason))
	s.count("refused.verdict." + string(e.Verdict))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.class(class).refused++
}

// recordAnswered counts a complete answer, records its times and compares them
// with the targets of its class.
func (s *stats) recordAnswered(c dynamic.Class, t answerTiming) {
	s.count("answered")
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.class(c.Name)
	m.answered++
	if withinTarget(c.Targets, t) {
		m.withinTarget++
	}
	_ = m.firstToken.RecordValue(min(maxMeasuredMicros, t.firstToken.Microseconds()))
	_ = m.answerTime.RecordValue(min(maxMeasuredMicros, t.total.Microseconds()))
}

// withinTarget reports whether an answer met every target of its class.
func withinTarget(t dynamic.Targets, got answerTiming) bool {
	return meets(t.FirstTokenWithin, got.firstToken) &&
		meets(t.BetweenTokensWithin, got.perToken) &&
		meets(t.AnsweredWithin, got.total)
}

// meets reports whether a time is within a target; a target of 0 is always met.
func meets(target dynamic.Duration, got time.Duration) bool {
	return target == 0 || got <= time.Duration(target)
}

// class returns the statistics of a class, which it creates at the first use. The
// caller holds s.mu.
func (s *stats) class(name string) *classStats {
	m, ok := s.classes[name]
	if !ok {
		m = &classStats{
			firstToken: hdrhistogram.New(1, maxMeasuredMicros, significantDigits),
			answerTime: hdrhistogram.New(1, maxMeasuredMicros, significantDigits),
		}
		s.classes[name] = m
	}
	return m
}

// status returns a class's targets, counts and measured times. It doesn't fill in
// the obstacles.
func (s *stats) status(c dynamic.Class) api.ClassStatus {
	out := api.ClassStatus{Class: c.Name, Target: dynamic.DescribeTargets(c), TargetPercent: float64(c.Targets.RequestShare), WithinTargetPercent: -1, Obstacles: []string{}}
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.classes[c.Name]
	if !ok {
		return out
	}
	out.Answered, out.Refused = m.answered, m.refused
	if m.answered > 0 {
		out.WithinTargetPercent = 100 * float64(m.withinTarget) / float64(m.answered)
		out.FirstTokenMillis = quantileMillis(m.firstToken, c.Targets.RequestShare)
		out.AnswerMillis = quantileMillis(m.answerTime, c.Targets.RequestShare)
	}
	return out
}

// quantileMillis returns the time in milliseconds within which the given share of
// requests stayed.
func quantileMillis(h *hdrhistogram.Histogram, share dynamic.Share) float64 {
	return float64(h.ValueAtQuantile(float64(share))) / 1000
}
