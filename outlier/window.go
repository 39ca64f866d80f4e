package outlier

import (
	"slices"
	"time"
)

// window holds the latest samples of one latency, in nanoseconds.
type window struct {
	samples [windowSize]float64
	// count is the number of samples ever added.
	count int
	// last is the latest sample.
	last float64
	// quantile is the lowQuantile of the samples; 0 while there are fewer than
	// minSamples.
	quantile float64
}

// add adds a sample; it ignores 0, which stands for an unknown latency.
func (w *window) add(sample time.Duration) {
	if sample <= 0 {
		return
	}
	w.samples[w.count%windowSize] = float64(sample)
	w.count++
	w.last = float64(sample)
	if w.count < minSamples {
		return
	}
	sorted := w.samples
	filled := sorted[:min(w.count, windowSize)]
	slices.Sort(filled)
	w.quantile = filled[int(lowQuantile*float64(len(filled)))]
}
