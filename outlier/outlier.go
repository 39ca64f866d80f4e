// Package outlier takes stragglers out of selection by comparing each
// upstream's latency with the median of its peers. When all upstreams are slow
// the median is slow too, so none is an outlier.
package outlier

import (
	"math"
	"slices"
	"time"
)

// Limits of a Detector.
const (
	// windowSize is the number of latest samples an upstream is judged by,
	// and minSamples the least number.
	windowSize = 16
	minSamples = 8
	// quantile of the window that is compared. A low one leaves out long
	// prompts and short queues, which are no fault of the upstream; a
	// straggler's best samples are slow as well.
	quantile = 0.25
	// minPeers is the number of judged upstreams that a median needs.
	minPeers = 3
	// slowFactor is the multiple of the median that an outlier exceeds.
	slowFactor = 2.0
	// deviations is the number of median absolute deviations beyond the
	// median that an outlier exceeds.
	deviations = 6.0
	// maxFailures is the number of failures in a row that ejects.
	maxFailures = 5
	// maxEjectedShare is the part of the pool that may be out at a time.
	maxEjectedShare = 0.1
	// baseEjection is the length of a first ejection; each further one
	// doubles it up to maxEjection.
	baseEjection = 30 * time.Second
	maxEjection  = 10 * time.Minute
	// forgiveAfter is the time in service that resets the doubling.
	forgiveAfter = 10 * time.Minute
)

// State is an upstream's standing.
type State int

const (
	// Healthy upstreams take requests.
	Healthy State = iota
	// Probation follows an ejection: few requests until there are samples.
	Probation
	// Ejected upstreams take no requests.
	Ejected
)

// Sample is one observation of an upstream.
type Sample struct {
	// OK is false if the upstream failed the request.
	OK bool
	// FirstToken is the time to the first token or, of a plain service, to
	// the answer; 0 if there was none.
	FirstToken time.Duration
	// PerToken is the time between tokens; 0 if unknown.
	PerToken time.Duration
}

// Detector judges the upstreams of one pool.
type Detector struct {
	members map[string]*member
	ejected int
}

// member is what is known of one upstream.
type member struct {
	perToken   window
	firstToken window
	failures   int
	ejections  int
	until      time.Time
	returned   time.Time
	ejected    bool
}

// NewDetector returns a Detector without upstreams.
func NewDetector() *Detector { return &Detector{members: map[string]*member{}} }

// Add starts to judge an upstream.
func (d *Detector) Add(id string) {
	if _, ok := d.members[id]; !ok {
		d.members[id] = &member{}
	}
}

// Remove forgets an upstream.
func (d *Detector) Remove(id string) {
	if m, ok := d.members[id]; ok && m.ejected {
		d.ejected--
	}
	delete(d.members, id)
}

// State returns an upstream's standing; unknown upstreams are Healthy.
func (d *Detector) State(id string, now time.Time) State {
	m, ok := d.members[id]
	if !ok {
		return Healthy
	}
	d.readmit(m, now)
	switch {
	case m.ejected:
		return Ejected
	case m.ejections > 0 && !m.judged():
		return Probation
	}
	return Healthy
}

// Observe takes a sample and reports whether it ejected the upstream.
func (d *Detector) Observe(id string, now time.Time, s Sample) bool {
	m, ok := d.members[id]
	if !ok {
		return false
	}
	d.readmit(m, now)
	if m.ejected {
		return false
	}
	m.take(s)
	if !d.isOutlier(m) || !d.mayEject() {
		return false
	}
	d.eject(m, now)
	return true
}

// take adds a sample to the windows. Success without a latency says nothing: its
// caller went away.
func (m *member) take(s Sample) {
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

// judged reports whether there are enough samples of one kind.
func (m *member) judged() bool { return m.perToken.low > 0 || m.firstToken.low > 0 }

// isOutlier compares m with its peers in service. The time between tokens tells
// most: the time to the first one depends on the prompt, the cache and the
// queue, so it is only compared where there are no tokens.
func (d *Detector) isOutlier(m *member) bool {
	if m.failures >= maxFailures {
		return !d.allFailing()
	}
	if m.perToken.count > 0 {
		return d.far(m, func(p *member) *window { return &p.perToken })
	}
	return d.far(m, func(p *member) *window { return &p.firstToken })
}

// allFailing reports whether at least half of the upstreams in service fail
// too, so that the cause is not this upstream.
func (d *Detector) allFailing() bool {
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

// far reports whether m's low quantile is far above the median of the latest
// samples of the upstreams in service. The latest samples are compared because
// all upstreams may just have become slow: older ones would make the first
// upstream that is known to be slow an outlier.
func (d *Detector) far(m *member, latency func(*member) *window) bool {
	own := latency(m).low
	values := make([]float64, 0, len(d.members))
	for _, p := range d.members {
		if w := latency(p); !p.ejected && w.low > 0 {
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
	return own > center+deviations*median(values)
}

// median returns the median of values and sorts them.
func median(values []float64) float64 {
	slices.Sort(values)
	mid := len(values) / 2
	if len(values)%2 == 1 {
		return values[mid]
	}
	return (values[mid-1] + values[mid]) / 2
}

// mayEject reports whether one more upstream may be out of service. A pool of
// minPeers or more may always miss one.
func (d *Detector) mayEject() bool {
	if len(d.members) < minPeers {
		return false
	}
	limit := max(1, int(maxEjectedShare*float64(len(d.members))))
	return d.ejected < limit
}

func (d *Detector) eject(m *member, now time.Time) {
	if !m.returned.IsZero() && now.Sub(m.returned) > forgiveAfter {
		m.ejections = 0
	}
	length := baseEjection
	for range m.ejections {
		length = min(2*length, maxEjection)
	}
	*m = member{ejections: m.ejections + 1, until: now.Add(length), ejected: true}
	d.ejected++
}

// readmit ends an ejection whose time is over.
func (d *Detector) readmit(m *member, now time.Time) {
	if m.ejected && !now.Before(m.until) {
		m.ejected = false
		m.returned = now
		d.ejected--
	}
}
