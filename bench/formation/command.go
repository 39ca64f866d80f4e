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
	// NameIgnoreLog repairs during log outages.
	NameIgnoreLog = "default-ignoring-log"
	// NameReserved repairs during log outages with one spare kept back in
	// each domain.
	NameReserved = "reserved-spares"
	// NameLostEarly and NameLostLate count VMs as lost earlier and later.
	NameLostEarly = "lost-after-4s"
	NameLostLate  = "lost-after-30s"
	// NameNarrow and NameWide bound the loads at once more and less.
	NameNarrow = "load-window-20s"
	NameWide   = "load-window-180s"
)

// Variants returns all policies and the variants of the default, which comes
// first.
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

// Command returns the subcommand that measures formation and repair.
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

// RunAll runs each policy on the sequences of several seeds. The results are
// by policy, then by seed.
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

// writeTable prints mean and standard deviation over seeds, and the scores as
// paired differences from the first policy.
func writeTable(w io.Writer, results [][]Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "policy\tdesk down\tdraft down\tdesk out\tstranded\tloading\tformed\tagency\tagency diff\tjhalmuri\tjhalmuri diff\t")
	for _, rs := range results {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t\n", rs[0].Policy,
			spread(rs, func(r Result) float64 { return r.DeskDown }),
			spread(rs, func(r Result) float64 { return r.DraftDown }),
			spread(rs, func(r Result) float64 { return r.DeskOut }),
			spread(rs, func(r Result) float64 { return r.Stranded }),
			spread(rs, func(r Result) float64 { return r.Loading }),
			spread(rs, func(r Result) float64 { return float64(r.Formed) }),
			spread(rs, Result.AgencyScore), paired(rs, results[0], Result.AgencyScore),
			spread(rs, Result.JhalmuriScore), paired(rs, results[0], Result.JhalmuriScore))
	}
	return t.Flush()
}

// spread formats mean and standard deviation of a figure.
func spread(rs []Result, figure func(Result) float64) string {
	values := make([]float64, len(rs))
	for i, r := range rs {
		values[i] = figure(r)
	}
	mean, deviation := moments(values)
	return fmt.Sprintf("%.1f ± %.1f", mean, deviation)
}

// paired formats the difference from a baseline on the same seeds.
func paired(rs, base []Result, figure func(Result) float64) string {
	values := make([]float64, len(rs))
	for i := range rs {
		values[i] = figure(rs[i]) - figure(base[i])
	}
	mean, deviation := moments(values)
	return fmt.Sprintf("%+.1f ± %.1f", mean, deviation)
}

func moments(values []float64) (mean, deviation float64) {
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
