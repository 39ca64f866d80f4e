package ledger

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/record"
)

// MaxSuspects bounds the suspects that are remembered; the oldest leave first.
const MaxSuspects = 10000

// SuspectPhase is how far the judgement of a suspect has come.
type SuspectPhase string

const (
	// SuspectOpen means that the request may run once more, as a trial.
	SuspectOpen SuspectPhase = "open"
	// SuspectOnTrial means that an attempt runs the trial.
	SuspectOnTrial SuspectPhase = "on_trial"
	// SuspectQuarantined means that the request runs no more.
	SuspectQuarantined SuspectPhase = "quarantined"
)

// SuspectState is what the ledger knows of one fingerprint.
type SuspectState struct {
	// Fingerprint identifies the content of the request.
	Fingerprint string `json:"fingerprint"`
	// Phase is how far the judgement has come.
	Phase SuspectPhase `json:"phase"`
	// Attempt runs the trial.
	Attempt string `json:"attempt,omitempty"`
	// Node runs the trial.
	Node record.NodeID `json:"node,omitempty"`
	// Generation is that of the replica that crashed first.
	Generation record.Position `json:"generation"`
}

// Suspects is the ledger of requests that may crash their upstreams.
type Suspects struct {
	byPrint map[string]*SuspectState
	// ended holds attempts whose trial ended, so that a repeated trial
	// record does not open a trial again.
	ended map[string]bool
	// order holds fingerprints by their first suspicion.
	order []string
}

// suspectsState is the encoding of a Suspects.
type suspectsState struct {
	Suspects []SuspectState `json:"suspects"`
	Ended    []string       `json:"ended"`
}

// NewSuspects returns the ledger before the first record.
func NewSuspects() *Suspects {
	s := &Suspects{}
	s.Reset()
	return s
}

// State returns what is known of a fingerprint.
func (s *Suspects) State(fingerprint string) (SuspectState, bool) {
	e, ok := s.byPrint[fingerprint]
	if !ok {
		return SuspectState{}, false
	}
	return *e, true
}

// Len returns the number of suspects.
func (s *Suspects) Len() int { return len(s.byPrint) }

// Apply implements Ledger.
func (s *Suspects) Apply(_ record.Position, r record.Record) Result {
	switch {
	case r.Suspect != nil:
		return s.suspect(*r.Suspect)
	case r.Trial != nil:
		return s.trial(*r.Trial)
	case r.TrialEnd != nil:
		return s.endTrial(*r.TrialEnd)
	default:
		return rejected(CauseWrongStream)
	}
}

// suspect notes a crash. A second crash of another replica quarantines the
// request, also when it did not run as a trial.
func (s *Suspects) suspect(r record.Suspect) Result {
	known, ok := s.byPrint[r.Fingerprint]
	if !ok {
		s.insert(SuspectState{Fingerprint: r.Fingerprint, Phase: SuspectOpen, Generation: r.Generation})
		return accepted()
	}
	if known.Generation == r.Generation || known.Phase == SuspectQuarantined {
		return rejected(CauseDuplicate)
	}
	known.Phase = SuspectQuarantined
	return accepted()
}

// insert adds a suspect and drops the oldest one over the bound.
func (s *Suspects) insert(e SuspectState) {
	s.byPrint[e.Fingerprint] = &e
	s.order = append(s.order, e.Fingerprint)
	for len(s.byPrint) > MaxSuspects {
		s.remove(s.order[0])
	}
}

func (s *Suspects) remove(fingerprint string) {
	delete(s.byPrint, fingerprint)
	if i := slices.Index(s.order, fingerprint); i >= 0 {
		s.order = slices.Delete(s.order, i, i+1)
	}
}

func (s *Suspects) trial(r record.Trial) Result {
	e, ok := s.byPrint[r.Fingerprint]
	if !ok || s.ended[r.Attempt] {
		return rejected(CauseNotClaimant)
	}
	replaced := e.Phase == SuspectOnTrial && r.Replaces == e.Attempt
	if e.Phase != SuspectOpen && !replaced {
		return rejected(CauseTrialTaken)
	}
	e.Phase = SuspectOnTrial
	e.Attempt = r.Attempt
	e.Node = r.Node
	return accepted()
}

func (s *Suspects) endTrial(r record.TrialEnd) Result {
	e, ok := s.byPrint[r.Fingerprint]
	if !ok || e.Phase != SuspectOnTrial || e.Attempt != r.Attempt {
		return rejected(CauseNotClaimant)
	}
	if len(s.ended) >= MaxSuspects {
		s.ended = map[string]bool{}
	}
	s.ended[r.Attempt] = true
	switch r.Outcome {
	case record.TrialCrashed:
		e.Phase = SuspectQuarantined
	case record.TrialNotRun:
		e.Phase = SuspectOpen
	default:
		s.remove(r.Fingerprint)
	}
	return accepted()
}

// Snapshot implements Ledger.
func (s *Suspects) Snapshot() (json.RawMessage, error) {
	st := suspectsState{Ended: slices.Sorted(maps.Keys(s.ended))}
	for _, f := range s.order {
		st.Suspects = append(st.Suspects, *s.byPrint[f])
	}
	return json.Marshal(st)
}

// Restore implements Ledger.
func (s *Suspects) Restore(state json.RawMessage) error {
	var st suspectsState
	if err := json.Unmarshal(state, &st); err != nil {
		return errors.Wrap(err, "suspects checkpoint")
	}
	s.Reset()
	for _, e := range st.Suspects {
		s.insert(e)
	}
	for _, id := range st.Ended {
		s.ended[id] = true
	}
	return nil
}

// Reset implements Ledger.
func (s *Suspects) Reset() {
	s.byPrint = map[string]*SuspectState{}
	s.ended = map[string]bool{}
	s.order = nil
}
