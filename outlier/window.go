package outlier

import (
	"slices"
	"time"
)

// window holds the latest samples of one latency.
type window struct {
	samples [windowSize]float64
	count   int
	// last is the latest sample.
	last float64
	// low is the lower quantile of the samples; 0 while there are few.
	low float64
}

// add takes a sample; one of 0 is none.
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
	w.low = filled[int(quantile*float64(len(filled)))]
}
