package upstream

import (
	"context"
	"time"
)

type (
	workDeadlineKey struct{}
	decidedKey      struct{}
)

// WithWorkDeadline returns a context for an order whose leaf must give it up at the deadline, while
// the sender waits for the answer until the context ends. Nothing is sent after the deadline. An
// order cannot be resent, so a late answer is better than none: a leaf that refuses the order at
// its deadline, or was only paused, still reports how the order ended.
func WithWorkDeadline(ctx context.Context, deadline time.Time) context.Context {
	return context.WithValue(ctx, workDeadlineKey{}, deadline)
}

// workDeadline returns the deadline that the context sets for leaves, zero if it sets none.
func workDeadline(ctx context.Context) time.Time {
	d, _ := ctx.Value(workDeadlineKey{}).(time.Time)
	return d
}

// WithDecisionTime returns a context for a call that the sender decided on at the given time, when
// its view of the fleet still held. The call is not sent, and a leaf that reports its uptime does
// not start it, if it would arrive more than feed.MaxSendDelay later. This holds however long the
// process is paused after its decision, because the leaf checks it. A call without a decision time
// may be sent at any time.
func WithDecisionTime(ctx context.Context, decided time.Time) context.Context {
	return context.WithValue(ctx, decidedKey{}, decided)
}

// decisionTime returns the time set by WithDecisionTime, zero if none is set.
func decisionTime(ctx context.Context) time.Time {
	t, _ := ctx.Value(decidedKey{}).(time.Time)
	return t
}
