package decisions

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLine bounds a line of a log in bytes.
const maxLine = 1 << 20

// Line is one line of a log.
type Line struct {
	At    time.Time      `json:"at"`
	Node  string         `json:"node"`
	Event string         `json:"event"`
	Data  map[string]any `json:"data"`
}

// Story is what the logs of the nodes say of one request.
type Story struct {
	ID    string `json:"id"`
	Lines []Line `json:"lines"`
	// Around holds changes of belief on the upstreams that the request was
	// sent to, from its first line to its last.
	Around []Line `json:"around"`
	// Outcome is the event that ended the request; empty if no line tells.
	Outcome string `json:"outcome"`
	// Cause says why in the words of the deciding line.
	Cause string `json:"cause"`
}

// outcomes are the events that end a request.
var outcomes = []string{RequestAnswered, RequestRefused, RequestFailed, RequestBroken, RequestAbandoned}

// ReadLog reads the structured lines of a log. Text in front of a line's JSON
// and lines of another kind are skipped.
func ReadLog(r io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	var out []Line
	for scanner.Scan() {
		if line, ok := parseLine(scanner.Bytes()); ok {
			out = append(out, line)
		}
	}
	return out, errors.Wrap(scanner.Err(), "reading the log")
}

func parseLine(b []byte) (Line, bool) {
	start := bytes.IndexByte(b, '{')
	if start < 0 {
		return Line{}, false
	}
	var data map[string]any
	if err := json.Unmarshal(b[start:], &data); err != nil {
		return Line{}, false
	}
	event, ok := data["msg"].(string)
	if !ok {
		return Line{}, false
	}
	line := Line{Event: event, Data: data}
	line.Node, _ = data["node"].(string)
	if at, ok := data["time"].(string); ok {
		// A line without a sound time sorts first.
		line.At, _ = time.Parse(time.RFC3339Nano, at)
	}
	for _, name := range []string{"msg", "node", "time", "level"} {
		delete(data, name)
	}
	return line, true
}

// Tell returns the story of a request.
func Tell(lines []Line, id string) Story {
	s := Story{ID: id}
	upstreams := map[string]bool{}
	for _, l := range lines {
		if l.Data["id"] != id {
			continue
		}
		s.Lines = append(s.Lines, l)
		if u, ok := l.Data["upstream"].(string); ok {
			upstreams[u] = true
		}
	}
	byTime := func(a, b Line) int { return a.At.Compare(b.At) }
	slices.SortStableFunc(s.Lines, byTime)
	if len(s.Lines) == 0 {
		return s
	}
	first, last := s.Lines[0].At, s.Lines[len(s.Lines)-1].At
	for _, l := range lines {
		if l.Data["id"] == nil && !l.At.Before(first) && !l.At.After(last) && concerns(l, upstreams) {
			s.Around = append(s.Around, l)
		}
	}
	slices.SortStableFunc(s.Around, byTime)
	s.conclude()
	return s
}

// concerns reports whether a change of belief is about one of the upstreams.
func concerns(l Line, upstreams map[string]bool) bool {
	if u, ok := l.Data["upstream"].(string); ok && upstreams[u] {
		return true
	}
	members, ok := l.Data["members"].([]any)
	return ok && slices.ContainsFunc(members, func(m any) bool { u, ok := m.(string); return ok && upstreams[u] })
}

// conclude names the outcome and its cause.
func (s *Story) conclude() {
	for _, l := range s.Lines {
		if !slices.Contains(outcomes, l.Event) {
			continue
		}
		s.Outcome = l.Event
		var parts []string
		for _, name := range []string{"reason", "verdict", "detail"} {
			if v, ok := l.Data[name].(string); ok && v != "" {
				parts = append(parts, v)
			}
		}
		s.Cause = strings.Join(parts, ", ")
	}
}
