package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	readHeaderTimeout = 5 * time.Second
	// shutdownGrace is the time that running requests get to end after a stop signal.
	shutdownGrace = 2 * time.Second
)

// serve runs the handler until the context ends. Requests that are still running after the grace
// period, such as watches, are cut.
func serve(ctx context.Context, log *logrus.Entry, address string, h http.Handler) error {
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %q: %w", address, err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	log.WithField("address", ln.Addr().String()).Info("listening")
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(ln) }()
	select {
	case err := <-failed:
		return fmt.Errorf("serve on %q: %w", address, err)
	case <-ctx.Done():
	}
	// The context has ended already, so the shutdown has its own.
	grace, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownGrace)
	defer cancel()
	err = srv.Shutdown(grace)
	if errors.Is(err, context.DeadlineExceeded) {
		log.Warn("cutting requests that outlast the grace period")
		err = srv.Close()
	}
	if err != nil {
		return fmt.Errorf("shut down: %w", err)
	}
	log.Info("stopped")
	return nil
}
