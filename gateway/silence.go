package gateway

import (
	"sync"
	"time"

	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/dispatch"
	"github.com/tamarackcleat/tamarackcleat/fleet"
	"github.com/tamarackcleat/tamarackcleat/reach"
)

// silenceRecord holds when this node last found that the upstreams of VMs send nothing.
// It is safe for concurrent use.
type silenceRecord struct {
	mu       sync.Mutex
	silentAt map[string]time.Time
}

func newSilenceRecord() *silenceRecord { return &silenceRecord{silentAt: map[string]time.Time{}} }

// add records that a VM's upstream sends nothing. It reports whether this was
// not yet recorded within the last silentTTL.
func (r *silenceRecord) add(now time.Time, vm string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, known := r.silentAt[vm]
	r.silentAt[vm] = now
	return !known || now.Sub(at) > silentTTL
}

// recent returns the VMs that were recorded as silent within the last
// silentTTL.
func (r *silenceRecord) recent(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for vm, at := range r.silentAt {
		if now.Sub(at) > silentTTL {
			delete(r.silentAt, vm)
			continue
		}
		out = append(out, vm)
	}
	return out
}

// silentTTL is how long a silent upstream is reported to peers after it was last found
// silent.
const silentTTL = 500 * time.Millisecond

// moveFromSilent suspects replicas that have sent nothing for too long and moves
// requests away from them, and from plain services that are slow.
func (n *Node) moveFromSilent(now time.Time) {
	v := n.state.View()
	if v.Config == nil {
		return
	}
	for name, s := range v.Config.Services {
		if s.Engine == nil {
			continue
		}
		for _, m := range s.Engine.Models {
			limits := silenceLimits(s.Engine, m)
			n.probeEarly(now, v.Targets(name, m.Name), limits)
			for _, t := range n.balancer.Silent(now, v.Targets(name, m.Name), limits) {
				n.suspectSilent(now, t)
			}
		}
	}
	n.moveDue(now)
}

// moveDue moves the attempts at silent replicas and the slow ones. An attempt that can't
// be moved now is considered again at the next call, also if its replica is no longer in
// the view.
func (n *Node) moveDue(now time.Time) {
	moved := map[fleet.Target][]*movableAttempt{}
	for _, a := range n.runningAttempts.find(func(a *movableAttempt) bool { return n.isSilent(now, a) }) {
		if n.runningAttempts.move(a, errSilent) {
			t := a.try.assignment.Target
			moved[t] = append(moved[t], a)
		}
	}
	for t, attempts := range moved {
		n.count("upstream.silent")
		n.logger.Warn(decisions.UpstreamSilent, "upstream", t.ID, "replica", t.Replica, "limit_ms", attempts[0].limits.Decode.Milliseconds(), "moved", len(attempts))
	}
	for _, a := range n.runningAttempts.find(func(a *movableAttempt) bool { return !a.slowAt.IsZero() && now.After(a.slowAt) }) {
		n.pathFailed(a.try.assignment.Target.Address, reach.NoAnswer)
		n.runningAttempts.move(a, errSlow)
	}
}

// isSilent reports whether an attempt's replica has sent nothing for too long.
func (n *Node) isSilent(now time.Time, a *movableAttempt) bool {
	return a.slowAt.IsZero() && len(n.balancer.Silent(now, []fleet.Target{a.try.assignment.Target}, a.limits)) > 0
}

// probeEarly requests probes of replicas that have been silent for a part of the limit,
// so that a dead VM is found sooner. A probe costs little.
func (n *Node) probeEarly(now time.Time, targets []fleet.Target, limits dispatch.StallTimeouts) {
	quiet := dispatch.StallTimeouts{Decode: time.Duration(earlyProbeFraction * float64(limits.Decode)), Prefill: limits.Prefill}
	for _, t := range n.balancer.Silent(now, targets, quiet) {
		n.pathFailed(t.Address, reach.NoAnswer)
		if n.silence.add(now, t.ID) {
			n.onSilent(t.ID)
		}
	}
}

// earlyProbeFraction is the part of the limit on silence after which the VMs of a
// replica are probed.
const earlyProbeFraction = 0.6

// suspectSilent marks a silent replica as suspected and reports it to peers and to the
// function set with OnSilent.
func (n *Node) suspectSilent(now time.Time, t fleet.Target) {
	n.balancer.MarkSuspect(now, t)
	n.silence.add(now, t.ID)
	n.onSilent(t.ID)
}

// avoidDead marks replicas with a VM that does not answer probes as suspected and moves
// the attempts at them.
func (n *Node) avoidDead(now time.Time, dead []string) {
	if len(dead) == 0 {
		return
	}
	v := n.state.View()
	for _, id := range dead {
		vm, known := v.VM(id)
		if !known || vm.Member.Replica == "" {
			continue
		}
		if t, ok := v.TargetByReplica(vm.Member.Replica); ok {
			n.balancer.MarkSuspect(now, t)
			for _, a := range n.runningAttempts.find(func(a *movableAttempt) bool { return a.try.assignment.Target.ID == t.ID }) {
				n.runningAttempts.move(a, errSilent)
			}
		}
	}
}

// avoidClosing marks replicas that are being ended as suspected, so that they get no
// new requests. Their reports in the log say so only later.
func (n *Node) avoidClosing(now time.Time, heads []string) {
	if len(heads) == 0 {
		return
	}
	v := n.state.View()
	for _, id := range heads {
		vm, known := v.VM(id)
		if !known || vm.Member.Replica == "" {
			continue
		}
		if t, ok := v.TargetByReplica(vm.Member.Replica); ok && t.ID == id {
			n.balancer.MarkSuspect(now, t)
		}
	}
}

const (
	// minSilence is the shortest silence after which a replica is suspected. A
	// lost packet alone costs 200 ms or more.
	minSilence = 350 * time.Millisecond
	// silenceFactor times the longest time between two events of a full replica is
	// the silence after which the replica is suspected.
	silenceFactor = 1.3
	// readingFactor times the limit that follows from silenceFactor and minSilence
	// is the limit for a replica that has not begun to answer any request of this
	// node, because it may have to process the prompts of other nodes' requests
	// first.
	readingFactor = 2.5
)

// silenceLimits returns how long a replica of a model may send nothing. The limits
// follow from the longest time between two events, which is reached if each step
// generates tokens for a full batch and processes a full chunk of prompts.
func silenceLimits(e *fleet.Engine, m fleet.Model) dispatch.StallTimeouts {
	step := e.StepTime + time.Duration(e.Slots)*e.StepTimePerRequest
	if e.PromptTokensPerSecond > 0 {
		step += time.Duration(float64(e.PromptChunk) / e.PromptTokensPerSecond * float64(time.Second))
	}
	writing := max(minSilence, time.Duration(silenceFactor*m.TimeFactor*float64(e.StepsPerEvent)*float64(step)))
	return dispatch.StallTimeouts{Decode: writing, Prefill: time.Duration(readingFactor * float64(writing))}
}
