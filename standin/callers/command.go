package callers

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// Command returns the command that sends requests and prints their results. The
// command fails if a request got no complete answer or a call didn't take effect
// exactly once.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "callers",
		Usage: "send requests to entry nodes and check the answers",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Usage: "`URL` of an entry node", Required: true},
			&cli.StringSliceFlag{Name: "direct", Usage: "`ADDRESS` of a rank 0 VM that gets each generation too, to compare"},
			&cli.StringSliceFlag{Name: "kind", Usage: "`CLASS=TOKENS:SHARE`; 0 tokens for a call", Required: true},
			&cli.StringSliceFlag{Name: "effects", Usage: "`CLASS=URL` of a plain service's VM where the class's calls take effect once"},
			&cli.IntFlag{Name: "requests", Usage: "number of requests", Value: 100},
			&cli.FloatFlag{Name: "per-second", Usage: "requests a second", Value: 20},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the sequence of kinds", Value: 1},
		},
		Action: run,
	}
}

// errIncomplete says that at least one request of a run was refused or got a
// wrong answer.
var errIncomplete = errors.New("not every request got its whole answer")

func run(ctx context.Context, c *cli.Command) error {
	s := Settings{
		EntryURLs:      c.StringSlice("entry"),
		Rank0Addresses: c.StringSlice("direct"),
		Requests:       c.Int("requests"),
		PerSecond:      c.Float("per-second"),
		Seed:           c.Uint64("seed"),
	}
	for _, text := range c.StringSlice("kind") {
		k, err := parseKindFlag(text)
		if err != nil {
			return err
		}
		s.Kinds = append(s.Kinds, k)
	}
	var ledgers []EffectsSource
	for _, text := range c.StringSlice("effects") {
		l, err := parseEffectsFlag(text)
		if err != nil {
			return err
		}
		ledgers = append(ledgers, l)
	}
	results := Run(ctx, s)
	problems, err := CheckEffects(ctx, results, ledgers)
	return errors.CombineErrors(printResults(c, results), printEffectProblems(c, problems, err))
}

// errNotExactlyOnce says that at least one answered call had no effect or that a
// call took effect more than once.
var errNotExactlyOnce = errors.New("not every call took effect exactly once")

// printEffectProblems prints the problems that CheckEffects found. It returns
// err, the error of CheckEffects, or else errNotExactlyOnce if there are
// problems.
func printEffectProblems(c *cli.Command, problems []string, err error) error {
	for _, p := range problems {
		_, _ = fmt.Fprintln(c.Root().Writer, p)
	}
	if err == nil && len(problems) > 0 {
		return errNotExactlyOnce
	}
	return err
}

// parseKindFlag parses the value CLASS=TOKENS:SHARE of the flag --kind.
func parseKindFlag(text string) (RequestKind, error) {
	class, rest, _ := strings.Cut(text, "=")
	tokens, share, ok := strings.Cut(rest, ":")
	n, tokensErr := strconv.Atoi(tokens)
	part, shareErr := strconv.Atoi(share)
	if !ok || tokensErr != nil || shareErr != nil || part < 1 {
		return RequestKind{}, errors.Newf("kind %q is not CLASS=TOKENS:SHARE", text)
	}
	return RequestKind{Class: class, Tokens: n, Share: part}, nil
}

// printResults prints a table of the results, the reasons of refusals and the
// problems. It returns errIncomplete unless every request got its complete
// answer.
func printResults(c *cli.Command, results []*Result) error {
	w := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "class\tsent\twhole\twrong\trefused\tfirst token p50\tp95\tanswer p50\tp95")
	allComplete := true
	for _, r := range results {
		refused := 0
		for _, n := range r.Refused {
			refused += n
		}
		allComplete = allComplete && r.Whole == r.Sent
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\n", r.Class, r.Sent, r.Whole, r.Wrong, refused,
			formatQuantile(r.FirstToken, 50), formatQuantile(r.FirstToken, 95), formatQuantile(r.Total, 50), formatQuantile(r.Total, 95))
	}
	_ = w.Flush()
	for _, r := range results {
		for reason, n := range r.Refused {
			_, _ = fmt.Fprintf(c.Root().Writer, "%s: %d refused with %s\n", r.Class, n, reason)
		}
		for _, p := range r.Problems {
			_, _ = fmt.Fprintf(c.Root().Writer, "%s: %s\n", r.Class, p)
		}
	}
	if !allComplete {
		return errIncomplete
	}
	return nil
}

// formatQuantile formats a quantile, given in percent, of a histogram of
// microseconds as milliseconds. It returns "-" for a histogram that
// has no values or only zeros, as the times to the first token of calls.
func formatQuantile(h *hdrhistogram.Histogram, quantile float64) string {
	if h.TotalCount() == 0 || h.Max() == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f ms", float64(h.ValueAtQuantile(quantile))/1000)
}
