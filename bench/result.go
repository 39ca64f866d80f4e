package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"

	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// Result is what a run measured.
type Result struct {
	// Scenario, Deployment, Policy and Seed identify the run.
	Scenario   string `json:"scenario"`
	Deployment string `json:"deployment"`
	Policy     string `json:"policy"`
	Seed       uint64 `json:"seed"`
	// Engines and Nodes are the sizes.
	Engines int `json:"engines"`
	Nodes   int `json:"nodes"`
	// Score is the weight of answers within target in percent of the weight
	// of all requests.
	Score float64 `json:"score_percent"`
	// WithinOfAnswered is the weight of answers within target in percent of
	// the weight of all answers.
	WithinOfAnswered float64 `json:"within_of_answered_percent"`
	// SmallTeams and LargeTeams are the Score of their requests.
	SmallTeams float64 `json:"small_teams_percent"`
	LargeTeams float64 `json:"large_teams_percent"`
	// Broken counts requests that were let in and got no whole answer, in
	// percent of those let in.
	Broken float64 `json:"broken_percent"`
	// Amplification is the number of tries on engines per request that
	// reached one.
	Amplification float64 `json:"amplification"`
	// WorkAmplification is the tokens that engines produced per token that
	// callers got in a whole answer.
	WorkAmplification float64 `json:"work_amplification"`
	// CachedPrompt is the part of prompt tokens from caches in percent.
	CachedPrompt float64 `json:"cached_prompt_percent"`
	// Ejections counts ejected engines over all nodes.
	Ejections int64 `json:"ejections"`
	// Classes holds the figures per class.
	Classes []ClassResult `json:"classes"`
}

// ClassResult is what a run measured of one class.
type ClassResult struct {
	// Class is the class's name.
	Class string `json:"class"`
	// Offered, Answered and Within count requests, answers, and answers
	// within target.
	Offered  int `json:"offered"`
	Answered int `json:"answered"`
	Within   int `json:"within"`
	// FirstToken95 and Answer95 are 95th percentiles in milliseconds.
	FirstToken95 int64 `json:"first_token_p95_ms"`
	Answer95     int64 `json:"answer_p95_ms"`
	// Refused and Failed count requests by reason.
	Refused map[verdict.Reason]int `json:"refused"`
	Failed  map[verdict.Reason]int `json:"failed"`
}

// recorder collects what happens to requests.
type recorder struct {
	scenario Scenario
	from     time.Time
	classes  map[string]*classRecord
	large    tally
	small    tally
	// attempts counts tries on engines, reached requests with one, and
	// delivered the tokens of whole answers, over the whole run.
	attempts  int
	reached   map[string]bool
	delivered int64
}

// tally is weights of requests.
type tally struct {
	offered, answered, within float64
}

// classRecord collects the figures of one class.
type classRecord struct {
	ClassResult
	tally
	first, answer *hdrhistogram.Histogram
}

// longestAnswer bounds the histograms in milliseconds.
const longestAnswer = int64(time.Hour / time.Millisecond)

func newRecorder(s Scenario, l *loop) *recorder {
	rec := &recorder{scenario: s, from: l.now.Add(s.Warmup), classes: map[string]*classRecord{}, reached: map[string]bool{}}
	for _, k := range s.Deployment.kinds {
		rec.classes[k.class.Name] = &classRecord{
			ClassResult: ClassResult{
				Class: k.class.Name, Refused: map[verdict.Reason]int{}, Failed: map[verdict.Reason]int{},
			},
			first:  hdrhistogram.New(1, longestAnswer, 3),
			answer: hdrhistogram.New(1, longestAnswer, 3),
		}
	}
	return rec
}

// counts reports whether the request arrived after the warm-up.
func (rec *recorder) counts(r *request) bool { return !r.arrived.Before(rec.from) }

// of returns the records that a request counts in.
func (rec *recorder) of(r *request) (*classRecord, *tally) {
	if r.large {
		return rec.classes[r.kind.class.Name], &rec.large
	}
	return rec.classes[r.kind.class.Name], &rec.small
}

func (rec *recorder) offered(r *request) {
	if !rec.counts(r) {
		return
	}
	c, size := rec.of(r)
	c.Offered++
	c.tally.offered += r.kind.weight
	size.offered += r.kind.weight
}

func (rec *recorder) refused(r *request, reason verdict.Reason) {
	if rec.counts(r) {
		rec.classes[r.kind.class.Name].Refused[reason]++
	}
}

func (rec *recorder) failed(r *request, reason verdict.Reason) {
	if rec.counts(r) {
		rec.classes[r.kind.class.Name].Failed[reason]++
	}
}

func (rec *recorder) answered(a *attempt, now time.Time) {
	r := a.request
	rec.delivered += int64(r.tokens)
	if !rec.counts(r) {
		return
	}
	c, size := rec.of(r)
	first, answer := a.firstAt.Sub(r.arrived), now.Sub(r.arrived)
	record(c.first, first)
	record(c.answer, answer)
	c.Answered++
	c.tally.answered += r.kind.weight
	size.answered += r.kind.weight
	targets := r.kind.class.Targets
	between := now.Sub(a.firstAt) / time.Duration(max(1, r.tokens-1))
	if first <= time.Duration(targets.FirstTokenWithin) &&
		between <= time.Duration(targets.BetweenTokensWithin) &&
		answer <= time.Duration(targets.AnsweredWithin) {
		c.Within++
		c.tally.within += r.kind.weight
		size.within += r.kind.weight
	}
}

// record adds a duration; one over the histogram's bound counts as the bound.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(longestAnswer, d.Milliseconds()))
}

// percent returns a share in percent, 0 of nothing.
func percent(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * part / whole
}

func (rec *recorder) result(w *world) Result {
	s := rec.scenario
	r := Result{
		Scenario: s.Name, Deployment: s.Deployment.Name, Policy: s.Policy, Seed: s.Seed,
		Engines: len(w.engines), Nodes: len(w.nodes),
		SmallTeams: percent(rec.small.within, rec.small.offered),
		LargeTeams: percent(rec.large.within, rec.large.offered),
	}
	var total tally
	var broken, letIn int
	for _, k := range s.Deployment.kinds {
		c := rec.classes[k.class.Name]
		c.FirstToken95 = c.first.ValueAtPercentile(95)
		c.Answer95 = c.answer.ValueAtPercentile(95)
		r.Classes = append(r.Classes, c.ClassResult)
		total.offered += c.tally.offered
		broken += sum(c.Failed)
		letIn += c.Answered + sum(c.Failed)
		total.answered += c.tally.answered
		total.within += c.tally.within
	}
	r.Score = percent(total.within, total.offered)
	r.WithinOfAnswered = percent(total.within, total.answered)
	r.Broken = percent(float64(broken), float64(letIn))
	r.addEngines(rec, w.engines)
	for _, n := range w.nodes {
		r.Ejections += metrics.GetOrRegisterCounter("router.ejected", n.metrics).Count()
	}
	return r
}

// sum adds up counts by reason.
func sum(counts map[verdict.Reason]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// addEngines adds what the engines counted.
func (r *Result) addEngines(rec *recorder, engines []*engine) {
	var cached, processed, decoded int64
	for _, e := range engines {
		cached += e.cachedTokens
		processed += e.prefillTokens
		decoded += e.decoded
	}
	r.CachedPrompt = percent(float64(cached), float64(cached+processed))
	r.Amplification = float64(rec.attempts) / float64(max(1, len(rec.reached)))
	r.WorkAmplification = float64(decoded) / float64(max(1, rec.delivered))
}
