package entry

import (
	"context"
	"log/slog"
	"time"

	"github.com/tamarackcleat/tamarackcleat/api"
	"github.com/tamarackcleat/tamarackcleat/balance"
	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/health"
	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/port/porthttp"
	"github.com/tamarackcleat/tamarackcleat/router"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// listener passes on to the kernel services what upstreams say of themselves in their
// answers.
type listener struct {
	post   post
	stats  *stats
	logger *slog.Logger
}

// heard passes on what an upstream said in an answer. process is the one that the
// request was meant for; a later one may have answered.
func (l *listener) heard(process port.Incarnation, said porthttp.Said) {
	l.noted(process, said)
	if said.Leaving {
		l.post(health.Name, health.Announced{Process: answering(process, said)})
	}
}

// noted passes on to the router what an upstream said in an answer.
func (l *listener) noted(process port.Incarnation, said porthttp.Said) {
	if said.Unused != "" {
		l.stats.count("upstream.unused_word." + string(said.Unused))
		l.logger.Info(decisions.UpstreamUnusedWord, "vm", string(process.VM), "problem", string(said.Unused), "used_ms", said.Pause.Milliseconds())
	}
	if !said.Leaving && said.Pause == 0 {
		return
	}
	l.post(router.Name, router.Noticed{Process: process, Notice: said.Notice})
	if answered := answering(process, said); answered != process {
		l.post(router.Name, router.Noticed{Process: answered, Notice: said.Notice})
	}
}

// answering returns the process that gave an answer to a request for process.
func answering(process port.Incarnation, said porthttp.Said) port.Incarnation {
	if said.Boot != "" {
		process.Boot = said.Boot
	}
	return process
}

// listen returns a context for a request to a process; what is said in the answer is
// passed on.
func (l *listener) listen(ctx context.Context, process port.Incarnation) context.Context {
	return porthttp.WithTrace(ctx, &porthttp.Trace{
		GotHead: func(said porthttp.Said) { l.heard(process, said) },
	})
}

// send returns a context for sending the request to the upstream that was picked. The
// router confirms the pick right before the request is written.
func (q *request) send(ctx context.Context, u balance.Upstream) context.Context {
	return porthttp.WithTrace(ctx, &porthttp.Trace{
		BeforeWrite: func() *verdict.Error { return q.confirm(ctx, u) },
		GotHead:     func(said porthttp.Said) { q.node.listener.heard(u.Process, said) },
		Malformed:   func(err error) { q.noteMalformed(u, err) },
	})
}

// noteMalformed logs and counts a malformed answer to the request.
func (q *request) noteMalformed(u balance.Upstream, err error) {
	q.node.stats.count("upstream.malformed")
	q.node.logger.Warn(decisions.UpstreamMalformed, "request_id", q.id, "upstream", u.ID, "reason", verdict.ReasonUpstreamLost, "error", err)
}

// confirm asks the router whether the request may still be sent to the upstream that
// was picked. It returns why not, and keeps that as q.withheld.
func (q *request) confirm(ctx context.Context, u balance.Upstream) *verdict.Error {
	msg, failure := q.node.ask(ctx, router.Name, func(id kernel.AskID) kernel.Message {
		return router.Confirm{Ask: id, Upstream: u}
	})
	if failure != nil {
		return failure
	}
	refused, ok := msg.(*verdict.Error)
	if !ok {
		return nil
	}
	q.withheld = refused
	q.trace.add(api.TraceEvent{Step: "withheld", Upstream: u.ID, Verdict: refused.Verdict, Reason: refused.Reason, Detail: refused.Detail})
	return refused
}

// wasWithheld reports whether an attempt failed because the request was not sent to the
// upstream that was picked; another one is picked then.
func (q *request) wasWithheld(failure *verdict.Error) bool {
	return failure != nil && failure == q.withheld
}

// notTaken reports whether an attempt failed because of what the upstream announced:
// that is no fault of the upstream.
func notTaken(failure *verdict.Error) bool {
	if failure == nil {
		return false
	}
	switch failure.Reason {
	case verdict.ReasonUpstreamPaused, verdict.ReasonUpstreamLeaving, verdict.ReasonUpstreamGone:
		return true
	}
	return false
}

// isLeaving reports whether the process of an upstream announced that it is leaving.
func (n *Node) isLeaving(ctx context.Context, process port.Incarnation) bool {
	var leaving bool
	if !n.readState(ctx, func(time.Time) { leaving = n.health.Leaving(process) }) {
		return false
	}
	return leaving
}
