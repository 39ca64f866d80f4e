package retry

import "time"

const (
	// windowParts is the number of parts in which a window is counted.
	windowParts = 20
	// countedParts includes the part that the window has half left, so that
	// no retry within the window is forgotten.
	countedParts = windowParts + 1
)

// WindowConfig configures a Window.
type WindowConfig struct {
	// Length is the length of the window.
	Length time.Duration
	// Ratio is the number of retries that one request of the window allows.
	Ratio float64
	// Slack is the number of retries that need no request.
	Slack float64
}

// Window bounds the retries in any window of time by the requests in it. Unlike
// a Budget it lets a burst use at once what a whole window allows. It is used
// from one goroutine.
type Window struct {
	config   WindowConfig
	requests [countedParts]int
	retries  [countedParts]int
	// part is the number of the newest part since the zero time.
	part int64
}

// NewWindow returns an empty Window.
func NewWindow(c WindowConfig) *Window { return &Window{config: c} }

// Configure replaces the bounds; the length stays.
func (w *Window) Configure(ratio, slack float64) { w.config.Ratio, w.config.Slack = ratio, slack }

// Requested counts a request.
func (w *Window) Requested(now time.Time) {
	w.advance(now)
	w.requests[w.part%countedParts]++
}

// Spend takes one retry. It reports false if the window allows no more.
func (w *Window) Spend(now time.Time) bool {
	w.advance(now)
	requests, retries := 0, 0
	oldest := (w.part + 1) % countedParts
	for i := range int64(countedParts) {
		retries += w.retries[i]
		if i != oldest {
			requests += w.requests[i]
		}
	}
	if float64(retries+1) > w.config.Ratio*float64(requests)+w.config.Slack {
		return false
	}
	w.retries[w.part%countedParts]++
	return true
}

// advance clears the parts that time has passed over.
func (w *Window) advance(now time.Time) {
	part := now.UnixNano() / int64(w.config.Length/windowParts)
	w.part = max(w.part, part-countedParts)
	for w.part < part {
		w.part++
		w.requests[w.part%countedParts], w.retries[w.part%countedParts] = 0, 0
	}
}
