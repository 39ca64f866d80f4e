package quarantine

import (
	"slices"

	"github.com/tamarackcleat/tamarackcleat/record"
)

// maxLocal bounds the crashes that a node remembers of its own and its peers'.
const maxLocal = 256

// localSuspect is what a node knows of a fingerprint without the log.
type localSuspect struct {
	LocalSuspect
	trialStarted bool
}

// Table holds the crashes seen by this node and its peers, in order.
type Table struct {
	byPrint map[string]*localSuspect
	order   []string
}

// NewTable returns an empty Table.
func NewTable() Table {
	return Table{byPrint: map[string]*localSuspect{}}
}

// Get returns what is known of a fingerprint.
func (t *Table) Get(fingerprint string) (LocalSuspect, bool) {
	e, ok := t.byPrint[fingerprint]
	if !ok {
		return LocalSuspect{}, false
	}
	return e.LocalSuspect, true
}

// Crash counts a crash of another replica than the one counted before.
func (t *Table) Crash(fingerprint string, generation record.Position) {
	e, ok := t.byPrint[fingerprint]
	if !ok {
		t.insert(LocalSuspect{Fingerprint: fingerprint, Generation: generation, Crashes: 1})
		return
	}
	if e.Generation != generation {
		e.Crashes++
	}
}

// Learn merges what a peer saw.
func (t *Table) Learn(p LocalSuspect) {
	e, ok := t.byPrint[p.Fingerprint]
	if !ok {
		t.insert(p)
		return
	}
	e.Crashes = max(e.Crashes, p.Crashes)
	if e.Generation != p.Generation {
		e.Crashes = max(e.Crashes, 2)
	}
}

func (t *Table) insert(s LocalSuspect) {
	t.byPrint[s.Fingerprint] = &localSuspect{LocalSuspect: s}
	t.order = append(t.order, s.Fingerprint)
	for len(t.order) > maxLocal {
		delete(t.byPrint, t.order[0])
		t.order = t.order[1:]
	}
}

// startTrial reports whether the trial is the first of this node.
func (t *Table) startTrial(fingerprint string) bool {
	e, ok := t.byPrint[fingerprint]
	if !ok {
		return true
	}
	first := !e.trialStarted
	e.trialStarted = true
	return first
}

// endTrial allows another trial of this node.
func (t *Table) endTrial(fingerprint string) {
	if e, ok := t.byPrint[fingerprint]; ok {
		e.trialStarted = false
	}
}

func (t *Table) clear(fingerprint string) {
	if _, ok := t.byPrint[fingerprint]; !ok {
		return
	}
	delete(t.byPrint, fingerprint)
	if i := slices.Index(t.order, fingerprint); i >= 0 {
		t.order = slices.Delete(t.order, i, i+1)
	}
}

// maxRecent bounds the crashes told to peers in one heartbeat.
const maxRecent = 8

// Recent returns the latest crashes, newest first.
func (t *Table) Recent() []LocalSuspect {
	var out []LocalSuspect
	for i := len(t.order) - 1; i >= 0 && len(out) < maxRecent; i-- {
		out = append(out, t.byPrint[t.order[i]].LocalSuspect)
	}
	return out
}
