package admission

import "time"

// firstTooLate returns when a waiting request of the pool is too late first.
// Heads of the queues stand for their queues: a request behind one may be too
// late a little earlier, and is then refused at the head's time.
func (p *pool) firstTooLate() (first time.Time, ok bool) {
	for _, t := range p.teams {
		for _, q := range t.waiting {
			if len(q) == 0 {
				continue
			}
			if at := q[0].tooLate(); !ok || at.Before(first) {
				first, ok = at, true
			}
		}
	}
	return first, ok
}

// expired returns a waiting request that is too late, nil if there is none.
func (p *pool) expired(now time.Time) *request {
	for _, t := range p.teams {
		for _, q := range t.waiting {
			if len(q) > 0 && !q[0].tooLate().After(now) {
				return q[0]
			}
		}
	}
	return nil
}
