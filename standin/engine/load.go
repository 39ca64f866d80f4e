package engine

import (
	"sync"
	"time"
)

// loadSample is the number of running and queued requests from a time on.
type loadSample struct {
	at      time.Time
	running int
	queued  int
}

// loadHistory keeps the samples of the load that are needed to report the load as it
// was lag ago.
type loadHistory struct {
	mu      sync.Mutex
	lag     time.Duration
	samples []loadSample
}

func newLoadHistory(lag time.Duration) *loadHistory { return &loadHistory{lag: lag} }

// record adds a sample of the load from now on.
func (h *loadHistory) record(now time.Time, running, queued int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.prune(now)
	h.samples = append(h.samples, loadSample{now, running, queued})
}

// lagged returns the load as it was h.lag before now.
func (h *loadHistory) lagged(now time.Time) loadSample {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.prune(now)
	sample := loadSample{}
	if len(h.samples) > 0 && !h.samples[0].at.After(now.Add(-h.lag)) {
		sample = h.samples[0]
	}
	sample.at = now.Add(-h.lag)
	return sample
}

// prune drops the samples that are no longer needed: those before the latest sample
// that is at least h.lag old.
func (h *loadHistory) prune(now time.Time) {
	for len(h.samples) > 1 && !h.samples[1].at.After(now.Add(-h.lag)) {
		h.samples = h.samples[1:]
	}
}
