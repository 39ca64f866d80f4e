package router

import (
	"math"
	"time"

	"github.com/tamarackcleat/tamarackcleat/balance"
	"github.com/tamarackcleat/tamarackcleat/kernel"
)

const (
	// maxCorrections is the maximum number of corrections kept per upstream.
	// It takes effect when load reports of the upstream are missing.
	maxCorrections = 1024
	// minClockStep distinguishes a late load report from a clock that was set
	// back. A report that is older than the previous one by less than
	// minClockStep is late and is ignored. If it is older by minClockStep or
	// more, the reporting clock was set back and the report is used.
	minClockStep = 10 * time.Second
)

// upstream is one upstream with this node's estimate of its load.
type upstream struct {
	candidate balance.Candidate
	// reportedAt is the LoadAt of the last load report that was used.
	reportedAt time.Time
	// corrections holds this node's sends and finishes after reportedAt.
	corrections []correction
	// netCorrection is the sum of the corrections. It is multiplied by
	// correctionWeight before it is added to the reported load.
	netCorrection    int
	correctionWeight float64
	// requests holds the requests in flight by their ids.
	requests map[string]inFlightRequest
	// leavingSince is when the upstream's process was first heard to be leaving; zero
	// if it was not.
	leavingSince time.Time
	// pausedAt is when the upstream's process last asked for a pause; zero if it did not.
	pausedAt time.Time
}

// inFlightRequest is a request that this node sent to an upstream and that has
// not finished.
type inFlightRequest struct {
	// picks is how many Pick messages of the request have selected the upstream
	// without a Finished message since.
	picks  int
	sentAt time.Time
	class  string
	// ask is that of the latest Pick message.
	ask kernel.AskID
	// coldBytes is the size of the prompt in bytes, or 0 if the upstream was
	// known to hold a prefix of it in its cache.
	coldBytes int
}

// correction is a request that this node sent (+1) or that finished (-1) after
// the last load report.
type correction struct {
	at    time.Time
	delta int
}

// recordSend adds a request that is sent to the upstream.
func (u *upstream) recordSend(now time.Time, m Pick, coldBytes int) {
	picks := u.requests[m.RequestID].picks + 1
	u.requests[m.RequestID] = inFlightRequest{picks: picks, sentAt: now, class: m.Class, ask: m.Ask, coldBytes: coldBytes}
	u.candidate.InFlight++
	u.addCorrection(now, 1)
}

// recordFinish ends one pick of a request and returns the request as it was
// recorded. It returns false if the request was not in flight.
func (u *upstream) recordFinish(now time.Time, request string) (inFlightRequest, bool) {
	r, ok := u.requests[request]
	if !ok {
		return inFlightRequest{}, false
	}
	r.picks--
	if r.picks == 0 {
		delete(u.requests, request)
	} else {
		u.requests[request] = r
	}
	u.candidate.InFlight--
	u.addCorrection(now, -1)
	return r, true
}

// addCorrection adds a correction and updates the load. If there are
// maxCorrections already, the oldest one is added to the reported load, where it
// counts with weight 1.
func (u *upstream) addCorrection(now time.Time, change int) {
	if len(u.corrections) == maxCorrections {
		u.candidate.ReportedLoad += u.corrections[0].delta
		u.netCorrection -= u.corrections[0].delta
		u.corrections = u.corrections[1:]
	}
	u.corrections = append(u.corrections, correction{at: now, delta: change})
	u.netCorrection += change
	u.updateLoad()
}

// applyReport sets the reported load and drops the corrections up to the time of
// the report, as the reported figures include them. It ignores a late report; see
// minClockStep.
func (u *upstream) applyReport(r LoadReported) {
	back := u.reportedAt.Sub(r.LoadAt)
	if back > 0 && back < minClockStep {
		return
	}
	u.reportedAt = r.LoadAt
	u.candidate.ReportedLoad = r.Running + r.Queued
	kept := u.corrections[:0]
	u.netCorrection = 0
	for _, c := range u.corrections {
		if c.at.After(r.LoadAt) {
			kept = append(kept, c)
			u.netCorrection += c.delta
		}
	}
	u.corrections = kept
	u.updateLoad()
}

// updateLoad sets the candidate's load to the reported load plus the weighted
// corrections. The load is at least the number of this node's own requests in
// flight, even if the report is lower.
func (u *upstream) updateLoad() {
	change := int(math.Round(u.correctionWeight * float64(u.netCorrection)))
	u.candidate.Load = max(u.candidate.ReportedLoad+change, u.candidate.InFlight)
}

// setNodeCount sets the number of nodes that use the upstream, this one
// included. The other nodes see the same load reports and choose similarly, so
// this node's sends are a sample of what all nodes send. Each correction is
// weighted by the square root of the number of nodes. A larger weight would
// amplify the noise of a small sample; a smaller one would let all nodes send
// to the same upstream at once.
func (u *upstream) setNodeCount(nodes float64) {
	u.correctionWeight = math.Sqrt(nodes)
	u.updateLoad()
}
