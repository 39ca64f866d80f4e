package dispatch

import (
	"slices"
	"time"

	"github.com/tamarackcleat/tamarackcleat/fleet"
)

// Exclusion says why a request can't be assigned to a target. It is a part of the answers
// to operators.
type Exclusion string

// Exclusions. NotExcluded is that of a target that may be selected. Suspected targets are
// excluded only while another one has capacity.
const (
	NotExcluded  Exclusion = ""
	AlreadyTried Exclusion = "already_tried"
	Suspected    Exclusion = "suspected"
	InPause      Exclusion = "in_pause"
	NoCapacity   Exclusion = "no_capacity"
	Late         Exclusion = "predicted_too_late"
)

// selection is the set of targets among which a request's target is chosen.
type selection struct {
	// found holds the targets that have capacity, admitted those of them at which the
	// request may run.
	found, admitted []candidate
	// suspects says that targets that failed lately were considered.
	suspects bool
	shortage Shortage
}

// selection returns the targets among which that of a request is chosen. It changes no load
// and no statistics.
func (b *Balancer) selection(now time.Time, engine *fleet.Engine, targets []fleet.Target, r Request) selection {
	s := selection{found: b.candidates(now, engine, targets, r, false)}
	if len(s.found) == 0 {
		s.suspects, s.found = true, b.candidates(now, engine, targets, r, true)
	}
	s.admitted = s.found
	if len(s.found) == 0 {
		s.shortage = NoRoom
		if _, all := b.nextPlace(now, targets, r.Exclude); all {
			s.shortage = AllPaused
		}
		return s
	}
	if engine != nil {
		s.admitted = b.knownPool(s.found[0].target).admissible(now, engine, s.found, r)
	}
	if len(s.admitted) == 0 {
		s.shortage = TooLate
	}
	return s
}

// closest describes the target with the best prediction of those that have capacity; it
// counts nowhere. There must be one.
func (s selection) closest() Assignment {
	best := slices.MinFunc(s.found, compareScores)
	return Assignment{Target: best.target, Load: best.load.InFlight, Predicted: best.score}
}

// candidates returns the targets that have capacity for a request, those that failed lately
// only if suspects is true.
func (b *Balancer) candidates(now time.Time, engine *fleet.Engine, targets []fleet.Target, r Request, suspects bool) []candidate {
	var out []candidate
	for _, t := range targets {
		if c, why := b.consider(now, engine, t, r, suspects); why == NotExcluded {
			out = append(out, c)
		}
	}
	return out
}

// consider returns a target as a candidate, and why it is none.
func (b *Balancer) consider(now time.Time, engine *fleet.Engine, t fleet.Target, r Request, suspects bool) (candidate, Exclusion) {
	switch {
	case slices.Contains(r.Exclude, t.InstanceKey()):
		return candidate{target: t}, AlreadyTried
	case !suspects && b.isSuspect(now, t):
		return candidate{target: t}, Suspected
	case !b.hasPlace(now, t, r.NeverPaused):
		return candidate{target: t}, InPause
	}
	c, ok := b.candidate(now, engine, t, r)
	if !ok {
		return c, NoCapacity
	}
	return c, NotExcluded
}
