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

// maxLineBytes is the longest line that ReadLog accepts, in bytes; it returns an
// error for a longer one.
const maxLineBytes = 1 << 20

// Line is one line of a node's log.
type Line struct {
	At    time.Time      `json:"at"`
	Node  string         `json:"node"`
	Event string         `json:"event"`
	Data  map[string]any `json:"data"`
}

// RequestTrace is the trace of one request through the logs of all nodes.
type RequestTrace struct {
	ID    string `json:"id"`
	Lines []Line `json:"lines"`
	// UpstreamEvents holds lines that name no request but an upstream that this
	// request was sent to, from the request's first line to its last.
	UpstreamEvents []Line `json:"around"`
	// Outcome is the event that ended the request; empty if no line shows one.
	Outcome string `json:"outcome"`
	// Cause is the reason, verdict and detail of the line with the outcome.
	Cause string `json:"cause"`
}

// outcomeEvents are the events that end a request.
var outcomeEvents = []string{RequestAnswered, RequestRefused, RequestFailed, RequestBroken, RequestAbandoned}

// ReadLog returns the structured lines of a log. It skips text in front of a
// line's JSON object and lines without an event.
func ReadLog(r io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
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
		// A line whose time can't be parsed keeps the zero time and sorts first.
		line.At, _ = time.Parse(time.RFC3339Nano, at)
	}
	for _, name := range []string{"msg", "node", "time", "level"} {
		delete(data, name)
	}
	return line, true
}

// TraceRequest returns the trace of the request with the given id. The field
// Lines of the result is empty if no line names the request.
func TraceRequest(lines []Line, id string) RequestTrace {
	s := RequestTrace{ID: id}
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
		if l.Data["id"] == nil && !l.At.Before(first) && !l.At.After(last) && mentionsAny(l, upstreams) {
			s.UpstreamEvents = append(s.UpstreamEvents, l)
		}
	}
	slices.SortStableFunc(s.UpstreamEvents, byTime)
	s.setOutcome()
	return s
}

// mentionsAny reports whether a line names one of the upstreams, as its upstream
// or among its members.
func mentionsAny(l Line, upstreams map[string]bool) bool {
	if u, ok := l.Data["upstream"].(string); ok && upstreams[u] {
		return true
	}
	members, ok := l.Data["members"].([]any)
	return ok && slices.ContainsFunc(members, func(m any) bool { u, ok := m.(string); return ok && upstreams[u] })
}

// setOutcome sets Outcome and Cause from the last line that ends the request.
func (s *RequestTrace) setOutcome() {
	for _, l := range s.Lines {
		if !slices.Contains(outcomeEvents, l.Event) {
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
