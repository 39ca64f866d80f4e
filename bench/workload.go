package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tamarackcleat/tamarackcleat/config/dynamic"
)

// kind is one kind of request in a deployment's traffic; each kind has a class
// of its own.
type kind struct {
	class dynamic.Class
	// weight is the weight of one request in the score.
	weight float64
	// share is the fraction of the requests to the class's model that are of
	// this kind.
	share float64
	// prompt and answer are the median lengths of the prompt and the answer in
	// tokens. spread is the standard deviation of the natural logarithm of
	// both.
	prompt, answer, spread float64
	// documents is the number of documents of each team; the prompts about one
	// document share a prefix.
	documents int
}

// fleet describes the engines that serve one model.
type fleet struct {
	model   string
	engines int
}

// Deployment describes the engines and the traffic of one user of the system.
type Deployment struct {
	// Name identifies the deployment in results.
	Name   string
	fleets []fleet
	kinds  []kind
}

const (
	// teams is the number of teams. The first largeTeams of them together send
	// the fraction largeShare of the requests.
	teams      = 10
	largeTeams = 3
	largeShare = 0.75
	// deskEngines is the number of engines that serve the desk model.
	deskEngines = 3
)

func generateClass(name, model string, longest int, first, between, answered time.Duration) dynamic.Class {
	return dynamic.Class{
		Name: name, Kind: dynamic.KindGenerate, Model: model, LongestAnswer: dynamic.Tokens(longest),
		Targets: dynamic.Targets{
			FirstTokenWithin:    dynamic.Duration(first),
			BetweenTokensWithin: dynamic.Duration(between),
			AnsweredWithin:      dynamic.Duration(answered),
			RequestShare:        dynamic.Share(95),
		},
	}
}

// Deployments returns the deployments "agency" and "jhalmuri", each with the given
// number of engines for its model for long generations.
func Deployments(engines int) []Deployment {
	const ms = time.Millisecond
	return []Deployment{{
		Name:   "agency",
		fleets: []fleet{{"draft-70b", engines}, {"desk-13b", deskEngines}},
		kinds: []kind{
			{class: generateClass("drafting", "draft-70b", 4000, 2*time.Second, 150*ms, 3*time.Minute),
				weight: 1, share: 0.3, prompt: 1500, answer: 800, spread: 0.6, documents: 10},
			{class: generateClass("quotes", "draft-70b", 400, 430*ms, 53*ms, 10*time.Second),
				weight: 5, share: 0.5, prompt: 600, answer: 80, spread: 0.4, documents: 20},
			{class: generateClass("lettering", "draft-70b", 1200, time.Second, 100*ms, 45*time.Second),
				weight: 2, share: 0.2, prompt: 900, answer: 300, spread: 0.5, documents: 20},
			{class: generateClass("booking-desk", "desk-13b", 300, 430*ms, 53*ms, 8*time.Second),
				weight: 5, share: 1, prompt: 400, answer: 70, spread: 0.4, documents: 4},
		},
	}, {
		Name:   "jhalmuri",
		fleets: []fleet{{"phrasebook-70b", engines}, {"desk-13b", deskEngines}},
		kinds: []kind{
			{class: generateClass("chapters", "phrasebook-70b", 8000, 2*time.Second, 150*ms, 6*time.Minute),
				weight: 2, share: 0.15, prompt: 2500, answer: 2500, spread: 0.5, documents: 10},
			{class: generateClass("rewrites", "phrasebook-70b", 400, 430*ms, 53*ms, 10*time.Second),
				weight: 2, share: 0.5, prompt: 500, answer: 80, spread: 0.4, documents: 20},
			{class: generateClass("checks", "phrasebook-70b", 600, time.Second, 100*ms, 30*time.Second),
				weight: 1, share: 0.35, prompt: 3000, answer: 150, spread: 0.5, documents: 5},
			{class: generateClass("editorial-desk", "desk-13b", 300, 430*ms, 53*ms, 8*time.Second),
				weight: 3, share: 1, prompt: 400, answer: 70, spread: 0.4, documents: 4},
		},
	}}
}

// classes returns the class of each kind of request in the deployment.
func (d Deployment) classes() []dynamic.Class {
	var classes []dynamic.Class
	for _, k := range d.kinds {
		classes = append(classes, k.class)
	}
	return classes
}

// slotTime returns the mean time that a request of the kind occupies a slot in a
// batch of which the fraction fill is in use.
func (k kind) slotTime(fill float64) time.Duration {
	mean := math.Exp(k.spread * k.spread / 2)
	perToken := float64(tokenTimeIdle) + fill*float64(tokenTimeFull-tokenTimeIdle)
	return time.Duration(mean * (k.answer*perToken + k.prompt*float64(prefillPerToken)))
}

// arrivals returns the rate of requests to a model, in requests per second, that
// keeps the fraction fill of its slots in use.
func (d Deployment) arrivals(f fleet, fill float64) float64 {
	var slotTime float64
	for _, k := range d.kinds {
		if k.class.Model == f.model {
			slotTime += k.share * k.slotTime(min(1, fill)).Seconds()
		}
	}
	return fill * float64(f.engines*engineSlots) / slotTime
}

// request is one request of a caller. prompt and tokens are the lengths of its
// prompt and of its whole answer in tokens, and prefixes holds the hashes of its
// shared prompt prefixes, longest first.
type request struct {
	id       string
	kind     *kind
	team     string
	large    bool
	prompt   int
	tokens   int
	prefixes []uint64
	arrived  time.Time
}

// traffic generates random requests to one model, at rate requests per second.
type traffic struct {
	rng   *rand.Rand
	kinds []*kind
	rate  float64
	drawn int
	model string
}

func (d Deployment) traffic(f fleet, rate float64, rng *rand.Rand) *traffic {
	t := &traffic{rng: rng, rate: rate, model: f.model}
	for i := range d.kinds {
		if d.kinds[i].class.Model == f.model {
			t.kinds = append(t.kinds, &d.kinds[i])
		}
	}
	return t
}

// interarrivalTime returns a random, exponentially distributed time until the
// next request.
func (t *traffic) interarrivalTime() time.Duration {
	return time.Duration(t.rng.ExpFloat64() / t.rate * float64(time.Second))
}

// draw returns a random request that arrives now.
func (t *traffic) draw(now time.Time) *request {
	t.drawn++
	k := t.drawKind()
	team := t.drawTeam()
	r := &request{
		id: fmt.Sprintf("%s-%d", t.model, t.drawn), kind: k, arrived: now,
		team: fmt.Sprintf("team-%d", team), large: team < largeTeams,
		prompt: t.tokens(k.prompt, k.spread, math.MaxInt32),
		tokens: t.tokens(k.answer, k.spread, int(k.class.LongestAnswer)),
	}
	// The square makes some documents much more frequent than others.
	u := t.rng.Float64()
	document := int(u * u * float64(k.documents))
	shared := fmt.Sprintf("%s/%d", k.class.Name, team)
	whole := fmt.Sprintf("%s/%d", shared, document)
	r.prefixes = []uint64{xxhash.Sum64String(whole), xxhash.Sum64String(shared)}
	return r
}

func (t *traffic) drawKind() *kind {
	u := t.rng.Float64()
	for _, k := range t.kinds {
		if u -= k.share; u < 0 {
			return k
		}
	}
	return t.kinds[len(t.kinds)-1]
}

func (t *traffic) drawTeam() int {
	if t.rng.Float64() < largeShare {
		return t.rng.IntN(largeTeams)
	}
	return largeTeams + t.rng.IntN(teams-largeTeams)
}

// tokens returns a random, log-normally distributed number of tokens between 1
// and limit.
func (t *traffic) tokens(median, spread float64, limit int) int {
	n := median * math.Exp(spread*t.rng.NormFloat64())
	return min(limit, max(1, int(n)))
}
