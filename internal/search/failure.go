package search

import (
	"context"
	"errors"

	"connectrpc.com/connect"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/balance"
	"github.com/burdockplank/burdockplank/internal/upstream"
)

// failure classifies how a call to a leaf ended without an answer to merge.
type failure int

const (
	// failNotSent means that no byte reached the leaf.
	failNotSent failure = iota
	// failLost means that the connection broke, as it does when the leaf crashes.
	failLost
	// failSilent means that the connection went silent, which says nothing about the leaf.
	failSilent
	// failStale means that the call was not sent because the process was paused, or has received no updates, since the
	// search was planned.
	failStale
	// failTooLate means that the call arrived at the leaf too long after the gather decided on it, and was not started.
	failTooLate
	// failShed means that the leaf refused for load.
	failShed
	// failDraining means that the leaf is leaving.
	failDraining
	// failSnapshotGone means that the leaf does not hold the snapshot.
	failSnapshotGone
	// failWrongShard means that the leaf does not hold the shard.
	failWrongShard
	// failDeadline means that the time ran out, here or at the leaf.
	failDeadline
	// failCancelled means that the call was cancelled here.
	failCancelled
	// failErrorAnswer means that the leaf answered with an error.
	failErrorAnswer
	// failMismatch means that the answer does not match the request.
	failMismatch
	// failOther means anything else.
	failOther
)

// refusals maps the refusal reasons of a leaf that did not start the work.
var refusals = map[pb.LeafRefusalReason]failure{
	pb.LeafRefusalReason_LEAF_REFUSAL_REASON_SHED:          failShed,
	pb.LeafRefusalReason_LEAF_REFUSAL_REASON_DRAINING:      failDraining,
	pb.LeafRefusalReason_LEAF_REFUSAL_REASON_SNAPSHOT_GONE: failSnapshotGone,
	pb.LeafRefusalReason_LEAF_REFUSAL_REASON_WRONG_SHARD:   failWrongShard,
	pb.LeafRefusalReason_LEAF_REFUSAL_REASON_DEADLINE:      failDeadline,
	pb.LeafRefusalReason_LEAF_REFUSAL_REASON_TOO_LATE:      failTooLate,
}

// classify returns the failure for the error of a call. ctx is the context of the call.
func classify(ctx context.Context, err error) failure {
	var ce *upstream.CallError
	if !errors.As(err, &ce) {
		ce = &upstream.CallError{Wrote: true, Err: err}
	}
	if f, ok := refusals[ce.Refusal]; ok {
		return f
	}
	switch {
	case errors.Is(ce.Err, upstream.ErrStale):
		return failStale
	case ce.TooLate():
		return failTooLate
	case ce.ConnectionSilent:
		return failSilent
	case ce.ConnectionLost && ctx.Err() == nil:
		return failLost
	case errors.Is(ctx.Err(), context.Canceled):
		return failCancelled
	case ctx.Err() != nil, errors.Is(ce.Err, context.DeadlineExceeded):
		return failDeadline
	case !ce.Wrote:
		return failNotSent
	case connect.IsWireError(ce.Err):
		return failErrorAnswer
	}
	return failOther
}

// failureFacts holds the properties of a failure.
type failureFacts struct {
	name string
	// reason is reported in the coverage if the shard stays missing.
	reason pb.Reason
	// result is reported to the balancer.
	result balance.Result
	// retryable is true if another replica may be called.
	retryable bool
	// unbudgeted is true if the call, as far as can be known, cost no upstream anything: it was not sent, came too late
	// to be started, or went into a silent connection. Its retry needs no budget. The first retries of a shard after lost
	// connections need none either: only the calls in flight at one moment are lost that way, and the leaf that worked on
	// them is gone.
	unbudgeted bool
}

var failures = map[failure]failureFacts{
	failNotSent:      {name: "not_sent", reason: pb.Reason_REASON_UNREACHABLE, result: balance.ResultError, retryable: true, unbudgeted: true},
	failLost:         {name: "lost", reason: pb.Reason_REASON_UNREACHABLE, result: balance.ResultError, retryable: true},
	failSilent:       {name: "silent", reason: pb.Reason_REASON_UNREACHABLE, result: balance.ResultNeutral, retryable: true, unbudgeted: true},
	failStale:        {name: "stale", reason: pb.Reason_REASON_PAUSED, result: balance.ResultNeutral},
	failTooLate:      {name: "too_late", reason: pb.Reason_REASON_UNREACHABLE, result: balance.ResultNeutral, retryable: true, unbudgeted: true},
	failShed:         {name: "shed", reason: pb.Reason_REASON_OVERLOAD, result: balance.ResultShed, retryable: true},
	failDraining:     {name: "draining", reason: pb.Reason_REASON_DRAINING, result: balance.ResultNeutral, retryable: true},
	failSnapshotGone: {name: "snapshot_gone", reason: pb.Reason_REASON_NO_SNAPSHOT, result: balance.ResultNeutral, retryable: true},
	failWrongShard:   {name: "wrong_shard", reason: pb.Reason_REASON_UPSTREAM_REFUSED, result: balance.ResultError, retryable: true},
	failDeadline:     {name: "deadline", reason: pb.Reason_REASON_DEADLINE, result: balance.ResultTimeout},
	failCancelled:    {name: "cancelled", reason: pb.Reason_REASON_CANCELLED, result: balance.ResultCancelled},
	failErrorAnswer:  {name: "error", reason: pb.Reason_REASON_UPSTREAM_ERROR, result: balance.ResultError, retryable: true},
	failMismatch:     {name: "mismatch", reason: pb.Reason_REASON_ANSWER_MISMATCH, result: balance.ResultError, retryable: true},
	failOther:        {name: "other", reason: pb.Reason_REASON_UPSTREAM_ERROR, result: balance.ResultError, retryable: true},
}
