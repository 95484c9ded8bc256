package app

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
		loop := containPanics("watch", log, func(name string) {
			require.Equal(t, "watch", name)
			panics++
		}, func(ctx context.Context) {
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

		always := containPanics("watch", log, func(string) { panics++ }, func(context.Context) { panic("always") })
		panics = 0
		ctx, cancel = context.WithTimeout(context.Background(), 10*restartPause)
		defer cancel()
		always(ctx)
		require.InDelta(t, 10, panics, 1)
	})
}
