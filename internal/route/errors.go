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

// Step names this package's step in outcomes.
const Step = "entry.route"

// The retry-after time of a request whose gather can't be reached, and the range of the jitter added to it.
const (
	unreachableRetryAfter = 500 * time.Millisecond
	unreachableJitter     = time.Second
)

// errSilentText is the text of the error of net/http for a connection whose ping was not answered;
// the error isn't exported. If the text changed, such a connection would count as broken, and a retry
// would need the budget.
const errSilentText = "http2: client connection lost"

// callError describes how a call to a gather failed.
type callError struct {
	// notTaken is true where it is certain that the gather did not accept the request.
	notTaken bool
	// silent is true where the connection went silent, which gives no information about
	// the gather.
	silent bool
	// pausedHere is true where the call was not made because this process was paused.
	pausedHere bool
	// outcome is the outcome that the gather returned, or pausedError made, nil where there is none.
	outcome *outcome.Error
	err     error
}

// retryElsewhere holds the reasons of a refusal that concern only the gather that refused, so that another
// one may accept the request.
var retryElsewhere = []pb.Reason{pb.Reason_REASON_DRAINING, pb.Reason_REASON_PAUSED, pb.Reason_REASON_NO_BUNDLE}

// errPaused is the error of a call that isn't made because the process was paused after the request
// arrived.
var errPaused = errors.New("process paused after the request arrived")

// pausedError returns the error of a call that isn't made because this process was paused.
func pausedError() *callError {
	end := outcome.NotRun(pb.Reason_REASON_PAUSED, Step, "this entry was paused since the request came").WithRetryAfter(unreachableRetryAfter)
	return &callError{notTaken: true, pausedHere: true, outcome: end, err: errPaused}
}

// classify returns the callError for the error of a call to a gather, nil for nil.
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
	ce.silent = strings.Contains(err.Error(), errSilentText)
	return ce
}

// retryable reports whether the request may be sent once more. A request is retried any number of times,
// up to maxSends, after silent connections, but only once for any other cause; retried is true
// after that.
func (ce *callError) retryable(ctx context.Context, retried bool) bool {
	return ctx.Err() == nil && !ce.pausedHere && (ce.silent || !retried && (ce.notTaken || ce.broken()))
}

// broken reports whether the connection ended before the gather's answer arrived.
func (ce *callError) broken() bool { return ce.outcome == nil && !connect.IsWireError(ce.err) }

// dialFailed reports whether err arose while the connection was being opened, before any byte of the
// request was written.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// contextReason returns the reason for the end of the request's own context, or unspecified where it has
// not ended. An error with the code for a passed deadline counts as such an end.
func contextReason(ctx context.Context, err error) pb.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded), connect.CodeOf(err) == connect.CodeDeadlineExceeded:
		return pb.Reason_REASON_DEADLINE
	case errors.Is(ctx.Err(), context.Canceled):
		return pb.Reason_REASON_CANCELLED
	}
	return pb.Reason_REASON_UNSPECIFIED
}

// resultOf returns the result that the end of a call counts as in the gather's stats.
func resultOf(ctx context.Context, ce *callError) result {
	switch {
	case ce == nil:
		return resultOK
	case ce.outcome != nil && !ce.notTaken:
		return resultOK
	case ctx.Err() != nil && errors.Is(ctx.Err(), context.Canceled):
		return resultNeutral
	case ce.silent:
		return resultNeutral
	}
	return resultFailed
}
