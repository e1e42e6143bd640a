// Package wait pauses a goroutine until a time has passed or its work is over.
package wait

import (
	"context"
	"time"
)

// For waits for d and tells whether ctx still runs.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
