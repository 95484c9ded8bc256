package app

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/quetzallug/quetzallug/internal/pause"
)

// restartPause is the time between a panic in a background loop and its next start. It keeps an input that
// fails each time from using up the processor.
const restartPause = time.Second

// containPanics returns a loop that runs run again after a panic, until its context ends, so that one message
// or unexpected state does not end the process and the requests in it. onPanic counts the panics.
func containPanics(name string, log logrus.FieldLogger, onPanic func(name string), run func(context.Context)) func(context.Context) {
	return func(ctx context.Context) {
		for !runOnce(ctx, name, log, onPanic, run) {
			if !pause.For(ctx, restartPause) {
				return
			}
		}
	}
}

// runOnce reports whether run has returned.
func runOnce(ctx context.Context, name string, log logrus.FieldLogger, onPanic func(string), run func(context.Context)) (returned bool) {
	defer func() {
		if v := recover(); v != nil {
			onPanic(name)
			log.WithFields(logrus.Fields{"loop": name, "panic": v, "stack": string(debug.Stack())}).Error("a background loop failed and is started again")
		}
	}()
	run(ctx)
	return true
}
