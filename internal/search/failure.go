package search

import (
	"context"
	"errors"

	"connectrpc.com/connect"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/balance"
	"github.com/burdockplank/burdockplank/internal/upstream"
)

// failure says how a call to a leaf ended without an answer to merge.
type failure int

const (
	// failNotSent: no byte reached the leaf.
	failNotSent failure = iota
	// failLost: the connection broke, as it does when the leaf crashes.
	failLost
	// failSilent: the connection went silent, which says nothing about the leaf.
	failSilent
	// failStale: the call was not sent, for the process was paused or hears nothing since it was planned.
	failStale
	// failShed: the leaf refused for load.
	failShed
	// failDraining: the leaf is leaving.
	failDraining
	// failSnapshot: the leaf doesn't hold the snapshot.
	failSnapshotGone
	// failShard: the leaf doesn't hold the shard.
	failWrongShard
	// failDeadline: the time ran out, here or at the leaf.
	failDeadline
	// failCancelled: the call was given up here.
	failCancelled
	// failAnswered: the leaf answered with an error.
	failErrorAnswer
	// failMismatch: the answer was to another question.
	failMismatch
	// failOther is anything else.
	failOther
)

// refusals maps the refusals of a leaf that didn't start the work.
var refusals = map[pb.LeafRefusalReason]failure{
	pb.LeafRefusalReason_LEAF_REFUSAL_REASON_SHED:          failShed,
	pb.LeafRefusalReason_LEAF_REFUSAL_REASON_DRAINING:      failDraining,
	pb.LeafRefusalReason_LEAF_REFUSAL_REASON_SNAPSHOT_GONE: failSnapshotGone,
	pb.LeafRefusalReason_LEAF_REFUSAL_REASON_WRONG_SHARD:   failWrongShard,
	pb.LeafRefusalReason_LEAF_REFUSAL_REASON_DEADLINE:      failDeadline,
}

// classify sorts the error of a call; ctx is the call's own.
func classify(ctx context.Context, err error) failure {
	var ce *upstream.CallError
	if !errors.As(err, &ce) {
		ce = &upstream.CallError{Wrote: true, Err: err}
	}
	if f, ok := refusals[ce.Refusal]; ok {
		return f
	}
	switch {
	case errors.Is(ce.Err, errStale):
		return failStale
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

// failureFacts is what the rest of the system needs to know of a failure.
type failureFacts struct {
	name string
	// reason stands in the coverage where the shard stays missing.
	reason pb.Reason
	// result goes to the balancer.
	result balance.Result
	// retryable is true where another replica may be asked.
	retryable bool
	// unbudgeted is true where the call has cost no upstream anything, as far as can be known: it was not
	// sent, or went into a silent connection. Asking again needs no budget then. The first retries
	// of a shard after broken connections need none either: only the calls in flight at one moment
	// are lost so, and the leaf that worked on them is gone.
	unbudgeted bool
	// survived is true where the leaf has surely run the request and lived on.
	survived bool
}

var failures = map[failure]failureFacts{
	failNotSent:      {name: "not_sent", reason: pb.Reason_REASON_UNREACHABLE, result: balance.ResultError, retryable: true, unbudgeted: true},
	failLost:         {name: "lost", reason: pb.Reason_REASON_UNREACHABLE, result: balance.ResultError, retryable: true},
	failSilent:       {name: "silent", reason: pb.Reason_REASON_UNREACHABLE, result: balance.ResultNeutral, retryable: true, unbudgeted: true},
	failStale:        {name: "stale", reason: pb.Reason_REASON_PAUSED, result: balance.ResultNeutral},
	failShed:         {name: "shed", reason: pb.Reason_REASON_OVERLOAD, result: balance.ResultShed, retryable: true},
	failDraining:     {name: "draining", reason: pb.Reason_REASON_DRAINING, result: balance.ResultNeutral, retryable: true},
	failSnapshotGone: {name: "snapshot_gone", reason: pb.Reason_REASON_NO_SNAPSHOT, result: balance.ResultNeutral, retryable: true},
	failWrongShard:   {name: "wrong_shard", reason: pb.Reason_REASON_UPSTREAM_REFUSED, result: balance.ResultError, retryable: true},
	failDeadline:     {name: "deadline", reason: pb.Reason_REASON_DEADLINE, result: balance.ResultTimeout},
	failCancelled:    {name: "cancelled", reason: pb.Reason_REASON_CANCELLED, result: balance.ResultCancelled},
	failErrorAnswer:  {name: "error", reason: pb.Reason_REASON_UPSTREAM_ERROR, result: balance.ResultError, retryable: true, survived: true},
	failMismatch:     {name: "mismatch", reason: pb.Reason_REASON_ANSWER_MISMATCH, result: balance.ResultError, retryable: true},
	failOther:        {name: "other", reason: pb.Reason_REASON_UPSTREAM_ERROR, result: balance.ResultError, retryable: true},
}
