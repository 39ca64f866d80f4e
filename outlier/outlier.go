// Package outlier detects upstreams that are much slower than their peers or that
// fail, and ejects them from selection for a time. Latencies are compared with the
// median of the pool: when all upstreams are slow the median is high too, so none is
// an outlier.
package outlier

import (
	"math"
	"slices"
	"time"
)

// Limits of a Detector.
const (
	// windowSize is the number of latest samples by which an upstream is judged,
	// and minSamples the number below which it is not judged.
	windowSize = 16
	minSamples = 8
	// lowQuantile is the quantile of an upstream's latest samples that is compared
	// with the pool's median. A low quantile leaves out the effect of long prompts
	// and brief queueing, which are no fault of the upstream; a straggler's best
	// samples are slow as well.
	lowQuantile = 0.25
	// minPeers is the minimum number of upstreams with enough samples for a
	// comparison with the median, and the minimum size of a pool for an
	// ejection.
	minPeers = 3
	// slowFactor is the multiple of the median latency that an outlier exceeds.
	slowFactor = 2.0
	// maxDeviations is the number of median absolute deviations above the
	// median latency that an outlier exceeds.
	maxDeviations = 6.0
	// maxFailures is the number of consecutive failures from which an upstream
	// is an outlier.
	maxFailures = 5
	// maxEjectedShare is the largest fraction of a pool's upstreams that may be
	// ejected at a time.
	maxEjectedShare = 0.1
	// baseEjection is the duration of an upstream's first ejection; each further
	// ejection doubles it, up to maxEjection.
	baseEjection = 30 * time.Second
	maxEjection  = 10 * time.Minute
	// resetAfter is the time in service after which the next ejection lasts
	// baseEjection again.
	resetAfter = 10 * time.Minute
)

// State says whether an upstream may take requests.
type State int

const (
	// Healthy upstreams take requests.
	Healthy State = iota
	// Probation upstreams have returned from an ejection and take few requests
	// until there are enough samples.
	Probation
	// Ejected upstreams take no requests.
	Ejected
)

// Sample is the result of one request to an upstream.
type Sample struct {
	// OK is false if the upstream failed the request.
	OK bool
	// FirstToken is the time to the first token, or to the answer of a plain
	// service; 0 if there was none.
	FirstToken time.Duration
	// PerToken is the time between two tokens; 0 if unknown.
	PerToken time.Duration
}

// Detector detects the outliers among the upstreams of one pool.
type Detector struct {
	members map[string]*member
	// ejected is the number of ejected members.
	ejected int
}

// member is what the Detector knows about one upstream.
type member struct {
	perToken   window
	firstToken window
	// failures is the number of consecutive failures.
	failures int
	// ejections counts the ejections that lengthen the next one.
	ejections    int
	ejectedUntil time.Time
	readmittedAt time.Time
	ejected      bool
}

// NewDetector returns a Detector without upstreams.
func NewDetector() *Detector { return &Detector{members: map[string]*member{}} }

// Add adds an upstream unless it is known.
func (d *Detector) Add(id string) {
	if _, ok := d.members[id]; !ok {
		d.members[id] = &member{}
	}
}

// Remove removes an upstream with its samples.
func (d *Detector) Remove(id string) {
	if m, ok := d.members[id]; ok && m.ejected {
		d.ejected--
	}
	delete(d.members, id)
}

// State returns the state of an upstream at the time now; unknown upstreams are
// Healthy.
func (d *Detector) State(id string, now time.Time) State {
	m, ok := d.members[id]
	if !ok {
		return Healthy
	}
	d.readmit(m, now)
	switch {
	case m.ejected:
		return Ejected
	case m.ejections > 0 && !m.hasQuantile():
		return Probation
	}
	return Healthy
}

// Observe adds a sample of an upstream and reports whether that ejected the upstream.
func (d *Detector) Observe(id string, now time.Time, s Sample) bool {
	m, ok := d.members[id]
	if !ok {
		return false
	}
	d.readmit(m, now)
	if m.ejected {
		return false
	}
	m.addSample(s)
	if !d.isOutlier(m) || !d.mayEject() {
		return false
	}
	d.eject(m, now)
	return true
}

// addSample adds a sample to the windows. It ignores a success without a latency:
// the caller canceled the request before there was one.
func (m *member) addSample(s Sample) {
	if !s.OK {
		m.failures++
		return
	}
	if s.PerToken+s.FirstToken <= 0 {
		return
	}
	m.failures = 0
	m.perToken.add(s.PerToken)
	m.firstToken.add(s.FirstToken)
}

// hasQuantile reports whether there are enough samples of one of the latencies.
func (m *member) hasQuantile() bool { return m.perToken.quantile > 0 || m.firstToken.quantile > 0 }

// isOutlier reports whether m fails, or is slow, compared with its peers in service.
// It compares the time between tokens. The time to the first token also depends on
// the prompt, the cache and the queue, so it is compared only if the time between
// tokens is unknown.
func (d *Detector) isOutlier(m *member) bool {
	if m.failures >= maxFailures {
		return !d.poolFailing()
	}
	if m.perToken.count > 0 {
		return d.slowerThanPeers(m, func(p *member) *window { return &p.perToken })
	}
	return d.slowerThanPeers(m, func(p *member) *window { return &p.firstToken })
}

// poolFailing reports whether at least half of the upstreams in service have failed
// a request since their last success. The cause is then unlikely to be a single
// upstream.
func (d *Detector) poolFailing() bool {
	failing, serving := 0, 0
	for _, p := range d.members {
		if p.ejected {
			continue
		}
		serving++
		if p.failures > 0 {
			failing++
		}
	}
	return 2*failing >= serving
}

// slowerThanPeers reports whether the low quantile of m's latency is far above the
// median of the latest samples of the upstreams in service. The latest samples are
// used because all upstreams may just have become slow: with older samples, the
// first upstream whose low quantile rises would be taken for an outlier.
func (d *Detector) slowerThanPeers(m *member, latency func(*member) *window) bool {
	own := latency(m).quantile
	values := make([]float64, 0, len(d.members))
	for _, p := range d.members {
		if w := latency(p); !p.ejected && w.quantile > 0 {
			values = append(values, w.last)
		}
	}
	if own == 0 || len(values) < minPeers {
		return false
	}
	center := median(values)
	if own <= slowFactor*center {
		return false
	}
	for i, v := range values {
		values[i] = math.Abs(v - center)
	}
	return own > center+maxDeviations*median(values)
}

// median returns the median of values, which must not be empty. It sorts values.
func median(values []float64) float64 {
	slices.Sort(values)
	mid := len(values) / 2
	if len(values)%2 == 1 {
		return values[mid]
	}
	return (values[mid-1] + values[mid]) / 2
}

// mayEject reports whether one more upstream may be ejected. In a pool of minPeers or
// more upstreams, one may always be ejected.
func (d *Detector) mayEject() bool {
	if len(d.members) < minPeers {
		return false
	}
	limit := max(1, int(maxEjectedShare*float64(len(d.members))))
	return d.ejected < limit
}

// eject ejects m and discards its samples.
func (d *Detector) eject(m *member, now time.Time) {
	if !m.readmittedAt.IsZero() && now.Sub(m.readmittedAt) > resetAfter {
		m.ejections = 0
	}
	length := baseEjection
	for range m.ejections {
		length = min(2*length, maxEjection)
	}
	*m = member{ejections: m.ejections + 1, ejectedUntil: now.Add(length), ejected: true}
	d.ejected++
}

// readmit ends the ejection of m if its duration has passed.
func (d *Detector) readmit(m *member, now time.Time) {
	if m.ejected && !now.Before(m.ejectedUntil) {
		m.ejected = false
		m.readmittedAt = now
		d.ejected--
	}
}
