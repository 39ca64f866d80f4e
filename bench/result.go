package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"

	"github.com/tamarackcleat/tamarackcleat/verdict"
)

// Result holds the measurements of one run. Requests that arrived during the
// warm-up are left out, except in the figures of engines and attempts:
// Amplification, WorkAmplification, CachedPrompt and Ejections cover the whole
// run.
type Result struct {
	// Scenario, Deployment, Policy and Seed identify the run.
	Scenario   string `json:"scenario"`
	Deployment string `json:"deployment"`
	Policy     string `json:"policy"`
	Seed       uint64 `json:"seed"`
	// Engines and Nodes are the numbers of engines and of entry VMs.
	Engines int `json:"engines"`
	Nodes   int `json:"nodes"`
	// Score is the weight of the answers within target as a percentage of the
	// weight of all requests.
	Score float64 `json:"score_percent"`
	// WithinOfAnswered is the weight of the answers within target as a
	// percentage of the weight of all answers.
	WithinOfAnswered float64 `json:"within_of_answered_percent"`
	// SmallTeams and LargeTeams are the scores of the requests of the small
	// and of the large teams alone.
	SmallTeams float64 `json:"small_teams_percent"`
	LargeTeams float64 `json:"large_teams_percent"`
	// Broken is the percentage of requests without a complete answer among the
	// requests that were not refused.
	Broken float64 `json:"broken_percent"`
	// Amplification is the number of attempts on engines divided by the number
	// of requests with at least one attempt.
	Amplification float64 `json:"amplification"`
	// WorkAmplification is the number of tokens that engines produced divided
	// by the number of tokens in complete answers.
	WorkAmplification float64 `json:"work_amplification"`
	// CachedPrompt is the percentage of prompt tokens that were served from
	// the engines' prompt caches.
	CachedPrompt float64 `json:"cached_prompt_percent"`
	// Ejections is the number of ejections of engines by all nodes.
	Ejections int64 `json:"ejections"`
	// Classes holds the measurements of each class.
	Classes []ClassResult `json:"classes"`
}

// ClassResult holds the measurements of one class in a run.
type ClassResult struct {
	// Class is the class's name.
	Class string `json:"class"`
	// Offered, Answered and Within are the numbers of requests, of complete
	// answers and of answers within target.
	Offered  int `json:"offered"`
	Answered int `json:"answered"`
	Within   int `json:"within"`
	// FirstToken95 and Answer95 are the 95th percentiles of the times to the
	// first token and to the complete answer, in milliseconds.
	FirstToken95 int64 `json:"first_token_p95_ms"`
	Answer95     int64 `json:"answer_p95_ms"`
	// Refused and Failed are the numbers of requests that admission refused
	// and of admitted or waiting requests that got no complete answer, by
	// reason.
	Refused map[verdict.Reason]int `json:"refused"`
	Failed  map[verdict.Reason]int `json:"failed"`
}

// recorder collects the measurements of a run. Requests that arrive before
// countFrom, during the warm-up, are left out of classes, large and small.
type recorder struct {
	scenario  Scenario
	countFrom time.Time
	classes   map[string]*classRecord
	large     tally
	small     tally
	// attempts is the number of attempts on engines, reachedEngine the set of
	// requests with at least one attempt and deliveredTokens the number of
	// tokens in complete answers, all over the whole run.
	attempts        int
	reachedEngine   map[string]bool
	deliveredTokens int64
}

// tally holds sums of request weights: of all requests, of those answered and of
// those answered within target.
type tally struct {
	offered, answered, within float64
}

// classRecord collects the measurements of one class. The histograms hold the
// times to the first token and to the complete answer in milliseconds.
type classRecord struct {
	ClassResult
	tally
	first, answer *hdrhistogram.Histogram
}

// longestAnswer is the upper bound of the histograms in milliseconds.
const longestAnswer = int64(time.Hour / time.Millisecond)

func newRecorder(s Scenario, l *loop) *recorder {
	rec := &recorder{scenario: s, countFrom: l.now.Add(s.Warmup), classes: map[string]*classRecord{}, reachedEngine: map[string]bool{}}
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

func (rec *recorder) arrivedAfterWarmup(r *request) bool { return !r.arrived.Before(rec.countFrom) }

// recordsOf returns the record of the request's class and the tally of its
// team's size.
func (rec *recorder) recordsOf(r *request) (*classRecord, *tally) {
	if r.large {
		return rec.classes[r.kind.class.Name], &rec.large
	}
	return rec.classes[r.kind.class.Name], &rec.small
}

func (rec *recorder) offered(r *request) {
	if !rec.arrivedAfterWarmup(r) {
		return
	}
	c, team := rec.recordsOf(r)
	c.Offered++
	c.tally.offered += r.kind.weight
	team.offered += r.kind.weight
}

func (rec *recorder) refused(r *request, reason verdict.Reason) {
	if rec.arrivedAfterWarmup(r) {
		rec.classes[r.kind.class.Name].Refused[reason]++
	}
}

func (rec *recorder) failed(r *request, reason verdict.Reason) {
	if rec.arrivedAfterWarmup(r) {
		rec.classes[r.kind.class.Name].Failed[reason]++
	}
}

func (rec *recorder) answered(a *activeRequest, now time.Time) {
	r := a.request
	rec.deliveredTokens += int64(r.tokens)
	if !rec.arrivedAfterWarmup(r) {
		return
	}
	c, team := rec.recordsOf(r)
	first, answer := a.firstAt.Sub(r.arrived), now.Sub(r.arrived)
	record(c.first, first)
	record(c.answer, answer)
	c.Answered++
	c.tally.answered += r.kind.weight
	team.answered += r.kind.weight
	targets := r.kind.class.Targets
	between := now.Sub(a.firstAt) / time.Duration(max(1, r.tokens-1))
	if first <= time.Duration(targets.FirstTokenWithin) &&
		between <= time.Duration(targets.BetweenTokensWithin) &&
		answer <= time.Duration(targets.AnsweredWithin) {
		c.Within++
		c.tally.within += r.kind.weight
		team.within += r.kind.weight
	}
}

// record adds a duration to a histogram. A duration over longestAnswer is
// recorded as longestAnswer.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(longestAnswer, d.Milliseconds()))
}

// percent returns part as a percentage of whole, or 0 if whole is 0.
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
	var broken, notRefused int
	for _, k := range s.Deployment.kinds {
		c := rec.classes[k.class.Name]
		c.FirstToken95 = c.first.ValueAtPercentile(95)
		c.Answer95 = c.answer.ValueAtPercentile(95)
		r.Classes = append(r.Classes, c.ClassResult)
		total.offered += c.tally.offered
		broken += sum(c.Failed)
		notRefused += c.Answered + sum(c.Failed)
		total.answered += c.tally.answered
		total.within += c.tally.within
	}
	r.Score = percent(total.within, total.offered)
	r.WithinOfAnswered = percent(total.within, total.answered)
	r.Broken = percent(float64(broken), float64(notRefused))
	r.addEngines(rec, w.engines)
	for _, n := range w.nodes {
		r.Ejections += metrics.GetOrRegisterCounter("router.ejected", n.metrics).Count()
	}
	return r
}

// sum returns the total of counts by reason.
func sum(counts map[verdict.Reason]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// addEngines sets the figures that come from the counters of the engines and
// from the attempts on them.
func (r *Result) addEngines(rec *recorder, engines []*engine) {
	var cached, processed, decoded int64
	for _, e := range engines {
		cached += e.cachedTokens
		processed += e.prefillTokens
		decoded += e.decoded
	}
	r.CachedPrompt = percent(float64(cached), float64(cached+processed))
	r.Amplification = float64(rec.attempts) / float64(max(1, len(rec.reachedEngine)))
	r.WorkAmplification = float64(decoded) / float64(max(1, rec.deliveredTokens))
}
