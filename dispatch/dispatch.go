// Package dispatch selects the upstream for a request and decides whether to
// take the request at all.
//
// A replica's load is what this node has sent there and not seen end, plus what
// other nodes said of theirs. The predicted time to the first event follows
// from it and the engine's figures; a request for which no upstream has room is
// refused at once.
package dispatch

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/tamarackcleat/tamarackcleat/fleet"
)

const (
	// suspectFor is how long an upstream that failed is left out unless
	// nothing else is there. A crashed engine's entry lapses after about
	// three heartbeats.
	suspectFor = 2 * time.Second
	// peerLoadFor is the age up to which a peer's word of its load counts.
	peerLoadFor = time.Second
)

// Job is what a request asks of an upstream.
type Job struct {
	// PromptTokens is the size of the prompt; 0 for a plain service.
	PromptTokens int
	// Exclude lists the instances of upstreams that were tried before.
	Exclude []string
	// Moved says that the request was moved away from an upstream that
	// stands still. All nodes move theirs at the same moment.
	Moved bool
}

// Ticket is a request's place at an upstream. Each is ended by Done.
type Ticket struct {
	Target fleet.Target
	// Load is the number of requests there, this one included, Unread the
	// number of their prompt tokens without a first event.
	Load, Unread int
	// Predicted is the time to the first event as it was predicted.
	Predicted time.Duration
	// Age is the age of the oldest peer's word that was used.
	Age    time.Duration
	prompt int
	read   bool
}

// load is what is known of one upstream.
type load struct {
	inFlight int
	// writing counts requests whose first event has come.
	writing   int
	unread    int
	progress  time.Time
	suspected time.Time
}

// key identifies one life of an upstream.
type key struct {
	id      string
	boot    int64
	replica string
}

// Balancer keeps the loads of all upstreams. It is safe for concurrent use.
type Balancer struct {
	mu    sync.Mutex
	rng   *rand.Rand
	loads map[key]*load
	peers map[string]peerLoad
}

// peerLoad is a peer's load by head VM.
type peerLoad struct {
	at    time.Time
	loads map[string]Load
}

// Load is a node's load on one upstream.
type Load struct {
	// InFlight counts requests, Unread the prompt tokens of those without a
	// first event.
	InFlight int `json:"n"`
	Unread   int `json:"u,omitempty"`
}

// New returns a Balancer without loads.
func New(rng *rand.Rand) *Balancer {
	return &Balancer{rng: rng, loads: map[key]*load{}, peers: map[string]peerLoad{}}
}

func keyOf(t fleet.Target) key { return key{t.ID, t.Boot, t.Replica} }

func (b *Balancer) of(t fleet.Target) *load {
	k := keyOf(t)
	l, ok := b.loads[k]
	if !ok {
		l = &load{}
		b.loads[k] = l
	}
	return l
}

// Pick takes a place at the best of the targets. It reports false if all are
// excluded or none has room.
func (b *Balancer) Pick(now time.Time, engine *fleet.Engine, targets []fleet.Target, j Job) (Ticket, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	best, found := fleet.Target{}, false
	var bestScore time.Duration
	for pass := 0; pass < 2 && !found; pass++ {
		for _, t := range targets {
			if slices.Contains(j.Exclude, t.Instance()) || pass == 0 && b.suspect(now, t) {
				continue
			}
			score, ok := b.score(now, engine, t, j)
			if ok && (!found || score < bestScore) {
				best, bestScore, found = t, score, true
			}
		}
	}
	if !found {
		return Ticket{}, false
	}
	l := b.of(best)
	if l.inFlight == 0 {
		l.progress = now
	}
	l.inFlight++
	l.unread += j.PromptTokens
	sum := b.total(now, best)
	return Ticket{
		Target: best, Load: sum.InFlight, Unread: sum.Unread, Predicted: bestScore, Age: b.peersAge(now), prompt: j.PromptTokens,
	}, true
}

// suspect reports whether a target failed lately.
func (b *Balancer) suspect(now time.Time, t fleet.Target) bool {
	l, ok := b.loads[keyOf(t)]
	return ok && now.Before(l.suspected)
}

// total adds the peers' loads to this node's.
func (b *Balancer) total(now time.Time, t fleet.Target) Load {
	var sum Load
	if l, ok := b.loads[keyOf(t)]; ok {
		sum = Load{InFlight: l.inFlight, Unread: l.unread}
	}
	for _, p := range b.peers {
		if now.Sub(p.at) > peerLoadFor {
			continue
		}
		sum.InFlight += p.loads[t.ID].InFlight
		sum.Unread += p.loads[t.ID].Unread
	}
	return sum
}

// peersAge returns the age of the oldest peer's word that counts.
func (b *Balancer) peersAge(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, p := range b.peers {
		if age := now.Sub(p.at); age <= peerLoadFor {
			oldest = max(oldest, age)
		}
	}
	return oldest
}

// score predicts the time to the first event in a way that orders targets; it
// reports false for a target whose queue is full.
func (b *Balancer) score(now time.Time, engine *fleet.Engine, t fleet.Target, j Job) (time.Duration, bool) {
	sum := b.total(now, t)
	spread := tieBreak
	if j.Moved {
		spread = movedSpread
	}
	jitter := time.Duration(b.rng.Int64N(int64(spread)))
	if engine == nil {
		waiting := sum.InFlight + 1 - t.Slots
		return time.Duration(sum.InFlight)*time.Millisecond + jitter, waiting <= t.Slots*queueSlots
	}
	if sum.InFlight+1 > t.Slots+t.Slots/queuePart {
		return 0, false
	}
	predicted := Predict(engine, t.Model, sum, j) + jitter
	if t.EndingSince > 0 {
		predicted += endingPenalty
	}
	return predicted, true
}

const (
	// tieBreak is the random part of a score; it spreads requests over
	// upstreams whose predictions are about equal.
	tieBreak = 20 * time.Millisecond
	// movedSpread is that of moved requests: about the time to read the
	// prompts of those that other nodes move meanwhile.
	movedSpread = 100 * time.Millisecond
	// endingPenalty is added to a replica that ends soon: what still runs there
	// then moves, and waits for a first event elsewhere, 0.11 s where little runs
	// (trouble-1 of anpes-booking-grown).
	endingPenalty = 100 * time.Millisecond
	// queueSlots times its slots is the number of requests that may wait at a
	// plain service's VM.
	queueSlots = 2
	// queuePart is the part of a replica's slots that may wait besides.
	queuePart = 8
)

// Predict returns the time to the first event on a replica with a load.
func Predict(engine *fleet.Engine, model string, l Load, j Job) time.Duration {
	m, ok := engine.Model(model)
	if !ok {
		m.Pace = 1
	}
	step := engine.Step + time.Duration(l.InFlight)*engine.PerRequest
	pass := time.Duration(engine.Stride) * step
	read := time.Duration(0)
	if engine.ReadPerSecond > 0 {
		read = time.Duration(float64(l.Unread+j.PromptTokens) / engine.ReadPerSecond * float64(time.Second))
	}
	wait := time.Duration(0)
	if over := l.InFlight + 1 - engine.Slots; over > 0 {
		wait = time.Duration(over) * pass
	}
	return time.Duration(float64(pass+read+wait) * m.Pace)
}

// FirstEvent notes that a request's prompt was read.
func (b *Balancer) FirstEvent(now time.Time, t *Ticket) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.of(t.Target)
	l.progress = now
	if !t.read {
		t.read = true
		l.unread -= t.prompt
		l.writing++
	}
}

// Progress notes that an upstream sent something.
func (b *Balancer) Progress(now time.Time, t *Ticket) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(t.Target).progress = now
}

// Done gives a place back.
func (b *Balancer) Done(now time.Time, t *Ticket) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.of(t.Target)
	l.inFlight--
	if t.read {
		l.writing--
	} else {
		l.unread -= t.prompt
	}
	if l.inFlight == 0 && now.After(l.suspected) {
		delete(b.loads, keyOf(t.Target))
	}
}

// Suspect leaves an upstream out for a while.
func (b *Balancer) Suspect(now time.Time, t fleet.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(t).suspected = now.Add(suspectFor)
}

// Limits are the silences after which an upstream stands still: Writing with a
// request that it is answering, Reading with none of which it has begun to.
type Limits struct{ Writing, Reading time.Duration }

// Silent returns the upstreams with requests of this node that have sent
// nothing for longer than a limit.
func (b *Balancer) Silent(now time.Time, targets []fleet.Target, limits Limits) []fleet.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []fleet.Target
	for _, t := range targets {
		l, ok := b.loads[keyOf(t)]
		if !ok || l.inFlight == 0 {
			continue
		}
		limit := limits.Reading
		if l.writing > 0 {
			limit = limits.Writing
		}
		if now.Sub(l.progress) > limit {
			out = append(out, t)
		}
	}
	return out
}

// Own returns this node's loads by VM.
func (b *Balancer) Own() map[string]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]Load, len(b.loads))
	for k, l := range b.loads {
		if l.inFlight > 0 {
			out[k.id] = Load{InFlight: l.inFlight, Unread: l.unread}
		}
	}
	return out
}

// Heard takes over a peer's loads.
func (b *Balancer) Heard(now time.Time, peer string, loads map[string]Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers[peer] = peerLoad{at: now, loads: loads}
}

// HeardChanges takes over those of a peer's loads that have changed.
func (b *Balancer) HeardChanges(now time.Time, peer string, loads map[string]Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.peers[peer]
	merged := maps.Clone(known.loads)
	if merged == nil {
		merged = make(map[string]Load, len(loads))
	}
	maps.Copy(merged, loads)
	b.peers[peer] = peerLoad{at: now, loads: merged}
}
