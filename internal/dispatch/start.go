package dispatch

import (
	"context"
	"time"

	"github.com/burdockplank/burdockplank/internal/directory"
)

const (
	// startWait is how long after its start a process lets requests wait for its first configuration: it comes
	// 30 to 100 ms after the start where the store or another VM can be reached, and whoever was refused instead
	// would come back later than that.
	startWait = 200 * time.Millisecond
	// startFraction bounds the wait as a part of the time that the caller has.
	startFraction = 1. / 8
	// Bounds of the time to come back after where there is no configuration: as long as that has lasted by
	// now, for it is likely to last as long again.
	minRetryNoConfig = 50 * time.Millisecond
	maxRetryNoConfig = time.Second
)

// view returns the newest view, right after the start as soon as there is a configuration.
func (e *Engine) view(ctx context.Context, req *Request) *directory.View {
	v := e.directory.Current()
	remaining := min(startWait-time.Since(e.started), fractionOf(startFraction, req.Remaining))
	if v.Config != nil || remaining <= 0 {
		return v
	}
	return e.directory.Await(ctx, remaining)
}

// retryNoConfig is when to come back to a process without a configuration.
func (e *Engine) retryNoConfig() time.Duration {
	return min(max(time.Since(e.started), minRetryNoConfig), maxRetryNoConfig)
}
