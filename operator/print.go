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

// printResult writes a result as text or as one JSON object.
func (p *Program) printResult(cmd *cli.Command, result any, text string) error {
	if cmd.String(flagOutput) == outputJSON {
		return errors.Wrap(writeJSON(p.Stdout, result), "writing the result")
	}
	_, err := io.WriteString(p.Stdout, printable(text))
	return errors.Wrap(err, "writing the result")
}

// printFailure writes a failure: as text to Stderr, as JSON to Stdout, where
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

// printable removes control characters, so that text from elsewhere can't
// drive the operator's terminal.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if r != '\n' && unicode.IsControl(r) {
			return -1
		}
		return r
	}, text)
}

// count writes a number with its noun.
func count(n int, one, many string) string {
	if n == 1 {
		return "1 " + one
	}
	return fmt.Sprintf("%d %s", n, many)
}
