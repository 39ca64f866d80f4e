package poison

import (
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// maxReported and maxReportedClaims bound a report to peers, which has at most
	// 9 KB.
	maxReported       = 16
	maxReportedClaims = 16
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
}

// CrashReport is a crash of an upstream.
type CrashReport struct {
	ID        CrashID `json:"id"`
	AgeMillis int64   `json:"age"`
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
	parts := slices.DeleteFunc(slices.Collect(maps.Keys(t.suspects)), func(part string) bool {
		s := t.suspects[part]
		return s.unexplained == 0 && now.Sub(s.touched) > clearedTime || t.expired(now, s)
	})
	slices.SortFunc(parts, t.compareStrength)
	r := Findings{Claims: t.claimReports(now)}
	for _, part := range parts[:min(len(parts), maxReported)] {
		s := t.suspects[part]
		out := SuspectReport{Part: part, StartMillis: neverMillis}
		if !s.lastStart.IsZero() {
			out.StartMillis = now.Sub(s.lastStart).Milliseconds()
		}
		for id, at := range s.crashes {
			out.Crashes = append(out.Crashes, CrashReport{ID: id, AgeMillis: now.Sub(at).Milliseconds()})
		}
		r.Suspects = append(r.Suspects, out)
	}
	return r
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
		news = t.addCrash(now, s, c.ID, now.Add(-millis(c.AgeMillis))) || news
	}
	var start time.Time
	if r.StartMillis >= 0 {
		start = now.Add(-millis(r.StartMillis))
	}
	switch skew := start.Sub(s.lastStart); {
	case start.IsZero() && !s.lastStart.IsZero(), !start.IsZero() && skew < -startSkew:
		news = news || now.Sub(s.touched) > clearedTime
		s.touched = now
	case !start.IsZero() && skew > startSkew:
		s.lastStart, s.touched, t.stale = start, now, true
		news = true
	}
	return news
}

// startSkew is the difference between the same start as two nodes know it, by the time
// that reports take.
const startSkew = 200 * time.Millisecond

// millis returns an age in a report as a duration within bounds.
func millis(age int64) time.Duration {
	return time.Duration(min(max(0, age), maxAgeMillis)) * time.Millisecond
}
