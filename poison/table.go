// Package poison finds what crashes upstreams, parts of prompts and whole contents of
// requests, and keeps requests with it from them.
//
// A crash of an upstream makes suspects of the content and of each part of the requests
// that it had not begun to answer. Most of them are bystanders, so counts alone don't
// convict: an answer that begins clears its content and the parts of its prompt, and a
// crash counts only against the part that explains the most crashes. Requests with a
// suspected part run one at a time on all nodes, so that evidence arrives before further
// upstreams are lost.
//
// Nodes exchange their evidence, and each derives the convictions from it. They are not
// stored, so evidence that arrives late corrects them.
package poison

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// maxSuspects bounds the suspects of a table. A full one drops dropAtOnce of them.
	maxSuspects = 256
	dropAtOnce  = 32
	// maxStarts bounds the parts whose latest start is remembered.
	maxStarts = 4096
	// maxCrashes bounds the crashes remembered for a suspect; the latest are kept.
	maxCrashes = 6
	// convictCrashes is the number of crashes that convict a content, and a part that
	// no answer has begun with, if no other part explains as many.
	// convictCrashesDoubtful applies to all other parts.
	convictCrashes         = 2
	convictCrashesDoubtful = 3
	// trialCrashes is the number of crashes from which requests with a part that
	// answers have begun with run one at a time. A part without such an answer needs
	// one.
	trialCrashes = 2
	// minHold is how long a conviction by convictCrashes lasts after the latest
	// crash. Each further crash makes it holdFactor times as long. A single request
	// at a time may run after that.
	minHold    = 30 * time.Second
	holdFactor = 4
	// sameOutageTime is the time within which crashes count once against a part: an
	// outage that ends several upstreams at once is no evidence against what they
	// ran.
	sameOutageTime = 100 * time.Millisecond
	// suspicionTime is how long after its latest crash a part that was not convicted
	// is a suspect.
	suspicionTime = 30 * time.Second
	// convictionMemory is how long after its latest crash a convicted suspect is
	// remembered at least, so that the next one makes its conviction longer.
	convictionMemory = time.Hour
	// standstill is the time without a report after which this process has stood
	// still: nodes report many times a second.
	standstill = 500 * time.Millisecond
	// catchUpTime is how long after its start, or after it stood still, a node may not
	// know yet what its peers know.
	catchUpTime = 200 * time.Millisecond
	// clearedTime is how long a cleared suspect is reported to peers.
	clearedTime = 5 * time.Second
)

// CrashID identifies a crash of an upstream. It is the same at all nodes.
type CrashID uint64

// contentPrefix begins the suspect that stands for the whole content of a request. The
// id of a part has no colon.
const contentPrefix = "content:"

// Content returns the suspect that stands for the whole content of a request with this
// fingerprint.
func Content(fingerprint string) string { return contentPrefix + fingerprint }

// IsContent reports whether a suspect stands for the whole content of a request.
func IsContent(part string) bool { return strings.HasPrefix(part, contentPrefix) }

// Standing tells how requests with a part or content are treated.
type Standing int

// Standings. Requests with a Sound part run freely, those with a Suspected part one at a
// time, and those with a Convicted part not at all.
const (
	Sound Standing = iota
	Suspected
	Convicted
)

// suspect is a part of prompts, or the content of a request, that was in flight on an
// upstream that crashed.
type suspect struct {
	content bool
	// crashes holds when each crash was seen.
	crashes map[CrashID]time.Time
	// lastStart is when an answer to a request with the part last began; zero for
	// never.
	lastStart time.Time
	// touched is when the evidence last changed or a peer last reported less of it.
	touched time.Time
	// unexplained is the number of crashes since lastStart that no other convicted part
	// explains; for a part, crashes within sameOutageTime count once. convicted says
	// that the suspect explains them.
	unexplained int
	convicted   bool
	// twins lists the parts that were convicted with this one, because the evidence
	// does not tell them apart.
	twins []string
	// reported is the standing that Transitions last returned.
	reported Standing
}

// lastCrash returns when the latest crash was seen.
func (s *suspect) lastCrash() time.Time {
	var last time.Time
	for _, at := range s.crashes {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// open returns the crashes since the last start.
func (s *suspect) open() []CrashID {
	var out []CrashID
	for id, at := range s.crashes {
		if at.After(s.lastStart) {
			out = append(out, id)
		}
	}
	return out
}

// lifetime returns how long after the latest crash the suspect is kept.
func (s *suspect) lifetime() time.Duration {
	if s.convicted {
		return max(2*s.hold(), convictionMemory)
	}
	return suspicionTime
}

// hold returns how long after the latest crash the conviction lasts.
func (s *suspect) hold() time.Duration {
	hold := minHold
	for range s.count(s.open()) - convictCrashes {
		hold *= holdFactor
	}
	return hold
}

// count returns how many of these crashes count against the suspect. The same content is
// sent to one upstream after the other, so no outage ends two of them at once.
func (s *suspect) count(crashes []CrashID) int {
	if s.content {
		return len(crashes)
	}
	seen := make([]time.Time, 0, len(crashes))
	for _, id := range crashes {
		seen = append(seen, s.crashes[id])
	}
	slices.SortFunc(seen, time.Time.Compare)
	n := 0
	var first time.Time
	for i, at := range seen {
		if i == 0 || at.Sub(first) > sameOutageTime {
			first = at
			n++
		}
	}
	return n
}

// Table holds the evidence of a node and its peers. It is not safe for concurrent use.
type Table struct {
	node     string
	suspects map[string]*suspect
	// starts holds when an answer last began, by part; order lists the parts, the one
	// added first at its start.
	starts map[string]time.Time
	order  []string
	claims map[claimKey]*claim
	stale  bool
	// lastReport is when Report was last called; resumed is when it was called first
	// or for the first time after standstill.
	lastReport, resumed time.Time
	// Dropped counts the suspects that were removed because the table was full.
	Dropped int64
}

// NewTable returns an empty table of a node.
func NewTable(node string) *Table {
	return &Table{node: node, suspects: map[string]*suspect{}, starts: map[string]time.Time{}, claims: map[claimKey]*claim{}}
}

// RecordStart records that an upstream has begun to answer a request with these parts,
// and reports whether one of them was suspected or convicted.
func (t *Table) RecordStart(now time.Time, parts []string) bool {
	cleared := false
	for _, part := range parts {
		if !IsContent(part) {
			t.remember(part, now)
		}
		s, ok := t.suspects[part]
		if !ok {
			continue
		}
		cleared = cleared || t.Standing(now, part) != Sound
		s.lastStart, s.touched = now, now
		t.stale = true
	}
	return cleared
}

// remember records the latest start of a part.
func (t *Table) remember(part string, now time.Time) {
	if _, known := t.starts[part]; !known {
		t.order = append(t.order, part)
	}
	t.starts[part] = now
	if len(t.order) > maxStarts {
		delete(t.starts, t.order[0])
		t.order = t.order[1:]
	}
}

// RecordCrash records that an upstream crashed which had not begun to answer a request
// with these parts and content.
func (t *Table) RecordCrash(now time.Time, parts []string, crash CrashID) {
	for _, part := range parts {
		t.addCrash(now, t.suspect(now, part), crash, now)
	}
}

// suspect returns the suspect with a part and adds it if there is none. One whose
// lifetime is over is replaced, so that its crashes don't count together with later ones.
func (t *Table) suspect(now time.Time, part string) *suspect {
	s, ok := t.suspects[part]
	if ok && !t.expired(now, s) {
		return s
	}
	if !ok {
		t.makeRoom(now)
	}
	s = &suspect{content: IsContent(part), crashes: map[CrashID]time.Time{}, lastStart: t.starts[part], touched: now}
	t.suspects[part] = s
	return s
}

// expired reports whether the lifetime of a suspect is over.
func (t *Table) expired(now time.Time, s *suspect) bool {
	t.assess()
	return len(s.crashes) > 0 && now.Sub(s.lastCrash()) > s.lifetime()
}

// addCrash adds a crash that was seen at a time.
func (t *Table) addCrash(now time.Time, s *suspect, crash CrashID, seen time.Time) bool {
	if _, known := s.crashes[crash]; known {
		return false
	}
	s.crashes[crash] = seen
	if len(s.crashes) > maxCrashes {
		oldest := crash
		for id, at := range s.crashes {
			if at.Before(s.crashes[oldest]) {
				oldest = id
			}
		}
		delete(s.crashes, oldest)
	}
	s.touched, t.stale = now, true
	return true
}

// makeRoom removes suspects whose lifetime is over if the table is full and, if it still
// is, the weakest ones.
func (t *Table) makeRoom(now time.Time) {
	if len(t.suspects) < maxSuspects {
		return
	}
	t.assess()
	for part, s := range t.suspects {
		if t.expired(now, s) {
			delete(t.suspects, part)
		}
	}
	if len(t.suspects) >= maxSuspects {
		weakest := slices.SortedFunc(maps.Keys(t.suspects), t.compareStrength)[maxSuspects-dropAtOnce:]
		t.Dropped += int64(len(weakest))
		for _, part := range weakest {
			delete(t.suspects, part)
		}
	}
	t.stale = true
}

// compareStrength orders suspects: those with the most crashes first, then parts that no
// answer has begun with, other parts and contents, then those touched last.
func (t *Table) compareStrength(a, b string) int {
	x, y := t.suspects[a], t.suspects[b]
	return cmp.Or(cmp.Compare(y.unexplained, x.unexplained), cmp.Compare(x.kind(), y.kind()), y.touched.Compare(x.touched), cmp.Compare(a, b))
}

// kind returns 0 for a part that no answer has begun with, 1 for another part and 2 for a
// content.
func (s *suspect) kind() int {
	switch {
	case s.content:
		return 2
	case s.lastStart.IsZero():
		return 0
	}
	return 1
}

// Standing returns how requests with a part are treated.
func (t *Table) Standing(now time.Time, part string) Standing {
	t.assess()
	s, ok := t.suspects[part]
	if !ok || s.unexplained == 0 {
		return Sound
	}
	switch {
	case t.expired(now, s):
		return Sound
	case s.convicted && now.Sub(s.lastCrash()) <= s.hold():
		return Convicted
	case s.convicted:
		return Suspected
	case !s.content && (s.lastStart.IsZero() || s.unexplained >= trialCrashes):
		return Suspected
	}
	return Sound
}

// Evidence describes the evidence against a part, for logs.
type Evidence struct {
	Part    string
	Crashes int
	// Age is the time since the latest crash.
	Age time.Duration
}

// Judge returns the evidence against the first of these parts that is convicted, if one
// is, and otherwise the parts that are suspected. A part that was convicted with others is
// only suspected in a request without one of these: its outcome tells them apart. While
// the peers may know more than this node, the suspected parts include each one that no
// answer is known to have begun with.
func (t *Table) Judge(now time.Time, parts []string) (Evidence, bool, []string) {
	var suspected []string
	behind := t.behind(now)
	for _, part := range parts {
		switch t.Standing(now, part) {
		case Convicted:
			if !t.tellsApart(parts, part) {
				return t.Evidence(now, part), true, nil
			}
			suspected = append(suspected, part)
		case Suspected:
			suspected = append(suspected, part)
		case Sound:
			if behind && !IsContent(part) && t.starts[part].IsZero() {
				suspected = append(suspected, part)
			}
		}
	}
	return Evidence{}, false, suspected
}

// tellsApart reports whether the outcome of a request with these parts would tell one of
// them apart from a part that was convicted with it.
func (t *Table) tellsApart(parts []string, part string) bool {
	return slices.ContainsFunc(t.suspects[part].twins, func(twin string) bool { return !slices.Contains(parts, twin) })
}

// behind reports whether the peers may know more than this node.
func (t *Table) behind(now time.Time) bool {
	return !t.lastReport.IsZero() && (now.Sub(t.lastReport) > standstill || now.Sub(t.resumed) < catchUpTime)
}

// recordReport records that the node reports to its peers.
func (t *Table) recordReport(now time.Time) {
	if now.Sub(t.lastReport) > standstill {
		t.resumed = now
	}
	t.lastReport = now
}

// Evidence returns the evidence against a part.
func (t *Table) Evidence(now time.Time, part string) Evidence {
	t.assess()
	s, ok := t.suspects[part]
	if !ok {
		return Evidence{Part: part}
	}
	return Evidence{Part: part, Crashes: s.unexplained, Age: now.Sub(s.lastCrash())}
}

// Crashes returns the number of crashes since the last start that are known of a part or
// content.
func (t *Table) Crashes(part string) int {
	if s, ok := t.suspects[part]; ok {
		return len(s.open())
	}
	return 0
}

// Transition is a change of the standing of a part.
type Transition struct {
	Evidence
	Standing Standing
}

// Transitions returns the changes of standings since the last call.
func (t *Table) Transitions(now time.Time) []Transition {
	var out []Transition
	for part, s := range t.suspects {
		if standing := t.Standing(now, part); standing != s.reported {
			s.reported = standing
			out = append(out, Transition{Evidence: t.Evidence(now, part), Standing: standing})
		}
	}
	slices.SortFunc(out, func(a, b Transition) int { return cmp.Compare(a.Part, b.Part) })
	return out
}
