package formation

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"runtime"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/tamarackcleat/tamarackcleat/placement"
)

// Names of the variants of the default policy.
const (
	// NameIgnoreLog forms and dissolves replicas during log outages too.
	NameIgnoreLog = "default-ignoring-log"
	// NameReserved is NameIgnoreLog with one free VM kept in reserve in each
	// fabric domain.
	NameReserved = "reserved-spares"
	// NameLostEarly and NameLostLate treat an unreachable VM as lost after 4
	// seconds and after 30 seconds, in place of lostAfter.
	NameLostEarly = "lost-after-4s"
	NameLostLate  = "lost-after-30s"
	// NameNarrow and NameWide set the load window, which limits how many loads
	// run at once, to 20 seconds and to 180 seconds.
	NameNarrow = "load-window-20s"
	NameWide   = "load-window-180s"
)

// Variants returns all placement policies, the default policy first, and the
// variants of the default policy.
func Variants() []Variant {
	var out []Variant
	for _, p := range placement.Policies() {
		out = append(out, Variant{Policy: p, LostAfter: lostAfter})
	}
	variant := func(name string, change func(*Variant)) {
		v := Variant{Policy: placement.DefaultPolicy(), LostAfter: lostAfter}
		v.Name = name
		change(&v)
		out = append(out, v)
	}
	variant(NameIgnoreLog, func(v *Variant) { v.IgnoreLog = true })
	variant(NameReserved, func(v *Variant) { v.IgnoreLog = true; v.SparesPerDomain = 1 })
	variant(NameLostEarly, func(v *Variant) { v.LostAfter = 4 * time.Second })
	variant(NameLostLate, func(v *Variant) { v.LostAfter = 30 * time.Second })
	variant(NameNarrow, func(v *Variant) { v.LoadWindow = 20 * time.Second })
	variant(NameWide, func(v *Variant) { v.LoadWindow = 3 * time.Minute })
	return out
}

// Command returns the subcommand "formation", which compares policies of replica
// formation and repair.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "formation",
		Usage: "measure policies of replica formation and repair on seeded failures",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "policy", Usage: "measure one policy only"},
			&cli.StringFlag{Name: "fleet", Value: "today", Usage: "fleet: exact, today, even or roomy"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first seed"},
			&cli.IntFlag{Name: "seeds", Value: 8, Usage: "number of seeds"},
			&cli.IntFlag{Name: "days", Value: 30, Usage: "simulated days for each seed"},
			&cli.FloatFlag{Name: "speed-up", Value: 10, Usage: "times the daily VM faults of the two-year plan"},
			&cli.FloatFlag{Name: "cross-speed", Value: 0.25, Usage: "worth of a replica across domains against one in a domain"},
			&cli.BoolFlag{Name: "cold", Usage: "measure the first formation of an empty fleet, without faults"},
			&cli.StringFlag{Name: "output", Value: "table", Usage: "table or json"},
		},
		Action: command,
	}
}

func command(ctx context.Context, c *cli.Command) error {
	f, ok := FleetByName(c.String("fleet"))
	if !ok {
		return errors.Newf("unknown fleet %q", c.String("fleet"))
	}
	var chosen []Variant
	for _, v := range Variants() {
		if c.String("policy") == "" || c.String("policy") == v.Name {
			chosen = append(chosen, v)
		}
	}
	if len(chosen) == 0 {
		return errors.Newf("unknown policy %q", c.String("policy"))
	}
	span := Span{Length: time.Duration(c.Int("days")) * 24 * time.Hour, SpeedUp: c.Float("speed-up"), CrossSpeed: c.Float("cross-speed"), Cold: c.Bool("cold")}
	results, err := RunAll(ctx, f, chosen, c.Uint64("seed"), c.Int("seeds"), span)
	if err != nil {
		return err
	}
	if c.String("output") == "json" {
		return json.NewEncoder(os.Stdout).Encode(results)
	}
	return writeTable(os.Stdout, results)
}

// RunAll runs each policy on the fault sequences of the seeds from seed to
// seed+seeds-1. The first index of the results is the policy, the second the
// seed. It fails only if ctx is canceled.
func RunAll(ctx context.Context, f Fleet, policies []Variant, seed uint64, seeds int, s Span) ([][]Result, error) {
	results := make([][]Result, len(policies))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(max(1, runtime.GOMAXPROCS(0)/2))
	for i, p := range policies {
		results[i] = make([]Result, seeds)
		for j := range seeds {
			g.Go(func() error {
				if ctx.Err() != nil {
					return ctx.Err()
				}
				results[i][j] = Run(f, p, seed+uint64(j), s)
				return nil
			})
		}
	}
	return results, g.Wait()
}

// writeTable prints one row per policy: the mean and standard deviation of each
// figure over the seeds, and those of the differences between its scores and the
// scores of the first policy on the same seeds.
func writeTable(w io.Writer, results [][]Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "policy\tdesk down\tdraft down\tdesk out\tstranded\tloading\tformed\tagency\tagency diff\tjhalmuri\tjhalmuri diff\t")
	for _, rs := range results {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t\n", rs[0].Policy,
			formatMean(rs, func(r Result) float64 { return r.DeskDown }),
			formatMean(rs, func(r Result) float64 { return r.DraftDown }),
			formatMean(rs, func(r Result) float64 { return r.DeskOut }),
			formatMean(rs, func(r Result) float64 { return r.Stranded }),
			formatMean(rs, func(r Result) float64 { return r.Loading }),
			formatMean(rs, func(r Result) float64 { return float64(r.Formed) }),
			formatMean(rs, Result.AgencyScore), formatPairedDifference(rs, results[0], Result.AgencyScore),
			formatMean(rs, Result.JhalmuriScore), formatPairedDifference(rs, results[0], Result.JhalmuriScore))
	}
	return t.Flush()
}

// formatMean formats the mean and standard deviation of a figure over the seeds.
func formatMean(rs []Result, figure func(Result) float64) string {
	values := make([]float64, len(rs))
	for i, r := range rs {
		values[i] = figure(r)
	}
	mean, deviation := meanAndDeviation(values)
	return fmt.Sprintf("%.1f ± %.1f", mean, deviation)
}

// formatPairedDifference formats the mean and standard deviation of the
// difference between a figure and its baseline on the same seed.
func formatPairedDifference(rs, base []Result, figure func(Result) float64) string {
	values := make([]float64, len(rs))
	for i := range rs {
		values[i] = figure(rs[i]) - figure(base[i])
	}
	mean, deviation := meanAndDeviation(values)
	return fmt.Sprintf("%+.1f ± %.1f", mean, deviation)
}

func meanAndDeviation(values []float64) (mean, deviation float64) {
	for _, v := range values {
		mean += v / float64(len(values))
	}
	if len(values) < 2 {
		return mean, 0
	}
	for _, v := range values {
		deviation += (v - mean) * (v - mean) / float64(len(values)-1)
	}
	return mean, math.Sqrt(deviation)
}
