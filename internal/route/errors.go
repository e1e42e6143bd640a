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
	unreachableJitter     = time.Second
)

// errUnresponsiveText is the error of net/http for a connection whose ping stayed without an answer; it
// isn't exported. Were the text to change, such a connection would count as broken, and sending again
// would need the budget.
const errUnresponsiveText = "http2: client connection lost"

// callError is how a call to a gather ended.
type callError struct {
	// notTaken is true where the gather surely did not take the request.
	notTaken bool
	// unresponsive is true where the connection went silent, which says nothing about the gather.
	unresponsive bool
	// pausedHere is true where the call was not made, for this process was paused.
	pausedHere bool
	// outcome is the gather's own outcome, nil where it gave none.
	outcome *outcome.Error
	err     error
}

// retryElsewhere are the reasons of a gather for which another one may well take the request: what the
// first lacks it lacks alone.
var retryElsewhere = []pb.Reason{pb.Reason_REASON_DRAINING, pb.Reason_REASON_PAUSED, pb.Reason_REASON_NO_BUNDLE}

// errPaused says that the process was paused while the request was here.
var errPaused = errors.New("paused since the request came")

// pausedError is the end of a call that is not made.
func pausedError() *callError {
	end := outcome.NotRun(pb.Reason_REASON_PAUSED, Step, "this entry was paused since the request came").After(unreachableRetryAfter)
	return &callError{notTaken: true, pausedHere: true, outcome: end, err: errPaused}
}

// classify reads the error of a call to a gather.
func classify(err error) *callError {
	if err == nil {
		return nil
	}
	ce := &callError{err: err}
	if o, ok := outcome.FromConnect(err); ok && o != nil {
		ce.outcome = o
		ce.notTaken = o.Kind == pb.OutcomeKind_OUTCOME_KIND_NOT_RUN &&
			slices.Contains(retryElsewhere, o.Reason)
		return ce
	}
	ce.notTaken = dialFailed(err)
	ce.unresponsive = strings.Contains(err.Error(), errUnresponsiveText)
	return ce
}

// retryable tells whether one more call may follow; spent is true after the one that is allowed for
// any other cause than silence.
func (ce *callError) retryable(ctx context.Context, retried bool) bool {
	return ctx.Err() == nil && !ce.pausedHere && (ce.unresponsive || !retried && (ce.notTaken || ce.broken()))
}

// broken tells whether the connection ended before the gather's answer had come.
func (ce *callError) broken() bool { return ce.outcome == nil && !connect.IsWireError(ce.err) }

// dialFailed tells whether err arose while the connection was being opened, before any byte of
// the request was written.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// contextReason returns the reason where the request's own context ended, or unspecified.
func contextReason(ctx context.Context, err error) pb.Reason {
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
	case ce.outcome != nil && !ce.notTaken:
		return resultOK
	case ctx.Err() != nil && errors.Is(ctx.Err(), context.Canceled):
		return resultNeutral
	case ce.unresponsive:
		return resultNeutral
	}
	return resultFailed
}
