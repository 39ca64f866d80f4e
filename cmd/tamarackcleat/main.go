// Command tamarackcleat is the command line for operators. It publishes the
// configuration and shows how well its targets are met.
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
