package ledger

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/record"
)

// MaxSuspects is the maximum number of suspects in the ledger. Beyond it the
// suspect that was recorded first is dropped. MaxSuspects also bounds the
// number of ended trials that the ledger keeps; when it is reached, all of them
// are dropped.
const MaxSuspects = 10000

// SuspectPhase is the state of a suspect.
type SuspectPhase string

const (
	// SuspectAwaitingTrial means that one attempt may run the request again, as
	// a trial.
	SuspectAwaitingTrial SuspectPhase = "open"
	// SuspectOnTrial means that an attempt is running the trial.
	SuspectOnTrial SuspectPhase = "on_trial"
	// SuspectQuarantined means that the request must not run again.
	SuspectQuarantined SuspectPhase = "quarantined"
)

// SuspectState is the state of one suspect.
type SuspectState struct {
	// Fingerprint identifies the content of the request.
	Fingerprint string `json:"fingerprint"`
	// Phase is the state of the suspect.
	Phase SuspectPhase `json:"phase"`
	// Attempt identifies the attempt that ran the latest trial; empty before
	// the first trial.
	Attempt string `json:"attempt,omitempty"`
	// Node is the node that ran the latest trial; empty before the first trial.
	Node record.NodeID `json:"node,omitempty"`
	// Generation is the generation of the replica whose crash made the request
	// a suspect.
	Generation record.Position `json:"generation"`
}

// Suspects is the ledger of requests that may have crashed their upstreams. A
// request is identified by the fingerprint of its content.
type Suspects struct {
	byFingerprint map[string]*SuspectState
	// endedAttempts holds the attempts whose trial has ended, so that a late
	// copy of a trial record does not start the trial again.
	endedAttempts map[string]bool
	// insertionOrder holds the fingerprints of the suspects, the one that was
	// recorded first at the front.
	insertionOrder []string
}

// suspectsState is the encoded state of a Suspects ledger.
type suspectsState struct {
	Suspects []SuspectState `json:"suspects"`
	Ended    []string       `json:"ended"`
}

// NewSuspects returns a ledger without any suspect.
func NewSuspects() *Suspects {
	s := &Suspects{}
	s.Reset()
	return s
}

// State returns the state of the suspect with a fingerprint, and false if there
// is none.
func (s *Suspects) State(fingerprint string) (SuspectState, bool) {
	state, ok := s.byFingerprint[fingerprint]
	if !ok {
		return SuspectState{}, false
	}
	return *state, true
}

// Len returns the number of suspects.
func (s *Suspects) Len() int { return len(s.byFingerprint) }

// Apply implements Ledger.
func (s *Suspects) Apply(_ record.Position, r record.Record) Result {
	switch {
	case r.Suspect != nil:
		return s.recordCrash(*r.Suspect)
	case r.Trial != nil:
		return s.startTrial(*r.Trial)
	case r.TrialEnd != nil:
		return s.endTrial(*r.TrialEnd)
	default:
		return rejected(CauseWrongStream)
	}
}

// recordCrash makes the request of a crash record a suspect. If the request is
// a suspect already, from the crash of another replica, it is quarantined, even
// if it did not run as a trial.
func (s *Suspects) recordCrash(r record.Suspect) Result {
	state, ok := s.byFingerprint[r.Fingerprint]
	if !ok {
		s.insert(SuspectState{Fingerprint: r.Fingerprint, Phase: SuspectAwaitingTrial, Generation: r.Generation})
		return accepted()
	}
	if state.Generation == r.Generation || state.Phase == SuspectQuarantined {
		return rejected(CauseDuplicate)
	}
	state.Phase = SuspectQuarantined
	return accepted()
}

// insert adds a suspect and drops the oldest ones above MaxSuspects.
func (s *Suspects) insert(state SuspectState) {
	s.byFingerprint[state.Fingerprint] = &state
	s.insertionOrder = append(s.insertionOrder, state.Fingerprint)
	for len(s.byFingerprint) > MaxSuspects {
		s.remove(s.insertionOrder[0])
	}
}

func (s *Suspects) remove(fingerprint string) {
	delete(s.byFingerprint, fingerprint)
	if i := slices.Index(s.insertionOrder, fingerprint); i >= 0 {
		s.insertionOrder = slices.Delete(s.insertionOrder, i, i+1)
	}
}

func (s *Suspects) startTrial(r record.Trial) Result {
	state, ok := s.byFingerprint[r.Fingerprint]
	if !ok || s.endedAttempts[r.Attempt] {
		return rejected(CauseNotClaimant)
	}
	replaces := state.Phase == SuspectOnTrial && r.Replaces == state.Attempt
	if state.Phase != SuspectAwaitingTrial && !replaces {
		return rejected(CauseTrialTaken)
	}
	state.Phase = SuspectOnTrial
	state.Attempt = r.Attempt
	state.Node = r.Node
	return accepted()
}

func (s *Suspects) endTrial(r record.TrialEnd) Result {
	state, ok := s.byFingerprint[r.Fingerprint]
	if !ok || state.Phase != SuspectOnTrial || state.Attempt != r.Attempt {
		return rejected(CauseNotClaimant)
	}
	if len(s.endedAttempts) >= MaxSuspects {
		s.endedAttempts = map[string]bool{}
	}
	s.endedAttempts[r.Attempt] = true
	switch r.Outcome {
	case record.TrialCrashed:
		state.Phase = SuspectQuarantined
	case record.TrialNotRun:
		state.Phase = SuspectAwaitingTrial
	default:
		s.remove(r.Fingerprint)
	}
	return accepted()
}

// Snapshot implements Ledger.
func (s *Suspects) Snapshot() (json.RawMessage, error) {
	st := suspectsState{Ended: slices.Sorted(maps.Keys(s.endedAttempts))}
	for _, f := range s.insertionOrder {
		st.Suspects = append(st.Suspects, *s.byFingerprint[f])
	}
	return json.Marshal(st)
}

// Restore implements Ledger.
func (s *Suspects) Restore(state json.RawMessage) error {
	var st suspectsState
	if err := json.Unmarshal(state, &st); err != nil {
		return errors.Wrap(err, "decoding the state of the suspects ledger")
	}
	s.Reset()
	for _, e := range st.Suspects {
		s.insert(e)
	}
	for _, id := range st.Ended {
		s.endedAttempts[id] = true
	}
	return nil
}

// Reset implements Ledger.
func (s *Suspects) Reset() {
	s.byFingerprint = map[string]*SuspectState{}
	s.endedAttempts = map[string]bool{}
	s.insertionOrder = nil
}
