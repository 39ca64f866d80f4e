package router

import "time"

const (
	// defaultServiceTime is the expected service time of a class before any
	// of its requests has finished.
	defaultServiceTime = 5 * time.Second
	// serviceTimeSmoothing is the weight of a new sample in the exponential
	// moving average of service times.
	serviceTimeSmoothing = 0.05
	// prefillQuantile is the quantile of the time to the first token per byte
	// of prompt that is used as the prefill time. A low quantile leaves out
	// the time that requests wait in the upstream's queue.
	prefillQuantile = 0.25
	// prefillStep is the relative step size of the running quantile.
	prefillStep = 0.05
)

// workEstimate estimates the service time and prefill time of a class's requests.
type workEstimate struct {
	// meanServiceTime is the moving average of the time from Pick to
	// Finished; 0 without a sample.
	meanServiceTime time.Duration
	// prefillNanosPerByte is the running prefillQuantile of the time to the
	// first token per byte of prompt, over prompts without a cached prefix,
	// in nanoseconds; 0 without a sample.
	prefillNanosPerByte float64
}

// observeServiceTime updates the mean service time with that of a request.
func (w *workEstimate) observeServiceTime(service time.Duration) {
	if w.meanServiceTime == 0 {
		w.meanServiceTime = service
		return
	}
	w.meanServiceTime += time.Duration(serviceTimeSmoothing * float64(service-w.meanServiceTime))
}

// observeFirstToken updates the running quantile with the time to the first token
// of a prompt without a cached prefix. The estimate moves up by small steps and
// down by large ones, so that it settles at prefillQuantile.
func (w *workEstimate) observeFirstToken(after time.Duration, promptBytes int) {
	if promptBytes <= 0 || after <= 0 {
		return
	}
	sample := float64(after) / float64(promptBytes)
	switch {
	case w.prefillNanosPerByte == 0:
		w.prefillNanosPerByte = sample
	case sample < w.prefillNanosPerByte:
		w.prefillNanosPerByte *= 1 - prefillStep*(1-prefillQuantile)
	default:
		w.prefillNanosPerByte *= 1 + prefillStep*prefillQuantile
	}
}

// expectedServiceTime returns the expected service time of a request.
func (w *workEstimate) expectedServiceTime() time.Duration {
	if w.meanServiceTime == 0 {
		return defaultServiceTime
	}
	return w.meanServiceTime
}

// expectedPrefill returns the expected time to process a prompt without a cached
// prefix.
func (w *workEstimate) expectedPrefill(promptBytes int) time.Duration {
	return time.Duration(w.prefillNanosPerByte * float64(promptBytes))
}
