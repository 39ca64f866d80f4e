// Command tamarackcleat-gateway runs the process of an entry VM on the users'
// platform, to which package platform adapts this project.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/tamarackcleat/tamarackcleat/platform/daemon"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := daemon.Command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "tamarackcleat-gateway:", err)
		os.Exit(1)
	}
}
