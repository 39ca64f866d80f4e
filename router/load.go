package router

import (
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
	// change is the sum of corrections.
	change int
	// requests counts the picks in flight by request.
	requests map[string]int
}

// correction is a send (+1) or a finish (-1) after the last report.
type correction struct {
	at     time.Time
	change int
}

// sent notes a request that goes to the upstream.
func (u *upstream) sent(now time.Time, request string) {
	u.requests[request]++
	u.candidate.InFlight++
	u.correct(now, 1)
}

// finished notes the end of a request. It reports whether it was in flight.
func (u *upstream) finished(now time.Time, request string) bool {
	if u.requests[request] == 0 {
		return false
	}
	u.requests[request]--
	if u.requests[request] == 0 {
		delete(u.requests, request)
	}
	u.candidate.InFlight--
	u.correct(now, -1)
	return true
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
	u.candidate.Load = max(u.candidate.Reported+u.change, u.candidate.InFlight)
}
