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
	// shutdownGrace is the time that running requests have to complete after a stop signal.
	shutdownGrace = 2 * time.Second
)

// serve serves the handler until ctx is cancelled. Requests that are still running after the grace
// period, such as watches, are aborted.
func serve(ctx context.Context, log *logrus.Entry, address string, h http.Handler) error {
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %q: %w", address, err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	log.WithField("address", ln.Addr().String()).Info("listening")
	serveErr := make(chan error, 1)
	go func() { serveErr <- srv.Serve(ln) }()
	select {
	case err := <-serveErr:
		return fmt.Errorf("serve on %q: %w", address, err)
	case <-ctx.Done():
	}
	// ctx is already cancelled, so the shutdown needs a context of its own.
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownGrace)
	defer cancel()
	err = srv.Shutdown(shutdownCtx)
	if errors.Is(err, context.DeadlineExceeded) {
		log.Warn("aborting requests that are still running after the grace period")
		err = srv.Close()
	}
	if err != nil {
		return fmt.Errorf("shut down: %w", err)
	}
	log.Info("stopped")
	return nil
}
