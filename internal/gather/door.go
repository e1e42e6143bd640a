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
	// drainRetry is told to requests refused while draining: another gather takes them at once.
	drainRetry = 50 * time.Millisecond
	// pausedRetry is told to requests refused before fresh news came.
	pausedRetry = 250 * time.Millisecond
	// maxRequestID bounds the length of a request id in bytes.
	maxRequestID = 128
)

// Admitter decides which requests come in, and counts those that run. It is safe for concurrent use.
type Admitter struct {
	source     feed.Source
	bundleWait time.Duration

	mu sync.Mutex
	// draining is true once no new work is taken; running counts the requests inside; idle is
	// closed when draining finds none running. All are guarded by mu.
	draining bool
	running  int
	idle     chan struct{}
}

// NewAdmitter returns an open door.
func NewAdmitter(source feed.Source, bundleWait time.Duration) *Admitter {
	return &Admitter{source: source, bundleWait: bundleWait, idle: make(chan struct{})}
}

// Admit lets a request for new work in, or says why not; nothing has been sent then. The function
// returned must be called at the request's end.
func (d *Admitter) Admit(ctx context.Context, id *pb.Identity, service string) (leave func(), err error) {
	if !d.begin(false) {
		return nil, outcome.NotRun(pb.Reason_REASON_DRAINING, Step, "the gather is draining").After(drainRetry)
	}
	if err := d.check(ctx, id, service); err != nil {
		d.end()
		return nil, err
	}
	return sync.OnceFunc(d.end), nil
}

// AdmitOrder counts an order in, while draining too. It may be a resend of one that has run, so
// only the keeper of tickets, who knows, may say that it was not run.
func (d *Admitter) AdmitOrder() (leave func()) {
	d.begin(true)
	return sync.OnceFunc(d.end)
}

func (d *Admitter) begin(order bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining && !order {
		return false
	}
	d.running++
	return true
}

func (d *Admitter) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running--
	d.closeIdle()
}

func (d *Admitter) closeIdle() {
	if !d.draining || d.running > 0 {
		return
	}
	select {
	case <-d.idle:
	default:
		close(d.idle)
	}
}

// check identifies the request by the bundle in force.
func (d *Admitter) check(ctx context.Context, id *pb.Identity, service string) error {
	if n := len(id.GetRequestId()); n == 0 || n > maxRequestID {
		return outcome.NotRun(pb.Reason_REASON_INVALID_REQUEST, Step, "want a request id of 1 to %d bytes", maxRequestID)
	}
	if !d.source.Fresh() {
		return outcome.NotRun(pb.Reason_REASON_PAUSED, Step, "no fresh news of the fleet").After(pausedRetry)
	}
	b, err := d.bundle(ctx, id.GetBundleVersion())
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
func (d *Admitter) bundle(ctx context.Context, version uint64) (*bundle.Bundle, error) {
	wait := time.NewTimer(d.bundleWait)
	defer wait.Stop()
	for {
		changed := d.source.Changed()
		b := d.source.Current().Bundle
		if b != nil && b.Version >= version {
			return b, nil
		}
		select {
		case <-changed:
		case <-wait.C:
			return nil, outcome.NotRun(pb.Reason_REASON_NO_BUNDLE, Step, "bundle %d isn't in force here yet", version).After(pausedRetry)
		case <-ctx.Done():
			return nil, outcome.Classify(ctx.Err(), pb.OutcomeKind_OUTCOME_KIND_NOT_RUN, Step)
		}
	}
}

// Close lets no new work in.
func (d *Admitter) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining = true
	d.closeIdle()
}

// Idle is closed when the door is closed and no request is inside.
func (d *Admitter) Idle() <-chan struct{} { return d.idle }

// state returns what the dump shows.
func (d *Admitter) state() (draining bool, running int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.draining, d.running
}
