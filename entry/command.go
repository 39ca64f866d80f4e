package entry

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"

	"github.com/urfave/cli/v3"

	"github.com/tamarackcleat/tamarackcleat/config/static"
	"github.com/tamarackcleat/tamarackcleat/decisions"
)

// Command returns the command line interface of the daemon tamarackcleatd.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "tamarackcleatd",
		Usage: "serve callers, operators and peers on an entry VM",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "YAML `FILE` with the process settings", Required: true},
			&cli.BoolFlag{Name: "check-settings", Usage: "check the settings and exit"},
		},
		Action: run,
	}
}

// run loads the settings and serves until the context ends.
func run(ctx context.Context, c *cli.Command) error {
	settings, err := static.Load(c.String("settings"))
	if err != nil {
		return err
	}
	if c.Bool("check-settings") {
		_, err := fmt.Fprintln(c.Root().Writer, "settings are valid")
		return err
	}
	if memory := settings.Limits.Memory; memory > 0 {
		debug.SetMemoryLimit(int64(runtimeMemoryShare * float64(memory)))
	}
	logCtx, stopLog := context.WithCancel(context.Background())
	defer stopLog()
	logger := slog.New(slog.NewJSONHandler(decisions.NewWriter(logCtx, os.Stderr), &slog.HandlerOptions{Level: settings.LogLevel.Level()}))
	node, err := New(settings, logger)
	if err != nil {
		return err
	}
	return node.Run(ctx)
}
