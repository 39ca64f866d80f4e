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
	// deadlineFactor times the class's answer target is the time after which a
	// request is given up. Until then a late answer is better than none.
	deadlineFactor = 10
	// minStallTimeout is the shortest time without a chunk that counts as a stall.
	minStallTimeout = 3 * time.Second
	// stallFactor times the class's token target is the time without a chunk that
	// counts as a stall.
	stallFactor = 20
	// defaultMaxTokens limits the tokens of an answer if the class sets no limit.
	defaultMaxTokens = 4096
)

// generateTask is one chat completion in progress.
type generateTask struct {
	*request
	prompt      string
	maxTokens   int
	seed        int64
	fingerprint string
	answer      *answer.Answer
	writer      chatWriter
	priority    int
	firstToken  time.Duration
	excluded    []string
	// crashCount is the number of replicas that crashed while the request ran on
	// them.
	crashCount int
}

// serveChat handles POST /v1/chat/completions.
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
	if failure := n.resolveClass(req, chat.Model, dynamic.KindGenerate, len(body)); failure != nil {
		n.refuse(w, req, failure)
		return
	}
	g := n.newGenerateTask(w, req, chat)
	if failure := g.run(r.Context()); failure != nil {
		n.recordFailure(req, failure)
		g.writer.writeFailure(failure)
	}
}

func (n *Node) newGenerateTask(w http.ResponseWriter, req *request, chat chatRequest) *generateTask {
	longest := int(req.class.LongestAnswer)
	if longest == 0 {
		longest = defaultMaxTokens
	}
	g := &generateTask{
		request:   req,
		prompt:    chat.prompt(),
		maxTokens: chat.maxTokens(longest),
		seed:      samplingSeed(req.id),
		answer:    answer.New(req.id),
	}
	if chat.Seed != nil {
		g.seed = *chat.Seed
	}
	g.promptBytes = len(g.prompt)
	g.fingerprint = digest(req.class.Name, g.prompt)
	if chat.Stream {
		g.writer = newStreamWriter(w, req.id, chat.Model, req.arrivedAt)
	} else {
		g.writer = &bodyWriter{w: w, requestID: req.id, model: chat.Model, created: req.arrivedAt.Unix()}
	}
	return g
}

// run waits for admission and generates the answer.
func (g *generateTask) run(ctx context.Context) *verdict.Error {
	ctx, cancel := context.WithDeadline(ctx, g.deadline)
	defer cancel()
	priority, failure := g.admit(ctx)
	if failure != nil {
		return failure
	}
	g.priority = priority
	failure = g.generate(ctx)
	g.endAdmission(failure == nil)
	return failure
}

// generate tries upstreams until the answer is complete or a retry is refused.
// The failure has the worst verdict of all attempts. An attempt that delivered
// tokens resets the count of attempts.
func (g *generateTask) generate(ctx context.Context) *verdict.Error {
	worst := verdict.NotRun
	for attempt := 1; ; attempt++ {
		before := g.answer.Tokens()
		failure := g.attempt(ctx)
		if failure == nil {
			return g.complete()
		}
		worst = worst.Combine(failure.Verdict)
		failure = failure.WithVerdict(worst)
		if ctx.Err() != nil {
			return g.contextFailure(failure)
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

// complete writes the end of the answer to the caller and records the request as
// answered.
func (g *generateTask) complete() *verdict.Error {
	whole := time.Since(g.arrivedAt)
	if err := g.writer.writeEnd(g.answer.Text(), g.answer.Finish(), g.answer.Tokens()); err != nil {
		return verdict.New(verdict.Ran, verdict.ReasonCanceled, "%v", err)
	}
	g.node.stats.recordAnswered(g.class, answerTiming{
		firstToken: g.firstToken,
		perToken:   perToken(whole-g.firstToken, g.answer.Tokens()),
		total:      whole,
	})
	g.node.kernel.Post(retry.Name, retry.Succeeded{Class: g.class.Name})
	g.trace.add(api.TraceEvent{Step: "answered"})
	return nil
}

// perToken returns the mean time between tokens, given the time from the first
// token to the last.
func perToken(d time.Duration, tokens int) time.Duration {
	return d / time.Duration(max(1, tokens-1))
}

// attempt runs the request once on an upstream, starting after the tokens that
// were delivered by earlier attempts.
func (g *generateTask) attempt(ctx context.Context) *verdict.Error {
	attemptID := newID()
	trial, failure := g.checkSuspect(ctx, attemptID)
	if failure != nil {
		return failure
	}
	for {
		failure, withheld := g.attemptOnce(ctx, attemptID, trial)
		if !withheld {
			return failure
		}
	}
}

// attemptOnce runs the request on the upstream that the router picks. It reports whether
// the request was withheld from that upstream, so that another one must be picked.
func (g *generateTask) attemptOnce(ctx context.Context, attemptID string, trial bool) (failure *verdict.Error, withheld bool) {
	u, failure := g.selectUpstream(ctx, trial)
	if failure != nil {
		g.endTrial(trial, attemptID, record.TrialNotRun)
		return failure, false
	}
	if trial {
		defer g.node.trials.begin(u.ID)()
	}
	timing := newAttemptTiming(g.answer.Tokens())
	failure = g.streamFrom(ctx, u, timing)
	g.reportFinished(u, failure, timing)
	if g.wasWithheld(failure) {
		return failure, true
	}
	if failure != nil {
		g.handleFailure(ctx, u, failure, failedAttempt{id: attemptID, trial: trial, progressed: timing.firstToken > 0})
		return failure, false
	}
	g.endTrial(trial, attemptID, record.TrialSurvived)
	return nil, false
}

// progressInterval is the time between two reports to the router on a running
// stream.
const progressInterval = 5 * time.Second

// attemptTiming measures the token times of one attempt.
type attemptTiming struct {
	started time.Time
	// reportedAt and reportedTokens are the time and the number of tokens of the
	// latest report to the router.
	reportedAt     time.Time
	reportedTokens int
	firstToken     time.Duration
}

func newAttemptTiming(tokens int) *attemptTiming {
	return &attemptTiming{started: time.Now(), reportedTokens: tokens}
}

// nextReport returns the report to the router on a stream that has reached the
// given number of tokens, and whether it is due: at the first token and then
// every progressInterval.
func (t *attemptTiming) nextReport(now time.Time, tokens int) (router.Progressed, bool) {
	if t.firstToken == 0 {
		t.firstToken = now.Sub(t.started)
		t.reportedAt, t.reportedTokens = now, tokens
		return router.Progressed{FirstToken: t.firstToken}, true
	}
	if now.Sub(t.reportedAt) < progressInterval {
		return router.Progressed{}, false
	}
	p := router.Progressed{PerToken: t.perTokenSinceReport(now, tokens)}
	t.reportedAt, t.reportedTokens = now, tokens
	return p, true
}

// perTokenSinceReport returns the mean time between tokens since the latest
// report to the router; 0 if there was no report or no token since.
func (t *attemptTiming) perTokenSinceReport(now time.Time, tokens int) time.Duration {
	if t.reportedAt.IsZero() || tokens <= t.reportedTokens {
		return 0
	}
	return now.Sub(t.reportedAt) / time.Duration(tokens-t.reportedTokens)
}

// selectUpstream picks an upstream; for a trial it avoids upstreams that run
// another trial.
func (g *generateTask) selectUpstream(ctx context.Context, trial bool) (balance.Upstream, *verdict.Error) {
	exclude := g.excluded
	if trial {
		exclude = append(g.node.trials.upstreams(), exclude...)
	}
	return g.pick(ctx, g.class.Model, exclude, port.PrefixHashes(g.prompt))
}

// reportFinished tells the router how the attempt ended. A cancellation by the
// caller does not count as a failure of the upstream.
func (g *generateTask) reportFinished(u balance.Upstream, failure *verdict.Error, t *attemptTiming) {
	g.node.kernel.Post(router.Name, router.Finished{
		RequestID: g.id,
		Upstream:  u.ID,
		OK:        failure == nil || failure.Reason == verdict.ReasonCanceled,
		NotTaken:  notTaken(failure),
		PerToken:  t.perTokenSinceReport(time.Now(), g.answer.Tokens()),
	})
}

// reportProgress reports on a running stream to the router if a report is due.
func (g *generateTask) reportProgress(u balance.Upstream, t *attemptTiming) {
	if p, due := t.nextReport(time.Now(), g.answer.Tokens()); due {
		p.RequestID, p.Upstream = g.id, u.ID
		g.node.kernel.Post(router.Name, p)
	}
}

// streamFrom generates on one upstream and reads its stream into the answer. The
// stream is canceled if it stalls or if the upstream's replica loses a VM.
func (g *generateTask) streamFrom(ctx context.Context, u balance.Upstream, r *attemptTiming) *verdict.Error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	release := g.node.streams.add(u.ID, cancel)
	defer release()
	g.answer.DiscardPending()
	s, err := g.node.upstream.Generate(g.send(ctx, u), u.Address, port.GenerateRequest{
		RequestID:    g.id,
		Replica:      u.ID,
		Generation:   u.Generation,
		Prompt:       g.prompt,
		MaxTokens:    g.maxTokens,
		Priority:     g.priority,
		ResumeFrom:   g.answer.Tokens(),
		AnswerPrefix: g.answer.Text(),
		Seed:         g.seed,
	})
	if err != nil {
		return preferCancelCause(ctx, verdict.FromError(err))
	}
	defer s.Close()
	stall := time.AfterFunc(g.stallTimeout(), func() { cancel(errStalled) })
	defer stall.Stop()
	return g.readChunks(ctx, s, stall, func() { g.reportProgress(u, r) })
}

// errStalled is the cause with which a stalled stream is canceled.
var errStalled = verdict.New(verdict.MayHaveRun, verdict.ReasonStalled, "the upstream sent nothing for too long")

// preferCancelCause replaces a failure by the cause with which the stream was
// canceled, if there is one. A failure that proves the request not run is kept.
func preferCancelCause(ctx context.Context, failure *verdict.Error) *verdict.Error {
	var cause *verdict.Error
	if ctx.Err() != nil && failure.Verdict != verdict.NotRun && errors.As(context.Cause(ctx), &cause) {
		return cause
	}
	return failure
}

// chunkReader reads the chunks of a stream; Next returns io.EOF at its end.
type chunkReader interface {
	Next() (port.Chunk, error)
}

// readChunks adds the stream's chunks to the answer until it is complete. It
// fails if the stream ends early, skips a chunk or goes on beyond the tokens asked for.
// Only chunks that continue the answer keep the stream from stalling.
func (g *generateTask) readChunks(ctx context.Context, s chunkReader, stall *time.Timer, progress func()) *verdict.Error {
	for {
		chunk, err := s.Next()
		if err != nil && !errors.Is(err, io.EOF) {
			return preferCancelCause(ctx, verdict.FromError(err))
		}
		if err != nil {
			return verdict.New(verdict.MayHaveRun, verdict.ReasonUpstreamLost, "the stream ended with chunks missing")
		}
		before := g.answer.Tokens()
		if failure := g.addChunk(chunk); failure != nil {
			return failure
		}
		if g.answer.Tokens() > before || g.answer.Complete() {
			stall.Reset(g.stallTimeout())
		}
		if g.answer.Tokens() > g.maxTokens {
			g.node.stats.count("chunk_excess")
			return verdict.New(verdict.MayHaveRun, verdict.ReasonBadAnswer, "the upstream sent more than the %d tokens asked for", g.maxTokens)
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

// addChunk adds a chunk to the answer and writes the texts that are now in order
// to the caller. Dropped chunks are counted.
func (g *generateTask) addChunk(chunk port.Chunk) *verdict.Error {
	texts, drop := g.answer.Add(chunk)
	if drop != answer.DropNone {
		g.node.stats.count(string(drop))
		return nil
	}
	if len(texts) == 0 {
		return nil
	}
	if g.firstToken == 0 {
		g.firstToken = time.Since(g.arrivedAt)
	}
	if err := g.writer.writeTokens(texts); err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonCanceled, "%v", err)
	}
	return nil
}

// stallTimeout returns the time without a chunk that continues the answer which counts
// as a stall.
func (g *generateTask) stallTimeout() time.Duration {
	t := g.class.Targets
	target := time.Duration(t.BetweenTokensWithin)
	if g.answer.Tokens() == 0 {
		target = time.Duration(t.FirstTokenWithin)
	}
	return max(minStallTimeout, stallFactor*target)
}
