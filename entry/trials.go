package entry

import "sync"

// trials counts the trials in progress on each upstream. A trial is a run of a
// request that is suspected of having crashed a replica. The counts let a trial
// avoid the upstreams that run other trials.
type trials struct {
	mu     sync.Mutex
	counts map[string]int
}

func newTrials() *trials { return &trials{counts: map[string]int{}} }

// begin counts a trial on an upstream; the function that it returns ends the
// trial.
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

// upstreams returns the upstreams that run a trial, in ascending order.
func (t *trials) upstreams() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return sortedKeys(t.counts)
}
