package bench

import (
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/tamarackcleat/tamarackcleat/balance"
	"github.com/tamarackcleat/tamarackcleat/balance/strategies"
	"github.com/tamarackcleat/tamarackcleat/kernel"
	"github.com/tamarackcleat/tamarackcleat/retry"
	"github.com/tamarackcleat/tamarackcleat/router"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

const (
	// sameZoneDelay and crossZoneDelay are the one-way network delays within
	// an availability zone and between two zones.
	sameZoneDelay  = 100 * time.Microsecond
	crossZoneDelay = 900 * time.Microsecond
	// progressPeriod is the time between two progress reports of a stream.
	progressPeriod = 5 * time.Second
	// callerTimeoutFactor is the multiple of the class's answer target after
	// which a caller cancels its request.
	callerTimeoutFactor = 2
	// bytesPerToken is the size of a prompt token in bytes.
	bytesPerToken = 4
)

// node is one entry VM: its policies and services, connected to simulated
// engines.
type node struct {
	loop     *loop
	zone     string
	router   *router.Service
	metrics  metrics.Registry
	admitter admitter
	retrier  retrier
	engines  map[string]*engine
	report   *recorder
}

func newNode(l *loop, s Scenario, index int, rec *recorder, engines map[string]*engine) (*node, error) {
	seed := uint64(index) + 1
	strategy, err := strategies.New(s.Routing, rand.New(rand.NewPCG(s.Seed, seed)))
	if err != nil {
		return nil, err
	}
	n := &node{
		loop: l, zone: zoneName(index), metrics: metrics.NewRegistry(), report: rec, engines: engines,
		admitter: newAdmitter(s.Admission, l, s.Deployment.classes()),
		retrier:  newRetrier(s.Retry, rand.New(rand.NewPCG(s.Seed, seed<<16))),
	}
	n.router = router.New(router.Config{
		Node: nodeName(index), Zone: n.zone, Strategy: strategy,
		DisableEjection: s.KeepStragglers, Metrics: n.metrics, SubsetSize: s.SubsetSize,
	})
	return n, nil
}

// activeRequest is the state of a request at a node, over all its attempts on
// engines. job, upstream and sentAt are those of the latest attempt, and exclude
// lists the engines on which an attempt failed.
type activeRequest struct {
	node     *node
	request  *request
	priority int
	attempts int
	exclude  []string
	job      *job
	upstream balance.Upstream
	admitted time.Time
	sentAt   time.Time
	firstAt  time.Time
	// receivedTokens is the number of tokens that the caller has kept from
	// failed attempts; the next attempt resumes after them.
	receivedTokens int
	// progressed says that the latest failed attempt added to receivedTokens.
	progressed bool
	// reportedAt is the time of the latest attempt's last progress report,
	// reportedTokens the number of tokens that it had produced by then.
	reportedAt     time.Time
	reportedTokens int
	ended          bool
}

// serve handles a request: admission, routing and retries. The caller cancels
// the request if it takes too long.
func (n *node) serve(r *request) {
	n.report.offered(r)
	a := &activeRequest{node: n, request: r}
	n.admitter.arrive(r, a.decided)
	limit := callerTimeoutFactor * time.Duration(r.kind.class.Targets.AnsweredWithin)
	n.loop.after(limit, a.callerTimedOut)
}

// decided handles the admission decision.
func (a *activeRequest) decided(priority int, refusal *verdict.Error) {
	switch {
	case a.ended:
	case refusal != nil:
		a.ended = true
		a.node.report.refused(a.request, refusal.Reason)
	default:
		a.priority = priority
		a.admitted = a.node.loop.now
		a.send()
	}
}

// send picks an engine and starts an attempt on it.
func (a *activeRequest) send() {
	if a.ended {
		return
	}
	n, r := a.node, a.request
	a.attempts++
	reply := n.router.Handle(n.loop.now, router.Pick{
		RequestID: r.id, Pool: r.kind.class.Model, PrefixHashes: r.prefixes, Exclude: a.exclude,
		Class: r.kind.class.Name, PromptBytes: r.prompt * bytesPerToken,
	})[0].(kernel.Reply).Msg
	if refusal, ok := reply.(*verdict.Error); ok {
		a.retryOrFail(refusal)
		return
	}
	a.upstream = reply.(router.Picked).Upstream
	a.sentAt = n.loop.now
	a.reportedAt, a.reportedTokens = time.Time{}, 0
	e := n.engines[a.upstream.ID]
	a.job = &job{
		priority: a.priority, prompt: r.prompt + a.receivedTokens, tokens: r.tokens - a.receivedTokens, prefixes: r.prefixes,
		onFirst: a.first, onDone: a.done, onFail: a.attemptFailed,
	}
	n.report.attempts++
	n.report.reachedEngine[r.id] = true
	job := a.job
	n.loop.after(n.delay(e), func() {
		if !job.ended {
			e.submit(job)
		}
	})
}

// delay returns the one-way network delay to an engine.
func (n *node) delay(e *engine) time.Duration {
	if e.upstream.Zone == n.zone {
		return sameZoneDelay
	}
	return crossZoneDelay
}

// first handles the first token of an attempt.
func (a *activeRequest) first() {
	now := a.node.loop.now
	if a.firstAt.IsZero() {
		a.firstAt = now
	}
	a.node.router.Handle(now, router.Progressed{
		RequestID: a.request.id, Upstream: a.upstream.ID, FirstToken: now.Sub(a.sentAt),
	})
	a.reportedAt = now
	a.scheduleProgress(a.job)
}

// scheduleProgress reports the time between tokens to the router periodically
// until the attempt ends.
func (a *activeRequest) scheduleProgress(j *job) {
	a.node.loop.after(progressPeriod, func() {
		if j.ended {
			return
		}
		if t := a.tokenTime(j.produced()); t > 0 {
			a.node.router.Handle(a.node.loop.now, router.Progressed{
				RequestID: a.request.id, Upstream: a.upstream.ID, PerToken: t,
			})
			a.reportedAt, a.reportedTokens = a.node.loop.now, j.produced()
		}
		a.scheduleProgress(j)
	})
}

// tokenTime returns the mean time between tokens since the last progress report
// of the attempt. It returns 0 if there was no report or no token since.
func (a *activeRequest) tokenTime(produced int) time.Duration {
	tokens := produced - a.reportedTokens
	if a.reportedAt.IsZero() || tokens <= 0 {
		return 0
	}
	return a.node.loop.now.Sub(a.reportedAt) / time.Duration(tokens)
}

// done ends a request whose answer is complete.
func (a *activeRequest) done() {
	n := a.node
	n.router.Handle(n.loop.now, router.Finished{
		RequestID: a.request.id, Upstream: a.upstream.ID, OK: true, PerToken: a.tokenTime(a.job.tokens),
	})
	a.ended = true
	n.admitter.done(a.request, n.loop.now.Sub(a.admitted))
	n.retrier.succeeded(n.loop.now, a.request.kind.class.Name)
	n.report.answered(a, n.loop.now)
}

// attemptFailed handles the failure of an attempt on an engine. If the retry
// policy resumes answers, the tokens produced so far are kept.
func (a *activeRequest) attemptFailed(e *verdict.Error) {
	n := a.node
	n.router.Handle(n.loop.now, router.Finished{RequestID: a.request.id, Upstream: a.upstream.ID})
	a.exclude = append(a.exclude, a.upstream.ID)
	a.progressed = false
	if produced := a.job.produced(); n.retrier.resumes() && produced > 0 {
		a.receivedTokens = min(a.request.tokens-1, a.receivedTokens+produced)
		a.progressed = true
		a.attempts = 1
	}
	a.retryOrFail(e)
}

// retryOrFail asks the retry policy whether to retry after a failure. If not, it
// ends the request as failed.
func (a *activeRequest) retryOrFail(e *verdict.Error) {
	if a.ended {
		return
	}
	n, r := a.node, a.request
	deadline := r.arrived.Add(time.Duration(r.kind.class.Targets.AnsweredWithin))
	d := n.retrier.next(n.loop.now, retry.Failure{
		Class: r.kind.class.Name, Repeatable: true, Err: e, Attempt: a.attempts,
		Remaining: deadline.Sub(n.loop.now), Progressed: a.progressed,
		MinDuration: time.Duration(max(0, int(r.kind.answer)-a.receivedTokens)) * tokenTimeIdle,
	})
	if !d.Retry {
		a.ended = true
		n.admitter.done(r, 0)
		n.report.failed(r, d.Reason)
		return
	}
	n.loop.after(d.Wait, a.send)
}

// callerTimedOut ends a request that its caller cancels because it has taken too
// long.
func (a *activeRequest) callerTimedOut() {
	if a.ended {
		return
	}
	a.ended = true
	n := a.node
	if a.job != nil && !a.job.ended {
		if a.job.engine != nil {
			a.job.engine.cancel(a.job)
		}
		a.job.ended = true
		n.router.Handle(n.loop.now, router.Finished{RequestID: a.request.id, Upstream: a.upstream.ID, OK: true})
	}
	n.admitter.cancel(a.request)
	n.report.failed(a.request, verdict.ReasonCanceled)
}
