package retry

import "time"

const (
	// windowBuckets is the number of buckets of equal length into which a window
	// is divided for counting.
	windowBuckets = 20
	// trackedBuckets is the number of buckets that are kept. It includes the one
	// that is only partly within the window, so that no retry within the window
	// is missed.
	trackedBuckets = windowBuckets + 1
)

// WindowConfig configures a Window.
type WindowConfig struct {
	// Length is the length of the window.
	Length time.Duration
	// Ratio is the number of retries that each request in the window allows.
	Ratio float64
	// Slack is the number of retries in the window that are allowed without any
	// request.
	Slack float64
}

// Window bounds the number of retries within any sliding window of time by the number
// of requests in it. Unlike a Budget, it lets a burst use at once all retries that the
// whole window allows. It is not safe for concurrent use.
type Window struct {
	config WindowConfig
	// requests and retries hold the counts of the tracked buckets. A bucket is at
	// the index of its number modulo trackedBuckets.
	requests [trackedBuckets]int
	retries  [trackedBuckets]int
	// bucket is the number of the newest bucket, counted from the Unix epoch.
	bucket int64
}

// NewWindow returns an empty Window.
func NewWindow(c WindowConfig) *Window { return &Window{config: c} }

// Configure replaces the ratio and the slack. The length stays as it is.
func (w *Window) Configure(ratio, slack float64) { w.config.Ratio, w.config.Slack = ratio, slack }

// Requested counts a request.
func (w *Window) RecordRequest(now time.Time) {
	w.advance(now)
	w.requests[w.bucket%trackedBuckets]++
}

// Spend counts a retry if the window allows one more, and reports whether it does.
func (w *Window) Spend(now time.Time) bool {
	w.advance(now)
	requests, retries := 0, 0
	oldest := (w.bucket + 1) % trackedBuckets
	for i := range int64(trackedBuckets) {
		retries += w.retries[i]
		if i != oldest {
			requests += w.requests[i]
		}
	}
	if float64(retries+1) > w.config.Ratio*float64(requests)+w.config.Slack {
		return false
	}
	w.retries[w.bucket%trackedBuckets]++
	return true
}

// advance makes the bucket of a time the newest one and clears the buckets between.
// After a clock goes back, counts go to the newest bucket so far.
func (w *Window) advance(now time.Time) {
	bucket := now.UnixNano() / int64(w.config.Length/windowBuckets)
	w.bucket = max(w.bucket, bucket-trackedBuckets)
	for w.bucket < bucket {
		w.bucket++
		w.requests[w.bucket%trackedBuckets], w.retries[w.bucket%trackedBuckets] = 0, 0
	}
}
