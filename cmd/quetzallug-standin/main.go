// Command quetzallug-standin serves one stand-in of the platform or of a backend server over HTTP. It
// is for tests and benchmarks only.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	err := newRoot(logrus.StandardLogger()).ExecuteContext(ctx)
	stop()
	if err != nil {
		logrus.WithError(err).Error("quetzallug-standin failed")
		os.Exit(1)
	}
}
