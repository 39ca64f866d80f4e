package router

import (
	"math"
	"time"

	"github.com/tamarackcleat/tamarackcleat/balance"
)

const (
	// maxCorrections bounds the sends and finishes kept of one upstream
	// while its reports are missing.
	maxCorrections = 1024
	// clockStepBack is how far a report may lie before the last one until it
	// counts as a clock that was set back instead of a late report.
	clockStepBack = 10 * time.Second
)

// upstream is one upstream with the node's own view of its load.
type upstream struct {
	candidate balance.Candidate
	reportAt  time.Time
	// corrections holds the node's sends and finishes since reportAt.
	corrections []correction
	// change is the sum of corrections, and weight what each counts.
	change int
	weight float64
	// requests holds the picks in flight by request.
	requests map[string]sending
}

// sending is a request in flight on an upstream.
type sending struct {
	// picks counts the times that the request was picked for the upstream.
	picks int
	at    time.Time
	class string
	// coldBytes is the size of the prompt if no prefix of it was cached.
	coldBytes int
}

// correction is a send (+1) or a finish (-1) after the last report.
type correction struct {
	at     time.Time
	change int
}

// sent notes a request that goes to the upstream.
func (u *upstream) sent(now time.Time, request, class string, coldBytes int) {
	picks := u.requests[request].picks + 1
	u.requests[request] = sending{picks: picks, at: now, class: class, coldBytes: coldBytes}
	u.candidate.InFlight++
	u.correct(now, 1)
}

// finished notes the end of a request and returns what was sent. It reports
// whether the request was in flight.
func (u *upstream) finished(now time.Time, request string) (sending, bool) {
	r, ok := u.requests[request]
	if !ok {
		return sending{}, false
	}
	r.picks--
	if r.picks == 0 {
		delete(u.requests, request)
	} else {
		u.requests[request] = r
	}
	u.candidate.InFlight--
	u.correct(now, -1)
	return r, true
}

func (u *upstream) correct(now time.Time, change int) {
	if len(u.corrections) == maxCorrections {
		u.candidate.Reported += u.corrections[0].change
		u.change -= u.corrections[0].change
		u.corrections = u.corrections[1:]
	}
	u.corrections = append(u.corrections, correction{at: now, change: change})
	u.change += change
	u.estimate()
}

// reported takes a load report and drops the corrections that it includes.
func (u *upstream) reported(r LoadReported) {
	back := u.reportAt.Sub(r.LoadAt)
	if back > 0 && back < clockStepBack {
		return
	}
	u.reportAt = r.LoadAt
	u.candidate.Reported = r.Running + r.Queued
	kept := u.corrections[:0]
	u.change = 0
	for _, c := range u.corrections {
		if c.at.After(r.LoadAt) {
			kept = append(kept, c)
			u.change += c.change
		}
	}
	u.corrections = kept
	u.estimate()
}

// estimate sets the corrected load. The upstream runs at least the node's own
// requests, whatever the report says.
func (u *upstream) estimate() {
	change := int(math.Round(u.weight * float64(u.change)))
	u.candidate.Load = max(u.candidate.Reported+change, u.candidate.InFlight)
}

// setSharers takes the number of nodes that use the upstream. The others see
// the same reports and send to the same upstreams, so this node's sends stand
// for theirs too. They are a small sample, so they count by the square root: a
// larger weight would follow the noise, a smaller one the herd.
func (u *upstream) setSharers(sharers float64) {
	u.weight = math.Sqrt(sharers)
	u.estimate()
}
