package entry

import (
	"context"
	"sync"
	"time"

	"github.com/tamarackcleat/tamarackcleat/api"
	"github.com/tamarackcleat/tamarackcleat/balance"
	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/peers"
	"github.com/tamarackcleat/tamarackcleat/quarantine"
	"github.com/tamarackcleat/tamarackcleat/record"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// checkSuspect asks the quarantine service whether the request may run, and whether
// this run is a trial. A request that was in flight on a replica when the replica
// crashed is a suspect; it may run once more, and that run is called a trial.
func (g *generateTask) checkSuspect(ctx context.Context, attemptID string) (trial bool, failure *verdict.Error) {
	msg, failure := g.node.ask(ctx, quarantine.Name, func(id kernel.AskID) kernel.Message {
		return quarantine.Check{Ask: id, Fingerprint: g.fingerprint, Attempt: attemptID}
	})
	if failure != nil {
		return false, failure
	}
	switch m := msg.(type) {
	case quarantine.RunAsTrial:
		g.trace.add(api.TraceEvent{Step: "trial"})
		return true, nil
	case *verdict.Error:
		return false, m
	default:
		return false, nil
	}
}

// endTrial reports the outcome of a trial that ended without a crash to the
// quarantine service. It does nothing if the attempt was not a trial.
func (g *generateTask) endTrial(trial bool, attemptID string, outcome record.TrialOutcome) {
	if trial {
		g.node.kernel.Post(quarantine.Name, quarantine.TrialEnded{Fingerprint: g.fingerprint, Attempt: attemptID, Outcome: outcome})
	}
}

// failedAttempt describes a failed attempt.
type failedAttempt struct {
	id    string
	trial bool
	// progressed says that the attempt had delivered tokens.
	progressed bool
}

// unlikelyCause counts a crash and reports whether the request probably did not
// cause it: the attempt had delivered tokens, it was not a trial, and it is the
// first crash of a replica that the request ran on. Without this check, requests
// that ran on the same replicas as one that crashes two of them would be
// quarantined with it.
func (g *generateTask) unlikelyCause(end failedAttempt) bool {
	g.crashCount++
	return end.progressed && !end.trial && g.crashCount == 1
}

// handleFailure excludes the upstream of a failed attempt from the next attempts, unless
// the upstream announced that it takes no requests, which the router heeds,
// reports the upstream to health checking if it can't take other requests, and
// reports the request to the quarantine service if it may have crashed the
// upstream. After such a report it waits for a broadcast to the live peers. The end of a
// process that announced its leaving is no crash.
func (g *generateTask) handleFailure(ctx context.Context, u balance.Upstream, failure *verdict.Error, end failedAttempt) {
	if !notTaken(failure) {
		g.excluded = append(g.excluded, u.ID)
	}
	g.trace.add(api.TraceEvent{Step: "failed", Upstream: u.ID, Verdict: failure.Verdict, Reason: failure.Reason, Detail: failure.Detail})
	crashed := failure.Verdict != verdict.NotRun && ctx.Err() == nil && g.node.hasCrashed(u)
	if crashed && g.node.isLeaving(ctx, u.Process) {
		crashed = false
		g.trace.add(api.TraceEvent{Step: "planned_end", Upstream: u.ID, Detail: "the upstream had announced that it is leaving"})
	}
	if crashed || failure.Verdict == verdict.NotRun {
		g.node.suspectUpstream(u.ID, failure)
	}
	counts := crashed && !g.unlikelyCause(end)
	if crashed {
		g.node.logger.Warn(decisions.RequestCrashed, "request_id", g.id, "upstream", u.ID, "generation", u.Generation,
			"attempt", end.id, "trial", end.trial, "counts", counts)
	}
	if !counts {
		g.endTrial(end.trial, end.id, record.TrialNotRun)
		return
	}
	report := quarantine.Crashed{Fingerprint: g.fingerprint, Replica: u.ID, Generation: record.Position(u.Generation)}
	if end.trial {
		report.Attempt = end.id
	}
	g.node.stats.count("suspect.crash")
	_, _ = g.node.ask(ctx, quarantine.Name, func(id kernel.AskID) kernel.Message {
		report.Ask = id
		return report
	})
	g.node.broadcastHeartbeat(ctx)
}

// broadcastHeartbeat sends a heartbeat, which lists the suspects that this node
// knows, to all live peers and waits for their replies. A caller that is refused
// sends its request to another node, which may not have read about the crash in
// the log yet.
func (n *Node) broadcastHeartbeat(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, broadcastTimeout)
	defer cancel()
	var heartbeat peers.Heartbeat
	var live []peers.Peer
	n.readState(ctx, func(now time.Time) { heartbeat, live = n.Heartbeat(now), n.peers.LivePeers(now) })
	var wg sync.WaitGroup
	for _, p := range live {
		wg.Go(func() {
			// A peer that does not reply learns of the crash from the log.
			_, _ = n.peerClient.heartbeat(ctx, p.Address, heartbeat)
		})
	}
	wg.Wait()
}

// broadcastTimeout limits the wait for the peers' replies to a broadcast
// heartbeat. They take milliseconds, and the caller's response waits for them.
const broadcastTimeout = 300 * time.Millisecond
