package formation

import (
	"time"

	"github.com/tamarackcleat/tamarackcleat/decisions"
)

// reportInterval is the time between log lines about the planning rounds.
const reportInterval = time.Second

// waiting counts the replicas that a round would have formed but for something that it had
// to wait for, by what that is.
type waiting struct{ probes, loads int }

// roundStats sums up the planning rounds since the last log line about them.
type roundStats struct {
	since         time.Time
	rounds        int
	busy, longest time.Duration
	generation    int64
}

// record adds a round, and logs a line once reportInterval has passed since the last one.
func (s *roundStats) record(p *Planner, began, ended time.Time) {
	took := ended.Sub(began)
	s.rounds++
	s.busy += took
	s.longest = max(s.longest, took)
	switch elapsed := ended.Sub(s.since); {
	case s.since.IsZero():
		s.since = began
	case elapsed >= reportInterval:
		p.s.Logger.Info(decisions.PlanningReport, "term", p.term, "interval_ms", elapsed.Milliseconds(), "rounds", s.rounds,
			"busy_ms", s.busy.Milliseconds(), "longest_ms", s.longest.Milliseconds(), "formed", p.generation-s.generation,
			"replicas", p.openReplicas(), "vms", p.vmCount, "await_probes", p.waiting.probes, "await_loads", p.waiting.loads)
		*s = roundStats{since: ended, generation: p.generation}
	}
}

// openReplicas counts the replicas that were ordered to open and are not being dismantled.
func (p *Planner) openReplicas() int {
	n := 0
	for _, a := range p.replicas {
		if a.openSent && !a.released && a.dismantlingSince == 0 {
			n++
		}
	}
	return n
}
