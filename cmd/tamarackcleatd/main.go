// Command tamarackcleatd runs the process of an entry VM that uses the external
// systems described by package port.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/tamarackcleat/tamarackcleat/entry"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := entry.Command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "tamarackcleatd:", err)
		os.Exit(1)
	}
}
