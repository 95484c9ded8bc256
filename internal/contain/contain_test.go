package contain

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// Guards against one message that makes a background loop panic ending the whole process, and against loops
// that fail without a pause or go on after the process was told to stop.
func TestPanicsOfLoopsAreContained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		runs, panics := 0, 0
		var missing map[string]int
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		loop := New(log, func(task string) {
			require.Equal(t, "watch", task)
			panics++
		}).Loop("watch", func(ctx context.Context) {
			if runs++; runs < 4 {
				missing["message"]++ // a write to a nil map panics
			}
			<-ctx.Done()
		})
		started := time.Now()
		go func() {
			time.Sleep(time.Minute)
			cancel()
		}()
		loop(ctx)
		require.Equal(t, 4, runs)
		require.Equal(t, 3, panics)
		require.Equal(t, time.Minute, time.Since(started))

		always := New(log, func(string) { panics++ }).Loop("watch", func(context.Context) { panic("always") })
		panics = 0
		ctx, cancel = context.WithTimeout(context.Background(), 10*restartPause)
		defer cancel()
		always(ctx)
		require.InDelta(t, 10, panics, 1)
	})
}

// Guards against a callback or a goroutine for one message that ends the process.
func TestPanicsOfCallsAreContained(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	panics := make(chan string, 4)
	g := New(log, func(task string) { panics <- task })
	require.True(t, g.Call("call", func() {}))
	require.False(t, g.Call("call", func() { panic("once") }))
	g.Func("callback", func() { panic("once") })()
	g.Go("goroutine", func() { panic("once") })
	for _, task := range []string{"call", "callback", "goroutine"} {
		require.Equal(t, task, <-panics)
	}
}
