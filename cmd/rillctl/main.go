// Command rillctl is the command-line client of operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rosemaryrill/rosemaryrill/presenter"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := presenter.Run(ctx, os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
