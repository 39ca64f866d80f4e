// Package dispatch selects the upstream for a request, and refuses a request at
// once if no upstream has capacity for it.
//
// An upstream's load is the sum of the requests that this node has in flight there
// and of those that other nodes last reported. For a replica, the time to the first
// event of an answer is predicted from the load and the engine's configuration; the
// upstream with the shortest predicted time is selected.
package dispatch

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/tamarackcleat/tamarackcleat/fleet"
	"github.com/tamarackcleat/tamarackcleat/notice"
)

const (
	// suspectDuration is how long an upstream that failed is selected only if no
	// other one can be. A model engine that has crashed stays listed as an upstream
	// until its report expires, after about three heartbeats.
	suspectDuration = 2 * time.Second
	// peerLoadMaxAge is the age up to which the load reported by a peer counts.
	peerLoadMaxAge = time.Second
)

// Request describes a request for which an upstream is to be selected.
type Request struct {
	// PromptTokens is the length of the prompt in tokens; 0 for a plain service,
	// which has no model engine.
	PromptTokens int
	// Exclude lists the instances (fleet.Target.InstanceKey) of upstreams that
	// the request was sent to before.
	Exclude []string
	// NeverPaused leaves only upstreams that are neither in a pause nor in the steps
	// after one; their places belong to requests that wait for them.
	NeverPaused bool
	// Failover reports whether the request was moved away from a stalled upstream.
	// All nodes move their requests away from it at the same moment, so the scores
	// of such requests have a larger random part (failoverJitter).
	Failover bool
}

// Assignment counts a request as in flight at an upstream until it is passed to
// Done.
type Assignment struct {
	Target fleet.Target
	// Load is the number of requests that are known to be at the upstream, this
	// one included. PendingPromptTokens is the sum of the prompt tokens of
	// those whose first event has not come.
	Load, PendingPromptTokens int
	// Predicted is the score by which the upstream was selected: for a replica,
	// the predicted time to the first event.
	Predicted time.Duration
	// PeerLoadAge is the age of the oldest report of a peer's loads that was
	// used.
	PeerLoadAge  time.Duration
	promptTokens int
	promptRead   bool
}

// load is this node's load on one upstream, and what the node last observed of the
// upstream.
type load struct {
	// inFlight counts the requests that this node has in flight at the upstream.
	inFlight int
	// generating counts those of them whose first event has come.
	// pendingPromptTokens is the sum of the prompt tokens of the others.
	// lastProgress is when the upstream last sent something for a request, or
	// when it got a request while it had none of this node in flight.
	// suspectedUntil is suspectDuration after the upstream's latest failure; until
	// then it is selected only if no other upstream can be.
	generating          int
	pendingPromptTokens int
	lastProgress        time.Time
	suspectedUntil      time.Time
}

// targetKey identifies an upstream. It changes when the VM restarts or gets another
// replica, so that loads are not carried over.
type targetKey struct {
	id      string
	boot    int64
	replica string
}

// Balancer tracks the loads of all upstreams. It is safe for concurrent use.
type Balancer struct {
	mu  sync.Mutex
	rng *rand.Rand
	// loads holds this node's loads.
	loads map[targetKey]*load
	// peers holds the loads that peers reported, by the id of the peer's process.
	peers map[string]peerLoad
	// pauses holds the pauses that upstreams asked this node for.
	pauses *notice.Pauses[fleet.Incarnation]
	// onPlace is called when a request has ended at an upstream that may run only few.
	onPlace func()
}

// peerLoad holds the loads that a peer reported last, by the id of the VM that takes
// an upstream's requests.
type peerLoad struct {
	receivedAt time.Time
	loads      map[string]Load
}

// Load is a node's load on one upstream.
type Load struct {
	// InFlight counts requests. PendingPromptTokens is the sum of the prompt
	// tokens of those whose first event has not come.
	InFlight            int `json:"n"`
	PendingPromptTokens int `json:"u,omitempty"`
}

// New returns a Balancer without loads. It draws random numbers from rng, which must
// not be used concurrently by others.
func New(rng *rand.Rand) *Balancer {
	return &Balancer{rng: rng, loads: map[targetKey]*load{}, peers: map[string]peerLoad{}, pauses: notice.NewPauses[fleet.Incarnation](), onPlace: func() {}}
}

func keyOf(t fleet.Target) targetKey { return targetKey{t.ID, t.Boot, t.Replica} }

// loadOf returns this node's load on a target, and creates it if there is none.
func (b *Balancer) loadOf(t fleet.Target) *load {
	k := keyOf(t)
	l, ok := b.loads[k]
	if !ok {
		l = &load{}
		b.loads[k] = l
	}
	return l
}

// Shortage says why a request could not be assigned to a target.
type Shortage int

// Shortages. With AllPaused, nothing but pauses, or the steps after them, keeps the request
// from all targets that are not excluded; with NoRoom, all targets are excluded or at least
// one has no capacity.
const (
	NoShortage Shortage = iota
	NoRoom
	AllPaused
)

// Pick selects the target with the best score and counts the request there. Targets
// that failed lately are considered only if no other one can be selected. If it selects
// none, the shortage is the one at the moment of the search.
func (b *Balancer) Pick(now time.Time, engine *fleet.Engine, targets []fleet.Target, r Request) (Assignment, Shortage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	best, found := fleet.Target{}, false
	var bestScore time.Duration
	for pass := 0; pass < 2 && !found; pass++ {
		for _, t := range targets {
			if slices.Contains(r.Exclude, t.InstanceKey()) || pass == 0 && b.isSuspect(now, t) || !b.hasPlace(now, t, r.NeverPaused) {
				continue
			}
			score, ok := b.score(now, engine, t, r)
			if ok && (!found || score < bestScore) {
				best, bestScore, found = t, score, true
			}
		}
	}
	if !found {
		if _, all := b.nextPlace(now, targets, r.Exclude); all {
			return Assignment{}, AllPaused
		}
		return Assignment{}, NoRoom
	}
	l := b.loadOf(best)
	if l.inFlight == 0 {
		l.lastProgress = now
	}
	l.inFlight++
	l.pendingPromptTokens += r.PromptTokens
	sum := b.total(now, best)
	return Assignment{
		Target: best, Load: sum.InFlight, PendingPromptTokens: sum.PendingPromptTokens, Predicted: bestScore, PeerLoadAge: b.oldestPeerLoadAge(now), promptTokens: r.PromptTokens,
	}, NoShortage
}

// isSuspect reports whether a target failed less than suspectDuration ago.
func (b *Balancer) isSuspect(now time.Time, t fleet.Target) bool {
	l, ok := b.loads[keyOf(t)]
	return ok && now.Before(l.suspectedUntil)
}

// total returns the load on a target: this node's plus those that peers reported
// within peerLoadMaxAge.
func (b *Balancer) total(now time.Time, t fleet.Target) Load {
	var sum Load
	if l, ok := b.loads[keyOf(t)]; ok {
		sum = Load{InFlight: l.inFlight, PendingPromptTokens: l.pendingPromptTokens}
	}
	for _, p := range b.peers {
		if now.Sub(p.receivedAt) > peerLoadMaxAge {
			continue
		}
		sum.InFlight += p.loads[t.ID].InFlight
		sum.PendingPromptTokens += p.loads[t.ID].PendingPromptTokens
	}
	return sum
}

// oldestPeerLoadAge returns the age of the oldest report of a peer's loads that still
// counts; 0 if there is none.
func (b *Balancer) oldestPeerLoadAge(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, p := range b.peers {
		if age := now.Sub(p.receivedAt); age <= peerLoadMaxAge {
			oldest = max(oldest, age)
		}
	}
	return oldest
}

// score returns the value by which targets are compared, the lowest being the best,
// and reports false for a target whose queue is full. For a replica it is the
// predicted time to the first event, with a random part and a penalty if the replica
// is about to end; for a plain service it grows with the number of requests.
func (b *Balancer) score(now time.Time, engine *fleet.Engine, t fleet.Target, r Request) (time.Duration, bool) {
	sum := b.total(now, t)
	maxJitter := tieBreakJitter
	if r.Failover {
		maxJitter = failoverJitter
	}
	jitter := time.Duration(b.rng.Int64N(int64(maxJitter)))
	if engine == nil {
		waiting := sum.InFlight + 1 - t.Slots
		return time.Duration(sum.InFlight)*time.Millisecond + jitter, waiting <= t.Slots*queuedPerSlot
	}
	if sum.InFlight+1 > t.Slots+t.Slots/replicaQueueDivisor {
		return 0, false
	}
	predicted := Predict(engine, t.Model, sum, r) + jitter
	if t.MemberLeavingSince > 0 {
		predicted += endingPenalty
	}
	return predicted, true
}

const (
	// tieBreakJitter bounds the random part of a score, which spreads requests
	// over upstreams whose predictions are about equal.
	tieBreakJitter = 20 * time.Millisecond
	// failoverJitter bounds the random part of the score of a moved request. It
	// is about the time that an engine takes to process the prompts of the
	// requests that other nodes move at the same moment.
	failoverJitter = 100 * time.Millisecond
	// endingPenalty is added to the score of a replica that is about to end.
	// Requests still running when it ends are moved and wait again for a first
	// event, 0.11 s at a lightly loaded replica.
	endingPenalty = 100 * time.Millisecond
	// queuedPerSlot is how many requests may wait at a plain service's VM for
	// each of its slots.
	queuedPerSlot = 2
	// replicaQueueDivisor determines how many requests may wait at a replica whose
	// slots are all taken: its number of slots divided by replicaQueueDivisor.
	replicaQueueDivisor = 8
)

// Predict returns the predicted time to the first event of a request at a replica
// that has load l without the request.
func Predict(engine *fleet.Engine, model string, l Load, r Request) time.Duration {
	m, ok := engine.Model(model)
	if !ok {
		m.TimeFactor = 1
	}
	step := engine.StepTime + time.Duration(l.InFlight)*engine.StepTimePerRequest
	eventInterval := time.Duration(engine.StepsPerEvent) * step
	promptTime := time.Duration(0)
	if engine.PromptTokensPerSecond > 0 {
		promptTime = time.Duration(float64(l.PendingPromptTokens+r.PromptTokens) / engine.PromptTokensPerSecond * float64(time.Second))
	}
	queueTime := time.Duration(0)
	if queued := l.InFlight + 1 - engine.Slots; queued > 0 {
		queueTime = time.Duration(queued) * eventInterval
	}
	return time.Duration(float64(eventInterval+promptTime+queueTime) * m.TimeFactor)
}

// RecordFirstEvent records that the first event of a request's answer has come,
// so its prompt was processed. Later calls for the same Assignment only record
// progress.
func (b *Balancer) RecordFirstEvent(now time.Time, a *Assignment) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.loadOf(a.Target)
	l.lastProgress = now
	if !a.promptRead {
		a.promptRead = true
		l.pendingPromptTokens -= a.promptTokens
		l.generating++
	}
}

// RecordProgress records that a request's upstream sent something.
func (b *Balancer) RecordProgress(now time.Time, a *Assignment) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loadOf(a.Target).lastProgress = now
}

// Done stops counting a request as in flight. It must be called once for each
// Assignment.
func (b *Balancer) Done(now time.Time, a *Assignment) {
	b.mu.Lock()
	limited := b.pauses.Limit(now, a.Target.Incarnation()) != notice.Unlimited
	b.done(now, a)
	b.mu.Unlock()
	if limited {
		b.onPlace()
	}
}

func (b *Balancer) done(now time.Time, a *Assignment) {
	l := b.loadOf(a.Target)
	l.inFlight--
	if a.promptRead {
		l.generating--
	} else {
		l.pendingPromptTokens -= a.promptTokens
	}
	if l.inFlight == 0 && now.After(l.suspectedUntil) {
		delete(b.loads, keyOf(a.Target))
	}
}

// MarkSuspect records that an upstream failed. For suspectDuration it is selected
// only if no other one can be.
func (b *Balancer) MarkSuspect(now time.Time, t fleet.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loadOf(t).suspectedUntil = now.Add(suspectDuration)
}

// StallTimeouts holds the times without progress after which an upstream counts as
// stalled: Decode applies if it has begun to answer a request of this node, Prefill
// if it has not begun to answer any.
type StallTimeouts struct{ Decode, Prefill time.Duration }

// Silent returns those of the targets that have requests of this node in flight and
// have sent nothing to it for longer than the limit that applies.
func (b *Balancer) Silent(now time.Time, targets []fleet.Target, limits StallTimeouts) []fleet.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []fleet.Target
	for _, t := range targets {
		l, ok := b.loads[keyOf(t)]
		if !ok || l.inFlight == 0 {
			continue
		}
		limit := limits.Prefill
		if l.generating > 0 {
			limit = limits.Decode
		}
		if now.Sub(l.lastProgress) > limit {
			out = append(out, t)
		}
	}
	return out
}

// HasRequests reports whether this node has requests in flight at a VM.
func (b *Balancer) HasRequests(vm string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, l := range b.loads {
		if key.id == vm && l.inFlight > 0 {
			return true
		}
	}
	return false
}

// LocalLoads returns this node's loads by the id of the VM that takes the requests,
// without idle upstreams.
func (b *Balancer) LocalLoads() map[string]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]Load, len(b.loads))
	for k, l := range b.loads {
		if l.inFlight > 0 {
			out[k.id] = Load{InFlight: l.inFlight, PendingPromptTokens: l.pendingPromptTokens}
		}
	}
	return out
}

// SetPeerLoads replaces the known loads of a peer by the reported ones.
func (b *Balancer) SetPeerLoads(now time.Time, peer string, loads map[string]Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers[peer] = peerLoad{receivedAt: now, loads: loads}
}

// UpdatePeerLoads updates the known loads of a peer by those that have changed.
func (b *Balancer) UpdatePeerLoads(now time.Time, peer string, loads map[string]Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.peers[peer]
	merged := maps.Clone(known.loads)
	if merged == nil {
		merged = make(map[string]Load, len(loads))
	}
	maps.Copy(merged, loads)
	b.peers[peer] = peerLoad{receivedAt: now, loads: merged}
}
