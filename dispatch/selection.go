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

// search holds what is the same for all targets of a search.
type search struct {
	*Balancer
	now       time.Time
	engine    *fleet.Engine
	targets   []fleet.Target
	request   Request
	stats     *poolStats
	predictor predictor
	// reports holds the loads that peers reported within peerLoadMaxAge.
	reports []map[string]Load
}

// newSearch returns a search among the targets of one pool. It keeps no statistics of a pool
// of which nothing was observed.
func (b *Balancer) newSearch(now time.Time, engine *fleet.Engine, targets []fleet.Target, r Request) *search {
	s := &search{Balancer: b, now: now, engine: engine, targets: targets, request: r, reports: b.recentReports(now)}
	if len(targets) > 0 {
		s.stats = b.knownPool(targets[0])
		s.predictor = newPredictor(engine, targets[0].Model, s.stats.duration)
	}
	return s
}

// selection is the set of targets among which a request's target is chosen.
type selection struct {
	// found holds the targets that have capacity, admitted those of them at which the
	// request may run.
	found, admitted []candidate
	// suspects says that targets that failed lately were considered.
	suspects bool
	shortage Shortage
}

// selection returns the targets among which that of the request is chosen, given the function
// that finds those with capacity. It changes no load and no statistics.
func (s *search) selection(find func() ([]candidate, bool)) selection {
	found, suspects := find()
	out := selection{found: found, admitted: found, suspects: suspects}
	if len(found) == 0 {
		out.shortage = NoRoom
		if _, all := s.nextPlace(s.now, s.targets, s.request.Exclude); all {
			out.shortage = AllPaused
		}
		return out
	}
	if s.engine != nil {
		out.admitted = s.stats.admissible(s.now, s.engine, found, s.request)
	}
	if len(out.admitted) == 0 {
		out.shortage = TooLate
	}
	return out
}

// closest describes the target with the best prediction of those that have capacity; it
// counts nowhere. There must be one.
func (s selection) closest() Assignment {
	best := slices.MinFunc(s.found, compareScores)
	return Assignment{Target: *best.target, Load: best.load.InFlight, Predicted: best.score}
}

// anyCandidates returns the candidates among some of the targets, or else what
// candidatesOfAll returns. Which targets these are is drawn at random.
func (s *search) anyCandidates() ([]candidate, bool) {
	all := s.targets
	if len(all) > maxSearched {
		first := s.rng.IntN(len(all))
		s.targets = slices.Concat(all[first:min(len(all), first+maxSearched)], all[:max(0, first+maxSearched-len(all))])
		if found := s.candidates(false); len(found) > 0 {
			return found, false
		}
		s.targets = all
	}
	return s.candidatesOfAll()
}

// candidatesOfAll returns the candidates among all targets, or else among those that failed
// lately. It reports whether the latter were considered.
func (s *search) candidatesOfAll() ([]candidate, bool) {
	if found := s.candidates(false); len(found) > 0 {
		return found, false
	}
	return s.candidates(true), true
}

// candidates returns the targets that have capacity for the request, those that failed
// lately only if suspects is true.
func (s *search) candidates(suspects bool) []candidate {
	out := make([]candidate, 0, len(s.targets))
	for i := range s.targets {
		if c, why := s.consider(&s.targets[i], suspects); why == NotExcluded {
			out = append(out, c)
		}
	}
	return out
}

// consider returns a target as a candidate, and why it is none.
func (s *search) consider(t *fleet.Target, suspects bool) (candidate, Exclusion) {
	if len(s.request.Exclude) > 0 && slices.Contains(s.request.Exclude, t.InstanceKey()) {
		return candidate{}, AlreadyTried
	}
	own := s.loads[keyOf(*t)]
	if own != nil && !suspects && s.now.Before(own.suspectedUntil) {
		return candidate{}, Suspected
	}
	if !s.hasPlace(s.now, *t, s.request.NeverPaused) {
		return candidate{}, InPause
	}
	c, ok := s.candidate(t, own)
	if !ok {
		return c, NoCapacity
	}
	return c, NotExcluded
}
