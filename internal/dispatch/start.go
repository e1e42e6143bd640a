package dispatch

import (
	"context"
	"time"

	"github.com/burdockplank/burdockplank/internal/directory"
)

const (
	// startWait is how long after its start a process lets requests wait for its first configuration. The
	// configuration arrives 30 to 100 ms after the start if the store or another VM is reachable, and a caller
	// that was refused would retry later than that.
	startWait = 200 * time.Millisecond
	// startFraction bounds the wait as a fraction of the caller's remaining time.
	startFraction = 1. / 8
	// Bounds of the retry delay without a configuration. The delay is as long as this state has lasted so far,
	// because it is likely to last as long again.
	minRetryNoConfig = 50 * time.Millisecond
	maxRetryNoConfig = time.Second
)

// view returns the latest view. Right after the start it waits for a view with a configuration.
func (e *Engine) view(ctx context.Context, req *Request) *directory.View {
	v := e.directory.Current()
	remaining := min(startWait-time.Since(e.started), fractionOf(startFraction, req.Remaining))
	if v.Config != nil || remaining <= 0 {
		return v
	}
	return e.directory.Await(ctx, remaining)
}

// retryNoConfig returns the retry delay for a process without a configuration.
func (e *Engine) retryNoConfig() time.Duration {
	return min(max(time.Since(e.started), minRetryNoConfig), maxRetryNoConfig)
}
