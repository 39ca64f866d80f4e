package entry

import "sync"

// trials holds the upstreams on which suspects run just now, so that no two
// suspects share one.
type trials struct {
	mu     sync.Mutex
	counts map[string]int
}

func newTrials() *trials { return &trials{counts: map[string]int{}} }

// begin notes a trial; the function that it returns ends it.
func (t *trials) begin(upstream string) (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[upstream]++
	return func() { t.end(upstream) }
}

func (t *trials) end(upstream string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[upstream]--
	if t.counts[upstream] == 0 {
		delete(t.counts, upstream)
	}
}

// upstreams lists the upstreams with a trial.
func (t *trials) upstreams() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return sortedKeys(t.counts)
}
