// Command tamarackcleat is the operators' command line.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/tamarackcleat/tamarackcleat/operator"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := operator.New(os.Stdin, os.Stdout, os.Stderr).Run(ctx, os.Args)
	stop()
	os.Exit(int(code))
}
