// Package pause pauses a goroutine for a time or until its context ends.
package pause

import (
	"context"
	"time"
)

// For waits for d or until ctx ends. It returns false if ctx has ended.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		// If both channels are ready, select chooses one at random.
		return ctx.Err() == nil
	}
}
