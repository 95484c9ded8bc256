// Package contain keeps a panic in one goroutine from ending the process and the requests in it. One message from
// outside, or one unexpected state, then costs the work on that message only.
package contain

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/quetzallug/quetzallug/internal/pause"
)

// restartPause is the time between a panic in a loop and its next start. It keeps an input that fails each time
// from using up the processor.
const restartPause = time.Second

// Guard logs and counts the panics of the goroutines that it contains. It is safe for concurrent use.
type Guard struct {
	log logrus.FieldLogger
	// onPanic counts the panics by task.
	onPanic func(task string)
}

// New returns a Guard that calls onPanic after each panic with the name of the task.
func New(log logrus.FieldLogger, onPanic func(task string)) *Guard {
	return &Guard{log: log, onPanic: onPanic}
}

// Loop returns a loop that runs run again after a panic, until its context ends.
func (g *Guard) Loop(task string, run func(context.Context)) func(context.Context) {
	return func(ctx context.Context) {
		for !g.Call(task, func() { run(ctx) }) {
			if !pause.For(ctx, restartPause) {
				return
			}
		}
	}
}

// Call calls f and reports whether it has returned; if not, it has panicked.
func (g *Guard) Call(task string, f func()) (returned bool) {
	defer func() {
		if v := recover(); v != nil {
			g.onPanic(task)
			g.log.WithFields(logrus.Fields{"task": task, "panic": v, "stack": string(debug.Stack())}).Error("a background task failed unexpectedly")
		}
	}()
	f()
	return true
}

// Go calls f in a goroutine of its own.
func (g *Guard) Go(task string, f func()) {
	go func() { _ = g.Call(task, f) }()
}

// Func returns a function that calls f. It is for callbacks that run in goroutines of their own, such as those of
// timers and contexts.
func (g *Guard) Func(task string, f func()) func() {
	return func() { _ = g.Call(task, f) }
}
