package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tamarackcleat/tamarackcleat/config/dynamic"
)

// kind is one kind of request in a deployment's traffic.
type kind struct {
	class dynamic.Class
	// weight is what one answer within target counts.
	weight float64
	// share is the part of the requests to its model.
	share float64
	// prompt and answer are median tokens; spread is the standard deviation
	// of their logarithm.
	prompt, answer, spread float64
	// documents is the number of shared prompt prefixes per team.
	documents int
}

// fleet is the engines of one model.
type fleet struct {
	model   string
	engines int
}

// Deployment is one user's engines and traffic.
type Deployment struct {
	// Name is what the command line takes.
	Name   string
	fleets []fleet
	kinds  []kind
}

const (
	// teams is the number of teams; the first largeTeams of them send
	// largeShare of the requests.
	teams      = 10
	largeTeams = 3
	largeShare = 0.75
	// deskEngines is the number of engines for the desk.
	deskEngines = 3
)

func generate(name, model string, longest int, first, between, answered time.Duration) dynamic.Class {
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

// Deployments returns both users' workloads with the given number of engines
// for long generations.
func Deployments(engines int) []Deployment {
	const ms = time.Millisecond
	return []Deployment{{
		Name:   "agency",
		fleets: []fleet{{"draft-70b", engines}, {"desk-13b", deskEngines}},
		kinds: []kind{
			{class: generate("drafting", "draft-70b", 4000, 2*time.Second, 150*ms, 3*time.Minute),
				weight: 1, share: 0.3, prompt: 1500, answer: 800, spread: 0.6, documents: 10},
			{class: generate("quotes", "draft-70b", 400, 430*ms, 53*ms, 10*time.Second),
				weight: 5, share: 0.5, prompt: 600, answer: 80, spread: 0.4, documents: 20},
			{class: generate("lettering", "draft-70b", 1200, time.Second, 100*ms, 45*time.Second),
				weight: 2, share: 0.2, prompt: 900, answer: 300, spread: 0.5, documents: 20},
			{class: generate("booking-desk", "desk-13b", 300, 430*ms, 53*ms, 8*time.Second),
				weight: 5, share: 1, prompt: 400, answer: 70, spread: 0.4, documents: 4},
		},
	}, {
		Name:   "jhalmuri",
		fleets: []fleet{{"phrasebook-70b", engines}, {"desk-13b", deskEngines}},
		kinds: []kind{
			{class: generate("chapters", "phrasebook-70b", 8000, 2*time.Second, 150*ms, 6*time.Minute),
				weight: 2, share: 0.15, prompt: 2500, answer: 2500, spread: 0.5, documents: 10},
			{class: generate("rewrites", "phrasebook-70b", 400, 430*ms, 53*ms, 10*time.Second),
				weight: 2, share: 0.5, prompt: 500, answer: 80, spread: 0.4, documents: 20},
			{class: generate("checks", "phrasebook-70b", 600, time.Second, 100*ms, 30*time.Second),
				weight: 1, share: 0.35, prompt: 3000, answer: 150, spread: 0.5, documents: 5},
			{class: generate("editorial-desk", "desk-13b", 300, 430*ms, 53*ms, 8*time.Second),
				weight: 3, share: 1, prompt: 400, answer: 70, spread: 0.4, documents: 4},
		},
	}}
}

// classes returns the classes of the deployment.
func (d Deployment) classes() []dynamic.Class {
	var classes []dynamic.Class
	for _, k := range d.kinds {
		classes = append(classes, k.class)
	}
	return classes
}

// slotTime returns the mean time that a request of the kind holds a slot in a
// batch that is full by the given part.
func (k kind) slotTime(fill float64) time.Duration {
	mean := math.Exp(k.spread * k.spread / 2)
	perToken := float64(tokenTimeIdle) + fill*float64(tokenTimeFull-tokenTimeIdle)
	return time.Duration(mean * (k.answer*perToken + k.prompt*float64(prefillPerToken)))
}

// arrivals returns the requests a second of a model that fill its slots by the
// given part.
func (d Deployment) arrivals(f fleet, fill float64) float64 {
	var slotTime float64
	for _, k := range d.kinds {
		if k.class.Model == f.model {
			slotTime += k.share * k.slotTime(min(1, fill)).Seconds()
		}
	}
	return fill * float64(f.engines*engineSlots) / slotTime
}

// request is one request of a caller.
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

// traffic draws the requests to one model.
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

// gap draws the time until the next request.
func (t *traffic) gap() time.Duration {
	return time.Duration(t.rng.ExpFloat64() / t.rate * float64(time.Second))
}

// draw draws a request.
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
	// Squaring makes some documents much more common than others.
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

// tokens draws a number of tokens.
func (t *traffic) tokens(median, spread float64, most int) int {
	n := median * math.Exp(spread*t.rng.NormFloat64())
	return min(most, max(1, int(n)))
}
