package poison

import (
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// maxReported, maxReportedBytes and maxReportedClaims bound a report to peers, which
	// has at most 9 KB. suspectBytes and crashBytes are how long a suspect, without the id
	// of its part, and a crash are at most.
	maxReported       = 48
	maxReportedBytes  = 5 << 10
	maxReportedClaims = 16
	suspectBytes      = 90
	crashBytes        = 60
	// maxAgeMillis bounds the ages in reports of peers.
	maxAgeMillis = int64(24 * time.Hour / time.Millisecond)
	// maxIDBytes bounds the ids of parts and of nodes.
	maxIDBytes = 64
	// neverMillis is the age of a start that never was.
	neverMillis = -1
)

// Findings are what a node tells its peers, including what it heard from others. Times are
// ages in milliseconds, because the nodes' clocks differ.
type Findings struct {
	Suspects []SuspectReport `json:"suspects,omitempty"`
	Claims   []ClaimReport   `json:"claims,omitempty"`
}

// SuspectReport is the evidence against and for a part.
type SuspectReport struct {
	Part    string        `json:"part"`
	Crashes []CrashReport `json:"crashes"`
	// StartMillis is the age of the latest start of an answer; -1 for none.
	StartMillis int64 `json:"start"`
	// EndMillis is the age of the latest answer that one upstream wrote whole, RestMillis
	// that of the latest one that another upstream ended than had begun it; at least 1, 0
	// for none.
	EndMillis  int64 `json:"end,omitempty"`
	RestMillis int64 `json:"rest,omitempty"`
}

// CrashReport is a crash of an upstream.
type CrashReport struct {
	ID        CrashID `json:"id"`
	AgeMillis int64   `json:"age"`
	// Begun says that the upstream had begun to answer the request.
	Begun bool `json:"begun,omitempty"`
}

// ClaimReport is a node's claim to run the only request with a part. AgeMillis is the time
// since the node reported it.
type ClaimReport struct {
	Part      string `json:"part"`
	Node      string `json:"node"`
	Running   bool   `json:"running,omitempty"`
	AgeMillis int64  `json:"age,omitempty"`
}

// IsID reports whether s can be the id of a part: a hash, short and without characters
// that need an escape in JSON.
func IsID(s string) bool {
	return s != "" && len(s) <= maxIDBytes && !strings.ContainsFunc(s, func(r rune) bool {
		return (r < '0' || r > '9') && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && r != '-' && r != '_'
	})
}

// Report returns the report to peers.
func (t *Table) Report(now time.Time) Findings {
	t.recordReport(now)
	t.assess()
	parts := slices.DeleteFunc(slices.Collect(maps.Keys(t.suspects)), func(part string) bool { return !t.isReported(now, t.suspects[part]) })
	slices.SortFunc(parts, t.compareStrength)
	r := Findings{Claims: t.claimReports(now)}
	size := 0
	for _, part := range parts[:min(len(parts), maxReported)] {
		s := t.suspects[part]
		if size += suspectBytes + len(part) + crashBytes*len(s.crashes); size > maxReportedBytes {
			break
		}
		out := SuspectReport{Part: part, StartMillis: neverMillis}
		if !s.answered.start.IsZero() {
			out.StartMillis = now.Sub(s.answered.start).Milliseconds()
		}
		out.EndMillis, out.RestMillis = reportAge(now, s.answered.end), reportAge(now, s.answered.rest)
		for id, c := range s.crashes {
			out.Crashes = append(out.Crashes, CrashReport{ID: id, AgeMillis: now.Sub(c.at).Milliseconds(), Begun: c.begun})
		}
		r.Suspects = append(r.Suspects, out)
	}
	return r
}

// isReported reports whether peers are told of a suspect now.
func (t *Table) isReported(now time.Time, s *suspect) bool {
	switch age := now.Sub(s.touched); {
	case s.weak():
		return age <= clearedTime && age%weakInterval <= weakWindow
	case s.unexplained == 0:
		// Peers may still suspect what an answer has cleared here, however old the crashes.
		return age <= clearedTime
	}
	return !t.expired(now, s)
}

// Merge merges a peer's report and reports whether it held news, which this node should
// pass on soon.
func (t *Table) Merge(now time.Time, r Findings) bool {
	news := false
	for _, s := range r.Suspects[:min(len(r.Suspects), maxReported)] {
		if IsID(strings.TrimPrefix(s.Part, contentPrefix)) && len(s.Crashes) > 0 {
			news = t.mergeSuspect(now, s) || news
		}
	}
	for _, c := range r.Claims[:min(len(r.Claims), maxReportedClaims)] {
		if IsID(strings.TrimPrefix(c.Part, contentPrefix)) && len(c.Node) <= maxIDBytes {
			news = t.mergeClaim(now, c) || news
		}
	}
	return news
}

// mergeSuspect merges a peer's evidence and reports whether it is news to this node or
// less than this node knows.
func (t *Table) mergeSuspect(now time.Time, r SuspectReport) bool {
	s := t.suspect(now, r.Part)
	news := false
	for _, c := range r.Crashes[:min(len(r.Crashes), maxCrashes)] {
		news = t.addCrash(now, s, c.ID, crash{at: now.Add(-millis(c.AgeMillis)), begun: c.Begun}) || news
	}
	var start time.Time
	if r.StartMillis >= 0 {
		start = now.Add(-millis(r.StartMillis))
	}
	end, rest := reportedTime(now, r.EndMillis), reportedTime(now, r.RestMillis)
	t.noteEnd(end)
	news = t.mergeAnswer(now, s, &s.answered.start, start) || news
	news = t.mergeAnswer(now, s, &s.answered.end, end) || news
	return t.mergeAnswer(now, s, &s.answered.rest, rest) || news
}

// reportAge returns the age of a time for a report, at least 1; 0 for the zero time.
func reportAge(now, at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return max(1, now.Sub(at).Milliseconds())
}

// reportedTime returns the time of an age that reportAge returned at a peer.
func reportedTime(now time.Time, age int64) time.Time {
	if age <= 0 {
		return time.Time{}
	}
	return now.Add(-millis(age))
}

// mergeAnswer merges the time of an answer that a peer reported into the one that this node
// knows, own, and reports whether it is news to this node, or the peer should hear of own.
func (t *Table) mergeAnswer(now time.Time, s *suspect, own *time.Time, reported time.Time) bool {
	switch skew := reported.Sub(*own); {
	case reported.IsZero() && !own.IsZero(), !reported.IsZero() && skew < -answerSkew:
		news := now.Sub(s.touched) > clearedTime
		s.touched = now
		return news
	case !reported.IsZero() && skew > answerSkew:
		*own, s.touched, t.stale = reported, now, true
		return true
	}
	return false
}

// answerSkew is the difference between the same answer as two nodes know it, by the time
// that reports take.
const answerSkew = 200 * time.Millisecond

// millis returns an age in a report as a duration within bounds.
func millis(age int64) time.Duration {
	return time.Duration(min(max(0, age), maxAgeMillis)) * time.Millisecond
}
