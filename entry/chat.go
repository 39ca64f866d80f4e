package entry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/answer"
	"github.com/tamarackcleat/tamarackcleat/api"
	"github.com/tamarackcleat/tamarackcleat/balance"
	"github.com/tamarackcleat/tamarackcleat/config/dynamic"
	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/record"
	"github.com/tamarackcleat/tamarackcleat/retry"
	"github.com/tamarackcleat/tamarackcleat/router"
	"github.com/tamarackcleat/tamarackcleat/verdict"
)

const (
	// lateFactor times the answer target is when a request is given up. Until
	// then a late answer is better than none.
	lateFactor = 10
	// minStall is the shortest silence that counts as a stall.
	minStall = 3 * time.Second
	// stallFactor times a token target is the silence that counts as a stall.
	stallFactor = 20
	// defaultLongestAnswer bounds answers of classes without a bound.
	defaultLongestAnswer = 4096
)

// generation is one chat completion on its way.
type generation struct {
	*request
	prompt      string
	maxTokens   int
	seed        int64
	fingerprint string
	answer      *answer.Answer
	writer      chatWriter
	priority    int
	firstToken  time.Duration
	exclude     []string
	// crashes counts the replicas that crashed while the request ran on them.
	crashes int
}

// serveChat answers POST /v1/chat/completions.
func (n *Node) serveChat(w http.ResponseWriter, r *http.Request) {
	req := n.newRequest(w, r)
	body, failure := n.readBody(w, r, maxBodyBytes)
	if failure != nil {
		n.refuse(w, req, failure)
		return
	}
	chat, failure := decodeChat(body)
	if failure != nil {
		n.refuse(w, req, failure)
		return
	}
	if failure := n.resolve(req, chat.Model, dynamic.KindGenerate, len(body)); failure != nil {
		n.refuse(w, req, failure)
		return
	}
	g := n.newGeneration(w, req, chat)
	if failure := g.run(r.Context()); failure != nil {
		n.failed(req, failure)
		g.writer.fail(failure)
	}
}

func (n *Node) newGeneration(w http.ResponseWriter, req *request, chat chatRequest) *generation {
	longest := int(req.class.LongestAnswer)
	if longest == 0 {
		longest = defaultLongestAnswer
	}
	g := &generation{
		request:   req,
		prompt:    chat.prompt(),
		maxTokens: chat.maxTokens(longest),
		seed:      seedOf(req.id),
		answer:    answer.New(req.id),
	}
	if chat.Seed != nil {
		g.seed = *chat.Seed
	}
	g.promptBytes = len(g.prompt)
	g.fingerprint = digest(req.class.Name, g.prompt)
	if chat.Stream {
		g.writer = newStreamWriter(w, req.id, chat.Model, req.arrived)
	} else {
		g.writer = &bodyWriter{w: w, requestID: req.id, model: chat.Model, created: req.arrived.Unix()}
	}
	return g
}

// run admits the request and generates until the answer is whole.
func (g *generation) run(ctx context.Context) *verdict.Error {
	ctx, cancel := context.WithDeadline(ctx, g.deadline)
	defer cancel()
	priority, failure := g.admit(ctx)
	if failure != nil {
		return failure
	}
	g.priority = priority
	failure = g.generate(ctx)
	g.leave(failure == nil)
	return failure
}

// generate tries upstreams until the answer is whole or a retry is refused.
func (g *generation) generate(ctx context.Context) *verdict.Error {
	worst := verdict.NotRun
	for attempt := 1; ; attempt++ {
		before := g.answer.Tokens()
		failure := g.attempt(ctx)
		if failure == nil {
			return g.finish()
		}
		worst = worst.Combine(failure.Verdict)
		failure = failure.WithVerdict(worst)
		if ctx.Err() != nil {
			return g.gone(failure)
		}
		progressed := g.answer.Tokens() > before
		if progressed {
			attempt = 1
		}
		if failure := g.retry(ctx, failure, attempt, progressed); failure != nil {
			return failure
		}
	}
}

// finish hands the end of the answer to the caller.
func (g *generation) finish() *verdict.Error {
	whole := time.Since(g.arrived)
	if err := g.writer.whole(g.answer.Text(), g.answer.Finish(), g.answer.Tokens()); err != nil {
		return verdict.New(verdict.Ran, verdict.ReasonCanceled, "%v", err)
	}
	g.node.stats.answered(g.class, timing{
		firstToken: g.firstToken,
		perToken:   perToken(whole-g.firstToken, g.answer.Tokens()),
		whole:      whole,
	})
	g.node.kernel.Post(retry.Name, retry.Succeeded{Class: g.class.Name})
	g.trace.add(api.TraceEvent{Step: "answered"})
	return nil
}

// perToken returns the mean time between tokens.
func perToken(d time.Duration, tokens int) time.Duration {
	return d / time.Duration(max(1, tokens-1))
}

// attempt runs the request once on an upstream, from the position reached.
func (g *generation) attempt(ctx context.Context) *verdict.Error {
	attemptID := newID()
	trial, failure := g.checkSuspect(ctx, attemptID)
	if failure != nil {
		return failure
	}
	u, failure := g.choose(ctx, trial)
	if failure != nil {
		g.endTrial(trial, attemptID, record.TrialNotRun)
		return failure
	}
	if trial {
		defer g.node.trials.begin(u.ID)()
	}
	timing := newAttemptTiming(g.answer.Tokens())
	failure = g.stream(ctx, u, timing)
	g.settle(u, failure, timing)
	if failure != nil {
		g.afterFailure(ctx, u, failure, attemptEnd{id: attemptID, trial: trial, progressed: timing.firstToken > 0})
		return failure
	}
	g.endTrial(trial, attemptID, record.TrialSurvived)
	return nil
}

// progressEvery is how often the router is told of a running stream.
const progressEvery = 5 * time.Second

// attemptTiming measures one attempt.
type attemptTiming struct {
	started time.Time
	// reportedAt and reportedTokens are of the latest report to the router.
	reportedAt     time.Time
	reportedTokens int
	firstToken     time.Duration
}

func newAttemptTiming(tokens int) *attemptTiming {
	return &attemptTiming{started: time.Now(), reportedTokens: tokens}
}

// report returns what to tell the router of a stream that has reached a number
// of tokens, if it is time to.
func (t *attemptTiming) report(now time.Time, tokens int) (router.Progressed, bool) {
	if t.firstToken == 0 {
		t.firstToken = now.Sub(t.started)
		t.reportedAt, t.reportedTokens = now, tokens
		return router.Progressed{FirstToken: t.firstToken}, true
	}
	if now.Sub(t.reportedAt) < progressEvery {
		return router.Progressed{}, false
	}
	p := router.Progressed{PerToken: t.sinceReport(now, tokens)}
	t.reportedAt, t.reportedTokens = now, tokens
	return p, true
}

// sinceReport returns the mean time between tokens since the latest report; 0
// if there were none.
func (t *attemptTiming) sinceReport(now time.Time, tokens int) time.Duration {
	if t.reportedAt.IsZero() || tokens <= t.reportedTokens {
		return 0
	}
	return now.Sub(t.reportedAt) / time.Duration(tokens-t.reportedTokens)
}

// choose selects an upstream; a trial gets one without another trial.
func (g *generation) choose(ctx context.Context, trial bool) (balance.Upstream, *verdict.Error) {
	exclude := g.exclude
	if trial {
		exclude = append(g.node.trials.upstreams(), exclude...)
	}
	return g.pick(ctx, g.class.Model, exclude, port.PrefixHashes(g.prompt))
}

// settle tells the router how the attempt ended.
func (g *generation) settle(u balance.Upstream, failure *verdict.Error, t *attemptTiming) {
	g.node.kernel.Post(router.Name, router.Finished{
		RequestID: g.id,
		Upstream:  u.ID,
		OK:        failure == nil || failure.Reason == verdict.ReasonCanceled,
		PerToken:  t.sinceReport(time.Now(), g.answer.Tokens()),
	})
}

// progress tells the router of a running stream now and then.
func (g *generation) progress(u balance.Upstream, t *attemptTiming) {
	if p, due := t.report(time.Now(), g.answer.Tokens()); due {
		p.RequestID, p.Upstream = g.id, u.ID
		g.node.kernel.Post(router.Name, p)
	}
}

// stream reads one upstream's stream into the answer.
func (g *generation) stream(ctx context.Context, u balance.Upstream, r *attemptTiming) *verdict.Error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	release := g.node.flights.add(u.ID, cancel)
	defer release()
	g.answer.DiscardPending()
	s, err := g.node.upstream.Generate(ctx, u.Address, port.GenerateRequest{
		RequestID:  g.id,
		Replica:    u.ID,
		Generation: u.Generation,
		Prompt:     g.prompt,
		MaxTokens:  g.maxTokens,
		Priority:   g.priority,
		ResumeFrom: g.answer.Tokens(),
		Prefix:     g.answer.Text(),
		Seed:       g.seed,
	})
	if err != nil {
		return because(ctx, verdict.FromError(err))
	}
	defer s.Close()
	stall := time.AfterFunc(g.stallAfter(), func() { cancel(errStalled) })
	defer stall.Stop()
	return g.read(ctx, s, stall, func() { g.progress(u, r) })
}

// errStalled ends a stream that made no progress.
var errStalled = verdict.New(verdict.MayHaveRun, verdict.ReasonStalled, "the upstream sent nothing for too long")

// because replaces a failure by the cause that ended the stream, if any.
func because(ctx context.Context, failure *verdict.Error) *verdict.Error {
	var cause *verdict.Error
	if ctx.Err() != nil && failure.Verdict != verdict.NotRun && errors.As(context.Cause(ctx), &cause) {
		return cause
	}
	return failure
}

// chunkReader gives chunks.
type chunkReader interface {
	Next() (port.Chunk, error)
}

// read takes chunks until the answer is whole.
func (g *generation) read(ctx context.Context, s chunkReader, stall *time.Timer, progress func()) *verdict.Error {
	for {
		chunk, err := s.Next()
		if err != nil && !errors.Is(err, io.EOF) {
			return because(ctx, verdict.FromError(err))
		}
		if err != nil {
			return verdict.New(verdict.MayHaveRun, verdict.ReasonUpstreamLost, "the stream ended with chunks missing")
		}
		stall.Reset(g.stallAfter())
		if failure := g.take(chunk); failure != nil {
			return failure
		}
		progress()
		if g.answer.Complete() {
			return nil
		}
		if g.answer.HasGap() {
			g.node.stats.count("chunk_gap")
			return verdict.New(verdict.MayHaveRun, verdict.ReasonUpstreamLost, "chunks are missing")
		}
	}
}

// take adds a chunk to the answer and passes on what became deliverable.
func (g *generation) take(chunk port.Chunk) *verdict.Error {
	texts, drop := g.answer.Add(chunk)
	if drop != answer.DropNone {
		g.node.stats.count(string(drop))
		return nil
	}
	if len(texts) == 0 {
		return nil
	}
	if g.firstToken == 0 {
		g.firstToken = time.Since(g.arrived)
	}
	if err := g.writer.text(texts); err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonCanceled, "%v", err)
	}
	return nil
}

// stallAfter returns the silence that counts as a stall.
func (g *generation) stallAfter() time.Duration {
	t := g.class.Targets
	target := time.Duration(t.BetweenTokensWithin)
	if g.answer.Tokens() == 0 {
		target = time.Duration(t.FirstTokenWithin)
	}
	return max(minStall, stallFactor*target)
}
