package engine

import (
	"sync"
	"time"
)

// loadSample is the load from a time on.
type loadSample struct {
	at      time.Time
	running int
	queued  int
}

// loadHistory remembers the load for as long as reports lag.
type loadHistory struct {
	mu      sync.Mutex
	lag     time.Duration
	samples []loadSample
}

func newLoadHistory(lag time.Duration) *loadHistory { return &loadHistory{lag: lag} }

// note records the load from now on.
func (h *loadHistory) note(now time.Time, running, queued int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.forget(now)
	h.samples = append(h.samples, loadSample{now, running, queued})
}

// at returns the load as it was a lag before now.
func (h *loadHistory) at(now time.Time) loadSample {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.forget(now)
	sample := loadSample{}
	if len(h.samples) > 0 && !h.samples[0].at.After(now.Add(-h.lag)) {
		sample = h.samples[0]
	}
	sample.at = now.Add(-h.lag)
	return sample
}

// forget drops samples that were superseded before the lag.
func (h *loadHistory) forget(now time.Time) {
	for len(h.samples) > 1 && !h.samples[1].at.After(now.Add(-h.lag)) {
		h.samples = h.samples[1:]
	}
}
