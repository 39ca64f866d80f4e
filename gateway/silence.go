package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/decisions"
	"github.com/tamarackcleat/tamarackcleat/dispatch"
	"github.com/tamarackcleat/tamarackcleat/fleet"
)

// errSilent ends an attempt at a replica that sends nothing for any request of this
// node, or that has a VM which does not answer probes.
var errSilent = errors.New("the upstream sends nothing")

// attemptRegistry holds the running attempts that can be moved to another upstream, by
// the VM that they were sent to. It is safe for concurrent use.
type attemptRegistry struct {
	mu     sync.Mutex
	byVM   map[string]map[int64]context.CancelCauseFunc
	nextID int64
	// silentAt holds when this node last found that a VM's upstream sends nothing.
	silentAt map[string]time.Time
}

func newAttemptRegistry() *attemptRegistry {
	return &attemptRegistry{byVM: map[string]map[int64]context.CancelCauseFunc{}, silentAt: map[string]time.Time{}}
}

// add registers an attempt at a VM with the function that cancels it. The returned
// function removes the attempt.
func (r *attemptRegistry) add(vm string, cancel context.CancelCauseFunc) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextID++
	id := r.nextID
	if r.byVM[vm] == nil {
		r.byVM[vm] = map[int64]context.CancelCauseFunc{}
	}
	r.byVM[vm][id] = cancel
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.byVM[vm], id)
		if len(r.byVM[vm]) == 0 {
			delete(r.byVM, vm)
		}
	}
}

// cancel cancels all attempts at a VM and returns their number.
func (r *attemptRegistry) cancel(vm string, cause error) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.byVM[vm] {
		c(cause)
	}
	return len(r.byVM[vm])
}

// recordSilent records that a VM's upstream sends nothing. It reports whether this was
// not yet recorded within the last silentTTL.
func (r *attemptRegistry) recordSilent(now time.Time, vm string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, known := r.silentAt[vm]
	r.silentAt[vm] = now
	return !known || now.Sub(at) > silentTTL
}

// recentlySilent returns the VMs that were recorded as silent within the last
// silentTTL.
func (r *attemptRegistry) recentlySilent(now time.Time) []string {
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

// moveFromSilent moves requests away from replicas that have sent nothing for too
// long.
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
				n.handleSilent(now, t, limits)
			}
		}
	}
}

// probeEarly requests probes of replicas that have been silent for a part of the limit,
// so that a dead VM is found sooner. A probe costs little.
func (n *Node) probeEarly(now time.Time, targets []fleet.Target, limits dispatch.StallTimeouts) {
	quiet := dispatch.StallTimeouts{Decode: time.Duration(earlyProbeFraction * float64(limits.Decode)), Prefill: limits.Prefill}
	for _, t := range n.balancer.Silent(now, targets, quiet) {
		if n.runningAttempts.recordSilent(now, t.ID) {
			n.onSilent(t.ID)
		}
	}
}

// earlyProbeFraction is the part of the limit on silence after which the VMs of a
// replica are probed.
const earlyProbeFraction = 0.6

// handleSilent marks a replica as suspected, reports it to peers and to the function
// set with OnSilent, and cancels the attempts at it, which are then retried elsewhere.
func (n *Node) handleSilent(now time.Time, t fleet.Target, limits dispatch.StallTimeouts) {
	n.balancer.MarkSuspect(now, t)
	moved := n.runningAttempts.cancel(t.ID, errSilent)
	n.runningAttempts.recordSilent(now, t.ID)
	n.onSilent(t.ID)
	if moved == 0 {
		return
	}
	n.count("upstream.silent")
	n.logger.Warn(decisions.UpstreamSilent, "upstream", t.ID, "replica", t.Replica, "limit_ms", limits.Decode.Milliseconds(), "moved", moved)
}

// avoidDead marks replicas with a VM that does not answer probes as suspected and
// cancels the attempts at them, which are then retried elsewhere.
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
			n.runningAttempts.cancel(t.ID, errSilent)
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
