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
	// startPart bounds the wait as a part of the time that the caller has.
	startPart = 1. / 8
	// Bounds of the time to come back after where there is no configuration: as long as that has lasted by
	// now, for it is likely to last as long again.
	retryNoConfigLeast = 50 * time.Millisecond
	retryNoConfigMost  = time.Second
)

// view returns the newest view, right after the start as soon as there is a configuration.
func (e *Engine) view(ctx context.Context, req *Request) *directory.View {
	v := e.directory.Current()
	left := min(startWait-time.Since(e.started), part(startPart, req.Remaining))
	if v.Config != nil || left <= 0 {
		return v
	}
	return e.directory.Await(ctx, left)
}

// retryNoConfig is when to come back to a process without a configuration.
func (e *Engine) retryNoConfig() time.Duration {
	return min(max(time.Since(e.started), retryNoConfigLeast), retryNoConfigMost)
}
