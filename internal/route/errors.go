package route

import (
	"context"
	"errors"
	"net"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/outcome"
)

// Step names the duty in outcomes.
const Step = "entry.route"

// The waits told to callers when a gather can't be reached; jitter is added.
const (
	unreachableRetryAfter = 500 * time.Millisecond
	unreachableSpread     = time.Second
)

// errSilentText is the error of net/http for a connection whose ping stayed without an answer; it
// isn't exported. Were the text to change, such a connection would count as broken, and sending again
// would need the budget.
const errSilentText = "http2: client connection lost"

// callError is how a call to a gather ended.
type callError struct {
	// notTaken is true where the gather surely did not take the request.
	notTaken bool
	// silent is true where the connection went silent, which says nothing about the gather.
	silent bool
	// here is true where the call was not made, for this process was paused.
	here bool
	// typed is the gather's own outcome, nil where it gave none.
	typed *outcome.Error
	err   error
}

// lackedAlone are the reasons of a gather for which another one may well take the request: what the
// first lacks it lacks alone.
var lackedAlone = []pb.Reason{pb.Reason_REASON_DRAINING, pb.Reason_REASON_PAUSED, pb.Reason_REASON_NO_BUNDLE}

// errPaused says that the process was paused while the request was here.
var errPaused = errors.New("paused since the request came")

// pausedHere is the end of a call that is not made.
func pausedHere() *callError {
	end := outcome.NotRun(pb.Reason_REASON_PAUSED, Step, "this entry was paused since the request came").WithRetryAfter(unreachableRetryAfter)
	return &callError{notTaken: true, here: true, typed: end, err: errPaused}
}

// classify reads the error of a call to a gather.
func classify(err error) *callError {
	if err == nil {
		return nil
	}
	ce := &callError{err: err}
	if o, ok := outcome.FromConnect(err); ok && o != nil {
		ce.typed = o
		ce.notTaken = o.Kind == pb.OutcomeKind_OUTCOME_KIND_NOT_RUN &&
			slices.Contains(lackedAlone, o.Reason)
		return ce
	}
	ce.notTaken = neverConnected(err)
	ce.silent = strings.Contains(err.Error(), errSilentText)
	return ce
}

// mayFollow tells whether one more call may follow; spent is true after the one that is allowed for
// any other cause than silence.
func (ce *callError) mayFollow(ctx context.Context, spent bool) bool {
	return ctx.Err() == nil && !ce.here && (ce.silent || !spent && (ce.notTaken || ce.broken()))
}

// broken tells whether the connection ended before the gather's answer had come.
func (ce *callError) broken() bool { return ce.typed == nil && !connect.IsWireError(ce.err) }

// neverConnected tells whether err arose while the connection was being opened, before any byte of
// the request was written.
func neverConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// ended returns the reason where the request's own context ended, or unspecified.
func ended(ctx context.Context, err error) pb.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded), connect.CodeOf(err) == connect.CodeDeadlineExceeded:
		return pb.Reason_REASON_DEADLINE
	case errors.Is(ctx.Err(), context.Canceled):
		return pb.Reason_REASON_CANCELLED
	}
	return pb.Reason_REASON_UNSPECIFIED
}

// resultOf says what the end of a call tells about the gather.
func resultOf(ctx context.Context, ce *callError) result {
	switch {
	case ce == nil:
		return resultOK
	case ce.typed != nil && !ce.notTaken:
		return resultOK
	case ctx.Err() != nil && errors.Is(ctx.Err(), context.Canceled):
		return resultGivenUp
	case ce.silent:
		return resultGivenUp
	}
	return resultFailed
}
