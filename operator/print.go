package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"unicode"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// printResult writes the result of a command to Stdout, as text or as one JSON
// object.
func (p *Program) printResult(cmd *cli.Command, result any, text string) error {
	if cmd.String(flagOutput) == outputJSON {
		return errors.Wrap(writeJSON(p.Stdout, result), "writing the result")
	}
	_, err := io.WriteString(p.Stdout, printable(text))
	return errors.Wrap(err, "writing the result")
}

// printFailure writes a failure as text to Stderr, or as JSON to Stdout, where
// scripts read the result.
func (p *Program) printFailure(cmd *cli.Command, f *Failure) {
	if cmd.String(flagOutput) == outputJSON {
		_ = writeJSON(p.Stdout, failureResult{Error: f})
		return
	}
	text := "tamarackcleat: " + f.Message + "\n"
	if f.Advice != "" {
		text += f.Advice + "\n"
	}
	_, _ = io.WriteString(p.Stderr, printable(text))
}

func writeJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// printable removes control characters other than line feeds, so that text
// written by others, such as an author's name, can't send escape sequences to
// the operator's terminal.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if r != '\n' && unicode.IsControl(r) {
			return -1
		}
		return r
	}, text)
}

// countNoun returns a number with the singular or the plural of its noun.
func countNoun(n int, singular, plural string) string {
	if n == 1 {
		return "1 " + singular
	}
	return fmt.Sprintf("%d %s", n, plural)
}
