// Command quetzallug is the command line tool for operators. See docs/OPERATIONS.md.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/quetzallug/quetzallug/internal/cli"

	_ "github.com/quetzallug/quetzallug/modules/kvhttp" // registers platform.kv.http
	"github.com/quetzallug/quetzallug/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, os.Args[1:], cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}, cli.WithGatewayConfigCheck(platform.CheckConfig))
	stop()
	os.Exit(code)
}
