package entry

import (
	"context"
	"sync"
	"time"

	"github.com/tamarackcleat/tamarackcleat/api"
	"github.com/tamarackcleat/tamarackcleat/balance"
	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/peers"
	"github.com/tamarackcleat/tamarackcleat/quarantine"
	"github.com/tamarackcleat/tamarackcleat/record"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// checkSuspect asks quarantine whether the request may run.
func (g *generation) checkSuspect(ctx context.Context, attemptID string) (trial bool, failure *verdict.Error) {
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

// endTrial tells quarantine how a trial ended without a crash.
func (g *generation) endTrial(trial bool, attemptID string, outcome record.TrialOutcome) {
	if trial {
		g.node.kernel.Post(quarantine.Name, quarantine.TrialEnded{Fingerprint: g.fingerprint, Attempt: attemptID, Outcome: outcome})
	}
}

// attemptEnd describes a failed attempt.
type attemptEnd struct {
	id    string
	trial bool
	// progressed says that the attempt had brought tokens.
	progressed bool
}

// bystander reports whether the request was probably not the one that crashed
// its replica: it had brought tokens, it was not on trial, and it is its first
// crash. Without this, the streams beside a request that crashes two replicas
// would be quarantined with it.
func (g *generation) bystander(end attemptEnd) bool {
	g.crashes++
	return end.progressed && !end.trial && g.crashes == 1
}

// afterFailure learns from a failed attempt: the upstream is left out of the
// next one, and a crash makes the request a suspect.
func (g *generation) afterFailure(ctx context.Context, u balance.Upstream, failure *verdict.Error, end attemptEnd) {
	g.exclude = append(g.exclude, u.ID)
	g.trace.add(api.TraceEvent{Step: "failed", Upstream: u.ID, Verdict: failure.Verdict, Reason: failure.Reason, Detail: failure.Detail})
	crashed := failure.Verdict != verdict.NotRun && ctx.Err() == nil && g.node.hasCrashed(u)
	if crashed || failure.Verdict == verdict.NotRun {
		g.node.suspectUpstream(u.ID, failure)
	}
	if !crashed || g.bystander(end) {
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
	g.node.tellPeers(ctx)
}

// tellPeers sends heartbeats to all live peers and waits for their answers. A
// caller that is refused sends its request to another node, which may not have
// read of the crash in the log yet.
func (n *Node) tellPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	var beat peers.Heartbeat
	var live []peers.Peer
	n.read(ctx, func(now time.Time) { beat, live = n.Heartbeat(now), n.peers.LivePeers(now) })
	var wg sync.WaitGroup
	for _, p := range live {
		wg.Go(func() {
			// A peer that does not answer reads of the crash in the log.
			_, _ = n.peerClient.heartbeat(ctx, p.Address, beat)
		})
	}
	wg.Wait()
}

// tellTimeout bounds the wait for peers' answers; they take milliseconds, and the
// refusal waits meanwhile.
const tellTimeout = 300 * time.Millisecond
