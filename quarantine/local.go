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

// localTable holds the crashes seen by this node and its peers, in order.
type localTable struct {
	byPrint map[string]*localSuspect
	order   []string
}

func newLocalTable() localTable {
	return localTable{byPrint: map[string]*localSuspect{}}
}

func (t *localTable) get(fingerprint string) (LocalSuspect, bool) {
	e, ok := t.byPrint[fingerprint]
	if !ok {
		return LocalSuspect{}, false
	}
	return e.LocalSuspect, true
}

// crash counts a crash of another replica than the one counted before.
func (t *localTable) crash(fingerprint string, generation record.Position) {
	e, ok := t.byPrint[fingerprint]
	if !ok {
		t.insert(LocalSuspect{Fingerprint: fingerprint, Generation: generation, Crashes: 1})
		return
	}
	if e.Generation != generation {
		e.Crashes++
	}
}

// learn merges what a peer saw.
func (t *localTable) learn(p LocalSuspect) {
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

func (t *localTable) insert(s LocalSuspect) {
	t.byPrint[s.Fingerprint] = &localSuspect{LocalSuspect: s}
	t.order = append(t.order, s.Fingerprint)
	for len(t.order) > maxLocal {
		delete(t.byPrint, t.order[0])
		t.order = t.order[1:]
	}
}

// startTrial reports whether the trial is the first of this node.
func (t *localTable) startTrial(fingerprint string) bool {
	e, ok := t.byPrint[fingerprint]
	if !ok {
		return true
	}
	first := !e.trialStarted
	e.trialStarted = true
	return first
}

// endTrial allows another trial of this node.
func (t *localTable) endTrial(fingerprint string) {
	if e, ok := t.byPrint[fingerprint]; ok {
		e.trialStarted = false
	}
}

func (t *localTable) clear(fingerprint string) {
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

// recent returns the latest crashes, newest first.
func (t *localTable) recent() []LocalSuspect {
	var out []LocalSuspect
	for i := len(t.order) - 1; i >= 0 && len(out) < maxRecent; i-- {
		out = append(out, t.byPrint[t.order[i]].LocalSuspect)
	}
	return out
}
