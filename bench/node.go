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
	// sameZoneDelay and crossZoneDelay are one-way network delays.
	sameZoneDelay  = 100 * time.Microsecond
	crossZoneDelay = 900 * time.Microsecond
	// progressPeriod is the time between progress reports of a stream.
	progressPeriod = 5 * time.Second
	// patience is the multiple of the answer target after which a caller
	// gives up.
	patience = 2
	// bytesPerToken is the size of a token of a prompt.
	bytesPerToken = 4
)

// node is one entry VM: the services, bound to fake engines.
type node struct {
	loop    *loop
	zone    string
	router  *router.Service
	metrics metrics.Registry
	door    door
	retrier retrier
	engines map[string]*engine
	report  *recorder
}

func newNode(l *loop, s Scenario, index int, rec *recorder, engines map[string]*engine) (*node, error) {
	seed := uint64(index) + 1
	strategy, err := strategies.New(s.Routing, rand.New(rand.NewPCG(s.Seed, seed)))
	if err != nil {
		return nil, err
	}
	n := &node{
		loop: l, zone: zoneName(index), metrics: metrics.NewRegistry(), report: rec, engines: engines,
		door:    newDoor(s.Admission, l, s.Deployment.classes()),
		retrier: newRetrier(s.Retry, rand.New(rand.NewPCG(s.Seed, seed<<16))),
	}
	n.router = router.New(router.Config{
		Node: nodeName(index), Zone: n.zone, Strategy: strategy,
		DisableEjection: s.KeepStragglers, Metrics: n.metrics, SubsetSize: s.SubsetSize,
	})
	return n, nil
}

// attempt is one request on its way through a node.
type attempt struct {
	node     *node
	request  *request
	priority int
	tries    int
	exclude  []string
	job      *job
	upstream balance.Upstream
	admitted time.Time
	sentAt   time.Time
	firstAt  time.Time
	// have is the number of tokens that the caller has.
	have int
	// progressed says that the last try brought the answer forward.
	progressed bool
	// reportedAt and reportedTokens are those of the last progress report.
	reportedAt     time.Time
	reportedTokens int
	over           bool
}

// serve takes a request through admission, routing and retries.
func (n *node) serve(r *request) {
	n.report.offered(r)
	a := &attempt{node: n, request: r}
	n.door.arrive(r, a.decided)
	limit := patience * time.Duration(r.kind.class.Targets.AnsweredWithin)
	n.loop.after(limit, a.giveUp)
}

// decided takes the decision of admission.
func (a *attempt) decided(priority int, refusal *verdict.Error) {
	switch {
	case a.over:
	case refusal != nil:
		a.over = true
		a.node.report.refused(a.request, refusal.Reason)
	default:
		a.priority = priority
		a.admitted = a.node.loop.now
		a.send()
	}
}

// send routes one try to an engine.
func (a *attempt) send() {
	if a.over {
		return
	}
	n, r := a.node, a.request
	a.tries++
	reply := n.router.Handle(n.loop.now, router.Pick{
		RequestID: r.id, Pool: r.kind.class.Model, PrefixHashes: r.prefixes, Exclude: a.exclude,
		Class: r.kind.class.Name, PromptBytes: r.prompt * bytesPerToken,
	})[0].(kernel.Reply).Msg
	if refusal, ok := reply.(*verdict.Error); ok {
		a.failed(refusal)
		return
	}
	a.upstream = reply.(router.Picked).Upstream
	a.sentAt = n.loop.now
	a.reportedAt, a.reportedTokens = time.Time{}, 0
	e := n.engines[a.upstream.ID]
	a.job = &job{
		priority: a.priority, prompt: r.prompt + a.have, tokens: r.tokens - a.have, prefixes: r.prefixes,
		onFirst: a.first, onDone: a.done, onFail: a.lost,
	}
	n.report.attempts++
	n.report.reached[r.id] = true
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

// first notes the first token of a try.
func (a *attempt) first() {
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

// scheduleProgress reports the time between tokens while the try lasts.
func (a *attempt) scheduleProgress(j *job) {
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

// tokenTime returns the mean time between tokens since the last report; 0 if
// there was none.
func (a *attempt) tokenTime(produced int) time.Duration {
	tokens := produced - a.reportedTokens
	if a.reportedAt.IsZero() || tokens <= 0 {
		return 0
	}
	return a.node.loop.now.Sub(a.reportedAt) / time.Duration(tokens)
}

// done ends a request that was answered.
func (a *attempt) done() {
	n := a.node
	n.router.Handle(n.loop.now, router.Finished{
		RequestID: a.request.id, Upstream: a.upstream.ID, OK: true, PerToken: a.tokenTime(a.job.tokens),
	})
	a.over = true
	n.door.done(a.request, n.loop.now.Sub(a.admitted))
	n.retrier.succeeded(n.loop.now, a.request.kind.class.Name)
	n.report.answered(a, n.loop.now)
}

// lost takes the failure of a try on an engine.
func (a *attempt) lost(e *verdict.Error) {
	n := a.node
	n.router.Handle(n.loop.now, router.Finished{RequestID: a.request.id, Upstream: a.upstream.ID})
	a.exclude = append(a.exclude, a.upstream.ID)
	a.progressed = false
	if produced := a.job.produced(); n.retrier.resumes() && produced > 0 {
		a.have = min(a.request.tokens-1, a.have+produced)
		a.progressed = true
		a.tries = 1
	}
	a.failed(e)
}

// failed asks the retry policy what to do about a failure.
func (a *attempt) failed(e *verdict.Error) {
	if a.over {
		return
	}
	n, r := a.node, a.request
	deadline := r.arrived.Add(time.Duration(r.kind.class.Targets.AnsweredWithin))
	d := n.retrier.next(n.loop.now, retry.Failure{
		Class: r.kind.class.Name, Repeatable: true, Err: e, Attempt: a.tries,
		Remaining: deadline.Sub(n.loop.now), Progressed: a.progressed,
		MinDuration: time.Duration(max(0, int(r.kind.answer)-a.have)) * tokenTimeIdle,
	})
	if !d.Retry {
		a.over = true
		n.door.done(r, 0)
		n.report.failed(r, d.Reason)
		return
	}
	n.loop.after(d.Wait, a.send)
}

// giveUp ends a request whose caller lost patience.
func (a *attempt) giveUp() {
	if a.over {
		return
	}
	a.over = true
	n := a.node
	if a.job != nil && !a.job.ended {
		if a.job.engine != nil {
			a.job.engine.cancel(a.job)
		}
		a.job.ended = true
		n.router.Handle(n.loop.now, router.Finished{RequestID: a.request.id, Upstream: a.upstream.ID, OK: true})
	}
	n.door.cancel(a.request)
	n.report.failed(a.request, verdict.ReasonCanceled)
}
