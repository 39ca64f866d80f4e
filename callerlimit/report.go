package callerlimit

import (
	"sync"
	"time"
)

// Observe is called at most once in reportInterval for each cause, with the number of times
// that it took effect since the last call.
type Observe func(cause string, count int64)

// reportInterval is the shortest time between two reports of one cause, so that the rate of log
// lines stays bounded under attack.
const reportInterval = time.Second

// reporter collects how often causes took effect.
type reporter struct {
	observe Observe
	mu      sync.Mutex
	counts  map[string]int64
	at      map[string]time.Time
}

func newReporter(observe Observe) *reporter {
	return &reporter{observe: observe, counts: map[string]int64{}, at: map[string]time.Time{}}
}

// add counts one effect of a cause, and reports it if the last report is old enough.
func (r *reporter) add(cause string) {
	r.mu.Lock()
	r.counts[cause]++
	r.mu.Unlock()
	r.flush(time.Now())
}

// flush reports the causes whose last report is old enough.
func (r *reporter) flush(now time.Time) {
	r.mu.Lock()
	due := map[string]int64{}
	for cause, n := range r.counts {
		if now.Sub(r.at[cause]) >= reportInterval {
			due[cause] = n
			r.at[cause] = now
			delete(r.counts, cause)
		}
	}
	r.mu.Unlock()
	for cause, n := range due {
		r.observe(cause, n)
	}
}
