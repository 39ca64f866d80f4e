package admission

import "time"

// nextExpiry returns when the next waiting request of the pool expires; ok is
// false if none waits. Only the head of each team's queue is looked at. A request
// behind the head may expire a little earlier if its class has less tolerance; it
// is refused when the head expires or leaves the queue.
func (p *pool) nextExpiry() (first time.Time, ok bool) {
	for _, t := range p.teams {
		for _, q := range t.waiting {
			if len(q) == 0 {
				continue
			}
			if at := q[0].expiresAt(); !ok || at.Before(first) {
				first, ok = at, true
			}
		}
	}
	return first, ok
}

// expired returns a request at the head of a queue that has expired, nil if there
// is none.
func (p *pool) expired(now time.Time) *request {
	for _, t := range p.teams {
		for _, q := range t.waiting {
			if len(q) > 0 && !q[0].expiresAt().After(now) {
				return q[0]
			}
		}
	}
	return nil
}
