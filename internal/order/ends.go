package order

import (
	"context"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/balance"
	"github.com/burdockplank/burdockplank/internal/outcome"
	"github.com/burdockplank/burdockplank/internal/upstream"
)

// unansweredError returns the outcome of an order that was sent and not answered.
func unansweredError(ctx context.Context, leaf string, err error) *outcome.Error {
	reason := pb.Reason_REASON_UPSTREAM_ERROR
	if ctx.Err() != nil {
		reason = pb.Reason_REASON_DEADLINE
	}
	return outcome.Unknown(reason, stepExecute, "the order was sent and not answered, it may have run").WithPeer(leaf).WithCause(err)
}

// notStartedError returns the outcome of an order that no replica started. A refusal by this gather
// itself, such as for the content of the order, keeps its own reason.
func notStartedError(ce *upstream.CallError) *outcome.Error {
	if own, ok := outcome.As(ce.Err); ok && own.Kind == pb.OutcomeKind_OUTCOME_KIND_NOT_RUN {
		return own.WithPeer(ce.Leaf)
	}
	if ce.Wrote {
		return outcome.NotRun(pb.Reason_REASON_UPSTREAM_REFUSED, stepExecute, "no replica started the order, take a new ticket").WithPeer(ce.Leaf)
	}
	return outcome.NotRun(pb.Reason_REASON_NO_UPSTREAM, stepExecute, "no replica could be reached, take a new ticket").WithPeer(ce.Leaf)
}

func balanceResult(ctx context.Context, ce *upstream.CallError) balance.Result {
	switch {
	case ce != nil && ce.Refusal == pb.LeafRefusalReason_LEAF_REFUSAL_REASON_SHED:
		return balance.ResultShed
	case ctx.Err() != nil:
		return balance.ResultTimeout
	default:
		return balance.ResultError
	}
}
