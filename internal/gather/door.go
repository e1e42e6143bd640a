package gather

import (
	"context"
	"sync"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/feed"
	"github.com/burdockplank/burdockplank/internal/outcome"
)

const (
	// drainRetryAfter is the retry-after time of requests refused while draining: another gather
	// takes them at once.
	drainRetryAfter = 50 * time.Millisecond
	// pausedRetryAfter is the retry-after time of requests refused for lack of a fresh view of the
	// fleet, or of the bundle.
	pausedRetryAfter = 250 * time.Millisecond
	// maxRequestIDBytes bounds the length of a request id.
	maxRequestIDBytes = 128
)

// Admitter decides which requests are admitted, and counts those that run. It is safe for
// concurrent use.
type Admitter struct {
	source     feed.Source
	bundleWait time.Duration

	mu sync.Mutex
	// draining is true once no new work is admitted. running counts the admitted requests that have
	// not ended. idle is closed when draining and none is running. All are guarded by mu.
	draining bool
	running  int
	idle     chan struct{}
}

// NewAdmitter returns an Admitter that admits requests. A request waits for its entry's bundle up
// to bundleWait.
func NewAdmitter(source feed.Source, bundleWait time.Duration) *Admitter {
	return &Admitter{source: source, bundleWait: bundleWait, idle: make(chan struct{})}
}

// Admit admits a request for new work, or returns the reason for refusing it; nothing was sent
// then. The caller must call leave when the request ends.
func (a *Admitter) Admit(ctx context.Context, id *pb.Identity, service string) (leave func(), err error) {
	if !a.begin(false) {
		return nil, outcome.NotRun(pb.Reason_REASON_DRAINING, Step, "the gather is draining").WithRetryAfter(drainRetryAfter)
	}
	if err := a.check(ctx, id, service); err != nil {
		a.end()
		return nil, err
	}
	return sync.OnceFunc(a.end), nil
}

// AdmitOrder counts an order, and admits it even while draining. The order may be a resend of one
// that has run, so only the order manager, which knows, may say that it was not run.
func (a *Admitter) AdmitOrder() (leave func()) {
	a.begin(true)
	return sync.OnceFunc(a.end)
}

func (a *Admitter) begin(order bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining && !order {
		return false
	}
	a.running++
	return true
}

func (a *Admitter) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running--
	a.closeIdle()
}

func (a *Admitter) closeIdle() {
	if !a.draining || a.running > 0 {
		return
	}
	select {
	case <-a.idle:
	default:
		close(a.idle)
	}
}

// check validates the request's identity against the bundle in force.
func (a *Admitter) check(ctx context.Context, id *pb.Identity, service string) error {
	if n := len(id.GetRequestId()); n == 0 || n > maxRequestIDBytes {
		return outcome.NotRun(pb.Reason_REASON_INVALID_REQUEST, Step, "want a request id of 1 to %d bytes", maxRequestIDBytes)
	}
	if !a.source.Fresh() {
		return outcome.NotRun(pb.Reason_REASON_PAUSED, Step, "no fresh news of the fleet").WithRetryAfter(pausedRetryAfter)
	}
	b, err := a.bundle(ctx, id.GetBundleVersion())
	if err != nil {
		return err
	}
	caller := b.Callers[id.GetCaller()]
	if caller == nil {
		return outcome.NotRun(pb.Reason_REASON_UNAUTHENTICATED, Step, "no such caller in bundle %d", b.Version)
	}
	if !caller.MayUse(service) {
		return outcome.NotRun(pb.Reason_REASON_UNKNOWN_SERVICE, Step, "no such service for the caller")
	}
	return nil
}

// bundle returns the bundle in force once it is at least as new as the entry's. An entry with an
// older bundle is served by this gather's newer one.
func (a *Admitter) bundle(ctx context.Context, version uint64) (*bundle.Bundle, error) {
	wait := time.NewTimer(a.bundleWait)
	defer wait.Stop()
	for {
		changed := a.source.Changed()
		b := a.source.Current().Bundle
		if b != nil && b.Version >= version {
			return b, nil
		}
		select {
		case <-changed:
		case <-wait.C:
			return nil, outcome.NotRun(pb.Reason_REASON_NO_BUNDLE, Step, "bundle %d isn't in force here yet", version).WithRetryAfter(pausedRetryAfter)
		case <-ctx.Done():
			return nil, outcome.Classify(ctx.Err(), pb.OutcomeKind_OUTCOME_KIND_NOT_RUN, Step)
		}
	}
}

// Close stops the admission of new work.
func (a *Admitter) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.draining = true
	a.closeIdle()
}

// Idle returns a channel that is closed once the Admitter is closed and no request is running.
func (a *Admitter) Idle() <-chan struct{} { return a.idle }

// state returns what the operator dump shows.
func (a *Admitter) state() (draining bool, running int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.draining, a.running
}
