package router

import "time"

const (
	// assumedWork is the expected service time while nothing is learned.
	assumedWork = 5 * time.Second
	// workSmoothing is the weight of a new service time in the average.
	workSmoothing = 0.05
	// prefillQuantile is the quantile of the time to the first token per byte
	// of prompt that is taken for its processing; a low one leaves out queues.
	prefillQuantile = 0.25
	// prefillStep is the relative step by which the quantile is adjusted.
	prefillStep = 0.05
)

// workEstimate is what was learned about the work of a pool's requests.
type workEstimate struct {
	// service is the mean time from Pick to Finished.
	service time.Duration
	// perByte is the low quantile of the time to the first token per byte of
	// prompt without a cached prefix, in nanoseconds.
	perByte float64
}

// finished takes the service time of a request.
func (w *workEstimate) finished(service time.Duration) {
	if w.service == 0 {
		w.service = service
		return
	}
	w.service += time.Duration(workSmoothing * float64(service-w.service))
}

// firstToken takes the time to the first token of a prompt that was not in the
// cache. The quantile moves up by small and down by large steps.
func (w *workEstimate) firstToken(after time.Duration, promptBytes int) {
	if promptBytes <= 0 || after <= 0 {
		return
	}
	sample := float64(after) / float64(promptBytes)
	switch {
	case w.perByte == 0:
		w.perByte = sample
	case sample < w.perByte:
		w.perByte *= 1 - prefillStep*(1-prefillQuantile)
	default:
		w.perByte *= 1 + prefillStep*prefillQuantile
	}
}

// work returns the expected service time of a request.
func (w *workEstimate) work() time.Duration {
	if w.service == 0 {
		return assumedWork
	}
	return w.service
}

// prefill returns the expected time to process a prompt.
func (w *workEstimate) prefill(promptBytes int) time.Duration {
	return time.Duration(w.perByte * float64(promptBytes))
}
