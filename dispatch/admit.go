package dispatch

import (
	"time"

	"github.com/tamarackcleat/tamarackcleat/fleet"
)

const (
	// lessUrgentShare times the target of a more urgent priority is the longest predicted
	// time with which a less urgent request is admitted. The rest is room for the more
	// urgent requests that arrive meanwhile.
	lessUrgentShare = 0.8
)

// admissible returns those of the candidates at which a request may run. A replica with a
// free slot takes it: one more request hardly delays the others. One without makes all that
// follow wait, so it takes the request only if its first event is predicted to be in time,
// and leaves more urgent requests in time.
func (p *poolStats) admissible(now time.Time, engine *fleet.Engine, found []candidate, r Request) []candidate {
	if r.Target <= 0 {
		return found
	}
	limit := p.limit(now, r) - r.Waited
	out := make([]candidate, 0, len(found))
	for _, c := range found {
		if c.load.InFlight < engine.Slots || c.score <= limit {
			out = append(out, c)
		}
	}
	return out
}

// limit returns the longest predicted time to the first event with which a request is
// admitted that has not waited. A target alone would admit the less urgent requests, whose
// targets are longer, to replicas that are too full for the more urgent ones.
func (p *poolStats) limit(now time.Time, r Request) time.Duration {
	limit := r.Target
	for priority, u := range p.urgencies {
		if priority < r.Priority && now.Sub(u.seenAt) <= urgencyRetention {
			limit = min(limit, time.Duration(lessUrgentShare*float64(u.target)))
		}
	}
	return limit
}
