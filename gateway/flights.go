package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/fleet"
)

// errSilent ends an attempt at an upstream that sends nothing to anybody.
var errSilent = errors.New("the upstream sends nothing")

// flights holds the attempts that may go on at another upstream, by VM.
type flights struct {
	mu   sync.Mutex
	by   map[string]map[int64]context.CancelCauseFunc
	next int64
}

func newFlights() *flights { return &flights{by: map[string]map[int64]context.CancelCauseFunc{}} }

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

// cancelSilent moves requests away from upstreams that stand still.
func (n *Node) cancelSilent(now time.Time) {
	v := n.state.View()
	if v.Config == nil {
		return
	}
	for name, s := range v.Config.Services {
		if s.Engine == nil {
			n.cancelSilentOf(now, v.Targets(name, ""), silentPlain)
			continue
		}
		for _, m := range s.Engine.Models {
			n.cancelSilentOf(now, v.Targets(name, m.Name), silenceLimit(s.Engine, m))
		}
	}
}

func (n *Node) cancelSilentOf(now time.Time, targets []fleet.Target, limit time.Duration) {
	for _, t := range n.balancer.Silent(now, targets, limit) {
		n.balancer.Suspect(now, t)
		if t.Replica != "" {
			n.onSilent(t.ID)
		}
		moved := n.flights.cancel(t.ID, errSilent)
		if moved > 0 {
			n.count("upstream.silent")
			n.logger.Warn("upstream.silent", "upstream", t.ID, "replica", t.Replica, "limit_ms", limit.Milliseconds(), "moved", moved)
		}
	}
}

const (
	// silentPlain is the silence after which a plain service's VM is
	// suspected; its work takes tens of milliseconds.
	silentPlain = 400 * time.Millisecond
	// silentFactor times the longest pass of a full replica is the silence
	// after which it is suspected.
	silentFactor = 1.5
)

// silenceLimit returns how long a replica may send nothing. The longest pass
// reads a full chunk of prompts at each step of a full batch.
func silenceLimit(e *fleet.Engine, m fleet.Model) time.Duration {
	step := e.Step + time.Duration(e.Slots)*e.PerRequest
	if e.ReadPerSecond > 0 {
		step += time.Duration(float64(e.Chunk) / e.ReadPerSecond * float64(time.Second))
	}
	return max(silentPlain, time.Duration(silentFactor*m.Pace*float64(e.Stride)*float64(step)))
}
