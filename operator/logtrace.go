package operator

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/tamarackcleat/tamarackcleat/decisions"
)

// explainFromLogs prints the lines of the nodes' log files that concern the
// request with the given id. It fails if there are none.
func (p *Program) explainFromLogs(cmd *cli.Command, id string, files []string) error {
	var lines []decisions.Line
	for _, name := range files {
		more, err := p.readLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, more...)
	}
	trace := decisions.TraceRequest(lines, id)
	if len(trace.Lines) == 0 {
		return errors.Newf("no line of %d names request %q", len(lines), id)
	}
	return p.printResult(cmd, trace, requestTraceText(trace))
}

// readLog reads the lines of one log file; the name "-" stands for standard
// input.
func (p *Program) readLog(name string) ([]decisions.Line, error) {
	if name == "-" {
		return decisions.ReadLog(p.Stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "opening the log")
	}
	defer f.Close()
	return decisions.ReadLog(io.Reader(f))
}

// requestTraceText lists the log lines of a request, each with the time since the
// first one. Between them, in order of time, it lists the changes of state of
// the upstreams that the request was sent to.
func requestTraceText(s decisions.RequestTrace) string {
	all := slices.Concat(s.Lines, s.UpstreamEvents)
	slices.SortStableFunc(all, func(a, b decisions.Line) int { return a.At.Compare(b.At) })
	var b strings.Builder
	fmt.Fprintf(&b, "request %s: %s\n", s.ID, outcomeText(s))
	for _, l := range all {
		since := l.At.Sub(s.Lines[0].At).Round(timePrecision)
		fmt.Fprintf(&b, "  %10s  %-20s  %-18s", "+"+since.String(), l.Node, l.Event)
		for _, name := range slices.Sorted(maps.Keys(l.Data)) {
			if name != "id" {
				fmt.Fprintf(&b, " %s=%v", name, l.Data[name])
			}
		}
		b.WriteString("\n")
	}
	return b.String()
}

// outcomeText describes how a request ended and why.
func outcomeText(s decisions.RequestTrace) string {
	switch {
	case s.Outcome == "":
		return "no line tells how it ended; lines may have been dropped (log.dropped)"
	case s.Cause == "":
		return s.Outcome
	}
	return s.Outcome + ": " + s.Cause
}
