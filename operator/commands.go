package operator

import (
	"context"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/tamarackcleat/tamarackcleat/api"
	"github.com/tamarackcleat/tamarackcleat/config/dynamic"
	"github.com/tamarackcleat/tamarackcleat/config/strictyaml"
)

// stdinName is the file name that stands for standard input.
const stdinName = "-"

// document is a configuration document that was read from a file and is valid.
type document struct {
	// name is the name of the file as given on the command line.
	name string
	// text is what is published: the content of the file without its baseLine.
	text   string
	parsed *dynamic.Document
	// base is the version that the file was made from, or baseNotGiven if the
	// file has no baseLine.
	base int64
}

// argDocument reads and validates the document in the file that the only
// argument of the command names.
func (p *Program) argDocument(cmd *cli.Command) (document, error) {
	name, err := singleArg(cmd, "file")
	if err != nil {
		return document{}, err
	}
	return p.readDocument(name)
}

// readDocument reads and validates the document in the named file.
func (p *Program) readDocument(name string) (document, error) {
	data, err := p.readFile(name)
	if err != nil {
		return document{}, newFailure(ExitInvalid, "%v", err)
	}
	parsed, err := dynamic.Parse(name, data)
	if err != nil {
		return document{}, invalidDocument(err)
	}
	base, text := splitBase(string(data))
	return document{name: name, text: text, parsed: parsed, base: base}, nil
}

// baseLine matches the first line of the output of the targets command. A file
// that still has this line was made from the version in it.
var baseLine = regexp.MustCompile(`^# version ([0-9]{1,18}), published by .*\n`)

// splitBase returns the version in the baseLine of text and the text after that
// line. Without such a line it returns baseNotGiven and the whole text.
func splitBase(text string) (base int64, rest string) {
	m := baseLine.FindStringSubmatch(text)
	if m == nil {
		return baseNotGiven, text
	}
	base, err := strconv.ParseInt(m[1], 10, 64)
	if err != nil {
		return baseNotGiven, text
	}
	return base, text[len(m[0]):]
}

// readFile reads a document from a file, or from standard input for stdinName.
func (p *Program) readFile(name string) ([]byte, error) {
	in := p.Stdin
	if name != stdinName {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		in = f
	}
	return strictyaml.ReadDocument(in)
}

// ValidateResult is the result of the validate command.
type ValidateResult struct {
	// Valid is always true; for an invalid document the command returns a
	// Failure.
	Valid bool `json:"valid"`
	// Classes is the number of classes in the document.
	Classes int `json:"classes"`
}

func (p *Program) validateCommand() *cli.Command {
	return &cli.Command{
		Name:      "validate",
		Usage:     "check a document without publishing it",
		ArgsUsage: "FILE",
		Action: func(_ context.Context, cmd *cli.Command) error {
			doc, err := p.argDocument(cmd)
			if err != nil {
				return err
			}
			n := len(doc.parsed.Classes)
			return p.printResult(cmd, ValidateResult{Valid: true, Classes: n},
				fmt.Sprintf("%s is valid: %s\n", doc.name, countNoun(n, "class", "classes")))
		},
	}
}

// DiffResult is the result of the diff command.
type DiffResult struct {
	// Version is the published version that the file is compared with.
	Version int64 `json:"version"`
	// Changes lists what publishing the file would change.
	Changes []dynamic.Change `json:"changes"`
}

func (p *Program) diffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "show what publishing a document would change",
		ArgsUsage: "FILE",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			doc, err := p.argDocument(cmd)
			if err != nil {
				return err
			}
			c := p.client(cmd)
			view, err := c.config(ctx)
			if err != nil {
				return c.failure(err)
			}
			changes, err := changesFrom(view, doc.parsed)
			if err != nil {
				return err
			}
			text := fmt.Sprintf("against version %d:\n%s", view.Version, formatChanges(changes))
			return p.printResult(cmd, DiffResult{Version: view.Version, Changes: changes}, text)
		},
	}
}

// parsePublished parses the published document of a view. It returns nil if no
// document is published.
func parsePublished(view api.ConfigView) (*dynamic.Document, error) {
	if view.Version == 0 {
		return nil, nil
	}
	d, err := dynamic.Parse(fmt.Sprintf("version %d", view.Version), []byte(view.Document))
	if err != nil {
		return nil, newFailure(ExitFailure, "the published version %d is not understood: %v", view.Version, err).
			withAdvice("use the command line of the same release as the entry VMs")
	}
	return d, nil
}

// changesFrom lists the changes from the published document of view to d. The
// list is not nil, so that it is encoded as a JSON array.
func changesFrom(view api.ConfigView, d *dynamic.Document) ([]dynamic.Change, error) {
	old, err := parsePublished(view)
	if err != nil {
		return nil, err
	}
	return append([]dynamic.Change{}, dynamic.Diff(old, d)...), nil
}

// formatChanges returns the changes, one per line.
func formatChanges(changes []dynamic.Change) string {
	if len(changes) == 0 {
		return "  no class or target changes\n"
	}
	var b strings.Builder
	for _, c := range changes {
		fmt.Fprintf(&b, "  %s\n", c)
	}
	return b.String()
}

// TargetsResult is the result of the targets command.
type TargetsResult struct {
	// Version is the published version and Author is who published it.
	Version int64  `json:"version"`
	Author  string `json:"author"`
	// Document is the published document, or nil if there is none.
	Document *dynamic.Document `json:"document"`
}

func (p *Program) targetsCommand() *cli.Command {
	return &cli.Command{
		Name:  "targets",
		Usage: "show everything that governs the service",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if err := noArgs(cmd); err != nil {
				return err
			}
			c := p.client(cmd)
			view, err := c.config(ctx)
			if err != nil {
				return c.failure(err)
			}
			d, err := parsePublished(view)
			if err != nil {
				return err
			}
			return p.printResult(cmd, TargetsResult{view.Version, view.Author, d}, targetsText(view, d))
		},
	}
}

// targetsText returns the baseLine of the published version and the text of its
// document, with the comments and the formatting that its author wrote.
func targetsText(view api.ConfigView, d *dynamic.Document) string {
	if d == nil {
		return "# this entry VM knows no published document; if status shows it as ready, none is published yet\n"
	}
	return fmt.Sprintf("# version %d, published by %s\n%s\n", view.Version, authorOf(view), strings.TrimRight(view.Document, "\n"))
}

// authorOf returns the author of the published version for display.
func authorOf(view api.ConfigView) string {
	if view.Author == "" {
		return "an unnamed operator"
	}
	return view.Author
}

func (p *Program) explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show what happened to one request",
		ArgsUsage: "REQUEST-ID",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "log", Usage: "read the nodes' logs from `FILE` (- for standard input) instead of asking a node"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			id, err := singleArg(cmd, "request id")
			if err != nil {
				return err
			}
			if files := cmd.StringSlice("log"); len(files) > 0 {
				return p.explainFromLogs(cmd, id, files)
			}
			c := p.client(cmd)
			e, err := c.explain(ctx, id)
			if err != nil {
				return c.failure(err)
			}
			return p.printResult(cmd, e, explanationText(e))
		},
	}
}

// explanationText lists the events of a request, each with the time since the
// first one.
func explanationText(e api.RequestTrace) string {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s: class %s, team %s, served by node %s\n", e.RequestID, e.Class, e.Team, e.Node)
	for _, step := range e.Events {
		fmt.Fprintf(&b, "  %10s  %s", "+"+step.At.Sub(e.Events[0].At).Round(timePrecision).String(), step.Step)
		for _, part := range []string{step.Upstream, string(step.Verdict), string(step.Reason), step.Detail} {
			if part != "" {
				b.WriteString("  " + part)
			}
		}
		b.WriteString("\n")
	}
	return b.String()
}
