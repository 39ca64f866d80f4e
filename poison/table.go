// Package poison finds what crashes upstreams, parts of prompts and whole contents of
// requests, and keeps requests with it from them.
//
// A crash of an upstream makes suspects of the content and of each part of the requests
// that it was answering. Most of them are bystanders, so counts alone don't convict. An
// answer that gets further than the one that a crash cut off clears its content and the
// parts of its prompt: an answer that begins is enough if the crash came before the first
// event, and otherwise only an answer that ends whole. A crash counts only against the part
// that explains the most crashes. Requests with a suspected part run one at a time on all
// nodes, so that evidence arrives before further upstreams are lost.
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
	// maxAnswered bounds the parts whose latest answers are remembered.
	maxAnswered = 4096
	// maxCrashes bounds the crashes remembered for a suspect; the latest are kept.
	maxCrashes = 6
	// convictCrashes is the number of crashes that convict a content, and a part that
	// no answer has begun with, if no other part explains as many.
	// convictCrashesDoubtful applies to all other parts, and to answers that had begun.
	// convictCrashesUntold applies if the evidence can't tell a part that crashes
	// upstreams in the middle of answers from the parts beside it.
	convictCrashes         = 2
	convictCrashesDoubtful = 3
	convictCrashesUntold   = 5
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
	// clearedTime is how long a cleared suspect is reported to peers, and one with weak
	// evidence. The latter is repeated once each weakInterval, in the reports of
	// weakWindow, which is longer than the time between two reports.
	clearedTime  = 5 * time.Second
	weakInterval = 500 * time.Millisecond
	weakWindow   = 65 * time.Millisecond
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
	crashes map[CrashID]crash
	// answered holds the latest answers to requests with the part.
	answered answered
	// touched is when the evidence last changed or a peer last reported less of it.
	touched time.Time
	// unexplained is the number of open crashes that no other convicted part explains;
	// for a part, crashes within sameOutageTime count once. needed is the number that
	// convicts it, and convicted says that the suspect explains them.
	unexplained, needed int
	convicted           bool
	// twins lists the parts that were convicted with this one, because the evidence
	// does not tell them apart.
	twins []string
	// reported is the standing that Transitions last returned.
	reported Standing
}

// crash is a crash of an upstream. begun says that the upstream had begun to answer the
// request with the suspect.
type crash struct {
	at    time.Time
	begun bool
}

// answered holds when answers to requests with a part last began, were last written whole by
// one upstream, and were last ended by another one than had begun them; zero for never.
type answered struct{ start, end, rest time.Time }

// lastCrash returns when the latest crash was seen.
func (s *suspect) lastCrash() time.Time {
	var last time.Time
	for _, c := range s.crashes {
		if c.at.After(last) {
			last = c.at
		}
	}
	return last
}

// cutsOff reports whether one of the crashes since the last whole answer cut off an answer
// that had begun. Answers that only begin prove nothing then.
func (s *suspect) cutsOff() bool {
	for _, c := range s.crashes {
		if c.begun && c.at.After(s.answered.end) {
			return true
		}
	}
	return false
}

// cleared returns when an answer last showed that the suspect is sound; zero for never.
func (s *suspect) cleared() time.Time {
	if s.cutsOff() {
		return s.answered.end
	}
	return s.answered.start
}

// proof is how well answers show that a part is sound.
type proof int

// Proofs, from the least: no answer has ever begun; answers have begun, but none got further
// than those that crashes cut off; other upstreams could end some of these; or an answer has
// cleared the part at some time.
const (
	noProof proof = iota
	startProof
	partProof
	wholeProof
)

// proof returns how well answers show that the suspect is sound.
func (s *suspect) proof() proof {
	switch {
	case !s.cleared().IsZero():
		return wholeProof
	case !s.answered.rest.IsZero():
		return partProof
	case s.cutsOff():
		return startProof
	}
	return noProof
}

// open returns the crashes since the suspect was last cleared.
func (s *suspect) open() []CrashID {
	var out []CrashID
	cleared := s.cleared()
	for id, c := range s.crashes {
		if c.at.After(cleared) {
			out = append(out, id)
		}
	}
	return out
}

// weak reports whether there is little evidence against the suspect: at most one crash that
// cut off an answer. Such a crash makes suspects of all that its upstream ran, and most of
// them are never heard of again.
func (s *suspect) weak() bool {
	if s.unexplained > 1 {
		return false
	}
	for _, c := range s.crashes {
		if c.begun {
			return true
		}
	}
	return false
}

// lifetime returns how long after the latest crash the suspect is kept.
func (s *suspect) lifetime() time.Duration {
	if s.convicted {
		return max(2*s.hold(), convictionMemory)
	}
	return suspicionTime
}

// hold returns how long after the latest crash the conviction lasts. One that took more
// crashes, because they tell little, lasts no longer.
func (s *suspect) hold() time.Duration {
	base := convictCrashes
	if s.needed == convictCrashesUntold {
		base = convictCrashesUntold
	}
	hold := minHold
	for range s.count(s.open()) - base {
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
		seen = append(seen, s.crashes[id].at)
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
	// answered holds the latest answers, by part; order lists the parts, the one added
	// first at its start. lastEnd is when any answer last ended whole.
	answered map[string]answered
	order    []string
	lastEnd  time.Time
	// lastCutOff is when the latest crash was seen that cut off an answer.
	lastCutOff time.Time
	claims     map[claimKey]*claim
	stale      bool
	// lastReport is when Report was last called; resumed is when it was called first
	// or for the first time after standstill.
	lastReport, resumed time.Time
	// Dropped counts the suspects that were removed because the table was full.
	Dropped int64
}

// NewTable returns an empty table of a node.
func NewTable(node string) *Table {
	return &Table{node: node, suspects: map[string]*suspect{}, answered: map[string]answered{}, claims: map[claimKey]*claim{}}
}

// RecordStart records that an upstream has begun to answer a request with these parts,
// and reports whether one of them was suspected or convicted.
func (t *Table) RecordStart(now time.Time, parts []string) bool {
	return t.recordAnswer(now, parts, func(a *answered) { a.start = now })
}

// RecordEnd records that one upstream has written the whole answer to a request with these
// parts, and reports whether one of them was suspected or convicted.
func (t *Table) RecordEnd(now time.Time, parts []string) bool {
	t.noteEnd(now)
	return t.recordAnswer(now, parts, func(a *answered) { a.start, a.end = now, now })
}

// RecordRest records that an upstream has ended an answer to a request with these parts which
// others had begun. That clears no part, as the beginning may crash upstreams, but makes it
// less likely that one does.
func (t *Table) RecordRest(now time.Time, parts []string) {
	t.recordAnswer(now, parts, func(a *answered) { a.rest = now })
}

// noteEnd records that an answer has ended whole at a time.
func (t *Table) noteEnd(at time.Time) {
	if at.After(t.lastEnd) {
		// The first end after a crash counts in untold.
		t.stale = t.stale || t.lastCutOff.After(t.lastEnd)
		t.lastEnd = at
	}
}

// recordAnswer applies a change to what is known of the answers with each of these parts.
func (t *Table) recordAnswer(now time.Time, parts []string, change func(*answered)) bool {
	clears := false
	for _, part := range parts {
		if !IsContent(part) {
			t.remember(part, change)
		}
		s, ok := t.suspects[part]
		if !ok {
			continue
		}
		clears = clears || t.Standing(now, part) != Sound
		before, proved := len(s.open()), s.proof()
		change(&s.answered)
		if len(s.open()) != before || s.proof() != proved {
			s.touched, t.stale = now, true
		}
	}
	return clears
}

// remember applies a change to the latest answers with a part.
func (t *Table) remember(part string, change func(*answered)) {
	a, known := t.answered[part]
	if !known {
		t.order = append(t.order, part)
	}
	change(&a)
	t.answered[part] = a
	if len(t.order) > maxAnswered {
		delete(t.answered, t.order[0])
		t.order = t.order[1:]
	}
}

// RecordCrash records that an upstream crashed while it was to answer a request with these
// parts and content. begun says whether the answer had begun.
func (t *Table) RecordCrash(now time.Time, parts []string, id CrashID, begun bool) {
	for _, part := range parts {
		t.addCrash(now, t.suspect(now, part), id, crash{at: now, begun: begun})
	}
}

// CutsOff reports whether one of these parts is suspected of crashing upstreams after their
// answers have begun.
func (t *Table) CutsOff(parts []string) bool {
	return slices.ContainsFunc(parts, func(part string) bool {
		s, ok := t.suspects[part]
		return ok && s.cutsOff()
	})
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
	s = &suspect{content: IsContent(part), crashes: map[CrashID]crash{}, answered: t.answered[part], touched: now}
	t.suspects[part] = s
	return s
}

// expired reports whether the lifetime of a suspect is over.
func (t *Table) expired(now time.Time, s *suspect) bool {
	t.assess()
	return len(s.crashes) > 0 && now.Sub(s.lastCrash()) > s.lifetime()
}

// addCrash adds a crash and reports whether it is news.
func (t *Table) addCrash(now time.Time, s *suspect, id CrashID, c crash) bool {
	known, ok := s.crashes[id]
	if ok && (known.begun || !c.begun) {
		return false
	}
	if ok {
		c.at = known.at
	}
	s.crashes[id] = c
	if len(s.crashes) > maxCrashes {
		oldest := id
		for other, c := range s.crashes {
			if c.at.Before(s.crashes[oldest].at) {
				oldest = other
			}
		}
		delete(s.crashes, oldest)
	}
	if c.begun && c.at.After(t.lastCutOff) {
		t.lastCutOff = c.at
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
// answer has cleared, other parts and contents, then those touched last.
func (t *Table) compareStrength(a, b string) int {
	x, y := t.suspects[a], t.suspects[b]
	return cmp.Or(cmp.Compare(y.unexplained, x.unexplained), cmp.Compare(x.kind(), y.kind()), y.touched.Compare(x.touched), cmp.Compare(a, b))
}

// kind returns 0 for a part that no answer has ever cleared, 1 for another part and 2 for a
// content.
func (s *suspect) kind() int {
	switch {
	case s.content:
		return 2
	case s.proof() <= startProof:
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
	case !s.content && s.unexplained >= t.trialCrashes(s):
		return Suspected
	}
	return Sound
}

// trialCrashes returns the number of crashes from which requests with a part run one at a
// time: a part that no answer has cleared needs one, if evidence can tell it from the parts
// beside it.
func (t *Table) trialCrashes(s *suspect) int {
	if s.proof() <= startProof && s.needed < convictCrashesUntold {
		return 1
	}
	return max(convictCrashes, s.needed-1)
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
// answer is known to have begun with. If the request resumes an answer that was cut off, as
// resumes says, they include each one that a crash has cut off an answer with and that was
// never in a whole one.
func (t *Table) Judge(now time.Time, parts []string, resumes bool) (Evidence, bool, []string) {
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
			if !IsContent(part) && (behind && t.answered[part].start.IsZero() || resumes && t.uncleared(now, part)) {
				suspected = append(suspected, part)
			}
		}
	}
	return Evidence{}, false, suspected
}

// uncleared reports whether a part has been in an answer that a crash cut off and in no
// whole one.
func (t *Table) uncleared(now time.Time, part string) bool {
	s, ok := t.suspects[part]
	return ok && s.cutsOff() && s.proof() == startProof && s.unexplained > 0 && !t.expired(now, s)
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

// Crashes returns the number of open crashes that are known of a part or content.
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
