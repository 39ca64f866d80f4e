package quarantine

import (
	"slices"

	"github.com/tamarackcleat/tamarackcleat/record"
)

// maxLocalSuspects is the maximum number of suspects that a Table holds. Beyond it,
// the one that was added first is removed.
const maxLocalSuspects = 256

// localSuspect is what a node knows about a fingerprint without reading the log.
type localSuspect struct {
	LocalSuspect
	// trialStarted says that this node has started a trial of the suspect. It
	// is reset if the trial did not run.
	trialStarted bool
}

// Table holds the suspects that this node and its peers saw crash an upstream. It
// needs no log.
type SuspectTable struct {
	byFingerprint map[string]*localSuspect
	// order lists the fingerprints, the first one added first.
	order []string
}

// NewTable returns an empty Table.
func NewTable() SuspectTable {
	return SuspectTable{byFingerprint: map[string]*localSuspect{}}
}

// Get returns the suspect with a fingerprint; false if there is none.
func (t *SuspectTable) Get(fingerprint string) (LocalSuspect, bool) {
	e, ok := t.byFingerprint[fingerprint]
	if !ok {
		return LocalSuspect{}, false
	}
	return e.LocalSuspect, true
}

// Crash records that a replica crashed while a request with the fingerprint was in
// flight on it. Another report with the generation of the first crash is not
// counted again.
func (t *SuspectTable) RecordCrash(fingerprint string, generation record.Position) {
	e, ok := t.byFingerprint[fingerprint]
	if !ok {
		t.insert(LocalSuspect{Fingerprint: fingerprint, Generation: generation, Crashes: 1})
		return
	}
	if e.Generation != generation {
		e.Crashes++
	}
}

// Learn merges a suspect that a peer reported. Different generations are crashes of
// different replicas, so they make at least two crashes.
func (t *SuspectTable) Merge(p LocalSuspect) {
	e, ok := t.byFingerprint[p.Fingerprint]
	if !ok {
		t.insert(p)
		return
	}
	e.Crashes = max(e.Crashes, p.Crashes)
	if e.Generation != p.Generation {
		e.Crashes = max(e.Crashes, 2)
	}
}

// insert adds a suspect and removes the oldest ones above maxLocalSuspects.
func (t *SuspectTable) insert(s LocalSuspect) {
	t.byFingerprint[s.Fingerprint] = &localSuspect{LocalSuspect: s}
	t.order = append(t.order, s.Fingerprint)
	for len(t.order) > maxLocalSuspects {
		delete(t.byFingerprint, t.order[0])
		t.order = t.order[1:]
	}
}

// startTrial marks a trial of this node as started. It returns false if one was
// started before. An unknown fingerprint may always start.
func (t *SuspectTable) startTrial(fingerprint string) bool {
	e, ok := t.byFingerprint[fingerprint]
	if !ok {
		return true
	}
	first := !e.trialStarted
	e.trialStarted = true
	return first
}

// endTrial allows this node another trial of a suspect whose trial did not run.
func (t *SuspectTable) endTrial(fingerprint string) {
	if e, ok := t.byFingerprint[fingerprint]; ok {
		e.trialStarted = false
	}
}

// remove removes a suspect.
func (t *SuspectTable) remove(fingerprint string) {
	if _, ok := t.byFingerprint[fingerprint]; !ok {
		return
	}
	delete(t.byFingerprint, fingerprint)
	if i := slices.Index(t.order, fingerprint); i >= 0 {
		t.order = slices.Delete(t.order, i, i+1)
	}
}

// maxRecentSuspects is the maximum number of suspects sent to peers in one
// heartbeat.
const maxRecentSuspects = 8

// Recent returns at most maxRecentSuspects suspects, the last one added first.
func (t *SuspectTable) Recent() []LocalSuspect {
	var out []LocalSuspect
	for i := len(t.order) - 1; i >= 0 && len(out) < maxRecentSuspects; i-- {
		out = append(out, t.byFingerprint[t.order[i]].LocalSuspect)
	}
	return out
}
