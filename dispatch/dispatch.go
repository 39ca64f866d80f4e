// Package dispatch selects the upstream for a request, and refuses a request at
// once if no upstream has capacity for it or can answer it in time.
//
// An upstream's load is the sum of the requests that this node has in flight there
// and of those that other nodes last reported. For a replica, the time to the first
// event of an answer is predicted from the load and the engine's configuration. The
// upstream is selected at random, with the shares that would level the predictions
// if all nodes selected so since the loads were reported.
//
// Explain and Pick share the code of the decision; Explain changes nothing that a later
// Pick depends on.
package dispatch

import (
	"cmp"
	"maps"
	"math/rand/v2"
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
	// maxSearched is the number of targets that are considered for one request unless none
	// of them has capacity, so that the cost of a request doesn't grow with the fleet. The
	// best of so many is hardly worse than the best of all.
	maxSearched = 128
	// peerLoadMaxAge is the age up to which the load reported by a peer counts: as long as
	// the peer counts as live.
	peerLoadMaxAge = 1500 * time.Millisecond
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
	// Target is the longest time to the first event with which an answer is in time; 0
	// if that doesn't matter. Waited is how much of it has passed already. A replica at
	// which the first event is predicted to be late is not selected.
	Target, Waited time.Duration
	// Priority is the request's priority; 0 is the most urgent. With a Target, a request
	// gets a replica only if that leaves more urgent ones in time.
	Priority int
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
	assignedAt   time.Time
	// uncorrected is the predicted time to the first event without the correction by
	// the errors of earlier predictions; 0 for a plain service.
	uncorrected time.Duration
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
	// pools holds what was observed of the requests of each pool.
	pools map[pool]*poolStats
	// pauses holds the pauses that upstreams asked this node for.
	pauses *notice.Pauses[fleet.Incarnation]
	// reportDelay returns how long a change of a peer's load takes to become known here.
	reportDelay func() time.Duration
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
	return &Balancer{
		rng: rng, loads: map[targetKey]*load{}, peers: map[string]peerLoad{}, pools: map[pool]*poolStats{}, pauses: notice.NewPauses[fleet.Incarnation](),
		reportDelay: func() time.Duration { return defaultReportDelay }, onPlace: func() {},
	}
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
// one has no capacity; with TooLate, those that have capacity would answer too late, or
// their capacity is needed by requests that can still be answered in time.
const (
	NoShortage Shortage = iota
	NoRoom
	AllPaused
	TooLate
)

// candidate is a target that has capacity for a request. score is the value by which
// candidates are compared, the lowest being the best; step is by how much one more request
// raises it.
type candidate struct {
	target      *fleet.Target
	score, step time.Duration
	uncorrected time.Duration
	load        Load
}

// compareScores orders candidates by their scores.
func compareScores(a, b candidate) int { return cmp.Compare(a.score, b.score) }

// Pick selects a target and counts the request there. Targets that failed lately are
// considered only if no other one has capacity. If it selects none, the shortage is the
// one at the moment of the search; with TooLate, the Assignment describes the target with
// the best prediction and counts nowhere.
func (b *Balancer) Pick(now time.Time, engine *fleet.Engine, targets []fleet.Target, r Request) (Assignment, Shortage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	search := b.newSearch(now, engine, targets, r)
	s := search.selection(search.anyCandidates)
	if engine != nil && len(s.found) > 0 {
		b.poolOf(targets[0]).recordArrival(now, r)
	}
	switch s.shortage {
	case NoShortage:
	case TooLate:
		return s.closest(), TooLate
	default:
		return Assignment{}, s.shortage
	}
	best := choose(b.rng, s.admitted, search.unreported(s.admitted))
	l := b.loadOf(*best.target)
	if l.inFlight == 0 {
		l.lastProgress = now
	}
	l.inFlight++
	l.pendingPromptTokens += r.PromptTokens
	return Assignment{
		Target: *best.target, Load: best.load.InFlight + 1, PendingPromptTokens: best.load.PendingPromptTokens + r.PromptTokens,
		Predicted: best.score, PeerLoadAge: b.oldestPeerLoadAge(now), promptTokens: r.PromptTokens,
		assignedAt: now, uncorrected: best.uncorrected,
	}, NoShortage
}

// TotalLoad returns the load of all nodes together on a target, as far as this node knows.
func (b *Balancer) TotalLoad(now time.Time, t fleet.Target) Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total(now, t)
}

// total returns the load on a target: this node's plus those that peers reported
// within peerLoadMaxAge.
func (b *Balancer) total(now time.Time, t fleet.Target) Load {
	return sumLoads(b.loads[keyOf(t)], t.ID, b.recentReports(now))
}

// recentReports returns the loads that peers reported within peerLoadMaxAge.
func (b *Balancer) recentReports(now time.Time) []map[string]Load {
	out := make([]map[string]Load, 0, len(b.peers))
	for _, p := range b.peers {
		if now.Sub(p.receivedAt) <= peerLoadMaxAge {
			out = append(out, p.loads)
		}
	}
	return out
}

// sumLoads returns the sum of this node's load on a VM, which may be nil, and the reported
// ones.
func sumLoads(own *load, vm string, reports []map[string]Load) Load {
	var sum Load
	if own != nil {
		sum = Load{InFlight: own.inFlight, PendingPromptTokens: own.pendingPromptTokens}
	}
	for _, loads := range reports {
		sum = sum.plus(loads[vm])
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

// candidate returns a target as a candidate, given this node's load there, which may be nil.
// It reports false if the target's queue is full. The score for a replica is the predicted
// time to the first event, with a penalty if the replica is about to end; for a plain
// service it grows with the number of requests.
func (s *search) candidate(t *fleet.Target, own *load) (candidate, bool) {
	c := candidate{target: t, load: sumLoads(own, t.ID, s.reports)}
	if s.engine == nil {
		waiting := c.load.InFlight + 1 - t.Slots
		c.score, c.step = time.Duration(c.load.InFlight)*plainStep, plainStep
		return c, waiting <= t.Slots*queuedPerSlot
	}
	if c.load.InFlight+1 > t.Slots+t.Slots/replicaQueueDivisor {
		return c, false
	}
	c.uncorrected = s.predictor.firstEvent(c.load, s.request.PromptTokens)
	c.step = max(minStep, s.predictor.firstEvent(c.load.plus(s.stats.typical()), s.request.PromptTokens)-c.uncorrected)
	c.score = max(0, c.uncorrected+s.stats.error)
	if t.MemberLeavingSince > 0 {
		c.score += endingPenalty
	}
	if s.request.Failover {
		c.score += time.Duration(s.rng.Int64N(int64(failoverJitter)))
	}
	return c, true
}

const (
	// plainStep is the score of one request at a VM of a plain service, whose requests are
	// not predicted.
	plainStep = time.Millisecond
	// minStep is the least step of a candidate's score.
	minStep = 100 * time.Microsecond
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
		b.poolOf(a.Target).recordFirstEvent(now, a)
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
	if a.promptRead || a.uncorrected == 0 {
		b.poolOf(a.Target).recordEnd(now, a)
	}
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

// ForgetSuspects takes back that upstreams failed at a time or later.
func (b *Balancer) ForgetSuspects(since time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range b.loads {
		if !l.suspectedUntil.Before(since.Add(suspectDuration)) {
			l.suspectedUntil = time.Time{}
		}
	}
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
