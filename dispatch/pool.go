package dispatch

import (
	"time"

	"github.com/tamarackcleat/tamarackcleat/fleet"
)

// pool names the targets that can take the same requests: those of a service, or of a
// model.
type pool struct{ service, model string }

const (
	// sampleWeight is the weight of a new sample in the moving averages of a pool.
	sampleWeight = 0.05
	// errorStep is by how much a sample moves the typical error of the predictions. All
	// samples weigh the same, so the error is a median: first events that a stall or a crash
	// held up say little of the next ones.
	errorStep = 5 * time.Millisecond
	// maxDurationFactor times the mean duration is the longest sample of it, for the same
	// reason.
	maxDurationFactor = 3
	// urgencyRetention is how long a priority counts as in use after its last request.
	urgencyRetention = 5 * time.Second
)

// poolStats is what this node has observed of the requests of a pool.
type poolStats struct {
	// duration and promptTokens are moving averages over ended requests.
	duration, promptTokens float64
	ended                  bool
	// error is the median of how much later than predicted first events came.
	error time.Duration
	// urgencies holds the priorities in use, with the least target of each.
	urgencies map[int]urgency
}

// urgency is what is known of the requests of a priority.
type urgency struct {
	target time.Duration
	seenAt time.Time
}

// knownPool returns what was observed of a target's pool; empty statistics that are not kept
// if nothing was.
func (b *Balancer) knownPool(t fleet.Target) *poolStats {
	if p, ok := b.pools[pool{t.Service, t.Model}]; ok {
		return p
	}
	return &poolStats{}
}

// poolOf returns the statistics of a target's pool, and creates them if there are none.
func (b *Balancer) poolOf(t fleet.Target) *poolStats {
	key := pool{t.Service, t.Model}
	p, ok := b.pools[key]
	if !ok {
		p = &poolStats{urgencies: map[int]urgency{}}
		b.pools[key] = p
	}
	return p
}

// average returns a moving average with a new sample; the first sample is the average.
func average(mean, sample float64, known bool) float64 {
	if !known {
		return sample
	}
	return mean + sampleWeight*(sample-mean)
}

// recordArrival records the priority and the target of a request.
func (p *poolStats) recordArrival(now time.Time, r Request) {
	if r.Target <= 0 {
		return
	}
	u, ok := p.urgencies[r.Priority]
	if !ok || now.Sub(u.seenAt) > urgencyRetention {
		u.target = r.Target
	}
	p.urgencies[r.Priority] = urgency{target: min(u.target, r.Target), seenAt: now}
}

// recordFirstEvent records how late a first event came, compared with the prediction.
func (p *poolStats) recordFirstEvent(now time.Time, a *Assignment) {
	if a.uncorrected <= 0 {
		return
	}
	if now.Sub(a.assignedAt) > a.uncorrected+p.error {
		p.error += errorStep
	} else {
		p.error -= errorStep
	}
}

// recordEnd records the end of a request.
func (p *poolStats) recordEnd(now time.Time, a *Assignment) {
	duration := float64(now.Sub(a.assignedAt))
	if p.ended {
		duration = min(duration, maxDurationFactor*p.duration)
	}
	p.duration = average(p.duration, duration, p.ended)
	p.promptTokens = average(p.promptTokens, float64(a.promptTokens), p.ended)
	p.ended = true
}

// typical returns the load that a request adds on average.
func (p *poolStats) typical() Load {
	return Load{InFlight: 1, PendingPromptTokens: int(p.promptTokens)}
}
