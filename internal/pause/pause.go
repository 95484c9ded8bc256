// Package pause pauses a goroutine until a time has passed or its context ends.
package pause

import (
	"context"
	"time"
)

// For waits for d and reports whether the context is still in force.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		// Both may be ready at once.
		return ctx.Err() == nil
	}
}
