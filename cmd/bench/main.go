// Command bench measures the policy for routing, admission and retries in a
// simulation and compares it with simpler policies. Its subcommand "formation"
// compares policies for the formation and repair of replicas.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/tamarackcleat/tamarackcleat/bench"
	"github.com/tamarackcleat/tamarackcleat/bench/formation"
)

func main() {
	app := &cli.Command{
		Name:  "bench",
		Usage: "measure the request policy in simulated time",
	}
	for _, s := range bench.Suites() {
		app.Commands = append(app.Commands, suiteCommand(s))
	}
	app.Commands = append(app.Commands, formation.Command())
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// suiteCommand returns the subcommand that runs a suite.
func suiteCommand(s bench.Suite) *cli.Command {
	return &cli.Command{
		Name:  s.Name,
		Usage: s.Usage,
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of all random choices"},
			&cli.IntFlag{Name: "engines", Value: 70, Usage: "engines for long generations"},
			&cli.IntFlag{Name: "nodes", Value: 7, Usage: "entry VMs"},
			&cli.StringFlag{Name: "policy", Usage: "run only this policy"},
			&cli.DurationFlag{Name: "length", Value: 5 * time.Minute, Usage: "simulated time of arrivals"},
			&cli.FloatFlag{Name: "fill", Usage: "offered load as a part of all slots"},
			&cli.StringFlag{Name: "output", Value: "table", Usage: "table or json"},
		},
		Action: func(_ context.Context, c *cli.Command) error { return runSuite(s, c) },
	}
}

// runSuite runs the scenarios of a suite that the flags select and prints their
// results.
func runSuite(s bench.Suite, c *cli.Command) error {
	scenarios := s.Scenarios(bench.Options{
		Seed: c.Uint64("seed"), Engines: c.Int("engines"), Nodes: c.Int("nodes"),
		Policy: c.String("policy"), Length: c.Duration("length"), Fill: c.Float("fill"),
	})
	if len(scenarios) == 0 {
		return errors.Newf("suite %q has no policy %q", s.Name, c.String("policy"))
	}
	var results []bench.Result
	for _, scenario := range scenarios {
		r, err := bench.Run(scenario)
		if err != nil {
			return err
		}
		results = append(results, r)
	}
	switch format := c.String("output"); format {
	case "json":
		return bench.WriteJSON(os.Stdout, results)
	case "table":
		return bench.WriteTable(os.Stdout, results)
	default:
		return errors.Newf("unknown output %q, want table or json", format)
	}
}
