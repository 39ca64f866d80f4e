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

// errSilent ends an attempt at an upstream that sends nothing to anybody.
var errSilent = errors.New("the upstream sends nothing")

// flights holds the attempts that may go on at another upstream, by VM.
type flights struct {
	mu   sync.Mutex
	by   map[string]map[int64]context.CancelCauseFunc
	next int64
	// silent holds VMs that this node lately found to stand still.
	silent map[string]time.Time
}

func newFlights() *flights {
	return &flights{by: map[string]map[int64]context.CancelCauseFunc{}, silent: map[string]time.Time{}}
}

// add registers an attempt; the result ends the registration.
func (f *flights) add(vm string, cancel context.CancelCauseFunc) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next++
	id := f.next
	if f.by[vm] == nil {
		f.by[vm] = map[int64]context.CancelCauseFunc{}
	}
	f.by[vm][id] = cancel
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.by[vm], id)
		if len(f.by[vm]) == 0 {
			delete(f.by, vm)
		}
	}
}

// cancel ends all attempts at a VM and returns their number.
func (f *flights) cancel(vm string, cause error) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.by[vm] {
		c(cause)
	}
	return len(f.by[vm])
}

// noteSilent keeps a finding for silentFor and reports whether it is new.
func (f *flights) noteSilent(now time.Time, vm string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, known := f.silent[vm]
	f.silent[vm] = now
	return !known || now.Sub(at) > silentFor
}

// silentNow returns the VMs found to stand still lately.
func (f *flights) silentNow(now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for vm, at := range f.silent {
		if now.Sub(at) > silentFor {
			delete(f.silent, vm)
			continue
		}
		out = append(out, vm)
	}
	return out
}

// silentFor is how long peers are told of an upstream that stands still.
const silentFor = 500 * time.Millisecond

// cancelSilent moves requests away from replicas that stand still.
func (n *Node) cancelSilent(now time.Time) {
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
			n.probeQuiet(now, v.Targets(name, m.Name), limits)
			for _, t := range n.balancer.Silent(now, v.Targets(name, m.Name), limits) {
				n.foundSilent(now, t, limits)
			}
		}
	}
}

// probeQuiet has replicas probed that may stand still. A probe costs little, and
// a dead VM is known the sooner.
func (n *Node) probeQuiet(now time.Time, targets []fleet.Target, limits dispatch.Limits) {
	quiet := dispatch.Limits{Writing: time.Duration(quietPart * float64(limits.Writing)), Reading: limits.Reading}
	for _, t := range n.balancer.Silent(now, targets, quiet) {
		if n.flights.noteSilent(now, t.ID) {
			n.onSilent(t.ID)
		}
	}
}

// quietPart is the part of the silence of a suspected replica after which its
// VMs are probed.
const quietPart = 0.6

// foundSilent suspects a replica, tells others and moves its requests.
func (n *Node) foundSilent(now time.Time, t fleet.Target, limits dispatch.Limits) {
	n.balancer.Suspect(now, t)
	moved := n.flights.cancel(t.ID, errSilent)
	n.flights.noteSilent(now, t.ID)
	n.onSilent(t.ID)
	if moved == 0 {
		return
	}
	n.count("upstream.silent")
	n.logger.Warn(decisions.UpstreamSilent, "upstream", t.ID, "replica", t.Replica, "limit_ms", limits.Writing.Milliseconds(), "moved", moved)
}

// avoidDead moves requests away from replicas with a VM that doesn't answer.
func (n *Node) avoidDead(now time.Time, dead []string) {
	if len(dead) == 0 {
		return
	}
	v := n.state.View()
	for _, id := range dead {
		vm, known := v.VMs[id]
		if !known || vm.Member.Replica == "" {
			continue
		}
		if t, ok := v.TargetOf(vm.Member.Replica); ok {
			n.balancer.Suspect(now, t)
			n.flights.cancel(t.ID, errSilent)
		}
	}
}

// avoidClosing sends nothing new to replicas that are being ended. The log tells
// the same later.
func (n *Node) avoidClosing(now time.Time, heads []string) {
	if len(heads) == 0 {
		return
	}
	v := n.state.View()
	for _, id := range heads {
		vm, known := v.VMs[id]
		if !known || vm.Member.Replica == "" {
			continue
		}
		if t, ok := v.TargetOf(vm.Member.Replica); ok && t.ID == id {
			n.balancer.Suspect(now, t)
		}
	}
}

const (
	// silentLeast is the least silence after which a replica is suspected;
	// a lost packet alone costs 200 ms or more.
	silentLeast = 350 * time.Millisecond
	// silentFactor times the longest pass of a full replica is the silence
	// after which it is suspected.
	silentFactor = 1.3
	// readingFactor times that is the silence allowed to a replica that has
	// not begun to answer any request of this node: others' prompts may be
	// read before.
	readingFactor = 2.5
)

// silenceLimits returns how long a replica may send nothing. The longest pass
// reads a full chunk of prompts at each step of a full batch.
func silenceLimits(e *fleet.Engine, m fleet.Model) dispatch.Limits {
	step := e.Step + time.Duration(e.Slots)*e.PerRequest
	if e.ReadPerSecond > 0 {
		step += time.Duration(float64(e.Chunk) / e.ReadPerSecond * float64(time.Second))
	}
	writing := max(silentLeast, time.Duration(silentFactor*m.Pace*float64(e.Stride)*float64(step)))
	return dispatch.Limits{Writing: writing, Reading: time.Duration(readingFactor * float64(writing))}
}
